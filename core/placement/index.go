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
	worker Worker
	used   bool // false for a free position of the slice
	free   resource.Vector
	use    resource.Vector // expected use of all runs
	// perCPU, perMemory and perSlot are the reciprocals of the capacity: ranking multiplies instead of dividing.
	perCPU, perMemory, perSlot float32

	classes []classLoad
	planned []Run
	// hold keeps freed room for one task until holdUntil.
	hold         record.TaskID
	holdUntil    time.Time
	holdPriority record.Priority
	rack         int32
}

// Index is the planner's view of a zone's workers. It is updated for each changed worker, so that planning
// never rebuilds it.
type Index struct {
	classes *classTable
	nodes   []node
	byID    map[string]int
	vacant  []int
	racks   map[string]int32
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

// SetWorker adds a worker or replaces what is known about it. Planned binds that the worker does not show
// yet keep their room.
func (x *Index) SetWorker(w Worker) {
	i, ok := x.byID[w.ID]
	if !ok {
		i = x.position()
		x.byID[w.ID] = i
	} else {
		x.unaccount(&x.nodes[i])
	}
	n := &x.nodes[i]
	n.worker, n.used, n.rack = w, true, x.rackID(w.Rack)
	n.planned = unseen(n.planned, w.Runs)
	x.account(n)
}

// RemoveWorker forgets a worker.
func (x *Index) RemoveWorker(id string) {
	i, ok := x.byID[id]
	if !ok {
		return
	}
	x.unaccount(&x.nodes[i])
	x.nodes[i] = node{}
	delete(x.byID, id)
	x.vacant = append(x.vacant, i)
}

// SetPolicy sets whether the zone is in service and which classes may not share a worker.
func (x *Index) SetPolicy(inService bool, exclusions []record.Exclusion) {
	x.inService = inService
	x.classes.setExclusions(exclusions)
}

// SetEstimator reads the learned sizes and effects again.
func (x *Index) SetEstimator(e Estimator) {
	x.classes.setEstimator(e)
	for i := range x.nodes {
		if n := &x.nodes[i]; n.used {
			x.summarise(n)
		}
	}
}

// Free returns the room of a worker that neither runs nor planned binds hold.
func (x *Index) Free(worker string) (resource.Vector, bool) {
	i, ok := x.byID[worker]
	if !ok {
		return resource.Vector{}, false
	}
	return x.nodes[i].free, true
}

func (x *Index) position() int {
	if k := len(x.vacant); k > 0 {
		i := x.vacant[k-1]
		x.vacant = x.vacant[:k-1]
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

// unseen returns the planned runs that are not among the worker's runs.
func unseen(planned, runs []Run) []Run {
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

// plan adds a planned bind to a node.
func (x *Index) plan(i int, r Run) {
	n := &x.nodes[i]
	n.planned = append(n.planned, r)
	x.charge(n, &r, 1)
	n.free = n.free.Sub(r.Size)
	x.addClass(n, &r)
	if n.hold == r.Task {
		n.hold = record.TaskID{}
	}
}

// unplan takes a planned bind back, for instance after a rejection.
func (x *Index) unplan(worker string, task record.TaskID, epoch int64) {
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
	x.chargeAll(n, 1)
	x.summarise(n)
}

func (x *Index) unaccount(n *node) {
	x.capacity = x.capacity.Sub(n.worker.Capacity)
	x.chargeAll(n, -1)
}

func (x *Index) chargeAll(n *node, sign int64) {
	for i := range n.worker.Runs {
		x.charge(n, &n.worker.Runs[i], sign)
	}
	for i := range n.planned {
		x.charge(n, &n.planned[i], sign)
	}
}

// charge adds a run to the sums of its team and of its service in the rack, or subtracts it.
func (x *Index) charge(n *node, r *Run, sign int64) {
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

// summarise rebuilds the free room and the class loads of a node.
func (x *Index) summarise(n *node) {
	c := n.worker.Capacity
	n.free, n.use, n.classes = c, resource.Vector{}, n.classes[:0]
	n.perCPU, n.perMemory, n.perSlot = share(1, c.MilliCPU), share(1, c.MemoryMB), share(1, c.Slots)
	for _, runs := range [][]Run{n.worker.Runs, n.planned} {
		for i := range runs {
			n.free = n.free.Sub(runs[i].Size)
			x.addClass(n, &runs[i])
		}
	}
}

func (x *Index) addClass(n *node, r *Run) {
	id := x.classes.ofTask(r.Class, r.Priority)
	use := x.expectedUse(r.Team, r.Class, r.Size)
	n.use = n.use.Add(use)
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
		if use, ok := x.classes.estimator.Use(team, class); ok {
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

// dominantShare is the largest share that a team holds of any resource of the zone.
func (x *Index) dominantShare(team string) float64 {
	u, c := x.teamUse[team], x.capacity
	return float64(max(share(u.Slots, c.Slots), share(u.Connections, c.Connections), share(u.MilliCPU, c.MilliCPU),
		share(u.MemoryMB, c.MemoryMB), share(u.Accelerators, c.Accelerators)))
}
