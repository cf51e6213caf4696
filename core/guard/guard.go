package guard

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/verdict"
)

// Options configures a Guard.
type Options struct {
	// EvictionsPerMinute is this daemon's share of the zone's budget. Unused budget is kept for one minute.
	EvictionsPerMinute float64
	// SettleTime is how long after an action reports are ignored: the reporting lag and one interval.
	SettleTime time.Duration
	// EnterAbove and ExitBelow are ratios of latency to target. Between them nothing changes.
	EnterAbove, ExitBelow float64
	// EnterReports and ExitReports are the numbers of consecutive reports above and below that lead to an action.
	EnterReports, ExitReports int
	// MinRequests is the number of requests below which a latency is ignored.
	MinRequests int
	// MinImprovement is the fraction by which the latency must fall for a throttled run to count as a cause.
	MinImprovement float64
	// ThrottleSteps are the successive limits in percent that a run gets before it is moved.
	ThrottleSteps []int64
	// IneffectiveCooldown is how long a run is not throttled again after its throttling did not help.
	IneffectiveCooldown time.Duration
	// MoveCooldown is how long a moved task is not moved again.
	MoveCooldown time.Duration
	// WidespreadShare is the share of measured workers above target beyond which contention is widespread.
	// Then nothing is moved, because there is no quiet worker to move to.
	WidespreadShare float64
}

// DefaultOptions returns the options that the daemons use. Reports arrive every 5 s and lag by as much.
func DefaultOptions() Options {
	return Options{
		EvictionsPerMinute: 2, SettleTime: 15 * time.Second, EnterAbove: 1, ExitBelow: 0.8, EnterReports: 2,
		ExitReports: 4, MinRequests: 20, MinImprovement: 0.1, ThrottleSteps: []int64{50, 25},
		IneffectiveCooldown: 5 * time.Minute, MoveCooldown: 10 * time.Minute, WidespreadShare: 0.3,
	}
}

// throttledRun is a batch run that the guard has throttled.
type throttledRun struct {
	task  record.TaskID
	epoch int64
	step  int // index into Options.ThrottleSteps
	// ratioBefore is the ratio of latency to target when the last step was taken.
	ratioBefore float64
	// effective is true once a report has shown that the last step reduced the ratio, and for runs that a
	// previous owner throttled.
	effective bool
}

// episode is the state of a worker from a service exceeding its target until all limits have been removed.
type episode struct {
	// reportsAbove and reportsBelow count the consecutive reports above EnterAbove and below ExitBelow.
	reportsAbove, reportsBelow int
	measuredAt                 time.Time
	actedAt                    time.Time
	throttled                  []throttledRun              // the last one was throttled last
	ineffective                map[record.TaskID]time.Time // when the throttling of a run proved ineffective
}

// Guard decides on actions for the workers that one daemon owns. It is not safe for concurrent use.
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

// SetBudget changes this daemon's share of the zone's budget, for instance after it gained or lost shards.
func (g *Guard) SetBudget(evictionsPerMinute float64) {
	g.opts.EvictionsPerMinute = evictionsPerMinute
	g.budget = min(g.budget, evictionsPerMinute)
}

// RemoveWorker removes the state of a worker that this daemon no longer owns.
func (g *Guard) RemoveWorker(worker string) { delete(g.episodes, worker) }

// Step evaluates the newest views of all owned workers and returns at most one action for each. Views that were
// evaluated before are ignored.
func (g *Guard) Step(now time.Time, views []WorkerView) []Action {
	g.refill(now)
	ratios := make([]float64, len(views))
	order := make([]int, len(views))
	for i := range views {
		ratios[i], order[i] = g.worstRatio(&views[i]), i
	}
	// The worst worker comes first, so that the budget is used where it helps most.
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(ratios[b], ratios[a]), cmp.Compare(views[a].Worker, views[b].Worker))
	})
	widespread := g.isWidespread(ratios)
	var out []Action
	for _, i := range order {
		if a, ok := g.stepWorker(now, &views[i], ratios[i], widespread); ok {
			out = append(out, a)
		}
	}
	return out
}

// worstRatio returns the largest ratio of latency to target that neighbours may have caused, or -1 if no service of
// the worker has a target and enough requests.
func (g *Guard) worstRatio(v *WorkerView) float64 {
	worst := -1.0
	for _, s := range v.Services {
		if s.TargetMs <= 0 || s.Requests < g.opts.MinRequests {
			continue
		}
		r := s.LatencyMs / s.TargetMs
		if r > g.opts.EnterAbove && (s.Cause == verdict.Network || s.Cause == verdict.OwnLoad) {
			// Neighbours are not the cause, but the latency is not low either: the ratio counts as in between.
			r = g.opts.EnterAbove
		}
		worst = max(worst, r)
	}
	return worst
}

// isWidespread reports whether many workers have services above target at once. Up to three never count as many.
func (g *Guard) isWidespread(ratios []float64) bool {
	measured, above := 0, 0
	for _, r := range ratios {
		if r >= 0 {
			measured++
		}
		if r > g.opts.EnterAbove {
			above++
		}
	}
	return above > 3 && float64(above) > g.opts.WidespreadShare*float64(measured)
}

// refill adds the eviction budget for the time since the last call, and removes tasks whose MoveCooldown has ended.
func (g *Guard) refill(now time.Time) {
	if !g.budgetAt.IsZero() {
		g.budget = min(g.opts.EvictionsPerMinute, g.budget+now.Sub(g.budgetAt).Minutes()*g.opts.EvictionsPerMinute)
	}
	g.budgetAt = now
	for task, at := range g.moved {
		if now.Sub(at) >= g.opts.MoveCooldown {
			delete(g.moved, task)
		}
	}
}

// stepWorker starts or advances the episode of one worker.
func (g *Guard) stepWorker(now time.Time, v *WorkerView, ratio float64, widespread bool) (Action, bool) {
	e := g.episodes[v.Worker]
	if e == nil {
		throttled := g.existingThrottles(v, ratio)
		if ratio <= g.opts.EnterAbove && len(throttled) == 0 {
			return Action{}, false
		}
		e = &episode{ineffective: map[record.TaskID]time.Time{}, throttled: throttled}
		g.episodes[v.Worker] = e
	}
	if !v.MeasuredAt.After(e.measuredAt) || ratio < 0 {
		return Action{}, false
	}
	e.measuredAt = v.MeasuredAt
	if v.MeasuredAt.Before(e.actedAt) || now.Sub(e.actedAt) < g.opts.SettleTime && !e.actedAt.IsZero() {
		return Action{}, false // the report does not show the full effect of the last action
	}
	e.countReport(ratio, &g.opts)
	e.removeEnded(v)
	a, ok := Action{}, false
	switch {
	case e.reportsAbove >= g.opts.EnterReports:
		a, ok = g.escalate(now, e, v, ratio, widespread)
	case e.reportsBelow >= g.opts.ExitReports:
		a, ok = g.relax(e, v)
	}
	if ok {
		e.actedAt, e.reportsAbove, e.reportsBelow = now, 0, 0
	}
	return a, ok
}

// existingThrottles returns the runs that the worker's previous owner throttled. Without them their limits would
// never be removed.
func (g *Guard) existingThrottles(v *WorkerView, ratio float64) []throttledRun {
	var out []throttledRun
	for _, b := range v.Batch {
		if b.ThrottlePercent <= 0 || b.ThrottlePercent >= 100 {
			continue
		}
		step := 0
		for step+1 < len(g.opts.ThrottleSteps) && b.ThrottlePercent <= g.opts.ThrottleSteps[step+1] {
			step++
		}
		out = append(out, throttledRun{task: b.Task, epoch: b.Epoch, step: step, ratioBefore: ratio, effective: true})
	}
	return out
}

// countReport adds a report to the consecutive reports above or below the thresholds.
func (e *episode) countReport(ratio float64, o *Options) {
	switch {
	case ratio > o.EnterAbove:
		e.reportsAbove, e.reportsBelow = e.reportsAbove+1, 0
	case ratio < o.ExitBelow:
		e.reportsAbove, e.reportsBelow = 0, e.reportsBelow+1
	default:
		e.reportsAbove, e.reportsBelow = 0, 0
	}
}

// removeEnded removes throttled runs that no longer run on the worker.
func (e *episode) removeEnded(v *WorkerView) {
	e.throttled = slices.DeleteFunc(e.throttled, func(t throttledRun) bool {
		return !slices.ContainsFunc(v.Batch, func(b BatchView) bool { return b.Task == t.task && b.Epoch == t.epoch })
	})
}

// escalate takes the next step against the most likely cause.
func (g *Guard) escalate(now time.Time, e *episode, v *WorkerView, ratio float64, widespread bool) (Action, bool) {
	if k := len(e.throttled); k > 0 {
		t := &e.throttled[k-1]
		if !t.effective && ratio > t.ratioBefore*(1-g.opts.MinImprovement) {
			// The throttling did not help, so this run is not the cause; its limit is removed.
			e.ineffective[t.task] = now
			a := g.newAction(v, t.task, t.epoch, Throttle, 100, "throttling did not help")
			e.throttled = e.throttled[:k-1]
			return a, true
		}
		t.effective = true
		if t.step+1 < len(g.opts.ThrottleSteps) {
			t.step, t.ratioBefore, t.effective = t.step+1, ratio, false
			return g.newAction(v, t.task, t.epoch, Throttle, g.opts.ThrottleSteps[t.step], aboveTargetReason(ratio)), true
		}
		if a, ok := g.move(now, e, v, widespread, ratio); ok {
			return a, true
		}
	}
	return g.throttleNext(now, e, v, ratio)
}

// throttleNext throttles the batch run with the largest expected effect, except those that are throttled already or
// for which throttling did not help less than IneffectiveCooldown ago.
func (g *Guard) throttleNext(now time.Time, e *episode, v *WorkerView, ratio float64) (Action, bool) {
	best, bestScore, extra := -1, 0.0, g.extraEffect(v)
	for i, b := range v.Batch {
		if at, ok := e.ineffective[b.Task]; ok && now.Sub(at) < g.opts.IneffectiveCooldown {
			continue
		}
		if slices.ContainsFunc(e.throttled, func(t throttledRun) bool { return t.task == b.Task }) {
			continue
		}
		if score := (b.Effect + extra) * b.Load; score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Action{}, false
	}
	b := v.Batch[best]
	e.throttled = append(e.throttled, throttledRun{task: b.Task, epoch: b.Epoch, ratioBefore: ratio})
	return g.newAction(v, b.Task, b.Epoch, Throttle, g.opts.ThrottleSteps[0], aboveTargetReason(ratio)), true
}

// assumedEffect is added to the effect of every batch run while a verdict names the neighbours as the cause. It lets
// the guard try classes whose effect has not been learned yet, the busiest first, after those with a known effect.
const assumedEffect = 0.05

// extraEffect returns what to add to the effect of every batch run: 0 unless a verdict names the neighbours.
func (g *Guard) extraEffect(v *WorkerView) float64 {
	for _, s := range v.Services {
		if s.Cause == verdict.Neighbours && s.TargetMs > 0 && s.LatencyMs > g.opts.EnterAbove*s.TargetMs {
			return assumedEffect
		}
	}
	return 0
}

// move evicts a run whose throttling helped but not enough, within the budget.
func (g *Guard) move(now time.Time, e *episode, v *WorkerView, widespread bool, ratio float64) (Action, bool) {
	if widespread || g.budget < 1 {
		return Action{}, false
	}
	for i := range e.throttled {
		t := e.throttled[i]
		if _, recent := g.moved[t.task]; recent || !t.effective {
			continue
		}
		g.budget--
		g.moved[t.task] = now
		e.throttled = slices.Delete(e.throttled, i, i+1)
		return g.newAction(v, t.task, t.epoch, Move, 0, aboveTargetReason(ratio)), true
	}
	return Action{}, false
}

// relax raises the limit of the run throttled last by one step. Without throttled runs it ends the episode.
func (g *Guard) relax(e *episode, v *WorkerView) (Action, bool) {
	k := len(e.throttled)
	if k == 0 {
		delete(g.episodes, v.Worker)
		return Action{}, false
	}
	t := &e.throttled[k-1]
	percent := int64(100)
	if t.step > 0 {
		t.step--
		percent = g.opts.ThrottleSteps[t.step]
	}
	a := g.newAction(v, t.task, t.epoch, Throttle, percent, "the services are well below their targets")
	if percent == 100 {
		e.throttled = e.throttled[:k-1]
	}
	return a, true
}

func (g *Guard) newAction(v *WorkerView, task record.TaskID, epoch int64, k Kind, percent int64, reason string) Action {
	return Action{Kind: k, Worker: v.Worker, Task: task, Epoch: epoch, Percent: percent, Reason: reason}
}

func aboveTargetReason(ratio float64) string {
	return fmt.Sprintf("a service is at %.2f times its latency target", ratio)
}
