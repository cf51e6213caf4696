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
// against evicting replicas, which stay in their zone.
func TestDrainIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "a", newControl())
		w.addWorker("w", 50)
		w.publish(withService("v1", 2))
		w.order(&record.Submit{Zone: "a", Job: batch("j", 40)})
		w.run(5*time.Second, nil)
		is.Equal(len(w.bound()), 42)
		w.idle = true
		w.publish(func(d *environment.Document) {
			withService("v1", 2)(d)
			outOf("a")(d)
		})
		for second := 1; second <= 3; second++ {
			w.run(time.Second, nil)
			stopped := count[*record.Stop](w)
			is.True(stopped >= moveRate*(second-1) && stopped <= moveRate*(second+1))
		}
		w.idle = false
		w.run(time.Minute, nil)
		is.Equal(count[*record.Release](w), 40)
		is.Equal(len(w.bound()), 2)
	})
}

// Guards against work that is released to a zone in which its job may not run, or which is out of service itself.
func TestDrainRespectsZonesOfJob(t *testing.T) {
	inZone(t, func(is *is.I, w *world) {
		w.publish(inService)
		bound := batch("stays", 1)
		bound.Zones = []string{"a"}
		w.order(&record.Submit{Zone: "a", Job: bound})
		w.order(&record.Submit{Zone: "a", Job: batch("j", 1)})
		w.run(time.Second, nil)
		w.publish(outOf("a", "b"))
		w.run(time.Minute, nil)
		is.Equal(count[*record.Release](w), 0)
		w.publish(outOf("a"))
		w.run(10*time.Second, nil)
		is.Equal(w.zone.state.Task(record.TaskID{Job: "j"}).ReleasedTo, "b")
		is.Equal(w.zone.state.Task(record.TaskID{Job: "stays"}).State, zone.TaskPending)
	})
}

// Guards against tasks that die with a VM although it announced that it leaves, and against a service whose replicas on
// that VM are all stopped at once.
func TestLeavingWorkerIsEmptied(t *testing.T) {
	inZone(t, func(is *is.I, w *world) {
		w.publish(withService("v1", 3))
		w.order(&record.Submit{Zone: "a", Job: batch("j", 4)})
		w.run(5*time.Second, nil)
		is.Equal(len(w.zone.state.Workers["w"].Tasks), 7)
		w.startTime = time.Second
		w.addWorker("new", 8)
		w.must(&record.SetWorker{Owner: owner, Worker: "w", State: record.WorkerLeaving})
		w.run(10*time.Second, func() {
			serving := 0
			for _, t := range w.zone.state.Jobs[record.ServiceJobID("s")].Tasks {
				if t.State == zone.TaskBound && t.Address != "" && !t.StopWanted() {
					serving++
				}
			}
			is.True(serving >= 2)
		})
		is.Equal(len(w.zone.state.Workers["w"].Tasks), 0)
		is.Equal(len(w.zone.state.Workers["new"].Tasks), 7)
		is.Equal(count[*record.Evict](w), 7) // each task moved once
	})
}

// Guards against work that waits for ever in a full zone while another has room, work that moves at once or to where it
// cannot run, and urgent work that misses its start limit.
func TestSpill(t *testing.T) {
	released := func(t *testing.T, spec record.JobSpec, room float64, edit func(*environment.Document)) (after time.Duration) {
		w := newWorld(t, "a", newControl()) // without workers
		if room >= 0 {
			w.rooms["b"] = room
		}
		w.publish(edit)
		w.order(&record.Submit{Zone: "a", Job: spec})
		started := time.Now()
		w.run(time.Minute, func() {
			if after == 0 && count[*record.Release](w) > 0 {
				after = time.Since(started)
			}
		})
		return after
	}
	urgent := batch("j", 1)
	urgent.Priority = record.PriorityUrgent
	local := batch("j", 1)
	local.Zones = []string{"a"}
	for _, c := range []struct {
		name     string
		spec     record.JobSpec
		room     float64 // of zone b; below 0 if it is not heard
		edit     func(*environment.Document)
		from, to time.Duration // when the task is released; 0 for never
	}{
		{"batch", batch("j", 1), 0.5, inService, spillAfter, spillAfter + 2*time.Second},
		{"urgent", urgent, 0.5, inService, spillUrgentAfter, 1500 * time.Millisecond},
		{"little room", urgent, spillRoom / 2, inService, 0, 0},
		{"not heard", urgent, -1, inService, 0, 0},
		{"other zone out of service", urgent, 0.5, outOf("b"), 0, 0},
		{"job stays", local, 0.5, inService, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				after := released(t, c.spec, c.room, c.edit)
				is.New(t).True(after >= c.from && after <= c.to)
			})
		})
	}
}

// Guards against a stampede into a zone that returns to service.
func TestSpillIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "a", newControl())
		w.rooms["b"] = 1
		w.publish(inService)
		w.order(&record.Submit{Zone: "a", Job: batch("j", 100)})
		w.run(spillAfter+10*time.Second, nil)
		n := count[*record.Release](w)
		is.True(n >= 9*spillRate && n <= 12*spillRate)
	})
}

// Guards against a worker that stays committed beyond a capacity that shrank, and against moving more than has to go.
func TestShrunkWorkerIsRelieved(t *testing.T) {
	inZone(t, func(is *is.I, w *world) {
		w.publish(withService("v1", 2))
		w.order(&record.Submit{Zone: "a", Job: batch("j", 6)})
		w.run(5*time.Second, nil)
		is.Equal(w.zone.state.Workers["w"].Reserved.Slots, int64(8))
		w.addWorker("w", 5)
		w.addWorker("new", 8)
		w.run(10*time.Second, nil)
		is.Equal(w.zone.state.Workers["w"].Reserved.Slots, int64(5))
		is.Equal(count[*record.Evict](w), 3)
		for _, t := range w.bound() {
			is.True(!t.Job.IsService() || t.Worker == "w") // batch tasks go first
		}
	})
}
