package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	workerfake "waxwingslip.example/external/jobworker/fake"
)

// Guards against a job that lacks only a task which failed, and which waits for as long as jobs arrive that are not late
// (ambon-mist-large trouble-1, small twin: 45 s).
func TestFailedTaskOfLateJobRunsAgain(t *testing.T) {
	size := resource.Vector{MilliCPU: 1000, MemoryMB: 1000}
	runCluster(t, 1, 1, func(id jobs.TaskID, run int64) workerfake.Outcome {
		return workerfake.Outcome{Duration: time.Second, Fails: id.Job == "late" && run == 1,
			Size: size}
	}, func(c *cluster, is *is.I) {
		c.owner()
		c.accept(&jobs.Spec{ID: "late", Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 1000,
			AcceptedMs: time.Now().Add(-20 * time.Second).UnixMilli(),
			Steps:      []jobs.Step{{Count: 1, Size: size}}})
		c.waitUntil("the late job runs", 3*time.Second, func() bool { return c.fleet.Starts(task("late", 0)) == 1 })
		for i := range 20 {
			c.accept(&jobs.Spec{ID: fmt.Sprintf("new%d", i), Queue: "q", Service: service, MaxAttempts: 3, TargetMs: 60_000,
				AcceptedMs: time.Now().UnixMilli(), Steps: []jobs.Step{{Count: 10, Size: size}}}) // 20 s of work
		}
		c.waitUntil("the task runs again", 4*time.Second, func() bool { return c.fleet.Starts(task("late", 0)) == 2 })
		c.waitForState("late", jobs.StateCompleted, 3*time.Second)
	})
}
