// Package worker defines the interface to the workers that the platform provides, with its HTTP client and handler.
//
// All times with the suffix Ms and no other note are milliseconds on the worker's own monotonic clock, which
// starts at an arbitrary value and runs within 1% of real time.
package worker

import (
	"context"

	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// Errors after which a command certainly had no effect. After any other error its outcome is unknown.
var (
	// ErrFenced means that the worker has seen a higher owner epoch.
	ErrFenced = errors.New("owner epoch is lower than the worker's")
	// ErrTooLate means that the command arrived after its NotAfterMs.
	ErrTooLate = errors.New("command arrived after its deadline")
	// ErrRefused means that the worker rejected the command and changed nothing.
	ErrRefused = errors.New("worker refused the command")
)

// Fence authorises a command. A worker keeps the highest OwnerEpoch and refuses lower ones. It also
// refuses a command that arrives after NotAfterMs or names another Incarnation.
type Fence struct {
	// Incarnation is the one that the worker reported. A restart resets the worker's clock and its highest
	// OwnerEpoch, so commands for an earlier incarnation must not take effect.
	Incarnation string `cbor:"1,keyasint" json:"incarnation"`
	OwnerEpoch  int64  `cbor:"2,keyasint" json:"ownerEpoch"`
	NotAfterMs  int64  `cbor:"3,keyasint" json:"notAfterMs"`
}

// RunState is the state of a run on a worker.
type RunState string

// States of a run. A worker keeps an ended or stopped run until it is acknowledged.
const (
	RunRunning RunState = "running"
	RunEnded   RunState = "ended"
	RunStopped RunState = "stopped"
)

// RunKey identifies one run of a task.
type RunKey struct {
	Job   string `cbor:"4,keyasint" json:"job"`
	Index int    `cbor:"5,keyasint" json:"index"`
	Epoch int64  `cbor:"6,keyasint" json:"epoch"`
}

// RunStatus is the status of a run as reported by its worker. Usage, stalls and throttling effects show with a lag.
type RunStatus struct {
	RunKey
	State   RunState       `cbor:"10,keyasint" json:"state"`
	Outcome record.Outcome `cbor:"11,keyasint,omitempty" json:"outcome,omitempty"`
	Reason  string         `cbor:"12,keyasint,omitempty" json:"reason,omitempty"`
	// Checkpoint names the newest checkpoint, empty if there is none.
	Checkpoint string `cbor:"13,keyasint,omitempty" json:"checkpoint,omitempty"`
	// Address is the endpoint's IP:port for a replica of a service.
	Address string `cbor:"14,keyasint,omitempty" json:"address,omitempty"`
	// Usage is the mean usage over the last reporting interval.
	Usage resource.Vector `cbor:"15,keyasint" json:"usage"`
	// StallPermille is the share of time that the run waited for a contended resource, in thousandths.
	StallPermille int64 `cbor:"16,keyasint,omitempty" json:"stallPermille,omitempty"`
	// ThrottlePercent is the percentage of its processor share that the run may use; 0 means not throttled.
	ThrottlePercent int64 `cbor:"17,keyasint,omitempty" json:"throttlePercent,omitempty"`
	// RunMs is the time that the run has executed, in milliseconds.
	RunMs int64 `cbor:"18,keyasint" json:"runMs"`
}

// Report is the state of a worker.
type Report struct {
	Worker string `cbor:"10,keyasint" json:"worker"`
	// Incarnation changes at every start of the worker.
	Incarnation  string          `cbor:"11,keyasint" json:"incarnation"`
	NowMs        int64           `cbor:"12,keyasint" json:"nowMs"`
	OwnerEpoch   int64           `cbor:"13,keyasint" json:"ownerEpoch"`
	LeaseUntilMs int64           `cbor:"14,keyasint" json:"leaseUntilMs"`
	Capacity     resource.Vector `cbor:"15,keyasint" json:"capacity"`
	Leaving      bool            `cbor:"16,keyasint,omitempty" json:"leaving,omitempty"`
	Runs         []RunStatus     `cbor:"17,keyasint" json:"runs"`
}

// StartRequest starts a run. It is idempotent for a RunKey, and refused while no lease is in force or if the
// RunKey was stopped.
type StartRequest struct {
	Fence
	RunKey
	Class      string          `cbor:"10,keyasint" json:"class"`
	Service    string          `cbor:"11,keyasint,omitempty" json:"service,omitempty"`
	Size       resource.Vector `cbor:"12,keyasint" json:"size"`
	Payload    string          `cbor:"13,keyasint,omitempty" json:"payload,omitempty"`
	Checkpoint string          `cbor:"14,keyasint,omitempty" json:"checkpoint,omitempty"`
}

// StopRequest stops a run, after a checkpoint if Checkpoint is set and the task supports it. An unknown
// run is recorded as stopped, so that a late Start of it is refused.
type StopRequest struct {
	Fence
	RunKey
	Checkpoint bool `cbor:"10,keyasint,omitempty" json:"checkpoint,omitempty"`
}

// ThrottleRequest limits a run to Percent of its processor share; 100 removes the limit.
type ThrottleRequest struct {
	Fence
	RunKey
	Percent int64 `cbor:"10,keyasint" json:"percent"`
}

// RenewRequest sets the end of the worker lease, which may be earlier than before. When the lease expires, the worker
// stops every run.
type RenewRequest struct {
	Fence
	LeaseUntilMs int64 `cbor:"10,keyasint" json:"leaseUntilMs"`
}

// AckRequest acknowledges ended and stopped runs, which the worker then removes.
type AckRequest struct {
	Fence
	Runs []RunKey `cbor:"10,keyasint" json:"runs"`
}

// Client sends commands to a worker at an IP:port address and queries it.
type Client interface {
	// Start starts a run.
	Start(ctx context.Context, address string, req StartRequest) error
	// Stop stops a run and returns its status after the stop.
	Stop(ctx context.Context, address string, req StopRequest) (RunStatus, error)
	// Checkpoint writes a checkpoint of a running task and returns the run's status.
	Checkpoint(ctx context.Context, address string, req StopRequest) (RunStatus, error)
	// Throttle limits the processor share of a run.
	Throttle(ctx context.Context, address string, req ThrottleRequest) error
	// Renew sets the end of the lease and returns a report.
	Renew(ctx context.Context, address string, req RenewRequest) (Report, error)
	// Ack acknowledges ended and stopped runs, which the worker then removes.
	Ack(ctx context.Context, address string, req AckRequest) error
	// Report returns the state of the worker and changes nothing, its owner epoch included.
	Report(ctx context.Context, address string) (Report, error)
}
