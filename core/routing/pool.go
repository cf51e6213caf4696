package routing

import (
	"math/rand/v2"
	"time"
)

// Target is one endpoint that a Pool may choose.
type Target struct {
	// ID is unique in the pool; an endpoint that restarted has a new one.
	ID string
	// Leaving is set for endpoints that get no new requests.
	Leaving bool
}

// Settings configures a Pool.
type Settings struct {
	// Samples is the number of endpoints that are compared for each choice.
	Samples int
	// MaxInFlight limits the requests in flight from this daemon to one endpoint. The three daemons of a zone share
	// the 64 connections of a worker.
	MaxInFlight int
	// LatencyHalfLife is the time after which a latency has half its weight if no new one is recorded.
	LatencyHalfLife time.Duration
	// MaxEjectedPercent limits the ejected share of the endpoints.
	MaxEjectedPercent int
	// FailuresToEject is the number of consecutive failures after which an endpoint is ejected.
	FailuresToEject int
	// SlowFactor ejects an endpoint whose recent latency exceeds that of the median endpoint by this factor,
	// and by at least MinSlowExcess.
	SlowFactor    float64
	MinSlowExcess time.Duration
	// BaseEjectionTime is the first ejection time; it doubles with each further ejection up to MaxEjectionTime.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// SlowStartWindow is how long an endpoint takes from the end of its ejection to its full share of requests.
	SlowStartWindow time.Duration
}

// DefaultSettings returns the settings that the daemons use.
func DefaultSettings() Settings {
	return Settings{Samples: 4, MaxInFlight: 20, LatencyHalfLife: 2 * time.Second, MaxEjectedPercent: 20,
		FailuresToEject: 5, SlowFactor: 4, MinSlowExcess: 20 * time.Millisecond, BaseEjectionTime: 5 * time.Second,
		MaxEjectionTime: time.Minute, SlowStartWindow: 10 * time.Second}
}

// member is the state of one endpoint.
type member struct {
	Target
	// inFlight is the number of requests from this daemon that have not ended.
	inFlight int
	// latencySeconds is the moving average; 0 until the first request has ended.
	latencySeconds float64
	updatedAt      time.Duration
	samples        int
	failures       int
	ejections      int
	// An ejection lasts until ejectedUntil; afterwards the share of requests grows for SlowStartWindow. readmitted is
	// set from then on until ejections is reset.
	ejected      bool
	ejectedUntil time.Duration
	readmitted   bool
	removed      bool
}

// Ref refers to a chosen endpoint until its request has ended.
type Ref struct{ m *member }

// ID returns the endpoint's id, or "" for the zero Ref.
func (r Ref) ID() string {
	if r.m == nil {
		return ""
	}
	return r.m.ID
}

// Pool is the set of endpoints of one service in one zone.
type Pool struct {
	settings Settings
	members  []*member
	// usable holds the members that may be chosen: not leaving and not ejected.
	usable     []*member
	ejected    int
	nextReturn time.Duration // earliest end of an ejection, 0 without one
	scratch    []float64
	// ejections is the number of ejections since the pool was created.
	ejections int64
	inFlight  int
	// meanSeconds is the moving average of all endpoints' latencies.
	meanSeconds float64
	// slowLimitSeconds is the latency above which endpoints are slow, as of lastSlowCheck.
	slowLimitSeconds float64
	lastSlowCheck    time.Duration
}

// NewPool returns an empty pool.
func NewPool(s Settings) *Pool { return &Pool{settings: s} }

// Update replaces the targets and keeps the state of those that remain.
func (p *Pool) Update(targets []Target) {
	old := make(map[string]*member, len(p.members))
	for _, m := range p.members {
		old[m.ID] = m
		m.removed = true
	}
	p.members = p.members[:0:0]
	for _, t := range targets {
		m := old[t.ID]
		if m == nil {
			m = &member{}
		} else if !m.removed {
			continue // listed twice
		}
		leaving := t.Leaving || m.Leaving // an endpoint that announced that it is leaving stays excluded
		m.Target, m.removed = t, false
		m.Leaving = leaving
		p.members = append(p.members, m)
		old[t.ID] = m
	}
	p.refresh()
}

// MarkLeaving stops new requests to an endpoint that announced that it is leaving.
func (p *Pool) MarkLeaving(r Ref) {
	if r.m != nil {
		r.m.Leaving = true
		p.refresh()
	}
}

// refresh recomputes the usable members after a change. It ends ejections beyond the cap.
func (p *Pool) refresh() {
	p.usable, p.ejected, p.nextReturn = p.usable[:0], 0, 0
	for _, m := range p.members {
		if m.Leaving {
			continue
		}
		if m.ejected && p.ejected < p.maxEjected() {
			p.ejected++
			if p.nextReturn == 0 || m.ejectedUntil < p.nextReturn {
				p.nextReturn = m.ejectedUntil
			}
			continue
		}
		m.ejected = false
		p.usable = append(p.usable, m)
	}
}

// maxEjected returns how many of the members that are not leaving may be ejected, which is never all of them.
func (p *Pool) maxEjected() int {
	n := 0
	for _, m := range p.members {
		if !m.Leaving {
			n++
		}
	}
	return min(n*p.settings.MaxEjectedPercent/100, max(0, n-1))
}

// Len returns the number of endpoints.
func (p *Pool) Len() int { return len(p.members) }

// Usable returns the number of endpoints that may be chosen.
func (p *Pool) Usable() int { return len(p.usable) }

// Ejected returns the number of endpoints that are ejected now.
func (p *Pool) Ejected() int { return p.ejected }

// Ejections returns the number of ejections since the pool was created.
func (p *Pool) Ejections() int64 { return p.ejections }

// InFlight returns the number of requests in flight to all endpoints.
func (p *Pool) InFlight() int { return p.inFlight }

// Slots returns how many requests may be in flight to the usable endpoints.
func (p *Pool) Slots() int { return len(p.usable) * p.settings.MaxInFlight }

// Pick chooses the least loaded of a few sampled endpoints and counts a request in flight to it. Endpoints in
// avoid are not chosen. It returns false if every other endpoint is at its limit of requests in flight.
func (p *Pool) Pick(now time.Duration, random *rand.Rand, avoid ...Ref) (Ref, bool) {
	if p.nextReturn != 0 && now >= p.nextReturn {
		p.readmit(now)
	}
	n := len(p.usable)
	if n == 0 {
		return Ref{}, false
	}
	var best *member
	bestScore := 0.0
	for range p.settings.Samples {
		best, bestScore = p.bestOf(best, bestScore, p.usable[random.IntN(n)], now, avoid)
	}
	if best == nil {
		best = p.scanAll(now, random.IntN(n), avoid)
	}
	if best == nil {
		return Ref{}, false
	}
	best.inFlight++
	p.inFlight++
	return Ref{best}, true
}

// scanAll compares all endpoints, for the case that no sampled one may be chosen.
func (p *Pool) scanAll(now time.Duration, start int, avoid []Ref) *member {
	var best *member
	score := 0.0
	for i := range p.usable {
		best, score = p.bestOf(best, score, p.usable[(start+i)%len(p.usable)], now, avoid)
	}
	return best
}

// bestOf returns m if it may be chosen and has a lower score than best, otherwise best.
func (p *Pool) bestOf(best *member, bestScore float64, m *member, now time.Duration, avoid []Ref) (*member, float64) {
	if m == best || m.inFlight >= p.settings.MaxInFlight {
		return best, bestScore
	}
	for _, r := range avoid {
		if r.m == m {
			return best, bestScore
		}
	}
	if score := p.score(m, now); best == nil || score < bestScore {
		return m, score
	}
	return best, bestScore
}

// score returns the expected time until a further request would end, raised during the slow start.
func (p *Pool) score(m *member, now time.Duration) float64 {
	// An endpoint without a latency gets the mean: if it counted as fast, it would be flooded until its first
	// answer.
	latency := p.meanSeconds
	if m.samples > 0 {
		latency = m.latencySeconds
		// An old latency decays towards half the mean. With a limit at or above the mean, an endpoint that was
		// once slow would not be tried again while the load is low.
		if age := now - m.updatedAt; age > p.settings.LatencyHalfLife {
			limit := p.meanSeconds / 2
			latency = limit + (latency-limit)*float64(p.settings.LatencyHalfLife)/float64(age)
		}
	}
	// Failures raise the score, so that an endpoint that fails fast does not attract requests.
	score := float64(m.inFlight+1) * (latency + minLatencySeconds) * float64(1+m.failures)
	if m.readmitted {
		progress := float64(now-m.ejectedUntil) / float64(p.settings.SlowStartWindow)
		if progress < 1 {
			score /= max(progress, 0.05)
		}
	}
	return score
}

// minLatencySeconds lets the requests in flight decide between endpoints without a latency.
const minLatencySeconds = 50e-6
