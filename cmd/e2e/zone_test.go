package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/worker/fake"
)

// Invariants 2, 3 and 4 when operators take a zone out of service under load: no task starts there later than 4 s after
// the command was accepted, batch tasks continue elsewhere and finish, and the zone starts tasks again when it is back.
func TestZoneOut(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, "east-a", "east-b")
	const tasks = 16
	c.submitJob("moved", tasks, 12*time.Second, "-zone", "east-b")
	c.waitRunCount("moved", tasks/2)
	if code, out := c.runCommand("zone", "out", "-wait=false", "east-b"); code != 0 {
		t.Fatalf("zone out: exit code %d\n%s", code, out)
	}
	outAt := time.Now()
	c.submitJob("meanwhile", 6, time.Second, "-zone", "east-b")
	c.waitFinished("moved", 55*time.Second)
	t.Logf("job finished %s after the zone was taken out", time.Since(outAt).Round(100*time.Millisecond))
	c.waitFinished("meanwhile", 40*time.Second)
	all := c.taskRuns()
	for _, late := range startedBetween(all, "east-b", outAt.Add(maxStartDelay), time.Now()) {
		t.Errorf("started in the zone that was taken out at %s: %s", outAt, late)
	}
	elsewhere := 0
	for _, e := range runsOfJob(all, "moved") {
		if zoneOf(e.Worker) == "east-a" {
			elsewhere++
		}
	}
	is.True(elsewhere > 0)
	if code, out := c.runCommand("zone", "in", "east-b"); code != 0 {
		t.Fatalf("zone in: exit code %d\n%s", code, out)
	}
	backAt := time.Now()
	eventually(t, 30*time.Second, "the zone starts tasks again", func() bool {
		c.submitJob(fmt.Sprintf("back-%d", time.Now().UnixMilli()), 2, 100*time.Millisecond, "-zone", "east-b")
		return len(startedBetween(c.taskRuns(), "east-b", backAt, time.Now())) > 0
	})
	c.checkNoOverlap()
}

// Invariants 2 and 3 when a worker fails: its batch tasks run again exactly once elsewhere, and not before its lease
// has expired.
func TestWorkerKilled(t *testing.T) {
	c := startCluster(t, "east-a")
	const tasks = 15
	c.submitJob("again", tasks, 10*time.Second)
	c.waitRunCount("again", tasks)
	victim := busiestWorker(runsOfJob(c.taskRuns(), "again"))
	c.setWorkerCondition(victim, fake.Condition{Killed: true})
	killedAt := time.Now()
	c.checkRerun(victim, tasks, killedAt, true)
}

// Invariants 2 and 3 when a worker pauses beyond its lease: when it resumes, it stops its tasks before anything else,
// and they run again exactly once.
func TestWorkerFrozen(t *testing.T) {
	c := startCluster(t, "east-a")
	const tasks = 15
	c.submitJob("again", tasks, 10*time.Second)
	c.waitRunCount("again", tasks)
	victim := busiestWorker(runsOfJob(c.taskRuns(), "again"))
	c.setWorkerCondition(victim, fake.Condition{Frozen: true})
	frozenAt := time.Now()
	eventually(t, readyTimeout, "tasks of the frozen worker start elsewhere", func() bool {
		return len(c.reruns("again")) > 0
	})
	c.setWorkerCondition(victim, fake.Condition{})
	c.checkRerun(victim, tasks, frozenAt, false)
}

// reruns returns the executions with an epoch above the first.
func (c *cluster) reruns(job string) (out []fake.Execution) {
	for _, e := range runsOfJob(c.taskRuns(), job) {
		if e.Epoch > 1 {
			out = append(out, e)
		}
	}
	return out
}

// checkRerun checks that exactly the tasks of one worker ran a second time, after its lease of 15 s, of which at most
// one renewal interval had passed when it failed.
func (c *cluster) checkRerun(victim string, tasks int, failedAt time.Time, elsewhere bool) {
	c.t.Helper()
	c.waitFinished("again", 55*time.Second)
	all := runsOfJob(c.taskRuns(), "again")
	onFailedWorker := map[int]bool{}
	for _, e := range all {
		if e.Epoch == 1 && e.Worker == victim {
			onFailedWorker[e.Index] = true
		}
	}
	for index, n := range runsPerTask(all, "again") {
		want := 1
		if onFailedWorker[index] {
			want = 2
		}
		if n != want {
			c.t.Errorf("task %d was executed %d times, want %d", index, n, want)
		}
	}
	const minRerunDelay = 9 * time.Second
	for _, e := range all {
		if e.Epoch > 1 && (e.Begin.Before(failedAt.Add(minRerunDelay)) || elsewhere && e.Worker == victim) {
			c.t.Errorf("task %d ran again on %s %s after the failure", e.Index, e.Worker, e.Begin.Sub(failedAt))
		}
	}
	if len(onFailedWorker) == 0 || len(runsPerTask(all, "again")) != tasks {
		c.t.Errorf("%d tasks ran on the failed worker, %d in all", len(onFailedWorker), len(runsPerTask(all, "again")))
	}
	c.checkNoOverlap()
}

// busiestWorker returns the worker with the most executions.
func busiestWorker(all []fake.Execution) (worker string) {
	count := map[string]int{}
	for _, e := range all {
		count[e.Worker]++
		if count[e.Worker] > count[worker] || worker == "" {
			worker = e.Worker
		}
	}
	return worker
}

// leavingGrace is the time after which a leaving endpoint receives no new request (docs/design.md, section 5.4), plus
// half a second for the test's own time readings.
const leavingGrace = 3500 * time.Millisecond

// Invariant 8: an endpoint whose VM is marked as leaving, by the list of VMs alone or by its worker and its responses,
// receives no new request after 3 s, while all requests are answered.
func TestEndpointLeaves(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, "east-a")
	for _, variant := range []struct {
		name  string
		leave func(worker string)
		back  func(worker string)
	}{
		{"list of VMs", func(w string) { c.setVMState(w, directory.StateLeaving) },
			func(w string) { c.setVMState(w, directory.StateLive) }},
		{"worker", func(w string) { c.setWorkerCondition(w, fake.Condition{Leaving: true}) },
			func(w string) { c.setWorkerCondition(w, fake.Condition{}) }},
	} {
		s := c.startStream(4, false)
		s.waitMore(t, 100)
		worker := workerOfReplica(getOnce(c.daemons[0], "/who").echo.Replica)
		variant.leave(worker)
		leftAt := time.Now()
		holdsThroughout(t, leavingGrace+3*time.Second, "requests are answered, "+variant.name, func() bool {
			r := getOnce(c.daemons[1], "/x")
			if !r.answered() {
				t.Logf("status %d, outcome %s: %s", r.status, r.outcome, r.text)
			}
			return r.answered()
		})
		endedAt := time.Now()
		late := 0
		for _, e := range c.requestExecutions() {
			if workerOfReplica(e.Replica) == worker && e.At.After(leftAt.Add(leavingGrace)) && e.At.Before(endedAt) {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%s: %d requests reached a leaving endpoint after %s", variant.name, late, leavingGrace)
		}
		results := s.stop()
		for _, r := range results {
			is.True(r.last.answered())
		}
		c.checkResults(results)
		variant.back(worker)
	}
}
