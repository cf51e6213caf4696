package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
)

// Guards against a job that passes to another account, and is hidden from its own, because the other account submitted a
// job under the same id and the owner changed.
func TestJobKeepsItsAccountAfterSubmissionByAnother(t *testing.T) {
	runCluster(t, 1, 2, endlessTask, func(c *cluster, is *is.I) {
		c.publishAccounts(is, 2, 2)
		c.submitAs("hot", "job")
		c.waitForState("job", jobs.StateRunning, 5*time.Second)
		c.submitAs("calm", "job")
		time.Sleep(time.Second)
		check := func() {
			for name, want := range map[string]jobs.State{"hot": jobs.StateRunning, "calm": jobs.StateUnknown} {
				state, err := c.owner().ownedShard().StateFor(t.Context(), "job", account.Scope{Limited: true, Account: name})
				is.NoErr(err)
				if state != want {
					t.Errorf("%s sees the job as %v, want %v", name, state, want)
				}
			}
		}
		check()
		first := c.owner()
		first.cancel()
		first.done.Wait()
		c.waitUntil("another daemon owns the shard", 4*time.Second, func() bool { return c.owner() != first })
		check()
	})
}

// Guards against a job that is shown to other accounts because its cancellation was read before its submission.
func TestJobCancelledBeforeItsSubmissionKeepsItsAccount(t *testing.T) {
	runCluster(t, 1, 1, endlessTask, func(c *cluster, is *is.I) {
		c.publishAccounts(is, 2, 2)
		c.owner()
		c.cancel("job")
		time.Sleep(time.Second)
		c.submitAs("hot", "job")
		time.Sleep(time.Second)
		for name, want := range map[string]jobs.State{"hot": jobs.StateCancelled, "calm": jobs.StateUnknown} {
			state, err := c.owner().ownedShard().StateFor(t.Context(), "job", account.Scope{Limited: true, Account: name})
			is.NoErr(err)
			if state != want {
				t.Errorf("%s sees the job as %v, want %v", name, state, want)
			}
		}
	})
}

// Guards against an accepted job of a public queue that callers without a key do not see because this build cannot run it.
func TestJobThatCannotBeUsedIsSeenInItsPublicQueue(t *testing.T) {
	runCluster(t, 1, 1, endlessTask, func(c *cluster, is *is.I) {
		c.publishAccounts(is, 2, 2)
		c.owner()
		c.accept(&jobs.Spec{ID: "job", Queue: "q", Account: "hot"}) // no steps
		time.Sleep(time.Second)
		state, err := c.owner().ownedShard().StateFor(t.Context(), "job", account.Scope{Limited: true, Queue: "q"})
		is.NoErr(err)
		if state != jobs.StatePending {
			t.Errorf("a caller without a key sees the job as %v", state)
		}
		count, err := c.owner().ownedShard().Waiting("q")
		is.NoErr(err)
		if count.Waiting != 0 { // no worker will ever run it
			t.Errorf("%d jobs wait", count.Waiting)
		}
	})
}
