package scheduler

import (
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
)

// Exponential back-off of failing replicas. Without it, a replica that fails right after its start causes several
// records a second.
const (
	crashBackoffBase = time.Second
	crashBackoffMax  = time.Minute
	// crashBackoffReset is the run time after which a failure resets the back-off.
	crashBackoffReset = 5 * time.Minute
)

// crashHistory holds the failures of one replica.
type crashHistory struct {
	// attempts is the task's number of failed runs at the last update.
	attempts            int
	consecutiveFailures int
	// retryAt is the earliest time for the next placement; zero once the task was returned to the planner.
	retryAt time.Time
}

// inCrashBackoff records new failures of a pending replica and reports whether its back-off is still running.
func (s *Scheduler) inCrashBackoff(t *zone.Task, now time.Time) bool {
	if !t.Job.IsService() {
		return false
	}
	id := t.ID()
	c := s.crashes[id]
	if t.Attempts > c.attempts {
		last, known := s.boundRuns[id]
		if known && now.Sub(last.firstSeen) >= crashBackoffReset {
			c.consecutiveFailures = 0
		}
		c.consecutiveFailures++
		c.attempts = t.Attempts
		c.retryAt = now.Add(min(crashBackoffMax, crashBackoffBase<<min(c.consecutiveFailures-1, 6)))
		s.crashes[id] = c
	}
	return now.Before(c.retryAt)
}

// requeueAfterBackoff returns the replicas whose back-off has ended to the planner.
func (s *Scheduler) requeueAfterBackoff(self string) {
	now := time.Now()
	var due []record.TaskID
	for id, c := range s.crashes {
		if !c.retryAt.IsZero() && !now.Before(c.retryAt) {
			c.retryAt = time.Time{}
			s.crashes[id] = c
			due = append(due, id)
		}
	}
	if len(due) == 0 {
		return
	}
	s.cfg.State.View(func(z *zone.State) {
		for _, id := range due {
			if z.Task(id) == nil {
				delete(s.crashes, id)
				continue
			}
			s.updateTask(z, self, id)
		}
	})
}
