package placement

import (
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// request is a pending task prepared for the scan over all workers.
type request struct {
	task        record.TaskID
	class       classID
	service     string
	priority    record.Priority
	size        resource.Vector
	expectedUse resource.Vector
	// excluded is nil if no rule names the class.
	excluded []bool
	// names maps class IDs to names.
	names []string
	now   time.Time
	// rackCounts are the replicas of the service by rack; perReplica is the reciprocal of their sum plus one.
	rackCounts []int32
	perReplica float32
}

func (x *Index) request(p *Pending, now time.Time) request {
	j := p.Job
	id := x.classes.idForTask(j.Class, j.Priority)
	r := request{
		task: p.Task, class: id, service: j.Service, priority: j.Priority, size: reservation(j.Size),
		expectedUse: x.expectedUse(j.Team, j.Class, j.Size), excluded: x.classes.excluded[id],
		names: x.classes.names, now: now,
	}
	if j.Service != "" {
		r.rackCounts = x.rackReplicas[j.Service]
		total := int32(1)
		for _, count := range r.rackCounts {
			total += count
		}
		r.perReplica = 1 / float32(total)
	}
	return r
}

// reservation is what a task reserves: its declared size and at least one slot. Learned sizes never lower
// it, because the zone's state machine accounts declared sizes.
func reservation(size resource.Vector) resource.Vector {
	size.Slots = max(size.Slots, 1)
	return size
}

// usable reports whether the worker's state allows a new run of this priority.
func (n *node) usable(r *request) bool {
	if !n.inUse || n.worker.State != record.WorkerUsable {
		return false
	}
	if n.worker.Probing {
		return r.priority == record.PriorityBatch && len(n.worker.Runs)+len(n.planned) == 0
	}
	return true
}

// heldForOther reports whether the worker is held for another task. Only replicas of services ignore a hold
// of other work: urgent work arrives all the time and would never let a worker drain for a starving task.
func (n *node) heldForOther(r *request) bool {
	if n.hold.Job == "" || n.hold == r.task || !r.now.Before(n.holdUntil) {
		return false
	}
	return r.priority != record.PriorityService || n.holdPriority == record.PriorityService
}

// compatible reports whether no exclusion rule forbids the class on this worker.
func (n *node) compatible(r *request) bool {
	if r.excluded == nil {
		return true
	}
	for i := range n.classes {
		if r.excluded[n.classes[i].class] {
			return false
		}
	}
	return true
}

// feasible reports whether the task may be bound to the worker now.
func (n *node) feasible(r *request) bool {
	return r.size.Fits(n.free) && n.usable(r) && !n.heldForOther(r) && n.compatible(r)
}
