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

// runInZone runs a test in zone a with one worker of 8 slots.
func runInZone(t *testing.T, f func(is *is.I, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", newControl())
		h.addWorker("w", 8)
		f(is.New(t), h)
	})
}

// Guards against binds that are validated against an old configuration, and a policy that is posted without any
// configuration.
func TestPolicyFollowsDocument(t *testing.T) {
	runInZone(t, func(is *is.I, h *harness) {
		h.run(5*time.Second, nil)
		is.Equal(count[*record.Policy](h), 0)
		h.publish(func(d *environment.Document) {
			d.Sharing = []environment.SharingRule{{Class: "x", NotWith: []string{"y", "x"}}}
		})
		h.run(planInterval, nil)
		is.Equal(h.zone.state.Policy, record.Policy{Version: 1, InService: true,
			Exclusions: []record.Exclusion{{A: "x", B: "y"}, {A: "x", B: "x"}}})
		h.publish(withOutOfService("a"))
		h.run(5*time.Second, nil)
		is.Equal(h.zone.state.Policy, record.Policy{Version: 2})
		is.Equal(count[*record.Policy](h), 2)
	})
}

func withService(payload string, replicas int) func(*environment.Document) {
	return func(d *environment.Document) {
		d.Services = []environment.Service{{Name: "s", Team: "t", Class: "c", Payload: payload,
			Replicas: map[string]int{"a": replicas}, Size: resource.Vector{Slots: 1}}}
	}
}

// Guards against a service that does not follow a document that adds, scales, changes or removes it, and against a
// rolling update that leaves fewer replicas serving than the document requires.
func TestServiceFollowsDocument(t *testing.T) {
	runInZone(t, func(is *is.I, h *harness) {
		serving := func() (n int) {
			for _, t := range h.bound() {
				if t.Address != "" && !t.ShouldStop() {
					n++
				}
			}
			return n
		}
		h.publish(withService("v1", 2))
		h.run(5*time.Second, nil)
		is.Equal(serving(), 2)

		h.publish(withService("v1", 3))
		h.run(5*time.Second, nil)
		is.Equal(serving(), 3)

		h.publish(withService("v2", 3))
		least := 3
		h.run(30*time.Second, func() { least = min(least, serving()) })
		is.Equal(least, 3)
		is.Equal(serving(), 3)
		j := h.zone.state.Jobs[record.ServiceJobID("s")]
		is.Equal(j.Spec.Payload, "v2")
		is.Equal(count[*record.Stop](h), 3) // each replica was restarted once

		h.publish(allInService)
		h.run(10*time.Second, nil)
		is.Equal(len(h.zone.state.Jobs), 0)
		is.True(h.zone.state.Workers["w"].Reserved.IsZero())
	})
}

// Guards against a job that is not admitted or whose end is not reported, and against finished jobs that accumulate in
// the zone state.
func TestJobRunsToItsEnd(t *testing.T) {
	runInZone(t, func(is *is.I, h *harness) {
		h.publish(allInService)
		h.applyControl(&record.Submit{Zone: "a", Job: batchJob("j", 2)})
		h.applyControl(&record.Submit{Zone: "b", Job: batchJob("other", 2)})
		h.run(time.Second, nil)
		is.Equal(len(h.bound()), 2) // the other zone's job is not admitted here
		h.succeed()
		h.run(5*time.Second, nil)
		is.Equal(h.control.state.Finished("j").Counts, control.Counts{Succeeded: 2})
		is.Equal(len(h.zone.state.Jobs), 0)
		h.run(time.Minute, nil)
		is.Equal(count[*record.Admit](h), 1) // it does not run again
	})
}

// Guards against tasks that continue after the cancellation of their job or still count against the team's quota.
func TestCancelledJobEnds(t *testing.T) {
	runInZone(t, func(is *is.I, h *harness) {
		h.publish(allInService)
		h.applyControl(&record.Submit{Zone: "a", Job: batchJob("j", 10)})
		h.run(time.Second, nil)
		is.Equal(len(h.bound()), 8) // two wait for free slots
		h.applyControl(&record.CancelJob{Job: "j"})
		h.run(5*time.Second, nil)
		is.Equal(h.control.state.Finished("j").Counts, control.Counts{Cancelled: 10})
		is.Equal(len(h.zone.state.Jobs), 0)
		use, _, _ := h.control.state.TeamUse("t")
		is.True(use.IsZero())
	})
}

// Guards against dropping the outcomes of tasks while a lagging control state does not contain their job yet.
func TestUnknownJobIsKept(t *testing.T) {
	runInZone(t, func(is *is.I, h *harness) {
		h.publish(allInService)
		h.mustApply(&record.Admit{Job: batchJob("j", 1)})
		h.run(time.Second, nil)
		h.succeed()
		h.run(time.Minute, nil)
		task := h.zone.state.Task(record.TaskID{Job: "j"})
		is.True(task != nil && task.State == zone.TaskEnded)
	})
}

// Guards against tasks that are lost or run twice when they move to another zone and back, against a job that never
// finishes because its tasks ended in two zones, and against records that are reposted for ever.
func TestTasksMoveToOtherZoneAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newControl()
		a, b := newHarness(t, "a", c), newHarness(t, "b", c)
		a.addWorker("wa", 8)
		b.addWorker("wb", 8)
		runBoth := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				a.run(planInterval, nil)
				b.step()
				is.True(len(a.bound())+len(b.bound()) <= 4) // a task runs in one zone
			}
		}
		a.publish(allInService)
		a.applyControl(&record.Submit{Zone: "a", Job: batchJob("j", 4)})
		runBoth(3 * time.Second)
		is.Equal(len(a.bound()), 4)

		a.publish(withOutOfService("a"))
		runBoth(10 * time.Second)
		is.Equal(len(a.bound()), 0)
		is.Equal(len(b.bound()), 4)
		for _, t := range b.bound() {
			is.Equal(t.Checkpoint, "cp") // the tasks continue from their checkpoints
		}
		rejected := a.rejected + b.rejected
		runBoth(10 * time.Second)
		is.Equal(a.rejected+b.rejected, rejected) // a completed transfer is not repeated
		moved := b.bound()[0]
		b.mustApply(&record.End{Owner: owner, Run: moved.Run(), Outcome: record.OutcomeSucceeded})

		b.publish(withOutOfService("b"))
		runBoth(10 * time.Second)
		is.Equal(len(a.bound()), 3)
		is.Equal(len(b.bound()), 0)
		a.succeed()
		runBoth(10 * time.Second)
		is.Equal(c.state.Finished("j").Counts, control.Counts{Succeeded: 4})
		is.Equal(len(a.zone.state.Jobs)+len(b.zone.state.Jobs), 0)
	})
}
