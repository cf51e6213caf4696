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
	"math"
	"slices"
)

// Starting points of what is learned.
const (
	// priorLoad is the utilization assumed of serving tasks alone.
	priorLoad = 0.45
	// baseShare of a latency objective is the tail assumed at no utilization.
	baseShare = 0.22
	// saturated is the utilization above which the tail no longer tells differences.
	saturated = 0.95
)

// Pair names the images of a serving and a filling task.
type Pair struct{ Serving, Filling string }

// image is what was learned of a serving image.
type image struct {
	base      float64 // tail at no utilization, ms
	estimator *estimator
}

// Model is what was learned. It is not safe for concurrent use.
type Model struct{ images map[string]*image }

// NewModel returns a model that has learned nothing.
func NewModel() *Model { return &Model{images: map[string]*image{}} }

// Serving is a serving task on a worker.
type Serving struct {
	Image    string
	TargetMs float64
	// TailMs is the newest figure; 0 if there is none.
	TailMs float64
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

// Shares of the objective between which the pace is left alone.
const (
	// slowAbove is the tail, as a share of the objective, above which filling tasks are slowed.
	slowAbove = 0.85
	// aimShare is the tail that slowing aims at.
	aimShare = 0.65
	// leastPace is the pace in percent below which a task is halted.
	leastPace = 10
	// raiseStep is the largest rise of the pace in one report, in percent.
	raiseStep = 35
)

// Plan returns the pace in percent of each filling task for the next moments.
func (m *Model) Plan(serving []Serving, filling []Filling) []int {
	pace := make([]int, len(filling))
	calm := true
	for i := range filling {
		pace[i] = filling[i].Pace
	}
	for i := range serving {
		s := &serving[i]
		if s.TargetMs <= 0 || s.TailMs <= 0 {
			continue
		}
		if s.TailMs > slowAbove*s.TargetMs {
			m.slow(s, filling, pace)
		}
		calm = calm && s.TailMs <= aimShare*s.TargetMs
	}
	if calm {
		m.raise(serving, filling, pace)
	}
	return pace
}

// slow lowers the paces of those that press most until the serving task's tail would be at its aim.
func (m *Model) slow(s *Serving, filling []Filling, pace []int) {
	im := m.image(s.Image, s.TargetMs)
	excess := im.utilization(s.TailMs) - im.limit(s.TargetMs, aimShare)
	if s.TailMs > s.TargetMs {
		excess += 0.1 // the tail shows less than the utilization near saturation
	}
	order := make([]int, len(filling))
	for i := range order {
		order[i] = i
	}
	press := func(i int) float64 { return m.Factor(Pair{s.Image, filling[i].Image}) * filling[i].Share }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(press(b), press(a)) })
	for _, i := range order {
		p := press(i)
		if excess <= 0 || p <= 0 {
			return
		}
		left := max(0, 1-excess/p)
		slower := int(math.Floor(float64(filling[i].Pace) * left))
		if slower < leastPace {
			slower = 0
		}
		pace[i] = min(pace[i], slower)
		excess -= p
	}
}

// raise raises paces as far as every serving task's tail would stay at its aim.
func (m *Model) raise(serving []Serving, filling []Filling, pace []int) {
	room := make([]float64, len(serving))
	for i := range serving {
		s := &serving[i]
		im := m.image(s.Image, s.TargetMs)
		room[i] = math.Inf(1)
		if s.TargetMs > 0 {
			room[i] = im.limit(s.TargetMs, aimShare) - im.utilization(max(s.TailMs, im.base))
		}
	}
	for i := range filling {
		f := &filling[i]
		if f.Pace >= 100 {
			continue
		}
		rise := float64(min(100-f.Pace, raiseStep)) / 100
		for j := range serving {
			if press := m.Factor(Pair{serving[j].Image, f.Image}) * f.FullShare; press > 0 {
				rise = min(rise, max(0, room[j])/press)
			}
		}
		if rise < 0.02 {
			continue
		}
		pace[i] = max(pace[i], min(100, f.Pace+int(rise*100)))
		if pace[i] > 90 {
			pace[i] = 100
		}
		for j := range serving {
			room[j] -= m.Factor(Pair{serving[j].Image, f.Image}) * f.FullShare * rise
		}
	}
}

// bearShare is the tail, as a share of the objective, up to which filling tasks may raise the average tail. The load
// of serving tasks swings around the average, and their tail with it.
const bearShare = 0.6

// Headroom is the utilization that filling tasks may add to a serving image on average.
func (m *Model) Headroom(servingImage string, targetMs float64) float64 {
	im := m.image(servingImage, targetMs)
	return max(leastHeadroom, im.limit(targetMs, bearShare)-im.estimator.load())
}

// leastHeadroom lets filling tasks that disturb little run beside every image.
const leastHeadroom = 0.08
