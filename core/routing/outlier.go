package routing

import (
	"math"
	"slices"
	"time"
)

// Result is how a request to an endpoint ended.
type Result uint8

// Results.
const (
	// ResultOK is an answer; its latency counts.
	ResultOK Result = 1
	// ResultFailed is a broken connection, a timeout or a 5xx answer; it counts towards ejection.
	ResultFailed Result = 2
	// ResultCancelled was ended by this daemon or the caller and says nothing about the endpoint. Its time so
	// far is a lower bound of the latency.
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

// Observe learns from one result; the request may still be in flight while its answer is streamed.
func (p *Pool) Observe(r Ref, now, latency time.Duration, result Result) {
	m := r.m
	if m == nil {
		return
	}
	seconds := latency.Seconds()
	switch result {
	case ResultOK:
		m.failures = 0
		p.learn(m, now, seconds)
		if p.meanSeconds == 0 {
			p.meanSeconds = seconds
		}
		p.meanSeconds += (seconds - p.meanSeconds) / 64
	case ResultFailed:
		m.failures++
		p.learn(m, now, max(seconds, m.latencySeconds))
	case ResultCancelled:
		if seconds > m.latencySeconds {
			p.learn(m, now, seconds)
		}
	}
	if m.gone || m.Leaving || m.ejected {
		return
	}
	if m.failures >= p.settings.FailuresToEject || p.isSlow(m, now) {
		p.eject(m, now)
	}
}

// learn moves the average by 1/8 at least, and further if the last latency is long ago.
func (p *Pool) learn(m *member, now time.Duration, seconds float64) {
	weight := 0.125
	if age := now - m.updated; age > 0 {
		weight = max(weight, 1-math.Exp2(-float64(age)/float64(p.settings.LatencyHalfLife)))
	}
	if m.samples == 0 {
		weight = 1
	}
	m.latencySeconds += weight * (seconds - m.latencySeconds)
	m.updated = now
	m.samples++
}

// isSlow compares an endpoint with the limit that follows from the median.
func (p *Pool) isSlow(m *member, now time.Duration) bool {
	if m.samples < minSamples || m.latencySeconds < p.settings.SlowMinimum.Seconds() {
		return false
	}
	if p.slowLimitSeconds == 0 || now-p.lastSlowCheck >= slowCheckEvery {
		p.lastSlowCheck, p.slowLimitSeconds = now, p.slowLimit()
	}
	return m.latencySeconds > p.slowLimitSeconds
}

// slowCheckEvery bounds how often the median is computed, which costs a sort.
const slowCheckEvery = 100 * time.Millisecond

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
	return max(p.settings.SlowFactor*median, median+p.settings.SlowMinimum.Seconds())
}

// eject takes an endpoint out if the cap allows it.
func (p *Pool) eject(m *member, now time.Duration) {
	if p.ejected >= p.maxEjected() {
		return
	}
	back := p.settings.EjectBase << min(m.ejections, 10)
	m.ejected, m.ejectedUntil = true, now+min(back, p.settings.EjectMax)
	m.ejections++
	m.failures = 0
	p.ejections++
	p.refresh()
}

// bringBack returns the endpoints whose ejection has ended. Their latency starts anew, and their share is small at
// first.
func (p *Pool) bringBack(now time.Duration) {
	for _, m := range p.members {
		switch {
		case m.ejected && now >= m.ejectedUntil:
			m.ejected, m.returning = false, true
			m.samples, m.latencySeconds = 0, 0
		case m.returning && now-m.ejectedUntil > 10*p.settings.ReturnTime:
			// A long time without a further ejection ends the doubling.
			m.returning, m.ejections = false, 0
		}
	}
	p.refresh()
}
