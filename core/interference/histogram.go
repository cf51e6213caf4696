package interference

import (
	"math"
	"time"
)

const (
	// bucketCount and bucketsPerOctave cover 1 to 2^20 with steps of 26%, hence estimates within 13%. Declared
	// sizes are off by factors, so finer steps would cost memory without better placement.
	bucketCount      = 64
	bucketsPerOctave = 3
)

// histogram counts values in logarithmic buckets. Old counts lose weight exponentially.
type histogram struct {
	weights [bucketCount]float32
	total   float32
	at      time.Time // the time to which the weights are decayed
}

func bucketOf(v float64) int {
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
	if h.at.IsZero() {
		h.at = at
	}
	if at.Sub(h.at) >= time.Minute {
		h.decay(at, halfLife)
	}
	h.weights[bucketOf(v)] += weight
	h.total += weight
}

func (h *histogram) decay(at time.Time, halfLife time.Duration) {
	f := float32(math.Exp2(-float64(at.Sub(h.at)) / float64(halfLife)))
	h.total = 0
	for i := range h.weights {
		h.weights[i] *= f
		h.total += h.weights[i]
	}
	h.at = at
}

// quantile returns the value below which the fraction q of the weight lies; it is 0 without any weight.
func (h *histogram) quantile(q float64) float64 {
	if h.total <= 0 {
		return 0
	}
	left := float32(q) * h.total
	for i, w := range h.weights {
		if left -= w; left <= 0 && w > 0 {
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
	if o.at.After(h.at) {
		h.at = o.at
	}
}

// sparse returns the non-empty buckets as pairs of index and weight in thousandths.
func (h *histogram) sparse() []uint32 {
	var out []uint32
	for i, w := range h.weights {
		if n := uint32(w * 1000); n > 0 {
			out = append(out, uint32(i), n)
		}
	}
	return out
}

// maxWeight bounds the weight that another daemon's digest can give to one bucket.
const maxWeight = 1e6

// fromSparse is the inverse of sparse. Pairs with an unknown bucket are dropped.
func fromSparse(pairs []uint32, at time.Time) histogram {
	h := histogram{at: at}
	for k := 0; k+1 < len(pairs); k += 2 {
		if pairs[k] < bucketCount {
			w := min(float32(pairs[k+1])/1000, maxWeight)
			h.weights[pairs[k]] += w
			h.total += w
		}
	}
	return h
}
