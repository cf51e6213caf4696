package placement

import (
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// triesBeforeHold is the number of tries in a row that fail before a worker is drained for a starving task.
// Small tasks find room earlier and must not take the few holds from large ones.
const triesBeforeHold = 8

// hold keeps the room of a worker for one task.
type hold struct {
	worker string
	batch  bool
	// evicted is set once runs were evicted for a starving task.
	evicted bool
}

func (p *Planner) hold(n *node, t *Pending, until time.Time) {
	n.hold, n.holdUntil, n.holdPriority = t.Task, until, level(t.Job.Priority)
	p.holds[t.Task] = hold{worker: n.worker.ID, batch: n.holdPriority == record.PriorityBatch}
}

// release gives up the room that is kept for a task.
func (p *Planner) release(task record.TaskID) {
	h, ok := p.holds[task]
	if !ok {
		return
	}
	delete(p.holds, task)
	if i, ok := p.index.byID[h.worker]; ok && p.index.nodes[i].hold == task {
		p.index.nodes[i].hold = record.TaskID{}
	}
}

// expireHolds gives up holds that are over or whose worker is gone.
func (p *Planner) expireHolds(now time.Time) {
	for task, h := range p.holds {
		i, ok := p.index.byID[h.worker]
		if !ok || p.index.nodes[i].hold != task || !now.Before(p.index.nodes[i].holdUntil) {
			p.release(task)
		}
	}
}

// drainFor keeps a worker free of new batch and urgent runs for a starving batch task. It evicts batch runs
// only after the task has waited three times as long: evictions waste work, and an overloaded zone always has
// tasks that wait long.
func (p *Planner) drainFor(j *jobQueue, t *Pending, now time.Time) []Eviction {
	if !p.queue.starving(j, now) || j.failures < triesBeforeHold {
		return nil
	}
	r := p.index.request(t, now)
	h, ok := p.holds[t.Task]
	if !ok {
		if p.batchHolds() < max(1, len(p.index.nodes)/16) {
			p.drain(&r, t, now)
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

// drain holds the worker that has the least to drain until the task fits.
func (p *Planner) drain(r *request, t *Pending, now time.Time) {
	best, least := -1, float32(0)
	for i := range p.index.nodes {
		n := &p.index.nodes[i]
		if n.hold.Job != "" || !n.usable(r) || !r.size.Fits(n.drainable(r)) {
			continue
		}
		if missing := n.missing(r); best < 0 || missing < least {
			best, least = i, missing
		}
	}
	if best >= 0 {
		p.hold(&p.index.nodes[best], t, now.Add(4*p.opts.StarveAfter))
	}
}

// drainable is the room of the worker once every run that is not a replica of a service has ended. It is empty
// if a replica excludes the task.
func (n *node) drainable(r *request) resource.Vector {
	room := n.worker.Capacity
	for _, runs := range [2][]Run{n.worker.Runs, n.planned} {
		for i := range runs {
			if runs[i].Priority != record.PriorityService {
				continue
			}
			if r.excluded != nil && n.excludes(r, runs[i].Class) {
				return resource.Vector{}
			}
			room = room.Sub(runs[i].Size)
		}
	}
	return room
}

// missing is the largest share of a resource of the worker that has yet to become free.
func (n *node) missing(r *request) float32 {
	lack := r.size.Sub(n.free)
	return max(float32(lack.MilliCPU)*n.perCPU, float32(lack.MemoryMB)*n.perMemory, float32(lack.Slots)*n.perSlot)
}

// breakHold gives up one hold for a starving batch task on whose worker the urgent task fits. It is the last
// resort of an urgent task, which is placed there at its next try.
func (p *Planner) breakHold(t *Pending, now time.Time) {
	r := p.index.request(t, now)
	for i := range p.index.nodes {
		n := &p.index.nodes[i]
		if n.hold.Job == "" || n.holdPriority != record.PriorityBatch {
			continue
		}
		kept := n.hold
		n.hold = record.TaskID{}
		if n.feasible(&r) {
			delete(p.holds, kept)
			return
		}
		n.hold = kept
	}
}

// batchHolds counts the workers that are kept for starving batch tasks.
func (p *Planner) batchHolds() int {
	count := 0
	for _, h := range p.holds {
		if h.batch {
			count++
		}
	}
	return count
}
