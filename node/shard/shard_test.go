package shard_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/shard"
	"waxwingslip.example/node/shardlease"
)

// Guards against a job that does not run from its acceptance to its end with its steps in order.
func TestJobRunsToItsEnd(t *testing.T) {
	runCluster(t, 2, 1, oneSecondTask, func(c *cluster, is *is.I) {
		c.owner()
		c.submit("a", jobs.Step{}, 3, 2)
		c.waitForState("a", jobs.StateRunning, time.Second)
		c.waitForState("a", jobs.StateCompleted, 3*time.Second)
		is.Equal(c.fleet.Starts(task("a", 0)), 1)
		is.Equal(c.fleet.Starts("a.0.1.1"), 1)
	})
}

// Guards against two daemons that claim at the same offset and both consider themselves the owner: the store treated
// the second claim, which had the same epoch and sequence number, as a repeat of the first.
func TestOneOwnerOfManyClaims(t *testing.T) {
	runCluster(t, 1, 6, oneSecondTask, func(c *cluster, is *is.I) {
		c.store.SetFault(func(_, method string, p keyedlog.Partition) storefake.Fault {
			if p.Topic == shardlease.Topic && method == "append" {
				return storefake.Fault{Delay: 20 * time.Millisecond} // so that claims are in flight at the same time
			}
			return storefake.Fault{}
		})
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			owners := 0
			for _, d := range c.daemons {
				if d.ownedShard() != nil {
					owners++
				}
			}
			is.True(owners <= 1)
		}
	})
}

// Guards against tasks that stop, start twice or stay unknown when the shard's owner dies.
func TestOwnerDies(t *testing.T) {
	runCluster(t, 3, 3, endlessTask, func(c *cluster, is *is.I) {
		first := c.owner()
		c.submit("a", jobs.Step{LongRunning: true}, 6)
		c.waitUntil("all tasks run", 2*time.Second, func() bool { return c.allRunning("a", 6) })
		first.cancel()
		first.done.Wait()
		c.waitUntil("another daemon owns the shard", 4*time.Second, func() bool {
			d := c.owner()
			return d != first
		})
		time.Sleep(10 * time.Second)
		is.True(c.allRunning("a", 6))
		for i := range 6 {
			is.Equal(c.fleet.Starts(task("a", i)), 1) // the leases did not expire meanwhile
		}
	})
}

func (c *cluster) allRunning(job string, n int) bool {
	for i := range n {
		if c.fleet.Running(task(job, i)) != 1 {
			return false
		}
	}
	return true
}

// Guards against an owner that is cut off from the store and keeps starting tasks while its successor does, too.
func TestOwnerCutFromStore(t *testing.T) {
	runCluster(t, 3, 2, oneSecondTask, func(c *cluster, is *is.I) {
		first := c.owner()
		c.submit("before", jobs.Step{}, 1)
		c.waitForState("before", jobs.StateCompleted, 5*time.Second)
		c.store.SetFault(func(caller, _ string, _ keyedlog.Partition) storefake.Fault {
			return storefake.Fault{Hang: caller == first.name}
		})
		for i := range 20 {
			c.submit(string(rune('a'+i)), jobs.Step{}, 2, 2)
			time.Sleep(300 * time.Millisecond)
		}
		c.waitUntil("the first owner gave up the shard", 10*time.Second, func() bool { return first.ownedShard() == nil })
		for i := range 20 {
			c.waitForState(string(rune('a'+i)), jobs.StateCompleted, 20*time.Second)
		}
	})
}

// Guards against accepted jobs that are hidden by a read on an unresponsive connection, and are missing in the number
// of waiting jobs after 3 s, when they must be visible.
func TestHangingReadDoesNotHideJobs(t *testing.T) {
	runCluster(t, 2, 1, oneSecondTask, func(c *cluster, is *is.I) {
		c.owner()
		var hung atomic.Bool
		c.store.SetFault(func(_, method string, p keyedlog.Partition) storefake.Fault {
			return storefake.Fault{Hang: method == "read" && p.Topic == shard.JobsTopic && hung.CompareAndSwap(false, true)}
		})
		c.submit("first", jobs.Step{}, 1) // ends the pending read; the next one gets no response
		c.waitUntil("a read gets no response", time.Second, hung.Load)
		c.submit("a", jobs.Step{}, 1)
		c.waitUntil("the job is seen", 3*time.Second, func() bool { return c.fleet.Starts(task("a", 0)) == 1 })
	})
}

// Guards against tasks that keep running after their job was cancelled while the shard had no owner: loading ended the
// job before its workers were known.
func TestCancelledWithoutOwner(t *testing.T) {
	runCluster(t, 2, 1, endlessTask, func(c *cluster, is *is.I) {
		first := c.owner()
		c.submit("a", jobs.Step{LongRunning: true}, 4)
		c.waitUntil("all tasks run", 2*time.Second, func() bool { return c.allRunning("a", 4) })
		first.cancel()
		first.done.Wait()
		c.cancel("a")
		c.addDaemon("d9")
		c.waitForState("a", jobs.StateCancelled, 5*time.Second)
		c.waitUntil("no task runs", 2*time.Second, func() bool {
			for i := range 4 {
				if c.fleet.Running(task("a", i)) > 0 {
					return false
				}
			}
			return true
		})
	})
}

// Guards against long-running tasks that are never restarted because every renewal without a response extends the lease
// of their worker.
func TestWorkerDies(t *testing.T) {
	runCluster(t, 3, 1, endlessTask, func(c *cluster, is *is.I) {
		c.owner()
		c.submit("a", jobs.Step{LongRunning: true, MaxPerWorker: 2}, 4)
		c.waitUntil("all tasks run", 2*time.Second, func() bool { return c.allRunning("a", 4) })
		c.fleet.Crash("w0")
		c.register("w0", nil)
		c.waitUntil("the tasks run elsewhere", maxWorkerLease*102/100+1500*time.Millisecond,
			func() bool { return c.allRunning("a", 4) })
	})
}

// Guards against a second run beside one on a worker that is cut off and keeps running it until its lease expires.
func TestWorkerCutOff(t *testing.T) {
	runCluster(t, 3, 1, endlessTask, func(c *cluster, is *is.I) {
		c.owner()
		c.submit("a", jobs.Step{LongRunning: true, MaxPerWorker: 2}, 4)
		c.waitUntil("all tasks run", 2*time.Second, func() bool { return c.allRunning("a", 4) })
		c.fleet.SetFault(func(worker, _ string) workerfake.Fault { return workerfake.Fault{Hang: worker == "w1"} })
		c.register("w1", nil)
		time.Sleep(maxWorkerLease + 2*time.Second)
		is.True(c.allRunning("a", 4))
		c.fleet.SetFault(nil)
		c.register("w1", []byte("up"))
		time.Sleep(3 * time.Second)
		is.True(c.allRunning("a", 4))
	})
}

// Guards against a start without a response that is assumed to have had no effect, though it arrives late.
func TestStartWithoutResponseMayArriveLate(t *testing.T) {
	runCluster(t, 3, 1, oneSecondTask, func(c *cluster, is *is.I) {
		c.owner()
		var n atomic.Int64
		c.fleet.SetFault(func(_, method string) workerfake.Fault {
			if method != "start" {
				return workerfake.Fault{}
			}
			switch n.Add(1) % 4 {
			case 1:
				return workerfake.Fault{Late: 3 * time.Second}
			case 2:
				return workerfake.Fault{LoseResponse: true}
			}
			return workerfake.Fault{}
		})
		for i := range 10 {
			c.submit(string(rune('a'+i)), jobs.Step{}, 3, 2)
		}
		for i := range 10 {
			c.waitForState(string(rune('a'+i)), jobs.StateCompleted, 40*time.Second)
		}
	})
}

// Guards against acknowledged ends that are lost and tasks that run again when responses of the store are lost and the
// owner changes.
func TestStoreLosesResponsesAndOwnerChanges(t *testing.T) {
	runCluster(t, 3, 3, oneSecondTask, func(c *cluster, is *is.I) {
		first := c.owner()
		var n atomic.Int64
		c.store.SetFault(func(caller, method string, p keyedlog.Partition) storefake.Fault {
			if method != "append" || caller == "operator" {
				return storefake.Fault{}
			}
			switch n.Add(1) % 5 {
			case 0:
				return storefake.Fault{LoseResponse: true}
			case 2:
				return storefake.Fault{Late: 2 * time.Second}
			}
			return storefake.Fault{}
		})
		for i := range 10 {
			c.submit(string(rune('a'+i)), jobs.Step{}, 3, 2)
			time.Sleep(200 * time.Millisecond)
		}
		first.cancel()
		for i := range 10 {
			c.waitForState(string(rune('a'+i)), jobs.StateCompleted, 60*time.Second)
		}
	})
}

// Guards against jobs that are lost when the store trims its history at a change of owner.
func TestHistoryDropped(t *testing.T) {
	runCluster(t, 2, 2, oneSecondTask, func(c *cluster, is *is.I) {
		first := c.owner()
		for i := range 60 { // more than a page
			c.submit("job"+string(rune('0'+i/10))+string(rune('0'+i%10)), jobs.Step{}, 1)
		}
		c.store.Trim()
		first.cancel()
		first.done.Wait()
		c.store.Trim()
		for i := range 60 {
			c.waitForState("job"+string(rune('0'+i/10))+string(rune('0'+i%10)), jobs.StateCompleted, 60*time.Second)
		}
	})
}

// Guards against a failing task that runs more often than its job allows, and against a job that never ends because of
// it.
func TestAttemptsAreLimited(t *testing.T) {
	fails := func(id jobs.TaskID, _ int64) workerfake.Outcome {
		o := oneSecondTask(id, 0)
		o.Fails = id.Index == 0
		return o
	}
	runCluster(t, 2, 1, fails, func(c *cluster, is *is.I) {
		c.owner()
		c.submit("a", jobs.Step{}, 2)
		c.waitForState("a", jobs.StateFailed, 10*time.Second)
		time.Sleep(3 * time.Second)
		is.Equal(c.fleet.Starts(task("a", 0)), 3)
	})
}

// Guards against starts in an availability zone that is out of service.
func TestZoneOut(t *testing.T) {
	runCluster(t, 2, 1, oneSecondTask, func(c *cluster, is *is.I) {
		c.owner()
		c.mu.Lock()
		c.zonesOut["z0"] = true
		c.mu.Unlock()
		time.Sleep(time.Second)
		c.fleet.SetFault(func(worker, method string) workerfake.Fault {
			if worker == "w0" && method == "start" {
				t.Error("a task starts on w0")
			}
			return workerfake.Fault{}
		})
		c.submit("a", jobs.Step{}, 15)
		c.waitForState("a", jobs.StateCompleted, 10*time.Second)
	})
}

// Guards against a former owner that answers queries from outdated state: it has no workers whose refusals would reveal
// its successor.
func TestCutOffOwnerRejectsQueries(t *testing.T) {
	runCluster(t, 0, 2, oneSecondTask, func(c *cluster, is *is.I) {
		first := c.owner()
		c.submit("a", jobs.Step{}, 1)
		c.waitForState("a", jobs.StatePending, time.Second)
		stale := first.ownedShard()
		c.store.SetFault(func(caller, _ string, _ keyedlog.Partition) storefake.Fault {
			return storefake.Fault{Hang: caller == first.name}
		})
		time.Sleep(shardlease.WorkerLeaseGrace + time.Second)
		_, err := stale.State(t.Context(), "a")
		is.True(errors.Is(err, shard.ErrStale))
	})
}

// Guards against a second run of tasks on a worker that the new owner cannot reach after a handover: the leases that
// the previous owner granted remain valid for their full time.
func TestHandOverWithUnreachableWorker(t *testing.T) {
	runCluster(t, 3, 2, endlessTask, func(c *cluster, is *is.I) {
		first := c.owner()
		c.submit("a", jobs.Step{LongRunning: true, MaxPerWorker: 2}, 4)
		c.waitUntil("all tasks run", 2*time.Second, func() bool { return c.allRunning("a", 4) })
		c.fleet.SetFault(func(worker, _ string) workerfake.Fault { return workerfake.Fault{NotConnected: worker == "w0"} })
		first.leaseManager.Drain()
		c.waitUntil("the other daemon owns the shard", 3*time.Second, func() bool { return c.owner() != first })
		time.Sleep(maxWorkerLease + 2*time.Second)
		is.True(c.allRunning("a", 4))
	})
}

// Guards against tasks that make no progress on a worker and stay there as long as it reports itself healthy.
func TestStalledTaskIsRestarted(t *testing.T) {
	hangsOnce := func(id jobs.TaskID, attempt int64) workerfake.Outcome {
		if attempt == 1 && id.Index == 0 {
			return workerfake.Outcome{Duration: time.Hour, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}
		}
		return oneSecondTask(id, attempt)
	}
	runCluster(t, 2, 1, hangsOnce, func(c *cluster, is *is.I) {
		c.owner()
		c.submit("a", jobs.Step{EstimateMs: 1000}, 3)
		c.waitForState("a", jobs.StateCompleted, 7*time.Second)
	})
}

// Guards against unreported ends of a restarted worker that are acknowledged with a number of its former incarnation:
// the tasks ran twice.
func TestWorkerRestartsBetweenRenewals(t *testing.T) {
	quick := func(id jobs.TaskID, _ int64) workerfake.Outcome {
		return workerfake.Outcome{Duration: 10 * time.Millisecond, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}
	}
	runCluster(t, 1, 1, quick, func(c *cluster, is *is.I) {
		c.owner()
		for i := range 5 {
			c.submit("before"+string(rune('0'+i)), jobs.Step{}, 4)
			c.waitForState("before"+string(rune('0'+i)), jobs.StateCompleted, 5*time.Second)
		}
		time.Sleep(1300 * time.Millisecond) // a renewal waits for an end, and times out after the tasks below end
		c.fleet.Crash("w0")
		c.fleet.Restart("w0")
		c.submit("after", jobs.Step{}, 4)
		c.waitForState("after", jobs.StateCompleted, 20*time.Second)
	})
}

// Guards against a restarted daemon that waits for the lease of its own former process to expire: after a power loss of
// all daemons, the shard had no owner for 2.8 s.
func TestRestartedOwnerClaimsAtOnce(t *testing.T) {
	runCluster(t, 1, 1, endlessTask, func(c *cluster, is *is.I) {
		first := c.owner()
		c.submit("a", jobs.Step{LongRunning: true}, 2)
		c.waitUntil("all tasks run", 2*time.Second, func() bool { return c.allRunning("a", 2) })
		first.cancel()
		first.done.Wait()
		restarted := c.addDaemon("d0")
		c.waitUntil("the restarted daemon owns the shard", time.Second, func() bool { return restarted.ownedShard() != nil })
		time.Sleep(5 * time.Second)
		is.True(c.allRunning("a", 2))
		is.Equal(c.fleet.Starts(task("a", 0)), 1)
	})
}

// Guards against orders that go out twice, or jobs that are lost, around a hand-over of the shard between two daemons.
func TestShardIsHandedOver(t *testing.T) {
	runCluster(t, 3, 3, oneSecondTask, func(c *cluster, is *is.I) {
		for i := range 30 {
			from := c.owner()
			c.submit(fmt.Sprintf("a%d", i), jobs.Step{}, 4, 2)
			if i%5 == 4 {
				to := c.daemons[(i/5)%len(c.daemons)]
				if to == from {
					to = c.daemons[(i/5+1)%len(c.daemons)]
				}
				from.leaseManager.HandOver(to.name)
				c.waitUntil("the shard has moved", 1500*time.Millisecond, func() bool {
					s := to.ownedShard()
					return s != nil && s.Loaded()
				})
			}
			time.Sleep(200 * time.Millisecond)
		}
		for i := range 30 {
			c.waitForState(fmt.Sprintf("a%d", i), jobs.StateCompleted, 20*time.Second)
			for k := range 4 {
				is.Equal(c.fleet.Starts(task(fmt.Sprintf("a%d", i), k)), 1)
			}
		}
	})
}
