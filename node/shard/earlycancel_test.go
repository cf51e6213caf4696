package shard_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/shard"
)

// cancelUnknown stores the cancellation of a job that is not known, as a daemon does before it answers that there is none.
func (c *cluster) cancelUnknown(id string, scope account.Scope) {
	r, err := shard.EarlyCancelRecord(id, shard.EarlyCancel{Scope: scope, CancelledMs: time.Now().UnixMilli()})
	if err != nil {
		c.t.Fatal(err)
	}
	c.append(keyedlog.Partition{Topic: shard.JobsTopic}, r)
}

// acceptFrom stores a job of an account with three long-running tasks.
func (c *cluster) acceptFrom(id, account string, change func(*jobs.Spec)) {
	spec := &jobs.Spec{ID: id, Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 1000, Account: account,
		AcceptedMs: time.Now().UnixMilli(), Steps: []jobs.Step{{Count: 3, Size: tinyTask, LongRunning: true}}}
	if change != nil {
		change(spec)
	}
	c.accept(spec)
}

// cancelledEarly returns whether the owner says that a job of an account was cancelled before it was accepted.
func (c *cluster) cancelledEarly(id, account string) bool {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
	defer cancel()
	cancelled, err := c.owner().ownedShard().CancelledEarly(ctx, id, account)
	if err != nil {
		c.t.Errorf("acceptance of %s: %v", id, err)
	}
	return cancelled
}

// Guards against jobs that run for good although their callers were told that they don't exist: the acceptance was held up on
// its way to the store, and took effect after the answer.
func TestLateAcceptanceAfterCancelOfUnknownJob(t *testing.T) {
	for name, test := range map[string]struct {
		scope, second account.Scope
		account       string
		change        func(*jobs.Spec)
		ownerChanges  bool
		runs          bool
	}{
		"without accounts":           {},
		"own job":                    {scope: account.Scope{Limited: true, Account: "a"}, account: "a"},
		"job of another account":     {scope: account.Scope{Limited: true, Account: "b"}, account: "a", runs: true},
		"job without an account":     {scope: account.Scope{Limited: true, Account: "b"}, runs: true},
		"public queue, without key":  {scope: account.Scope{Limited: true, Queue: "q"}, account: "a", runs: true},
		"another account cancels it": {scope: account.Scope{Limited: true, Account: "a"}, second: account.Scope{Limited: true, Account: "b"}, account: "a"},
		"owner changes":              {ownerChanges: true},
		"owner changes, own job": {scope: account.Scope{Limited: true, Account: "a"}, second: account.Scope{Limited: true, Account: "b"},
			account: "a", ownerChanges: true},
		"owner changes, another account": {scope: account.Scope{Limited: true, Account: "b"}, account: "a", ownerChanges: true, runs: true},
		"scheduled": {change: func(s *jobs.Spec) {
			s.Repeat, s.FirstRunMs, s.IntervalMs, s.Steps[0].LongRunning = 3, time.Now().UnixMilli()+3000, 1000, false
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 2, 2, endlessTask, func(c *cluster, is *is.I) {
				d := c.owner()
				c.cancelUnknown("late", test.scope)
				if test.second != (account.Scope{}) {
					c.cancelUnknown("late", test.second)
				}
				if test.ownerChanges {
					d.cancel()
					d.done.Wait()
					c.owner()
				}
				time.Sleep(4 * time.Second)
				c.acceptFrom("late", test.account, test.change)
				is.Equal(c.cancelledEarly("late", test.account), !test.runs)
				time.Sleep(5 * time.Second)
				is.Equal(c.allRunning("late", 3), test.runs)
				if test.runs {
					return
				}
				is.Equal(c.fleet.Starts(task("late", 0)), 0)
				is.Equal(c.state("late"), jobs.StateUnknown) // as the answer said
				c.acceptFrom("late", test.account, test.change)
				is.True(c.cancelledEarly("late", test.account)) // also of a repeat
				c.acceptFrom("other", test.account, nil)
				is.True(!c.cancelledEarly("other", test.account))
				if !test.ownerChanges { // both daemons are needed
					d.cancel()
					d.done.Wait()
				}
				time.Sleep(20 * time.Second)
				is.Equal(c.fleet.Starts(task("late", 0)), 0)
				is.Equal(c.state("late"), jobs.StateUnknown)
			})
		})
	}
}

// Guards against callers who are told that a job is accepted although they cancelled it before, while no owner answered.
func TestAcceptanceAfterCancelWithoutOwner(t *testing.T) {
	runCluster(t, 2, 1, endlessTask, func(c *cluster, is *is.I) {
		c.owner()
		c.cancel("a")
		time.Sleep(time.Second)
		c.acceptFrom("a", "", nil)
		is.True(c.cancelledEarly("a", ""))
		is.Equal(c.state("a"), jobs.StateCancelled)
		is.Equal(c.fleet.Starts(task("a", 0)), 0)
	})
}

// Guards against a cancellation that does not hold for a job accepted before it, but read later than the question whether the
// job exists.
func TestCancelOfUnknownJobEndsAcceptedOne(t *testing.T) {
	runCluster(t, 2, 2, endlessTask, func(c *cluster, is *is.I) {
		d := c.owner()
		c.acceptFrom("a", "", nil)
		c.waitUntil("its tasks run", 3*time.Second, func() bool { return c.allRunning("a", 3) })
		c.cancelUnknown("a", account.Scope{})
		c.waitUntil("its tasks are gone", 3*time.Second, func() bool { return c.fleet.Running(task("a", 0)) == 0 })
		is.Equal(c.state("a"), jobs.StateCancelled)
		d.cancel()
		d.done.Wait()
		time.Sleep(10 * time.Second)
		is.Equal(c.fleet.Starts(task("a", 0)), 1)
	})
}

// Guards against cancellations that stay for good: callers choose the ids, and fill the store and the owner's memory.
func TestCancelsOfUnknownJobsEnd(t *testing.T) {
	runCluster(t, 2, 2, endlessTask, func(c *cluster, is *is.I) {
		d := c.owner()
		for i := range 100 {
			c.cancelUnknown(fmt.Sprint("none", i), account.Scope{})
		}
		c.cancelUnknown("late", account.Scope{})
		time.Sleep(shard.EarlyCancelRetention - 10*time.Second)
		c.acceptFrom("late", "", nil)
		time.Sleep(20 * time.Second)
		d.cancel() // the next owner must not find the job without the cancellation
		d.done.Wait()
		time.Sleep(shard.EarlyCancelRetention + time.Minute)
		is.Equal(c.fleet.Starts(task("late", 0)), 0)
		time.Sleep(shard.EarlyCancelRetention)
		c.expectNoRecords("none")
		c.expectNoRecords("late")
		c.acceptFrom("none0", "", nil)
		is.True(!c.cancelledEarly("none0", ""))
		c.waitUntil("a new job of the id runs", 5*time.Second, func() bool { return c.allRunning("none0", 3) })
	})
}
