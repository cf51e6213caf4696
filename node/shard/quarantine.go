package shard

import "time"

// Bounds of the judgement on workers that fail what they start.
const (
	// suspectFailures in a row close a worker for a while; tasks fail by their own fault too.
	suspectFailures = 3
	quarantineFirst = 2 * time.Second
	quarantineMost  = 8 * time.Second
	// failurePenalty lowers the rank of a worker in millicores for each failure in a row.
	failurePenalty = 20_000
	// failureMemory is how long a failure counts.
	failureMemory = 6 * time.Second
)

// failureWindow counts a worker's failures in a row. The zero value has none.
type failureWindow struct {
	inRow  int
	last   time.Duration
	until  time.Duration
	period time.Duration
}

func (f *failureWindow) succeeded() { f.inRow, f.period = 0, 0 }

func (f *failureWindow) failed(now time.Duration) {
	f.inRow++
	f.last = now
	if f.inRow >= suspectFailures {
		f.period = min(max(2*f.period, quarantineFirst), quarantineMost)
		f.until = now + f.period
		f.inRow = suspectFailures - 1 // one more failure after the quarantine closes it again
	}
}

// suspect closes the worker because a task on it stands still.
func (f *failureWindow) suspect(now time.Duration) { f.until = max(f.until, now+stallQuarantine) }

func (f *failureWindow) quarantined(now time.Duration) bool { return now < f.until }

func (f *failureWindow) penalty(now time.Duration) int64 {
	if now-f.last > failureMemory {
		return 0
	}
	return int64(f.inRow) * failurePenalty
}

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
