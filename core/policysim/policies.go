package policysim

import (
	"math/rand/v2"
	"slices"
	"time"

	"waxwingslip.example/core/guard"
	"waxwingslip.example/core/interference"
	"waxwingslip.example/core/placement"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/core/verdict"
)

// reportSeconds is the interval of worker reports; a report describes the interval before the last.
const reportSeconds = 5

// policy decides placements and evictions in the simulated world.
type policy interface {
	start(w *world)
	// workerChanged is called after a run left a worker, taskEnded after a task completed.
	workerChanged(w *world, zone int, m *workerState)
	taskEnded(w *world, r *run)
	zoneChanged(w *world, z *zone)
	// drain removes and returns the waiting tasks of a zone that is out of service, except those of services.
	drain(w *world, z *zone) []*run
	decide(w *world)
}

// baselinePolicy is a simple policy: strict priorities, FIFO within a priority, and eviction of the newest batch tasks
// for urgent tasks and services.
type baselinePolicy struct {
	// choose returns one of the feasible workers, by index.
	choose  func(w *world, z *zone, feasible []int) int
	waiting [][]*run
}

func newBaselinePolicies() map[string]func() policy {
	rng := func() *rand.Rand { return rand.New(rand.NewPCG(9, 9)) }
	return map[string]func() policy{
		"random": func() policy {
			r := rng()
			return &baselinePolicy{choose: func(_ *world, _ *zone, f []int) int { return f[r.IntN(len(f))] }}
		},
		"first fit": func() policy {
			return &baselinePolicy{choose: func(_ *world, _ *zone, f []int) int { return f[0] }}
		},
		"least loaded": func() policy {
			return &baselinePolicy{choose: func(_ *world, z *zone, f []int) int {
				return slices.MinFunc(f, func(a, b int) int {
					return int(z.workers[a].reserved.MilliCPU - z.workers[b].reserved.MilliCPU)
				})
			}}
		},
	}
}

func (b *baselinePolicy) start(w *world)                          { b.waiting = make([][]*run, len(w.zones)) }
func (b *baselinePolicy) workerChanged(*world, int, *workerState) {}
func (b *baselinePolicy) taskEnded(*world, *run)                  {}
func (b *baselinePolicy) zoneChanged(w *world, z *zone)           {}
func (b *baselinePolicy) drain(w *world, z *zone) []*run          { return takeBatch(&b.waiting[z.index], z) }

// takeBatch removes and returns the tasks of a waiting list and the zone's new tasks that may move to another zone.
func takeBatch(waiting *[]*run, z *zone) []*run {
	isService := func(r *run) bool { return r.priority == record.PriorityService }
	all := append(*waiting, z.pending...)
	z.pending, *waiting = nil, nil
	var out []*run
	for _, r := range all {
		if isService(r) {
			*waiting = append(*waiting, r)
		} else {
			out = append(out, r)
		}
	}
	return out
}

func (b *baselinePolicy) decide(w *world) {
	for _, z := range w.zones {
		q := append(b.waiting[z.index], z.pending...)
		z.pending = nil
		slices.SortStableFunc(q, func(a, c *run) int { return int(c.priority) - int(a.priority) })
		b.waiting[z.index] = nil
		failed := 0
		for i, r := range q {
			// A full zone has hundreds of waiting batch tasks; after about 50 that did not fit, the rest is not tried.
			if z.outOfService || failed > 50 {
				b.waiting[z.index] = append(b.waiting[z.index], q[i:]...)
				break
			}
			if !b.place(w, z, r) {
				failed++
				b.waiting[z.index] = append(b.waiting[z.index], r)
			}
		}
	}
}

func (b *baselinePolicy) place(w *world, z *zone, r *run) bool {
	var feasible []int
	for i, m := range z.workers {
		if m.reserved.Add(r.size).Fits(w.capacity) {
			feasible = append(feasible, i)
		}
	}
	if len(feasible) > 0 {
		w.placeRun(r, b.choose(w, z, feasible))
		return true
	}
	if r.priority != record.PriorityBatch {
		b.preempt(w, z, r)
	}
	return false
}

// preempt evicts the newest batch runs of the first worker on which the task fits without them.
func (b *baselinePolicy) preempt(w *world, z *zone, r *run) {
	for _, m := range z.workers {
		free := w.capacity.Sub(m.reserved)
		var victims []*run
		for i := len(m.runs) - 1; i >= 0 && !r.size.Fits(free); i-- {
			if v := m.runs[i]; v.priority == record.PriorityBatch {
				free = free.Add(v.size)
				victims = append(victims, v)
			}
		}
		if r.size.Fits(free) {
			for _, v := range victims {
				w.evict(v)
			}
			return
		}
	}
}

// plannerPolicy is the policy of the daemons, with or without guards.
type plannerPolicy struct {
	guards     bool
	planners   []*placement.Planner
	models     []*interference.Model
	zoneGuards []*guard.Guard
	runs       map[record.TaskID]*run
	rng        *rand.Rand
}

func (p *plannerPolicy) start(w *world) {
	p.runs, p.rng = map[record.TaskID]*run{}, rand.New(rand.NewPCG(9, 9))
	for _, z := range w.zones {
		p.planners = append(p.planners, placement.NewPlanner(placement.DefaultOptions()))
		p.models = append(p.models, interference.New(interference.DefaultOptions()))
		p.zoneGuards = append(p.zoneGuards, guard.New(guard.DefaultOptions()))
		for _, m := range z.workers {
			p.workerChanged(w, z.index, m)
		}
	}
}

func (p *plannerPolicy) workerChanged(w *world, zone int, m *workerState) {
	v := placement.Worker{ID: m.id, Rack: m.rack, Capacity: w.capacity}
	for _, r := range m.runs {
		v.Runs = append(v.Runs, placement.Run{
			Task: r.id, Epoch: r.epoch, Team: r.class.team, Class: r.class.name, Service: r.spec.Service, Priority: r.priority,
			Size: r.size, StartedAt: epochStart.Add(time.Duration(r.startedAt) * time.Second),
			CheckpointedAt: epochStart.Add(time.Duration(r.checkpointedAt) * time.Second),
		})
	}
	p.planners[zone].Index().SetWorker(v)
}

func (p *plannerPolicy) taskEnded(w *world, r *run) {
	p.models[r.zone].ObserveRun(interference.Key{Team: r.class.team, Class: r.class.name},
		time.Duration(w.second-r.startedAt)*time.Second, w.now())
	delete(p.runs, r.id)
}

func (p *plannerPolicy) zoneChanged(_ *world, z *zone) {
	p.planners[z.index].Index().SetPolicy(!z.outOfService, nil)
}

func (p *plannerPolicy) drain(_ *world, z *zone) []*run {
	var services []*run
	out := takeBatch(&services, z)
	z.pending = services
	for _, r := range out {
		delete(p.runs, r.id)
	}
	for _, r := range p.runs {
		if r.zone == z.index && r.worker < 0 && r.priority != record.PriorityService {
			p.planners[z.index].Remove(r.id)
			delete(p.runs, r.id)
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compareIDs) // map order is random
	return out
}

func compareIDs(a, b *run) int {
	switch {
	case a.id.Job < b.id.Job:
		return -1
	case a.id.Job > b.id.Job:
		return 1
	}
	return a.id.Index - b.id.Index
}

func (p *plannerPolicy) decide(w *world) {
	for _, z := range w.zones {
		pl := p.planners[z.index]
		for _, r := range z.pending {
			p.runs[r.id] = r
			pl.Add(placement.Pending{Task: r.id, Epoch: r.epoch, Job: r.spec,
				Since: epochStart.Add(time.Duration(r.pendingSince) * time.Second)})
		}
		z.pending = nil
		if w.second%reportSeconds == 0 {
			p.report(w, z)
		}
		plan := pl.Plan(w.now(), p.rng, 1<<20)
		for _, b := range plan.Binds {
			p.bind(w, z, b)
		}
		for _, e := range plan.Evictions {
			if r := p.runs[e.Task]; r != nil && r.worker >= 0 && r.epoch == e.Epoch {
				w.evict(r)
			}
		}
	}
}

func (p *plannerPolicy) bind(w *world, z *zone, b placement.Bind) {
	r := p.runs[b.Task]
	for i, m := range z.workers {
		if m.id == b.Worker {
			w.placeRun(r, i)
			p.workerChanged(w, z.index, m)
			p.planners[z.index].Accepted(b.Task)
			return
		}
	}
}

// report feeds the lagging reports to the model and to the guard.
func (p *plannerPolicy) report(w *world, z *zone) {
	model := p.models[z.index]
	views := make([]guard.WorkerView, 0, len(z.workers))
	for _, m := range z.workers {
		views = append(views, p.reportWorker(w, z, m, model))
	}
	if w.second%30 == 0 {
		p.planners[z.index].Index().SetEstimator(model)
	}
	if !p.guards {
		return
	}
	for _, a := range p.zoneGuards[z.index].Step(w.now(), views) {
		r := p.runs[a.Task]
		switch {
		case r == nil || r.worker < 0 || r.epoch != a.Epoch:
		case a.Kind == guard.Move:
			w.evict(r)
		default:
			r.throttle = a.Percent
		}
	}
}

func (p *plannerPolicy) reportWorker(w *world, z *zone, m *workerState, model *interference.Model) guard.WorkerView {
	v := guard.WorkerView{Worker: m.id, MeasuredAt: epochStart.Add(time.Duration(m.laggingFrom) * time.Second)}
	load := w.serviceLoad(z)
	for _, s := range m.lagging {
		model.ObserveUse(interference.Key{Team: s.run.class.team, Class: s.run.class.name},
			resource.Vector{MilliCPU: int64(s.cores * 1000), MemoryMB: int64(s.memoryGB * 1000)}, w.now())
		if s.run.priority != record.PriorityService {
			model.ObserveSample(interference.Sample{Victim: s.run.class.name, Value: 1 / max(s.speed, 0.05), Settled: s.settled, At: w.now(), Neighbours: neighbours(w, m, s.run)})
			v.Batch = append(v.Batch, guard.BatchView{Task: s.run.id, Epoch: s.run.epoch, Load: s.cores / float64(w.sc.Cores),
				Effect: p.worstEffect(model, m, s.run), ThrottlePercent: s.run.throttle})
			continue
		}
		if s.count == 0 {
			continue
		}
		latency := s.latency / s.count
		model.ObserveSample(interference.Sample{Victim: s.run.class.name, Load: 8 * load, Value: latency, Settled: s.settled, At: w.now(), Neighbours: neighbours(w, m, s.run)})
		cause := verdict.Neighbours
		if alone, n := model.Baseline(s.run.class.name, 8*load); n > 0 && alone > targetFactor {
			cause = verdict.OwnLoad
		}
		// The 99th percentile of the random factor on a latency is 1.8 times its mean.
		v.Services = append(v.Services, guard.ServiceView{Service: s.run.class.name, LatencyMs: 1.8 * latency, TargetMs: targetFactor, Requests: 100, Cause: cause})
	}
	return v
}

// worstEffect returns the largest learned slowdown that a batch run causes to a service on the worker.
func (p *plannerPolicy) worstEffect(model *interference.Model, m *workerState, batch *run) float64 {
	worst := 0.0
	for _, s := range m.lagging {
		if s.run.priority == record.PriorityService {
			slowdown, confidence := model.Slowdown(s.run.class.name, batch.class.name)
			worst = max(worst, confidence*slowdown+(1-confidence)*0.3)
		}
	}
	return worst
}

// neighbours returns the load of the other runs of a worker by class.
func neighbours(w *world, m *workerState, victim *run) []interference.Neighbour {
	var out []interference.Neighbour
	for _, s := range m.lagging {
		if s.run == victim {
			continue
		}
		load := s.cores / float64(w.sc.Cores)
		if i := slices.IndexFunc(out, func(n interference.Neighbour) bool { return n.Class == s.run.class.name }); i >= 0 {
			out[i].Load += load
			continue
		}
		out = append(out, interference.Neighbour{Class: s.run.class.name, Load: load})
	}
	return out
}
