package placement

import (
	"fmt"
	"testing"
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

type benchEstimator struct{}

func (benchEstimator) ExpectedUse(string, string) (resource.Vector, bool) {
	return resource.Vector{}, false
}
func (benchEstimator) Slowdown(victim, neighbour string) (slowdown, confidence float64) {
	return float64(len(victim)+int(neighbour[len(neighbour)-1])%7) / 20, 1
}

// fullZone returns a planner for workers that have 16 runs each, of 300 classes in all, and capacity for a few more.
func fullZone(workers int) *Planner {
	p := NewPlanner(DefaultOptions())
	p.Index().SetPolicy(true, []record.Exclusion{{A: "class-1", B: "class-2"}, {A: "class-5", B: "class-5"}})
	for i := range workers {
		w := Worker{
			ID: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/8),
			Capacity: resource.Vector{Slots: 18, Connections: 64, MilliCPU: 64000, MemoryMB: 250000},
		}
		for k := range 16 {
			priority := record.PriorityBatch
			if k%3 == 0 {
				priority = record.PriorityService
			}
			w.Runs = append(w.Runs, Run{
				Task: record.TaskID{Job: fmt.Sprintf("old%d", i), Index: k}, Team: fmt.Sprintf("team%d", k),
				Class: fmt.Sprintf("class-%d", (i*16+k)%300), Priority: priority,
				Size: resource.Vector{Slots: 1, MilliCPU: 3000, MemoryMB: 10000},
			})
		}
		p.Index().SetWorker(w)
	}
	p.Index().SetEstimator(benchEstimator{})
	return p
}

// BenchmarkPlacement measures one placement on 1,400 workers, all of them feasible, and the removal of the task.
func BenchmarkPlacement(b *testing.B) {
	p, rng, now := fullZone(1400), newRand(), start
	job := &record.JobSpec{ID: "new", Team: "t", Class: "class-7", Priority: record.PriorityBatch, Size: resource.Vector{Slots: 1, MilliCPU: 2000, MemoryMB: 4000}}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		task := record.TaskID{Job: "new", Index: i % 1000}
		p.Add(Pending{Task: task, Epoch: int64(i), Job: job, Since: now})
		now = now.Add(time.Millisecond)
		if len(p.Plan(now, rng, 1).Binds) != 1 {
			b.Fatal("not placed")
		}
		p.Remove(task)
	}
}

// BenchmarkSetWorker measures the update of one changed worker.
func BenchmarkSetWorker(b *testing.B) {
	p := fullZone(1400)
	w := p.index.nodes[7].worker
	b.ReportAllocs()
	for b.Loop() {
		p.Index().SetWorker(w)
	}
}

// BenchmarkPreemption measures the search for runs to evict on 1,400 full workers.
func BenchmarkPreemption(b *testing.B) {
	p, now := fullZone(1400), start
	job := &record.JobSpec{ID: "big", Team: "t", Class: "class-7", Priority: record.PriorityUrgent, Size: resource.Vector{Slots: 4, MilliCPU: 30000}}
	t := Pending{Task: record.TaskID{Job: "big"}, Job: job, Since: now}
	b.ReportAllocs()
	for b.Loop() {
		if len(p.preempt(&t, now)) == 0 {
			b.Fatal("nothing to evict")
		}
		p.releaseHold(t.Task)
	}
}

// BenchmarkBacklog measures one round of planning, ten of which are made a second, in a zone of 156 workers
// with 5,000 waiting jobs that do not fit.
func BenchmarkBacklog(b *testing.B) {
	p, rng, now := fullZone(156), newRand(), start
	for i := range 5000 {
		job := &record.JobSpec{ID: fmt.Sprint("job", i), Team: fmt.Sprint("team", i%110), Class: fmt.Sprint("class-", i%300), Priority: record.PriorityBatch, Size: resource.Vector{Slots: 3}}
		p.Add(Pending{Task: record.TaskID{Job: job.ID}, Epoch: 1, Job: job, Since: now})
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		p.Plan(now, rng, 100)
	}
}
