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

// Guards against capacity that is assigned twice or never released.
func TestCapacityIsReservedAndReleased(t *testing.T) {
	runCluster(t, 2, 1, func(id jobs.TaskID, _ int64) workerfake.Outcome {
		return workerfake.Outcome{Duration: 300 * time.Millisecond, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}
	}, func(c *cluster, is *is.I) {
		c.owner()
		c.submit("a", jobs.Step{}, 100)
		c.waitForState("a", jobs.StateCompleted, 12*time.Second)
		for i := range 100 {
			is.Equal(c.fleet.Starts(task("a", i)), 1) // a refusal for lack of capacity would take another run number
		}
	})
}

// Guards against long-running tasks that stay on a draining worker until it leaves.
func TestWorkerDrains(t *testing.T) {
	runCluster(t, 2, 1, endlessTask, func(c *cluster, is *is.I) {
		c.owner()
		c.submit("a", jobs.Step{LongRunning: true}, 4)
		c.waitUntil("all tasks run", 2*time.Second, func() bool { return c.allRunning("a", 4) })
		c.register("w0", []byte("draining"))
		time.Sleep(2500 * time.Millisecond)
		c.fleet.Crash("w0")
		is.True(c.allRunning("a", 4))
	})
}

// Guards against long-running tasks that are stopped on a draining worker although another one of them takes the
// capacity they were to move to.
func TestDrainMovesTasksOnlyToFreeCapacity(t *testing.T) {
	runCluster(t, 2, 1, endlessTask, func(c *cluster, is *is.I) {
		c.owner()
		c.submit("a", jobs.Step{LongRunning: true}, 10)
		c.waitUntil("all tasks run", 2*time.Second, func() bool { return c.allRunning("a", 10) })
		c.submit("b", jobs.Step{LongRunning: true}, 7)
		c.waitUntil("all tasks run", 25*time.Second, func() bool { return c.allRunning("b", 7) })
		c.register("w0", []byte("draining slowly"))
		time.Sleep(5 * time.Second)
		away := 0
		for i := range 10 {
			away += 1 - c.fleet.Running(task("a", i))
		}
		is.Equal(away, 0) // three have moved, and the others keep running
	})
}

// shortOrEndlessTask is the outcome of tasks that take a second if their job is named "short", and never end otherwise.
func shortOrEndlessTask(id jobs.TaskID, attempt int64) workerfake.Outcome {
	if id.Job == "short" {
		return oneSecondTask(id, attempt)
	}
	return endlessTask(id, attempt)
}

// Guards against long-running tasks that take all capacity before the first short task arrives, which then waits for
// minutes.
func TestLongRunningTasksLeaveCapacityForShort(t *testing.T) {
	runCluster(t, 2, 1, shortOrEndlessTask, func(c *cluster, is *is.I) {
		c.owner()
		c.submit("lasting", jobs.Step{LongRunning: true}, 20)
		time.Sleep(3 * time.Second)
		c.submit("short", jobs.Step{EstimateMs: 1000}, 1)
		c.waitForState("short", jobs.StateCompleted, 3*time.Second)
	})
}

// Guards against jobs of long-running tasks of which some run no task while others run all of theirs.
func TestLongRunningJobsShareScarceCapacity(t *testing.T) {
	runCluster(t, 2, 0, endlessTask, func(c *cluster, is *is.I) {
		for i := range 4 {
			c.submit(fmt.Sprint("job", i), jobs.Step{LongRunning: true}, 12)
		}
		c.addDaemon("d0") // it reads all four jobs at once
		c.owner()
		time.Sleep(2 * time.Second)
		for i := range 4 {
			is.True(c.fleet.Running(task(fmt.Sprint("job", i), 0)) == 1)
		}
	})
}
