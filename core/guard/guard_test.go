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

// bench simulates workers whose service latency depends on the throttling of the noisy batch run, with reports
// every 5 s that describe the 5 s before.
type bench struct {
	g       *Guard
	now     time.Time
	ratio   func(w *fakeWorker) float64
	cause   verdict.Cause
	unknown bool // no effect was learned
	workers []*fakeWorker
	moves   int
	actions []Action
}

type fakeWorker struct {
	name  string
	limit map[string]int64 // throttling by job; a missing job was moved
	last  float64          // ratio of the interval before
}

func newBench(workers int, ratio func(w *fakeWorker) float64) *bench {
	b := &bench{g: New(DefaultOptions()), now: start, ratio: ratio, cause: verdict.Neighbours}
	for i := range workers {
		b.workers = append(b.workers, &fakeWorker{name: fmt.Sprintf("w%02d", i), limit: map[string]int64{"noisy": 100, "quiet": 100}})
	}
	return b
}

func (b *bench) step() {
	b.now = b.now.Add(5 * time.Second)
	views := make([]WorkerView, len(b.workers))
	for i, w := range b.workers {
		views[i] = WorkerView{Worker: w.name, MeasuredAt: b.now.Add(-10 * time.Second), Services: []ServiceView{
			{Service: "s", LatencyMs: 100 * w.last, TargetMs: 100, Requests: 100, Cause: b.cause},
		}}
		w.last = b.ratio(w)
		for _, job := range []string{"noisy", "quiet"} {
			// The quiet run is the first suspect, because the learned effects are wrong.
			if _, ok := w.limit[job]; ok {
				views[i].Batch = append(views[i].Batch, BatchView{Task: record.TaskID{Job: job + w.name}, Epoch: 1, Load: 0.5, Effect: float64(len(job) + len(views[i].Batch)), ThrottlePercent: w.limit[job]})
			}
		}
	}
	for i := range views {
		for k := range views[i].Batch {
			if b.unknown {
				views[i].Batch[k].Effect = 0
			}
		}
	}
	for _, a := range b.g.Step(b.now, views) {
		b.apply(a)
	}
}

func (b *bench) apply(a Action) {
	b.actions = append(b.actions, a)
	for _, w := range b.workers {
		if w.name != a.Worker {
			continue
		}
		job := a.Task.Job[:len(a.Task.Job)-len(w.name)]
		if a.Kind == Move {
			b.moves++
			delete(w.limit, job)
		} else {
			w.limit[job] = a.Percent
		}
	}
}

// noisyRatio is above the target unless the noisy run is limited to below the given percentage.
func noisyRatio(below int64) func(w *fakeWorker) float64 {
	return func(w *fakeWorker) float64 {
		limit, running := w.limit["noisy"]
		if !running {
			return 0.5
		}
		return 0.5 + float64(limit)/float64(below)/2
	}
}

// Guards against the wrong run being moved when the learned effects are wrong, and against a limit that stays
// on a run that is not the cause.
func TestWrongSuspectIsExonerated(t *testing.T) {
	is := is.New(t)
	b := newBench(1, noisyRatio(20)) // limits of 50% and 25% help but are not enough
	for range 60 {
		b.step()
	}
	w := b.workers[0]
	is.Equal(b.moves, 1)
	is.Equal(w.limit, map[string]int64{"quiet": 100})
	is.Equal(b.actions[0].Kind, Throttle) // before anything is moved
}

// Guards against a service that stays slow because no effect was learned yet, and against actions on runs that
// neither a verdict nor a learned effect names.
func TestUnknownEffectNeedsAVerdict(t *testing.T) {
	is := is.New(t)
	b := newBench(1, noisyRatio(60))
	b.unknown, b.cause = true, verdict.Unknown
	for range 30 {
		b.step()
	}
	is.Equal(len(b.actions), 0)
	b.cause = verdict.Neighbours
	for range 30 {
		b.step()
	}
	is.Equal(b.workers[0].limit["noisy"], int64(50))
}

// Guards against actions that follow each other faster than reports can show their effect.
func TestActionsWaitOutTheLag(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(1, func(*fakeWorker) float64 { return rapid.Float64Range(0.3, 3).Draw(t, "ratio") })
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
func TestNothingIsDoneForOtherCauses(t *testing.T) {
	for _, cause := range []verdict.Cause{verdict.Network, verdict.OwnLoad} {
		t.Run(cause.String(), func(t *testing.T) {
			is := is.New(t)
			b := newBench(3, func(*fakeWorker) float64 { return 3 })
			b.cause = cause
			for range 100 {
				b.step()
			}
			is.Equal(len(b.actions), 0)
		})
	}
}

// Guards against limits that the previous owner of a worker set and that nobody takes back.
func TestLimitsOfThePreviousOwnerAreTakenBack(t *testing.T) {
	is := is.New(t)
	b := newBench(2, func(*fakeWorker) float64 { return 0.4 })
	b.workers[0].limit["noisy"], b.workers[0].limit["quiet"] = 25, 50
	for range 100 {
		b.step()
	}
	is.Equal(b.workers[0].limit, map[string]int64{"noisy": 100, "quiet": 100})
	is.Equal(len(b.g.episodes), 0)
}

// Guards against a noisy wave over many workers that evicts everybody, and against limits that stay afterwards.
func TestWaveEvictsNobody(t *testing.T) {
	is := is.New(t)
	wave := true
	b := newBench(20, nil)
	b.ratio = func(w *fakeWorker) float64 {
		if !wave {
			return 0.4
		}
		return noisyRatio(20)(w)
	}
	for range 120 {
		b.step()
	}
	is.Equal(b.moves, 0)
	wave = false
	for range 200 {
		b.step()
	}
	for _, w := range b.workers {
		is.Equal(w.limit, map[string]int64{"noisy": 100, "quiet": 100})
	}
	is.Equal(len(b.g.episodes), 0)
}

// Guards against more evictions than the zone's budget allows.
func TestEvictionBudget(t *testing.T) {
	is := is.New(t)
	b := newBench(100, nil)
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

// Guards against a worker that fails everything and condemns healthy jobs, and against a bad job that condemns
// healthy workers.
func TestQuarantineSeparatesWorkersAndJobs(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine(DefaultQuarantineOptions())
	for i := range 2 {
		is.Equal(q.Failed("bad", fmt.Sprint("job", i), "disk", start), Effect{})
	}
	is.Equal(q.Failed("bad", "job1", "disk", start), Effect{}) // the same job again
	is.True(q.Failed("bad", "job2", "disk", start).QuarantineWorker != "")
	is.Equal(q.Failed("bad", "job3", "disk", start), Effect{}) // already quarantined
	for i, worker := range []string{"w1", "w2", "w3"} {
		e := q.Failed(worker, "broken", "exit 1", start)
		is.Equal(e.ParkJob != "", i == 2)
		is.Equal(e.QuarantineWorker, "")
	}
	is.True(q.Parked("broken") != "")
	is.Equal(q.Failed("w1", "a", "x", start), Effect{})
	is.Equal(q.Failed("w1", "b", "x", start), Effect{}) // broken no longer counts against w1
	is.Equal(q.Failed("w1", "c", "x", start.Add(11*time.Minute)), Effect{})
}

// Guards against a worker that is trusted again without a probe, and against one that never returns.
func TestQuarantineProbesBeforeRelease(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine(DefaultQuarantineOptions())
	for i := range 3 {
		q.Failed("w", fmt.Sprint("job", i), "disk", start)
	}
	is.Equal(len(q.Release(start.Add(4*time.Minute))), 0)
	now := start.Add(5 * time.Minute)
	is.Equal(q.Release(now), []string{"w"})
	is.True(q.Probing("w"))
	is.True(q.Failed("w", "job7", "disk", now).QuarantineWorker != "")
	is.Equal(len(q.Release(now.Add(9*time.Minute))), 0) // twice as long
	is.Equal(q.Release(now.Add(10*time.Minute)), []string{"w"})
	q.Succeeded("w")
	is.True(q.Probing("w"))
	q.Succeeded("w")
	is.True(!q.Probing("w"))
}

// Guards against a job that waits for ever because no worker is large enough.
func TestTooLargeJobIsRefused(t *testing.T) {
	is := is.New(t)
	small, large := resource.Vector{Slots: 8, MemoryMB: 125}, resource.Vector{Slots: 8, MemoryMB: 250}
	is.Equal(CanEverRun(resource.Vector{Slots: 1, MemoryMB: 200}, []resource.Vector{small, large}), "")
	is.True(CanEverRun(resource.Vector{Slots: 1, MemoryMB: 300}, []resource.Vector{small, large}) != "")
	is.True(CanEverRun(resource.Vector{}, nil) != "")
}
