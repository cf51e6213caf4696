package shard_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/jobqueue"
	workerfake "waxwingslip.example/external/jobworker/fake"
)

// Guards against members of a gang that start without the others and wait in vain.
func TestGangStartsAsAWholeOrNotAtAll(t *testing.T) {
	run(t, 2, 1, lasting, func(w *world, is *is.I) {
		w.owner()
		w.submit("lasting", jobs.Step{LongRunning: true}, 17)
		w.awaitThat("the lasting tasks run", 2*time.Second, func() bool { return w.running("lasting", 17) })
		w.submit("gang", jobs.Step{Gang: true}, 5)
		time.Sleep(3 * time.Second)
		for i := range 5 {
			is.Equal(w.fleet.Starts(task("gang", i)), 0) // there is room for three
		}
		w.cancel("lasting")
		w.awaitThat("the whole gang runs", 3*time.Second, func() bool { return w.running("gang", 5) })
	})
}

// Guards against occurrences of a scheduled job that start before their time, twice, or not at all when the owner
// changes.
func TestScheduledJobRunsEachOccurrenceOnce(t *testing.T) {
	run(t, 2, 2, brief, func(w *world, is *is.I) {
		first := w.owner()
		due := time.Now().Add(2 * time.Second)
		const interval, times = 3 * time.Second, 4
		w.accept(&jobs.Spec{ID: "timed", Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, AcceptedMs: time.Now().UnixMilli(),
			Repeat: times, FirstRunMs: due.UnixMilli(), IntervalMs: interval.Milliseconds(),
			Steps: []jobs.Step{{Count: 2, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}}})
		name := func(occurrence int) string { return jobs.TaskID{Job: "timed", Occurrence: occurrence}.String() }
		for k := range times {
			time.Sleep(time.Until(due.Add(time.Duration(k)*interval - 250*time.Millisecond)))
			is.Equal(w.fleet.Starts(name(k)), 0)
			if k == 1 {
				first.cancel() // the next owner leads about when the occurrence is due
			}
		}
		w.await("timed", jobs.StateCompleted, 6*time.Second)
		for k := range times {
			is.Equal(w.fleet.Starts(name(k)), 1)
		}
	})
}

// Guards against tasks on workers of a service to which no configuration sends their queue, also after a change.
func TestTasksKeepToTheirService(t *testing.T) {
	run(t, 1, 1, brief, func(w *world, is *is.I) {
		w.addWorkerOf("other0", "other")
		w.owner()
		var here, other atomic.Int32 // starts on w0 and on other0
		w.fleet.SetFault(func(worker, method string) workerfake.Fault {
			switch {
			case method != "start":
			case worker == "other0":
				other.Add(1)
			default:
				here.Add(1)
			}
			return workerfake.Fault{}
		})
		w.submit("a", jobs.Step{}, 25) // more than fit at a time
		w.await("a", jobs.StateCompleted, 6*time.Second)
		is.Equal(other.Load(), int32(0))
		w.publish(&jobqueue.Config{Version: 2, Queues: []jobqueue.Queue{{Name: "q", Service: "other"}},
			Services: map[string]jobqueue.Service{service: {Name: service}, "other": {Name: "other"}}})
		before := here.Load()
		w.submit("b", jobs.Step{}, 5)
		w.await("b", jobs.StateCompleted, 6*time.Second)
		is.Equal(here.Load(), before)
		is.Equal(other.Load(), int32(5))
	})
}
