package record

import "waxwingslip.example/core/resource"

// Priority is the placement priority of a task. Higher values are placed first.
type Priority uint8

// Priorities of tasks.
const (
	// PriorityBatch may be throttled, evicted and preempted.
	PriorityBatch Priority = 1
	// PriorityUrgent is for batch work that must start within the urgent start limit.
	PriorityUrgent Priority = 2
	// PriorityService is for replicas of a latency-critical service.
	PriorityService Priority = 3
)

// JobSpec describes a set of equal tasks. It is immutable for a given (ID, Revision).
type JobSpec struct {
	// ID is unique in the environment. Replicas of a service use ServiceJobID.
	ID string `cbor:"1,keyasint" json:"id"`
	// Revision increases when the definition of a service changes; batch jobs use 0.
	Revision int64 `cbor:"2,keyasint,omitempty" json:"revision,omitempty"`
	// Team is charged for the tasks.
	Team string `cbor:"3,keyasint" json:"team"`
	// Class groups jobs with the same behaviour, for learning and for sharing rules.
	Class string `cbor:"4,keyasint" json:"class"`
	// Service is the service that the tasks are replicas of, empty for batch.
	Service string `cbor:"5,keyasint,omitempty" json:"service,omitempty"`
	// Priority decides the order of placement.
	Priority Priority `cbor:"6,keyasint" json:"priority"`
	// Tasks is the number of tasks, with indexes 0 to Tasks-1.
	Tasks int `cbor:"7,keyasint" json:"tasks"`
	// Size is what one task reserves.
	Size resource.Vector `cbor:"8,keyasint" json:"size"`
	// RunSeconds is the declared run time of one task, 0 if unknown.
	RunSeconds int64 `cbor:"9,keyasint,omitempty" json:"runSeconds,omitempty"`
	// Payload is passed to the worker unchanged.
	Payload string `cbor:"10,keyasint,omitempty" json:"payload,omitempty"`
	// MaxAttempts limits the failed runs of one task; at the limit, the task fails.
	MaxAttempts int `cbor:"11,keyasint,omitempty" json:"maxAttempts,omitempty"`
	// Zones lists the zones in which the job may run; empty allows all.
	Zones []string `cbor:"12,keyasint,omitempty" json:"zones,omitempty"`
}

// ServiceJobID returns the job id under which replicas of a service are placed in each zone.
func ServiceJobID(service string) string { return "service/" + service }

// TaskID identifies one task.
type TaskID struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Index int
}

// Outcome is the result of a run.
type Outcome uint8

// Outcomes of a run.
const (
	OutcomeSucceeded Outcome = 1
	OutcomeFailed    Outcome = 2
	OutcomeCancelled Outcome = 3
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case OutcomeSucceeded:
		return "succeeded"
	case OutcomeFailed:
		return "failed"
	case OutcomeCancelled:
		return "cancelled"
	}
	return "unknown"
}
