package interference

import (
	"cmp"
	"math"
	"time"
)

// Neighbour is a class that shares the VM with a victim during a sample.
type Neighbour struct {
	Class string
	// Load is the processor use of this class's runs as a share of the worker.
	Load float64
}

// Sample is one lagging measurement of a victim with its neighbours during the measurement.
type Sample struct {
	Victim string
	// Load is the victim's own load, in any unit that is the same for all samples of the class, for instance
	// requests in flight or requests per second.
	Load float64
	// Value is the measured latency in milliseconds, or for batch tasks 1/(1-stall share). It must be positive.
	Value float64
	// Neighbours must be those of the measured interval, not the current ones.
	Neighbours []Neighbour
	// Settled is false if the neighbours changed within the interval; such samples are ignored.
	Settled bool
	At      time.Time
}

// pairKey identifies an effect.
type pairKey struct{ victim, neighbour string }

// effect is the estimated rise of ln(value) of a victim for a neighbour load of 1, with its variance.
type effect struct {
	mean, variance float64
	updatedAt      time.Time
}

const (
	// priorVariance is the uncertainty of an unknown effect: most effects lie within 0 to 1.5.
	priorVariance = 0.5
	// noiseVariance is the variance of ln(latency) of one sample; tail latencies of one interval scatter by about 40%.
	noiseVariance = 0.16
	// maxResidual limits the influence of one sample, so that bursts of noise and outliers do not dominate estimates.
	maxResidual = 1.0
	// varianceGrowthPerHour lets effects follow changes of the classes.
	varianceGrowthPerHour = 0.02
	// maxAloneLoad is the neighbour load up to which a victim counts as alone.
	maxAloneLoad = 0.02
	// minBaselineWeight is the weight of samples below which a baseline is not used.
	minBaselineWeight = 5
)

// baselineKey identifies the expected value of a victim without neighbours at a load.
type baselineKey struct {
	victim string
	load   int8
}

// baseline holds the values of a victim in one load range: those without neighbours, and all.
type baseline struct {
	alone, all histogram
	updatedAt  time.Time
}

func compareBaselines(a, b baselineKey) int {
	return cmp.Or(cmp.Compare(a.victim, b.victim), cmp.Compare(a.load, b.load))
}

// loadBucket rounds a load to the exponent of a power of two. Finer ranges are not needed, because latency rises slowly
// with load until it saturates.
func loadBucket(load float64) int8 {
	if load <= 0 {
		return -8
	}
	return int8(max(-8, min(math.Round(math.Log2(load)), 20)))
}

// value returns the expected value without neighbours, false with too few samples. If the victim was rarely alone, a
// low quantile of all values is used instead.
func (b *baseline) value() (float64, bool) {
	if b.alone.total >= minBaselineWeight {
		return b.alone.quantile(0.5), true
	}
	if b.all.total >= 4*minBaselineWeight {
		return b.all.quantile(0.1), true
	}
	return 0, false
}

// updateEffects updates the effects of all neighbours of a sample at once, as a Kalman filter with a diagonal
// covariance: each effect takes the part of the residual that its variance and load explain, so that the
// residual of an unknown neighbour is not attributed to a well-known one.
func (m *Model) updateEffects(s *Sample, expected float64) {
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

// effect returns the entry of a pair, new if there is none, with its variance increased for the time since its last
// update.
func (m *Model) effect(k pairKey, at time.Time) *effect {
	e := m.pairs[k]
	if e == nil {
		if len(m.pairs) >= m.opts.MaxPairs {
			evictOldest(m.pairs, func(e *effect) time.Time { return e.updatedAt }, comparePairs)
		}
		e = &effect{variance: priorVariance, updatedAt: at}
		m.pairs[k] = e
	}
	if hours := at.Sub(e.updatedAt).Hours(); hours > 0 {
		e.variance = min(priorVariance, e.variance+varianceGrowthPerHour*hours)
		e.updatedAt = at
	}
	return e
}
