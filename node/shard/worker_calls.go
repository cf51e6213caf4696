package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/jobworker"
	"waxwingslip.example/node/ledger"
)

// Limits of calls to workers.
const (
	// callTimeout covers a round trip between regions and a lost packet.
	callTimeout = 900 * time.Millisecond
	// maxStartAttempts is how often a start is sent while it is unknown whether it arrived.
	maxStartAttempts = 2
	// refusalPause is how long a worker gets no starts after a refusal whose cause is likely to last.
	refusalPause = 300 * time.Millisecond
)

// Signs of an owner that has more to do than it has processor time, or link, for.
const (
	// lateStartDelay is the time from the binding of a task to the response to its start above which the start is late. It
	// covers an append and two calls between regions with a lost packet.
	lateStartDelay = 1500 * time.Millisecond
	// behindTime is how long an owner counts as behind after a late start.
	behindTime = 3 * time.Second
)

// behind reports whether this owner was lately late with a start. The caller holds mu.
func (s *Shard) behind() bool { return s.lateStartAt > 0 && s.deps.Now()-s.lateStartAt < behindTime }

// callWorker runs f in a goroutine once one of the worker's call slots is free, unless the shard is lost first.
func (s *Shard) callWorker(w *worker, f func()) {
	s.runInBackground("call worker", func() {
		select {
		case w.callSlots <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
		defer func() { <-w.callSlots }()
		f()
	})
}

// start sends the start of a run whose binding is stored. The caller holds mu.
func (s *Shard) start(r *run) {
	w, e := s.workers[r.workerID], s.jobs[r.id.Job]
	if s.runs[r.name] != r {
		return
	}
	if w == nil || e == nil || e.job.Outcome != jobs.Unfinished || e.setAside != "" || !s.auth.MayStart() {
		s.endRun(r, jobs.EndNotStarted, "", "the start was not sent")
		return
	}
	r.stage = starting
	s.callWorker(w, func() { s.sendStart(w, r, e.job.Spec.Payload) })
}

// startResponse is the result of a start that was sent under a fence number. The worker's clock is given for a success.
type startResponse struct {
	fence   int64
	sentAt  time.Duration
	clockMs int64
	err     error
}

func (s *Shard) sendStart(w *worker, r *run, payload string) {
	for attempt := 1; ; attempt++ {
		info, start, ok := s.nextStart(w, r, payload, attempt)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		response := startResponse{fence: start.Fence, sentAt: s.deps.Now()}
		response.clockMs, response.err = s.deps.Workers.Start(ctx, info, start)
		cancel()
		s.deps.Counters.Starts.Inc()
		if s.ctx.Err() != nil || s.handleStartResponse(w, r, response, attempt) {
			return
		}
	}
}

// nextStart returns the request of an attempt to start a run. It reports false if the run is not to be started any more.
func (s *Shard) nextStart(w *worker, r *run, payload string, attempt int) (jobworker.Info, jobworker.Start, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[r.name] != r || r.stage != starting {
		return jobworker.Info{}, jobworker.Start{}, false
	}
	e := s.jobs[r.id.Job]
	// Each start extends the lease, so a worker that does not respond gets none: the tasks there could not be taken as ended.
	mayStart := s.auth.MayStart() && !w.unreachable && w.settled && w.entryConfirmed() && s.suits(w, r, e)
	switch {
	case attempt > 1 && !mayStart:
		s.stopRun(w, r) // the first attempt may have arrived
		return jobworker.Info{}, jobworker.Start{}, false
	case attempt == 1 && (!mayStart || e.job.Outcome != jobs.Unfinished || s.deps.ZoneOutOfService(w.info.Zone)):
		s.endRun(r, jobs.EndNotStarted, "", "the start was not sent")
		return jobworker.Info{}, jobworker.Start{}, false
	}
	deadline := w.clock.Deadline(s.deps.Now(), s.deps.Limits.MaxWorkerLease)
	w.grant.Sent(deadline)
	w.deadlineSentAt = s.deps.Now()
	r.startAttempts = attempt
	return w.info, jobworker.Start{Task: r.name, Run: r.number, Payload: payload, Checkpoint: r.checkpoint,
		Fence: w.fence, DeadlineMs: deadline, Ticket: s.ticketFor(r)}, true
}

// suits reports whether the worker of a run, whose entry may have changed since the run was bound, is still of a kind
// that may run it. The caller holds mu.
func (s *Shard) suits(w *worker, r *run, e *jobEntry) bool {
	p := s.fleet.Worker(w.info.ID)
	if e == nil || p == nil {
		return false
	}
	request := s.placementRequest(e, r.id)
	return p.Suits(&request)
}

// handleStartResponse applies the response to a start and reports whether the start is settled.
func (s *Shard) handleStartResponse(w *worker, r *run, response startResponse, attempt int) bool {
	err := response.err
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.checkClock(w, response.sentAt, response.clockMs)
	}
	if s.runs[r.name] != r || r.stage != starting {
		return true
	}
	switch {
	case err == nil:
		r.stage, r.respondedAt = running, s.deps.Now()
		s.recordBegun(r.id)
		if s.fleet.Disturbs(r.workerID, r.step) {
			s.setPace(w, r, 0) // reports raise it as far as the serving tasks tolerate it
		}
		s.deps.Counters.StartDelay.Record(r.respondedAt - r.boundAt)
		if r.respondedAt-r.boundAt > lateStartDelay {
			s.lateStartAt = r.respondedAt
		}
	case attempt > 1 && errors.Is(err, jobworker.ErrStaleRun):
		// The first attempt arrived and its run has ended; a report lists the end.
		r.stage, r.respondedAt = running, s.deps.Now()
	case jobworker.Refused(err) && attempt == 1:
		s.handleStartRefusal(w, r, err, response.fence)
	case attempt < maxStartAttempts:
		return false
	default:
		s.deps.Counters.StartsUnknown.Inc()
		s.log.Warn().Err(err).Str("job", r.id.Job).Str("task", r.name).Int64("run", r.number).
			Str("worker", w.info.ID).Msg("start has no answer, is taken back")
		s.stopRun(w, r)
	}
	return true
}

// handleStartRefusal ends the run so that its task is bound again. The caller holds mu.
func (s *Shard) handleStartRefusal(w *worker, r *run, err error, fence int64) {
	s.deps.Counters.StartsRefused.Inc()
	s.log.Info().Err(err).Str("job", r.id.Job).Str("task", r.name).Int64("run", r.number).
		Str("worker", w.info.ID).Msg("start refused")
	switch {
	case errors.Is(err, jobworker.ErrFenced) && fence < w.fence: // the worker restarted meanwhile
	case errors.Is(err, jobworker.ErrFenced):
		s.cancel()
	case errors.Is(err, jobworker.ErrTicket):
		s.deleteTicket(r)
	case errors.Is(err, jobworker.ErrDeadlinePassed), errors.Is(err, jobworker.ErrStaleRun):
	default:
		w.startsBlockedUntil = s.deps.Now() + refusalPause
		s.updateAvailability(w)
	}
	s.endRun(r, jobs.EndNotStarted, "", "the start was refused")
}

// stopJobRuns stops all runs of a job that ended. The caller holds mu.
func (s *Shard) stopJobRuns(e *jobEntry) {
	e.job.ForEachBound(func(id jobs.TaskID, t *jobs.Task) {
		r := s.runs[id.String()]
		if r == nil || r.stage == stopping || r.stage == stopped || r.stage == committing {
			return // a committing run ends once its binding is stored
		}
		if w := s.workers[r.workerID]; w != nil {
			s.stopRun(w, r)
		}
	})
}

// stopRun stops a run, or makes sure that it never starts. The caller holds mu.
func (s *Shard) stopRun(w *worker, r *run) {
	r.stage = stopping
	s.deps.Counters.Stops.Inc()
	s.callWorker(w, func() {
		var backoff ledger.Backoff
		for s.ctx.Err() == nil {
			info, fence, current := s.currentRun(w, r)
			if !current {
				return
			}
			ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
			err := s.deps.Workers.Stop(ctx, info, r.name, r.number, fence)
			cancel()
			if err == nil || errors.Is(err, jobworker.ErrStaleRun) {
				s.mu.Lock()
				if r.stage == stopping {
					r.stage, r.respondedAt = stopped, s.deps.Now()
				}
				s.mu.Unlock()
				return
			}
			backoff.Sleep(s.ctx)
		}
	})
}

// currentRun returns the entry and fence number of a run's worker, and reports whether the run is still registered there.
func (s *Shard) currentRun(w *worker, r *run) (jobworker.Info, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.info, w.fence, s.runs[r.name] == r && s.workers[w.info.ID] == w
}

// entryOf returns the newest entry and the fence number of a worker.
func (s *Shard) entryOf(w *worker) (jobworker.Info, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.info, w.fence
}

// stopUnexpectedRun stops a run that the shard has no record of. If the call fails, the next report lists the run
// again.
func (s *Shard) stopUnexpectedRun(w *worker, task string, number int64) {
	s.callWorker(w, func() {
		info, fence := s.entryOf(w)
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		if err := s.deps.Workers.Stop(ctx, info, task, number, fence); err != nil {
			s.log.Warn().Err(err).Str("task", task).Str("worker", info.ID).Msg("stopping an unexpected run failed")
		}
	})
}
