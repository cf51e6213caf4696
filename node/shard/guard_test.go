package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
)

// Guards against a filling task that keeps running at full speed beside a serving task that it keeps over its
// objective.
func TestFillingTaskIsPaced(t *testing.T) {
	runCluster(t, 1, 1, highTailTask, func(c *cluster, is *is.I) {
		c.owner()
		c.submit("serve", jobs.Step{LongRunning: true, Image: "s", TailTargetMs: 20}, 1)
		c.submit("fill", jobs.Step{Fills: true, Image: "f"}, 1)
		c.waitUntil("the filling task is halted", 4*time.Second,
			func() bool { return c.fleet.PaceOf("w0", task("fill", 0)) == 0 })
	})
}

// Guards against a filling task that stays halted because the shard's next owner assumes that it runs at full pace. It
// also counted as stalled, so that its worker was quarantined and took no long-running tasks.
func TestPaceIsSetAfterHandOver(t *testing.T) {
	runCluster(t, 1, 2, highTailTask, func(c *cluster, is *is.I) {
		first := c.owner()
		c.submit("serve", jobs.Step{LongRunning: true, Image: "s", TailTargetMs: 20}, 1)
		c.submit("fill", jobs.Step{Fills: true, Image: "f"}, 1)
		c.waitUntil("the filling task is halted", 4*time.Second,
			func() bool { return c.fleet.PaceOf("w0", task("fill", 0)) == 0 })
		first.cancel()
		c.cancel("serve")
		c.waitUntil("the other daemon owns the shard", 5*time.Second, func() bool { return c.owner() != first })
		c.waitUntil("the filling task is at full pace", 4*time.Second,
			func() bool { return c.fleet.PaceOf("w0", task("fill", 0)) == 100 })
	})
}

// Guards against a filling task that waits for a worker on which it disturbs no serving task while most of the capacity
// is free.
func TestFillingTaskRunsInAnIdlePool(t *testing.T) {
	runCluster(t, 2, 1, highTailTask, func(c *cluster, is *is.I) {
		c.owner()
		c.submit("serve", jobs.Step{LongRunning: true, Image: "s", TailTargetMs: 20, MaxPerWorker: 1}, 2)
		c.submit("first", jobs.Step{Fills: true, Image: "f"}, 2)
		time.Sleep(10 * time.Second) // the model learns that the pair interferes
		c.submit("second", jobs.Step{Fills: true, Image: "f"}, 1)
		c.waitUntil("the task runs", 3*time.Second, func() bool { return c.fleet.Running(task("second", 0)) == 1 })
	})
}

// Guards against a new owner that again tries pairs of images which the previous owner found to interfere.
func TestLearnedFactorsSurviveOwnerChange(t *testing.T) {
	runCluster(t, 1, 2, loadDependentTail, func(c *cluster, is *is.I) {
		first := c.owner()
		c.submit("serve", jobs.Step{LongRunning: true, Image: "s", TailTargetMs: 20}, 6)
		c.submit("first", jobs.Step{Fills: true, Image: "f"}, 1)
		time.Sleep(15 * time.Second) // its pace is lowered and raised repeatedly
		c.cancel("first")
		c.waitUntil("the filling task is gone", 4*time.Second, func() bool { return c.fleet.Running(task("first", 0)) == 0 })
		first.cancel()
		c.waitUntil("the other daemon owns the shard", 5*time.Second, func() bool { return c.owner() != first })
		c.submit("second", jobs.Step{Fills: true, Image: "f"}, 1)
		time.Sleep(3 * time.Second)
		is.Equal(c.fleet.Starts(task("second", 0)), 0)
	})
}

// Guards against filling tasks that all leave a worker for the same place, in which there may be room for one: the others
// were halted elsewhere and moved again, for as long as serving tasks were over their objectives (ambon-mist-large
// trouble-1, small twin: 842 moves in one shard).
func TestFillingTasksMoveOneAtATime(t *testing.T) {
	runCluster(t, 1, 1, highTailTask, func(c *cluster, is *is.I) {
		const fills = 4
		c.owner()
		c.submit("serve", jobs.Step{LongRunning: true, Image: "s", TailTargetMs: 20}, 1)
		c.submit("fill", jobs.Step{Fills: true, Image: "f", Checkpointing: true}, fills)
		c.waitUntil("the filling tasks run", 4*time.Second, func() bool { return c.allRunning("fill", fills) })
		time.Sleep(4 * time.Second)
		is.Equal(c.fleet.PaceOf("w0", task("fill", 0)), 0)
		c.addWorker("w1")
		for startedAt := time.Now(); c.fleet.Runs("w1") < fills; time.Sleep(time.Millisecond) {
			away := 0
			for i := range fills {
				away += 1 - c.fleet.Running(task("fill", i))
			}
			is.True(away <= 1)
			is.True(time.Since(startedAt) < 30*time.Second)
		}
	})
}
