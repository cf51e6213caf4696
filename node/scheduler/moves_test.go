package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
)

// Guards against a burst of moves that overloads the log and the workers when a zone is taken out of service, and
// against evictions of replicas, which stay in their zone.
func TestDrainIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, "a", newControl())
		h.addWorker("w", 50)
		h.publish(withService("v1", 2))
		h.applyControl(&record.Submit{Zone: "a", Job: batchJob("j", 40)})
		h.run(5*time.Second, nil)
		is.Equal(len(h.bound()), 42)
		h.ownerStopped = true
		h.publish(func(d *environment.Document) {
			withService("v1", 2)(d)
			withOutOfService("a")(d)
		})
		for second := 1; second <= 3; second++ {
			h.run(time.Second, nil)
			stopped := count[*record.Stop](h)
			is.True(stopped >= drainTasksPerSecond*(second-1) && stopped <= drainTasksPerSecond*(second+1))
		}
		h.ownerStopped = false
		h.run(time.Minute, nil)
		is.Equal(count[*record.Release](h), 40)
		is.Equal(len(h.bound()), 2)
	})
}

// Guards against tasks that are released to a zone that their job does not allow or that is itself out of service.
func TestDrainRespectsZonesOfJob(t *testing.T) {
	runInZone(t, func(is *is.I, h *harness) {
		h.publish(allInService)
		local := batchJob("stays", 1)
		local.Zones = []string{"a"}
		h.applyControl(&record.Submit{Zone: "a", Job: local})
		h.applyControl(&record.Submit{Zone: "a", Job: batchJob("j", 1)})
		h.run(time.Second, nil)
		h.publish(withOutOfService("a", "b"))
		h.run(time.Minute, nil)
		is.Equal(count[*record.Release](h), 0)
		h.publish(withOutOfService("a"))
		h.run(10*time.Second, nil)
		is.Equal(h.zone.state.Task(record.TaskID{Job: "j"}).ReleasedTo, "b")
		is.Equal(h.zone.state.Task(record.TaskID{Job: "stays"}).State, zone.TaskPending)
	})
}

// Guards against tasks that are lost with a VM that announced its removal, and against a service whose replicas on that
// VM are all stopped at once.
func TestLeavingWorkerIsEmptied(t *testing.T) {
	runInZone(t, func(is *is.I, h *harness) {
		h.publish(withService("v1", 3))
		h.applyControl(&record.Submit{Zone: "a", Job: batchJob("j", 4)})
		h.run(5*time.Second, nil)
		is.Equal(len(h.zone.state.Workers["w"].Tasks), 7)
		h.startupTime = time.Second
		h.addWorker("new", 8)
		h.mustApply(&record.SetWorker{Owner: owner, Worker: "w", State: record.WorkerLeaving})
		h.run(10*time.Second, func() {
			serving := 0
			for _, t := range h.zone.state.Jobs[record.ServiceJobID("s")].Tasks {
				if t.State == zone.TaskBound && t.Address != "" && !t.ShouldStop() {
					serving++
				}
			}
			is.True(serving >= 2)
		})
		is.Equal(len(h.zone.state.Workers["w"].Tasks), 0)
		is.Equal(len(h.zone.state.Workers["new"].Tasks), 7)
		is.Equal(count[*record.Evict](h), 7) // each task moved once
	})
}

// Guards against tasks that wait for ever in a full zone while another has free capacity, tasks that move without a
// delay or to a zone that cannot run them, and urgent tasks that miss their start limit.
func TestSpill(t *testing.T) {
	released := func(t *testing.T, spec record.JobSpec, freeShare float64,
		edit func(*environment.Document)) (after time.Duration) {
		h := newHarness(t, "a", newControl()) // without workers
		if freeShare >= 0 {
			h.freeShares["b"] = freeShare
		}
		h.publish(edit)
		h.applyControl(&record.Submit{Zone: "a", Job: spec})
		started := time.Now()
		h.run(time.Minute, func() {
			if after == 0 && count[*record.Release](h) > 0 {
				after = time.Since(started)
			}
		})
		return after
	}
	urgent := batchJob("j", 1)
	urgent.Priority = record.PriorityUrgent
	local := batchJob("j", 1)
	local.Zones = []string{"a"}
	for _, c := range []struct {
		name      string
		spec      record.JobSpec
		freeShare float64 // free share of zone b; below 0 without a report of it
		edit      func(*environment.Document)
		from, to  time.Duration // when the task is released; 0 for never
	}{
		{"batch", batchJob("j", 1), 0.5, allInService, spillDelay, spillDelay + 2*time.Second},
		{"urgent", urgent, 0.5, allInService, urgentSpillDelay, 1500 * time.Millisecond},
		{"little free capacity", urgent, spillMinFreeShare / 2, allInService, 0, 0},
		{"free capacity unknown", urgent, -1, allInService, 0, 0},
		{"other zone out of service", urgent, 0.5, withOutOfService("b"), 0, 0},
		{"job stays", local, 0.5, allInService, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				after := released(t, c.spec, c.freeShare, c.edit)
				is.New(t).True(after >= c.from && after <= c.to)
			})
		})
	}
}

// Guards against a stampede into a zone that returns to service.
func TestSpillIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, "a", newControl())
		h.freeShares["b"] = 1
		h.publish(allInService)
		h.applyControl(&record.Submit{Zone: "a", Job: batchJob("j", 100)})
		h.run(spillDelay+10*time.Second, nil)
		n := count[*record.Release](h)
		is.True(n >= 9*spillTasksPerSecond && n <= 12*spillTasksPerSecond)
	})
}

// Guards against a worker whose reservations stay above a reduced capacity, and against moving more tasks than needed.
func TestTasksLeaveShrunkWorker(t *testing.T) {
	runInZone(t, func(is *is.I, h *harness) {
		h.publish(withService("v1", 2))
		h.applyControl(&record.Submit{Zone: "a", Job: batchJob("j", 6)})
		h.run(5*time.Second, nil)
		is.Equal(h.zone.state.Workers["w"].Reserved.Slots, int64(8))
		h.addWorker("w", 5)
		h.addWorker("new", 8)
		h.run(10*time.Second, nil)
		is.Equal(h.zone.state.Workers["w"].Reserved.Slots, int64(5))
		is.Equal(count[*record.Evict](h), 3)
		for _, t := range h.bound() {
			is.True(!t.Job.IsService() || t.Worker == "w") // batch tasks are evicted first
		}
	})
}
