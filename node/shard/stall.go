package shard

import (
	"time"

	"waxwingslip.example/core/jobs"
)

// Limits for tasks without progress.
const (
	// minStallTime is how long a task may stay at one percentage. Restoring a checkpoint takes less.
	minStallTime = 1500 * time.Millisecond
	// stallEstimatePercent is that limit as a share of the estimated run time, for long tasks whose percentage changes
	// slowly.
	stallEstimatePercent = 5
	// stallPaceFactor is that limit as a multiple of the longest time that a percentage point of the task has taken. Estimates are
	// rough, and the tasks of a job may differ.
	stallPaceFactor = 3
	// inheritedStallFactor raises the limit of a task that an earlier owner started until a change of its percentage was seen:
	// what it has done would be lost.
	inheritedStallFactor = 4
	// maxStallDoublings limits how often the limit of a task is doubled: each time that it is moved.
	maxStallDoublings = 6
	// minStallPacePercent is the pace below which a task is not expected to progress.
	minStallPacePercent = 50
	// stallQuarantine is how long a worker takes no tasks after one stalled on it.
	stallQuarantine = 3 * time.Second
	// maxStalledPercent is the share of a service's workers that may be closed because tasks stall on them. If tasks stall on
	// more, the cause is not in the workers.
	maxStalledPercent = 50
)

// recordProgress records the percentage that the worker reports for a run.
func (r *run) recordProgress(percent int, now time.Duration) {
	if percent == r.percent {
		return
	}
	if points := percent - r.percent; r.percentReported && points > 0 {
		r.slowestPoint = max(r.slowestPoint, (now-r.progressAt)/time.Duration(points))
	}
	r.percent, r.progressAt, r.percentReported = percent, now, true
}

// stallLimit returns how long a run of a task that was moved a number of times may stay at one percentage.
func (r *run) stallLimit(moves int) time.Duration {
	limit := max(minStallTime, time.Duration(r.step.EstimateMs)*time.Millisecond*stallEstimatePercent/100)
	if r.inherited && r.slowestPoint == 0 {
		limit *= inheritedStallFactor
	}
	return max(limit, stallPaceFactor*r.slowestPoint) << min(moves, maxStallDoublings)
}

// moveIfStalled quarantines the worker of a task without progress, even if it is healthy, and stops the task if another
// worker has capacity. The process may be alive and use CPU time, so only its progress counts. The caller holds mu.
func (s *Shard) moveIfStalled(w *worker, r *run) {
	now, e := s.deps.Now(), s.jobs[r.id.Job]
	if e == nil || r.stage != running || r.step.LongRunning || r.step.Gang || r.pace < minStallPacePercent ||
		r.percent < 0 || r.percent >= 100 || now-r.progressAt < r.stallLimit(e.stallMoves[r.id]) {
		return
	}
	if s.mayCloseStalled(w, now) {
		if now >= w.failures.quarantinedUntil {
			s.log.Info().Str("worker", w.info.ID).Str("task", r.name).Int("percent", r.percent).
				Dur("still_for", now-r.progressAt).Msg("task stands still, its worker is closed for a while")
		}
		w.failures.quarantineStalled(now)
		s.updateAvailability(w)
	}
	request := s.placementRequest(e, r.id)
	if s.fleet.Place(&request) != nil {
		if e.stallMoves == nil {
			e.stallMoves = map[jobs.TaskID]int{}
		}
		e.stallMoves[r.id]++
		s.stopRun(w, r)
	}
}

// mayCloseStalled reports whether a worker may be closed because a task stalls on it. The caller holds mu.
func (s *Shard) mayCloseStalled(w *worker, now time.Duration) bool {
	all, closed := 0, 1 // with this one
	for _, other := range s.workers {
		if other.info.Service != w.info.Service || !other.registered {
			continue
		}
		all++
		if other != w && now < other.failures.stalledUntil {
			closed++
		}
	}
	return closed*100 <= all*maxStalledPercent
}
