package shard

import (
	"time"

	"waxwingslip.example/core/jobs"
)

// stopReserve is the time that a task needs to stop before its worker leaves.
const stopReserve = 300 * time.Millisecond

// drainWorkers moves tasks away from draining workers that are likely to leave before the tasks end. The caller holds
// mu.
func (s *Shard) drainWorkers(now time.Duration) {
	var releases []func() // capacity for the moving tasks, reserved so that each target is used once
	defer func() {
		for _, release := range releases {
			release()
		}
	}()
	for id, w := range s.workers {
		if !w.info.Draining || w.unreachable || !w.adopted {
			continue
		}
		for _, r := range s.runsByWorker[id] {
			e := s.jobs[r.id.Job]
			if e == nil || e.job.Outcome != jobs.Unfinished || r.stage != running || r.step.Gang ||
				!s.outlastsWorker(w, r, now) {
				continue
			}
			request := s.placementRequest(e, r.id)
			request.Urgent = true
			target := s.fleet.Place(&request)
			if target == nil && now < w.leavesAt {
				continue // it can run on here until another worker has capacity
			}
			if target != nil {
				s.fleet.Reserve(target.ID, r.step, r.stepName)
				releases = append(releases, func() { s.fleet.Release(target.ID, r.step, r.stepName) })
			}
			s.log.Info().Str("job", r.id.Job).Str("task", r.name).Str("worker", id).Int("percent", r.percent).
				Dur("leaves_in", w.leavesAt-now).Msg("task leaves a draining worker")
			s.stopRun(w, r)
		}
	}
}

// outlastsWorker reports whether a run is likely to be still running when its worker leaves.
func (s *Shard) outlastsWorker(w *worker, r *run, now time.Duration) bool {
	if r.step.LongRunning {
		return true
	}
	left := w.leavesAt - now - stopReserve
	ran := now - r.boundAt
	if r.percent <= 0 {
		return time.Duration(r.step.EstimateMs)*time.Millisecond > ran+left
	}
	return ran*time.Duration(100-r.percent)/time.Duration(r.percent) > left
}
