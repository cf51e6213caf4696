// Package fake simulates workers in memory for tests and trials, with fences, leases, capacity and faults. It records
// violations of the rules that callers must follow.
package fake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/jobworker"
)

// Outcome describes the course of a run.
type Outcome struct {
	Duration time.Duration
	// Fails ends the run as failed instead of done.
	Fails bool
	// Size is the capacity that the run reserves.
	Size resource.Vector
	// UntilStopped makes the run last until it is stopped.
	UntilStopped bool
	// Measurement is the measurement that the worker reports for the run.
	Measurement int64
	// Paced scales Measurement, the processor time in use, with the pace.
	Paced bool
	// CheckpointEvery is the time between the checkpoints that the worker reports for the run; 0 for none.
	CheckpointEvery time.Duration
	// CheckpointBytes is the least length of these checkpoints.
	CheckpointBytes int
	// StallsAfter is the time after which the run makes no more progress and does not end; 0 for never.
	StallsAfter time.Duration
	// Tail, if set, returns the tail latency to report while paced runs use that much processor time.
	Tail func(millicores int64) int64
}

// Fault is a fault injected into a request.
type Fault struct {
	// LoseResponse executes the request and returns an error that leaves open whether it took effect.
	LoseResponse bool
	// Late executes the request after this time, and does not respond.
	Late time.Duration
	// SlowResponse executes the request at once and responds after this time.
	SlowResponse time.Duration
	// Hang does not execute the request and does not respond until the caller's context ends.
	Hang bool
	// NotConnected fails at once without executing the request.
	NotConnected bool
}

var errResponseLost = errors.New("response was lost")

// Fleet is a set of workers. It is safe for concurrent use.
type Fleet struct {
	mu            sync.Mutex
	workers       map[string]*Worker
	outcome       func(task jobs.TaskID, run int64) Outcome
	fault         func(worker, method string) Fault
	acceptsTicket func(worker, task, ticket string) bool
	// active counts the runs of each task on workers that are up.
	active map[string]int
	done   map[string]bool
	starts map[string]int
	// resumedFrom holds the checkpoints of the newest starts.
	resumedFrom map[string]string
	violations  []string
	// incarnations counts the starts of all workers.
	incarnations int64
}

// NewFleet returns a fleet without workers. The outcome function determines the course of each run.
func NewFleet(outcome func(jobs.TaskID, int64) Outcome) *Fleet {
	return &Fleet{workers: map[string]*Worker{}, outcome: outcome, active: map[string]int{}, done: map[string]bool{}, starts: map[string]int{},
		resumedFrom: map[string]string{}}
}

// SetFault sets the function that returns the fault of each request; nil means none. Method is start, stop, hold or
// pace.
func (f *Fleet) SetFault(fault func(worker, method string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// SetTickets sets the function that decides whether a worker accepts a ticket for a task; nil accepts any.
func (f *Fleet) SetTickets(accepts func(worker, task, ticket string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acceptsTicket = accepts
}

// Violations returns the recorded violations.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// Starts returns the number of runs of a task that were started.
func (f *Fleet) Starts(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

// ResumedFrom returns the checkpoint that the newest start of a task carried.
func (f *Fleet) ResumedFrom(task string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resumedFrom[task]
}

// Running returns the number of active runs of a task.
func (f *Fleet) Running(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active[task]
}

// Runs returns the number of active runs on a worker.
func (f *Fleet) Runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.workers[id].runs)
}

// Worker is one worker. Its fields are guarded by the fleet's mu.
type Worker struct {
	fleet        *Fleet
	info         jobworker.Info
	incarnation  int64
	startedAt    time.Time
	up           bool
	fence        int64
	deadlineMs   int64
	runs         map[string]*activeRun
	lastEndedRun map[string]int64 // highest run number stopped or ended, by task
	ended        []jobworker.End
	nextEnd      int64
	changed      chan struct{}
	maxLease     time.Duration
	paces        map[string]int
}

type activeRun struct {
	number    int64
	outcome   Outcome
	startedAt time.Time
	timer     *time.Timer
}

// Add adds a running worker.
func (f *Fleet) Add(info jobworker.Info, maxLease time.Duration) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{fleet: f, info: info, maxLease: maxLease}
	w.reset()
	f.workers[info.ID] = w
	return w
}

// reset starts a new incarnation. The caller holds mu.
func (w *Worker) reset() {
	// Incarnations rise in the order of the starts, like the times by which real workers tell theirs apart.
	w.fleet.incarnations++
	w.incarnation = w.fleet.incarnations
	w.startedAt, w.up, w.fence, w.deadlineMs, w.nextEnd = time.Now(), true, 0, 0, 1
	w.runs, w.lastEndedRun, w.ended, w.paces = map[string]*activeRun{}, map[string]int64{}, nil, map[string]int{}
	w.changed = make(chan struct{})
}

// Crash ends all runs of the worker without reports; it no longer responds.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.up = false
	for task, a := range w.runs {
		a.timer.Stop()
		f.active[task]--
	}
	w.runs = map[string]*activeRun{}
}

// Restart starts a crashed worker under the same id.
func (f *Fleet) Restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].reset()
}

// Incarnation returns the incarnation of a worker.
func (f *Fleet) Incarnation(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].incarnation
}

// PaceOf returns the pace of a run, 100 unless it was set.
func (f *Fleet) PaceOf(id, task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].pace(task)
}

func (w *Worker) clockMs() int64 { return time.Since(w.startedAt).Milliseconds() + 1 }

// call applies the fault for a request and executes the request.
func (f *Fleet) call(ctx context.Context, id, method string, handle func(w *Worker) error) error {
	f.mu.Lock()
	fault := Fault{}
	if f.fault != nil {
		fault = f.fault(id, method)
	}
	w := f.workers[id]
	up := w != nil && w.up
	f.mu.Unlock()
	run := func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w == nil || !w.up {
			return errResponseLost
		}
		w.expireLease()
		return handle(w)
	}
	switch {
	case fault.Hang:
		<-ctx.Done()
		return ctx.Err()
	case fault.NotConnected || !up:
		return jobworker.ErrNotConnected
	case fault.Late > 0:
		time.AfterFunc(fault.Late, func() { _ = run() }) // the caller does not get the result
		<-ctx.Done()
		return ctx.Err()
	}
	err := run()
	if fault.SlowResponse > 0 {
		select {
		case <-time.After(fault.SlowResponse):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if fault.LoseResponse {
		return errResponseLost
	}
	return err
}

// expireLease ends all runs if the lease has expired. The caller holds mu.
func (w *Worker) expireLease() {
	if w.clockMs() <= w.deadlineMs {
		return
	}
	for task := range w.runs {
		w.endRun(task, jobs.EndLeaseExpired)
	}
}

func (w *Worker) checkFence(fence int64) error {
	if fence < w.fence {
		return jobworker.ErrFenced
	}
	w.fence = fence
	return nil
}

func (w *Worker) extendLease(deadlineMs int64) {
	w.deadlineMs = max(w.deadlineMs, min(deadlineMs, w.clockMs()+w.maxLease.Milliseconds()))
	time.AfterFunc(time.Duration(w.deadlineMs-w.clockMs()+1)*time.Millisecond, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.expireLease()
	})
}

// endRun ends a run and queues its end for the next report. The caller holds mu.
func (w *Worker) endRun(task string, kind jobs.EndKind) {
	a := w.runs[task]
	if a == nil {
		return
	}
	a.timer.Stop()
	delete(w.runs, task)
	w.fleet.active[task]--
	w.lastEndedRun[task] = max(w.lastEndedRun[task], a.number)
	w.ended = append(w.ended, jobworker.End{Number: w.nextEnd, Task: task, Run: a.number, Kind: kind})
	w.nextEnd++
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) reserved() resource.Vector {
	var sum resource.Vector
	for _, a := range w.runs {
		sum = sum.Add(a.outcome.Size)
	}
	return sum
}

// DeadlineMs returns the end of a worker's lease on its clock, 0 if it has none.
func (f *Fleet) DeadlineMs(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].deadlineMs
}
