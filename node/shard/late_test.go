package shard_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	workerfake "waxwingslip.example/external/jobworker/fake"
)

// silence makes a worker unreachable while the returned flag is set.
func (c *cluster) silence(worker string) *atomic.Bool {
	silent := &atomic.Bool{}
	c.fleet.SetFault(func(id, _ string) workerfake.Fault {
		return workerfake.Fault{Hang: id == worker && silent.Load()}
	})
	return silent
}

// Guards against work that is done again because the worker's report of its end came after the lease had expired
// (ambon-mist-large quiet-1, small twin: TWICE 16).
func TestEndReportedAfterLeaseExpired(t *testing.T) {
	runCluster(t, 1, 1, oneSecondTask, func(c *cluster, is *is.I) {
		c.owner()
		silent := c.silence("w0")
		c.submit("a", jobs.Step{}, 2)
		c.waitUntil("the tasks run", time.Second, func() bool { return c.allRunning("a", 2) })
		silent.Store(true)
		time.Sleep(10 * time.Second) // the tasks are done after one, and the lease expires after six
		silent.Store(false)
		c.waitForState("a", jobs.StateCompleted, 5*time.Second)
		is.Equal(c.fleet.Starts(task("a", 0)), 1)
		is.Equal(c.fleet.Starts(task("a", 1)), 1)
	})
}

// Guards against a next owner that does the work again, since the previous one had settled the runs as lost.
func TestEndReportedToNextOwner(t *testing.T) {
	runCluster(t, 1, 2, oneSecondTask, func(c *cluster, is *is.I) {
		first := c.owner()
		silent := c.silence("w0")
		c.submit("a", jobs.Step{}, 2)
		c.waitUntil("the tasks run", time.Second, func() bool { return c.allRunning("a", 2) })
		silent.Store(true)
		time.Sleep(10 * time.Second)
		first.cancel()
		first.done.Wait()
		silent.Store(false)
		c.waitForState("a", jobs.StateCompleted, 15*time.Second)
		is.Equal(c.fleet.Starts(task("a", 0)), 1)
	})
}

// Guards against a second run that goes on, and keeps its job waiting, after the first was reported as done.
func TestSecondRunStopsAfterLateEnd(t *testing.T) {
	runCluster(t, 2, 1, func(_ jobs.TaskID, run int64) workerfake.Outcome {
		size := resource.Vector{MilliCPU: 1000, MemoryMB: 1000}
		if run == 1 {
			return workerfake.Outcome{Duration: time.Second, Size: size}
		}
		return workerfake.Outcome{Duration: time.Minute, Size: size}
	}, func(c *cluster, is *is.I) {
		c.owner()
		var silentID atomic.Value
		silentID.Store("")
		c.fleet.SetFault(func(id, _ string) workerfake.Fault { return workerfake.Fault{Hang: id == silentID.Load()} })
		c.submit("a", jobs.Step{}, 1)
		c.waitUntil("the task runs", time.Second, func() bool { return c.allRunning("a", 1) })
		for _, id := range []string{"w0", "w1"} {
			if c.fleet.Runs(id) > 0 {
				silentID.Store(id)
			}
		}
		c.waitUntil("the task runs again", 15*time.Second, func() bool { return c.fleet.Starts(task("a", 0)) == 2 })
		silentID.Store("")
		c.waitForState("a", jobs.StateCompleted, 5*time.Second)
		c.waitUntil("the second run is stopped", 2*time.Second, func() bool { return c.fleet.Running(task("a", 0)) == 0 })
		is.Equal(c.fleet.Starts(task("a", 0)), 2)
	})
}

// Guards against an owner that was stalled itself, and takes a worker for lost that it did not ask since.
func TestStalledOwnerAsksBeforeItSettles(t *testing.T) {
	runCluster(t, 1, 1, oneSecondTask, func(c *cluster, is *is.I) {
		owner := c.owner()
		silent := c.silence("w0")
		c.submit("a", jobs.Step{}, 2)
		c.waitUntil("the tasks run", time.Second, func() bool { return c.allRunning("a", 2) })
		silent.Store(true)
		time.Sleep(2 * time.Second) // a renewal fails
		silent.Store(false)
		owner.mu.Lock()
		owner.skew = 8 * time.Second // as after a suspension
		owner.mu.Unlock()
		c.waitForState("a", jobs.StateCompleted, 15*time.Second)
		is.Equal(c.fleet.Starts(task("a", 0)), 1)
		is.Equal(c.fleet.Starts(task("a", 1)), 1)
	})
}

// Guards against an odd entry of the registry that names the machine of a live worker and ends its runs.
func TestOddEntryForMachineOfLiveWorker(t *testing.T) {
	runCluster(t, 0, 1, endlessTask, func(c *cluster, is *is.I) {
		c.addWorkerOn("w0", "vm1")
		c.owner()
		c.submit("a", jobs.Step{LongRunning: true}, 2)
		c.waitUntil("the tasks run", 2*time.Second, func() bool { return c.allRunning("a", 2) })
		c.addEntryOn("w9", "vm1") // no such worker answers
		time.Sleep(5 * time.Second)
		c.addWorkerOn("w8", "vm1") // another worker answers, and w0 still does
		time.Sleep(5 * time.Second)
		is.True(c.allRunning("a", 2))
		is.Equal(c.fleet.Starts(task("a", 0)), 1)
	})
}

// Guards against tasks that wait for the lease of a worker although its machine runs a newer one.
func TestNewWorkerOnMachine(t *testing.T) {
	runCluster(t, 0, 1, endlessTask, func(c *cluster, is *is.I) {
		c.addWorkerOn("w0", "vm1")
		c.owner()
		c.submit("a", jobs.Step{LongRunning: true}, 2)
		c.waitUntil("the tasks run", 2*time.Second, func() bool { return c.allRunning("a", 2) })
		c.fleet.Crash("w0")
		c.addWorkerOn("w1", "vm1")
		c.waitUntil("the tasks run again", 3*time.Second, func() bool { return c.allRunning("a", 2) })
		is.Equal(c.fleet.Starts(task("a", 0)), 2)
	})
}
