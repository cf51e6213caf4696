package shard

import (
	"time"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/jobworker"
)

// applyReport compares what a worker reports with what was ordered. The request for the report was sent at the
// time sent. The caller holds mu.
func (s *Shard) applyReport(w *worker, report jobworker.Report, sent time.Duration) {
	processed := w.processed
	for i := range report.Ended {
		e := &report.Ended[i]
		if e.Number <= processed {
			continue
		}
		w.processed = max(w.processed, e.Number)
		s.applyEnd(w, e)
	}
	if w.processed != w.acked {
		upTo, incarnation := w.processed, w.incarnation
		s.whenStored(func() {
			if w.incarnation == incarnation {
				w.acked = max(w.acked, upTo)
			}
		})
	}
	listed := make(map[string]struct{}, len(report.Running))
	for i := range report.Running {
		row := &report.Running[i]
		if r := s.applyRunning(w, row); r != nil {
			listed[r.name] = struct{}{}
		}
	}
	if report.Truncated {
		return
	}
	for _, r := range s.runsOn[w.info.ID] {
		if _, ok := listed[r.name]; !ok {
			s.missing(r, sent)
		}
	}
	s.guard(w)
}

func (s *Shard) applyEnd(w *worker, e *jobworker.End) {
	r := s.runs[e.Task]
	if r == nil || r.number != e.Run || r.workerID != w.info.ID {
		return // settled before, or of a job that nobody knows any more
	}
	switch e.Kind {
	case jobs.EndDone:
		s.env.Counters.EndsDone.Inc()
		w.failures.succeeded()
	case jobs.EndFailed:
		s.env.Counters.EndsFailed.Inc()
		w.failures.failed(s.env.Now())
	default:
		s.env.Counters.EndsOther.Inc()
	}
	s.endRun(r, e.Kind, e.Checkpoint, "")
}

// applyRunning notes a run that the worker lists and returns it, or nil for one that must not run.
func (s *Shard) applyRunning(w *worker, row *jobworker.Run) *run {
	r := s.runs[row.Task]
	if r == nil || r.number != row.Run || r.workerID != w.info.ID {
		s.log.Warn().Str("task", row.Task).Int64("run", row.Run).Str("worker", w.info.ID).Msg("run is not wanted, is stopped")
		s.stopUnwanted(w, row.Task, row.Run)
		return nil
	}
	if r.stage == starting || r.stage == committing {
		r.stage, r.answeredAt = running, s.env.Now()
	}
	if row.Checkpoint != "" && row.Checkpoint != r.checkpoint {
		r.checkpoint = row.Checkpoint
		if e := s.jobs[r.id.Job]; e != nil {
			e.job.Task(r.id).Checkpoint = row.Checkpoint
		}
	}
	if e := s.jobs[r.id.Job]; r.stage == running && (e == nil || e.job.Outcome != jobs.Unfinished) {
		// The job ended before the worker was known, or the stop was lost with the previous owner.
		s.stopRun(w, r)
	}
	if row.Percent != r.percent {
		r.percent, r.progressAt = row.Percent, s.env.Now()
	}
	s.considerStall(w, r)
	r.figure = row.Figure
	switch {
	case r.step.TailTargetMs == 0 || r.figure <= r.step.TailTargetMs:
		r.overSince = 0
	case r.overSince == 0:
		r.overSince = s.env.Now()
	}
	return r
}

// missing settles a run that the worker neither lists nor reported as ended.
func (s *Shard) missing(r *run, sent time.Duration) {
	switch {
	case r.stage == running && r.answeredAt < sent:
		s.endRun(r, jobs.EndLost, "", "the worker no longer lists it")
	case r.stage == stopped && r.answeredAt < sent:
		s.endRun(r, jobs.EndStopped, "", "")
	}
}

// endRun records that a run is over and frees its room. The caller holds mu.
func (s *Shard) endRun(r *run, kind jobs.EndKind, checkpoint, why string) {
	s.removeRun(r)
	e := s.jobs[r.id.Job]
	if e == nil {
		return
	}
	now := s.env.Now()
	if !e.job.End(r.id, r.number, kind, checkpoint, s.env.Wall().UnixMilli()) {
		return
	}
	if kind != jobs.EndDone {
		s.log.Info().Str("job", r.id.Job).Str("task", r.name).Int64("run", r.number).Str("worker", r.workerID).
			Stringer("kind", kind).Str("why", why).Int("percent", r.percent).Int64("ran_ms", (now - r.boundAt).Milliseconds()).Msg("run ended")
	}
	if kind == jobs.EndLost {
		s.env.Counters.Lost.Inc()
	}
	if kind == jobs.EndFailed {
		e.hold(r.id, now+retryWait(e.job.Task(r.id).Failures, r.step), r.workerID)
	}
	if e.job.Outcome != jobs.Unfinished {
		s.stopRuns(e)
	}
	e.open = true
	s.touch(e)
	signal(s.planSignal)
}

// hold keeps a task from being bound until a time, and from a worker if another one has room.
func (e *entry) hold(id jobs.TaskID, until time.Duration, avoid string) {
	if e.retryAt == nil {
		e.retryAt, e.avoid = map[jobs.TaskID]time.Duration{}, map[jobs.TaskID]string{}
	}
	e.retryAt[id] = until
	e.avoid[id] = avoid
}

// Waits before a failed task runs again.
const (
	retryWaitFirst = 50 * time.Millisecond
	retryWaitMost  = 2 * time.Second
)

// retryWait spaces the runs of long-running tasks that keep failing. Others have few attempts.
func retryWait(failures int, step *jobs.Step) time.Duration {
	if !step.LongRunning {
		return 0
	}
	return min(retryWaitFirst<<min(failures, 6), retryWaitMost)
}
