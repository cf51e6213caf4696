package shard

import "time"

// EarlierLeases tells when the leases that earlier owners granted to workers have certainly expired.
type EarlierLeases struct {
	// All is when those of all workers have expired.
	All time.Duration
	// ByWorker is when those of some workers have expired, by the worker's id.
	ByWorker map[string]time.Duration
}

// expiry returns when the leases that earlier owners granted to a worker have certainly expired.
func (l *EarlierLeases) expiry(worker string) time.Duration {
	if at, ok := l.ByWorker[worker]; ok {
		return at
	}
	return l.All
}

// LeaseExpiry returns, by the worker's id, when the leases that this and earlier owners granted to the workers that this
// owner does not reach have certainly expired. The next owner then need not wait for leases that it knows nothing of from
// its own claim on. Run must have returned.
func (s *Shard) LeaseExpiry() map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]time.Duration{}
	for id := range s.earlierLeases.ByWorker {
		s.addLeaseExpiry(id, out)
	}
	for id := range s.runsByWorker {
		s.addLeaseExpiry(id, out)
	}
	return out
}

// addLeaseExpiry adds when a worker's leases have expired, unless the worker is within reach. The caller holds mu.
func (s *Shard) addLeaseExpiry(id string, to map[string]time.Duration) {
	w := s.workers[id]
	switch {
	case w == nil:
		to[id] = s.earlierLeases.expiry(id)
	case !w.adopted:
		to[id] = s.earlierLeaseExpiry(w)
	case w.unreachable, !w.settled, s.restartedOutOfReach(w):
		now := s.deps.Now()
		if left, ok := w.grant.Remaining(&w.clock, now, leaseExpiryMargin); ok {
			to[id] = now + left
			if s.restartedOutOfReach(w) {
				to[id] = w.deadlineSentAt + s.lateLeaseDuration()
			}
		}
	}
}
