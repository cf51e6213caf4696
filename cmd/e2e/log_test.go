package e2e

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"waxwingslip.example/external/fault"
)

// Invariants 2, 3, 4 and 7 while the log is down: requests, those with keys included, and running tasks continue, no
// task starts later than 4 s after the last read, and waiting tasks start after the log is back.
func TestLogDown(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, "east-a", "east-b")
	const running, waiting = 20, 12
	c.submitJobIn("east-a", "running", running, 20*time.Second)
	c.waitRunCount("running", running)
	// The first tasks of "waiting" fill the workers. The others wait for these to end, which happens during the outage.
	c.submitJobIn("east-a", "waiting", waiting, 3*time.Second)
	c.waitRunCount("waiting", 1)
	base := c.newestVersion()
	c.setLogFault(fault.Setting{Down: true})
	downAt := time.Now()
	s := c.startStream(4, true)
	eventually(t, 10*time.Second, "no daemon may start tasks", func() bool {
		for _, d := range c.daemons {
			if st, ok := c.fetchStatus(d); !ok || st.MayStart {
				return false
			}
		}
		return true
	})
	// A command cannot take effect now; its exit code means that it failed or that its result is unknown.
	exitCode := make(chan int, 1)
	go func() {
		code, _ := c.runCommandAt("http://"+c.daemons[0].addresses.Operators, "-call-timeout", "2s", "config", "publish",
			"-wait=false", "-base", formatInt(base), c.writeFile("outage.yaml", c.document("# outage\n")))
		exitCode <- code
	}()
	holdsThroughout(t, 10*time.Second-time.Since(downAt)+maxStartDelay, "every request is answered", func() bool {
		return getOnce(c.daemons[0], "/outage").answered() && getOnce(c.daemons[1], "/outage").answered()
	})
	upAt := time.Now()
	late := startedBetween(c.taskRuns(), "", downAt.Add(maxStartDelay), upAt)
	is.Equal(len(late), 0)
	code := <-exitCode
	is.True(code == 1 || code == 5)
	c.setLogFault(fault.Setting{})
	results := s.stop()
	for _, r := range results {
		if !r.last.answered() || r.tries > 0 {
			t.Fatalf("request %s (keyed %t) needed %d retries: %s", r.id, r.keyed, r.tries, r.last.text)
		}
	}
	c.checkResults(results)
	eventually(t, 20*time.Second, "the daemons read the log again", func() bool {
		st, ok := c.fetchStatus(c.daemons[0])
		return ok && st.ControlAgeMs >= 0 && st.ControlAgeMs < 3000
	})
	c.waitFinished("running", 40*time.Second)
	c.waitFinished("waiting", 40*time.Second)
	c.checkRunOnce("running", running)
	c.checkRunOnce("waiting", waiting)
	c.checkNoOverlap()
}

// Invariants 2, 3 and 10 when the log loses responses to appends that took effect: repeated commands and records take
// effect once.
func TestAnswersLost(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, "east-a")
	const tasks = 10
	for round := range 3 {
		c.setLogFault(fault.Setting{LoseResponses: 4 + 9*round, Operations: []string{"append"}})
		id, job := uuid.NewString(), "lost-"+string(rune('a'+round))
		c.submitJob(job, tasks, time.Second, "-command-id", id)
		c.submitJob(job, tasks, time.Second, "-command-id", id)
		version := c.publishCurrent("# round " + job + "\n")
		is.True(version > 0)
		c.waitFinished(job, 40*time.Second)
		c.checkRunOnce(job, tasks)
	}
	c.checkNoOverlap()
}

// publishCurrent publishes the document with extra appended, retries while the result is unknown, and returns the
// version.
func (c *cluster) publishCurrent(extra string) int64 {
	c.t.Helper()
	file, id := c.writeFile("again.yaml", c.document(extra)), uuid.NewString()
	base := c.newestVersion()
	for range 5 {
		code, out := c.runCommand("config", "publish", "-command-id", id, "-wait=false", "-base", formatInt(base), file)
		if code == 0 {
			return c.newestVersion()
		}
		if code != 5 {
			c.t.Fatalf("publish: exit code %d\n%s", code, strings.TrimSpace(out))
		}
	}
	c.t.Fatal("publish: the result stayed unknown")
	return 0
}
