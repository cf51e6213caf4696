package shard

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/lease"
	"waxwingslip.example/external/jobworker"
	"waxwingslip.example/external/keyedlog"
)

// A worker that restarts keeps its id and address, and its clock starts anew. A call that was sent before may be executed
// by the new incarnation, which takes the deadline in it for a time on its own clock and shortens it to the longest lease
// that workers accept. That may be longer than any lease that an owner grants.
//
// Two things keep such calls from doing harm. The owner raises the worker's fence number, so that the new incarnation
// refuses them once it has answered. And the owner starts nothing there until a lease that they may have left ends no
// later than one of its own; the incarnation is then settled. The settled incarnation is stored, so that the next owner
// knows of a restart that it did not see.

// settledPrefix and a worker's id make the key in ProgressTopic of the settled incarnation of a worker.
const settledPrefix = "i/"

// lateCallLimit is how long after it was sent a call without a response may be executed: 12 s, and a second for a call
// that was under way.
const lateCallLimit = 13 * time.Second

// settledIncarnation is the incarnation of a worker to which this shard's owners send deadlines.
type settledIncarnation struct {
	Incarnation int64 `cbor:"1,keyasint"`
	// Version is that of the holding under which it was settled: other shards may have used the worker since.
	Version int64 `cbor:"2,keyasint,omitempty"`
	// VM hosts the worker; empty if it is not known.
	VM string `cbor:"3,keyasint,omitempty"`
}

// settledOf returns the settled incarnation of a worker. It reports false if no owner has sent a deadline under the
// worker's id yet. The caller holds mu.
func (s *Shard) settledOf(id string) (incarnation int64, known bool) {
	h, _ := s.heldWorker(id)
	if settled, ok := s.settled[id]; ok && settled.Version == h.Version {
		return settled.Incarnation, true
	}
	return h.Incarnation, h.Version > 0
}

// decodeSettled decodes the record of a settled incarnation. Without it, the incarnation that reports next counts as the
// first one.
func (s *Shard) decodeSettled(r keyedlog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var settled settledIncarnation
	if err := cbor.Unmarshal(r.Value, &settled); err != nil {
		s.log.Error().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("settled incarnation of a worker cannot be decoded")
		settled.Incarnation = -1 // no worker reports it, so the worker counts as restarted
	}
	s.settled[r.Key[len(settledPrefix):]] = settled
}

// settledRecords returns records of the settled incarnations that are not stored yet. The caller holds mu.
func (s *Shard) settledRecords() []keyedlog.Record {
	var records []keyedlog.Record
	for id := range s.unstoredSettled {
		settled, ok := s.settled[id]
		if !ok {
			records = append(records, keyedlog.Record{Key: settledPrefix + id})
			continue
		}
		value, err := cbor.Marshal(settled)
		if err != nil {
			s.log.Error().Err(err).Str("worker", id).Msg("settled incarnation of a worker cannot be encoded")
			continue
		}
		records = append(records, keyedlog.Record{Key: settledPrefix + id, Value: value})
	}
	clear(s.unstoredSettled)
	return records
}

// pruneSettled deletes the settled incarnations of workers that have been gone for so long that no call to them can be
// executed any more. The caller holds mu.
func (s *Shard) pruneSettled(now time.Duration) {
	for id := range s.settled {
		if s.workers[id] != nil || len(s.runsByWorker[id]) > 0 {
			delete(s.absentSince, id)
			continue
		}
		since, absent := s.absentSince[id]
		if !absent {
			s.absentSince[id] = now
		} else if now-since > s.lateLeaseDuration() {
			delete(s.absentSince, id)
			delete(s.settled, id)
			delete(s.usedFences, id)
			s.unstoredSettled[id] = struct{}{}
			signal(s.commitSignal)
		}
	}
}

// settle stores a worker's incarnation and allows starts and leases once that is done. The caller holds mu.
func (s *Shard) settle(w *worker) {
	h, _ := s.heldWorker(w.info.ID)
	s.settled[w.info.ID] = settledIncarnation{Incarnation: w.incarnation, Version: h.Version, VM: w.info.VM}
	s.unstoredSettled[w.info.ID] = struct{}{}
	w.settling = true
	incarnation := w.incarnation
	s.whenStored(func() {
		if w.incarnation != incarnation || s.workers[w.info.ID] != w {
			return
		}
		w.settling, w.settled = false, true
		if w.restartedAt > 0 {
			s.log.Info().Str("worker", w.info.ID).Int64("incarnation", w.incarnation).
				Dur("after", s.deps.Now()-w.restartedAt).Msg("restarted worker takes tasks again")
		}
		s.updateAvailability(w)
		signal(s.planSignal)
	})
}

// settleIfDue settles a restarted worker once a lease that calls for former incarnations may have left there ends no later
// than one that this owner would grant now. The caller holds mu.
func (s *Shard) settleIfDue(w *worker, now time.Duration) {
	if w.settled || w.settling || w.foreignLeaseMs == 0 || w.unreachable {
		return
	}
	if w.clock.Deadline(now, s.deps.Limits.MaxWorkerLease) >= w.foreignLeaseMs {
		s.settle(w)
	}
}

// longestWorkerLease is the longest lease that workers accept.
func (s *Shard) longestWorkerLease() time.Duration {
	return max(s.deps.Limits.LongestWorkerLease, s.deps.Limits.MaxWorkerLease)
}

// raiseFence raises the fence number of a worker above the numbers that its former incarnation has seen, if this owner has
// renewed its ownership since it used the last one. The caller holds mu.
func (s *Shard) raiseFence(w *worker) {
	if number := w.fenceBase + s.auth.FenceNumber(); w.fence <= w.formerFence && number > w.fence {
		w.fence = number
	}
}

// fenceRaised reports whether calls for the worker's former incarnation carry lower fence numbers than new ones.
func (s *Shard) fenceRaised(w *worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.fence > w.formerFence
}

// recordIncarnation applies the incarnation of a report that was requested under a fence number. It reports whether the
// report is the first one which no call for a former incarnation can follow, and whether the report says anything of the
// worker's runs: until then such a call may still start one. The caller holds mu.
func (s *Shard) recordIncarnation(w *worker, report *jobworker.Report, fence int64) (firstFenced, usable bool) {
	switch {
	case !w.adopted && fence <= w.formerFence:
		s.raiseFence(w)
		return false, false
	case !w.adopted:
		// Earlier owners used lower fence numbers, and granted no longer leases than this one does.
		w.grant.Sent(report.ClockMs + s.deps.Limits.MaxWorkerLease.Milliseconds())
		w.incarnation = report.Incarnation
		settled, known := s.settledOf(w.info.ID)
		switch {
		case !known:
			s.settle(w)
		case settled == report.Incarnation:
			w.settled = true
		default:
			s.recordRestart(w, settled)
			s.recordFencedReport(w, report)
		}
		return false, true
	case report.Incarnation != w.incarnation:
		former := w.incarnation
		w.incarnation, w.grant, w.formerFence = report.Incarnation, lease.Grant{}, w.fence
		w.recordedEnd, w.storedEnd, w.ackedEnd = 0, 0, 0
		w.settled, w.settling, w.foreignLeaseMs = false, false, 0
		s.recordRestart(w, former)
		s.raiseFence(w)
		return false, false
	case fence <= w.formerFence:
		s.raiseFence(w)
		return false, false
	case !w.settled && !w.settling && w.foreignLeaseMs == 0:
		s.recordFencedReport(w, report)
		return true, true
	}
	return false, true
}

// recordRestart logs and counts the restart of a worker. The caller holds mu.
func (s *Shard) recordRestart(w *worker, former int64) {
	w.restartedAt = s.deps.Now()
	s.deps.Counters.WorkersRestarted.Inc()
	s.log.Info().Str("worker", w.info.ID).Int64("incarnation", w.incarnation).Int64("former", former).
		Int("runs", len(s.runsByWorker[w.info.ID])).Int64("fence", w.fence).Msg("worker restarted")
}

// cancelRenewal ends the renewal under way, which a former incarnation may have taken, so that the next one shows sooner
// which incarnation answers. The caller holds mu.
func (w *worker) cancelRenewal() {
	if w.renewalCancel != nil {
		w.renewalCancel()
	}
}

// recordFencedReport records, at the first report that no call for a former incarnation can follow, until when a lease
// that such calls left can last. The caller holds mu.
func (s *Shard) recordFencedReport(w *worker, report *jobworker.Report) {
	w.foreignLeaseMs = report.ClockMs + s.longestWorkerLease().Milliseconds()
	w.grant.Sent(w.foreignLeaseMs)
}

// endFormerRuns ends the runs of a restarted worker that its first fenced report does not list. Their starts, also those
// under way, can have no effect any more. The caller holds mu.
func (s *Shard) endFormerRuns(w *worker, report *jobworker.Report) {
	if report.Truncated {
		return // further ends may follow
	}
	listed := make(map[string]int64, len(report.Running)+len(report.Ended))
	for i := range report.Running {
		listed[report.Running[i].Task] = report.Running[i].Run
	}
	for i := range report.Ended {
		listed[report.Ended[i].Task] = report.Ended[i].Run
	}
	for _, r := range s.runsByWorker[w.info.ID] {
		if number, ok := listed[r.name]; r.stage != committing && (!ok || number != r.number) {
			s.endRun(r, jobs.EndLost, "", "its worker restarted")
		}
	}
}

// restartedOutOfReach reports whether a worker seems to have restarted since its newest report: the registry names another
// incarnation, or the response to a start shows another clock. The caller holds mu.
func (s *Shard) restartedOutOfReach(w *worker) bool {
	if w.adopted {
		// A worker that has answered since an entry was read is the one that answered, whatever the entry names.
		return w.otherClockAt > w.reportedAt || w.unfenced() || w.entryAt > w.reportedAt && w.info.Incarnation != w.incarnation
	}
	settled, ok := s.settledOf(w.info.ID)
	return ok && w.info.Incarnation != 0 && w.info.Incarnation != settled
}

// seemsRestarted reports whether a worker seems to have restarted or moved to another address since its newest report, so
// that deadlines and acknowledgements for the incarnation of that report must not be sent. The caller holds mu.
func (w *worker) seemsRestarted() bool { return max(w.entryAt, w.otherClockAt) > w.reportedAt }

// unfenced reports whether calls for a former incarnation may still have an effect on the newest one. The caller holds mu.
func (w *worker) unfenced() bool { return w.formerFence > 0 && w.answeredFence <= w.formerFence }

// lateLeaseDuration is how long after it was sent a call may still leave a lease on an incarnation that it was not meant
// for.
func (s *Shard) lateLeaseDuration() time.Duration {
	return lateCallLimit + s.longestWorkerLease()*100/(100-lease.DriftPercent)
}

// checkClock compares the clock of a start's response with that of the newest report. A lower one shows that another
// incarnation has executed the start. The caller holds mu.
func (s *Shard) checkClock(w *worker, sentAt time.Duration, clockMs int64) {
	if s.workers[w.info.ID] != w || clockMs >= w.clock.Earliest(sentAt)-clockTolerance.Milliseconds() {
		return
	}
	s.log.Info().Str("worker", w.info.ID).Int64("clock_ms", clockMs).Msg("start executed by another incarnation")
	w.otherClockAt = s.deps.Now()
	w.cancelRenewal()
	s.updateAvailability(w)
}

// clockTolerance covers the rounding of clocks.
const clockTolerance = 10 * time.Millisecond
