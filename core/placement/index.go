package placement

import (
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// classLoad sums the runs of one class on one worker.
type classLoad struct {
	class   classID
	count   int32
	service bool
	// load is the expected processor use of these runs as a share of the worker.
	load float32
}

// node is the planner's copy of one worker, with the binds that are planned but not yet in the zone's state.
type node struct {
	worker      Worker
	inUse       bool // false for a free element of the slice
	free        resource.Vector
	expectedUse resource.Vector // of all runs
	// perCPU, perMemory and perSlot are the reciprocals of the capacity: ranking multiplies instead of dividing.
	perCPU, perMemory, perSlot float32

	classes []classLoad
	planned []Run
	// hold is the task for which the free resources are kept until holdUntil.
	hold         record.TaskID
	holdUntil    time.Time
	holdPriority record.Priority
	rack         int32
}

// Index is the planner's view of a zone's workers. It is updated for each changed worker, so that planning
// never rebuilds it.
type Index struct {
	classes   *classTable
	nodes     []node
	byID      map[string]int
	freeNodes []int
	racks     map[string]int32
	// rackReplicas counts the runs of a service for each rack.
	rackReplicas map[string][]int32
	capacity     resource.Vector // of all workers
	teamUse      map[string]resource.Vector
	inService    bool
}

func newIndex(w *Weights) *Index {
	return &Index{
		classes: newClassTable(w), byID: map[string]int{}, racks: map[string]int32{},
		rackReplicas: map[string][]int32{}, teamUse: map[string]resource.Vector{}, inService: true,
	}
}

// SetWorker adds or replaces a worker. Planned binds that are not yet among its runs keep their resources.
func (x *Index) SetWorker(w Worker) {
	i, ok := x.byID[w.ID]
	if !ok {
		i = x.allocateNode()
		x.byID[w.ID] = i
	} else {
		x.unaccount(&x.nodes[i])
	}
	n := &x.nodes[i]
	n.worker, n.inUse, n.rack = w, true, x.rackID(w.Rack)
	n.planned = unconfirmed(n.planned, w.Runs)
	x.account(n)
}

// RemoveWorker removes a worker.
func (x *Index) RemoveWorker(id string) {
	i, ok := x.byID[id]
	if !ok {
		return
	}
	x.unaccount(&x.nodes[i])
	x.nodes[i] = node{}
	delete(x.byID, id)
	x.freeNodes = append(x.freeNodes, i)
}

// SetPolicy sets whether the zone is in service and which classes must not share a worker.
func (x *Index) SetPolicy(inService bool, exclusions []record.Exclusion) {
	x.inService = inService
	x.classes.setExclusions(exclusions)
}

// SetEstimator replaces the estimator and updates the expected use and slowdowns.
func (x *Index) SetEstimator(e Estimator) {
	x.classes.setEstimator(e)
	for i := range x.nodes {
		if n := &x.nodes[i]; n.inUse {
			x.recomputeLoads(n)
		}
	}
}

// Free returns the resources of a worker that neither runs nor planned binds reserve.
func (x *Index) Free(worker string) (resource.Vector, bool) {
	i, ok := x.byID[worker]
	if !ok {
		return resource.Vector{}, false
	}
	return x.nodes[i].free, true
}

func (x *Index) allocateNode() int {
	if k := len(x.freeNodes); k > 0 {
		i := x.freeNodes[k-1]
		x.freeNodes = x.freeNodes[:k-1]
		return i
	}
	x.nodes = append(x.nodes, node{})
	return len(x.nodes) - 1
}

func (x *Index) rackID(rack string) int32 {
	id, ok := x.racks[rack]
	if !ok {
		id = int32(len(x.racks))
		x.racks[rack] = id
	}
	return id
}

// unconfirmed returns the planned runs that are not among the worker's runs.
func unconfirmed(planned, runs []Run) []Run {
	kept := planned[:0]
	for _, p := range planned {
		if !containsRun(runs, p.Task, p.Epoch) {
			kept = append(kept, p)
		}
	}
	return kept
}

func containsRun(runs []Run, task record.TaskID, epoch int64) bool {
	for i := range runs {
		if runs[i].Task == task && runs[i].Epoch >= epoch {
			return true
		}
	}
	return false
}

// addPlanned adds a planned bind to a node.
func (x *Index) addPlanned(i int, r Run) {
	n := &x.nodes[i]
	n.planned = append(n.planned, r)
	x.adjustUsage(n, &r, 1)
	n.free = n.free.Sub(r.Size)
	x.addClass(n, &r)
	if n.hold == r.Task {
		n.hold = record.TaskID{}
	}
}

// removePlanned removes a planned bind, for instance after a rejection.
func (x *Index) removePlanned(worker string, task record.TaskID, epoch int64) {
	i, ok := x.byID[worker]
	if !ok {
		return
	}
	n := &x.nodes[i]
	for k := range n.planned {
		if n.planned[k].Task == task && n.planned[k].Epoch == epoch {
			x.unaccount(n)
			n.planned = append(n.planned[:k], n.planned[k+1:]...)
			x.account(n)
			return
		}
	}
}

func (x *Index) account(n *node) {
	x.capacity = x.capacity.Add(n.worker.Capacity)
	x.adjustAllUsage(n, 1)
	x.recomputeLoads(n)
}

func (x *Index) unaccount(n *node) {
	x.capacity = x.capacity.Sub(n.worker.Capacity)
	x.adjustAllUsage(n, -1)
}

func (x *Index) adjustAllUsage(n *node, sign int64) {
	for i := range n.worker.Runs {
		x.adjustUsage(n, &n.worker.Runs[i], sign)
	}
	for i := range n.planned {
		x.adjustUsage(n, &n.planned[i], sign)
	}
}

// adjustUsage adds a run to the sums of its team and of its service in the rack, or subtracts it if sign is -1.
func (x *Index) adjustUsage(n *node, r *Run, sign int64) {
	use := x.teamUse[r.Team].Add(r.Size.Times(sign))
	if use.IsZero() {
		delete(x.teamUse, r.Team)
	} else {
		x.teamUse[r.Team] = use
	}
	if r.Service == "" {
		return
	}
	counts := x.rackReplicas[r.Service]
	for int(n.rack) >= len(counts) {
		counts = append(counts, 0)
	}
	counts[n.rack] += int32(sign)
	x.rackReplicas[r.Service] = counts
}

// recomputeLoads rebuilds the free resources, the expected use and the class loads of a node.
func (x *Index) recomputeLoads(n *node) {
	c := n.worker.Capacity
	n.free, n.expectedUse, n.classes = c, resource.Vector{}, n.classes[:0]
	n.perCPU, n.perMemory, n.perSlot = share(1, c.MilliCPU), share(1, c.MemoryMB), share(1, c.Slots)
	for _, runs := range [][]Run{n.worker.Runs, n.planned} {
		for i := range runs {
			n.free = n.free.Sub(runs[i].Size)
			x.addClass(n, &runs[i])
		}
	}
}

func (x *Index) addClass(n *node, r *Run) {
	id := x.classes.idForTask(r.Class, r.Priority)
	use := x.expectedUse(r.Team, r.Class, r.Size)
	n.expectedUse = n.expectedUse.Add(use)
	load := float32(use.MilliCPU) * n.perCPU
	service := r.Priority == record.PriorityService
	for i := range n.classes {
		if c := &n.classes[i]; c.class == id && c.service == service {
			c.count++
			c.load += load
			return
		}
	}
	n.classes = append(n.classes, classLoad{class: id, count: 1, service: service, load: load})
}

// expectedUse returns the learned use of a task, or the declared size if too little is known.
func (x *Index) expectedUse(team, class string, declared resource.Vector) resource.Vector {
	if x.classes.estimator != nil {
		if use, ok := x.classes.estimator.ExpectedUse(team, class); ok {
			return use
		}
	}
	return declared
}

func share(part, whole int64) float32 {
	if whole <= 0 {
		return 0
	}
	return float32(part) / float32(whole)
}

// dominantShare returns the largest share that a team holds of any resource of the zone.
func (x *Index) dominantShare(team string) float64 {
	u, c := x.teamUse[team], x.capacity
	return float64(max(share(u.Slots, c.Slots), share(u.Connections, c.Connections), share(u.MilliCPU, c.MilliCPU),
		share(u.MemoryMB, c.MemoryMB), share(u.Accelerators, c.Accelerators)))
}
