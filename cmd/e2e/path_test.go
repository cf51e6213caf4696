package e2e

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"waxwingslip.example/node/operator/api"
)

// Guards against processes that work on their own but not together: the operators' command-line tool publishes a
// document and submits a job, every daemon answers a request, and the job finishes with one run of each task.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, "east-a", "east-b", "west-a")
	c.submitJob("count", 12, 500*time.Millisecond)
	for _, d := range c.daemons {
		r := getOnce(d, "/greet/"+d.name)
		is.True(r.answered())
		is.True(strings.HasSuffix(r.echo.Path, "/greet/"+d.name))
	}
	c.waitFinished("count", 40*time.Second)
	is.Equal(len(runsOfJob(c.taskRuns(), "count")), 12)
	code, out := c.runCommand("job", "status", "count")
	is.Equal(code, 0)
	is.True(strings.Contains(out, `"finished"`))
	code, _ = c.runCommand("config", "show", "-in-force")
	is.Equal(code, 0)
	c.checkNoOverlap()
}

// Invariant 7 without failures: a key that is sent to every daemon in turn is executed once, and each repeat gets the
// answer of the first execution.
func TestRepeatedKey(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, "east-a", "west-a")
	for range 5 {
		id := uuid.Must(uuid.NewV7()).String()
		replica := ""
		for _, d := range c.daemons {
			var r reply
			eventually(t, 10*time.Second, "answer to key "+id+" by "+d.name, func() bool {
				r = sendRequest(d, "POST", "/charge/"+id, id, "charge "+id)
				return r.answered()
			})
			if replica == "" {
				replica = r.echo.Replica
			}
			is.Equal(r.echo.Replica, replica)
			is.Equal(r.echo.RequestID, id)
		}
		is.Equal(c.executionCount(id), 1)
	}
}

// executionCount counts the executions of the request whose path ends with id.
func (c *cluster) executionCount(id string) (n int) {
	for _, e := range c.requestExecutions() {
		if strings.HasSuffix(e.Path, id) {
			n++
		}
	}
	return n
}

// Invariants 2, 3, 5, 6 and 7 under SIGKILL of a daemon that owns shards and serves callers: batch tasks finish, each
// after exactly one run, and every request is answered once through another daemon.
func TestDaemonKilled(t *testing.T) {
	t.Run("idempotent", func(t *testing.T) { testDaemonKilled(t, false) })
	t.Run("keyed", func(t *testing.T) { testDaemonKilled(t, true) })
}

func testDaemonKilled(t *testing.T, keyed bool) {
	is := is.New(t)
	const callers, tasks = 8, 16
	c := startCluster(t, "east-a", "east-b")
	c.submitJob("survivor", tasks, 8*time.Second)
	eventually(t, 20*time.Second, "tasks of the job run",
		func() bool { return len(runsOfJob(c.taskRuns(), "survivor")) >= tasks/2 })
	s := c.startStream(callers, keyed)
	defer s.stop()
	s.waitMore(t, 100)
	victim := c.firstDaemon("east-a")
	victim.kill(t)
	killedAt := time.Now()
	c.removeDaemon(victim)
	s.waitMore(t, 400)
	c.waitFinished("survivor", 40*time.Second)
	t.Logf("job finished %s after the kill", time.Since(killedAt).Round(100*time.Millisecond))
	// The shards of the killed daemon belong to the other one.
	eventually(t, 20*time.Second, "the other daemon owns all shards", func() bool {
		status, err := c.operatorClient(c.firstDaemon("east-a")).Status(t.Context())
		return err == nil && len(status.Members) == 1 && len(status.Shards) == totalShards(status)
	})
	unknown := c.checkResults(s.stop())
	// A request in flight at the killed daemon may have been executed without its answer being recorded. Each caller of
	// keyed requests had one request in flight.
	is.True(unknown <= callers/2)
	is.Equal(len(runsOfJob(c.taskRuns(), "survivor")), tasks)
	c.checkNoOverlap()
}

// totalShards counts the shards of all members.
func totalShards(s api.Status) (n int) {
	for _, m := range s.Members {
		n += m.Shards
	}
	return n
}
