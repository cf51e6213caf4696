package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/jobworker"
	workerfake "waxwingslip.example/external/jobworker/fake"
)

// lastingOrShortTask is the outcome of tasks that take a second, but for those of the jobs "lasting" and "first", which run
// until they are stopped. All take up what a task of the job's size does.
func lastingOrShortTask(sizes map[string]resource.Vector) func(jobs.TaskID, int64) workerfake.Outcome {
	return func(id jobs.TaskID, _ int64) workerfake.Outcome {
		return workerfake.Outcome{Duration: time.Second, UntilStopped: id.Job == "lasting" || id.Job == "first", Size: sizes[id.Job]}
	}
}

// Guards against capacity that is kept for short tasks which no worker can run: long-running jobs then don't start on idle
// workers for as long as the hopeless job waits.
func TestHopelessJobKeepsNoCapacity(t *testing.T) {
	for name, hopeless := range map[string]jobs.Step{
		"label":        {Count: 20, Size: resource.Vector{MilliCPU: 4000, MemoryMB: 100}, RequiredLabel: "none"},
		"cores":        {Count: 20, Size: resource.Vector{MilliCPU: 11_000, MemoryMB: 100}},
		"huge":         {Count: 1, Size: resource.Vector{MilliCPU: jobs.MaxMilliCPU, MemoryMB: 100}},
		"memory":       {Count: 20, Size: resource.Vector{MilliCPU: 4000, MemoryMB: 20_000}},
		"accelerators": {Count: 20, Size: resource.Vector{MilliCPU: 4000, MemoryMB: 100, Accelerators: 1}},
		"gang":         {Count: 20, Size: resource.Vector{MilliCPU: 4000, MemoryMB: 100}, Gang: true},
		"one a worker": {Count: 20, Size: resource.Vector{MilliCPU: 4000, MemoryMB: 100}, Gang: true, MaxPerWorker: 1},
		"large gang":   {Count: jobs.MaxTasks, Size: resource.Vector{MilliCPU: 100, MemoryMB: 100}, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			size := resource.Vector{MilliCPU: 3000, MemoryMB: 100}
			runCluster(t, 4, 1, lastingOrShortTask(map[string]resource.Vector{"lasting": size, "short": size}), func(c *cluster, is *is.I) {
				c.owner()
				c.acceptSteps("short", jobs.Step{Count: 2, Size: size})
				c.waitForState("short", jobs.StateCompleted, 3*time.Second)
				c.acceptSteps("hopeless", hopeless)
				time.Sleep(5 * time.Second)
				c.acceptSteps("lasting", jobs.Step{Count: 6, Size: size, LongRunning: true})
				c.waitUntil("all long-running tasks run", 5*time.Second, func() bool { return c.allRunning("lasting", 6) })
			})
		})
	}
}

// Guards against many jobs that wait for the only worker of a kind, and that keep the others free as well.
func TestJobsOfOneWorkerKeepNoOtherCapacity(t *testing.T) {
	size, labelled := resource.Vector{MilliCPU: 3000, MemoryMB: 100}, resource.Vector{MilliCPU: 9000, MemoryMB: 100}
	runCluster(t, 4, 1, lastingOrShortTask(map[string]resource.Vector{"lasting": size, "busy": labelled}), func(c *cluster, is *is.I) {
		c.owner()
		c.changeEntry("w0", func(info *jobworker.Info) { info.Labels = []string{"one"} })
		c.acceptSteps("busy", jobs.Step{Count: 40, Size: labelled, RequiredLabel: "one"})
		time.Sleep(2 * time.Second)
		c.acceptSteps("lasting", jobs.Step{Count: 3, Size: size, LongRunning: true})
		c.waitUntil("all long-running tasks run", 5*time.Second, func() bool { return c.allRunning("lasting", 3) })
	})
}

// Guards against free capacity that counts as none because one large short task ran once: nothing corrects the usual size of
// short tasks after the traffic has ended.
func TestFragmentsTakeLongRunningTasks(t *testing.T) {
	for name, used := range map[string]int64{"less than half in use": 4000, "more than half in use": 6000} {
		t.Run(name, func(t *testing.T) {
			short, first, size := resource.Vector{MilliCPU: 6200, MemoryMB: 100}, resource.Vector{MilliCPU: used, MemoryMB: 100},
				resource.Vector{MilliCPU: 800, MemoryMB: 100}
			sizes := map[string]resource.Vector{"lasting": size, "first": first, "short": short}
			runCluster(t, 4, 1, lastingOrShortTask(sizes), func(c *cluster, is *is.I) {
				c.owner()
				c.acceptSteps("short", jobs.Step{Count: 1, Size: short})
				c.waitForState("short", jobs.StateCompleted, 3*time.Second)
				c.acceptSteps("first", jobs.Step{Count: 4, Size: first, LongRunning: true, MaxPerWorker: 1})
				c.waitUntil("first long-running tasks run", 25*time.Second, func() bool { return c.allRunning("first", 4) })
				c.acceptSteps("lasting", jobs.Step{Count: 2, Size: size, LongRunning: true})
				c.waitUntil("all long-running tasks run", 3*time.Second, func() bool { return c.allRunning("lasting", 2) })
			})
		})
	}
}

// Guards against a reserve that is no reserve any more: long-running tasks that are placed in a moment without waiting short
// tasks make all later ones late.
func TestReserveKeepsCapacityOfRecentTasks(t *testing.T) {
	size := resource.Vector{MilliCPU: 2000, MemoryMB: 100}
	runCluster(t, 4, 1, lastingOrShortTask(map[string]resource.Vector{"lasting": size, "short": size}), func(c *cluster, is *is.I) {
		c.owner()
		c.acceptSteps("short", jobs.Step{Count: 12, Size: size})
		c.waitForState("short", jobs.StateCompleted, 3*time.Second)
		c.acceptSteps("lasting", jobs.Step{Count: 20, Size: size, LongRunning: true})
		time.Sleep(500 * time.Millisecond)
		running := 0
		for i := range 20 {
			running += c.fleet.Running(task("lasting", i))
		}
		is.True(running <= 10) // half of the capacity
	})
}

// Guards against a gang larger than the whole fleet for which its shard takes the workers of others, or keeps them free of
// tasks, again and again.
func TestHopelessGangBorrowsNothing(t *testing.T) {
	size := resource.Vector{MilliCPU: 1000, MemoryMB: 100}
	outcome := lastingOrShortTask(map[string]resource.Vector{"short0": size, "short1": size, "short2": size, "short3": size, "short4": size, "short5": size})
	runShards(t, 4, outcome, func(c *cluster, is *is.I) {
		gang := func(number int, id string, step jobs.Step) {
			c.acceptIn(number, &jobs.Spec{ID: id, Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 1000,
				AcceptedMs: time.Now().UnixMilli(), Steps: []jobs.Step{step}})
		}
		gang(0, "gang", jobs.Step{Count: 81, Size: size, Gang: true})
		time.Sleep(10 * time.Second)
		for i := range 6 {
			id := fmt.Sprint("short", i)
			gang(i%2, id, jobs.Step{Count: 40, Size: size}) // all workers of the shard at once
			c.waitForState(id, jobs.StateCompleted, 1900*time.Millisecond)
			time.Sleep(5 * time.Second)
		}
	})
}

// Guards against long-running tasks that wait for short ones which are no longer there: after a burst, capacity was kept free for
// its next tasks for 9 s and longer, although under half of the service was in use.
func TestLongRunningTaskStartsSoonAfterBurst(t *testing.T) {
	first, lasting := resource.Vector{MilliCPU: 4000, MemoryMB: 100}, resource.Vector{MilliCPU: 800, MemoryMB: 100}
	for name, burst := range map[string]struct {
		size  int64
		tasks int
	}{
		"fits at once":       {size: 2200, tasks: 8},
		"twice the capacity": {size: 2200, tasks: 16},
		"ten waves":          {size: 2200, tasks: 80},
		"small tasks":        {size: 300, tasks: 400},
		"one a worker":       {size: 6000, tasks: 20},
	} {
		short := resource.Vector{MilliCPU: burst.size, MemoryMB: 10}
		t.Run(name, func(t *testing.T) {
			runCluster(t, 4, 1, lastingOrShortTask(map[string]resource.Vector{"lasting": lasting, "first": first, "short": short}), func(c *cluster, is *is.I) {
				c.owner()
				c.acceptSteps("first", jobs.Step{Count: 4, Size: first, LongRunning: true, MaxPerWorker: 1})
				c.waitUntil("first long-running tasks run", 25*time.Second, func() bool { return c.allRunning("first", 4) })
				c.acceptSteps("short", jobs.Step{Count: burst.tasks, Size: short})
				c.waitForState("short", jobs.StateCompleted, 60*time.Second)
				// 40% of the service are in use, and there is room for each task many times over.
				c.acceptSteps("lasting", jobs.Step{Count: 2, Size: lasting, LongRunning: true})
				c.waitUntil("all long-running tasks run", 3*time.Second, func() bool { return c.allRunning("lasting", 2) })
			})
		})
	}
}

// Guards against a job of many long-running tasks that takes what is kept for short tasks at once, or takes more than half of the
// service after its wait.
func TestLongRunningTasksLeaveReserveAboveHalf(t *testing.T) {
	size := resource.Vector{MilliCPU: 1000, MemoryMB: 100}
	runCluster(t, 4, 1, lastingOrShortTask(map[string]resource.Vector{"lasting": size, "short": size}), func(c *cluster, is *is.I) {
		c.owner()
		c.acceptSteps("short", jobs.Step{Count: 80, Size: size})
		c.waitForState("short", jobs.StateCompleted, 5*time.Second)
		c.acceptSteps("lasting", jobs.Step{Count: 40, Size: size, LongRunning: true})
		running := func() (n int) {
			for i := range 40 {
				n += c.fleet.Running(task("lasting", i))
			}
			return n
		}
		time.Sleep(time.Second)
		is.True(running() <= 4)
		time.Sleep(1500 * time.Millisecond)
		n := running()
		is.True(n >= 18 && n <= 21)
	})
}
