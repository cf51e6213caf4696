package e2e

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/external/worker/fake"
	"waxwingslip.example/node/operator/api"
)

// Invariants 2 and 3 under the death of a worker together with the daemon that owned it: the new owner cannot know which
// leases were granted, so the tasks do not run again when 15 s have passed, but only after an operator attests the loss;
// then exactly once.
func TestDaemonAndWorkerKilled(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, "east-a")
	const tasks = 15
	c.submit("again", tasks, 6*time.Second)
	c.waitRuns("again", tasks)
	victim := busiest(runsOf(c.history(), "again"))
	owner := c.ownerOf(victim)
	c.condition(victim, fake.Condition{Killed: true})
	failed := time.Now()
	owner.kill(t)
	c.forget(owner)
	c.waitSole(c.daemons[0])
	const beyondLease = 20 * time.Second
	holds(t, beyondLease-time.Since(failed), "no task runs again", func() bool { return len(c.secondRuns("again")) == 0 })
	code, out := c.command("worker", "lost", "-vm-is-gone", "east-a", victim)
	t.Logf("worker lost: %s", out)
	is.Equal(code, 0)
	c.checkRunAgain(victim, tasks, failed, true)
}

// ownerOf returns the daemon that owns a worker.
func (c *cluster) ownerOf(worker string) (owner *entry) {
	c.t.Helper()
	eventually(c.t, readyTimeout, "owner of "+worker, func() bool {
		list, err := c.operator(c.first(zoneOf(worker))).Workers(c.t.Context(), api.WorkersQuery{})
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

// Invariants 2, 3 and 5 under the death of all daemons of a zone at a time: new daemons take its workers over before
// their leases lapse, so each task runs once, and callers of the other zone are served throughout.
func TestAllDaemonsOfZoneKilled(t *testing.T) {
	c := startCluster(t, "east-a", "east-b")
	const tasks = 14
	c.submitIn("east-b", "kept", tasks, 15*time.Second)
	c.waitRuns("kept", tasks)
	var killed []*entry
	for _, d := range c.daemons {
		if d.zone == "east-b" {
			killed = append(killed, d)
		}
	}
	for _, d := range killed {
		d.kill(t)
		c.forget(d)
	}
	s := c.startStream(4, false)
	for _, d := range killed {
		c.startDaemon(d.name, d.zone)
	}
	for _, d := range c.daemons {
		c.waitServing(d)
	}
	c.waitFinished("kept", 40*time.Second)
	c.checkOnce("kept", tasks)
	c.checkResults(s.stop())
	c.checkNoOverlap()
}
