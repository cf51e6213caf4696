package shard

import (
	"context"
	"reflect"
	"strings"
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

// Timing of lease renewals. A renewal is a long poll: the worker's report is its response.
const (
	// reportWait is how long a worker waits for the end of a run before it reports. It bounds the age of the
	// measurements from which the pace of filling tasks is set.
	reportWait = time.Second
	// objectiveMissedReportWait replaces reportWait while a serving task is over its objective.
	objectiveMissedReportWait = 350 * time.Millisecond
	// responseMargin is how late a response may be before the call times out. After a time-out it is maxResponseMargin: on a
	// congested link every response may be late, and repeats within the same limit only add to the load.
	responseMargin    = 700 * time.Millisecond
	maxResponseMargin = 3 * responseMargin
	// renewalPause is the longest wait for ends to be stored, and the pause while renewals are not allowed.
	renewalPause = 150 * time.Millisecond
	// leaseExpiryMargin covers the rounding of clocks.
	leaseExpiryMargin = 100 * time.Millisecond
)

// worker is a worker of the shard. Its fields are guarded by the shard's mu.
type worker struct {
	info jobworker.Info
	// registered is set while the registry has an entry for the worker.
	registered bool
	// adopted is set once the worker has reported under this epoch, so that it rejects calls of older ones.
	adopted bool
	clock   lease.WorkerClock
	grant   lease.Grant
	// incarnation is that of the newest report.
	incarnation int64
	// settled is set once no lease on the incarnation outlasts those that this owner grants. Only then starts and
	// deadlines are sent. settling is set while that is being stored.
	settled, settling bool
	// restartedAt is when this owner saw the worker's newest restart; zero for none.
	restartedAt time.Duration
	// foreignLeaseMs is the time on the clock of a restarted worker at which all leases end that calls for former
	// incarnations may have left; zero until a report shows that no further such call can take effect.
	foreignLeaseMs int64
	// otherClockAt is when the response to a start last showed another clock than the newest report.
	otherClockAt time.Duration
	// deadlineSentAt is when a deadline was last sent to the worker.
	deadlineSentAt time.Duration
	// renewalCancel ends the renewal under way.
	renewalCancel context.CancelFunc
	// Numbers of the newest end that was recorded, that is stored, and whose acknowledgement the worker has confirmed.
	recordedEnd, storedEnd, ackedEnd int64
	// fillingSeenAt is when filling tasks last used a relevant share of the worker, and measurementsIgnoredUntil is when
	// its measurements count again.
	fillingSeenAt, measurementsIgnoredUntil time.Duration
	// checkpointsDropped is set if the newest report had checkpoints that were too long to be read.
	checkpointsDropped bool
	// objectiveMissed is set while a serving task on the worker is over its objective.
	objectiveMissed bool
	// unreachable is set if the newest renewal failed.
	unreachable bool
	// unreachableSince is when the first of the renewals that failed in a row was sent.
	unreachableSince time.Duration
	// failedSentAt is when the newest renewal that failed was sent.
	failedSentAt time.Duration
	// startsBlockedUntil delays starts after a refusal.
	startsBlockedUntil time.Duration
	failures           failureWindow
	// entryAt is when an entry of another incarnation or address was read, and reportedAt when the renewal was sent that
	// the worker answered last.
	entryAt, reportedAt time.Duration
	// fence is the fence number of calls, at least the sum of fenceBase and the epoch. formerFence is the highest one of
	// calls for the former incarnation, 0 if there was none under this owner.
	// answeredFence is that of the newest report.
	fence, formerFence, answeredFence, fenceBase int64
	// heldSince is since when this owner has had the worker.
	heldSince time.Duration
	// promisedTo is the shard for which the worker takes no new tasks until promisedUntil.
	promisedTo    int
	promisedUntil time.Duration
	// kindVersion counts the changes of the worker's kind.
	kindVersion int
	// leavesAt is the earliest time at which a draining worker leaves.
	leavesAt  time.Duration
	cancel    context.CancelFunc
	callSlots chan struct{} // limits calls in flight
}

// maxCallsInFlight limits the start, stop and pace calls in flight to one worker.
const maxCallsInFlight = 3

// applyRegistry applies records of the worker registry.
func (s *Shard) applyRegistry(records []keyedlog.Record, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reset {
		for _, w := range s.workers {
			w.registered = false
		}
	}
	if reset {
		clear(s.entries)
	}
	for _, r := range records {
		s.applyRegistryRecord(r)
	}
	for _, w := range s.workers {
		s.updateAvailability(w)
	}
	signal(s.planSignal)
}

// applyRegistryRecord applies one record of the worker registry. The caller holds mu.
func (s *Shard) applyRegistryRecord(r keyedlog.Record) {
	if r.Value == nil {
		delete(s.entries, r.Key)
		if w := s.workers[r.Key]; w != nil && w.registered {
			w.registered = false
			s.log.Info().Str("worker", r.Key).Int64("offset", r.Offset).Msg("worker left the registry")
		}
		return
	}
	info, err := s.deps.DecodeWorker(r.Key, r.Value)
	if err != nil {
		s.log.Warn().Err(err).Int64("offset", r.Offset).Msg("registry entry cannot be decoded, it is ignored")
		return
	}
	if len(info.ID) > jobs.MaxWorkerIDBytes || strings.HasPrefix(info.ID, "/") {
		s.log.Warn().Int64("offset", r.Offset).Int("bytes", len(info.ID)).Msg("registry entry has an id that cannot be stored, it is ignored")
		return
	}
	s.entries[info.ID] = info
	if _, held := s.heldWorker(info.ID); !held {
		return
	}
	w := s.workers[info.ID]
	if w == nil {
		s.addWorker(info)
		return
	}
	s.replaceEntry(w, info, r.Offset)
}

// replaceEntry replaces a worker's entry and everything that is derived from it. The caller holds mu.
func (s *Shard) replaceEntry(w *worker, info jobworker.Info, offset int64) {
	w.registered = true
	if reflect.DeepEqual(w.info, info) {
		return
	}
	if info.Draining {
		w.leavesAt = s.deps.Now() + info.LeavesIn
	}
	restarted := w.info.Address != info.Address || w.info.Incarnation != info.Incarnation && w.incarnation != info.Incarnation
	kindChanged := !reflect.DeepEqual(kindOf(w.info), kindOf(info))
	s.log.Info().Str("worker", info.ID).Bool("draining", info.Draining).Bool("restarted", restarted).
		Bool("kind_changed", kindChanged).Int64("offset", offset).Msg("worker changed")
	w.info = info
	if restarted {
		// Its clock and its runs are not known until it has reported.
		w.entryAt = s.deps.Now()
		w.cancelRenewal()
	}
	if kindChanged {
		s.fleet.SetKind(info.ID, kindOf(info))
		w.kindVersion++
		s.deleteAdviceOn(info.ID)
	}
}

// kindOf returns the part of a worker's entry that decides which tasks it may run.
func kindOf(info jobworker.Info) packing.Kind {
	return packing.Kind{Service: info.Service, Zone: info.Zone, Rack: info.Rack, Labels: info.Labels, Size: info.Size}
}

// addWorker adds a worker and starts renewing its lease. The caller holds mu.
func (s *Shard) addWorker(info jobworker.Info) {
	ctx, cancel := context.WithCancel(s.ctx)
	h, _ := s.heldWorker(info.ID)
	// Calls to a worker that was removed may still be under way.
	used := s.usedFences[info.ID]
	w := &worker{info: info, registered: true, heldSince: s.deps.Now(), fence: max(h.FenceBase+s.epoch, used), formerFence: used,
		fenceBase: h.FenceBase, cancel: cancel, callSlots: make(chan struct{}, maxCallsInFlight)}
	s.workers[info.ID] = w
	s.fleet.Add(&packing.Worker{ID: info.ID, Kind: kindOf(info)})
	for _, r := range s.runsByWorker[info.ID] {
		s.fleet.Reserve(r.workerID, r.step, r.stepName)
	}
	s.log.Info().Str("worker", info.ID).Str("zone", info.Zone).Stringer("size", info.Size).Msg("worker found")
	s.runInBackground("renew lease", func() { s.renewLoop(ctx, w) })
}

// entryConfirmed reports whether the worker has reported at the address of its newest entry, and not since started again:
// the new incarnation may be of another kind, which only its own entry tells.
func (w *worker) entryConfirmed() bool {
	startedAgain := w.info.Incarnation != 0 && w.incarnation > w.info.Incarnation
	return !w.seemsRestarted() && !startedAgain
}

// updateAvailability updates whether the worker takes new tasks. The caller holds mu.
func (s *Shard) updateAvailability(w *worker) {
	p := s.fleet.Worker(w.info.ID)
	now := s.deps.Now()
	p.Open = s.usable(w, now) && now >= w.promisedUntil
	p.ObjectiveMissed = w.objectiveMissed
	p.Penalty = w.failures.rankPenalty(now)
}

// usable reports whether the worker can take new tasks. The caller holds mu.
func (s *Shard) usable(w *worker, now time.Duration) bool {
	return w.registered && w.adopted && w.settled && w.entryConfirmed() && !w.unreachable && !w.info.Draining && now >= w.startsBlockedUntil &&
		!s.deps.ZoneOutOfService(w.info.Zone) && !w.failures.quarantined(now)
}

// renewLoop renews the worker's lease and applies its reports until the worker is removed.
func (s *Shard) renewLoop(ctx context.Context, w *worker) {
	var backoff ledger.Backoff
	margin := responseMargin
	for ctx.Err() == nil {
		if !s.auth.MayRenew() {
			ctxtime.Sleep(ctx, renewalPause)
			continue
		}
		info, renewal, sentAt, ok := s.nextRenewal(w)
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, renewal.Wait+margin)
		s.setRenewalCancel(w, cancel)
		report, err := s.deps.Workers.RenewLease(callCtx, info, renewal)
		superseded := errors.Is(callCtx.Err(), context.Canceled)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil && superseded {
			continue
		}
		s.deps.Counters.LeaseRenewals.Inc()
		unstored := false
		s.locked("apply report", func() {
			if ctx.Err() != nil {
				return // the worker was moved or removed meanwhile
			}
			unstored = s.handleRenewal(w, report, err, renewal.Fence, sentAt)
			if err == nil && renewal.Ack > 0 && w.storedEnd >= renewal.Ack {
				w.ackedEnd = renewal.Ack
			}
		})
		margin = nextMargin(margin, s.deps.Now()-sentAt-renewal.Wait, err)
		if err != nil {
			backoff.Sleep(ctx)
			continue
		}
		backoff.Reset()
		if !s.fenceRaised(w) {
			ctxtime.Sleep(ctx, renewalPause)
		} else if unstored {
			s.awaitStored(ctx, w)
		}
	}
}

// setRenewalCancel sets the function that ends the renewal under way.
func (s *Shard) setRenewalCancel(w *worker, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.renewalCancel = cancel
}

// nextMargin returns the response margin of the next renewal after one with the given margin, whose response came so long
// after its wait or that failed. The margin falls slowly, since a congested link stays so for a while.
func nextMargin(margin, delay time.Duration, err error) time.Duration {
	switch {
	case err == nil:
		return min(max(responseMargin, margin/2, 2*delay), maxResponseMargin)
	case errors.Is(err, context.DeadlineExceeded):
		return maxResponseMargin
	}
	return responseMargin
}

// nextRenewal returns the next renewal of a worker's lease and the time of sending it. It reports false if renewals are
// not allowed any more: the daemon may have been suspended, or waited long for mu, since that was checked last.
func (s *Shard) nextRenewal(w *worker) (info jobworker.Info, r jobworker.LeaseRenewal, sentAt time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.auth.MayRenew() {
		return jobworker.Info{}, jobworker.LeaseRenewal{}, 0, false
	}
	s.raiseFence(w)
	r.Fence = w.fence
	answers := !w.unreachable && !w.seemsRestarted()
	if w.storedEnd > w.ackedEnd && answers {
		// An acknowledgement is not repeated once confirmed, and not sent to a worker that may have restarted: it
		// numbers its ends from the start again and would drop ends that were never reported.
		r.Ack = w.storedEnd
	}
	sentAt = s.deps.Now()
	if w.clock.Known() && w.settled && answers {
		// Calls to an unresponsive worker renew nothing, so that its lease expires at a known time even if the
		// requests arrive and only the responses are lost.
		r.DeadlineMs = w.clock.Deadline(sentAt, s.deps.Limits.MaxWorkerLease)
		w.grant.Sent(r.DeadlineMs)
		w.deadlineSentAt = sentAt
	}
	if (w.settled || w.foreignLeaseMs > 0) && answers && w.storedEnd == w.recordedEnd {
		r.Wait = reportWait
		if w.objectiveMissed {
			r.Wait = objectiveMissedReportWait
		}
	}
	return w.info, r, sentAt, true
}

// awaitStored waits until what the worker's report showed is stored, but at most renewalPause.
func (s *Shard) awaitStored(ctx context.Context, w *worker) {
	stored := make(chan struct{})
	s.mu.Lock()
	s.whenStored(func() { close(stored) })
	s.mu.Unlock()
	t := time.NewTimer(renewalPause)
	defer t.Stop()
	select {
	case <-stored:
	case <-t.C:
	case <-ctx.Done():
	}
}

// handleRenewal applies the result of a renewal, sent under a fence number, and reports whether something that it
// showed is not stored yet. The caller holds mu.
func (s *Shard) handleRenewal(w *worker, report jobworker.Report, err error, fence int64, sentAt time.Duration) bool {
	if err != nil {
		s.deps.Counters.LeaseRenewalsFailed.Inc()
		if errors.Is(err, jobworker.ErrFenced) && fence >= w.fence {
			s.log.Warn().Str("worker", w.info.ID).Msg("worker knows a higher epoch, the shard is given up")
			s.cancel()
			return false
		}
		if !w.unreachable {
			s.log.Warn().Err(err).Str("worker", w.info.ID).Str("worker_zone", w.info.Zone).
				Int("runs", len(s.runsByWorker[w.info.ID])).Msg("dependency lost: worker does not answer")
			w.unreachableSince = sentAt
		}
		w.unreachable, w.failedSentAt = true, sentAt
		s.updateAvailability(w)
		return false
	}
	if w.unreachable || !w.adopted {
		unreachableFor := time.Duration(0)
		if w.unreachable {
			unreachableFor = s.deps.Now() - w.unreachableSince
		}
		s.log.Info().Str("worker", w.info.ID).Bool("adopted", w.adopted).Int("running", len(report.Running)).
			Int("ended", len(report.Ended)).Dur("unreachable_for", unreachableFor).Msg("worker answers")
	}
	firstFenced, usable := s.recordIncarnation(w, &report, fence)
	w.clock.Observe(sentAt, s.deps.Now(), report.ClockMs)
	w.unreachable, w.adopted, w.reportedAt, w.answeredFence = false, w.adopted || usable, sentAt, fence
	if firstFenced {
		s.endFormerRuns(w, &report)
	}
	if usable {
		s.applyReport(w, report, sentAt)
	}
	s.settleIfDue(w, s.deps.Now())
	s.updateAvailability(w)
	signal(s.planSignal)
	return w.storedEnd != w.recordedEnd || w.settling
}
