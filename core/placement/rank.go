package placement

import (
	"math"

	"waxwingslip.example/core/record"
)

// overuseFrom is the expected use, as a share of a worker, above which contention starts to rise steeply.
const overuseFrom = 0.7

// best returns the position of the feasible worker with the lowest cost, or -1. The scan begins at start, so
// that daemons that plan at the same time choose different ones among equal workers.
func (x *Index) best(r *request, w *Weights, start int) int {
	if !x.inService {
		return -1
	}
	best, bestCost := -1, float32(0)
	for k := range x.nodes {
		i := start + k
		if i >= len(x.nodes) {
			i -= len(x.nodes)
		}
		n := &x.nodes[i]
		if !n.feasible(r) {
			continue
		}
		// The harm is the slow term, so workers that are worse without it are passed over.
		cost := x.roomCost(n, r, w)
		if best >= 0 && cost >= bestCost {
			continue
		}
		limit := bestCost
		if best < 0 {
			limit = math.MaxFloat32
		}
		if cost = x.addHarm(cost, limit, n, r, w); cost < limit {
			best, bestCost = i, cost
		}
	}
	return best
}

// roomCost estimates how badly a task on this worker uses the room, and how contended the worker is without
// regard to the classes of its runs.
func (x *Index) roomCost(n *node, r *request, w *Weights) float32 {
	cost := overuse(n, r, w) + float32(w.Pressure*n.worker.Pressure)
	if r.size.Accelerators == 0 && n.free.Accelerators > 0 {
		cost += float32(w.Accelerator) * max(share(r.size.MilliCPU, n.free.MilliCPU), share(r.size.Slots, n.free.Slots))
	}
	if r.priority == record.PriorityService {
		// Replicas of different services go together, which leaves other workers to batch work.
		return cost + x.crowding(n, r, w) + float32(w.Pack)*n.leftover(r)
	}
	return cost + float32(w.Fit)*n.leftover(r)
}

// addHarm adds the expected slowdown of the task next to the worker's runs, and of the runs next to the task. It
// stops at the limit, because all terms are positive.
func (x *Index) addHarm(cost, limit float32, n *node, r *request, w *Weights) float32 {
	suffers, causes := x.classes.suffers[r.class], x.classes.causes[r.class]
	own := float32(w.BatchHarm)
	if r.priority == record.PriorityService {
		own = float32(w.ServiceHarm)
	}
	load := float32(r.use.MilliCPU) * n.perCPU
	for i := range n.classes {
		c := &n.classes[i]
		theirs := float32(w.BatchHarm)
		if c.service {
			theirs = float32(w.ServiceHarm)
		}
		cost += own*suffers[c.class]*c.load + theirs*causes[c.class]*load*float32(c.count)
		if cost >= limit {
			break
		}
	}
	return cost
}

// overuse grows from the point at which the expected use of a worker leads to contention.
func overuse(n *node, r *request, w *Weights) float32 {
	cpu := float32(n.use.MilliCPU+r.use.MilliCPU) * n.perCPU
	memory := float32(n.use.MemoryMB+r.use.MemoryMB) * n.perMemory
	return float32(w.Overuse) * (max(cpu-overuseFrom, 0) + 2*max(memory-overuseFrom, 0))
}

// leftover is the mean share of the worker that stays free; low values keep large gaps for large tasks.
func (n *node) leftover(r *request) float32 {
	return (float32(n.free.MilliCPU-r.size.MilliCPU)*n.perCPU + float32(n.free.MemoryMB-r.size.MemoryMB)*n.perMemory +
		float32(n.free.Slots-r.size.Slots)*n.perSlot) / 3
}

// crowding is the part of the service that its rack and, four times, its worker would hold. Shares and not
// counts, so that the replicas of a large service may still be packed.
func (x *Index) crowding(n *node, r *request, w *Weights) float32 {
	same := float32(0)
	if int(n.rack) < len(r.rackCounts) {
		same = float32(r.rackCounts[n.rack])
	}
	for _, runs := range [2][]Run{n.worker.Runs, n.planned} {
		for i := range runs {
			if runs[i].Service == r.service {
				same += 4
			}
		}
	}
	return float32(w.Spread) * same * r.perReplica
}
