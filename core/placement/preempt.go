package placement

import (
	"cmp"
	"slices"
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// victim is a batch run that may be evicted, with the work that its eviction wastes.
type victim struct {
	run  *Run
	cost float64
}

// victimScratch holds buffers that preempt reuses for every worker.
type victimScratch struct{ candidates, chosen []victim }

// preemptOrDrain evicts batch runs for an urgent task or a replica of a service that does not fit. For a starving
// batch task it drains a worker instead.
func (p *Planner) preemptOrDrain(j *jobQueue, t *Pending, now time.Time) []Eviction {
	if j.priority == record.PriorityBatch {
		return p.drainForStarving(j, t, now)
	}
	if _, ok := p.holds[t.Task]; ok {
		return nil // evictions for the task are under way
	}
	evictions := p.preempt(t, now)
	if len(evictions) == 0 {
		p.cancelBatchHold(t, now)
	}
	return evictions
}

// preempt chooses the worker on which evicting the cheapest set of batch runs lets the task fit, holds that worker
// for it and returns the evictions. It returns nil if there is no such worker.
func (p *Planner) preempt(t *Pending, now time.Time) []Eviction {
	r := p.index.request(t, now)
	best, bestCost := -1, 0.0
	var chosen []victim
	var scratch victimScratch
	for i := range p.index.nodes {
		n := &p.index.nodes[i]
		if n.heldForOther(&r) || !n.usable(&r) {
			continue
		}
		victims, cost := n.cheapestVictims(&r, p.opts.RestartCost, now, &scratch)
		if len(victims) > 0 && (best < 0 || cost < bestCost) {
			best, bestCost, chosen = i, cost, append(chosen[:0], victims...)
		}
	}
	if best < 0 {
		return nil
	}
	p.placeHold(&p.index.nodes[best], t, now.Add(p.opts.HoldDuration))
	return p.index.nodes[best].evictions(t, chosen)
}

func (n *node) evictions(t *Pending, victims []victim) []Eviction {
	out := make([]Eviction, 0, len(victims))
	for _, v := range victims {
		out = append(out, Eviction{Worker: n.worker.ID, Task: v.run.Task, Epoch: v.run.Epoch, For: t.Task})
	}
	return out
}

// cheapestVictims returns a set of batch runs without which the task fits and from which no run can be left
// out, and its cost. Cheap runs are chosen first. It returns nil if evicting every batch run is not enough.
func (n *node) cheapestVictims(r *request, restart time.Duration, now time.Time, s *victimScratch) ([]victim, float64) {
	if !r.size.Fits(n.worker.Capacity) || !n.collectVictims(r, restart, now, s) {
		return nil, 0
	}
	free, forced := n.free, len(s.chosen)
	for _, v := range s.chosen {
		free = free.Add(v.run.Size)
	}
	slices.SortStableFunc(s.candidates, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	for _, v := range s.candidates {
		if r.size.Fits(free) {
			break
		}
		if freesMissing(v.run.Size, r.size, free) {
			s.chosen = append(s.chosen, v)
			free = free.Add(v.run.Size)
		}
	}
	if !r.size.Fits(free) {
		return nil, 0
	}
	return prune(s.chosen, forced, free, r.size)
}

// collectVictims sets s.candidates to the batch runs that may be evicted and s.chosen to those that
// an exclusion rule forces out. It reports false if a run that may not be evicted is excluded.
func (n *node) collectVictims(r *request, restart time.Duration, now time.Time, s *victimScratch) bool {
	s.candidates, s.chosen = s.candidates[:0], s.chosen[:0]
	for i := range n.worker.Runs {
		run := &n.worker.Runs[i]
		excluded := r.excluded != nil && n.excludes(r, run.Class)
		evictable := run.Priority == record.PriorityBatch && run.Task != r.task
		switch {
		case evictable && excluded:
			s.chosen = append(s.chosen, victim{run: run, cost: evictionCost(run, restart, now)})
		case evictable:
			s.candidates = append(s.candidates, victim{run: run, cost: evictionCost(run, restart, now)})
		case excluded:
			return false
		}
	}
	return r.excluded == nil || !n.plannedExcluded(r)
}

// prune drops chosen runs that are not needed, the most expensive first. The first forced runs stay.
func prune(chosen []victim, forced int, free, size resource.Vector) ([]victim, float64) {
	for i := len(chosen) - 1; i >= forced; i-- {
		if rest := free.Sub(chosen[i].run.Size); size.Fits(rest) {
			free = rest
			chosen = append(chosen[:i], chosen[i+1:]...)
		}
	}
	cost := 0.0
	for _, v := range chosen {
		cost += v.cost
	}
	return chosen, cost
}

// freesMissing reports whether the run holds some of a resource that is still missing.
func freesMissing(run, need, free resource.Vector) bool {
	return need.Slots > free.Slots && run.Slots > 0 ||
		need.Connections > free.Connections && run.Connections > 0 ||
		need.MilliCPU > free.MilliCPU && run.MilliCPU > 0 ||
		need.MemoryMB > free.MemoryMB && run.MemoryMB > 0 ||
		need.Accelerators > free.Accelerators && run.Accelerators > 0
}

// evictionCost is the work in core seconds that is lost: what was done since the last checkpoint and the
// restart. A run of unknown start counts as checkpointed just now, since the time since the zero time overflows.
func evictionCost(run *Run, restart time.Duration, now time.Time) float64 {
	from := run.StartedAt
	if run.CheckpointedAt.After(from) {
		from = run.CheckpointedAt
	}
	lost := restart
	if !from.IsZero() {
		lost += max(now.Sub(from), 0)
	}
	return lost.Seconds() * float64(max(run.Size.MilliCPU, 1)) / 1000
}
