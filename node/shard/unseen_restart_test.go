package shard_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/jobworker"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/shard"
)

// Guards against runs that count as lost at once when a restarted worker is cut off after its first report and before one
// under the new fence number: a start without knowledge of the restart runs there with a lease of 10 s.
func TestRestartedWorkerCutOffAfterFirstReport(t *testing.T) {
	runLongLeases(t, 1, 1, halfMinuteTask, func(c *cluster, is *is.I) {
		// The renewal under way hangs, so the owner does not see the restart and starts the task on the new incarnation.
		var crashed, reports atomic.Int32
		c.fleet.SetFault(func(id, method string) workerfake.Fault {
			if id != "w0" || crashed.Load() == 0 {
				return workerfake.Fault{}
			}
			if method == "hold" && reports.Add(1) == 2 {
				return workerfake.Fault{} // the first report of the new incarnation, after the start's response
			}
			if method == "start" && reports.Load() < 2 {
				return workerfake.Fault{}
			}
			return workerfake.Fault{Hang: true}
		})
		crashed.Store(1)
		c.waitUntil("a renewal hangs", 3*time.Second, func() bool { return reports.Load() == 1 })
		c.fleet.Crash("w0")
		c.fleet.Restart("w0")
		c.submit("a", jobs.Step{}, 1)
		c.waitUntil("the task runs", time.Second, func() bool { return c.fleet.Runs("w0") == 1 })
		c.changeEntryAs("w0", labels())
		c.addWorker("w1")
		c.waitUntil("the task runs again", 40*time.Second, func() bool { return c.fleet.Starts(task("a", 0)) == 2 })
	})
}

// Guards against a shard that is given up because a worker, whose fence number was raised after a restart, is removed
// while it is cut off and comes back in the same incarnation.
func TestRestartedWorkerComesBackAfterRemoval(t *testing.T) {
	runLongLeases(t, 2, 2, endlessTask, func(c *cluster, is *is.I) {
		first := c.owner()
		owned := first.ownedShard()
		c.fleet.Crash("w0")
		time.Sleep(600 * time.Millisecond)
		c.fleet.Restart("w0")
		c.changeEntryAs("w0", labels())
		time.Sleep(10 * time.Second) // it takes tasks again
		c.cut("w0")
		c.register("w0", nil)
		time.Sleep(15 * time.Second) // it is removed
		c.fleet.SetFault(nil)
		c.register("w0", []byte("up"))
		time.Sleep(5 * time.Second)
		if first.ownedShard() != owned {
			t.Error("the shard was given up")
		}
	})
}

// Guards against a start that a worker executes after it was removed, restarted and added again: its calls have the same
// fence number as those for the former incarnation.
func TestLateStartOnWorkerAddedAgain(t *testing.T) {
	runLongLeases(t, 1, 1, halfMinuteTask, func(c *cluster, is *is.I) {
		var starts atomic.Int32
		c.fleet.SetFault(func(_, method string) workerfake.Fault {
			if method == "start" && starts.Add(1) == 1 {
				return workerfake.Fault{Late: 11 * time.Second}
			}
			return workerfake.Fault{}
		})
		c.submit("a", jobs.Step{}, 1)
		c.waitUntil("the start is sent", 2*time.Second, func() bool { return starts.Load() == 1 })
		c.fleet.Crash("w0")
		c.register("w0", nil)
		c.addWorker("w1")
		time.Sleep(8 * time.Second) // the worker is removed, and the task runs on the other one
		c.fleet.Restart("w0")
		c.changeEntryAs("w0", labels())
		time.Sleep(15 * time.Second)
	})
}

// Guards against a next owner that shortens the leases which the former one passes on, if the registry still names the
// former incarnation of a worker.
func TestNextOwnerBeforeEntryOfRestartedWorker(t *testing.T) {
	runLongLeases(t, 1, 2, halfMinuteTask, func(c *cluster, is *is.I) {
		first := c.owner()
		var sent atomic.Bool
		c.fleet.SetFault(func(id, m string) workerfake.Fault {
			if m == "hold" && sent.CompareAndSwap(false, true) {
				return workerfake.Fault{Hang: true}
			}
			return workerfake.Fault{}
		})
		c.waitUntil("a call is sent", 3*time.Second, sent.Load)
		c.fleet.Crash("w0")
		c.fleet.Restart("w0") // its new entry comes late
		c.submit("a", jobs.Step{}, 1)
		c.waitUntil("the task runs", 2*time.Second, func() bool { return c.allRunning("a", 1) })
		c.cut("w0")
		time.Sleep(time.Second)
		c.addWorker("w1")
		first.leaseManager.Drain()
		c.waitUntil("another daemon owns the shard", 5*time.Second, func() bool { return c.owner() != first })
		c.waitUntil("the task runs again", 60*time.Second, func() bool { return c.fleet.Starts(task("a", 0)) == 2 })
	})
}

// Guards against a next owner that counts the lease of a restarted worker as expired too early if the worker's entry has
// left the registry meanwhile.
func TestNextOwnerWithoutEntryOfRestartedWorker(t *testing.T) {
	for name, crash := range map[string]bool{"released": false, "owner stops": true} {
		t.Run(name, func(t *testing.T) {
			runLongLeases(t, 1, 2, halfMinuteTask, func(c *cluster, is *is.I) {
				first := c.owner()
				c.restartWithLateCall("w0", "hold", 700*time.Millisecond)
				c.submit("a", jobs.Step{}, 1)
				c.waitUntil("the task runs", 10*time.Second, func() bool { return c.allRunning("a", 1) })
				c.addWorker("w1")
				c.cut("w0")
				c.register("w0", nil)
				if crash {
					first.cancel()
				} else {
					first.leaseManager.Drain()
				}
				time.Sleep(100 * time.Millisecond)
				c.waitUntil("another daemon owns the shard", 10*time.Second, func() bool { return c.owner() != first })
				c.waitUntil("the task runs again", 60*time.Second, func() bool { return c.fleet.Starts(task("a", 0)) == 2 })
			})
		})
	}
}

// Guards against long-running tasks, whose starts a worker has confirmed, that wait longer than 9 s when it restarts and is
// lost before the owner has reached it.
func TestTasksOfWorkerLostRightAfterRestartRunInTime(t *testing.T) {
	loseAfterRestart(t, func(*daemon) {})
}

// Guards against the same with an owner that releases the shard meanwhile: the next one doesn't know which starts were
// confirmed.
func TestTasksOfWorkerLostRightAfterRestartAndRelease(t *testing.T) {
	loseAfterRestart(t, func(owner *daemon) { owner.leaseManager.Drain() })
}

// loseAfterRestart loses a worker right after it has restarted, and calls f then.
func loseAfterRestart(t *testing.T, f func(owner *daemon)) {
	t.Helper()
	runLongLeases(t, 1, 2, endlessTask, func(c *cluster, is *is.I) {
		first := c.owner()
		c.submit("a", jobs.Step{LongRunning: true}, 2)
		c.waitUntil("the tasks run", 10*time.Second, func() bool { return c.allRunning("a", 2) })
		time.Sleep(5 * time.Second)
		c.addWorker("w1")
		c.fleet.Crash("w0")
		crashedAt := time.Now()
		c.cut("w0")
		time.Sleep(600 * time.Millisecond)
		c.fleet.Restart("w0")
		c.changeEntryAs("w0", labels())
		f(first)
		c.waitUntil("the tasks run again", 60*time.Second, func() bool { return c.allRunning("a", 2) })
		if d := time.Since(crashedAt); d > 9*time.Second {
			t.Errorf("the tasks run again after %v", d)
		}
	})
}

// Guards against an end on a restarted worker that a late acknowledgement drops before the owner has seen the restart.
func TestLateAcknowledgementBeforeRestartIsSeen(t *testing.T) {
	runLongLeases(t, 1, 1, func(jobs.TaskID, int64) workerfake.Outcome {
		o := oneSecondTask(jobs.TaskID{}, 0)
		o.Duration = 200 * time.Millisecond
		return o
	}, func(c *cluster, is *is.I) {
		c.store.SetFault(func(_, method string, p keyedlog.Partition) storefake.Fault {
			if method == "append" && p.Topic == shard.ProgressTopic {
				return storefake.Fault{Delay: 300 * time.Millisecond}
			}
			return storefake.Fault{}
		})
		var mode, start atomic.Value
		mode.Store(workerfake.Fault{})
		start.Store(workerfake.Fault{})
		c.fleet.SetFault(func(_, method string) workerfake.Fault {
			switch method {
			case "hold":
				return mode.Load().(workerfake.Fault)
			case "start":
				return start.Load().(workerfake.Fault)
			}
			return workerfake.Fault{}
		})
		c.submit("before", jobs.Step{}, 8)
		c.waitUntil("the tasks run", 2*time.Second, func() bool { return c.allRunning("before", 8) })
		time.Sleep(820 * time.Millisecond) // they have ended, and that is about to be stored
		mode.Store(workerfake.Fault{Late: 700 * time.Millisecond})
		time.Sleep(130 * time.Millisecond) // a renewal acknowledges the ends
		start.Store(workerfake.Fault{SlowResponse: 850 * time.Millisecond})
		c.store.SetFault(nil)
		c.fleet.Crash("w0")
		c.fleet.Restart("w0")
		c.submit("after", jobs.Step{}, 1)
		c.waitUntil("the task is started", 500*time.Millisecond, func() bool { return c.fleet.Starts(task("after", 0)) == 1 })
		time.Sleep(1500 * time.Millisecond)
		mode.Store(workerfake.Fault{})
		start.Store(workerfake.Fault{})
		c.changeEntryAs("w0", labels())
		c.waitForState("after", jobs.StateCompleted, 20*time.Second)
		if n := c.fleet.Starts(task("after", 0)); n != 1 {
			t.Errorf("the task was started %d times", n)
		}
	})
}

// Guards against long-running tasks that wait longer than 9 s for a worker that is lost, because an entry of another writer
// names an incarnation that the worker, which answered after it, never had.
func TestTasksOfLostWorkerWithForeignEntryRunInTime(t *testing.T) {
	runLongLeases(t, 1, 1, endlessTask, func(c *cluster, is *is.I) {
		c.submit("a", jobs.Step{LongRunning: true}, 2)
		c.waitUntil("the tasks run", 10*time.Second, func() bool { return c.allRunning("a", 2) })
		c.changeEntry("w0", func(info *jobworker.Info) { info.Incarnation = 99 })
		time.Sleep(5 * time.Second) // the worker goes on answering
		c.addWorker("w1")
		c.fleet.Crash("w0")
		crashedAt := time.Now()
		c.waitUntil("the tasks run again", 60*time.Second, func() bool { return c.allRunning("a", 2) })
		if d := time.Since(crashedAt); d > 9*time.Second {
			t.Errorf("the tasks run again after %v", d)
		}
	})
}

// Guards against a restart that the response to a start does not show, because the former incarnation was young: the lease
// on the next one outlasts the one that the owner counts.
func TestRestartOfYoungWorker(t *testing.T) {
	runLongLeases(t, 1, 1, halfMinuteTask, func(c *cluster, is *is.I) {
		c.register("w0", nil)
		c.fleet.Crash("w0")
		time.Sleep(40 * time.Second)
		var holds atomic.Int32
		c.fleet.SetFault(func(id, method string) workerfake.Fault {
			if id == "w1" && method == "hold" && holds.Add(1) > 2 {
				return workerfake.Fault{Hang: true}
			}
			return workerfake.Fault{}
		})
		c.addWorker("w1")
		c.changeEntryAs("w1", labels())
		c.waitUntil("a renewal hangs", 3*time.Second, func() bool { return holds.Load() == 3 })
		c.fleet.Crash("w1")
		c.fleet.Restart("w1")
		c.submit("a", jobs.Step{}, 1)
		c.waitUntil("the task runs", time.Second, func() bool { return c.fleet.Runs("w1") == 1 })
		c.addWorker("w2")
		c.waitUntil("the task runs again", 40*time.Second, func() bool { return c.fleet.Starts(task("a", 0)) == 2 })
	})
}

// Guards against an acknowledgement for the former incarnation that is repeated to the next one although the response to a
// start has shown the restart: it dropped the end of the task, which ran again (TestMovesOfWorkersBesideFaults, seed 8).
func TestAcknowledgementNotRepeatedToOtherClock(t *testing.T) {
	runLongLeases(t, 1, 1, oneSecondTask, func(c *cluster, is *is.I) {
		c.fleet.Crash("w0")
		c.fleet.Restart("w0")
		c.changeEntryAs("w0", labels())
		time.Sleep(10 * time.Second) // it takes tasks again
		c.store.SetFault(func(_, method string, p keyedlog.Partition) storefake.Fault {
			if method == "append" && p.Topic == shard.ProgressTopic {
				return storefake.Fault{Delay: 300 * time.Millisecond}
			}
			return storefake.Fault{}
		})
		var hang atomic.Bool
		c.fleet.SetFault(func(_, method string) workerfake.Fault {
			if method == "start" {
				hang.Store(false)
			}
			return workerfake.Fault{Hang: method == "hold" && hang.Load()}
		})
		c.submit("before", jobs.Step{}, 8)
		c.waitUntil("the tasks run", 2*time.Second, func() bool { return c.allRunning("before", 8) })
		time.Sleep(1220 * time.Millisecond) // they have ended, and that is about to be stored
		hang.Store(true)
		time.Sleep(500 * time.Millisecond) // a renewal acknowledges the ends
		c.store.SetFault(nil)
		c.fleet.Crash("w0")
		c.fleet.Restart("w0")
		c.submit("after", jobs.Step{}, 1)
		c.waitUntil("the task runs", 500*time.Millisecond, func() bool { return c.allRunning("after", 1) })
		c.changeEntryAs("w0", labels())
		time.Sleep(10 * time.Second)
		if n := c.fleet.Starts(task("after", 0)); n != 1 {
			t.Errorf("the task was started %d times", n)
		}
	})
}

// Guards against a deadline for the former incarnation that is sent to the next one although its entry has shown the restart.
func TestNoDeadlineAfterEntryOfNextIncarnation(t *testing.T) {
	runLongLeases(t, 1, 1, halfMinuteTask, func(c *cluster, is *is.I) {
		var holds atomic.Int32
		var crashed atomic.Bool
		c.fleet.SetFault(func(_, method string) workerfake.Fault {
			if method == "hold" && crashed.Load() {
				return workerfake.Fault{Hang: holds.Add(1) == 1, LoseResponse: true}
			}
			return workerfake.Fault{}
		})
		crashed.Store(true)
		c.waitUntil("a renewal hangs", 3*time.Second, func() bool { return holds.Load() == 1 })
		c.fleet.Crash("w0")
		c.fleet.Restart("w0")
		c.changeEntryAs("w0", labels())
		c.waitUntil("a renewal reaches the next incarnation", 3*time.Second, func() bool { return holds.Load() > 1 })
		time.Sleep(500 * time.Millisecond)
		if d := c.fleet.DeadlineMs("w0"); d > 0 {
			t.Errorf("the next incarnation has a lease until %d ms", d)
		}
	})
}

// Guards against records of workers that have left, of which a fleet whose workers are replaced would keep ever more.
func TestSettledIncarnationsOfRemovedWorkersAreDeleted(t *testing.T) {
	runLongLeases(t, 2, 1, oneSecondTask, func(c *cluster, is *is.I) {
		stored := func() int {
			page, err := c.operatorStore.Newest(t.Context(), keyedlog.Partition{Topic: shard.ProgressTopic}, "")
			is.NoErr(err)
			n := 0
			for _, r := range page.Records {
				if strings.HasPrefix(r.Key, "i/") {
					n++
				}
			}
			return n
		}
		is.Equal(stored(), 2)
		c.fleet.Crash("w1")
		c.register("w1", nil)
		c.waitUntil("one record is left", time.Minute, func() bool { return stored() == 1 })
		c.submit("a", jobs.Step{}, 2)
		c.waitForState("a", jobs.StateCompleted, 5*time.Second)
	})
}
