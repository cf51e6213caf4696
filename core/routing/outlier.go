package routing

import (
	"math"
	"slices"
	"time"
)

// Result is how a request to an endpoint ended.
type Result uint8

// Results of a request.
const (
	// ResultOK is an answer; its latency is recorded.
	ResultOK Result = 1
	// ResultFailed is a broken connection, a timeout or a 5xx answer; it counts towards ejection.
	ResultFailed Result = 2
	// ResultCancelled is a request that this daemon or the caller ended. It counts neither for nor against the
	// endpoint; its time so far is a lower bound of the latency.
	ResultCancelled Result = 3
)

// minSamples is how many latencies an endpoint needs before it can be called slow.
const minSamples = 10

// Done ends a request that Pick started. latency is the time to the answer's header.
func (p *Pool) Done(r Ref, now, latency time.Duration, result Result) {
	p.Release(r)
	p.Observe(r, now, latency, result)
}

// Release ends a request that Pick started, without a result.
func (p *Pool) Release(r Ref) {
	if r.m != nil {
		r.m.inFlight--
		p.inFlight--
	}
}

// Observe records one result; the request may still be in flight while its answer is streamed.
func (p *Pool) Observe(r Ref, now, latency time.Duration, result Result) {
	m := r.m
	if m == nil {
		return
	}
	seconds := latency.Seconds()
	switch result {
	case ResultOK:
		m.failures = 0
		p.updateLatency(m, now, seconds)
		if p.meanSeconds == 0 {
			p.meanSeconds = seconds
		}
		p.meanSeconds += (seconds - p.meanSeconds) / 64
	case ResultFailed:
		m.failures++
		p.updateLatency(m, now, max(seconds, m.latencySeconds))
	case ResultCancelled:
		if seconds > m.latencySeconds {
			p.updateLatency(m, now, seconds)
		}
	}
	if m.removed || m.Leaving || m.ejected {
		return
	}
	if m.failures >= p.settings.FailuresToEject || p.isSlow(m, now) {
		p.eject(m, now)
	}
}

// updateLatency moves the average by at least 1/8 of the difference, and by more if the last latency is old.
func (p *Pool) updateLatency(m *member, now time.Duration, seconds float64) {
	weight := 0.125
	if age := now - m.updatedAt; age > 0 {
		weight = max(weight, 1-math.Exp2(-float64(age)/float64(p.settings.LatencyHalfLife)))
	}
	if m.samples == 0 {
		weight = 1
	}
	m.latencySeconds += weight * (seconds - m.latencySeconds)
	m.updatedAt = now
	m.samples++
}

// isSlow reports whether an endpoint's latency exceeds the limit derived from the median.
func (p *Pool) isSlow(m *member, now time.Duration) bool {
	if m.samples < minSamples || m.latencySeconds < p.settings.MinSlowExcess.Seconds() {
		return false
	}
	if p.slowLimitSeconds == 0 || now-p.lastSlowCheck >= slowCheckInterval {
		p.lastSlowCheck, p.slowLimitSeconds = now, p.slowLimit()
	}
	return m.latencySeconds > p.slowLimitSeconds
}

// slowCheckInterval is the minimum time between two computations of the median, each of which sorts the latencies.
const slowCheckInterval = 100 * time.Millisecond

// slowLimit returns the latency in seconds above which an endpoint is slow. It is +Inf if fewer than 3
// usable endpoints have minSamples latencies.
func (p *Pool) slowLimit() float64 {
	p.scratch = p.scratch[:0]
	for _, other := range p.usable {
		if other.samples >= minSamples {
			p.scratch = append(p.scratch, other.latencySeconds)
		}
	}
	if len(p.scratch) < 3 {
		return math.Inf(1)
	}
	slices.Sort(p.scratch)
	median := p.scratch[len(p.scratch)/2]
	return max(p.settings.SlowFactor*median, median+p.settings.MinSlowExcess.Seconds())
}

// eject stops new requests to an endpoint for a time, unless the cap of ejections is reached.
func (p *Pool) eject(m *member, now time.Duration) {
	if p.ejected >= p.maxEjected() {
		return
	}
	ejectionTime := p.settings.BaseEjectionTime << min(m.ejections, 10)
	m.ejected, m.ejectedUntil = true, now+min(ejectionTime, p.settings.MaxEjectionTime)
	m.ejections++
	m.failures = 0
	p.ejections++
	p.refresh()
}

// readmit makes endpoints usable again whose ejection has ended. Their latency is reset and their share of requests
// starts small.
func (p *Pool) readmit(now time.Duration) {
	for _, m := range p.members {
		switch {
		case m.ejected && now >= m.ejectedUntil:
			m.ejected, m.readmitted = false, true
			m.samples, m.latencySeconds = 0, 0
		case m.readmitted && now-m.ejectedUntil > 10*p.settings.SlowStartWindow:
			// After a long time without an ejection the next one has the base time again.
			m.readmitted, m.ejections = false, 0
		}
	}
	p.refresh()
}
