package interference

import (
	"math"
	"time"
)

const (
	// bucketCount and bucketsPerOctave cover 1 to 2^20 with steps of 26%, hence estimates within 13%. Declared
	// sizes differ from the actual use by factors, so finer steps would cost memory without better placement.
	bucketCount      = 64
	bucketsPerOctave = 3
)

// histogram counts values in logarithmic buckets. The weight of counts decays exponentially with their age.
type histogram struct {
	weights   [bucketCount]float32
	total     float32
	decayedAt time.Time // time up to which the weights are decayed
}

func bucketIndex(v float64) int {
	if v <= 1 {
		return 0
	}
	return min(int(math.Log2(v)*bucketsPerOctave)+1, bucketCount-1)
}

// bucketValue returns the geometric mean of a bucket's bounds.
func bucketValue(i int) float64 {
	if i == 0 {
		return 0.5
	}
	return math.Exp2((float64(i) - 0.5) / bucketsPerOctave)
}

// add counts v. Decay is applied at most once a minute, because it touches every bucket.
func (h *histogram) add(v float64, weight float32, at time.Time, halfLife time.Duration) {
	if h.decayedAt.IsZero() {
		h.decayedAt = at
	}
	if at.Sub(h.decayedAt) >= time.Minute {
		h.decay(at, halfLife)
	}
	h.weights[bucketIndex(v)] += weight
	h.total += weight
}

func (h *histogram) decay(at time.Time, halfLife time.Duration) {
	f := float32(math.Exp2(-float64(at.Sub(h.decayedAt)) / float64(halfLife)))
	h.total = 0
	for i := range h.weights {
		h.weights[i] *= f
		h.total += h.weights[i]
	}
	h.decayedAt = at
}

// quantile returns the value below which the fraction q of the weight lies, 0 without any weight.
func (h *histogram) quantile(q float64) float64 {
	if h.total <= 0 {
		return 0
	}
	remaining := float32(q) * h.total
	for i, w := range h.weights {
		if remaining -= w; remaining <= 0 && w > 0 {
			return bucketValue(i)
		}
	}
	return bucketValue(bucketCount - 1)
}

// merge adds the weights of o.
func (h *histogram) merge(o *histogram) {
	for i, w := range o.weights {
		h.weights[i] += w
	}
	h.total += o.total
	if o.decayedAt.After(h.decayedAt) {
		h.decayedAt = o.decayedAt
	}
}

// encodeSparse returns the non-empty buckets as pairs of index and weight in thousandths.
func (h *histogram) encodeSparse() []uint32 {
	var out []uint32
	for i, w := range h.weights {
		if n := uint32(w * 1000); n > 0 {
			out = append(out, uint32(i), n)
		}
	}
	return out
}

// maxBucketWeight bounds the weight that another daemon's digest can give to one bucket.
const maxBucketWeight = 1e6

// decodeSparse is the inverse of encodeSparse. Pairs with an unknown bucket are ignored.
func decodeSparse(pairs []uint32, at time.Time) histogram {
	h := histogram{decayedAt: at}
	for k := 0; k+1 < len(pairs); k += 2 {
		if pairs[k] < bucketCount {
			w := min(float32(pairs[k+1])/1000, maxBucketWeight)
			h.weights[pairs[k]] += w
			h.total += w
		}
	}
	return h
}
