package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/shard"
)

// Guards against a panic or a stand-off on odd records in the topic.
func TestOddRecordsOfShares(t *testing.T) {
	runShards(t, 2, oneSecondTask, func(c *cluster, is *is.I) {
		c.limit(6)
		p := keyedlog.Partition{Topic: shard.QuotaTopic}
		for _, k := range []string{"", "/", "a", "/1", "a/", "a/-1", "a/+1", "a/01", "%zz/1", "te/nant/1", "a/99999999999999999999",
			"other/0", "other/1", "a//1"} {
			for _, v := range [][]byte{{}, {0xff}, {0xa0}, {0xf6}, {0x80}, []byte("junk")} {
				c.append(p, keyedlog.Record{Key: k, Value: v})
			}
		}
		time.Sleep(time.Second)
		for i := range 2 {
			id := fmt.Sprintf("job%d", i)
			c.submitFor(i, id, jobs.Step{Count: 6})
			c.waitForState(id, jobs.StateCompleted, 8*time.Second)
		}
		c.ownerOf(0).cancel()
		c.submitFor(0, "c", jobs.Step{Count: 6})
		c.waitForState("c", jobs.StateCompleted, 12*time.Second)
	})
}
