package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

func newPending(job *record.JobSpec, index int, since time.Time) Pending {
	return Pending{Task: record.TaskID{Job: job.ID, Index: index}, Job: job, Since: since}
}

// Guards against starvation: under a flood of urgent and small batch work from other teams, a large batch
// task that fits an empty worker must be bound within a bounded time.
func TestNoFeasibleTaskStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seconds := rapid.Int64Range(10, 40).Draw(t, "runSeconds")
		// Urgent work alone needs at most 20 of the 32 cores.
		urgentEvery := rapid.Int64Range(1, 9).Draw(t, "urgentEvery") + seconds/5
		workers := []Worker{}
		for i := range 4 {
			workers = append(workers, Worker{ID: fmt.Sprintf("w%d", i), Capacity: resource.Vector{Slots: 8, MilliCPU: 8000}})
		}
		p := newZone(workers, nil, nil)
		p.opts.StarveAfter = time.Minute
		big := &record.JobSpec{ID: "big", Team: "big", Class: "train", Priority: record.PriorityBatch, Size: resource.Vector{Slots: 1, MilliCPU: 8000}}
		small := &record.JobSpec{ID: "small", Team: "small", Class: "recompute", Priority: record.PriorityBatch, Size: resource.Vector{Slots: 1, MilliCPU: 1000}}
		urgent := &record.JobSpec{ID: "urgent", Team: "urgent", Class: "tune", Priority: record.PriorityUrgent, Size: small.Size}
		z := newZoneSimulation(p, workers, time.Duration(seconds)*time.Second)
		for s := range 1000 {
			now := start.Add(time.Duration(s) * time.Second)
			if s == 100 { // the workers are full
				p.Add(newPending(big, 0, now))
			}
			for k := range 4 {
				job := small
				if int64(4*s+k)%urgentEvery == 0 {
					job = urgent
				}
				p.Add(newPending(job, 4*s+k, now))
			}
			if z.step(now, map[string]*record.JobSpec{"big": big, "small": small, "urgent": urgent})["big"] {
				return
			}
		}
		t.Fatal("the large task was never bound")
	})
}

// zoneSimulation accepts every bind, ends each run after a fixed time and removes evicted runs.
type zoneSimulation struct {
	p       *Planner
	workers map[string]*Worker
	runTime time.Duration
	order   []string
	evicted map[record.TaskID]bool
}

func newZoneSimulation(p *Planner, workers []Worker, run time.Duration) *zoneSimulation {
	z := &zoneSimulation{p: p, workers: map[string]*Worker{}, runTime: run}
	for i := range workers {
		z.workers[workers[i].ID] = &workers[i]
		z.order = append(z.order, workers[i].ID)
	}
	return z
}

// step ends runs that are due, evicts, plans, and returns the jobs of the binds.
func (z *zoneSimulation) step(now time.Time, jobs map[string]*record.JobSpec) map[string]bool {
	for _, id := range z.order {
		w := z.workers[id]
		kept := []Run{}
		for _, r := range w.Runs {
			if now.Sub(r.StartedAt) < z.runTime && !z.evicted[r.Task] {
				kept = append(kept, r)
			}
		}
		w.Runs = kept
		z.p.Index().SetWorker(*w)
	}
	plan, bound := z.p.Plan(now, newRand(), 1000), map[string]bool{}
	z.evicted = map[record.TaskID]bool{}
	for _, e := range plan.Evictions {
		z.evicted[e.Task] = true
	}
	for _, b := range plan.Binds {
		w, j := z.workers[b.Worker], jobs[b.Task.Job]
		bound[b.Task.Job] = true
		w.Runs = append(append([]Run{}, w.Runs...), Run{Task: b.Task, Team: j.Team, Class: j.Class, Priority: j.Priority, Size: reservation(j.Size), StartedAt: now})
		z.p.Index().SetWorker(*w)
		z.p.Accepted(b.Task)
	}
	return bound
}

// Guards against urgent work that waits behind batch work: with batch runs everywhere it must be bound in
// the first round after its evictions, well within 2.5 s. Also guards against an unknown start time that makes
// the eviction of a run look free.
func TestUrgentTaskPreemptsBatch(t *testing.T) {
	is := is.New(t)
	w := Worker{ID: "w", Capacity: resource.Vector{Slots: 2, MilliCPU: 2000}}
	run := Run{Class: "recompute", Priority: record.PriorityBatch, Size: resource.Vector{Slots: 1, MilliCPU: 1000}, StartedAt: start.Add(-time.Hour)}
	fresh := run
	run.Task.Job, fresh.Task.Job = "old", "fresh"
	fresh.CheckpointedAt = start.Add(-time.Second)
	unknown := run
	unknown.StartedAt, unknown.Size.MilliCPU = time.Time{}, 4000
	w.Capacity, w.Runs = resource.Vector{Slots: 3, MilliCPU: 6000}, []Run{unknown, run, fresh}
	urgent := &record.JobSpec{ID: "u", Priority: record.PriorityUrgent, Size: run.Size}
	p := newZone([]Worker{w}, []Pending{newPending(urgent, 0, start)}, nil)
	plan := p.Plan(start, newRand(), 10)
	is.Equal(plan.Evictions, []Eviction{{Worker: "w", Task: fresh.Task, For: record.TaskID{Job: "u"}}})
	batch := &record.JobSpec{ID: "b", Priority: record.PriorityBatch, Size: run.Size}
	p.Add(newPending(batch, 0, start))
	w.Runs = []Run{unknown, run}
	p.Index().SetWorker(w)
	plan = p.Plan(start.Add(DefaultOptions().UrgentRetry), newRand(), 10)
	is.Equal(plan.Binds, []Bind{{Task: record.TaskID{Job: "u"}, Worker: "w"}}) // not the batch task
	is.Equal(len(plan.Evictions), 0)
}

// Guards against cancelled tasks that are bound, and against a job that is added again after its cancellation
// and is mistaken for the cancelled one.
func TestCancelledJobIsDropped(t *testing.T) {
	is := is.New(t)
	job := &record.JobSpec{ID: "j", Team: "a", Priority: record.PriorityBatch}
	p := newZone([]Worker{{ID: "w", Capacity: resource.Vector{Slots: 8}}}, nil, nil)
	for i := range 5 {
		p.Add(newPending(job, i, start))
	}
	p.CancelJob("j")
	is.Equal(len(p.Plan(start, newRand(), 10).Binds), 0)
	is.Equal(p.Waiting(), 0)
	p.Add(newPending(job, 1, start))
	is.Equal(len(p.Plan(start, newRand(), 10).Binds), 1)
}

// Guards against a rejected or unanswered bind that loses the task or keeps its resources.
func TestUnsettledBindIsPlannedAgain(t *testing.T) {
	is := is.New(t)
	job := &record.JobSpec{ID: "j", Team: "a", Priority: record.PriorityBatch, Size: resource.Vector{Slots: 8}}
	p := newZone([]Worker{{ID: "w", Capacity: resource.Vector{Slots: 8}}}, []Pending{newPending(job, 0, start)}, nil)
	is.Equal(len(p.Plan(start, newRand(), 10).Binds), 1)
	is.Equal(p.Waiting(), 1) // callers that skip Plan at 0 would never plan it again
	p.Rejected(record.TaskID{Job: "j"}, 0)
	is.Equal(len(p.Plan(start, newRand(), 10).Binds), 1)
	is.Equal(len(p.Plan(start.Add(time.Second), newRand(), 10).Binds), 0)
	is.Equal(len(p.Plan(start.Add(DefaultOptions().BindTimeout), newRand(), 10).Binds), 1)
}

// Guards against a team that takes all resources because it submits first.
func TestTeamsShareByDominantResource(t *testing.T) {
	is := is.New(t)
	p := newZone([]Worker{{ID: "w", Capacity: resource.Vector{Slots: 8, MilliCPU: 8000}}}, nil, nil)
	for _, team := range []string{"a", "b"} {
		job := &record.JobSpec{ID: team, Team: team, Priority: record.PriorityBatch, Size: resource.Vector{Slots: 1}}
		for i := range 100 {
			p.Add(newPending(job, i, start))
		}
	}
	counts := map[string]int{}
	for _, b := range p.Plan(start, newRand(), 100).Binds {
		counts[b.Task.Job]++
	}
	is.Equal(counts, map[string]int{"a": 4, "b": 4})
}
