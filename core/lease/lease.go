// Package lease computes when authority and leases have certainly expired, from monotonic clock readings.
//
// Times of the local clock are time.Duration readings of one monotonic clock of the process. Times of a
// worker are milliseconds on the worker's own clock.
package lease

import "time"

// Timing constants of the design's timing table.
const (
	// WorkerLease is how far ahead a renewal sets a worker's lease.
	WorkerLease = 15 * time.Second
	// RenewInterval is the time between renewals; two can be lost within one WorkerLease.
	RenewInterval = 5 * time.Second
	// StartNotAfter is how long a command may be in transit to a worker.
	StartNotAfter = time.Second
	// ControlFreshness is the maximum age, at a task start, of the newest proof of being current on the control stream.
	ControlFreshness = 3 * time.Second
	// HeartbeatInterval is the time between heartbeat records of a member.
	HeartbeatInterval = 2 * time.Second
	// ExpireAfter is how long a heartbeat may be missing before another member expires it.
	ExpireAfter = 6 * time.Second
	// RenewalAuthority is how long an owner may renew leases after its last confirmed heartbeat. Regions are
	// occasionally disconnected for an hour; a shorter time would stop all their tasks.
	RenewalAuthority = 75 * time.Minute
	// ExpiryMargin is added before a lease or authority counts as expired.
	ExpiryMargin = time.Second
	// DriftPercent is the assumed bound on the rate difference of two clocks.
	DriftPercent = 2
)

// WorkerClock estimates a worker's clock from its newest report. The zero value has no observation.
type WorkerClock struct {
	known bool
	// sent and received enclose the moment at which the worker read its clock.
	sent, received time.Duration
	workerMs       int64
}

// Observe records the worker's time from the response to a request, with the local times at which the request was sent
// and the response was received. A worker whose clock went back has restarted, so the older observation is always
// replaced.
func (c *WorkerClock) Observe(sent, received time.Duration, workerMs int64) {
	*c = WorkerClock{known: true, sent: sent, received: received, workerMs: workerMs}
}

// Known reports whether there is an observation.
func (c *WorkerClock) Known() bool { return c.known }

// LowerBound returns a lower bound of the worker's clock at the local time now.
func (c *WorkerClock) LowerBound(now time.Duration) int64 {
	elapsed := now - c.received
	return c.workerMs + (elapsed * (100 - DriftPercent) / 100).Milliseconds()
}

// Earliest returns a lower bound of the worker's clock at the local time at, which may lie before the observation.
func (c *WorkerClock) Earliest(at time.Duration) int64 {
	if at >= c.received {
		return c.LowerBound(at)
	}
	return c.workerMs - ((c.received - at) * (100 + DriftPercent) / 100).Milliseconds() - 1
}

// UpperBound returns an upper bound of the worker's clock at the local time now.
func (c *WorkerClock) UpperBound(now time.Duration) int64 {
	elapsed := now - c.sent
	return c.workerMs + (elapsed * (100 + DriftPercent) / 100).Milliseconds() + 1
}

// Deadline returns the worker time d from now for use in NotAfterMs. It starts from the lower bound, so the
// command is refused at the latest d after now.
func (c *WorkerClock) Deadline(now, d time.Duration) int64 {
	return c.LowerBound(now) + d.Milliseconds()
}

// Grant tracks the latest expiry of all leases ever sent to a worker, answered or not.
type Grant struct {
	untilMs int64
}

// Sent records a renewal that was sent.
func (g *Grant) Sent(untilMs int64) { g.untilMs = max(g.untilMs, untilMs) }

// Expired reports whether every lease granted has certainly expired on the worker's clock.
func (g *Grant) Expired(c *WorkerClock, now time.Duration) bool {
	return g.ExpiredBy(c, now, ExpiryMargin)
}

// ExpiredBy reports whether every lease granted expired at least margin ago on the worker's clock.
func (g *Grant) ExpiredBy(c *WorkerClock, now, margin time.Duration) bool {
	return c.Known() && c.LowerBound(now) > g.untilMs+margin.Milliseconds()
}

// Remaining returns how long from the local time now, by any clock of the assumed drift, it takes at the most until every
// lease granted expired margin ago; false if the worker's clock is not known.
func (g *Grant) Remaining(c *WorkerClock, now, margin time.Duration) (time.Duration, bool) {
	if !c.Known() {
		return 0, false
	}
	const rounding = 2 * time.Millisecond
	left := time.Duration(g.untilMs-c.LowerBound(now))*time.Millisecond + margin + rounding
	return max(0, left*100/(100-DriftPercent)), true
}

// Authority is the right to renew leases, extended by each heartbeat that was read back from the log.
type Authority struct {
	granted bool
	// confirmedSent is the local time at which the newest confirmed heartbeat was sent for appending. Counting from
	// the time it was sent makes the holder's view end before any other's.
	confirmedSent time.Duration
}

// Confirm extends the authority by a heartbeat that was sent at the local time sent.
func (a *Authority) Confirm(sent time.Duration) {
	if !a.granted || sent > a.confirmedSent {
		a.granted, a.confirmedSent = true, sent
	}
}

// Remaining returns for how long from the local time now leases may be granted; it is zero or less if they may not.
func (a *Authority) Remaining(now time.Duration) time.Duration {
	if !a.granted {
		return 0
	}
	return a.confirmedSent + RenewalAuthority - now
}

// AuthorityExpired reports whether the authority of another member, whose last heartbeat was read from the
// log at the local time readAt, and every lease that it could have granted have certainly expired at now.
func AuthorityExpired(readAt, now time.Duration) bool {
	total := RenewalAuthority + WorkerLease + ExpiryMargin
	return now-readAt > total*(100+2*DriftPercent)/100
}
