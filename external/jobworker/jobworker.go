// Package jobworker is the interface to the workers that run the tasks of jobs.
package jobworker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
)

// Info is a worker's entry in the registry.
type Info struct {
	ID string
	// Incarnation changes with each restart under the same id.
	Incarnation int64
	Service     string
	Address     string
	Zone        string
	// VM identifies the machine that hosts the worker; empty if the entry does not name it.
	VM       string
	Rack     string
	Labels   []string
	Size     resource.Vector
	Draining bool
	// LeavesIn is the minimum time until a draining worker leaves.
	LeavesIn time.Duration
}

// Start starts a run of a task.
type Start struct {
	Task       string
	Run        int64
	Payload    string
	Checkpoint string
	Fence      int64
	// DeadlineMs is the end of the worker's lease on the worker's clock.
	DeadlineMs int64
	// Ticket permits the task's step on this worker; empty if none is required.
	Ticket string
}

// LeaseRenewal renews the lease of all runs on a worker and requests a report.
type LeaseRenewal struct {
	Fence      int64
	DeadlineMs int64 // 0 does not renew the lease
	// Ack is the number of the newest end that the caller has stored.
	Ack int64
	// Wait is how long the worker may wait for a run to end before it reports.
	Wait time.Duration
}

// Run is a run on a worker.
type Run struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int
	// Measurement is the tail latency in ms of a serving task over the last half second, or the MilliCPU in use by any
	// other task.
	Measurement int64
}

// End is the end of a run. Ends are numbered without gaps in one incarnation.
type End struct {
	Number     int64
	Task       string
	Run        int64
	Kind       jobs.EndKind
	Checkpoint string
}

// Report lists the runs of a worker and the ends that the caller has not acknowledged.
type Report struct {
	Incarnation int64
	ClockMs     int64
	Running     []Run
	Ended       []End
	// Truncated is true if more ends may follow once those listed are acknowledged.
	Truncated bool
	// CheckpointsDropped counts the checkpoints that were too long, or together too much, to be read. They are empty.
	CheckpointsDropped int
}

// Client sends requests to workers. After an error that wraps none of this package's errors, the request may or may
// not take effect.
type Client interface {
	Start(ctx context.Context, w Info, s Start) (clockMs int64, err error)
	Stop(ctx context.Context, w Info, task string, run, fence int64) error
	RenewLease(ctx context.Context, w Info, r LeaseRenewal) (Report, error)
	// Pace limits a run to a percentage of its speed.
	Pace(ctx context.Context, w Info, task string, run int64, percent int, fence int64) error
}

// Refusals. The request has had and will have no effect.
var (
	ErrFenced           = errors.New("worker has seen a higher fence number")
	ErrStaleRun         = errors.New("worker has seen the same or a higher run number")
	ErrDeadlinePassed   = errors.New("request arrived after its deadline")
	ErrNoCapacity       = errors.New("worker has too little free capacity")
	ErrTicket           = errors.New("worker rejected the ticket")
	ErrInvalid          = errors.New("worker rejected the request as invalid")
	ErrUnhealthy        = errors.New("worker is unhealthy")
	ErrOtherIncarnation = errors.New("another worker instance answered")
	ErrNotConnected     = errors.New("no connection to the worker")
)

// Refused reports whether the error means that the request had no effect.
func Refused(err error) bool {
	for _, e := range []error{ErrFenced, ErrStaleRun, ErrDeadlinePassed, ErrNoCapacity, ErrTicket, ErrInvalid,
		ErrUnhealthy, ErrOtherIncarnation, ErrNotConnected} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
