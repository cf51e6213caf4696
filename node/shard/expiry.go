package shard

import (
	"time"

	"waxwingslip.example/core/jobs"
)

// expireWorkerLeases ends the runs on unreachable workers whose leases have expired. The caller holds mu.
func (s *Shard) expireWorkerLeases(now time.Duration) {
	for id, w := range s.workers {
		s.settleIfDue(w, now)
		s.updateAvailability(w)
		if !w.unreachable {
			continue
		}
		if len(s.runsByWorker[id]) > 0 && s.replaced(w) {
			s.endLostRuns(w, "its VM runs a new worker")
		}
		if w.failedSentAt >= s.stalledAt && s.leaseExpired(w, now) {
			s.endLostRuns(w, "its lease lapsed")
			if !w.registered {
				w.cancel()
				s.usedFences[id] = w.fence
				delete(s.workers, id)
				s.fleet.Remove(id)
				s.log.Info().Str("worker", id).Msg("worker removed")
			}
		} else if w.failedSentAt >= s.stalledAt && w.adopted && w.grant.ExpiredBy(&w.clock, now, leaseExpiryMargin) {
			s.endConfirmedRuns(w)
		}
	}
	for id, workerRuns := range s.runsByWorker {
		if s.workers[id] != nil {
			continue
		}
		reason := "its worker is not known and its lease has lapsed"
		if now < s.earlierLeases.expiry(id) {
			// The entry of the worker has left the registry, but its VM is stored with its settled incarnation.
			if settled := s.settled[id]; !s.runsNewerWorker(settled.VM, settled.Incarnation) {
				continue
			}
			reason = "its VM runs a new worker"
		}
		for _, r := range workerRuns {
			if r.stage != committing {
				s.endRun(r, jobs.EndLost, "", reason)
			}
		}
	}
}

// replaced reports whether the VM of an unreachable worker runs a newer one, which has itself reported to this owner. An
// entry in the registry alone proves nothing: other writers may add some. The caller holds mu.
func (s *Shard) replaced(w *worker) bool {
	return s.runsNewerWorker(w.info.VM, max(w.incarnation, w.info.Incarnation))
}

// runsNewerWorker reports whether a worker with a later incarnation has reported from a VM. The caller holds mu.
func (s *Shard) runsNewerWorker(vm string, incarnation int64) bool {
	if vm == "" {
		return false
	}
	for _, w := range s.workers {
		if w.info.VM == vm && w.adopted && !w.unreachable && w.incarnation > incarnation {
			return true
		}
	}
	return false
}

func (s *Shard) leaseExpired(w *worker, now time.Duration) bool {
	if !w.adopted {
		return now >= s.earlierLeaseExpiry(w)
	}
	if s.restartedOutOfReach(w) {
		return now >= w.deadlineSentAt+s.lateLeaseDuration()
	}
	return w.grant.ExpiredBy(&w.clock, now, leaseExpiryMargin)
}

// earlierLeaseExpiry returns when the leases that earlier owners granted to a worker, or that their late calls left, have
// certainly expired. The caller holds mu.
func (s *Shard) earlierLeaseExpiry(w *worker) time.Duration {
	at := s.earlierLeases.expiry(w.info.ID)
	if s.restartedOutOfReach(w) {
		// Earlier owners sent their last deadline MaxWorkerLease before All at the latest.
		at = max(at, s.earlierLeases.All-s.deps.Limits.MaxWorkerLease+s.lateLeaseDuration())
	}
	return at
}

// endConfirmedRuns ends the runs on a worker that seems to have restarted which a report has listed and whose start was sent
// once: no call can start them on another incarnation, and the lease of the one that ran them has expired. The caller holds
// mu.
func (s *Shard) endConfirmedRuns(w *worker) {
	for _, r := range s.runsByWorker[w.info.ID] {
		if r.startAttempts == 1 && r.listed && r.stage != committing {
			s.endRun(r, jobs.EndLost, "", "its worker restarted, or its lease lapsed")
		}
	}
}

// endLostRuns ends all runs of a worker that no longer runs anything. The caller holds mu.
func (s *Shard) endLostRuns(w *worker, reason string) {
	for _, r := range s.runsByWorker[w.info.ID] {
		if r.stage != committing {
			s.endRun(r, jobs.EndLost, "", reason)
		}
	}
}
