package placement

import (
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// failuresBeforeHold is the number of consecutive failed tries before a worker is drained for a starving task.
// Small tasks fit earlier and must not take the few holds from large ones.
const failuresBeforeHold = 8

// hold keeps the free resources of a worker for one task.
type hold struct {
	worker string
	batch  bool
	// evicted is set once runs were evicted for a starving task.
	evicted bool
}

func (p *Planner) placeHold(n *node, t *Pending, until time.Time) {
	n.hold, n.holdUntil, n.holdPriority = t.Task, until, effectivePriority(t.Job.Priority)
	p.holds[t.Task] = hold{worker: n.worker.ID, batch: n.holdPriority == record.PriorityBatch}
}

// releaseHold removes the hold of a task, if there is one.
func (p *Planner) releaseHold(task record.TaskID) {
	h, ok := p.holds[task]
	if !ok {
		return
	}
	delete(p.holds, task)
	if i, ok := p.index.byID[h.worker]; ok && p.index.nodes[i].hold == task {
		p.index.nodes[i].hold = record.TaskID{}
	}
}

// expireHolds removes holds that have expired or whose worker is gone.
func (p *Planner) expireHolds(now time.Time) {
	for task, h := range p.holds {
		i, ok := p.index.byID[h.worker]
		if !ok || p.index.nodes[i].hold != task || !now.Before(p.index.nodes[i].holdUntil) {
			p.releaseHold(task)
		}
	}
}

// drainForStarving keeps a worker free of new batch and urgent runs for a starving batch task. It evicts batch runs
// only after the task has waited three times StarveAfter: evictions waste work, and an overloaded zone always has
// tasks that wait long.
func (p *Planner) drainForStarving(j *jobQueue, t *Pending, now time.Time) []Eviction {
	if !p.queue.starving(j, now) || j.failures < failuresBeforeHold {
		return nil
	}
	r := p.index.request(t, now)
	h, ok := p.holds[t.Task]
	if !ok {
		if p.countBatchHolds() < max(1, len(p.index.nodes)/16) {
			p.startDrain(&r, t, now)
		}
		return nil
	}
	if h.evicted || now.Sub(t.Since) < 3*p.opts.StarveAfter {
		return nil
	}
	n := &p.index.nodes[p.index.byID[h.worker]]
	victims, _ := n.cheapestVictims(&r, p.opts.RestartCost, now, &victimScratch{})
	if len(victims) == 0 {
		return nil
	}
	h.evicted = true
	p.holds[t.Task] = h
	return n.evictions(t, victims)
}

// startDrain holds the worker with the smallest missing share for the task, among those where it fits once drained.
func (p *Planner) startDrain(r *request, t *Pending, now time.Time) {
	best, bestMissing := -1, float32(0)
	for i := range p.index.nodes {
		n := &p.index.nodes[i]
		if n.hold.Job != "" || !n.usable(r) || !r.size.Fits(n.drainableCapacity(r)) {
			continue
		}
		if missing := n.missingShare(r); best < 0 || missing < bestMissing {
			best, bestMissing = i, missing
		}
	}
	if best >= 0 {
		p.placeHold(&p.index.nodes[best], t, now.Add(4*p.opts.StarveAfter))
	}
}

// drainableCapacity returns the resources of the worker that are free once only replicas of services run there. It
// returns zero if a replica excludes the task.
func (n *node) drainableCapacity(r *request) resource.Vector {
	free := n.worker.Capacity
	for _, runs := range [2][]Run{n.worker.Runs, n.planned} {
		for i := range runs {
			if runs[i].Priority != record.PriorityService {
				continue
			}
			if r.excluded != nil && n.excludes(r, runs[i].Class) {
				return resource.Vector{}
			}
			free = free.Sub(runs[i].Size)
		}
	}
	return free
}

// missingShare returns the largest share of a resource of the worker that has yet to become free.
func (n *node) missingShare(r *request) float32 {
	deficit := r.size.Sub(n.free)
	return max(float32(deficit.MilliCPU)*n.perCPU, float32(deficit.MemoryMB)*n.perMemory, float32(deficit.Slots)*n.perSlot)
}

// cancelBatchHold cancels the hold of a starving batch task on one worker where the urgent task fits. It is the last
// resort for an urgent task, which is placed there at its next try.
func (p *Planner) cancelBatchHold(t *Pending, now time.Time) {
	r := p.index.request(t, now)
	for i := range p.index.nodes {
		n := &p.index.nodes[i]
		if n.hold.Job == "" || n.holdPriority != record.PriorityBatch {
			continue
		}
		holder := n.hold
		n.hold = record.TaskID{}
		if n.feasible(&r) {
			delete(p.holds, holder)
			return
		}
		n.hold = holder
	}
}

// countBatchHolds counts the workers that are held for starving batch tasks.
func (p *Planner) countBatchHolds() int {
	count := 0
	for _, h := range p.holds {
		if h.batch {
			count++
		}
	}
	return count
}
