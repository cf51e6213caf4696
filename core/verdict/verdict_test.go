package verdict

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const target = 50 * time.Millisecond

// setup defines the causes from which the requests of a window are generated.
type setup struct {
	networkMs, waitMs float64 // added to the usual times
	load              float64 // factor on the endpoint's time at this load, included in the baseline
	neighbours        float64 // factor on the endpoint's time
	known, stalled    bool    // evidence for the neighbours: learned slowdown, stall share
	samples           float64
	reportAge         time.Duration
	requests          int
}

func (p setup) window(seed uint64) *Window {
	rng := rand.New(rand.NewPCG(seed, 7))
	scatter := func(v float64) time.Duration {
		return time.Duration(v * (0.8 + 0.4*rng.Float64()) * float64(time.Millisecond))
	}
	w := NewWindow(target, DefaultLimits())
	for range p.requests {
		e := Expectation{
			Wait: time.Millisecond, Network: 3 * time.Millisecond, TimeAtUsualLoad: 20 * time.Millisecond,
			TimeAtLoad: time.Duration(20 * p.load * float64(time.Millisecond)), Samples: p.samples,
			ReportAge: p.reportAge,
		}
		if p.neighbours > 1 {
			e.Neighbours = []Neighbour{{Class: "recompute", Load: 0.4}}
			if p.known {
				e.Neighbours[0].Slowdown, e.Neighbours[0].Confidence = 0.7*(p.neighbours-1), 0.8
			}
			if p.stalled {
				e.StallPermille = int64(1000 * (1 - 1/p.neighbours))
			}
		}
		w.Add(Timing{Wait: scatter(1 + p.waitMs), Network: scatter(3 + p.networkMs), Endpoint: scatter(20 * p.load * p.neighbours)}, e)
	}
	return w
}

// Guards against a verdict that names the wrong cause, and against one without enough evidence.
func TestVerdictNamesCause(t *testing.T) {
	base := setup{load: 1, neighbours: 1, samples: 50, requests: 500}
	with := func(change func(*setup)) setup { p := base; change(&p); return p }
	cases := map[string]struct {
		setup setup
		slow  bool
		cause Cause
		also  []Cause
	}{
		"nothing":             {base, false, Unknown, nil},
		"network":             {with(func(p *setup) { p.networkMs = 80 }), true, Network, nil},
		"queue":               {with(func(p *setup) { p.waitMs = 80 }), true, OwnLoad, nil},
		"load":                {with(func(p *setup) { p.load = 4 }), true, OwnLoad, nil},
		"known neighbours":    {with(func(p *setup) { p.neighbours, p.known = 4, true }), true, Neighbours, nil},
		"stall":               {with(func(p *setup) { p.neighbours, p.stalled = 4, true }), true, Neighbours, nil},
		"unknown effect":      {with(func(p *setup) { p.neighbours = 4 }), true, Unknown, nil},
		"lagging report":      {with(func(p *setup) { p.neighbours, p.known, p.reportAge = 4, true, time.Minute }), true, Unknown, nil},
		"no baseline":         {with(func(p *setup) { p.neighbours, p.known, p.samples = 4, true, 1 }), true, Unknown, nil},
		"network unmasked":    {with(func(p *setup) { p.networkMs, p.samples = 200, 1 }), true, Network, nil},
		"too few requests":    {with(func(p *setup) { p.networkMs, p.requests = 80, 9 }), true, Unknown, nil},
		"network and load":    {with(func(p *setup) { p.networkMs, p.load = 80, 3 }), true, Network, []Cause{OwnLoad}},
		"load and neighbours": {with(func(p *setup) { p.load, p.neighbours, p.known = 3, 2, true }), true, Neighbours, []Cause{OwnLoad}},
	}
	for name, c := range cases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/seed%d", name, seed), func(t *testing.T) {
				is := is.New(t)
				v := c.setup.window(seed).Verdict()
				is.Equal(v.Slow, c.slow)
				is.Equal(v.Cause, c.cause)
				is.Equal(v.Also, c.also)
				is.Equal(v.Evidence.Requests, c.setup.requests)
				if v.Slow && v.Cause == Unknown {
					is.True(v.Evidence.Missing != "")
				}
			})
		}
	}
}

// Guards against a slow verdict for a window with no more slow requests than the target allows.
func TestTailWithinTargetIsNotSlow(t *testing.T) {
	is := is.New(t)
	w := setup{load: 1, neighbours: 1, samples: 50, requests: 990}.window(1)
	for range 9 {
		w.Add(Timing{Network: time.Second}, Expectation{})
	}
	is.True(!w.Verdict().Slow)
}

// Guards against a verdict for a single request that differs from that for a window.
func TestRequestVerdict(t *testing.T) {
	is := is.New(t)
	e := Expectation{Network: 3 * time.Millisecond, TimeAtUsualLoad: 20 * time.Millisecond,
		TimeAtLoad: 20 * time.Millisecond, Samples: 9}
	v := Request(Timing{Network: 90 * time.Millisecond, Endpoint: 21 * time.Millisecond}, target, e, DefaultLimits())
	is.True(v.Slow)
	is.Equal(v.Cause, Network)
	is.True(v.Share > 0.9)
	is.True(!Request(Timing{Endpoint: 21 * time.Millisecond}, target, e, DefaultLimits()).Slow)
}
