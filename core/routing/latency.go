package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Two windows are rotated, so that quantiles cover the last 5 to 10 s.
const (
	latencyWindow = 5 * time.Second
	// minQuantileCount is the number of records below which no quantiles are computed.
	minQuantileCount = 100
	maxLatency       = 10 * time.Minute
)

// Latency tracks the recent latency of one service.
type Latency struct {
	current, previous *hdrhistogram.Histogram
	windowStart       time.Duration
	// p95 and median are cached; they are recomputed every recordsPerRefresh records.
	p95, median  time.Duration
	sinceRefresh int
	hasQuantiles bool
}

// recordsPerRefresh bounds the cost of quantiles: computing them takes some ten microseconds.
const recordsPerRefresh = 64

// NewLatency returns a tracker without data.
func NewLatency(now time.Duration) *Latency {
	return &Latency{current: newHistogram(), previous: newHistogram(), windowStart: now}
}

// With two significant digits, a histogram of microseconds up to ten minutes takes about 45 KB.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Microseconds(), 2) }

// Record adds one latency.
func (l *Latency) Record(now, latency time.Duration) {
	if now-l.windowStart >= latencyWindow {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		if now-l.windowStart >= 2*latencyWindow {
			l.previous.Reset()
		}
		l.windowStart, l.sinceRefresh = now, recordsPerRefresh
	}
	_ = l.current.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds())
	if l.sinceRefresh++; l.sinceRefresh >= recordsPerRefresh {
		l.refresh()
	}
}

func (l *Latency) refresh() {
	l.sinceRefresh = 0
	h := l.previous
	if l.current.TotalCount() >= minQuantileCount || h.TotalCount() < l.current.TotalCount() {
		h = l.current
	}
	if l.hasQuantiles = h.TotalCount() >= minQuantileCount; l.hasQuantiles {
		l.p95 = time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
		l.median = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	}
}

// P95 returns the 95th percentile, or false without enough data.
func (l *Latency) P95() (time.Duration, bool) { return l.p95, l.hasQuantiles }

// Median returns the 50th percentile, or false without enough data.
func (l *Latency) Median() (time.Duration, bool) { return l.median, l.hasQuantiles }
