// Package jobworker is the interface to the VMs that run the tasks of jobs.
package jobworker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
)

// Info is what a worker says of itself in the registry.
type Info struct {
	ID string
	// Incarnation tells restarts under one id apart.
	Incarnation int64
	Service     string
	Address     string
	Zone        string
	// VM identifies the machine below the worker; empty if the worker does not say.
	VM       string
	Rack     string
	Labels   []string
	Size     resource.Vector
	Draining bool
	// LeavesIn is the least time left of a draining worker.
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
	// Ticket permits the task's step on this worker; empty where none is needed.
	Ticket string
}

// Hold renews the lease of everything on a worker and asks for a report.
type Hold struct {
	Fence      int64
	DeadlineMs int64 // 0 renews nothing
	// Ack is the number of the newest end that the caller has stored.
	Ack int64
	// Wait is how long the worker may wait for an end before it reports.
	Wait time.Duration
}

// Run is a run on a worker.
type Run struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int
	// Figure is the latency tail in ms of a serving task over the last half second, and the MilliCPU in use of any
	// other task.
	Figure int64
}

// End is the end of a run. Ends are numbered without gaps in one incarnation.
type End struct {
	Number     int64
	Task       string
	Run        int64
	Kind       jobs.EndKind
	Checkpoint string
}

// Report is what is on a worker.
type Report struct {
	Incarnation int64
	ClockMs     int64
	Running     []Run
	Ended       []End
	// Truncated tells that more ends follow after those listed are acknowledged.
	Truncated bool
}

// Client sends orders to workers. An error that wraps none of this package's leaves open whether the order took
// or takes effect.
type Client interface {
	Start(ctx context.Context, w Info, s Start) (clockMs int64, err error)
	Stop(ctx context.Context, w Info, task string, run, fence int64) error
	Hold(ctx context.Context, w Info, h Hold) (Report, error)
	// Pace limits a run to a percentage of its speed.
	Pace(ctx context.Context, w Info, task string, run int64, percent int, fence int64) error
}

// Refusals. The order has had and will have no effect.
var (
	ErrFenced           = errors.New("worker knows a higher fence number")
	ErrOldRun           = errors.New("worker knows a run that is not lower")
	ErrLate             = errors.New("order came after its deadline")
	ErrNoRoom           = errors.New("worker has no room")
	ErrTicket           = errors.New("worker does not accept the ticket")
	ErrInvalid          = errors.New("worker calls the order invalid")
	ErrUnhealthy        = errors.New("worker is unhealthy")
	ErrOtherIncarnation = errors.New("worker is another incarnation")
	ErrNotConnected     = errors.New("no connection to the worker")
)

// Refused reports whether the error says that the order had no effect.
func Refused(err error) bool {
	for _, e := range []error{ErrFenced, ErrOldRun, ErrLate, ErrNoRoom, ErrTicket, ErrInvalid, ErrUnhealthy, ErrOtherIncarnation, ErrNotConnected} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
