package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
)

// Guards against an account whose jobs wait behind all jobs of others because its most urgent jobs cannot run on any worker.
func TestJobsWithoutWorkerDoNotHoldBackTheirAccount(t *testing.T) {
	for _, unplaceable := range []int{0, 200} {
		t.Run(fmt.Sprint(unplaceable), func(t *testing.T) {
			runCluster(t, 1, 1, oneSecondTask, func(c *cluster, is *is.I) {
				c.publishAccounts(is, 1000, 1000) // no job is in excess
				c.owner()
				for i := range unplaceable {
					c.accept(&jobs.Spec{ID: fmt.Sprint("u", i), Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 59_000,
						Account: "calm", AcceptedMs: time.Now().UnixMilli(), Steps: []jobs.Step{{Count: 1, RequiredLabel: "none",
							Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}}})
				}
				for i := range 150 {
					c.submitAs("hot", fmt.Sprint("h", i))
				}
				time.Sleep(500 * time.Millisecond)
				for i := range 5 {
					c.submitAs("calm", fmt.Sprint("a", i))
				}
				time.Sleep(5 * time.Second)
				t.Logf("after 5 s: %d of 5 jobs of calm and %d of 150 of hot have started", c.started("a", 5), c.started("h", 150))
				if c.started("a", 5) < 5 {
					t.Error("jobs of calm wait")
				}
			})
		})
	}
}
