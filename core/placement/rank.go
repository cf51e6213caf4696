package placement

import (
	"math"

	"waxwingslip.example/core/record"
)

// overuseThreshold is the expected use, as a share of a worker, above which contention starts to rise steeply.
const overuseThreshold = 0.7

// bestWorker returns the index of the feasible worker with the lowest cost, or -1. The scan begins at start, so
// that daemons that plan at the same time choose different ones among equal workers.
func (x *Index) bestWorker(r *request, w *Weights, start int) int {
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
		// Interference is slow to compute, so workers whose cost is already too high without it are skipped.
		cost := x.capacityCost(n, r, w)
		if best >= 0 && cost >= bestCost {
			continue
		}
		limit := bestCost
		if best < 0 {
			limit = math.MaxFloat32
		}
		if cost = x.addInterference(cost, limit, n, r, w); cost < limit {
			best, bestCost = i, cost
		}
	}
	return best
}

// capacityCost estimates how poorly a task would use the worker's capacity, and how contended the worker is without
// regard to the classes of its runs.
func (x *Index) capacityCost(n *node, r *request, w *Weights) float32 {
	cost := overuseCost(n, r, w) + float32(w.Pressure*n.worker.Pressure)
	if r.size.Accelerators == 0 && n.free.Accelerators > 0 {
		cost += float32(w.Accelerator) * max(share(r.size.MilliCPU, n.free.MilliCPU), share(r.size.Slots, n.free.Slots))
	}
	if r.priority == record.PriorityService {
		// Replicas of different services are packed together, which leaves other workers to batch work.
		return cost + x.colocationCost(n, r, w) + float32(w.Pack)*n.meanFreeShare(r)
	}
	return cost + float32(w.Fit)*n.meanFreeShare(r)
}

// addInterference adds the expected slowdown of the task next to the worker's runs, and of the runs next to the task.
// It stops at the limit, because all terms are positive.
func (x *Index) addInterference(cost, limit float32, n *node, r *request, w *Weights) float32 {
	slowdownOf, slowdownBy := x.classes.slowdownOf[r.class], x.classes.slowdownBy[r.class]
	taskWeight := float32(w.BatchInterference)
	if r.priority == record.PriorityService {
		taskWeight = float32(w.ServiceInterference)
	}
	load := float32(r.expectedUse.MilliCPU) * n.perCPU
	for i := range n.classes {
		c := &n.classes[i]
		runWeight := float32(w.BatchInterference)
		if c.service {
			runWeight = float32(w.ServiceInterference)
		}
		cost += taskWeight*slowdownOf[c.class]*c.load + runWeight*slowdownBy[c.class]*load*float32(c.count)
		if cost >= limit {
			break
		}
	}
	return cost
}

// overuseCost returns the cost of expected use above overuseThreshold; memory counts twice as much as CPU.
func overuseCost(n *node, r *request, w *Weights) float32 {
	cpu := float32(n.expectedUse.MilliCPU+r.expectedUse.MilliCPU) * n.perCPU
	memory := float32(n.expectedUse.MemoryMB+r.expectedUse.MemoryMB) * n.perMemory
	return float32(w.Overuse) * (max(cpu-overuseThreshold, 0) + 2*max(memory-overuseThreshold, 0))
}

// meanFreeShare returns the mean share of the worker that stays free; low values keep large gaps for large tasks.
func (n *node) meanFreeShare(r *request) float32 {
	return (float32(n.free.MilliCPU-r.size.MilliCPU)*n.perCPU + float32(n.free.MemoryMB-r.size.MemoryMB)*n.perMemory +
		float32(n.free.Slots-r.size.Slots)*n.perSlot) / 3
}

// colocationCost weighs the share of the service's replicas in the worker's rack and, four times, on the worker. It
// uses shares and not counts, so that the replicas of a large service may still be packed.
func (x *Index) colocationCost(n *node, r *request, w *Weights) float32 {
	weightedReplicas := float32(0)
	if int(n.rack) < len(r.rackCounts) {
		weightedReplicas = float32(r.rackCounts[n.rack])
	}
	for _, runs := range [2][]Run{n.worker.Runs, n.planned} {
		for i := range runs {
			if runs[i].Service == r.service {
				weightedReplicas += 4
			}
		}
	}
	return float32(w.Spread) * weightedReplicas * r.perReplica
}
