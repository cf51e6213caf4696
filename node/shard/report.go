package shard

import (
	"time"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/jobworker"
)

// applyReport compares a worker's report with the expected runs. The request for it was sent at sentAt. The caller
// holds mu.
func (s *Shard) applyReport(w *worker, report jobworker.Report, sentAt time.Duration) {
	s.countDropped(w, report.CheckpointsDropped)
	recorded := w.recordedEnd
	for i := range report.Ended {
		e := &report.Ended[i]
		if e.Number <= recorded {
			continue
		}
		w.recordedEnd = max(w.recordedEnd, e.Number)
		s.applyEnd(w, e)
	}
	if w.recordedEnd != w.storedEnd {
		lastEnd, incarnation := w.recordedEnd, w.incarnation
		s.whenStored(func() {
			if w.incarnation == incarnation {
				w.storedEnd = max(w.storedEnd, lastEnd)
			}
		})
	}
	listed := make(map[string]struct{}, len(report.Running))
	for i := range report.Running {
		listedRun := &report.Running[i]
		if r := s.applyRunning(w, listedRun); r != nil {
			listed[r.name] = struct{}{}
		}
	}
	if report.Truncated {
		return
	}
	for _, r := range s.runsByWorker[w.info.ID] {
		if _, ok := listed[r.name]; !ok {
			s.settleUnlisted(r, sentAt)
		}
	}
	s.paceFillingTasks(w)
}

func (s *Shard) applyEnd(w *worker, e *jobworker.End) {
	r := s.runs[e.Task]
	if r == nil || r.number != e.Run || r.workerID != w.info.ID {
		s.applyLateEnd(w, e)
		return
	}
	if e.Kind.Ran() || e.Checkpoint != "" {
		s.recordBegun(r.id)
	}
	switch e.Kind {
	case jobs.EndDone:
		s.deps.Counters.EndsDone.Inc()
		w.failures.recordSuccess()
	case jobs.EndFailed:
		s.deps.Counters.EndsFailed.Inc()
		w.failures.recordFailure(s.deps.Now())
	default:
		s.deps.Counters.EndsOther.Inc()
	}
	s.endRun(r, e.Kind, e.Checkpoint, "")
}

// recordBegun records that a worker has confirmed a run of a task. The caller holds mu.
func (s *Shard) recordBegun(id jobs.TaskID) {
	if e := s.jobs[id.Job]; e != nil && e.setAside == "" && e.job.Outcome == jobs.Unfinished && e.job.Begin() {
		s.markDirty(e)
	}
}

// recordBegunByName is recordBegun for a run that the shard has no record of any more. The caller holds mu.
func (s *Shard) recordBegunByName(task string, number int64) {
	id, err := jobs.ParseTaskID(task)
	if err != nil {
		return
	}
	if e := s.jobs[id.Job]; e != nil {
		if t := e.job.Task(id); t != nil && number <= t.Run {
			s.recordBegun(id)
		}
	}
}

// applyLateEnd applies the end of a run that was settled before the worker reported it: the worker did not respond until
// its lease had expired, or a previous owner settled the run. Results count; work that was done is not done again.
func (s *Shard) applyLateEnd(w *worker, end *jobworker.End) {
	if end.Kind.Ran() || end.Checkpoint != "" {
		s.recordBegunByName(end.Task, end.Run) // it ran, whatever was taken to have happened
	}
	id, err := jobs.ParseTaskID(end.Task)
	if err != nil {
		return
	}
	e := s.jobs[id.Job]
	if e == nil || e.setAside != "" || !e.job.LateEnd(id, end.Run, end.Kind, s.deps.WallTime().UnixMilli()) {
		return
	}
	s.deps.Counters.EndsLate.Inc()
	s.log.Info().Str("job", id.Job).Str("task", end.Task).Int64("run", end.Run).Str("worker", w.info.ID).
		Stringer("kind", end.Kind).Msg("end reported late")
	if newer := s.runs[end.Task]; newer != nil && end.Kind == jobs.EndDone {
		s.stopDuplicate(newer)
	}
	if e.job.Outcome != jobs.Unfinished {
		s.stopJobRuns(e)
	}
	e.mayHaveReady = true
	s.markDirty(e)
	signal(s.planSignal)
}

// stopDuplicate stops a run of a task that is done. The caller holds mu.
func (s *Shard) stopDuplicate(r *run) {
	switch w := s.workers[r.workerID]; {
	case r.stage == committing:
		s.removeRun(r) // it was not sent
	case w != nil && r.stage != stopping && r.stage != stopped:
		s.stopRun(w, r)
	}
}

// applyRunning applies a run that the worker lists and returns it, or nil for one that must not run.
func (s *Shard) applyRunning(w *worker, listedRun *jobworker.Run) *run {
	r := s.runs[listedRun.Task]
	if r == nil || r.number != listedRun.Run || r.workerID != w.info.ID {
		s.log.Warn().Str("task", listedRun.Task).Int64("run", listedRun.Run).Str("worker", w.info.ID).
			Msg("worker lists an unexpected run, stopping it")
		s.recordBegunByName(listedRun.Task, listedRun.Run)
		s.stopUnexpectedRun(w, listedRun.Task, listedRun.Run)
		return nil
	}
	r.listed = true
	if r.stage == starting || r.stage == committing {
		r.stage, r.respondedAt = running, s.deps.Now()
	}
	s.recordBegun(r.id)
	if listedRun.Checkpoint != "" && listedRun.Checkpoint != r.checkpoint {
		r.checkpoint = listedRun.Checkpoint
		if e := s.jobs[r.id.Job]; e != nil {
			e.job.SaveCheckpoint(r.id, listedRun.Checkpoint)
		}
	}
	if e := s.jobs[r.id.Job]; r.stage == running && (e == nil || e.job.Outcome != jobs.Unfinished) {
		// The job ended before the worker was known, or the previous owner's stop was lost.
		s.stopRun(w, r)
	}
	r.recordProgress(listedRun.Percent, s.deps.Now())
	s.moveIfStalled(w, r)
	r.measurement = listedRun.Measurement
	switch {
	case r.step.TailTargetMs == 0 || r.measurement <= r.step.TailTargetMs:
		r.overTargetSince = 0
	case r.overTargetSince == 0:
		r.overTargetSince = s.deps.Now()
	}
	return r
}

// countDropped counts the checkpoints that were too long to be read, and logs the first of a worker. The caller holds mu.
func (s *Shard) countDropped(w *worker, dropped int) {
	s.deps.Counters.CheckpointsDropped.Add(int64(dropped))
	if dropped > 0 && !w.checkpointsDropped {
		s.log.Warn().Str("worker", w.info.ID).Int("checkpoints", dropped).Int("limit", jobs.MaxCheckpointBytes).
			Msg("checkpoints are too long, those before are kept")
	}
	w.checkpointsDropped = dropped > 0
}

// settleUnlisted settles a run that the worker neither lists nor reported as ended. Only a report requested after the
// worker's response to the start or stop counts.
func (s *Shard) settleUnlisted(r *run, sentAt time.Duration) {
	switch {
	case r.stage == running && r.respondedAt < sentAt:
		s.endRun(r, jobs.EndLost, "", "the worker no longer lists it")
	case r.stage == stopped && r.respondedAt < sentAt:
		s.endRun(r, jobs.EndStopped, "", "")
	}
}

// endRun records the end of a run and releases its capacity. The caller holds mu.
func (s *Shard) endRun(r *run, kind jobs.EndKind, checkpoint, reason string) {
	s.removeRun(r)
	e := s.jobs[r.id.Job]
	if e == nil {
		return
	}
	now := s.deps.Now()
	if !e.job.End(r.id, r.number, kind, checkpoint, s.deps.WallTime().UnixMilli()) {
		return
	}
	if kind != jobs.EndDone {
		s.log.Info().Str("job", r.id.Job).Str("task", r.name).Int64("run", r.number).Str("worker", r.workerID).
			Stringer("kind", kind).Str("why", reason).Int("percent", r.percent).
			Int64("ran_ms", (now - r.boundAt).Milliseconds()).Msg("run ended")
	}
	if kind == jobs.EndLost {
		s.deps.Counters.Lost.Inc()
	}
	if kind == jobs.EndFailed {
		e.delayRetry(r.id, now+retryDelay(e.job.Task(r.id).Failures, r.step), r.workerID)
	}
	if e.job.Outcome != jobs.Unfinished {
		s.stopJobRuns(e)
	}
	e.mayHaveReady, e.mayHaveRestarts = true, e.mayHaveRestarts || kind != jobs.EndDone
	s.markDirty(e)
	signal(s.planSignal)
}

// delayRetry keeps a task from being bound before a time, and to a worker if another one has capacity.
func (e *jobEntry) delayRetry(id jobs.TaskID, until time.Duration, avoid string) {
	if e.retryAt == nil {
		e.retryAt, e.avoid = map[jobs.TaskID]time.Duration{}, map[jobs.TaskID]string{}
	}
	e.retryAt[id] = until
	e.avoid[id] = avoid
}

// Delays before a failed task runs again.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// retryDelay returns an exponential delay for long-running tasks. Others run again at once, since their attempts are
// limited.
func retryDelay(failures int, step *jobs.Step) time.Duration {
	if !step.LongRunning {
		return 0
	}
	return min(initialRetryDelay<<min(failures, 6), maxRetryDelay)
}
