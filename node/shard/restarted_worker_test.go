package shard_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/shard"
)

// longWorkerLease is a longest lease of workers that exceeds the longest one that owners grant.
const longWorkerLease = 10 * time.Second

// runLongLeases is runCluster for workers that accept leases of longWorkerLease.
func runLongLeases(t *testing.T, workers, daemons int, outcome func(jobs.TaskID, int64) workerfake.Outcome,
	f func(c *cluster, is *is.I)) {
	t.Helper()
	runCluster(t, 0, 0, outcome, func(c *cluster, is *is.I) {
		c.longestLease = longWorkerLease
		for i := range workers {
			c.addWorker(workerName(i))
			c.changeEntryAs(workerName(i), labels())
		}
		for i := range daemons {
			c.addDaemon("d" + string(rune('0'+i)))
		}
		c.owner()
		time.Sleep(20 * time.Second) // the clocks of the first incarnations are far ahead of those of the next ones
		f(c, is)
	})
}

func workerName(i int) string { return "w" + string(rune('0'+i)) }

// restartWithLateCall restarts a worker, and executes one call of a method that was sent before on the new incarnation.
func (c *cluster) restartWithLateCall(worker, method string, late time.Duration) {
	var sent atomic.Bool
	c.fleet.SetFault(func(id, m string) workerfake.Fault {
		if id == worker && m == method && sent.CompareAndSwap(false, true) {
			return workerfake.Fault{Late: late}
		}
		return workerfake.Fault{}
	})
	c.waitUntil("a call is sent", 3*time.Second, sent.Load)
	c.fleet.Crash(worker)
	time.Sleep(600 * time.Millisecond)
	c.fleet.Restart(worker)
	c.changeEntryAs(worker, labels())
}

// cut makes workers unreachable.
func (c *cluster) cut(ids ...string) {
	c.fleet.SetFault(func(id, _ string) workerfake.Fault {
		for _, cut := range ids {
			if id == cut {
				return workerfake.Fault{Hang: true}
			}
		}
		return workerfake.Fault{}
	})
}

// halfMinuteTask is the outcome of tasks that take half a minute.
func halfMinuteTask(jobs.TaskID, int64) workerfake.Outcome {
	return workerfake.Outcome{Duration: 30 * time.Second, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}
}

// Guards against a second run of a task beside one that a renewal meant for the worker's former incarnation keeps alive
// (sacudi-lima, recut: the renewal's deadline on the former clock became a lease of 10 s).
func TestLateRenewalOnRestartedWorker(t *testing.T) {
	for _, late := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			runLongLeases(t, 1, 1, halfMinuteTask, func(c *cluster, is *is.I) {
				c.restartWithLateCall("w0", "hold", late)
				c.submit("a", jobs.Step{}, 1)
				c.waitUntil("the task runs", 10*time.Second, func() bool { return c.allRunning("a", 1) })
				time.Sleep(500 * time.Millisecond)
				c.addWorker("w1")
				c.cut("w0")
				time.Sleep(20 * time.Second)
				is.Equal(c.fleet.Running(task("a", 0)), 1)
			})
		})
	}
}

// Guards against a next owner that counts the leases of such a worker as expired too early (sacudi-lima, recut-kill).
func TestNextOwnerAfterWorkerRestarted(t *testing.T) {
	runLongLeases(t, 1, 2, halfMinuteTask, func(c *cluster, is *is.I) {
		first := c.owner()
		c.restartWithLateCall("w0", "hold", 700*time.Millisecond)
		c.submit("a", jobs.Step{}, 1)
		c.waitUntil("the task runs", 10*time.Second, func() bool { return c.allRunning("a", 1) })
		c.addWorker("w1")
		c.cut("w0")
		first.leaseManager.Drain()
		c.waitUntil("another daemon owns the shard", 5*time.Second, func() bool { return c.owner() != first })
		time.Sleep(20 * time.Second)
		is.Equal(c.fleet.Running(task("a", 0)), 1)
	})
}

// Guards against the same whenever the task starts, however long the next owner waits.
func TestNextOwnerStartsNoSecondRun(t *testing.T) {
	for name, wait := range map[string]time.Duration{"task starts unaware of the restart": 0, "task starts later": time.Second} {
		t.Run(name, func(t *testing.T) {
			runLongLeases(t, 1, 2, halfMinuteTask, func(c *cluster, is *is.I) {
				first := c.owner()
				c.restartWithLateCall("w0", "hold", 700*time.Millisecond)
				time.Sleep(wait)
				c.submit("a", jobs.Step{}, 1)
				c.waitUntil("the task runs", 10*time.Second, func() bool { return c.allRunning("a", 1) })
				c.addWorker("w1")
				c.cut("w0")
				first.leaseManager.Drain()
				c.waitUntil("another daemon owns the shard", 5*time.Second, func() bool { return c.owner() != first })
				c.waitUntil("the task runs again", 40*time.Second, func() bool { return c.fleet.Starts(task("a", 0)) == 2 })
			})
		})
	}
}

// Guards against a start meant for the worker's former incarnation that runs a task on the next one beside its new run.
func TestLateStartOnRestartedWorker(t *testing.T) {
	runLongLeases(t, 1, 1, halfMinuteTask, func(c *cluster, is *is.I) {
		var starts atomic.Int32
		c.fleet.SetFault(func(_, method string) workerfake.Fault {
			if method == "start" && starts.Add(1) == 1 {
				return workerfake.Fault{Late: 5 * time.Second} // the second attempt succeeds
			}
			return workerfake.Fault{}
		})
		c.submit("a", jobs.Step{}, 1)
		c.waitUntil("the task runs", 2*time.Second, func() bool { return c.allRunning("a", 1) })
		c.fleet.Crash("w0")
		c.addWorker("w1")
		time.Sleep(600 * time.Millisecond)
		c.fleet.Restart("w0") // without a new entry it gets no starts
		time.Sleep(20 * time.Second)
		is.Equal(c.fleet.Running(task("a", 0)), 1)
		is.Equal(c.fleet.Runs("w0"), 0)
	})
}

// Guards against ends of a restarted worker that an acknowledgement meant for its former incarnation drops: the tasks ran
// again.
func TestLateAcknowledgementOnRestartedWorker(t *testing.T) {
	runLongLeases(t, 1, 1, oneSecondTask, func(c *cluster, is *is.I) {
		c.store.SetFault(func(_, method string, p keyedlog.Partition) storefake.Fault {
			if method == "append" && p.Topic == shard.ProgressTopic {
				return storefake.Fault{Delay: 300 * time.Millisecond}
			}
			return storefake.Fault{}
		})
		var mode atomic.Value // fault of renewals
		mode.Store(workerfake.Fault{})
		c.fleet.SetFault(func(_, method string) workerfake.Fault {
			if method == "hold" {
				return mode.Load().(workerfake.Fault)
			}
			return workerfake.Fault{}
		})
		c.submit("before", jobs.Step{}, 8)
		c.waitUntil("the tasks run", 2*time.Second, func() bool { return c.allRunning("before", 8) })
		time.Sleep(1220 * time.Millisecond) // they have ended, and that is about to be stored
		mode.Store(workerfake.Fault{Late: 9 * time.Second})
		time.Sleep(500 * time.Millisecond) // a renewal acknowledges the ends
		c.fleet.Crash("w0")
		c.fleet.Restart("w0")
		c.changeEntryAs("w0", labels())
		mode.Store(workerfake.Fault{})
		c.store.SetFault(nil)
		time.Sleep(6500 * time.Millisecond)
		c.submit("after", jobs.Step{}, 8)
		c.waitUntil("the tasks run", 500*time.Millisecond, func() bool { return c.allRunning("after", 8) })
		mode.Store(workerfake.Fault{Hang: true}) // the ends are not reported before the acknowledgement arrives
		time.Sleep(2500 * time.Millisecond)
		mode.Store(workerfake.Fault{})
		c.waitForState("after", jobs.StateCompleted, 20*time.Second)
		for i := range 8 {
			is.Equal(c.fleet.Starts(task("after", i)), 1)
		}
	})
}

// Guards against a long-running task that waits longer than the 9 s after which it counts as lost, when its worker has
// restarted shortly before it is lost for good.
func TestTasksOfRestartedWorkerRunInTime(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			runLongLeases(t, 1, 1, endlessTask, func(c *cluster, is *is.I) {
				c.restartWithLateCall("w0", "hold", 700*time.Millisecond)
				c.submit("a", jobs.Step{LongRunning: true}, 2)
				c.waitUntil("the tasks run", 10*time.Second, func() bool { return c.allRunning("a", 2) })
				time.Sleep(after)
				c.addWorker("w1")
				c.fleet.Crash("w0")
				c.waitUntil("the tasks run again", 9*time.Second, func() bool { return c.allRunning("a", 2) })
			})
		})
	}
}

// Guards against the same for tasks that start once the owner knows of the restart.
func TestTasksOfKnownRestartRunInTime(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			runLongLeases(t, 1, 1, endlessTask, func(c *cluster, is *is.I) {
				c.restartWithLateCall("w0", "hold", 700*time.Millisecond)
				time.Sleep(time.Second) // the owner knows of the restart
				c.submit("a", jobs.Step{LongRunning: true}, 2)
				c.waitUntil("the tasks run", 10*time.Second, func() bool { return c.allRunning("a", 2) })
				time.Sleep(after)
				c.addWorker("w1")
				c.fleet.Crash("w0")
				c.waitUntil("the tasks run again", 9*time.Second, func() bool { return c.allRunning("a", 2) })
			})
		})
	}
}
