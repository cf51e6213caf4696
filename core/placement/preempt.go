package placement

import (
	"sort"
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// victim is a batch run that may be evicted, with the work that its eviction wastes.
type victim struct {
	run  *Run
	cost float64
}

// makeRoom evicts batch runs for an urgent task or a replica of a service that does not fit. For a starving
// batch task it only keeps a worker free of new batch tasks, until the task has waited three times as long:
// evictions waste work, and an overloaded zone always has tasks that wait long.
func (p *Planner) makeRoom(j *jobQueue, t *Pending, now time.Time) []Eviction {
	if j.level >= record.PriorityUrgent {
		return p.preempt(t, now, p.opts.HoldFor, true)
	}
	if !p.queue.starving(j, now) || len(p.holds) > len(p.index.nodes)/16 {
		return nil
	}
	return p.preempt(t, now, p.opts.StarveAfter/4, now.Sub(t.Since) >= 3*p.opts.StarveAfter)
}

// preempt chooses the worker on which the cheapest set of batch runs makes room for the task, and keeps the
// room for it. It returns nil if there is no such worker, if room is already kept for the task, or if the runs
// shall end by themselves.
func (p *Planner) preempt(t *Pending, now time.Time, hold time.Duration, evict bool) []Eviction {
	if _, ok := p.holds[t.Task]; ok {
		return nil
	}
	r := p.index.request(t, now)
	best, bestCost := -1, 0.0
	var chosen []victim
	for i := range p.index.nodes {
		n := &p.index.nodes[i]
		if n.held(&r) || !n.usable(&r) {
			continue
		}
		victims, cost := n.cheapestVictims(&r, p.opts.RestartCost, now)
		if len(victims) > 0 && (best < 0 || cost < bestCost) {
			best, bestCost, chosen = i, cost, victims
		}
	}
	if best < 0 {
		return nil
	}
	n := &p.index.nodes[best]
	n.hold, n.holdUntil, n.holdPriority = t.Task, now.Add(hold), level(t.Job.Priority)
	p.holds[t.Task] = n.worker.ID
	if !evict {
		return nil
	}
	out := make([]Eviction, 0, len(chosen))
	for _, v := range chosen {
		out = append(out, Eviction{Worker: n.worker.ID, Task: v.run.Task, Epoch: v.run.Epoch, For: t.Task})
	}
	return out
}

// cheapestVictims returns a set of batch runs without which the task fits and from which no run can be left
// out. It returns nil if evicting every batch run is not enough.
func (n *node) cheapestVictims(r *request, restart time.Duration, now time.Time) ([]victim, float64) {
	if !r.size.Fits(n.worker.Capacity) {
		return nil, 0
	}
	candidates, forced, ok := n.victims(r, restart, now)
	if !ok {
		return nil, 0
	}
	free := n.free
	for _, v := range forced {
		free = free.Add(v.run.Size)
	}
	chosen := forced
	sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].cost < candidates[b].cost })
	for _, v := range candidates {
		if r.size.Fits(free) {
			break
		}
		if helps(v.run.Size, r.size, free) {
			chosen = append(chosen, v)
			free = free.Add(v.run.Size)
		}
	}
	if !r.size.Fits(free) {
		return nil, 0
	}
	return prune(chosen, len(forced), free, r.size)
}

// victims splits the batch runs into those that may be evicted for room and those that an exclusion rule
// forces out. It reports false if a run that may not be evicted is excluded.
func (n *node) victims(r *request, restart time.Duration, now time.Time) (candidates, forced []victim, ok bool) {
	for i := range n.worker.Runs {
		run := &n.worker.Runs[i]
		excluded := r.excluded != nil && n.excludes(r, run.Class)
		switch {
		case run.Priority == record.PriorityBatch && run.Task != r.task:
			v := victim{run: run, cost: evictionCost(run, restart, now)}
			if excluded {
				forced = append(forced, v)
			} else {
				candidates = append(candidates, v)
			}
		case excluded:
			return nil, nil, false
		}
	}
	if r.excluded != nil && n.plannedExcluded(r) {
		return nil, nil, false
	}
	return candidates, forced, true
}

// prune leaves out chosen runs, the most expensive first, that are not needed. The first forced runs stay.
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

// helps reports whether the run holds some of a resource that is still missing.
func helps(run, need, free resource.Vector) bool {
	return need.Slots > free.Slots && run.Slots > 0 ||
		need.Connections > free.Connections && run.Connections > 0 ||
		need.MilliCPU > free.MilliCPU && run.MilliCPU > 0 ||
		need.MemoryMB > free.MemoryMB && run.MemoryMB > 0 ||
		need.Accelerators > free.Accelerators && run.Accelerators > 0
}

// evictionCost is the work in core seconds that is lost: what was done since the last checkpoint and the
// restart.
func evictionCost(run *Run, restart time.Duration, now time.Time) float64 {
	from := run.StartedAt
	if run.CheckpointedAt.After(from) {
		from = run.CheckpointedAt
	}
	lost := max(now.Sub(from), 0) + restart
	return lost.Seconds() * float64(max(run.Size.MilliCPU, 1)) / 1000
}
