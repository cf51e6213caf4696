package telemetry

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Counter is a cumulative count. It is safe for concurrent use and does not allocate.
type Counter struct{ value expvar.Int }

// Add adds n.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Inc adds one.
func (c *Counter) Inc() { c.value.Add(1) }

// Value returns the current count.
func (c *Counter) Value() int64 { return c.value.Value() }

// String implements expvar.Var.
func (c *Counter) String() string { return c.value.String() }

// Gauge holds the latest value of a quantity. It is safe for concurrent use and does not allocate.
type Gauge struct{ value expvar.Int }

// Set replaces the value.
func (g *Gauge) Set(v int64) { g.value.Set(v) }

// Add changes the value by n.
func (g *Gauge) Add(n int64) { g.value.Add(n) }

// Value returns the latest value.
func (g *Gauge) Value() int64 { return g.value.Value() }

// String implements expvar.Var.
func (g *Gauge) String() string { return g.value.String() }

const (
	// maxLatencyUs is the largest latency that a histogram records, ten minutes; longer ones are recorded as this.
	maxLatencyUs = int64(10 * time.Minute / time.Microsecond)
	// latencySignificantDigits keeps the error below 1%; each of the two windows takes 25 KB.
	latencySignificantDigits = 2
	// histogramWindow is the length of a window; a histogram keeps the current and the previous one.
	histogramWindow = time.Minute
)

// Histogram is a distribution of latencies over the last one to two windows. It is safe for concurrent use and
// recording does not allocate.
type Histogram struct {
	now func() time.Time

	mu           sync.Mutex // guards the fields below
	currentSince time.Time  // start of the current window
	current      *hdrhistogram.Histogram
	previous     *hdrhistogram.Histogram
	total        int64
}

func newHistogram(now func() time.Time) *Histogram {
	return &Histogram{
		now: now, currentSince: now(),
		current:  hdrhistogram.New(1, maxLatencyUs, latencySignificantDigits),
		previous: hdrhistogram.New(1, maxLatencyUs, latencySignificantDigits),
	}
}

// Record adds a latency.
func (h *Histogram) Record(d time.Duration) {
	us := min(max(d.Microseconds(), 0), maxLatencyUs)
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	h.total++
	_ = h.current.RecordValue(us) // cannot fail: us is within the range
}

// rotate starts a new window if the current one has ended. The caller holds mu.
func (h *Histogram) rotate(now time.Time) {
	age := now.Sub(h.currentSince)
	if age < histogramWindow {
		return
	}
	h.current, h.previous = h.previous, h.current
	h.current.Reset()
	if age >= 2*histogramWindow {
		h.previous.Reset()
	}
	h.currentSince = now
}

// Summary holds the counts and percentiles of a Histogram. All times are in microseconds.
type Summary struct {
	// Total is the number of latencies since the start of the process, Count the number in the last one to two windows.
	Total int64 `json:"total"`
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"max"`
}

// Summary summarises the distribution of the last one to two windows.
func (h *Histogram) Summary() Summary {
	now := h.now()
	h.mu.Lock()
	h.rotate(now)
	merged, total := h.current.Clone(), h.total
	merged.Merge(h.previous)
	h.mu.Unlock()
	q := merged.ValueAtPercentilesSlice([]float64{50, 95, 99, 99.9})
	return Summary{
		Total: total, Count: merged.TotalCount(), P50: q[0], P95: q[1], P99: q[2], P999: q[3], Max: merged.Max(),
	}
}

// String implements expvar.Var.
func (h *Histogram) String() string { return expvar.Func(func() any { return h.Summary() }).String() }

// Registry holds one metric for each row of Table.
type Registry struct {
	counters   map[string]*Counter
	gauges     map[string]*Gauge
	histograms map[string]*Histogram
	unknown    *Counter
	vars       expvar.Map
}

// New returns a Registry with all values at zero.
func New(now func() time.Time) *Registry {
	r := &Registry{counters: map[string]*Counter{}, gauges: map[string]*Gauge{}, histograms: map[string]*Histogram{}}
	r.vars.Init()
	for _, m := range Table {
		switch m.Type {
		case TypeCounter:
			r.counters[m.Name] = &Counter{}
			r.vars.Set(m.Name, r.counters[m.Name])
		case TypeGauge:
			r.gauges[m.Name] = &Gauge{}
			r.vars.Set(m.Name, r.gauges[m.Name])
		case TypeHistogram:
			r.histograms[m.Name] = newHistogram(now)
			r.vars.Set(m.Name, r.histograms[m.Name])
		}
	}
	r.unknown = r.counters["telemetry_unknown_names"]
	return r
}

// Counter returns the counter with the name. It panics if Table has none, which is a programming error that
// shows when the daemon starts.
func (r *Registry) Counter(name string) *Counter { return lookup(r.counters, name) }

// Gauge is like Counter for gauges.
func (r *Registry) Gauge(name string) *Gauge { return lookup(r.gauges, name) }

// Histogram is like Counter for histograms.
func (r *Registry) Histogram(name string) *Histogram { return lookup(r.histograms, name) }

func lookup[T any](m map[string]*T, name string) *T {
	v, ok := m[name]
	if !ok {
		panic(errors.Errorf("telemetry: metric %q is not in the table", name))
	}
	return v
}

// Count increments the counter with the name, for callers that do not hold a Counter. A name that is not in Table
// increments telemetry_unknown_names instead.
func (r *Registry) Count(name string) {
	c, ok := r.counters[name]
	if !ok {
		c = r.unknown
	}
	c.Inc()
}

// String returns all metrics as a JSON object, so a Registry is an expvar.Var.
func (r *Registry) String() string { return r.vars.String() }
