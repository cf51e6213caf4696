// Package pressure learns from reports how much filling tasks disturb the serving tasks beside them, and plans the
// pace of filling tasks so that serving tasks keep to their latency objectives.
//
// It answers loads in which the disturbance depends on which images are paired, and the load of serving tasks
// swings within seconds. The latency tail of a serving task is taken to grow with the utilization that it sees as
// base / (1 - utilization). A filling task adds to the utilization in proportion to the share of the worker that it
// uses, by a factor that is learned for each pair of images.
package pressure

import (
	"cmp"
	"slices"
	"time"
)

// Starting points of what is learned.
const (
	// priorLoad is the utilization assumed of serving tasks alone.
	priorLoad = 0.45
	// baseShare of a latency objective is the tail assumed at no utilization. With it, lone serving tasks at their usual
	// load come out between the utilizations of 0.2 and 0.75.
	baseShare = 0.22
	// saturated is the utilization above which the tail no longer tells differences.
	saturated = 0.95
	// full is the least utilization of a worker with a saturated tail.
	full = 1.0
)

// Pair names the images of a serving and a filling task.
type Pair struct{ Serving, Filling string }

// image is what was learned of a serving image.
type image struct {
	base      float64 // tail at no utilization, ms
	estimator *estimator
}

// Model is what was learned. It is not safe for concurrent use.
type Model struct {
	images map[string]*image
	// patience is how long a serving task may be over its objective before tasks that disturb little are slowed. At
	// the peak of its load it often is for a moment; slowing all of them then costs more than half of their work.
	patience time.Duration
}

// NewModel returns a model that has learned nothing.
func NewModel(patience time.Duration) *Model {
	return &Model{images: map[string]*image{}, patience: patience}
}

// Serving is a serving task on a worker.
type Serving struct {
	Image    string
	TargetMs float64
	// TailMs is the newest figure; 0 if there is none.
	TailMs float64
	// Over is for how long the tail has been over the objective.
	Over time.Duration
}

// Filling is a filling task on a worker.
type Filling struct {
	Image string
	// Share is the processor time in use, as a share of the worker's.
	Share float64
	// FullShare is what it would use unpaced.
	FullShare float64
	// Pace is the percentage in force.
	Pace int
}

// Factor returns the utilization that a serving image sees for each share of a worker that the filling image uses.
func (m *Model) Factor(p Pair) float64 {
	if im := m.images[p.Serving]; im != nil {
		return im.estimator.factor(p.Filling)
	}
	return priorFactor
}

func (m *Model) image(name string, targetMs float64) *image {
	im := m.images[name]
	if im == nil {
		im = &image{base: baseShare * targetMs, estimator: newEstimator()}
		m.images[name] = im
	}
	return im
}

// utilization that a serving task sees by its tail.
func (im *image) utilization(tailMs float64) float64 {
	return max(0, 1-im.base/max(tailMs, im.base))
}

// limit is the utilization at a share of the objective.
func (im *image) limit(targetMs, share float64) float64 {
	return im.utilization(targetMs * share)
}

// Observe learns from a report of one worker.
func (m *Model) Observe(serving []Serving, filling []Filling) {
	for i := range serving {
		if s := &serving[i]; s.TailMs > 0 && s.TargetMs > 0 {
			m.observe(s, filling)
		}
	}
}

func (m *Model) observe(s *Serving, filling []Filling) {
	im := m.image(s.Image, s.TargetMs)
	im.estimator.observe(min(im.utilization(s.TailMs), saturated), filling)
}

// Bounds of planning the pace.
const (
	// slowAbove is the tail, as a share of the objective, above which filling tasks are slowed.
	slowAbove = 0.8
	// aimShare is the tail that slowing and raising aim at.
	aimShare = 0.65
	// leastPace is the pace in percent below which a task is halted.
	leastPace = 10
	// raiseStep is the largest rise of the pace of a disturbing task in one report, in percent.
	raiseStep = 35
	// leastRise is the rise in percent that is worth an order.
	leastRise = 2
	// leastFullShare keeps a task that asks for hardly anything from being divided by zero.
	leastFullShare = 0.001
	// LightFactor is the factor up to which a filling image counts as harmless to a serving one.
	LightFactor = 0.8
	// beyondMeasure is added to the utilization of a serving task that is over its objective, since near saturation
	// the tail shows less than there is.
	beyondMeasure = 0.1
)

// Plan returns the pace in percent of each filling task for the next moments.
func (m *Model) Plan(serving []Serving, filling []Filling) []int {
	pace := make([]int, len(filling))
	for i := range filling {
		pace[i] = 100
	}
	for i := range serving {
		if s := &serving[i]; s.TargetMs > 0 && s.TailMs > 0 {
			m.limitPace(s, filling, pace)
		}
	}
	return pace
}

// limitPace lowers the paces to those that one serving task tolerates: of the images that disturb it and, if it
// has been over its objective for long, of all.
func (m *Model) limitPace(s *Serving, filling []Filling, pace []int) {
	im := m.image(s.Image, s.TargetMs)
	u := im.utilization(s.TailMs)
	if s.TailMs > s.TargetMs {
		u += beyondMeasure
	}
	order := m.byFactor(s.Image, filling)
	heavy := 0
	for heavy < len(order) && im.estimator.factor(filling[order[heavy]].Image) > LightFactor {
		heavy++
	}
	excess := u - im.limit(s.TargetMs, aimShare)
	slow := s.TailMs > slowAbove*s.TargetMs
	for _, i := range order[:heavy] {
		f := &filling[i]
		factor := im.estimator.factor(f.Image)
		if slow {
			pace[i] = min(pace[i], slower(f.Pace, excess, factor*f.Share))
			excess -= factor * f.Share
			continue
		}
		rise := min(float64(raiseStep), max(0, -excess)/(factor*max(f.FullShare, leastFullShare))*100)
		if rise < leastRise {
			rise = 0
		}
		pace[i] = min(pace[i], f.Pace+int(rise))
		excess += factor * f.FullShare * rise / 100
	}
	if s.Over >= m.patience {
		// What the others add was not enough, so the factors are wrong or all the light ones together are too much.
		for i := range filling {
			pace[i] = 0
		}
	}
}

// slower returns the pace at which a task that presses so much adds less by the excess.
func slower(pace int, excess, press float64) int {
	if press <= 0 {
		return pace
	}
	lower := int(float64(pace) * min(1, max(0, 1-excess/press)))
	if lower < leastPace {
		return 0
	}
	return lower
}

// byFactor returns the indices of the filling tasks, those that disturb the image most first.
func (m *Model) byFactor(serving string, filling []Filling) []int {
	order := make([]int, len(filling))
	for i := range order {
		order[i] = i
	}
	factor := func(i int) float64 { return m.Factor(Pair{serving, filling[i].Image}) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(factor(b), factor(a)) })
	return order
}

// Tolerates reports whether a serving image tolerates a filling image beside it, whatever else its load does.
func (m *Model) Tolerates(p Pair) bool { return m.Factor(p) <= LightFactor }

// Disturbs reports whether a filling image was certainly seen to disturb a serving one.
func (m *Model) Disturbs(p Pair) bool {
	im := m.images[p.Serving]
	return im != nil && im.estimator.lowerBound(p.Filling) > LightFactor
}

// known reports whether a pair was judged: whether the filling image was seen to be light or certainly seen to disturb.
func (m *Model) known(p Pair) bool {
	return m.Seen(p) && m.Tolerates(p) || m.Disturbs(p)
}

// unknownShare is the share of a worker that filling images which were not seen beside an image may use together
// while they are tried.
const unknownShare = 0.12

// Excess is what filling tasks on a worker add to the utilization of a serving image beyond what it tolerates. Images in
// untried must not be tried beside it now.
func (m *Model) Excess(serving string, shares map[string]float64, untried func(filling string) bool) float64 {
	total, unknown := 0.0, 0.0
	for filling, share := range shares {
		p := Pair{serving, filling}
		switch {
		case !m.known(p):
			unknown += share
			if untried(filling) {
				total += priorFactor * share
			}
		case !m.Tolerates(p):
			total += m.Factor(p) * share
		}
	}
	if unknown > unknownShare {
		total += priorFactor * (unknown - unknownShare)
	}
	return total
}

// Press is what filling tasks on a worker add to the utilization of a serving image. A pair that was not seen counts as
// harmless, so that it is tried.
func (m *Model) Press(serving string, shares map[string]float64) float64 {
	total := 0.0
	for filling, share := range shares {
		p := Pair{serving, filling}
		if m.Seen(p) {
			total += m.Factor(p) * share
		} else {
			total += LightFactor * share
		}
	}
	return total
}

// seenWeight is the weight of observations after which a pair counts as seen.
const seenWeight = 0.06

// Seen reports whether there are enough observations of a pair to judge it.
func (m *Model) Seen(p Pair) bool {
	im := m.images[p.Serving]
	if im == nil {
		return false
	}
	c, ok := im.estimator.index[p.Filling]
	return ok && im.estimator.squares[c][c] > priorWeight+seenWeight
}
