package shard

import "time"

// Bounds of the judgement on tasks that stand still.
const (
	// stallTime is how long a task's progress may stay at one percentage. Restoring a checkpoint takes less.
	stallTime = 1500 * time.Millisecond
	// stallPercent of a long task's estimated run time may pass as well: its progress moves slowly.
	stallPercent = 5
	// stallPace is the pace below which a task is not expected to move.
	stallPace = 50
	// stallQuarantine is how long a worker takes no tasks after one stood still.
	stallQuarantine = 3 * time.Second
)

// considerStall moves a task that stands still on a worker that is otherwise well. Its process may be alive and use
// processor time, so only its progress tells. The caller holds mu.
func (s *Shard) considerStall(w *worker, r *run) {
	now := s.env.Now()
	if r.stage != running || r.step.LongRunning || r.step.Gang || r.pace < stallPace || r.percent < 0 || r.percent >= 100 {
		return
	}
	limit := max(stallTime, time.Duration(r.step.EstimateMs)*time.Millisecond*stallPercent/100)
	if now-r.progressAt < limit {
		return
	}
	if now >= w.failures.until {
		s.log.Info().Str("worker", w.info.ID).Str("task", r.name).Int("percent", r.percent).
			Dur("still_for", now-r.progressAt).Msg("task stands still, its worker is closed for a while")
	}
	w.failures.suspect(now)
	s.refresh(w)
	e := s.jobs[r.id.Job]
	if e == nil {
		return
	}
	request := s.request(e, r.id)
	if s.fleet.Place(&request) != nil {
		s.stopRun(w, r)
	}
}
