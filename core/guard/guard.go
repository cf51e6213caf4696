package guard

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/verdict"
)

// Options tunes a Guard.
type Options struct {
	// EvictionsPerMinute is this daemon's part of the zone's budget. Unused budget is kept for one minute.
	EvictionsPerMinute float64
	// Settle is how long after an action figures are not judged: the reporting lag and one interval.
	Settle time.Duration
	// EnterAbove and ExitBelow are ratios of latency to target. Between them nothing changes.
	EnterAbove, ExitBelow float64
	// EnterReports and ExitReports are how many reports in a row must agree.
	EnterReports, ExitReports int
	// MinRequests is the number of requests below which a latency is not judged.
	MinRequests int
	// Improvement is the part of the latency that must go for a throttled run to count as a cause.
	Improvement float64
	// Steps are the limits in percent that a suspect goes through before it is moved.
	Steps []int64
	// ExonerateFor is how long a run is left alone after its throttling did not help.
	ExonerateFor time.Duration
	// MoveOnce is how long a moved task is not moved again.
	MoveOnce time.Duration
	// WaveShare of the workers with services above target at the same time is a wave. During a wave nothing
	// is moved, because there is no quiet worker to move to.
	WaveShare float64
}

// DefaultOptions returns the options that the daemons use. Reports arrive every 5 s and lag by as much.
func DefaultOptions() Options {
	return Options{
		EvictionsPerMinute: 2, Settle: 15 * time.Second, EnterAbove: 1, ExitBelow: 0.8, EnterReports: 2,
		ExitReports: 4, MinRequests: 20, Improvement: 0.1, Steps: []int64{50, 25}, ExonerateFor: 5 * time.Minute,
		MoveOnce: 10 * time.Minute, WaveShare: 0.3,
	}
}

// suspect is a throttled batch run.
type suspect struct {
	task  record.TaskID
	epoch int64
	step  int // index into Options.Steps
	// before is the ratio of latency to target when the last step was taken.
	before float64
	judged bool
}

// episode is what the guard remembers about a worker with a service above its target.
type episode struct {
	over, under int
	measuredAt  time.Time
	actedAt     time.Time
	suspects    []suspect // the last one is the current suspect
	exonerated  map[record.TaskID]time.Time
}

// Guard decides for the workers that one daemon owns. It is not safe for concurrent use.
type Guard struct {
	opts     Options
	episodes map[string]*episode
	moved    map[record.TaskID]time.Time
	budget   float64
	budgetAt time.Time
}

// New returns a guard with a full eviction budget.
func New(o Options) *Guard {
	return &Guard{opts: o, episodes: map[string]*episode{}, moved: map[record.TaskID]time.Time{}, budget: o.EvictionsPerMinute}
}

// SetBudget changes this daemon's part of the zone's budget, for instance after it gained or lost shards.
func (g *Guard) SetBudget(evictionsPerMinute float64) {
	g.opts.EvictionsPerMinute = evictionsPerMinute
	g.budget = min(g.budget, evictionsPerMinute)
}

// Forget drops what is remembered about a worker that this daemon no longer owns.
func (g *Guard) Forget(worker string) { delete(g.episodes, worker) }

// Step looks at the newest view of all owned workers and returns at most one action for each. Views that were
// seen before are ignored.
func (g *Guard) Step(now time.Time, views []WorkerView) []Action {
	g.refill(now)
	ratios := make([]float64, len(views))
	order := make([]int, len(views))
	for i := range views {
		ratios[i], order[i] = g.ratio(&views[i]), i
	}
	// The worst worker comes first, so that the budget goes where it helps most.
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(ratios[b], ratios[a]), cmp.Compare(views[a].Worker, views[b].Worker))
	})
	wave := g.isWave(ratios)
	var out []Action
	for _, i := range order {
		if a, ok := g.worker(now, &views[i], ratios[i], wave); ok {
			out = append(out, a)
		}
	}
	return out
}

// ratio returns the largest ratio of latency to target that neighbours may have caused, and -1 if the worker
// has no service that can be judged.
func (g *Guard) ratio(v *WorkerView) float64 {
	worst := -1.0
	for _, s := range v.Services {
		if s.TargetMs <= 0 || s.Requests < g.opts.MinRequests {
			continue
		}
		r := s.LatencyMs / s.TargetMs
		if r > g.opts.EnterAbove && (s.Cause == verdict.Network || s.Cause == verdict.OwnLoad) {
			// Not the neighbours' doing. It is not a sign of relief either, so it counts as in between.
			r = g.opts.EnterAbove
		}
		worst = max(worst, r)
	}
	return worst
}

// isWave reports whether many workers suffer at once. Up to three of them never are a wave.
func (g *Guard) isWave(ratios []float64) bool {
	judged, over := 0, 0
	for _, r := range ratios {
		if r >= 0 {
			judged++
		}
		if r > g.opts.EnterAbove {
			over++
		}
	}
	return over > 3 && float64(over) > g.opts.WaveShare*float64(judged)
}

func (g *Guard) refill(now time.Time) {
	if !g.budgetAt.IsZero() {
		g.budget = min(g.opts.EvictionsPerMinute, g.budget+now.Sub(g.budgetAt).Minutes()*g.opts.EvictionsPerMinute)
	}
	g.budgetAt = now
	for task, at := range g.moved {
		if now.Sub(at) >= g.opts.MoveOnce {
			delete(g.moved, task)
		}
	}
}

// worker advances the episode of one worker.
func (g *Guard) worker(now time.Time, v *WorkerView, ratio float64, wave bool) (Action, bool) {
	e := g.episodes[v.Worker]
	if e == nil {
		suspects := g.adopt(v, ratio)
		if ratio <= g.opts.EnterAbove && len(suspects) == 0 {
			return Action{}, false
		}
		e = &episode{exonerated: map[record.TaskID]time.Time{}, suspects: suspects}
		g.episodes[v.Worker] = e
	}
	if !v.MeasuredAt.After(e.measuredAt) || ratio < 0 {
		return Action{}, false
	}
	e.measuredAt = v.MeasuredAt
	if v.MeasuredAt.Before(e.actedAt) || now.Sub(e.actedAt) < g.opts.Settle && !e.actedAt.IsZero() {
		return Action{}, false // the figures do not show the effect of the last action yet
	}
	e.count(ratio, &g.opts)
	e.dropEnded(v)
	a, ok := Action{}, false
	switch {
	case e.over >= g.opts.EnterReports:
		a, ok = g.press(now, e, v, ratio, wave)
	case e.under >= g.opts.ExitReports:
		a, ok = g.relax(e, v)
	}
	if ok {
		e.actedAt, e.over, e.under = now, 0, 0
	}
	return a, ok
}

// adopt returns the runs that were throttled before this guard knew the worker, by its previous owner. Without
// this their limits would stay for ever.
func (g *Guard) adopt(v *WorkerView, ratio float64) []suspect {
	var out []suspect
	for _, b := range v.Batch {
		if b.ThrottlePercent <= 0 || b.ThrottlePercent >= 100 {
			continue
		}
		step := 0
		for step+1 < len(g.opts.Steps) && b.ThrottlePercent <= g.opts.Steps[step+1] {
			step++
		}
		out = append(out, suspect{task: b.Task, epoch: b.Epoch, step: step, before: ratio, judged: true})
	}
	return out
}

func (e *episode) count(ratio float64, o *Options) {
	switch {
	case ratio > o.EnterAbove:
		e.over, e.under = e.over+1, 0
	case ratio < o.ExitBelow:
		e.over, e.under = 0, e.under+1
	default:
		e.over, e.under = 0, 0
	}
}

// dropEnded forgets suspects that no longer run here.
func (e *episode) dropEnded(v *WorkerView) {
	e.suspects = slices.DeleteFunc(e.suspects, func(s suspect) bool {
		return !slices.ContainsFunc(v.Batch, func(b BatchView) bool { return b.Task == s.task && b.Epoch == s.epoch })
	})
}

// press takes the next step against the likeliest cause.
func (g *Guard) press(now time.Time, e *episode, v *WorkerView, ratio float64, wave bool) (Action, bool) {
	if k := len(e.suspects); k > 0 {
		s := &e.suspects[k-1]
		if !s.judged && ratio > s.before*(1-g.opts.Improvement) {
			// The throttling did not help, so this run is not the cause.
			e.exonerated[s.task] = now
			a := g.action(v, s.task, s.epoch, Throttle, 100, "throttling did not help")
			e.suspects = e.suspects[:k-1]
			return a, true
		}
		s.judged = true
		if s.step+1 < len(g.opts.Steps) {
			s.step, s.before, s.judged = s.step+1, ratio, false
			return g.action(v, s.task, s.epoch, Throttle, g.opts.Steps[s.step], over(ratio)), true
		}
		if a, ok := g.move(now, e, v, wave, ratio); ok {
			return a, true
		}
	}
	return g.accuse(now, e, v, ratio)
}

// accuse throttles the batch run with the largest expected effect that is neither throttled nor exonerated.
func (g *Guard) accuse(now time.Time, e *episode, v *WorkerView, ratio float64) (Action, bool) {
	best, bestScore, floor := -1, 0.0, g.suspicion(v)
	for i, b := range v.Batch {
		if at, ok := e.exonerated[b.Task]; ok && now.Sub(at) < g.opts.ExonerateFor {
			continue
		}
		if slices.ContainsFunc(e.suspects, func(s suspect) bool { return s.task == b.Task }) {
			continue
		}
		if score := (b.Effect + floor) * b.Load; score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Action{}, false
	}
	b := v.Batch[best]
	e.suspects = append(e.suspects, suspect{task: b.Task, epoch: b.Epoch, before: ratio})
	return g.action(v, b.Task, b.Epoch, Throttle, g.opts.Steps[0], over(ratio)), true
}

// unknownEffect is what every batch run is suspected of while neighbours are known to be the cause. It lets the
// guard try classes whose effect was not learned yet, the busiest first, after those with a known effect.
const unknownEffect = 0.05

// suspicion returns the effect to assume of unknown classes: none unless a verdict names the neighbours.
func (g *Guard) suspicion(v *WorkerView) float64 {
	for _, s := range v.Services {
		if s.Cause == verdict.Neighbours && s.TargetMs > 0 && s.LatencyMs > g.opts.EnterAbove*s.TargetMs {
			return unknownEffect
		}
	}
	return 0
}

// move evicts a suspect whose throttling helped but not enough, within the budget.
func (g *Guard) move(now time.Time, e *episode, v *WorkerView, wave bool, ratio float64) (Action, bool) {
	if wave || g.budget < 1 {
		return Action{}, false
	}
	for i := range e.suspects {
		s := e.suspects[i]
		if _, recent := g.moved[s.task]; recent || !s.judged {
			continue
		}
		g.budget--
		g.moved[s.task] = now
		e.suspects = slices.Delete(e.suspects, i, i+1)
		return g.action(v, s.task, s.epoch, Move, 0, over(ratio)), true
	}
	return Action{}, false
}

// relax takes back the last throttling by one step, and ends the episode after the last one.
func (g *Guard) relax(e *episode, v *WorkerView) (Action, bool) {
	k := len(e.suspects)
	if k == 0 {
		delete(g.episodes, v.Worker)
		return Action{}, false
	}
	s := &e.suspects[k-1]
	percent := int64(100)
	if s.step > 0 {
		s.step--
		percent = g.opts.Steps[s.step]
	}
	a := g.action(v, s.task, s.epoch, Throttle, percent, "the services are well below their targets")
	if percent == 100 {
		e.suspects = e.suspects[:k-1]
	}
	return a, true
}

func (g *Guard) action(v *WorkerView, task record.TaskID, epoch int64, k Kind, percent int64, reason string) Action {
	return Action{Kind: k, Worker: v.Worker, Task: task, Epoch: epoch, Percent: percent, Reason: reason}
}

func over(ratio float64) string {
	return fmt.Sprintf("a service is at %.2f times its latency target", ratio)
}
