package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
)

// Guards against a filling task that goes on at full speed beside a serving task that it holds over its objective.
func TestFillingTaskIsPaced(t *testing.T) {
	run(t, 1, 1, disturbed, func(w *world, is *is.I) {
		w.owner()
		w.submit("serve", jobs.Step{LongRunning: true, Image: "s", TailTargetMs: 20}, 1)
		w.submit("fill", jobs.Step{Fills: true, Image: "f"}, 1)
		w.awaitThat("the filling task is halted", 4*time.Second, func() bool { return w.fleet.PaceOf("w0", task("fill", 0)) == 0 })
	})
}

// Guards against a filling task that stays halted because the next owner of the shard takes it to be unpaced (ambon-mist
// mix 173306017531: taken for standing still, it also closed its worker to lasting tasks, LOST).
func TestPaceIsSetAfterHandOver(t *testing.T) {
	run(t, 1, 2, disturbed, func(w *world, is *is.I) {
		first := w.owner()
		w.submit("serve", jobs.Step{LongRunning: true, Image: "s", TailTargetMs: 20}, 1)
		w.submit("fill", jobs.Step{Fills: true, Image: "f"}, 1)
		w.awaitThat("the filling task is halted", 4*time.Second, func() bool { return w.fleet.PaceOf("w0", task("fill", 0)) == 0 })
		first.cancel()
		w.cancel("serve")
		w.awaitThat("the other member owns the shard", 5*time.Second, func() bool { return w.owner() != first })
		w.awaitThat("the filling task is at full pace", 4*time.Second, func() bool { return w.fleet.PaceOf("w0", task("fill", 0)) == 100 })
	})
}

// Guards against a filling task that waits for company that it does not disturb while most of the room is free
// (ambon-mist fresh-bcb1, LOST).
func TestFillingTaskRunsInAnIdlePool(t *testing.T) {
	run(t, 2, 1, disturbed, func(w *world, is *is.I) {
		w.owner()
		w.submit("serve", jobs.Step{LongRunning: true, Image: "s", TailTargetMs: 20, MaxPerWorker: 1}, 2)
		w.submit("first", jobs.Step{Fills: true, Image: "f"}, 2)
		time.Sleep(10 * time.Second) // the pair is known to disturb
		w.submit("second", jobs.Step{Fills: true, Image: "f"}, 1)
		w.awaitThat("the task runs", 3*time.Second, func() bool { return w.fleet.Running(task("second", 0)) == 1 })
	})
}

// Guards against a new owner that tries pairs of images again which its predecessor found to disturb.
func TestLearnedOutlastsTheOwner(t *testing.T) {
	run(t, 1, 2, pressed, func(w *world, is *is.I) {
		first := w.owner()
		w.submit("serve", jobs.Step{LongRunning: true, Image: "s", TailTargetMs: 20}, 6)
		w.submit("first", jobs.Step{Fills: true, Image: "f"}, 1)
		time.Sleep(15 * time.Second) // it is slowed and raised again and again
		w.cancel("first")
		w.awaitThat("the filling task is gone", 4*time.Second, func() bool { return w.fleet.Running(task("first", 0)) == 0 })
		first.cancel()
		w.awaitThat("the other member owns the shard", 5*time.Second, func() bool { return w.owner() != first })
		w.submit("second", jobs.Step{Fills: true, Image: "f"}, 1)
		time.Sleep(3 * time.Second)
		is.Equal(w.fleet.Starts(task("second", 0)), 0)
	})
}
