package pressure

import "math"

// Bounds of the estimator.
const (
	// priorFactor is assumed of a pair that was not seen together. With the usual size of a filling task it lets
	// one, not two, run beside an image, which is how the pair is learned.
	priorFactor = 1.5
	maxFactor   = 12
	// priorWeight is how many squared shares of observation outweigh the assumption.
	priorWeight = 0.15
	// keep is the weight that an older observation of the image keeps at each newer one. With some fifty reports a
	// second the newest minutes count; a shorter memory tries the pairs that disturb again and again.
	keep = 0.9999
	// maxFillingImages bounds the memory and the time of one solution.
	maxFillingImages = 24
	// solveEvery is the number of observations between solutions.
	solveEvery = 20
)

// estimator fits the utilization of one serving image by least squares: a constant, its own load, plus a factor for
// each filling image times the share that it uses.
type estimator struct {
	index   map[string]int // filling image to column; column 0 is the constant
	squares [][]float64    // sum of products of columns
	sums    []float64      // sum of columns times utilization
	factors []float64      // newest solution
	unseen  int
	x       []float64 // scratch
}

func newEstimator() *estimator {
	e := &estimator{index: map[string]int{}}
	e.grow(priorLoad, priorLoadWeight)
	return e
}

// priorLoadWeight is how many observations outweigh priorLoad.
const priorLoadWeight = 4

// grow adds a column with an assumed value.
func (e *estimator) grow(value, weight float64) int {
	n := len(e.sums)
	for i := range e.squares {
		e.squares[i] = append(e.squares[i], 0)
	}
	e.squares = append(e.squares, make([]float64, n+1))
	e.squares[n][n] = weight
	e.sums = append(e.sums, weight*value)
	e.factors = append(e.factors, value)
	return n
}

// column returns the column of a filling image, or -1 if there are too many.
func (e *estimator) column(filling string) int {
	if i, ok := e.index[filling]; ok {
		return i
	}
	if len(e.index) >= maxFillingImages {
		return -1
	}
	i := e.grow(priorFactor, priorWeight)
	e.index[filling] = i
	return i
}

// observe adds one observation.
func (e *estimator) observe(utilization float64, filling []Filling) {
	for i := range filling {
		e.column(filling[i].Image)
	}
	e.x = append(e.x[:0], make([]float64, len(e.sums))...)
	e.x[0] = 1
	for i := range filling {
		if c := e.column(filling[i].Image); c > 0 {
			e.x[c] += filling[i].Share
		}
	}
	if utilization >= saturated {
		// The tail tells only that the worker is full. Taken as it is, it would make what disturbs most look harmless in
		// large numbers.
		if e.predict() >= full {
			return
		}
		utilization = full
	}
	for i, xi := range e.x {
		e.fade(i)
		if xi == 0 {
			continue
		}
		e.sums[i] += xi * utilization
		for j, xj := range e.x {
			e.squares[i][j] += xi * xj
		}
	}
	if e.unseen++; e.unseen >= solveEvery {
		e.unseen = 0
		e.solve()
	}
}

// predict returns the utilization that the newest solution expects at x.
func (e *estimator) predict() float64 {
	sum := 0.0
	for i, xi := range e.x {
		sum += xi * e.factors[i]
	}
	return sum
}

// fade lowers the weight of older observations of a row, but not that of the assumption.
func (e *estimator) fade(i int) {
	value, weight := priorFactor, priorWeight
	if i == 0 {
		value, weight = priorLoad, priorLoadWeight
	}
	e.sums[i] = keep*e.sums[i] + (1-keep)*weight*value
	for j := range e.squares[i] {
		e.squares[i][j] *= keep
	}
	e.squares[i][i] += (1 - keep) * weight
}

// solve computes the factors by elimination. The matrix is positive definite because of the assumptions.
func (e *estimator) solve() {
	n := len(e.sums)
	m := make([][]float64, n)
	for i := range m {
		m[i] = append(append(make([]float64, 0, n+1), e.squares[i]...), e.sums[i])
	}
	for i := range n {
		if math.Abs(m[i][i]) < 1e-12 {
			return
		}
		for k := i + 1; k < n; k++ {
			f := m[k][i] / m[i][i]
			for j := i; j <= n; j++ {
				m[k][j] -= f * m[i][j]
			}
		}
	}
	for i := n - 1; i >= 0; i-- {
		v := m[i][n]
		for j := i + 1; j < n; j++ {
			v -= m[i][j] * e.factors[j]
		}
		e.factors[i] = v / m[i][i]
	}
	e.factors[0] = min(max(e.factors[0], 0), saturated)
	for i := 1; i < n; i++ {
		e.factors[i] = min(max(e.factors[i], 0), maxFactor)
	}
}

// factor returns the newest factor of a filling image.
func (e *estimator) factor(filling string) float64 {
	if i, ok := e.index[filling]; ok {
		return e.factors[i]
	}
	return priorFactor
}

// loadDeviation is how much the load of serving tasks by itself moves the utilization from one observation to others.
// Observations of one task within seconds move together, so it stands for several of them.
const loadDeviation = 0.45

// lowerBound returns what the factor of a filling image certainly exceeds, or 0 if it was not seen.
func (e *estimator) lowerBound(filling string) float64 {
	i, ok := e.index[filling]
	if !ok {
		return 0
	}
	weight := e.squares[i][i] - priorWeight
	if weight <= 0 {
		return 0
	}
	return e.factors[i] - loadDeviation/math.Sqrt(weight)
}
