package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
)

// Guards against accounts whose tasks take little CPU and much memory, and get more than their share of a pool whose memory
// is in use.
func TestAccountsShareMemory(t *testing.T) {
	runCluster(t, 1, 1, oneSecondTask, func(c *cluster, is *is.I) {
		c.publishAccounts(is, 1000, 1000)
		c.owner()
		for i := range 100 {
			for name, cpu := range map[string]int64{"hot": 100, "calm": 900} {
				c.accept(&jobs.Spec{ID: fmt.Sprint(name, i), Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 60_000,
					Account: name, AcceptedMs: time.Now().UnixMilli(),
					Steps: []jobs.Step{{Count: 1, Size: resource.Vector{MilliCPU: cpu, MemoryMB: 1000}}}})
			}
		}
		time.Sleep(8 * time.Second)
		hot, calm := c.started("hot", 100), c.started("calm", 100)
		t.Logf("started: %d of hot, %d of calm", hot, calm)
		if hot > 2*calm || calm > 2*hot {
			t.Error("not shared")
		}
	})
}
