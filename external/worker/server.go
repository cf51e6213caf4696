package worker

import "context"

// Server is the worker's side of the interface: the methods of Client without the address.
type Server interface {
	// Start starts a run.
	Start(ctx context.Context, req StartRequest) error
	// Stop stops a run and returns its status after the stop.
	Stop(ctx context.Context, req StopRequest) (RunStatus, error)
	// Checkpoint writes a checkpoint of a running task and returns the run's status.
	Checkpoint(ctx context.Context, req StopRequest) (RunStatus, error)
	// Throttle limits the processor share of a run.
	Throttle(ctx context.Context, req ThrottleRequest) error
	// Renew sets the end of the lease and returns a report.
	Renew(ctx context.Context, req RenewRequest) (Report, error)
	// Ack acknowledges ended and stopped runs, which the worker then removes.
	Ack(ctx context.Context, req AckRequest) error
	// Report returns the state of the worker and changes nothing.
	Report(ctx context.Context) (Report, error)
}
