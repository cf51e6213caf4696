package pressure

import (
	"maps"
	"slices"
)

// Learned is what a model knows, in a form that lasts.
type Learned struct {
	Images []LearnedImage `cbor:"1,keyasint"`
}

// LearnedImage is what is known of a serving image.
type LearnedImage struct {
	Name string `cbor:"1,keyasint"`
	// BaseMs is the tail at no utilization.
	BaseMs float64 `cbor:"2,keyasint"`
	// Load is the utilization by the image alone.
	Load  float64       `cbor:"3,keyasint"`
	Pairs []LearnedPair `cbor:"4,keyasint"`
}

// LearnedPair is what is known of a filling image beside the serving one.
type LearnedPair struct {
	Filling string  `cbor:"1,keyasint"`
	Factor  float64 `cbor:"2,keyasint"`
	// Weight is the weight of the observations behind the factor.
	Weight float64 `cbor:"3,keyasint"`
}

// Weights of what was learned before, in the model that learns on. New observations outweigh it within seconds if the
// pairs have changed.
const (
	maxLearnedWeight  = 2
	learnedLoadWeight = 50
)

// Learned returns what the model knows.
func (m *Model) Learned() Learned {
	var l Learned
	for _, name := range slices.Sorted(maps.Keys(m.images)) {
		im := m.images[name]
		li := LearnedImage{Name: name, BaseMs: im.base, Load: im.estimator.factors[0]}
		for _, filling := range slices.Sorted(maps.Keys(im.estimator.index)) {
			i := im.estimator.index[filling]
			if weight := im.estimator.squares[i][i] - priorWeight; weight > 0 {
				li.Pairs = append(li.Pairs, LearnedPair{filling, im.estimator.factors[i], weight})
			}
		}
		l.Images = append(l.Images, li)
	}
	return l
}

// Restore replaces what the model knows by what another one learned.
func (m *Model) Restore(l Learned) {
	clear(m.images)
	for _, li := range l.Images {
		im := &image{base: li.BaseMs, estimator: newEstimator()}
		im.estimator.assume(0, li.Load, learnedLoadWeight)
		for _, p := range li.Pairs {
			if i := im.estimator.column(p.Filling); i > 0 {
				im.estimator.assume(i, p.Factor, priorWeight+min(p.Weight, maxLearnedWeight))
			}
		}
		m.images[li.Name] = im
	}
}

// assume sets a column to a value with a weight.
func (e *estimator) assume(column int, value, weight float64) {
	e.squares[column][column] = weight
	e.sums[column] = weight * value
	e.factors[column] = value
}
