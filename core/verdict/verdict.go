// Package verdict determines why requests are slow: the network, the neighbours on a VM, the service's own load, or
// unknown, with the evidence for it.
//
// The package does no I/O and reads no clock.
package verdict

import (
	"fmt"
	"time"
)

// Cause is why a request or a service is slow.
type Cause uint8

// Causes. Unknown is also the cause of requests and services that are not slow.
const (
	Unknown Cause = iota
	Network
	Neighbours
	OwnLoad
	causeCount
)

// String returns the cause's name.
func (c Cause) String() string {
	switch c {
	case Network:
		return "network"
	case Neighbours:
		return "neighbours"
	case OwnLoad:
		return "own load"
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// Timing splits the duration of one request.
type Timing struct {
	// Wait is the time in the daemon's queue, Network the time between daemons and to the endpoint and back,
	// Endpoint the time that the endpoint took.
	Wait, Network, Endpoint time.Duration
}

// Total returns the duration of the request.
func (t Timing) Total() time.Duration { return t.Wait + t.Network + t.Endpoint }

// Neighbour is a class that shares the endpoint's VM.
type Neighbour struct {
	Class string `json:"class"`
	// Load is its processor use as a share of the VM.
	Load float64 `json:"load"`
	// Slowdown is the learned slowdown that it causes at this load, 0 for none; Confidence is between 0 and 1.
	Slowdown   float64 `json:"slowdown"`
	Confidence float64 `json:"confidence"`
}

// Expectation holds the usual times for a request and the state of its endpoint.
type Expectation struct {
	// Wait and Network are the usual times for the route of the request.
	Wait, Network time.Duration
	// TimeAtUsualLoad and TimeAtLoad are the endpoint's time without neighbours at its usual load and at the load
	// during the request; Samples is the weight of the samples that they are estimated from.
	TimeAtUsualLoad, TimeAtLoad time.Duration
	Samples                     float64
	// Neighbours are those of the newest report, which was measured ReportAge before the request.
	Neighbours []Neighbour
	ReportAge  time.Duration
	// StallPermille is the endpoint's own share of time waiting for contended resources, in thousandths.
	StallPermille int64
}

// Limits sets how much evidence a verdict needs.
type Limits struct {
	// MinBaseline is the weight of baseline samples below which the endpoint's time counts as Unknown.
	MinBaseline float64
	// MaxReportAge is the age beyond which the neighbours of a report are no evidence for a request.
	MaxReportAge time.Duration
	// MinSlowdown and MinConfidence are the minimum slowdown and confidence with which a neighbour counts as a cause.
	MinSlowdown, MinConfidence float64
	// MinStallPermille is the stall share that is sufficient evidence of contention on its own.
	MinStallPermille int64
	// MainShare is the share of the excess that the named cause must explain.
	MainShare float64
	// MinRequests and MinSlow are the counts that a window needs for a verdict.
	MinRequests, MinSlow int
}

// DefaultLimits returns the limits that the daemons use. MaxReportAge allows for two reports, which arrive
// every 5 s and lag by as much.
func DefaultLimits() Limits {
	return Limits{
		MinBaseline: 5, MaxReportAge: 20 * time.Second, MinSlowdown: 0.1, MinConfidence: 0.3,
		MinStallPermille: 100, MainShare: 0.5, MinRequests: 20, MinSlow: 5,
	}
}

// Evidence holds the measurements behind a verdict.
type Evidence struct {
	Requests int `json:"requests"`
	Slow     int `json:"slow"`
	// ExcessMs is the time beyond the expected, by cause, summed over the slow requests, in milliseconds.
	ExcessMs map[string]float64 `json:"excessMs,omitempty"`
	// Wait, Network and Endpoint are quantiles over all requests of a window.
	Wait     *Quantiles `json:"wait,omitempty"`
	Network  *Quantiles `json:"network,omitempty"`
	Endpoint *Quantiles `json:"endpoint,omitempty"`
	// BaselineMs is the expected time of the endpoint without neighbours at the same load, in milliseconds.
	BaselineMs      float64     `json:"aloneMs,omitempty"`
	BaselineSamples float64     `json:"baselineSamples"`
	Neighbours      []Neighbour `json:"neighbours,omitempty"`
	StallPermille   int64       `json:"stallPermille,omitempty"`
	// Missing is the reason why the endpoint's time could not be explained.
	Missing string `json:"missing,omitempty"`
}

// Verdict is a cause with its evidence.
type Verdict struct {
	Slow  bool  `json:"slow"`
	Cause Cause `json:"cause"`
	// Share is the part of the excess that Cause explains, from 0 to 1.
	Share float64 `json:"share"`
	// Also lists further causes that explain at least a fifth of the excess.
	Also     []Cause  `json:"also,omitempty"`
	Evidence Evidence `json:"evidence"`
}

// String describes the verdict in one line.
func (v Verdict) String() string {
	if !v.Slow {
		return fmt.Sprintf("not slow (%d requests)", v.Evidence.Requests)
	}
	return fmt.Sprintf("%s %.0f%% of the excess, also %v (%d of %d requests slow)", v.Cause, 100*v.Share, v.Also, v.Evidence.Slow, v.Evidence.Requests)
}

// excessByCause is the time beyond the expected, indexed by cause.
type excessByCause [causeCount]time.Duration

// attributeExcess splits the excess of one request by cause. missing is the reason why the endpoint's time could not be
// explained.
func attributeExcess(t Timing, e *Expectation, l *Limits) (x excessByCause, missing string) {
	x[Network] = max(0, t.Network-e.Network)
	x[OwnLoad] = max(0, t.Wait-e.Wait)
	if e.Samples < l.MinBaseline {
		// The endpoint's whole time counts as Unknown, because its usual time is not known.
		x[Unknown] = t.Endpoint
		return x, "too few samples for a baseline"
	}
	// The load explains the rise of the baseline, but not more than the measured excess.
	beyondUsual := max(0, t.Endpoint-e.TimeAtUsualLoad)
	load := min(max(0, e.TimeAtLoad-e.TimeAtUsualLoad), beyondUsual)
	x[OwnLoad] += load
	unexplained := beyondUsual - load
	byNeighbours, missing := neighbourExcess(unexplained, t.Endpoint, e, l)
	x[Neighbours] += byNeighbours
	x[Unknown] += unexplained - byNeighbours
	return x, missing
}

// neighbourExcess returns how much of the unexplained time the neighbours explain. Learned effects and the stall share
// are independent evidence; the larger one counts, doubled because both are means and slow requests are in the tail.
func neighbourExcess(unexplained, endpoint time.Duration, e *Expectation, l *Limits) (time.Duration, string) {
	if unexplained <= 0 {
		return 0, ""
	}
	if e.ReportAge > l.MaxReportAge {
		return 0, "newest worker report is too old"
	}
	if len(e.Neighbours) == 0 {
		return 0, "no neighbours on the VM"
	}
	slowdown := 0.0
	for _, n := range e.Neighbours {
		if n.Confidence >= l.MinConfidence && n.Slowdown >= l.MinSlowdown {
			slowdown += n.Slowdown
		}
	}
	explained := time.Duration(slowdown * float64(e.TimeAtLoad))
	if e.StallPermille >= l.MinStallPermille {
		explained = max(explained, time.Duration(float64(endpoint)*float64(e.StallPermille)/1000))
	}
	if explained == 0 {
		return 0, "no known effect of these neighbours"
	}
	return min(unexplained, 2*explained), ""
}

// Request returns the verdict for one request with a latency target.
func Request(t Timing, target time.Duration, e Expectation, l Limits) Verdict {
	x, missing := attributeExcess(t, &e, &l)
	ev := Evidence{
		Requests: 1, BaselineMs: ms(e.TimeAtLoad), BaselineSamples: e.Samples, Neighbours: e.Neighbours,
		StallPermille: e.StallPermille, Missing: missing,
	}
	if t.Total() <= target {
		return Verdict{Evidence: ev}
	}
	ev.Slow = 1
	return conclude(x, ev, &l)
}

// conclude returns the verdict that names the largest cause if it explains enough of the excess.
func conclude(x excessByCause, ev Evidence, l *Limits) Verdict {
	v := Verdict{Slow: true, Evidence: ev}
	v.Evidence.ExcessMs = map[string]float64{}
	total := time.Duration(0)
	for c, d := range x {
		total += d
		if d > 0 {
			v.Evidence.ExcessMs[Cause(c).String()] = ms(d)
		}
	}
	if total == 0 {
		v.Evidence.Missing = "every part took its usual time"
		return v
	}
	largest := Unknown
	for c := Network; c < causeCount; c++ {
		if x[c] > x[largest] {
			largest = c
		}
	}
	if s := float64(x[largest]) / float64(total); s >= l.MainShare {
		v.Cause, v.Share = largest, s
	}
	for c := Network; c < causeCount; c++ {
		if c != v.Cause && float64(x[c]) >= 0.2*float64(total) {
			v.Also = append(v.Also, c)
		}
	}
	return v
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
