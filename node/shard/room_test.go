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

// Guards against room that is given twice or never given back.
func TestRoomIsKept(t *testing.T) {
	run(t, 2, 1, func(id jobs.TaskID, _ int64) workerfake.Outcome {
		return workerfake.Outcome{Duration: 300 * time.Millisecond, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}
	}, func(w *world, is *is.I) {
		w.owner()
		w.submit("a", jobs.Step{}, 100)
		w.await("a", jobs.StateCompleted, 12*time.Second)
		for i := range 100 {
			is.Equal(w.fleet.Starts(task("a", i)), 1) // a refusal for want of room would take another run number
		}
	})
}

// Guards against lasting tasks that stay on a draining worker until it leaves with them.
func TestWorkerDrains(t *testing.T) {
	run(t, 2, 1, lasting, func(w *world, is *is.I) {
		w.owner()
		w.submit("a", jobs.Step{LongRunning: true}, 4)
		w.awaitThat("all tasks run", 2*time.Second, func() bool { return w.running("a", 4) })
		w.register("w0", []byte("draining"))
		time.Sleep(2500 * time.Millisecond)
		w.fleet.Crash("w0")
		is.True(w.running("a", 4))
	})
}

// Guards against lasting tasks that are stopped on a draining worker for a place that another one of them takes.
func TestTasksLeaveADrainingWorkerOneAPlace(t *testing.T) {
	run(t, 2, 1, lasting, func(w *world, is *is.I) {
		w.owner()
		w.submit("a", jobs.Step{LongRunning: true}, 10)
		w.awaitThat("all tasks run", 2*time.Second, func() bool { return w.running("a", 10) })
		w.submit("b", jobs.Step{LongRunning: true}, 7)
		w.awaitThat("all tasks run", 25*time.Second, func() bool { return w.running("b", 7) })
		w.register("w0", []byte("draining slowly"))
		time.Sleep(5 * time.Second)
		away := 0
		for i := range 10 {
			away += 1 - w.fleet.Running(task("a", i))
		}
		is.Equal(away, 0) // three have moved, and the others work on
	})
}

// shortOrLasting is the outcome of tasks of which those of jobs named "short" take a second.
func shortOrLasting(id jobs.TaskID, run int64) workerfake.Outcome {
	if id.Job == "short" {
		return brief(id, run)
	}
	return lasting(id, run)
}

// Guards against lasting tasks that take all room before the first short task comes, which then waits for minutes
// (ambon-mist quiet-1).
func TestLastingTasksLeaveRoomForShortOnes(t *testing.T) {
	run(t, 2, 1, shortOrLasting, func(w *world, is *is.I) {
		w.owner()
		w.submit("lasting", jobs.Step{LongRunning: true}, 20)
		time.Sleep(3 * time.Second)
		w.submit("short", jobs.Step{EstimateMs: 1000}, 1)
		w.await("short", jobs.StateCompleted, 3*time.Second)
	})
}

// Guards against jobs of lasting tasks that have none at work while others have all.
func TestLastingJobsShareScarceRoom(t *testing.T) {
	run(t, 2, 0, lasting, func(w *world, is *is.I) {
		for i := range 4 {
			w.submit(fmt.Sprint("job", i), jobs.Step{LongRunning: true}, 12)
		}
		w.addMember("d0") // it reads all four together
		w.owner()
		time.Sleep(2 * time.Second)
		for i := range 4 {
			is.True(w.fleet.Running(task(fmt.Sprint("job", i), 0)) == 1)
		}
	})
}
