package guard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/core/verdict"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// testbed simulates workers whose service latency depends on the throttling of the noisy batch run, with reports
// every 5 s that describe the 5 s before.
type testbed struct {
	g         *Guard
	now       time.Time
	ratio     func(w *fakeWorker) float64
	cause     verdict.Cause
	noEffects bool // no effects have been learned
	workers   []*fakeWorker
	moves     int
	actions   []Action
}

type fakeWorker struct {
	name      string
	limits    map[string]int64 // throttle limit in percent by job; a moved job is missing
	lastRatio float64          // ratio of the previous interval
}

func newTestbed(workers int, ratio func(w *fakeWorker) float64) *testbed {
	b := &testbed{g: New(DefaultOptions()), now: start, ratio: ratio, cause: verdict.Neighbours}
	for i := range workers {
		b.workers = append(b.workers, &fakeWorker{name: fmt.Sprintf("w%02d", i), limits: map[string]int64{"noisy": 100, "quiet": 100}})
	}
	return b
}

func (b *testbed) step() {
	b.now = b.now.Add(5 * time.Second)
	views := make([]WorkerView, len(b.workers))
	for i, w := range b.workers {
		views[i] = WorkerView{Worker: w.name, MeasuredAt: b.now.Add(-10 * time.Second), Services: []ServiceView{
			{Service: "s", LatencyMs: 100 * w.lastRatio, TargetMs: 100, Requests: 100, Cause: b.cause},
		}}
		w.lastRatio = b.ratio(w)
		for _, job := range []string{"noisy", "quiet"} {
			// The effects are wrong on purpose: the guard throttles the quiet run first.
			if _, ok := w.limits[job]; ok {
				views[i].Batch = append(views[i].Batch, BatchView{Task: record.TaskID{Job: job + w.name}, Epoch: 1, Load: 0.5, Effect: float64(len(job) + len(views[i].Batch)), ThrottlePercent: w.limits[job]})
			}
		}
	}
	for i := range views {
		for k := range views[i].Batch {
			if b.noEffects {
				views[i].Batch[k].Effect = 0
			}
		}
	}
	for _, a := range b.g.Step(b.now, views) {
		b.apply(a)
	}
}

func (b *testbed) apply(a Action) {
	b.actions = append(b.actions, a)
	for _, w := range b.workers {
		if w.name != a.Worker {
			continue
		}
		job := a.Task.Job[:len(a.Task.Job)-len(w.name)]
		if a.Kind == Move {
			b.moves++
			delete(w.limits, job)
		} else {
			w.limits[job] = a.Percent
		}
	}
}

// noisyRatio returns a function whose ratio is above 1 while the noisy run has a limit above the given percentage.
func noisyRatio(percent int64) func(w *fakeWorker) float64 {
	return func(w *fakeWorker) float64 {
		limit, running := w.limits["noisy"]
		if !running {
			return 0.5
		}
		return 0.5 + float64(limit)/float64(percent)/2
	}
}

// Guards against moving the wrong run when the learned effects are wrong, and against a limit that remains on a run
// that is not the cause.
func TestIneffectiveThrottleIsRemoved(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1, noisyRatio(20)) // limits of 50% and 25% help but are not enough
	for range 60 {
		b.step()
	}
	w := b.workers[0]
	is.Equal(b.moves, 1)
	is.Equal(w.limits, map[string]int64{"quiet": 100})
	is.Equal(b.actions[0].Kind, Throttle) // before anything is moved
}

// Guards against a service that stays slow because no effect has been learned yet, and against actions on runs without
// evidence from a verdict or a learned effect.
func TestUnknownSlowdownNeedsVerdict(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1, noisyRatio(60))
	b.noEffects, b.cause = true, verdict.Unknown
	for range 30 {
		b.step()
	}
	is.Equal(len(b.actions), 0)
	b.cause = verdict.Neighbours
	for range 30 {
		b.step()
	}
	is.Equal(b.workers[0].limits["noisy"], int64(50))
}

// Guards against a second action before reports can show the effect of the first.
func TestNextActionWaitsForReportLag(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestbed(1, func(*fakeWorker) float64 { return rapid.Float64Range(0.3, 3).Draw(t, "ratio") })
		for range 60 {
			before := len(b.actions)
			acted := b.now
			b.step()
			if len(b.actions) > before {
				for range 2 {
					b.step()
				}
				if len(b.actions) > before+1 {
					t.Fatalf("second action within 15 s of %v", acted)
				}
			}
		}
	})
}

// Guards against throttling for a slowdown that neighbours did not cause.
func TestNoActionForOtherCauses(t *testing.T) {
	for _, cause := range []verdict.Cause{verdict.Network, verdict.OwnLoad} {
		t.Run(cause.String(), func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(3, func(*fakeWorker) float64 { return 3 })
			b.cause = cause
			for range 100 {
				b.step()
			}
			is.Equal(len(b.actions), 0)
		})
	}
}

// Guards against limits set by the previous owner of a worker that are never removed.
func TestLimitsOfPreviousOwnerAreRemoved(t *testing.T) {
	is := is.New(t)
	b := newTestbed(2, func(*fakeWorker) float64 { return 0.4 })
	b.workers[0].limits["noisy"], b.workers[0].limits["quiet"] = 25, 50
	for range 100 {
		b.step()
	}
	is.Equal(b.workers[0].limits, map[string]int64{"noisy": 100, "quiet": 100})
	is.Equal(len(b.g.episodes), 0)
}

// Guards against mass evictions while many workers are contended at once, and against limits that remain afterwards.
func TestNoEvictionInWidespreadContention(t *testing.T) {
	is := is.New(t)
	widespread := true
	b := newTestbed(20, nil)
	b.ratio = func(w *fakeWorker) float64 {
		if !widespread {
			return 0.4
		}
		return noisyRatio(20)(w)
	}
	for range 120 {
		b.step()
	}
	is.Equal(b.moves, 0)
	widespread = false
	for range 200 {
		b.step()
	}
	for _, w := range b.workers {
		is.Equal(w.limits, map[string]int64{"noisy": 100, "quiet": 100})
	}
	is.Equal(len(b.g.episodes), 0)
}

// Guards against more evictions than the zone's budget allows.
func TestEvictionBudget(t *testing.T) {
	is := is.New(t)
	b := newTestbed(100, nil)
	b.ratio = func(w *fakeWorker) float64 {
		if w.name >= "w25" {
			return 0.9
		}
		return noisyRatio(20)(w)
	}
	for range 60 { // 5 min
		b.step()
	}
	is.True(b.moves > 4)
	is.True(b.moves <= 2+5*2)
}

// Guards against healthy jobs that are parked because of a faulty worker, and healthy workers that are quarantined
// because of a faulty job.
func TestQuarantineSeparatesWorkersAndJobs(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine(DefaultQuarantineOptions())
	for i := range 2 {
		is.Equal(q.RecordFailure("bad", fmt.Sprint("job", i), "disk", start), Outcome{})
	}
	is.Equal(q.RecordFailure("bad", "job1", "disk", start), Outcome{}) // the same job again
	is.True(q.RecordFailure("bad", "job2", "disk", start).QuarantineWorker != "")
	is.Equal(q.RecordFailure("bad", "job3", "disk", start), Outcome{}) // already quarantined
	for i, worker := range []string{"w1", "w2", "w3"} {
		e := q.RecordFailure(worker, "broken", "exit 1", start)
		is.Equal(e.ParkJob != "", i == 2)
		is.Equal(e.QuarantineWorker, "")
	}
	is.True(q.Parked("broken") != "")
	is.Equal(q.RecordFailure("w1", "a", "x", start), Outcome{})
	is.Equal(q.RecordFailure("w1", "b", "x", start), Outcome{}) // broken no longer counts against w1
	is.Equal(q.RecordFailure("w1", "c", "x", start.Add(11*time.Minute)), Outcome{})
}

// Guards against a worker that returns from quarantine without probation, and against one that never returns.
func TestQuarantineEndsWithProbation(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine(DefaultQuarantineOptions())
	for i := range 3 {
		q.RecordFailure("w", fmt.Sprint("job", i), "disk", start)
	}
	is.Equal(len(q.Release(start.Add(4*time.Minute))), 0)
	now := start.Add(5 * time.Minute)
	is.Equal(q.Release(now), []string{"w"})
	is.True(q.Probing("w"))
	is.True(q.RecordFailure("w", "job7", "disk", now).QuarantineWorker != "")
	is.Equal(len(q.Release(now.Add(9*time.Minute))), 0) // twice as long
	is.Equal(q.Release(now.Add(10*time.Minute)), []string{"w"})
	q.RecordSuccess("w")
	is.True(q.Probing("w"))
	q.RecordSuccess("w")
	is.True(!q.Probing("w"))
}

// Guards against a job that waits forever because no worker is large enough.
func TestTooLargeJobIsRefused(t *testing.T) {
	is := is.New(t)
	small, large := resource.Vector{Slots: 8, MemoryMB: 125}, resource.Vector{Slots: 8, MemoryMB: 250}
	is.Equal(UnplaceableReason(resource.Vector{Slots: 1, MemoryMB: 200}, []resource.Vector{small, large}), "")
	is.True(UnplaceableReason(resource.Vector{Slots: 1, MemoryMB: 300}, []resource.Vector{small, large}) != "")
	is.True(UnplaceableReason(resource.Vector{}, nil) != "")
}
