package pressure

import (
	"math"
	"slices"
)

// Parameters of the estimator.
const (
	// priorFactor is the assumed factor of a pair without observations. With the usual size of a filling task it lets
	// one, not two, run beside an image, which is how the pair is learned.
	priorFactor = 1.5
	maxFactor   = 12
	// priorWeight is the weight of priorFactor in squared shares of observation.
	priorWeight = 0.15
	// observationDecay multiplies the weight of older observations of the image at each newer one. At about 50 reports
	// a second the newest minutes count; with a faster decay, disturbing pairs would be tried again and again.
	observationDecay = 0.9999
	// maxFillingImages bounds the memory and the time of one solution. Images beyond it count as not seen, so that they
	// run on a few workers only.
	maxFillingImages = 64
	// observationsPerSolve is the number of observations between solutions.
	observationsPerSolve = 20
)

// estimator fits the utilization of one serving image by regularized least squares: a constant, its own load, plus a
// factor for each filling image times the share that it uses.
type estimator struct {
	index      map[string]int // column of each filling image; column 0 is the constant
	normal     [][]float64    // normal matrix: sums of products of columns
	rhs        []float64      // right-hand side: sums of columns times utilization
	factors    []float64      // newest solution
	sinceSolve int            // observations since the newest solution
	row        []float64      // newest observation; reused
}

func newEstimator() *estimator {
	e := &estimator{index: map[string]int{}}
	e.addColumn(priorLoad, priorLoadWeight)
	return e
}

// priorLoadWeight is the weight of priorLoad in observations.
const priorLoadWeight = 4

// addColumn adds a column with an assumed value and its weight, and returns its index.
func (e *estimator) addColumn(value, weight float64) int {
	n := len(e.rhs)
	for i := range e.normal {
		e.normal[i] = append(e.normal[i], 0)
	}
	e.normal = append(e.normal, make([]float64, n+1))
	e.normal[n][n] = weight
	e.rhs = append(e.rhs, weight*value)
	e.factors = append(e.factors, value)
	return n
}

// column returns the column of a filling image, adding it if it is new, or -1 if there are too many.
func (e *estimator) column(filling string) int {
	if i, ok := e.index[filling]; ok {
		return i
	}
	if len(e.index) >= maxFillingImages {
		return -1
	}
	i := e.addColumn(priorFactor, priorWeight)
	e.index[filling] = i
	return i
}

// observe adds one observation.
func (e *estimator) observe(utilization float64, filling []Filling) {
	for i := range filling {
		e.column(filling[i].Image)
	}
	e.row = slices.Grow(e.row[:0], len(e.rhs))[:len(e.rhs)]
	clear(e.row)
	e.row[0] = 1
	for i := range filling {
		if c := e.column(filling[i].Image); c > 0 {
			e.row[c] += filling[i].Share
		}
	}
	if utilization >= saturatedUtilization {
		// A saturated tail shows only that the worker is full. Taken at face value, it would make the most disturbing
		// images look harmless in large numbers.
		if e.predict() >= fullUtilization {
			return
		}
		utilization = fullUtilization
	}
	for i, xi := range e.row {
		e.decayRow(i)
		if xi == 0 {
			continue
		}
		e.rhs[i] += xi * utilization
		for j, xj := range e.row {
			e.normal[i][j] += xi * xj
		}
	}
	if e.sinceSolve++; e.sinceSolve >= observationsPerSolve {
		e.sinceSolve = 0
		e.solve()
	}
}

// predict returns the utilization that the newest solution predicts for the newest observation.
func (e *estimator) predict() float64 {
	sum := 0.0
	for i, xi := range e.row {
		sum += xi * e.factors[i]
	}
	return sum
}

// decayRow lowers the weight of older observations in row i of the matrix, but not that of the assumption.
func (e *estimator) decayRow(i int) {
	value, weight := priorFactor, priorWeight
	if i == 0 {
		value, weight = priorLoad, priorLoadWeight
	}
	e.rhs[i] = observationDecay*e.rhs[i] + (1-observationDecay)*weight*value
	for j := range e.normal[i] {
		e.normal[i][j] *= observationDecay
	}
	e.normal[i][i] += (1 - observationDecay) * weight
}

// solve computes the factors by Gaussian elimination. The matrix is positive definite because of the assumptions.
func (e *estimator) solve() {
	n := len(e.rhs)
	m := make([][]float64, n)
	for i := range m {
		m[i] = append(append(make([]float64, 0, n+1), e.normal[i]...), e.rhs[i])
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
	e.factors[0] = min(max(e.factors[0], 0), saturatedUtilization)
	for i := 1; i < n; i++ {
		e.factors[i] = min(max(e.factors[i], 0), maxFactor)
	}
}

// factor returns the newest factor of a filling image, or priorFactor if there is none.
func (e *estimator) factor(filling string) float64 {
	if i, ok := e.index[filling]; ok {
		return e.factors[i]
	}
	return priorFactor
}

// loadStdDev is the standard deviation of the utilization between observations that is due to the load of serving tasks
// alone. Observations of one task within seconds are correlated, so it allows for several of them.
const loadStdDev = 0.45

// weight returns the weight of the observations of a filling image, in squared shares.
func (e *estimator) weight(filling string) float64 {
	if i, ok := e.index[filling]; ok {
		return max(0, e.normal[i][i]-priorWeight)
	}
	return 0
}
