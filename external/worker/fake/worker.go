// Package fake is an in-memory worker that simulates its tasks and can be made to fail.
//
// A fake worker uses no timers: at each call it first catches up with the time that passed, so that runs end
// and leases lapse at the exact time on the worker's clock.
package fake

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/worker"
)

// Names of the operations for fault.Setting.Operations.
const (
	OpStart      = "start"
	OpStop       = "stop"
	OpCheckpoint = "checkpoint"
	OpThrottle   = "throttle"
	OpRenew      = "renew"
	OpAck        = "ack"
	OpReport     = "report"
)

// maxStallPermille keeps a stalled run progressing.
const maxStallPermille = 950

// ErrUnreachable means that the worker is killed or its address is unknown.
const ErrUnreachable fault.Error = "worker is unreachable"

// Endpoints provides the endpoints of service replicas. Its methods are called with the worker locked: they
// must not call the worker and must not wait for requests in flight.
type Endpoints interface {
	// Open starts the endpoint of a replica and returns its IP:port address.
	Open(key worker.RunKey, service string, plan Plan) (address string, err error)
	// Close stops the endpoint.
	Close(key worker.RunKey)
}

// Options describes a worker.
type Options struct {
	ID       string
	Capacity resource.Vector
	// Now is the real time; nil means time.Now.
	Now func() time.Time
	// ClockStartMs is what the worker's own clock shows at the creation of the worker.
	ClockStartMs int64
	// ClockRate is the speed of the worker's own clock; 0 means 1.
	ClockRate float64
	// UsageLagMs is how much later than the truth reported usage, stalls and throttling effects are.
	UsageLagMs int64
	// Endpoints provides endpoints; nil gives replicas an address that nothing listens on.
	Endpoints Endpoints
}

// Worker is one fake worker. It is safe for concurrent use.
type Worker struct {
	// Faults makes commands and queries misbehave.
	Faults fault.Switch

	opts Options

	mu     sync.Mutex
	origin time.Time // real time at which the worker's clock showed originMs
	// originMs and rate define the worker's clock together with origin.
	originMs int64
	rate     float64
	lastMs   int64 // worker's time up to which the runs are simulated
	// boots counts the starts of the worker and is part of its incarnation.
	boots       int
	incarnation string
	epoch       int64
	leaseMs     int64
	runs        map[worker.RunKey]*run
	history     []Execution

	failRuns, leaving, killed bool
	frozen                    bool
	frozenMs                  int64
	waiting                   []waitingCall // calls that arrived while frozen, in order
}

// New returns a running worker.
func New(opts Options) *Worker {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.ClockRate == 0 {
		opts.ClockRate = 1
	}
	w := &Worker{opts: opts, rate: opts.ClockRate}
	w.boot(opts.ClockStartMs)
	return w
}

// boot starts the worker without any memory. The time in the incarnation tells processes apart that host a
// worker with the same id one after the other. The caller holds mu, except in New.
func (w *Worker) boot(clockMs int64) {
	w.boots++
	w.origin, w.originMs, w.lastMs = w.opts.Now(), clockMs, clockMs
	w.incarnation = fmt.Sprintf("%x-%d", w.origin.UnixNano(), w.boots)
	w.epoch, w.leaseMs, w.runs = 0, 0, map[worker.RunKey]*run{}
}

// ID returns the worker's id.
func (w *Worker) ID() string { return w.opts.ID }

// Capacity returns what the worker offers.
func (w *Worker) Capacity() resource.Vector { return w.opts.Capacity }

// NowMs returns the worker's own time.
func (w *Worker) NowMs() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nowMs()
}

// SetClockRate changes the speed of the worker's own clock from now on.
func (w *Worker) SetClockRate(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	nowMs := w.nowMs()
	w.catchUp()
	w.origin, w.originMs, w.rate = w.opts.Now(), nowMs, rate
}

func (w *Worker) nowMs() int64 {
	return w.originMs + int64(float64(w.opts.Now().Sub(w.origin))/float64(time.Millisecond)*w.rate)
}

// realTime converts the worker's time to real time.
func (w *Worker) realTime(ms int64) time.Time {
	return w.origin.Add(time.Duration(float64(ms-w.originMs) / w.rate * float64(time.Millisecond)))
}

// run is one run that has not been acknowledged.
type run struct {
	req    worker.StartRequest
	plan   Plan
	status worker.RunStatus
	// startMs is the worker's time of the start.
	startMs int64
	// progressMs is the work done, the part before the checkpoint included, in milliseconds of full speed.
	progressMs float64
	// throttledMs and beforePercent serve to show the effect of a throttle with a lag.
	throttledMs   int64
	beforePercent int64
	execution     int // index in Worker.history, -1 for a run that was stopped before it started
}

func (r *run) running() bool { return r.status.State == worker.RunRunning }

// speed is the part of full speed at which the run progresses.
func (r *run) speed() float64 { return share(r.status.ThrottlePercent) }

func share(percent int64) float64 {
	if percent == 0 {
		return 1
	}
	return float64(percent) / 100
}

// remainingMs is the worker's time until the run ends by itself; ok is false if it never does.
func (r *run) remainingMs() (ms float64, ok bool) {
	if r.plan.Run == 0 || r.speed() == 0 {
		return 0, false
	}
	return max(float64(r.plan.Run.Milliseconds())-r.progressMs, 0) / r.speed(), true
}

// catchUp simulates the time since the last call. A lapsed lease stops every run at the time at which it
// lapsed. The caller holds mu.
func (w *Worker) catchUp() {
	if w.frozen || w.killed {
		return
	}
	nowMs := w.nowMs()
	limit := nowMs
	lapsed := nowMs >= w.leaseMs
	if lapsed {
		limit = max(w.lastMs, w.leaseMs)
	}
	for _, r := range w.runs {
		if r.running() {
			w.progress(r, limit)
		}
	}
	if lapsed {
		w.stopAll("lease lapsed", limit)
	}
	w.lastMs = nowMs
}

func (w *Worker) progress(r *run, untilMs int64) {
	elapsed := float64(untilMs - w.lastMs)
	if elapsed < 0 {
		return
	}
	if remaining, ok := r.remainingMs(); ok && remaining <= elapsed {
		r.progressMs = float64(r.plan.Run.Milliseconds())
		w.finish(r, w.lastMs+int64(remaining))
		return
	}
	r.progressMs += elapsed * r.speed()
	r.status.RunMs = untilMs - r.startMs
}

func (w *Worker) finish(r *run, atMs int64) {
	r.status.State, r.status.Outcome = worker.RunEnded, record.OutcomeSucceeded
	if draw(r.req.RunKey) < r.plan.Fail {
		r.status.Outcome, r.status.Reason = record.OutcomeFailed, "simulated failure"
	}
	w.halt(r, atMs)
}

func (w *Worker) stopAll(reason string, atMs int64) {
	for _, r := range w.runs {
		if r.running() {
			r.status.State, r.status.Reason = worker.RunStopped, reason
			w.halt(r, atMs)
		}
	}
}

// halt closes the books of a run that no longer executes.
func (w *Worker) halt(r *run, atMs int64) {
	r.status.RunMs = atMs - r.startMs
	w.history[r.execution].End = w.realTime(atMs)
	if r.req.Service != "" && w.opts.Endpoints != nil {
		w.opts.Endpoints.Close(r.req.RunKey)
	}
}

// draw returns a number in [0, 1) that depends on the run key only, so that trials repeat.
func draw(key worker.RunKey) float64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", key.Job, key.Index, key.Epoch)
	// FNV mixes the last bytes into the low bits only; the multiplication spreads them.
	return float64(h.Sum64()*0x9e3779b97f4a7c15>>11) / (1 << 53)
}

type waitingCall struct {
	run  func()
	fail func()
}

type answer[T any] struct {
	value T
	err   error
}

// call executes f with the worker's time caught up and the faults applied. A call to a frozen worker waits
// and is executed when the worker wakes up, even if its caller has given up meanwhile.
func call[T any](ctx context.Context, w *Worker, op string, f func() (T, error)) (T, error) {
	var none T
	if err := w.Faults.Before(ctx, op, worker.ErrRefused); err != nil {
		return none, errors.Wrapf(err, "%s on worker %s", op, w.opts.ID)
	}
	done := make(chan answer[T], 1)
	w.submit(waitingCall{
		run: func() {
			w.catchUp()
			v, err := f()
			done <- answer[T]{v, err}
		},
		fail: func() { done <- answer[T]{err: ErrUnreachable} },
	})
	select {
	case a := <-done:
		if err := w.Faults.After(ctx, op); err != nil {
			return none, errors.Wrapf(err, "%s on worker %s", op, w.opts.ID)
		}
		return a.value, errors.Wrapf(a.err, "%s on worker %s", op, w.opts.ID)
	case <-ctx.Done():
		return none, errors.Wrapf(ctx.Err(), "%s on worker %s", op, w.opts.ID)
	}
}

func (w *Worker) submit(c waitingCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.killed:
		c.fail()
	case w.frozen:
		w.waiting = append(w.waiting, c)
	default:
		c.run()
	}
}
