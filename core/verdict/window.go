package verdict

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxTrackedMicros is the longest time that histograms resolve; longer ones count as this.
const maxTrackedMicros = int64(120 * time.Second / time.Microsecond)

// Quantiles are times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Window collects the requests of one service in one time window. It takes about 10 KB for any number of requests. It
// is not safe for concurrent use.
type Window struct {
	target                  time.Duration
	limits                  Limits
	wait, network, endpoint *hdrhistogram.Histogram
	requests, slow          int
	excess                  excessByCause // of slow requests
	// lastExpectation is the newest one, for the evidence; the sums are over all requests, for means.
	lastExpectation                  Expectation
	baselineSumMs, baselineSampleSum float64
	missing                          map[string]int
}

// NewWindow returns an empty window for a service with a latency target.
func NewWindow(target time.Duration, l Limits) *Window {
	return &Window{target: target, limits: l, wait: newHistogram(), network: newHistogram(), endpoint: newHistogram(), missing: map[string]int{}}
}

// newHistogram returns a histogram with one significant digit, about 3 KB; verdicts need no finer quantiles.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxTrackedMicros, 1) }

func recordClamped(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range of the histogram, so that no error is possible.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxTrackedMicros))
}

// Add counts one request.
func (w *Window) Add(t Timing, e Expectation) {
	recordClamped(w.wait, t.Wait)
	recordClamped(w.network, t.Network)
	recordClamped(w.endpoint, t.Endpoint)
	w.requests++
	w.lastExpectation = e
	w.baselineSumMs += ms(e.TimeAtLoad)
	w.baselineSampleSum += e.Samples
	if t.Total() <= w.target {
		return
	}
	w.slow++
	x, missing := attributeExcess(t, &e, &w.limits)
	for c := range x {
		w.excess[c] += x[c]
	}
	if missing != "" {
		w.missing[missing]++
	}
}

// Verdict returns the verdict for the window. With too few requests the cause is Unknown.
func (w *Window) Verdict() Verdict {
	ev := Evidence{Requests: w.requests, Slow: w.slow}
	if w.requests == 0 {
		ev.Missing = "no requests"
		return Verdict{Evidence: ev}
	}
	ev.Wait, ev.Network, ev.Endpoint = quantiles(w.wait), quantiles(w.network), quantiles(w.endpoint)
	ev.BaselineMs, ev.BaselineSamples = w.baselineSumMs/float64(w.requests), w.baselineSampleSum/float64(w.requests)
	ev.Neighbours, ev.StallPermille = w.lastExpectation.Neighbours, w.lastExpectation.StallPermille
	ev.Missing = w.mostFrequentMissing()
	// The target is for the 99th percentile: up to 1% of the requests may be slower.
	if w.slow*100 <= w.requests {
		return Verdict{Evidence: ev}
	}
	if w.requests < w.limits.MinRequests || w.slow < w.limits.MinSlow {
		ev.Missing = "too few requests"
		return Verdict{Slow: true, Evidence: ev}
	}
	return conclude(w.excess, ev, &w.limits)
}

func (w *Window) mostFrequentMissing() string {
	most := ""
	for reason, n := range w.missing {
		if most == "" || n > w.missing[most] || n == w.missing[most] && reason < most {
			most = reason
		}
	}
	return most
}

func quantiles(h *hdrhistogram.Histogram) *Quantiles {
	return &Quantiles{P50: float64(h.ValueAtQuantile(50)) / 1000, P99: float64(h.ValueAtQuantile(99)) / 1000}
}
