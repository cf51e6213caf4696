// Package fake runs tasks of jobs in memory for tests and trials: workers with fences, leases, room and faults. It
// notes every broken promise of whoever orders.
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

// Outcome is how a run goes.
type Outcome struct {
	Duration time.Duration
	// Fails ends the run as failed instead of done.
	Fails bool
	// Size is the room that the run takes.
	Size resource.Vector
	// Forever lets the run go on until it is stopped.
	Forever bool
	// Figure is what the worker reports of the run.
	Figure int64
	// Paced lets the figure, the processor time in use, follow the pace.
	Paced bool
	// Tail, if set, is the figure beside so much processor time in use by paced runs.
	Tail func(millicores int64) int64
}

// Fault is what befalls an order.
type Fault struct {
	// LoseAnswer carries the order out and returns an error that leaves this open.
	LoseAnswer bool
	// Late carries the order out after this time, and gives no answer.
	Late time.Duration
	// Silent gives no answer until the caller's context ends; nothing is carried out.
	Silent bool
	// NotConnected fails at once; nothing is carried out.
	NotConnected bool
}

var errLost = errors.New("the answer got lost")

// Fleet is a set of workers. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	workers map[string]*Worker
	outcome func(task jobs.TaskID, run int64) Outcome
	fault   func(worker, method string) Fault
	ticket  func(worker, task, ticket string) bool
	// active counts the runs of each task on workers that are up.
	active     map[string]int
	done       map[string]bool
	starts     map[string]int
	violations []string
}

// NewFleet returns a fleet whose runs go as outcome says.
func NewFleet(outcome func(jobs.TaskID, int64) Outcome) *Fleet {
	return &Fleet{workers: map[string]*Worker{}, outcome: outcome, active: map[string]int{}, done: map[string]bool{}, starts: map[string]int{}}
}

// SetFault sets what befalls orders; nil means none. Method is start, stop, hold or pace.
func (f *Fleet) SetFault(fault func(worker, method string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// SetTickets sets whether a worker accepts a ticket for a task; nil accepts any.
func (f *Fleet) SetTickets(accepts func(worker, task, ticket string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ticket = accepts
}

// Violations returns the promises that were broken.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// Starts returns how many runs of a task began.
func (f *Fleet) Starts(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

// Running returns the number of runs of a task that are at work.
func (f *Fleet) Running(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active[task]
}

// Worker is one worker. Its fields are owned by the fleet's mu.
type Worker struct {
	fleet       *Fleet
	info        jobworker.Info
	incarnation int64
	born        time.Time
	up          bool
	fence       int64
	deadlineMs  int64
	runs        map[string]*active
	settled     map[string]int64 // highest run stopped or ended, by task
	ended       []jobworker.End
	nextEnd     int64
	changed     chan struct{}
	holdMax     time.Duration
	paces       map[string]int
}

type active struct {
	number  int64
	outcome Outcome
	begun   time.Time
	timer   *time.Timer
}

// Add adds a worker that is up.
func (f *Fleet) Add(info jobworker.Info, holdMax time.Duration) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{fleet: f, info: info, holdMax: holdMax}
	w.reset()
	f.workers[info.ID] = w
	return w
}

// reset begins a new incarnation. The caller holds mu.
func (w *Worker) reset() {
	w.incarnation++
	w.born, w.up, w.fence, w.deadlineMs, w.nextEnd = time.Now(), true, 0, 0, 1
	w.runs, w.settled, w.ended, w.paces = map[string]*active{}, map[string]int64{}, nil, map[string]int{}
	w.changed = make(chan struct{})
}

// Crash ends everything on the worker, which no longer answers.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.up = false
	for task, a := range w.runs {
		a.timer.Stop()
		f.active[task]--
	}
	w.runs = map[string]*active{}
}

// Restart starts a crashed worker under the same id.
func (f *Fleet) Restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].reset()
}

// PaceOf returns the pace of a run, 100 unless it was set.
func (f *Fleet) PaceOf(id, task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].pace(task)
}

func (w *Worker) clockMs() int64 { return time.Since(w.born).Milliseconds() + 1 }

// order lets a fault act and carries an order out.
func (f *Fleet) order(ctx context.Context, id, method string, do func(w *Worker) error) error {
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
			return errLost
		}
		w.lapse()
		return do(w)
	}
	switch {
	case fault.Silent:
		<-ctx.Done()
		return ctx.Err()
	case fault.NotConnected || !up:
		return jobworker.ErrNotConnected
	case fault.Late > 0:
		time.AfterFunc(fault.Late, func() { _ = run() }) // nobody waits for the answer
		<-ctx.Done()
		return ctx.Err()
	}
	err := run()
	if fault.LoseAnswer {
		return errLost
	}
	return err
}

// lapse kills everything when the lease has ended. The caller holds mu.
func (w *Worker) lapse() {
	if w.clockMs() <= w.deadlineMs {
		return
	}
	for task := range w.runs {
		w.end(task, jobs.EndLapsed)
	}
}

func (w *Worker) checkFence(fence int64) error {
	if fence < w.fence {
		return jobworker.ErrFenced
	}
	w.fence = fence
	return nil
}

func (w *Worker) extend(deadlineMs int64) {
	w.deadlineMs = max(w.deadlineMs, min(deadlineMs, w.clockMs()+w.holdMax.Milliseconds()))
	time.AfterFunc(time.Duration(w.deadlineMs-w.clockMs()+1)*time.Millisecond, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.lapse()
	})
}

// end lists the end of a run. The caller holds mu.
func (w *Worker) end(task string, kind jobs.EndKind) {
	a := w.runs[task]
	if a == nil {
		return
	}
	a.timer.Stop()
	delete(w.runs, task)
	w.fleet.active[task]--
	w.settled[task] = max(w.settled[task], a.number)
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
