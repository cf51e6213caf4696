package fake

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/worker"
)

var _ worker.Server = (*Worker)(nil)

// checkFence validates the fence of a command and records its epoch. The caller holds mu and has called catchUp.
func (w *Worker) checkFence(f worker.Fence) error {
	if f.Incarnation != w.incarnation {
		return errors.Wrapf(worker.ErrFenced, "incarnation %q, worker has %q", f.Incarnation, w.incarnation)
	}
	if f.OwnerEpoch < w.epoch {
		return errors.Wrapf(worker.ErrFenced, "epoch %d, worker has %d", f.OwnerEpoch, w.epoch)
	}
	if now := w.nowMs(); now > f.NotAfterMs {
		return errors.Wrapf(worker.ErrTooLate, "not after %d ms, worker has %d ms", f.NotAfterMs, now)
	}
	w.epoch = f.OwnerEpoch
	return nil
}

// Start implements worker.Server. It refuses runs that were stopped, and all runs while the worker has no valid
// lease, because nothing would stop them.
func (w *Worker) Start(ctx context.Context, req worker.StartRequest) error {
	_, err := call(ctx, w, OpStart, func() (struct{}, error) { return struct{}{}, w.start(req) })
	return err
}

func (w *Worker) start(req worker.StartRequest) error {
	if err := w.checkFence(req.Fence); err != nil {
		return err
	}
	if r := w.runs[req.RunKey]; r != nil {
		if r.status.State == worker.RunStopped {
			return errors.Wrapf(worker.ErrRefused, "run %v was stopped", req.RunKey)
		}
		return nil
	}
	if err := w.checkStart(req); err != nil {
		return err
	}
	plan, err := ParsePlan(req.Payload, req.Service != "")
	r := &run{req: req, plan: plan, startMs: w.nowMs(), historyIndex: len(w.history)}
	r.status = worker.RunStatus{RunKey: req.RunKey, State: worker.RunRunning, Checkpoint: req.Checkpoint}
	r.progressMs = checkpointProgress(req.Checkpoint)
	r.throttleSetMs = math.MinInt64 / 2
	w.history = append(w.history, Execution{RunKey: req.RunKey, Worker: w.opts.ID, Begin: w.opts.Now()})
	w.runs[req.RunKey] = r
	switch {
	case err != nil:
		w.failRun(r, err.Error())
	case w.failRuns:
		w.failRun(r, "worker fails every run")
	case req.Service != "":
		w.openEndpoint(r)
	}
	return nil
}

func (w *Worker) checkStart(req worker.StartRequest) error {
	if w.nowMs() >= w.leaseUntilMs {
		return errors.Wrap(worker.ErrRefused, "the worker's lease is not valid")
	}
	if w.leaving {
		return errors.Wrap(worker.ErrRefused, "the worker is leaving")
	}
	if !req.Size.Valid() {
		return errors.Wrapf(worker.ErrRefused, "size %s is negative", req.Size)
	}
	if used := w.reservedCapacity().Add(req.Size); !used.Fits(w.opts.Capacity) {
		return errors.Wrapf(worker.ErrRefused, "not enough %s: %s needed, %s offered",
			used.Limiting(w.opts.Capacity), used, w.opts.Capacity)
	}
	return nil
}

func (w *Worker) reservedCapacity() resource.Vector {
	var sum resource.Vector
	for _, r := range w.runs {
		if r.running() {
			sum = sum.Add(r.req.Size)
		}
	}
	return sum
}

func (w *Worker) failRun(r *run, reason string) {
	r.status.State, r.status.Outcome, r.status.Reason = worker.RunEnded, record.OutcomeFailed, reason
	w.recordEnd(r, w.nowMs())
}

func (w *Worker) openEndpoint(r *run) {
	if w.opts.Endpoints == nil {
		// Nothing listens on port 9 (discard) of this loopback network.
		n := len(w.history)
		r.status.Address = fmt.Sprintf("127.9.%d.%d:9", n/250%250, n%250+1)
		return
	}
	address, err := w.opts.Endpoints.Open(r.req.RunKey, r.req.Service, r.plan)
	if err != nil {
		w.failRun(r, err.Error())
		return
	}
	r.status.Address = address
}

// Stop implements worker.Server. A run that has already ended keeps its end state. An unknown run is
// recorded as stopped, so that a Start that arrives later is refused.
func (w *Worker) Stop(ctx context.Context, req worker.StopRequest) (worker.RunStatus, error) {
	return call(ctx, w, OpStop, func() (worker.RunStatus, error) {
		if err := w.checkFence(req.Fence); err != nil {
			return worker.RunStatus{}, err
		}
		r := w.runs[req.RunKey]
		if r == nil {
			r = &run{historyIndex: -1, status: worker.RunStatus{RunKey: req.RunKey, State: worker.RunStopped,
				Reason: "stopped before it started"}}
			w.runs[req.RunKey] = r
		}
		if r.running() {
			if req.Checkpoint {
				r.checkpoint()
			}
			r.status.State, r.status.Reason = worker.RunStopped, "stopped by command"
			w.recordEnd(r, w.nowMs())
		}
		return w.measuredStatus(r), nil
	})
}

// Checkpoint implements worker.Server.
func (w *Worker) Checkpoint(ctx context.Context, req worker.StopRequest) (worker.RunStatus, error) {
	return call(ctx, w, OpCheckpoint, func() (worker.RunStatus, error) {
		r, err := w.fencedRun(req.Fence, req.RunKey)
		if err != nil {
			return worker.RunStatus{}, err
		}
		if r.running() && !r.plan.Checkpoints {
			return worker.RunStatus{}, errors.Wrap(worker.ErrRefused, "the task supports no checkpoints")
		}
		if r.running() {
			r.checkpoint()
		}
		return w.measuredStatus(r), nil
	})
}

// Throttle implements worker.Server.
func (w *Worker) Throttle(ctx context.Context, req worker.ThrottleRequest) error {
	_, err := call(ctx, w, OpThrottle, func() (struct{}, error) {
		r, err := w.fencedRun(req.Fence, req.RunKey)
		if err != nil {
			return struct{}{}, err
		}
		if req.Percent < 1 || req.Percent > 100 {
			return struct{}{}, errors.Wrapf(worker.ErrRefused, "throttle to %d percent, allowed 1 to 100", req.Percent)
		}
		r.previousPercent, r.throttleSetMs = r.status.ThrottlePercent, w.nowMs()
		r.status.ThrottlePercent = req.Percent % 100
		return struct{}{}, nil
	})
	return err
}

// Renew implements worker.Server. It may shorten the lease; a delayed older Renew is refused because of its
// NotAfterMs.
func (w *Worker) Renew(ctx context.Context, req worker.RenewRequest) (worker.Report, error) {
	return call(ctx, w, OpRenew, func() (worker.Report, error) {
		if err := w.checkFence(req.Fence); err != nil {
			return worker.Report{}, err
		}
		w.leaseUntilMs = req.LeaseUntilMs
		return w.report(), nil
	})
}

// Ack implements worker.Server. It ignores unknown runs and refuses the command if one of the runs is still running.
func (w *Worker) Ack(ctx context.Context, req worker.AckRequest) error {
	_, err := call(ctx, w, OpAck, func() (struct{}, error) {
		if err := w.checkFence(req.Fence); err != nil {
			return struct{}{}, err
		}
		for _, key := range req.Runs {
			if r := w.runs[key]; r != nil && r.running() {
				return struct{}{}, errors.Wrapf(worker.ErrRefused, "run %v still executes", key)
			}
		}
		for _, key := range req.Runs {
			delete(w.runs, key)
		}
		return struct{}{}, nil
	})
	return err
}

// Report implements worker.Server.
func (w *Worker) Report(ctx context.Context) (worker.Report, error) {
	return call(ctx, w, OpReport, func() (worker.Report, error) { return w.report(), nil })
}

func (w *Worker) fencedRun(f worker.Fence, key worker.RunKey) (*run, error) {
	if err := w.checkFence(f); err != nil {
		return nil, err
	}
	r := w.runs[key]
	if r == nil {
		return nil, errors.Wrapf(worker.ErrRefused, "run %v is unknown", key)
	}
	return r, nil
}

func (w *Worker) report() worker.Report {
	rep := worker.Report{
		Worker: w.opts.ID, Incarnation: w.incarnation, NowMs: w.nowMs(), OwnerEpoch: w.epoch, LeaseUntilMs: w.leaseUntilMs,
		Capacity: w.opts.Capacity, Leaving: w.leaving, Runs: make([]worker.RunStatus, 0, len(w.runs)),
	}
	for _, r := range w.runs {
		rep.Runs = append(rep.Runs, w.measuredStatus(r))
	}
	slices.SortFunc(rep.Runs, func(a, b worker.RunStatus) int { return compareKeys(a.RunKey, b.RunKey) })
	return rep
}

func compareKeys(a, b worker.RunKey) int {
	if c := strings.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	if a.Index != b.Index {
		return a.Index - b.Index
	}
	return int(a.Epoch - b.Epoch)
}

// measuredStatus returns the status of a run with its usage and stall as measured with the usage lag.
func (w *Worker) measuredStatus(r *run) worker.RunStatus {
	s, lagMs := r.status, w.opts.UsageLagMs
	if !r.running() || !w.isMeasured(r, lagMs) {
		return s
	}
	s.Usage = r.req.Size
	scale := r.plan.Usage * w.measuredShare(r, lagMs)
	s.Usage.MilliCPU = int64(float64(s.Usage.MilliCPU) * scale)
	s.Usage.MemoryMB = int64(float64(s.Usage.MemoryMB) * r.plan.Usage)
	s.Usage.Connections = int64(float64(s.Usage.Connections) * r.plan.Usage)
	s.StallPermille = w.stallPermille(r, lagMs)
	return s
}

// isMeasured reports whether the run is old enough to show in measurements with the given lag.
func (w *Worker) isMeasured(r *run, lagMs int64) bool { return w.nowMs()-r.startMs >= lagMs }

// measuredShare returns the processor share as measured with the given lag: the one before the latest throttle until
// the lag has passed.
func (w *Worker) measuredShare(r *run, lagMs int64) float64 {
	if w.nowMs()-r.throttleSetMs < lagMs {
		return throttleShare(r.previousPercent)
	}
	return throttleShare(r.status.ThrottlePercent)
}

// stallPermille returns the stall that the other runs cause to r, as measured with the given lag.
func (w *Worker) stallPermille(r *run, lagMs int64) int64 {
	var sum float64
	for _, other := range w.runs {
		if other != r && other.running() && w.isMeasured(other, lagMs) {
			sum += float64(other.plan.PressurePermille) * w.measuredShare(other, lagMs)
		}
	}
	return min(int64(sum), maxStallPermille)
}

// checkpoint encodes the progress in the name of the checkpoint, from which a later run resumes.
func (r *run) checkpoint() {
	if r.plan.Checkpoints {
		r.status.Checkpoint = fmt.Sprintf("%s/%d/%d@%dms", r.req.Job, r.req.Index, r.req.Epoch, int64(r.progressMs))
	}
}

func checkpointProgress(name string) float64 {
	_, after, ok := strings.Cut(name, "@")
	if !ok {
		return 0
	}
	ms, err := strconv.ParseInt(strings.TrimSuffix(after, "ms"), 10, 64)
	if err != nil {
		return 0
	}
	return float64(ms)
}
