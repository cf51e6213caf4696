package fake

import (
	"context"
	"fmt"
	"time"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/jobworker"
)

// Start implements jobworker.Client.
func (f *Fleet) Start(ctx context.Context, info jobworker.Info, s jobworker.Start) (int64, error) {
	clock := int64(0)
	err := f.call(ctx, info.ID, "start", func(w *Worker) error {
		clock = w.clockMs()
		if err := w.checkFence(s.Fence); err != nil {
			return err
		}
		if a := w.runs[s.Task]; a != nil && a.number == s.Run {
			return nil
		}
		if s.DeadlineMs < clock {
			return jobworker.ErrDeadlinePassed
		}
		w.extendLease(s.DeadlineMs)
		if s.Run <= w.lastEndedRun[s.Task] || w.runs[s.Task] != nil {
			return jobworker.ErrStaleRun
		}
		id, err := jobs.ParseTaskID(s.Task)
		if err != nil {
			return jobworker.ErrInvalid
		}
		if f.acceptsTicket != nil && !f.acceptsTicket(w.info.ID, s.Task, s.Ticket) {
			return jobworker.ErrTicket
		}
		o := f.outcome(id, s.Run)
		if !w.reserved().Add(o.Size).Fits(w.info.Size) {
			return jobworker.ErrNoCapacity
		}
		w.startRun(s, o)
		return nil
	})
	if err != nil {
		return 0, err // a late request sets the clock after this
	}
	return clock, nil
}

func (w *Worker) startRun(s jobworker.Start, o Outcome) {
	f := w.fleet
	a := &activeRun{number: s.Run, outcome: o, startedAt: time.Now()}
	w.runs[s.Task] = a
	f.active[s.Task]++
	f.starts[s.Task]++
	f.resumedFrom[s.Task] = s.Checkpoint
	if f.active[s.Task] > 1 {
		f.violations = append(f.violations, fmt.Sprintf("two runs of %s at once, run %d on %s", s.Task, s.Run, w.info.ID))
	}
	if f.done[s.Task] {
		f.violations = append(f.violations, fmt.Sprintf("run %d of %s starts after its end was acknowledged", s.Run, s.Task))
	}
	a.timer = time.AfterFunc(o.Duration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.runs[s.Task] != a || o.UntilStopped || o.StallsAfter > 0 {
			return
		}
		kind := jobs.EndDone
		if o.Fails {
			kind = jobs.EndFailed
		}
		w.endRun(s.Task, kind)
	})
}

// Stop implements jobworker.Client.
func (f *Fleet) Stop(ctx context.Context, info jobworker.Info, task string, run, fence int64) error {
	return f.call(ctx, info.ID, "stop", func(w *Worker) error {
		if err := w.checkFence(fence); err != nil {
			return err
		}
		if a := w.runs[task]; a != nil && a.number <= run {
			w.endRun(task, jobs.EndStopped)
		}
		w.lastEndedRun[task] = max(w.lastEndedRun[task], run)
		return nil
	})
}

// Pace implements jobworker.Client.
func (f *Fleet) Pace(ctx context.Context, info jobworker.Info, task string, _ int64, percent int, fence int64) error {
	return f.call(ctx, info.ID, "pace", func(w *Worker) error {
		if err := w.checkFence(fence); err != nil {
			return err
		}
		w.paces[task] = percent
		return nil
	})
}

// RenewLease implements jobworker.Client.
func (f *Fleet) RenewLease(ctx context.Context, info jobworker.Info,
	r jobworker.LeaseRenewal) (jobworker.Report, error) {
	var report jobworker.Report
	deadline := time.Now().Add(r.Wait)
	incarnation := int64(0)
	for {
		var changed chan struct{}
		err := f.call(ctx, info.ID, "hold", func(w *Worker) error {
			if incarnation != 0 && w.incarnation != incarnation {
				return errResponseLost // the connection ended with the previous incarnation
			}
			incarnation = w.incarnation
			if err := w.checkFence(r.Fence); err != nil {
				return err
			}
			w.acknowledge(r.Ack)
			if r.DeadlineMs > 0 {
				w.extendLease(r.DeadlineMs)
			}
			report, changed = w.report(), w.changed
			return nil
		})
		if err != nil {
			return jobworker.Report{}, err // a late request sets the report after this
		}
		if len(report.Ended) > 0 || !time.Now().Before(deadline) {
			return report, nil
		}
		t := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return jobworker.Report{}, ctx.Err()
		}
		t.Stop()
	}
}

// acknowledge removes the ends up to a number from reports. The caller holds mu.
func (w *Worker) acknowledge(upTo int64) {
	for len(w.ended) > 0 && w.ended[0].Number <= upTo {
		if e := w.ended[0]; e.Kind == jobs.EndDone {
			w.fleet.done[e.Task] = true
		}
		w.ended = w.ended[1:]
	}
}

func (w *Worker) report() jobworker.Report {
	r := jobworker.Report{Incarnation: w.incarnation, ClockMs: w.clockMs(), Ended: append([]jobworker.End(nil), w.ended...)}
	for task, a := range w.runs {
		percent := 100
		if !a.outcome.UntilStopped && a.outcome.Duration > 0 {
			elapsed := time.Since(a.startedAt)
			if stalls := a.outcome.StallsAfter; stalls > 0 {
				elapsed = min(elapsed, stalls)
			}
			percent = int(100 * elapsed / a.outcome.Duration)
		}
		r.Running = append(r.Running, jobworker.Run{Task: task, Run: a.number, Percent: min(percent, 100),
			Checkpoint: a.checkpoint(task), Measurement: w.measurement(task)})
	}
	return r
}

// checkpoint returns the newest checkpoint of a run, empty before the first.
func (a *activeRun) checkpoint(task string) string {
	if every := a.outcome.CheckpointEvery; every > 0 && time.Since(a.startedAt) >= every {
		return fmt.Sprintf("%-*s", a.outcome.CheckpointBytes, fmt.Sprintf("%s#%d", task, time.Since(a.startedAt)/every))
	}
	return ""
}

// measurement returns the measurement that the worker reports for a run. The caller holds mu.
func (w *Worker) measurement(task string) int64 {
	outcome := w.runs[task].outcome
	switch {
	case outcome.Tail != nil:
		return outcome.Tail(w.pacedCPU())
	case outcome.Paced:
		return outcome.Measurement * int64(w.pace(task)) / 100
	}
	return outcome.Measurement
}

// pacedCPU returns the total processor time in use by paced runs. The caller holds mu.
func (w *Worker) pacedCPU() int64 {
	sum := int64(0)
	for task, a := range w.runs {
		if a.outcome.Paced {
			sum += w.measurement(task)
		}
	}
	return sum
}

// pace returns the pace of a run, 100 unless it was set. The caller holds mu.
func (w *Worker) pace(task string) int {
	if p, ok := w.paces[task]; ok {
		return p
	}
	return 100
}
