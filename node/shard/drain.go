package shard

import (
	"time"

	"waxwingslip.example/core/jobs"
)

// moveReserve is the time that a task needs to stop before its worker leaves.
const moveReserve = 300 * time.Millisecond

// leaveDraining moves tasks away from workers that leave before the tasks end. The caller holds mu.
func (s *Shard) leaveDraining(now time.Duration) {
	var taken []func() // places of tasks that leave are not given twice
	defer func() {
		for _, release := range taken {
			release()
		}
	}()
	for id, w := range s.workers {
		if !w.info.Draining || w.failing || !w.adopted {
			continue
		}
		for _, r := range s.runsOn[id] {
			e := s.jobs[r.id.Job]
			if e == nil || e.job.Outcome != jobs.Unfinished || r.stage != running || r.step.Gang || !s.outlasts(w, r, now) {
				continue
			}
			request := s.request(e, r.id)
			request.Urgent = true
			place := s.fleet.Place(&request)
			if place == nil && now < w.leavesAt {
				continue // it may as well work on here until there is room
			}
			if place != nil {
				s.fleet.Reserve(place.ID, r.step, r.stepName)
				taken = append(taken, func() { s.fleet.Release(place.ID, r.step, r.stepName) })
			}
			s.log.Info().Str("job", r.id.Job).Str("task", r.name).Str("worker", id).Int("percent", r.percent).
				Dur("leaves_in", w.leavesAt-now).Msg("task leaves a draining worker")
			s.stopRun(w, r)
		}
	}
}

// outlasts reports whether a run is likely to be at work when its worker leaves.
func (s *Shard) outlasts(w *worker, r *run, now time.Duration) bool {
	if r.step.LongRunning {
		return true
	}
	left := w.leavesAt - now - moveReserve
	ran := now - r.boundAt
	if r.percent <= 0 {
		return time.Duration(r.step.EstimateMs)*time.Millisecond > ran+left
	}
	return ran*time.Duration(100-r.percent)/time.Duration(r.percent) > left
}
