package interference

import (
	"cmp"
	"math"
	"time"
)

// Neighbour is a class next to a victim during a sample.
type Neighbour struct {
	Class string
	// Load is the processor use of this class's runs as a share of the worker.
	Load float64
}

// Sample is one lagging measurement of a victim together with the neighbours it had during the measurement.
type Sample struct {
	Victim string
	// Load is the victim's own load, in any unit that is the same for all samples of the class, for instance
	// requests in flight or requests per second.
	Load float64
	// Value is the measured latency in milliseconds, or for batch tasks 1/(1-stall share). It must be positive.
	Value float64
	// Neighbours must be those of the measured interval and not those of now.
	Neighbours []Neighbour
	// Settled is false if the neighbours changed within the interval; such samples teach nothing.
	Settled bool
	At      time.Time
}

// pairKey names an effect.
type pairKey struct{ victim, neighbour string }

// effect is the estimated rise of ln(value) of a victim for a neighbour load of 1, with its variance.
type effect struct {
	mean, variance float64
	at             time.Time
}

const (
	// priorVariance is the uncertainty of an unknown effect: most effects lie within 0 to 1.5.
	priorVariance = 0.5
	// noiseVariance is that of one latency sample in ln; tails of one interval scatter by about 40%.
	noiseVariance = 0.16
	// maxResidual limits the influence of one sample, so that noisy waves and outliers do not drive estimates.
	maxResidual = 1.0
	// forgetVariance per hour lets effects follow changes of the classes.
	forgetVariance = 0.02
	// aloneLoad is the neighbour load up to which a victim counts as alone.
	aloneLoad = 0.02
	// fewSamples is the weight below which a baseline is not trusted.
	fewSamples = 5
)

// baselineKey names the expected value of a victim without neighbours at a load.
type baselineKey struct {
	victim string
	load   int8
}

// baseline holds values of a victim in one load range: alone, and whatever the neighbours.
type baseline struct {
	alone, all histogram
	at         time.Time
}

func compareBaselines(a, b baselineKey) int {
	return cmp.Or(cmp.Compare(a.victim, b.victim), cmp.Compare(a.load, b.load))
}

// loadRange puts loads into powers of two, because latency rises slowly with load until it saturates.
func loadRange(load float64) int8 {
	if load <= 0 {
		return -8
	}
	return int8(max(-8, min(math.Round(math.Log2(load)), 20)))
}

// value returns the expected value without neighbours, and whether it is trusted. If the victim was
// hardly ever alone, the lowest values seen stand in.
func (b *baseline) value() (float64, bool) {
	if b.alone.total >= fewSamples {
		return b.alone.quantile(0.5), true
	}
	if b.all.total >= 4*fewSamples {
		return b.all.quantile(0.1), true
	}
	return 0, false
}

// learn updates the effects of all neighbours of a sample at once. Each takes the part of the surprise that
// its uncertainty and load explain (a Kalman filter with a diagonal covariance), so that a well-known
// neighbour is not blamed for an unknown one.
func (m *Model) learn(s *Sample, expected float64) {
	residual := math.Log(s.Value / expected)
	scale := noiseVariance
	effects := make([]*effect, len(s.Neighbours))
	for i, n := range s.Neighbours {
		e := m.effect(pairKey{s.Victim, n.Class}, s.At)
		effects[i] = e
		residual -= e.mean * n.Load
		scale += e.variance * n.Load * n.Load
	}
	residual = max(-maxResidual, min(residual, maxResidual))
	for i, n := range s.Neighbours {
		gain := effects[i].variance * n.Load / scale
		effects[i].mean = max(0, effects[i].mean+gain*residual)
		effects[i].variance *= 1 - gain*n.Load
	}
}

// effect returns the entry of a pair, with the uncertainty that has grown since its last update.
func (m *Model) effect(k pairKey, at time.Time) *effect {
	e := m.pairs[k]
	if e == nil {
		if len(m.pairs) >= m.opts.MaxPairs {
			dropOldest(m.pairs, func(e *effect) time.Time { return e.at }, comparePairs)
		}
		e = &effect{variance: priorVariance, at: at}
		m.pairs[k] = e
	}
	if hours := at.Sub(e.at).Hours(); hours > 0 {
		e.variance = min(priorVariance, e.variance+forgetVariance*hours)
		e.at = at
	}
	return e
}
