package shard_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/shard"
)

// waiting returns the number of jobs that wait, by the owners of both shards.
func (c *cluster) waiting(is *is.I) int {
	counts := make([]shard.Count, 2)
	for number := range counts {
		var err error
		counts[number], err = c.ownerOf(number).ownedShard().Waiting("q")
		is.NoErr(err)
	}
	return shard.TotalWaiting(counts)
}

// Guards against a job that moves to another shard and is counted as waiting by neither owner, or by both, however late
// its former shard announces it and the other one reads that.
func TestMovingJobIsCountedOnce(t *testing.T) {
	for name, fault := range map[string]storefake.Fault{"prompt": {}, "announced late": {Hang: true}, "read late": {}} {
		t.Run(name, func(t *testing.T) {
			runOccupied(t, func(c *cluster, is *is.I) {
				var held atomic.Bool
				held.Store(true)
				c.fleet.SetFault(func(_, method string) workerfake.Fault {
					return workerfake.Fault{NotConnected: method == "start"} // no run is confirmed
				})
				c.store.SetFault(func(caller, method string, p keyedlog.Partition) storefake.Fault {
					other := p == (keyedlog.Partition{Topic: shard.JobsTopic, Number: 1}) && caller != "operator" && held.Load()
					switch {
					case other && method == "append":
						return fault
					case other && name == "read late":
						return storefake.Fault{Hang: true}
					}
					return storefake.Fault{}
				})
				c.submitIn(0, "job", jobs.Step{Count: 2, RequiredLabel: "b"})
				c.waitUntil("the job is read", 5*time.Second, func() bool { return c.waiting(is) == 1 })
				for range 500 {
					is.Equal(c.waiting(is), 1)
					time.Sleep(20 * time.Millisecond)
				}
				held.Store(false)
				for range 250 {
					is.Equal(c.waiting(is), 1)
					time.Sleep(20 * time.Millisecond)
				}
				is.Equal(c.state("job"), jobs.StatePending)
				c.fleet.SetFault(nil)
				c.waitForState("job", jobs.StateCompleted, 20*time.Second)
				is.Equal(c.waiting(is), 0)
			})
		})
	}
}

// Guards against a job that is counted twice, or not at all, around its move between shards.
func TestTotalWaiting(t *testing.T) {
	for name, test := range map[string]struct {
		counts []shard.Count
		want   int
	}{
		"none moves":           {[]shard.Count{{Waiting: 2}, {Waiting: 3}}, 5},
		"not announced":        {[]shard.Count{{Leaving: []shard.Leaving{{To: 1}}}, {ReadTo: 7}}, 1},
		"announced, not read":  {[]shard.Count{{Leaving: []shard.Leaving{{To: 1, Offset: 7}}}, {ReadTo: 7}}, 1},
		"read":                 {[]shard.Count{{Leaving: []shard.Leaving{{To: 1, Offset: 7}}}, {ReadTo: 8, Waiting: 1}}, 1},
		"read and begun":       {[]shard.Count{{Leaving: []shard.Leaving{{To: 1, Offset: 7}}}, {ReadTo: 8}}, 0},
		"shard does not exist": {[]shard.Count{{Leaving: []shard.Leaving{{To: 5}, {To: -1}}}}, 0},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(shard.TotalWaiting(test.counts), test.want) })
	}
}

// Guards against a job that nobody submitted and that is shown as cancelled after someone cancelled it (review of
// ambon-mist), also by the next owner, and against a job that runs although it was cancelled before it was submitted.
func TestCancelledUnknownJobIsNotShown(t *testing.T) {
	runCluster(t, 1, 2, oneSecondTask, func(c *cluster, is *is.I) {
		first := c.owner()
		for _, id := range []string{"nobody", "late", "later"} {
			c.cancel(id)
		}
		time.Sleep(2 * time.Second)
		is.Equal(c.state("nobody"), jobs.StateUnknown)
		c.submit("late", jobs.Step{}, 1)
		c.waitForState("late", jobs.StateCancelled, 3*time.Second)
		first.cancel()
		first.done.Wait()
		c.owner()
		is.Equal(c.state("nobody"), jobs.StateUnknown)
		is.Equal(c.state("late"), jobs.StateCancelled)
		c.submit("later", jobs.Step{}, 1)
		c.waitForState("later", jobs.StateCancelled, 3*time.Second)
		for _, id := range []string{"late", "later"} {
			is.Equal(c.fleet.Starts(task(id, 0)), 0)
		}
	})
}

// Guards against jobs that count as waiting although a worker has confirmed a run of theirs: the start had no answer, the
// run lasted, and its end came after it was settled.
func TestLateReportShowsThatJobHasBegun(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		t.Run(fmt.Sprintf("long-running %v", longRunning), func(t *testing.T) {
			runCluster(t, 1, 1, func(jobs.TaskID, int64) workerfake.Outcome {
				return workerfake.Outcome{Duration: 9 * time.Second, Fails: true}
			}, func(c *cluster, is *is.I) {
				c.owner()
				var cut atomic.Bool
				c.fleet.SetFault(func(_, method string) workerfake.Fault {
					switch {
					case method == "start" && !cut.Swap(true):
						return workerfake.Fault{LoseResponse: true} // the run starts, and nothing is heard of it
					case cut.Load():
						return workerfake.Fault{Hang: true}
					}
					return workerfake.Fault{}
				})
				c.submit("job", jobs.Step{LongRunning: longRunning}, 1)
				time.Sleep(12 * time.Second) // its lease has expired
				is.Equal(c.state("job"), jobs.StatePending)
				c.fleet.SetFault(func(_, method string) workerfake.Fault { return workerfake.Fault{NotConnected: method == "start"} })
				c.waitForState("job", jobs.StateRunning, 10*time.Second)
			})
		})
	}
}

// Guards against callers that learn of jobs of other accounts, and against jobs that are hidden from their own account, also
// after the job moved and under other owners.
func TestJobsOfOtherAccountsAreUnknown(t *testing.T) {
	runOccupied(t, func(c *cluster, is *is.I) {
		spec := twoSteps("job") // it moves to shard 1
		spec.Account = "a"
		c.acceptIn(0, spec)
		check := func() {
			for number := range 2 {
				s := c.ownerOf(number).ownedShard()
				for scope, seen := range map[account.Scope]bool{{}: true, {Limited: true, Account: "a"}: true,
					{Limited: true, Account: "b"}: false, {Limited: true}: false} {
					state, err := s.StateFor(c.t.Context(), "job", scope)
					is.NoErr(err)
					is.Equal(state != jobs.StateUnknown, seen)
				}
				state, err := s.StateFor(c.t.Context(), "nobody", account.Scope{})
				is.NoErr(err)
				is.Equal(state, jobs.StateUnknown)
			}
		}
		c.waitForState("job", jobs.StateCompleted, 20*time.Second)
		check()
		for number := range 2 {
			d := c.ownerOf(number)
			d.cancel()
			d.done.Wait()
		}
		c.waitForState("job", jobs.StateCompleted, 10*time.Second)
		check()
	})
}
