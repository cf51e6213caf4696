// Package guard throttles and moves batch runs that slow down services on the same VM, quarantines workers on which
// tasks of many jobs fail, and parks jobs whose tasks fail on many workers.
//
// The package does no I/O and reads no clock.
package guard

import (
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/verdict"
)

// ServiceView describes a replica of a service on a worker.
type ServiceView struct {
	Service string
	// LatencyMs is the 99th percentile over the last interval, TargetMs its target.
	LatencyMs, TargetMs float64
	// Requests is the number of requests behind LatencyMs.
	Requests int
	// Cause is the verdict for the replica.
	Cause verdict.Cause
}

// BatchView describes a batch run on a worker.
type BatchView struct {
	Task  record.TaskID
	Epoch int64
	// Load is its processor use as a share of the worker.
	Load float64
	// Effect is the learned slowdown that it causes to the services here at a load of 1.
	Effect float64
	// ThrottlePercent is the limit in force, 0 or 100 for none.
	ThrottlePercent int64
}

// WorkerView describes one worker in one interval.
type WorkerView struct {
	Worker string
	// MeasuredAt is the start of the measured interval.
	MeasuredAt time.Time
	Services   []ServiceView
	Batch      []BatchView
}

// Kind is the type of an Action.
type Kind uint8

// Kinds of actions.
const (
	// Throttle limits the processor share of a batch run to Percent; 100 removes the limit.
	Throttle Kind = 1
	// Move checkpoints and evicts a batch run, so that it is placed elsewhere.
	Move Kind = 2
)

// Action is a change to a batch run that the caller carries out.
type Action struct {
	Kind    Kind
	Worker  string
	Task    record.TaskID
	Epoch   int64
	Percent int64
	// Reason explains the action to operators.
	Reason string
}
