// Package pressure learns from worker reports how much filling (best-effort) tasks disturb the serving tasks beside
// them, and plans the pace of filling tasks so that serving tasks meet their latency objectives.
//
// It is designed for loads in which the interference depends on the pair of images, and the load of serving tasks
// varies within seconds. The tail latency of a serving task is modelled as base / (1 - utilization), where the
// utilization is the one that the task sees. A filling task adds to it in proportion to the share of the worker that it
// uses, by a factor that is learned for each pair of images.
package pressure

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Assumptions of a model without observations, and the limits of its input.
const (
	// priorLoad is the assumed utilization by a serving task alone.
	priorLoad = 0.45
	// baseTailShare is the assumed tail at no utilization as a share of the latency objective. With it, lone serving
	// tasks at their usual load have utilizations between 0.2 and 0.75.
	baseTailShare = 0.22
	// saturatedUtilization is the utilization above which the tail no longer shows differences.
	saturatedUtilization = 0.95
	// fullUtilization is the minimum utilization of a worker with a saturated tail.
	fullUtilization = 1.0
)

// Pair names the images of a serving and a filling task.
type Pair struct{ Serving, Filling string }

// servingImage is what was learned about a serving image.
type servingImage struct {
	baseMs    float64 // tail at no utilization
	estimator *estimator
	// observedAt is the number of observations of the model at the newest one of the image.
	observedAt int
}

// Model predicts the interference between images from past reports. It is not safe for concurrent use.
type Model struct {
	images map[string]*servingImage
	// observations counts those of all images.
	observations int
	// others sums what models of other shards have learned, by pair.
	others map[Pair]evidence
	// classes holds the classes of pairs since the last change of the model. A plan asks for each pair on each worker.
	classes map[Pair]class
	// haltAllAfter is how long a serving task may be over its objective before filling tasks that disturb little are
	// halted too. At the peak of its load it often is for a moment; halting all of them then costs more than half of
	// their work.
	haltAllAfter time.Duration
}

// NewModel returns a model without observations.
func NewModel(haltAllAfter time.Duration) *Model {
	return &Model{images: map[string]*servingImage{}, classes: map[Pair]class{}, haltAllAfter: haltAllAfter}
}

// Serving is a serving task on a worker.
type Serving struct {
	Image    string
	TargetMs float64
	// TailMs is the newest reported tail latency; 0 if there is none.
	TailMs float64
	// OverTargetFor is how long the tail has been over the objective.
	OverTargetFor time.Duration
}

// Filling is a filling task on a worker.
type Filling struct {
	Image string
	// Share is the processor time in use, as a share of the worker's.
	Share float64
	// FullShare is the share that it would use at full pace.
	FullShare float64
	// PacePercent is the current pace in percent of full pace.
	PacePercent int
}

// Factor returns the utilization that the filling image adds to the serving image per share of the worker that it uses.
func (m *Model) Factor(p Pair) float64 {
	factor, weight := priorFactor, 0.0
	if im := m.images[p.Serving]; im != nil {
		factor, weight = im.estimator.factor(p.Filling), im.estimator.weight(p.Filling)
	}
	other := m.others[p]
	return (factor*(weight+priorWeight) + other.weightedSum) / (weight + priorWeight + other.weight)
}

// weight returns the weight of all observations of a pair, in squared shares.
func (m *Model) weight(p Pair) float64 {
	weight := m.others[p].weight
	if im := m.images[p.Serving]; im != nil {
		weight += im.estimator.weight(p.Filling)
	}
	return weight
}

func (m *Model) imageFor(name string, targetMs float64) *servingImage {
	im := m.images[name]
	if im == nil {
		m.forgetImages()
		im = &servingImage{baseMs: baseTailShare * targetMs, estimator: newEstimator(), observedAt: m.observations}
		m.images[name] = im
	}
	return im
}

// Limits of the images that a model keeps. Callers name images, and each new version of a program may be one.
const (
	// maxImages limits the serving images.
	maxImages = 256
	// maxUnobserved is the number of observations of others after which an image is forgotten: half an hour at 50 reports a
	// second.
	maxUnobserved = 100_000
)

// forgetImages makes room for one more image: it removes those that were not observed for long and, if there are still too
// many, the one that was not observed for longest.
func (m *Model) forgetImages() {
	oldest := ""
	for name, im := range m.images {
		if m.observations-im.observedAt > maxUnobserved {
			delete(m.images, name)
		} else if first := m.images[oldest]; first == nil || im.observedAt < first.observedAt ||
			im.observedAt == first.observedAt && name < oldest {
			oldest = name
		}
	}
	if len(m.images) >= maxImages {
		delete(m.images, oldest)
	}
}

// utilization returns the utilization that a serving task sees, derived from its tail.
func (im *servingImage) utilization(tailMs float64) float64 {
	return max(0, 1-im.baseMs/max(tailMs, im.baseMs))
}

// utilizationLimit returns the utilization at which the tail is the given share of the objective.
func (im *servingImage) utilizationLimit(targetMs, share float64) float64 {
	return im.utilization(targetMs * share)
}

// Observe updates the model with a report of one worker.
func (m *Model) Observe(serving []Serving, filling []Filling) {
	clear(m.classes)
	for i := range serving {
		if s := &serving[i]; s.TailMs > 0 && s.TargetMs > 0 {
			m.observe(s, filling)
		}
	}
}

func (m *Model) observe(s *Serving, filling []Filling) {
	im := m.imageFor(s.Image, s.TargetMs)
	m.observations++
	im.observedAt = m.observations
	im.estimator.observe(min(im.utilization(s.TailMs), saturatedUtilization), filling)
}

// Limits of pace planning.
const (
	// throttleTailShare is the tail, as a share of the objective, above which filling tasks are slowed.
	throttleTailShare = 0.8
	// targetTailShare is the tail, as a share of the objective, that pace changes aim at.
	targetTailShare = 0.65
	// minPacePercent is the pace below which a task is halted.
	minPacePercent = 10
	// maxPaceRisePercent is the largest rise of the pace of a disturbing task in one report.
	maxPaceRisePercent = 35
	// minPaceRisePercent is the smallest rise that is worth a command to the worker.
	minPaceRisePercent = 2
	// minFullShare prevents a division by zero for tasks that request hardly any processor time.
	minFullShare = 0.001
	// MaxToleratedFactor is the factor up to which a filling image counts as harmless to a serving one.
	MaxToleratedFactor = 0.8
	// overTargetUtilization is added to the utilization of a serving task that is over its objective, since the tail
	// understates the utilization near saturation.
	overTargetUtilization = 0.1
)

// Plan returns the pace in percent for each filling task until the next report.
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

// limitPace lowers the paces to those that one serving task tolerates: those of images that disturb it and, once it has
// been over its objective for haltAllAfter, those of all images.
func (m *Model) limitPace(s *Serving, filling []Filling, pace []int) {
	im := m.imageFor(s.Image, s.TargetMs)
	utilization := im.utilization(s.TailMs)
	if s.TailMs > s.TargetMs {
		utilization += overTargetUtilization
	}
	order := m.orderByFactor(s.Image, filling)
	disturbing := 0
	for disturbing < len(order) && m.Factor(Pair{s.Image, filling[order[disturbing]].Image}) > MaxToleratedFactor {
		disturbing++
	}
	excess := utilization - im.utilizationLimit(s.TargetMs, targetTailShare)
	throttle := s.TailMs > throttleTailShare*s.TargetMs
	for _, i := range order[:disturbing] {
		f := &filling[i]
		factor := m.Factor(Pair{s.Image, f.Image})
		if throttle {
			pace[i] = min(pace[i], reducedPace(f.PacePercent, excess, factor*f.Share))
			excess -= factor * f.Share
			continue
		}
		rise := min(float64(maxPaceRisePercent), max(0, -excess)/(factor*max(f.FullShare, minFullShare))*100)
		if rise < minPaceRisePercent {
			rise = 0
		}
		pace[i] = min(pace[i], f.PacePercent+int(rise))
		excess += factor * f.FullShare * rise / 100
	}
	if s.OverTargetFor >= m.haltAllAfter {
		// Slowing the disturbing images was not enough: the factors are wrong, or all harmless images together are too much.
		for i := range filling {
			pace[i] = 0
		}
	}
}

// reducedPace lowers the pace of a task so that the utilization that it adds falls by the excess. It returns 0 to halt
// the task.
func reducedPace(pace int, excess, added float64) int {
	if added <= 0 {
		return pace
	}
	reduced := int(float64(pace) * min(1, max(0, 1-excess/added)))
	if reduced < minPacePercent {
		return 0
	}
	return reduced
}

// orderByFactor returns the indices of the filling tasks, those that disturb the image most first.
func (m *Model) orderByFactor(serving string, filling []Filling) []int {
	indices := make([]int, len(filling))
	for i := range indices {
		indices[i] = i
	}
	factor := func(i int) float64 { return m.Factor(Pair{serving, filling[i].Image}) }
	slices.SortStableFunc(indices, func(a, b int) int { return cmp.Compare(factor(b), factor(a)) })
	return indices
}

// Tolerates reports whether a serving image tolerates a filling image beside it, regardless of its own load.
func (m *Model) Tolerates(p Pair) bool { return m.Factor(p) <= MaxToleratedFactor }

// Disturbs reports whether observations show with certainty that a filling image disturbs a serving one.
func (m *Model) Disturbs(p Pair) bool {
	weight := m.weight(p)
	return weight > 0 && m.Factor(p)-loadStdDev/math.Sqrt(weight) > MaxToleratedFactor
}

// class is what is known of a pair.
type class struct {
	factor float64
	seen   bool
	// classified is set if observations show that the filling image is harmless or, with certainty, that it disturbs.
	classified bool
}

// tolerates reports whether the filling image counts as harmless.
func (c class) tolerates() bool { return c.factor <= MaxToleratedFactor }

func (m *Model) class(p Pair) class {
	c, ok := m.classes[p]
	if !ok {
		c = class{factor: m.Factor(p), seen: m.Seen(p)}
		c.classified = c.seen && c.tolerates() || m.Disturbs(p)
		m.classes[p] = c
	}
	return c
}

// maxUnclassifiedShare is the share of a worker that filling images not yet classified beside a serving image may use
// together while they are tried.
const maxUnclassifiedShare = 0.12

// ExcessUtilization returns what filling tasks on a worker add to the utilization of a serving image beyond what it
// tolerates. Images not yet classified for which block returns true must not be tried beside it now.
func (m *Model) ExcessUtilization(serving string, shares map[string]float64, block func(filling string) bool) float64 {
	total, unclassified := 0.0, 0.0
	for filling, share := range shares {
		switch c := m.class(Pair{serving, filling}); {
		case !c.classified:
			unclassified += share
			if block(filling) {
				total += priorFactor * share
			}
		case !c.tolerates():
			total += c.factor * share
		}
	}
	if unclassified > maxUnclassifiedShare {
		total += priorFactor * (unclassified - maxUnclassifiedShare)
	}
	return total
}

// AddedUtilization returns what filling tasks on a worker add to the utilization of a serving image. A pair without
// enough observations counts as harmless, so that it is tried.
func (m *Model) AddedUtilization(serving string, shares map[string]float64) float64 {
	total := 0.0
	for filling, share := range shares {
		if c := m.class(Pair{serving, filling}); c.seen {
			total += c.factor * share
		} else {
			total += MaxToleratedFactor * share
		}
	}
	return total
}

// minSeenWeight is the weight of observations, in squared shares, above which a pair counts as seen.
const minSeenWeight = 0.06

// Seen reports whether there are enough observations of a pair to classify it.
func (m *Model) Seen(p Pair) bool { return m.weight(p) > minSeenWeight }
