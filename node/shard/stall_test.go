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

// Guards against healthy tasks that take longer than their estimate and count as standing still: one on each worker closed all
// workers of the service, and one that fits elsewhere was started over again and again.
func TestUnderestimatedTasksCloseNoWorkers(t *testing.T) {
	short := resource.Vector{MilliCPU: 500, MemoryMB: 100}
	for _, times := range []int{3, 10, 30} {
		t.Run(fmt.Sprint(times), func(t *testing.T) {
			long := resource.Vector{MilliCPU: 1000, MemoryMB: 100}
			const estimate = 20 * time.Second
			outcome := func(id jobs.TaskID, _ int64) workerfake.Outcome {
				if id.Job[0] == 'l' {
					return workerfake.Outcome{Duration: time.Duration(times) * estimate, Size: long}
				}
				return workerfake.Outcome{Duration: time.Second, Size: short}
			}
			runCluster(t, 4, 2, outcome, func(c *cluster, is *is.I) {
				d := c.owner()
				c.acceptSteps("long", jobs.Step{Count: 4, Size: long, MaxPerWorker: 1, EstimateMs: estimate.Milliseconds()})
				c.acceptSteps("lone", jobs.Step{Count: 1, Size: long, EstimateMs: estimate.Milliseconds()})
				runShort := func(i int) {
					id := fmt.Sprint("short", i)
					c.acceptSteps(id, jobs.Step{Count: 4, Size: short, EstimateMs: 1000})
					c.waitForState(id, jobs.StateCompleted, 3*time.Second)
				}
				for i := range 15 {
					time.Sleep(time.Second)
					runShort(i)
				}
				d.cancel() // the next owner does not know how fast they are
				c.waitUntil("another daemon owns the shard", 10*time.Second, func() bool { return c.owner() != d })
				for i := range 10 {
					time.Sleep(time.Second)
					runShort(100 + i)
				}
				c.waitForState("long", jobs.StateCompleted, time.Duration(times)*estimate+30*time.Second)
				c.waitForState("lone", jobs.StateCompleted, 30*time.Second)
			})
		})
	}
}

// Guards against a task that waits for good on a worker on which it hangs, and new ones that are placed there.
func TestHungTaskIsMoved(t *testing.T) {
	for name, stallsAfter := range map[string]time.Duration{"at once": time.Millisecond, "halfway": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			outcome := func(id jobs.TaskID, run int64) workerfake.Outcome {
				o := workerfake.Outcome{Duration: 10 * time.Second, Size: tinyTask}
				if id.Index == 0 && run == 1 {
					o.StallsAfter = stallsAfter
				}
				return o
			}
			runCluster(t, 2, 1, outcome, func(c *cluster, is *is.I) {
				c.owner()
				c.acceptSteps("job", jobs.Step{Count: 4, Size: tinyTask, EstimateMs: 10_000})
				c.waitUntil("the task runs again", stallsAfter+4*time.Second, func() bool { return c.fleet.Starts(task("job", 0)) == 2 })
				c.waitForState("job", jobs.StateCompleted, 12*time.Second)
			})
		})
	}
}

// Guards against a service without open workers because a task hangs on each of them.
func TestHungTasksLeaveHalfOfTheWorkersOpen(t *testing.T) {
	outcome := func(id jobs.TaskID, _ int64) workerfake.Outcome {
		o := workerfake.Outcome{Duration: time.Second, Size: tinyTask}
		if id.Job == "hangs" {
			o.StallsAfter = time.Millisecond
		}
		return o
	}
	runCluster(t, 4, 1, outcome, func(c *cluster, is *is.I) {
		c.owner()
		c.acceptSteps("hangs", jobs.Step{Count: 4, Size: tinyTask, MaxPerWorker: 1, EstimateMs: 1000})
		for i := range 20 {
			time.Sleep(time.Second)
			id := fmt.Sprint("short", i)
			c.acceptSteps(id, jobs.Step{Count: 4, Size: tinyTask})
			c.waitForState(id, jobs.StateCompleted, 3*time.Second)
		}
	})
}
