// Package fake implements an in-memory worker that simulates its tasks and can be made to fail.
//
// A fake worker uses no timers: each call first simulates the time since the previous one, so that runs end
// and leases expire at the exact time on the worker's clock.
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

// maxStallPermille limits stalls, so that every run keeps progressing.
const maxStallPermille = 950

// ErrUnreachable means that the worker is killed or its address is unknown.
const ErrUnreachable fault.Error = "worker is unreachable"

// Endpoints runs the endpoints of service replicas. Its methods are called with the worker locked: they
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
	// Now returns the real time; nil means time.Now.
	Now func() time.Time
	// ClockStartMs is the time on the worker's own clock at the creation of the worker.
	ClockStartMs int64
	// ClockRate is the rate of the worker's own clock relative to real time; 0 means 1.
	ClockRate float64
	// UsageLagMs is the delay with which usage, stalls and throttling effects show in reports.
	UsageLagMs int64
	// Endpoints runs the endpoints; nil gives replicas an address that nothing listens on.
	Endpoints Endpoints
}

// Worker is one fake worker. It is safe for concurrent use.
type Worker struct {
	// Faults injects faults into commands and queries.
	Faults fault.Switch

	opts Options

	mu     sync.Mutex
	origin time.Time // real time at which the worker's clock showed originMs
	// originMs and rate define the worker's clock together with origin.
	originMs    int64
	rate        float64
	simulatedMs int64 // worker's time up to which the runs have been simulated
	// bootCount is the number of starts of the worker and part of its incarnation.
	bootCount    int
	incarnation  string
	epoch        int64
	leaseUntilMs int64
	runs         map[worker.RunKey]*run
	history      []Execution

	failRuns, leaving, killed bool
	frozen                    bool
	frozenSinceMs             int64
	pendingCalls              []pendingCall // calls that arrived while frozen, in order
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

// boot starts the worker with empty state. The time in the incarnation distinguishes successive processes that
// host a worker with the same id. The caller holds mu, except in New.
func (w *Worker) boot(clockMs int64) {
	w.bootCount++
	w.origin, w.originMs, w.simulatedMs = w.opts.Now(), clockMs, clockMs
	w.incarnation = fmt.Sprintf("%x-%d", w.origin.UnixNano(), w.bootCount)
	w.epoch, w.leaseUntilMs, w.runs = 0, 0, map[worker.RunKey]*run{}
}

// ID returns the worker's id.
func (w *Worker) ID() string { return w.opts.ID }

// Capacity returns the worker's capacity.
func (w *Worker) Capacity() resource.Vector { return w.opts.Capacity }

// NowMs returns the worker's own time.
func (w *Worker) NowMs() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nowMs()
}

// SetClockRate changes the rate of the worker's own clock from now on.
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

// run is a run that has not been acknowledged.
type run struct {
	req    worker.StartRequest
	plan   Plan
	status worker.RunStatus
	// startMs is the start of the run in the worker's time.
	startMs int64
	// progressMs is the work done, including that before the checkpoint, in milliseconds at the full processor share.
	progressMs float64
	// throttleSetMs is the time of the latest throttle and previousPercent the throttle before it; they serve to show
	// the effect of a throttle with a lag.
	throttleSetMs   int64
	previousPercent int64
	historyIndex    int // index in Worker.history, -1 for a run that was stopped before it started
}

func (r *run) running() bool { return r.status.State == worker.RunRunning }

// speed returns the speed of the run as a fraction of that at the full processor share.
func (r *run) speed() float64 { return throttleShare(r.status.ThrottlePercent) }

func throttleShare(percent int64) float64 {
	if percent == 0 {
		return 1
	}
	return float64(percent) / 100
}

// remainingMs returns the worker's time until the run ends without being stopped; ok is false if it never does.
func (r *run) remainingMs() (ms float64, ok bool) {
	if r.plan.Run == 0 || r.speed() == 0 {
		return 0, false
	}
	return max(float64(r.plan.Run.Milliseconds())-r.progressMs, 0) / r.speed(), true
}

// catchUp simulates the time since the last call. An expired lease stops every run at the time of its expiry.
// The caller holds mu.
func (w *Worker) catchUp() {
	if w.frozen || w.killed {
		return
	}
	nowMs := w.nowMs()
	untilMs := nowMs
	expired := nowMs >= w.leaseUntilMs
	if expired {
		untilMs = max(w.simulatedMs, w.leaseUntilMs)
	}
	for _, r := range w.runs {
		if r.running() {
			w.advanceRun(r, untilMs)
		}
	}
	if expired {
		w.stopRuns("lease lapsed", untilMs)
	}
	w.simulatedMs = nowMs
}

func (w *Worker) advanceRun(r *run, untilMs int64) {
	elapsed := float64(untilMs - w.simulatedMs)
	if elapsed < 0 {
		return
	}
	if remaining, ok := r.remainingMs(); ok && remaining <= elapsed {
		r.progressMs = float64(r.plan.Run.Milliseconds())
		w.completeRun(r, w.simulatedMs+int64(remaining))
		return
	}
	r.progressMs += elapsed * r.speed()
	r.status.RunMs = untilMs - r.startMs
}

func (w *Worker) completeRun(r *run, atMs int64) {
	r.status.State, r.status.Outcome = worker.RunEnded, record.OutcomeSucceeded
	if hashFraction(r.req.RunKey) < r.plan.Fail {
		r.status.Outcome, r.status.Reason = record.OutcomeFailed, "simulated failure"
	}
	w.recordEnd(r, atMs)
}

func (w *Worker) stopRuns(reason string, atMs int64) {
	for _, r := range w.runs {
		if r.running() {
			r.status.State, r.status.Reason = worker.RunStopped, reason
			w.recordEnd(r, atMs)
		}
	}
}

// recordEnd records the end of a run and closes its endpoint.
func (w *Worker) recordEnd(r *run, atMs int64) {
	r.status.RunMs = atMs - r.startMs
	w.history[r.historyIndex].End = w.realTime(atMs)
	if r.req.Service != "" && w.opts.Endpoints != nil {
		w.opts.Endpoints.Close(r.req.RunKey)
	}
}

// hashFraction returns a number in [0, 1) that depends only on the run key, so that simulations are reproducible.
func hashFraction(key worker.RunKey) float64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", key.Job, key.Index, key.Epoch)
	// FNV mixes the last bytes only into the low bits; the multiplication spreads them.
	return float64(h.Sum64()*0x9e3779b97f4a7c15>>11) / (1 << 53)
}

type pendingCall struct {
	run  func()
	fail func()
}

type callResult[T any] struct {
	value T
	err   error
}

// call applies the faults and executes f after catchUp. A call to a frozen worker waits and is executed when the
// worker is thawed, even if the context of its caller has ended.
func call[T any](ctx context.Context, w *Worker, op string, f func() (T, error)) (T, error) {
	var zero T
	if err := w.Faults.Before(ctx, op, worker.ErrRefused); err != nil {
		return zero, errors.Wrapf(err, "%s on worker %s", op, w.opts.ID)
	}
	done := make(chan callResult[T], 1)
	w.runOrQueue(pendingCall{
		run: func() {
			w.catchUp()
			v, err := f()
			done <- callResult[T]{v, err}
		},
		fail: func() { done <- callResult[T]{err: ErrUnreachable} },
	})
	select {
	case r := <-done:
		if err := w.Faults.After(ctx, op); err != nil {
			return zero, errors.Wrapf(err, "%s on worker %s", op, w.opts.ID)
		}
		return r.value, errors.Wrapf(r.err, "%s on worker %s", op, w.opts.ID)
	case <-ctx.Done():
		return zero, errors.Wrapf(ctx.Err(), "%s on worker %s", op, w.opts.ID)
	}
}

func (w *Worker) runOrQueue(c pendingCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.killed:
		c.fail()
	case w.frozen:
		w.pendingCalls = append(w.pendingCalls, c)
	default:
		c.run()
	}
}
