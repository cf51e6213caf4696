package shard

import "time"

// Limits for tasks without progress.
const (
	// minStallTime is how long a task may stay at one percentage. Restoring a checkpoint takes less.
	minStallTime = 1500 * time.Millisecond
	// stallEstimatePercent is that limit as a share of the estimated run time, for long tasks whose percentage changes
	// slowly.
	stallEstimatePercent = 5
	// minStallPacePercent is the pace below which a task is not expected to progress.
	minStallPacePercent = 50
	// stallQuarantine is how long a worker takes no tasks after one stalled on it.
	stallQuarantine = 3 * time.Second
)

// moveIfStalled quarantines the worker of a task without progress, even if it is healthy, and stops the task if another
// worker has capacity. The process may be alive and use CPU time, so only its progress counts. The caller holds mu.
func (s *Shard) moveIfStalled(w *worker, r *run) {
	now := s.deps.Now()
	if r.stage != running || r.step.LongRunning || r.step.Gang || r.pace < minStallPacePercent ||
		r.percent < 0 || r.percent >= 100 {
		return
	}
	limit := max(minStallTime, time.Duration(r.step.EstimateMs)*time.Millisecond*stallEstimatePercent/100)
	if now-r.progressAt < limit {
		return
	}
	if now >= w.failures.quarantinedUntil {
		s.log.Info().Str("worker", w.info.ID).Str("task", r.name).Int("percent", r.percent).
			Dur("still_for", now-r.progressAt).Msg("task stands still, its worker is closed for a while")
	}
	w.failures.quarantineStalled(now)
	s.updateAvailability(w)
	e := s.jobs[r.id.Job]
	if e == nil {
		return
	}
	request := s.placementRequest(e, r.id)
	if s.fleet.Place(&request) != nil {
		s.stopRun(w, r)
	}
}
