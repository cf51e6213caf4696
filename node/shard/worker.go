package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/lease"
	"waxwingslip.example/core/packing"
	"waxwingslip.example/external/jobworker"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ctxtime"
	"waxwingslip.example/node/ledger"
)

// Timing of the conversation with a worker.
const (
	// holdWait is how long a worker waits for an end before it reports. It bounds the age of the figures by
	// which serving tasks are guarded.
	holdWait = time.Second
	// strainedWait is the wait while a serving task is over its objective.
	strainedWait = 350 * time.Millisecond
	// holdMargin is how long an answer may be late before the connection counts as silent.
	holdMargin = 700 * time.Millisecond
	// holdPause separates holds while an end is not stored or the worker does not answer.
	holdPause = 150 * time.Millisecond
	// lapseMargin covers the rounding of clocks.
	lapseMargin = 100 * time.Millisecond
)

// worker is a worker of the shard. Its fields are owned by the shard's mu.
type worker struct {
	info jobworker.Info
	// listed tells that the registry has an entry.
	listed bool
	// adopted tells that the worker has reported under this epoch, so it takes no orders of an older one.
	adopted bool
	clock   lease.WorkerClock
	grant   lease.Grant
	// incarnation is the one of the newest report.
	incarnation int64
	// processed is the number of the newest end that was recorded, acked the newest that is stored, and confirmed the
	// newest of which the worker has answered an acknowledgement.
	processed, acked, confirmed int64
	// filledAt is when filling tasks were seen at work on it last, and ignoredUntil how long its figures are left out.
	filledAt, ignoredUntil time.Duration
	// strained tells that a serving task on it is over its objective.
	strained bool
	// failing tells that the newest hold failed.
	failing bool
	// closedUntil holds starts back after a refusal.
	closedUntil time.Duration
	failures    failureWindow
	// leavesAt is the earliest end of a draining worker.
	leavesAt time.Duration
	ended    context.CancelFunc
	orders   chan struct{} // limits orders under way
}

// maxOrders is the number of orders under way to one worker.
const maxOrders = 3

// applyRegistry reads entries of the workers' registry.
func (s *Shard) applyRegistry(records []keyedlog.Record, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reset {
		for _, w := range s.workers {
			w.listed = false
		}
	}
	for _, r := range records {
		s.applyEntry(r)
	}
	for _, w := range s.workers {
		s.refresh(w)
	}
	signal(s.planSignal)
}

// applyEntry reads one entry. The caller holds mu.
func (s *Shard) applyEntry(r keyedlog.Record) {
	if r.Value == nil {
		if w := s.workers[r.Key]; w != nil && w.listed {
			w.listed = false
			s.log.Info().Str("worker", r.Key).Int64("offset", r.Offset).Msg("worker left the registry")
		}
		return
	}
	info, err := s.env.DecodeWorker(r.Key, r.Value)
	if err != nil {
		s.log.Warn().Err(err).Int64("offset", r.Offset).Msg("registry entry ignored")
		return
	}
	if !s.env.Assigned(s.number, info) {
		return
	}
	w := s.workers[info.ID]
	if w == nil {
		s.addWorker(info)
		return
	}
	if info.Draining {
		w.leavesAt = s.env.Now() + info.LeavesIn
	}
	if w.info.Draining != info.Draining {
		s.log.Info().Str("worker", info.ID).Bool("draining", info.Draining).Int64("offset", r.Offset).Msg("worker changed")
	}
	w.listed, w.info = true, info
}

// addWorker begins the conversation with a worker. The caller holds mu.
func (s *Shard) addWorker(info jobworker.Info) {
	for _, old := range s.workers {
		if info.VM != "" && old.info.VM == info.VM {
			s.loseRuns(old, "its VM runs a new worker")
		}
	}
	ctx, cancel := context.WithCancel(s.ctx)
	w := &worker{info: info, listed: true, ended: cancel, orders: make(chan struct{}, maxOrders)}
	s.workers[info.ID] = w
	s.fleet.Add(&packing.Worker{ID: info.ID, Service: info.Service, Zone: info.Zone, Rack: info.Rack,
		Labels: info.Labels, Size: info.Size})
	for _, r := range s.runsOn[info.ID] {
		s.fleet.Reserve(r.workerID, r.step, r.stepName)
	}
	s.log.Info().Str("worker", info.ID).Str("zone", info.Zone).Stringer("size", info.Size).Msg("worker found")
	s.orders.Go(func() { s.converse(ctx, w) })
}

// refresh decides whether the worker takes new tasks. The caller holds mu.
func (s *Shard) refresh(w *worker) {
	p := s.fleet.Worker(w.info.ID)
	now := s.env.Now()
	p.Open = w.listed && w.adopted && !w.failing && !w.info.Draining && now >= w.closedUntil &&
		!s.env.Evacuated(w.info.Zone) && !w.failures.quarantined(now)
	p.Strained = w.strained
	p.Size = w.info.Size
	p.Penalty = w.failures.penalty(now)
}

// converse holds the worker's leases and reads its reports until it is removed.
func (s *Shard) converse(ctx context.Context, w *worker) {
	var backoff ledger.Backoff
	for ctx.Err() == nil {
		if !s.auth.MayHold() {
			ctxtime.Sleep(ctx, holdPause)
			continue
		}
		s.mu.Lock()
		info := w.info
		h := jobworker.Hold{Fence: s.epoch}
		if w.acked > w.confirmed && !w.failing {
			// An acknowledgement is sent once and never to a worker that may have restarted, whose ends are numbered
			// anew: it would forget ends that nobody has seen.
			h.Ack = w.acked
		}
		sent := s.env.Now()
		if w.clock.Known() && !w.failing {
			// A worker that does not answer is asked without a renewal, so that its lease lapses at a known time
			// even if the requests reach it and only the answers are lost.
			h.DeadlineMs = w.clock.Deadline(sent, s.env.Bounds.HoldMax)
			w.grant.Sent(h.DeadlineMs)
		}
		if w.adopted && w.acked == w.processed {
			h.Wait = holdWait
			if w.strained {
				h.Wait = strainedWait
			}
		}
		s.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, h.Wait+holdMargin)
		report, err := s.env.Workers.Hold(call, info, h)
		cancel()
		if ctx.Err() != nil {
			return
		}
		s.env.Counters.Holds.Inc()
		s.mu.Lock()
		pause := s.heard(w, report, err, sent)
		if err == nil && h.Ack > 0 && w.acked >= h.Ack {
			w.confirmed = h.Ack
		}
		s.mu.Unlock()
		if err != nil {
			backoff.Sleep(ctx)
			continue
		}
		backoff.Reset()
		if pause {
			s.awaitAck(ctx, w)
		}
	}
}

// awaitAck waits until the ends that the worker reported are stored, or a moment.
func (s *Shard) awaitAck(ctx context.Context, w *worker) {
	stored := make(chan struct{})
	s.mu.Lock()
	s.whenStored(func() { close(stored) })
	s.mu.Unlock()
	t := time.NewTimer(holdPause)
	defer t.Stop()
	select {
	case <-stored:
	case <-t.C:
	case <-ctx.Done():
	}
}

// heard records the answer to a hold and reports whether ends wait to be stored. The caller holds mu.
func (s *Shard) heard(w *worker, report jobworker.Report, err error, sent time.Duration) bool {
	if err != nil {
		s.env.Counters.HoldsFailed.Inc()
		if errors.Is(err, jobworker.ErrFenced) {
			s.log.Warn().Str("worker", w.info.ID).Msg("worker knows a higher epoch, the shard is given up")
			s.cancel()
			return false
		}
		if !w.failing {
			s.log.Warn().Err(err).Str("worker", w.info.ID).Msg("dependency lost: worker does not answer")
		}
		w.failing = true
		s.refresh(w)
		return false
	}
	if w.failing || !w.adopted {
		s.log.Info().Str("worker", w.info.ID).Bool("adopted", w.adopted).Int("running", len(report.Running)).
			Int("ended", len(report.Ended)).Msg("worker answers")
	}
	if w.adopted && report.Incarnation != w.incarnation {
		// Its runs are found missing below. A start or stop under way may yet arrive at the new incarnation,
		// so those runs stay until the order is settled.
		s.log.Info().Str("worker", w.info.ID).Int64("incarnation", report.Incarnation).Msg("worker restarted")
		w.processed, w.acked, w.confirmed, w.grant = 0, 0, 0, lease.Grant{}
	}
	w.incarnation = report.Incarnation
	w.clock.Observe(sent, s.env.Now(), report.ClockMs)
	w.failing, w.adopted = false, true
	s.applyReport(w, report, sent)
	s.refresh(w)
	signal(s.planSignal)
	return w.acked != w.processed
}

// lapseWorkers takes the runs on workers that cannot be reached for ended once their leases have lapsed. The
// caller holds mu.
func (s *Shard) lapseWorkers(now time.Duration) {
	for id, w := range s.workers {
		s.refresh(w)
		if !w.failing {
			continue
		}
		if s.lapsed(w, now) {
			s.loseRuns(w, "its lease lapsed")
			if !w.listed {
				w.ended()
				delete(s.workers, id)
				s.fleet.Remove(id)
				s.log.Info().Str("worker", id).Msg("worker removed")
			}
		}
	}
	if now < s.orphanLapse {
		return
	}
	for id, on := range s.runsOn {
		if s.workers[id] != nil {
			continue
		}
		for _, r := range on {
			if r.stage != committing {
				s.endRun(r, jobs.EndLost, "", "its worker is not known and its lease has lapsed")
			}
		}
	}
}

func (s *Shard) lapsed(w *worker, now time.Duration) bool {
	if !w.adopted {
		return now >= s.orphanLapse
	}
	return w.grant.LapsedBy(&w.clock, now, lapseMargin)
}

// loseRuns ends all runs of a worker that no longer runs anything. The caller holds mu.
func (s *Shard) loseRuns(w *worker, why string) {
	for _, r := range s.runsOn[w.info.ID] {
		if r.stage != committing {
			s.endRun(r, jobs.EndLost, "", why)
		}
	}
}
