package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
)

// Guards against a gang that waits as long as another shard's younger job has tasks.
func TestYoungerJobOfAnotherShardYieldsToGang(t *testing.T) {
	runShards(t, 2, oneSecondTask, func(c *cluster, is *is.I) {
		c.limit(6)
		time.Sleep(time.Second)
		c.submitFor(1, "first", jobs.Step{Count: 6})
		c.waitUntil("first runs", 2*time.Second, func() bool { return c.runs() == 6 })
		c.submitFor(0, "gang", jobs.Step{Count: 6, Gang: true})
		time.Sleep(100 * time.Millisecond)
		c.submitFor(1, "many", jobs.Step{Count: 300})
		c.waitForState("gang", jobs.StateCompleted, 20*time.Second)
	})
}
