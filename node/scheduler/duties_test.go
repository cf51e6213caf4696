package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/core/zone"
)

// inZone runs a test over zone a with one worker of 8 slots.
func inZone(t *testing.T, f func(is *is.I, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", newControl())
		w.addWorker("w", 8)
		f(is.New(t), w)
	})
}

// Guards against binds that are judged by an old configuration, and a policy that is invented without one.
func TestPolicyFollowsDocument(t *testing.T) {
	inZone(t, func(is *is.I, w *world) {
		w.run(5*time.Second, nil)
		is.Equal(count[*record.Policy](w), 0)
		w.publish(func(d *environment.Document) {
			d.Sharing = []environment.SharingRule{{Class: "x", NotWith: []string{"y", "x"}}}
		})
		w.run(planInterval, nil)
		is.Equal(w.zone.state.Policy, record.Policy{Version: 1, InService: true,
			Exclusions: []record.Exclusion{{A: "x", B: "y"}, {A: "x", B: "x"}}})
		w.publish(outOf("a"))
		w.run(5*time.Second, nil)
		is.Equal(w.zone.state.Policy, record.Policy{Version: 2})
		is.Equal(count[*record.Policy](w), 2)
	})
}

func withService(payload string, replicas int) func(*environment.Document) {
	return func(d *environment.Document) {
		d.Services = []environment.Service{{Name: "s", Team: "t", Class: "c", Payload: payload,
			Replicas: map[string]int{"a": replicas}, Size: resource.Vector{Slots: 1}}}
	}
}

// Guards against a service that stays as it was when the document adds, scales, changes or removes it, and against a
// roll that leaves fewer replicas serving than the document asks for.
func TestServiceFollowsDocument(t *testing.T) {
	inZone(t, func(is *is.I, w *world) {
		serving := func() (n int) {
			for _, t := range w.bound() {
				if t.Address != "" && !t.StopWanted() {
					n++
				}
			}
			return n
		}
		w.publish(withService("v1", 2))
		w.run(5*time.Second, nil)
		is.Equal(serving(), 2)

		w.publish(withService("v1", 3))
		w.run(5*time.Second, nil)
		is.Equal(serving(), 3)

		w.publish(withService("v2", 3))
		least := 3
		w.run(30*time.Second, func() { least = min(least, serving()) })
		is.Equal(least, 3)
		is.Equal(serving(), 3)
		j := w.zone.state.Jobs[record.ServiceJobID("s")]
		is.Equal(j.Spec.Payload, "v2")
		is.Equal(count[*record.Stop](w), 3) // each replica was restarted once

		w.publish(inService)
		w.run(10*time.Second, nil)
		is.Equal(len(w.zone.state.Jobs), 0)
		is.True(w.zone.state.Workers["w"].Reserved.IsZero())
	})
}

// Guards against a job that is not admitted or not reported when it has ended, and against finished jobs that fill the
// zone's state.
func TestJobRunsToItsEnd(t *testing.T) {
	inZone(t, func(is *is.I, w *world) {
		w.publish(inService)
		w.order(&record.Submit{Zone: "a", Job: batch("j", 2)})
		w.order(&record.Submit{Zone: "b", Job: batch("other", 2)})
		w.run(time.Second, nil)
		is.Equal(len(w.bound()), 2) // the other zone's job is not admitted here
		w.succeed()
		w.run(5*time.Second, nil)
		is.Equal(w.control.state.Finished("j").Counts, control.Counts{Succeeded: 2})
		is.Equal(len(w.zone.state.Jobs), 0)
		w.run(time.Minute, nil)
		is.Equal(count[*record.Admit](w), 1) // it does not run again
	})
}

// Guards against tasks that go on after the cancellation of their job, or keep the team's quota.
func TestCancelledJobEnds(t *testing.T) {
	inZone(t, func(is *is.I, w *world) {
		w.publish(inService)
		w.order(&record.Submit{Zone: "a", Job: batch("j", 10)})
		w.run(time.Second, nil)
		is.Equal(len(w.bound()), 8) // two wait for room
		w.order(&record.CancelJob{Job: "j"})
		w.run(5*time.Second, nil)
		is.Equal(w.control.state.Finished("j").Counts, control.Counts{Cancelled: 10})
		is.Equal(len(w.zone.state.Jobs), 0)
		use, _, _ := w.control.state.TeamUse("t")
		is.True(use.IsZero())
	})
}

// Guards against dropping the ends of tasks while the control state lags and does not know their job.
func TestUnknownJobIsKept(t *testing.T) {
	inZone(t, func(is *is.I, w *world) {
		w.publish(inService)
		w.must(&record.Admit{Job: batch("j", 1)})
		w.run(time.Second, nil)
		w.succeed()
		w.run(time.Minute, nil)
		task := w.zone.state.Task(record.TaskID{Job: "j"})
		is.True(task != nil && task.State == zone.TaskEnded)
	})
}

// Guards against tasks that get lost or run twice when they move to another zone and back, against a job that never
// finishes because its tasks ended in two zones, and against records that are repeated without end.
func TestTasksMoveThereAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newControl()
		a, b := newWorld(t, "a", c), newWorld(t, "b", c)
		a.addWorker("wa", 8)
		b.addWorker("wb", 8)
		both := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				a.run(planInterval, nil)
				b.step()
				is.True(len(a.bound())+len(b.bound()) <= 4) // a task runs in one place
			}
		}
		a.publish(inService)
		a.order(&record.Submit{Zone: "a", Job: batch("j", 4)})
		both(3 * time.Second)
		is.Equal(len(a.bound()), 4)

		a.publish(outOf("a"))
		both(10 * time.Second)
		is.Equal(len(a.bound()), 0)
		is.Equal(len(b.bound()), 4)
		for _, t := range b.bound() {
			is.Equal(t.Checkpoint, "cp") // the work goes on where it stopped
		}
		rejected := a.rejected + b.rejected
		both(10 * time.Second)
		is.Equal(a.rejected+b.rejected, rejected) // a transfer that is done is not repeated
		one := b.bound()[0]
		b.must(&record.End{Owner: owner, Run: one.Run(), Outcome: record.OutcomeSucceeded})

		b.publish(outOf("b"))
		both(10 * time.Second)
		is.Equal(len(a.bound()), 3)
		is.Equal(len(b.bound()), 0)
		a.succeed()
		both(10 * time.Second)
		is.Equal(c.state.Finished("j").Counts, control.Counts{Succeeded: 4})
		is.Equal(len(a.zone.state.Jobs)+len(b.zone.state.Jobs), 0)
	})
}
