package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency windows: two of them are rotated, so that quantiles cover the last 5 to 10 s.
const (
	latencyWindow = 5 * time.Second
	// minQuantileCount is the least count from which quantiles are taken.
	minQuantileCount = 100
	maxLatency       = 10 * time.Minute
)

// Latency tracks the recent latency of one service.
type Latency struct {
	current, previous *hdrhistogram.Histogram
	started           time.Duration
	// p95 and median are cached; they are recomputed every refreshEvery records.
	p95, median time.Duration
	sinceCached int
	known       bool
}

// refreshEvery bounds the cost of quantiles: reading them takes some ten microseconds.
const refreshEvery = 64

// NewLatency returns a tracker without data.
func NewLatency(now time.Duration) *Latency {
	return &Latency{current: newHistogram(), previous: newHistogram(), started: now}
}

// Two significant digits take about 45 KB a histogram for microseconds up to ten minutes.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Microseconds(), 2) }

// Record adds one latency.
func (l *Latency) Record(now, latency time.Duration) {
	if now-l.started >= latencyWindow {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		if now-l.started >= 2*latencyWindow {
			l.previous.Reset()
		}
		l.started, l.sinceCached = now, refreshEvery
	}
	_ = l.current.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds())
	if l.sinceCached++; l.sinceCached >= refreshEvery {
		l.refresh()
	}
}

func (l *Latency) refresh() {
	l.sinceCached = 0
	h := l.previous
	if l.current.TotalCount() >= minQuantileCount || h.TotalCount() < l.current.TotalCount() {
		h = l.current
	}
	if l.known = h.TotalCount() >= minQuantileCount; l.known {
		l.p95 = time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
		l.median = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	}
}

// P95 returns the 95th percentile, or false without enough data.
func (l *Latency) P95() (time.Duration, bool) { return l.p95, l.known }

// Median returns the 50th percentile, or false without enough data.
func (l *Latency) Median() (time.Duration, bool) { return l.median, l.known }
