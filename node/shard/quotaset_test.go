package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/shard"
)

// Guards against starts above a limit that was set on an account which had none, while the owner of another shard with runs
// of the account can't store them.
func TestLimitOnAccountThatHadNone(t *testing.T) {
	runShards(t, 2, endlessTask, func(c *cluster, is *is.I) {
		c.limit(0)
		time.Sleep(time.Second)
		c.submitFor(1, "b", jobs.Step{Count: 6, LongRunning: true})
		c.waitUntil("b runs", 8*time.Second, func() bool { return c.runs() == 6 })
		owner := c.ownerOf(1).name
		c.store.SetFault(func(caller, method string, p keyedlog.Partition) storefake.Fault {
			return storefake.Fault{Refuse: p.Topic == shard.QuotaTopic && method == "append" && caller == owner}
		})
		c.limit(6)
		time.Sleep(5 * time.Second) // longer than config_apply_ms
		stop := c.watchRuns(always(6))
		c.submitFor(0, "a", jobs.Step{Count: 4})
		time.Sleep(5 * time.Second)
		stop()
	})
}

// Guards against starts above a limit that is set on an account which had none, while a shard with runs has no owner.
func TestLimitSetWhileShardHasNoOwner(t *testing.T) {
	runShards(t, 2, endlessTask, func(c *cluster, is *is.I) {
		c.limit(0)
		c.submitFor(1, "b", jobs.Step{Count: 6, LongRunning: true})
		c.waitUntil("b runs", 8*time.Second, func() bool { return c.runs() == 6 })
		for _, d := range c.daemons {
			if d.number == 1 {
				d.cancel()
			}
		}
		c.limit(6)
		time.Sleep(4100 * time.Millisecond)
		stop := c.watchRuns(always(6))
		c.submitFor(0, "a", jobs.Step{Count: 4})
		time.Sleep(5 * time.Second)
		stop()
	})
}
