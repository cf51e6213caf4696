package e2e

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/external/worker/fake"
	"waxwingslip.example/node/operator/api"
)

// Invariants 2 and 3 when a worker fails together with the daemon that owned it: the new owner has no record of the
// leases that were granted, so the tasks do not run again after 15 s, but only after an operator attests the loss, and
// then exactly once.
func TestDaemonAndWorkerKilled(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, "east-a")
	const tasks = 15
	c.submitJob("again", tasks, 6*time.Second)
	c.waitRunCount("again", tasks)
	victim := busiestWorker(runsOfJob(c.taskRuns(), "again"))
	owner := c.ownerOf(victim)
	c.setWorkerCondition(victim, fake.Condition{Killed: true})
	failedAt := time.Now()
	owner.kill(t)
	c.removeDaemon(owner)
	c.waitOnlyMember(c.daemons[0])
	const beyondLease = 20 * time.Second
	holdsThroughout(t, beyondLease-time.Since(failedAt), "no task runs again",
		func() bool { return len(c.reruns("again")) == 0 })
	code, out := c.runCommand("worker", "lost", "-vm-is-gone", "east-a", victim)
	t.Logf("worker lost: %s", out)
	is.Equal(code, 0)
	c.checkRerun(victim, tasks, failedAt, true)
}

// ownerOf returns the daemon that owns a worker.
func (c *cluster) ownerOf(worker string) (owner *daemonProcess) {
	c.t.Helper()
	eventually(c.t, readyTimeout, "owner of "+worker, func() bool {
		list, err := c.operatorClient(c.firstDaemon(zoneOf(worker))).Workers(c.t.Context(), api.WorkersQuery{})
		if err != nil {
			return false
		}
		for _, w := range list.Workers {
			for _, d := range c.daemons {
				if w.ID == worker && strings.HasPrefix(w.Owner, d.name+"/") {
					owner = d
				}
			}
		}
		return owner != nil
	})
	return owner
}

// Invariants 2, 3 and 5 when all daemons of a zone are killed at the same time: new daemons take over its workers
// before their leases expire, so each task runs once, and callers of the other zone are served throughout.
func TestAllDaemonsOfZoneKilled(t *testing.T) {
	c := startCluster(t, "east-a", "east-b")
	const tasks = 14
	c.submitJobIn("east-b", "kept", tasks, 15*time.Second)
	c.waitRunCount("kept", tasks)
	var killed []*daemonProcess
	for _, d := range c.daemons {
		if d.zone == "east-b" {
			killed = append(killed, d)
		}
	}
	for _, d := range killed {
		d.kill(t)
		c.removeDaemon(d)
	}
	s := c.startStream(4, false)
	for _, d := range killed {
		c.startDaemon(d.name, d.zone)
	}
	for _, d := range c.daemons {
		c.waitServing(d)
	}
	c.waitFinished("kept", 40*time.Second)
	c.checkRunOnce("kept", tasks)
	c.checkResults(s.stop())
	c.checkNoOverlap()
}
