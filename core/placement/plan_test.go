package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

var classNames = []string{"tune", "book", "recompute", "watch", "train"}

func genSize(t *rapid.T, label string, top int64) resource.Vector {
	return resource.Vector{
		Slots: rapid.Int64Range(0, 2).Draw(t, label+"slots"), Connections: rapid.Int64Range(0, 16).Draw(t, label+"conns"),
		MilliCPU: rapid.Int64Range(0, top).Draw(t, label+"cpu"), MemoryMB: rapid.Int64Range(0, top).Draw(t, label+"mem"),
		Accelerators: rapid.Int64Range(0, 1).Draw(t, label+"acc"),
	}
}

// genWorkers draws workers whose runs fit, in all states.
func genWorkers(t *rapid.T) []Worker {
	workers := make([]Worker, rapid.IntRange(1, 6).Draw(t, "workers"))
	for i := range workers {
		w := Worker{
			ID: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2), Probing: rapid.IntRange(0, 9).Draw(t, "probing") == 0,
			Capacity: resource.Vector{Slots: 8, Connections: 64, MilliCPU: 8000, MemoryMB: 8000, Accelerators: int64(i % 3)},
			State:    record.WorkerState(max(0, rapid.IntRange(-6, 3).Draw(t, "state"))),
		}
		free := w.Capacity
		for k := range rapid.IntRange(0, 8).Draw(t, "runs") {
			r := Run{
				Task: record.TaskID{Job: fmt.Sprintf("old%d-%d", i, k)}, Team: "a", Class: rapid.SampledFrom(classNames).Draw(t, "class"),
				Priority: record.Priority(rapid.IntRange(1, 3).Draw(t, "prio")), Size: reservation(genSize(t, "run", 4000)),
				StartedAt: start.Add(-time.Duration(rapid.IntRange(0, 3600).Draw(t, "age")) * time.Second),
			}
			if r.Size.Fits(free) {
				free = free.Sub(r.Size)
				w.Runs = append(w.Runs, r)
			}
		}
		workers[i] = w
	}
	return workers
}

func genPending(t *rapid.T) []Pending {
	var out []Pending
	for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
		job := &record.JobSpec{
			ID: fmt.Sprintf("job%d", i), Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
			Class: rapid.SampledFrom(classNames).Draw(t, "class"), Priority: record.Priority(rapid.IntRange(1, 3).Draw(t, "prio")),
			Size: genSize(t, "job", 9000),
		}
		if job.Priority == record.PriorityService {
			job.Service = job.ID
		}
		for k := range rapid.IntRange(1, 4).Draw(t, "tasks") {
			out = append(out, Pending{Task: record.TaskID{Job: job.ID, Index: k}, Epoch: 1, Job: job, Since: start})
		}
	}
	return out
}

func genExclusions(t *rapid.T) []record.Exclusion {
	var out []record.Exclusion
	for range rapid.IntRange(0, 3).Draw(t, "rules") {
		out = append(out, record.Exclusion{
			A: rapid.SampledFrom(classNames).Draw(t, "a"), B: rapid.SampledFrom(classNames).Draw(t, "b"),
		})
	}
	return out
}

func newZone(workers []Worker, tasks []Pending, rules []record.Exclusion) *Planner {
	p := NewPlanner(DefaultOptions())
	p.Index().SetPolicy(true, rules)
	for _, w := range workers {
		p.Index().SetWorker(w)
	}
	for _, t := range tasks {
		p.Add(t)
	}
	return p
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func forbids(rules []record.Exclusion, a, b string) bool {
	for _, x := range rules {
		if x.A == a && x.B == b || x.A == b && x.B == a {
			return true
		}
	}
	return false
}

// Guards against plans that overcommit a worker, break a sharing rule, use an unusable worker, or evict a
// service or urgent run, more than needed, or too little.
func TestPlanKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, tasks, rules := genWorkers(t), genPending(t), genExclusions(t)
		jobs, state := map[record.TaskID]*record.JobSpec{}, map[string]*Worker{}
		for i := range workers {
			w := workers[i]
			w.Runs = append([]Run(nil), w.Runs...)
			state[w.ID] = &w
		}
		for _, p := range tasks {
			jobs[p.Task] = p.Job
		}
		plan := newZone(workers, tasks, rules).Plan(start, newRand(), 100)
		for _, b := range plan.Binds {
			checkBind(t, state[b.Worker], jobs[b.Task], b, rules)
		}
		checkEvictions(t, state, jobs, plan.Evictions, rules)
	})
}

func checkBind(t *rapid.T, w *Worker, job *record.JobSpec, b Bind, rules []record.Exclusion) {
	if w.State != record.WorkerUsable || w.Probing && (len(w.Runs) > 0 || job.Priority != record.PriorityBatch) {
		t.Fatalf("bind to unusable worker %s in state %s", w.ID, w.State)
	}
	used := reservation(job.Size)
	for _, r := range w.Runs {
		used = used.Add(r.Size)
		if forbids(rules, r.Class, job.Class) {
			t.Fatalf("class %s bound next to %s", job.Class, r.Class)
		}
	}
	if !used.Fits(w.Capacity) {
		t.Fatalf("worker %s overcommitted in %s", w.ID, used.Limiting(w.Capacity))
	}
	w.Runs = append(w.Runs, Run{Task: b.Task, Class: job.Class, Size: reservation(job.Size)})
}

func checkEvictions(t *rapid.T, state map[string]*Worker, jobs map[record.TaskID]*record.JobSpec, evictions []Eviction, rules []record.Exclusion) {
	victims := map[record.TaskID]map[record.TaskID]bool{}
	where := map[record.TaskID]string{}
	for _, e := range evictions {
		if victims[e.For] == nil {
			victims[e.For] = map[record.TaskID]bool{}
		}
		victims[e.For][e.Task], where[e.For] = true, e.Worker
	}
	for task, evicted := range victims {
		w, need := state[where[task]], reservation(jobs[task].Size)
		free := w.Capacity
		for _, r := range w.Runs {
			if evicted[r.Task] && r.Priority != record.PriorityBatch {
				t.Fatalf("eviction of a run of priority %d", r.Priority)
			}
			if !evicted[r.Task] {
				free = free.Sub(r.Size)
			}
		}
		// All binds of the plan count, including later ones: they must not take the freed resources.
		if !need.Fits(free) {
			t.Fatalf("evictions for %v free too little: missing %s", task, need.Limiting(free))
		}
		for _, r := range w.Runs {
			if evicted[r.Task] && need.Fits(free.Sub(r.Size)) && !forbids(rules, r.Class, jobs[task].Class) {
				t.Fatalf("run %v was evicted for %v without need", r.Task, task)
			}
		}
	}
}

// Guards against plans for a zone that is out of service.
func TestNoBindWhileOutOfService(t *testing.T) {
	is := is.New(t)
	job := &record.JobSpec{ID: "j", Priority: record.PriorityUrgent}
	p := newZone([]Worker{{ID: "w", Capacity: resource.Vector{Slots: 8}}}, []Pending{{Task: record.TaskID{Job: "j"}, Job: job}}, nil)
	p.Index().SetPolicy(false, nil)
	is.Equal(len(p.Plan(start, newRand(), 10).Binds), 0)
	p.Index().SetPolicy(true, nil)
	is.Equal(len(p.Plan(start, newRand(), 10).Binds), 1)
}
