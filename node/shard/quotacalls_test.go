package shard_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/shard"
)

// Guards against more than one read of shares a second while only jobs of accounts wait that the configuration no longer holds.
func TestJobsOfUnknownAccountsReadNoShares(t *testing.T) {
	runShards(t, 2, oneSecondTask, func(c *cluster, is *is.I) {
		c.limit(-1) // only the account "other" remains
		c.submitFor(0, "a", jobs.Step{Count: 2})
		time.Sleep(3 * time.Second)
		var calls atomic.Int32
		owner := c.ownerOf(0).name
		c.store.SetFault(func(caller, _ string, p keyedlog.Partition) storefake.Fault {
			if p.Topic == shard.QuotaTopic && caller == owner {
				calls.Add(1)
			}
			return storefake.Fault{}
		})
		for i := range 40 { // jobs without an account lead to plans
			c.submitIn(0, fmt.Sprintf("b%d", i), jobs.Step{Count: 1})
			time.Sleep(250 * time.Millisecond)
		}
		c.t.Logf("%d calls in 10 s", calls.Load())
		is.True(calls.Load() <= 12)
	})
}
