package fake

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"waxwingslip.example/external/worker"
)

// Fleet is a worker.Client for fake workers in the same process. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	workers map[string]*Worker
}

var _ worker.Client = (*Fleet)(nil)

// NewFleet returns an empty fleet.
func NewFleet() *Fleet { return &Fleet{workers: map[string]*Worker{}} }

// Add makes a worker reachable at an address.
func (f *Fleet) Add(address string, w *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[address] = w
}

// At returns the worker at an address, or nil.
func (f *Fleet) At(address string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[address]
}

// History returns the executions of all workers.
func (f *Fleet) History() []Execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []Execution
	for _, w := range f.workers {
		all = append(all, w.History()...)
	}
	return all
}

func (f *Fleet) find(address string) (*Worker, error) {
	if w := f.At(address); w != nil {
		return w, nil
	}
	return nil, errors.Wrapf(ErrUnreachable, "address %s", address)
}

// Start implements worker.Client.
func (f *Fleet) Start(ctx context.Context, address string, req worker.StartRequest) error {
	w, err := f.find(address)
	if err != nil {
		return err
	}
	return w.Start(ctx, req)
}

// Stop implements worker.Client.
func (f *Fleet) Stop(ctx context.Context, address string, req worker.StopRequest) (worker.RunStatus, error) {
	w, err := f.find(address)
	if err != nil {
		return worker.RunStatus{}, err
	}
	return w.Stop(ctx, req)
}

// Checkpoint implements worker.Client.
func (f *Fleet) Checkpoint(ctx context.Context, address string, req worker.StopRequest) (worker.RunStatus, error) {
	w, err := f.find(address)
	if err != nil {
		return worker.RunStatus{}, err
	}
	return w.Checkpoint(ctx, req)
}

// Throttle implements worker.Client.
func (f *Fleet) Throttle(ctx context.Context, address string, req worker.ThrottleRequest) error {
	w, err := f.find(address)
	if err != nil {
		return err
	}
	return w.Throttle(ctx, req)
}

// Renew implements worker.Client.
func (f *Fleet) Renew(ctx context.Context, address string, req worker.RenewRequest) (worker.Report, error) {
	w, err := f.find(address)
	if err != nil {
		return worker.Report{}, err
	}
	return w.Renew(ctx, req)
}

// Ack implements worker.Client.
func (f *Fleet) Ack(ctx context.Context, address string, req worker.AckRequest) error {
	w, err := f.find(address)
	if err != nil {
		return err
	}
	return w.Ack(ctx, req)
}

// Report implements worker.Client.
func (f *Fleet) Report(ctx context.Context, address string) (worker.Report, error) {
	w, err := f.find(address)
	if err != nil {
		return worker.Report{}, err
	}
	return w.Report(ctx)
}
