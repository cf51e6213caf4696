package pressure

import (
	"cmp"
	"maps"
	"slices"
)

// Learned is the state of a model in the form in which it is stored.
type Learned struct {
	Images []LearnedImage `cbor:"1,keyasint"`
}

// LearnedImage is what was learned about a serving image.
type LearnedImage struct {
	Name string `cbor:"1,keyasint"`
	// BaseMs is the tail at no utilization.
	BaseMs float64 `cbor:"2,keyasint"`
	// Load is the utilization by the image alone.
	Load  float64       `cbor:"3,keyasint"`
	Pairs []LearnedPair `cbor:"4,keyasint"`
}

// LearnedPair is what was learned about a filling image beside the serving one.
type LearnedPair struct {
	Filling string  `cbor:"1,keyasint"`
	Factor  float64 `cbor:"2,keyasint"`
	// Weight is the weight of the observations behind the factor.
	Weight float64 `cbor:"3,keyasint"`
}

// Weights of restored values. They are low enough that new observations outweigh them within seconds if the pairs have
// changed.
const (
	maxRestoredWeight  = 2
	restoredLoadWeight = 50
)

// Limits of the encoded state in bytes. The store takes no record above 262,144 bytes.
const (
	// MaxLearnedBytes is more than the size of the encoded state.
	MaxLearnedBytes = 64 << 10
	// learnedImageBytes and learnedPairBytes are the sizes of entries without the names of images.
	learnedImageBytes = 32
	learnedPairBytes  = 28
	learnedBaseBytes  = 16
)

// Learned returns the state of the model for storing. Of more than fits into MaxLearnedBytes it leaves out the pairs with the
// fewest observations, and images without a pair.
func (m *Model) Learned() Learned {
	bytes := learnedBaseBytes
	images := map[string]*LearnedImage{}
	imageOf := func(name string) (image *LearnedImage, cost int) {
		if images[name] != nil {
			return images[name], 0
		}
		im := m.images[name]
		return &LearnedImage{Name: name, BaseMs: im.baseMs, Load: im.estimator.factors[0]}, learnedImageBytes + len(name)
	}
	for _, p := range m.observedPairs() {
		image, cost := imageOf(p.serving)
		if cost += learnedPairBytes + len(p.Filling); bytes+cost > MaxLearnedBytes {
			continue
		}
		bytes += cost
		images[p.serving] = image
		image.Pairs = append(image.Pairs, p.LearnedPair)
	}
	for _, name := range slices.Sorted(maps.Keys(m.images)) {
		if image, cost := imageOf(name); cost > 0 && bytes+cost <= MaxLearnedBytes {
			bytes += cost
			images[name] = image
		}
	}
	var learned Learned
	for _, name := range slices.Sorted(maps.Keys(images)) {
		slices.SortFunc(images[name].Pairs, func(a, b LearnedPair) int { return cmp.Compare(a.Filling, b.Filling) })
		learned.Images = append(learned.Images, *images[name])
	}
	return learned
}

// observedPair is a pair of images with observations.
type observedPair struct {
	serving string
	LearnedPair
}

// observedPairs returns all pairs with observations, those with the most first.
func (m *Model) observedPairs() []observedPair {
	var pairs []observedPair
	for serving, im := range m.images {
		for filling, i := range im.estimator.index {
			if weight := im.estimator.normal[i][i] - priorWeight; weight > 0 {
				pairs = append(pairs, observedPair{serving, LearnedPair{filling, im.estimator.factors[i], weight}})
			}
		}
	}
	slices.SortFunc(pairs, func(a, b observedPair) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.serving, b.serving), cmp.Compare(a.Filling, b.Filling))
	})
	return pairs
}

// Restore replaces the state of the model by that of another one.
func (m *Model) Restore(learned Learned) {
	clear(m.images)
	clear(m.classes)
	for _, entry := range learned.Images {
		im := &servingImage{baseMs: entry.BaseMs, estimator: newEstimator(), observedAt: m.observations}
		im.estimator.setPrior(0, entry.Load, restoredLoadWeight)
		for _, p := range entry.Pairs {
			if i := im.estimator.column(p.Filling); i > 0 {
				im.estimator.setPrior(i, p.Factor, priorWeight+min(p.Weight, maxRestoredWeight))
			}
		}
		m.images[entry.Name] = im
	}
}

// evidence sums the factors of one pair that several models have learned, by the weights of their observations.
type evidence struct{ weightedSum, weight float64 }

// SetOthers replaces what models of other shards have learned. These see the same images on other workers, so together
// they classify a pair as many times faster as there are shards.
func (m *Model) SetOthers(models []Learned) {
	m.others = map[Pair]evidence{}
	clear(m.classes)
	for _, learned := range models {
		for _, entry := range learned.Images {
			for _, p := range entry.Pairs {
				weight := min(p.Weight, maxRestoredWeight)
				if !(weight > 0) || !(p.Factor >= 0 && p.Factor <= maxFactor) {
					continue
				}
				pair := Pair{entry.Name, p.Filling}
				sum := m.others[pair]
				m.others[pair] = evidence{sum.weightedSum + p.Factor*weight, sum.weight + weight}
			}
		}
	}
}

// setPrior sets a column to an assumed value with a weight.
func (e *estimator) setPrior(column int, value, weight float64) {
	e.normal[column][column] = weight
	e.rhs[column] = weight * value
	e.factors[column] = value
}
