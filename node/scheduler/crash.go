package scheduler

import (
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
)

// Back-off of replicas that fail. Without it, a replica that fails at once costs several records a second.
const (
	crashBase = time.Second
	crashMax  = time.Minute
	// crashHealthy is how long a run must have lasted for its failure to count as the first one.
	crashHealthy = 5 * time.Minute
)

// crash is the history of a replica's failures.
type crash struct {
	// attempts is the task's count of failed runs when it was last seen.
	attempts int
	inARow   int
	// until is when the replica may be placed again.
	until time.Time
}

// crashDelay reports whether a pending replica still has to wait.
func (s *Scheduler) crashDelay(t *zone.Task, now time.Time) bool {
	if !t.Job.IsService() {
		return false
	}
	id := t.ID()
	c := s.crashes[id]
	if t.Attempts > c.attempts {
		last, known := s.bound[id]
		if known && now.Sub(last.at) >= crashHealthy {
			c.inARow = 0
		}
		c.inARow++
		c.attempts = t.Attempts
		c.until = now.Add(min(crashMax, crashBase<<min(c.inARow-1, 6)))
		s.crashes[id] = c
	}
	return now.Before(c.until)
}

// feedDelayed gives the planner the replicas whose wait has ended.
func (s *Scheduler) feedDelayed(self string) {
	now := time.Now()
	var due []record.TaskID
	for id, c := range s.crashes {
		if !c.until.IsZero() && !now.Before(c.until) {
			c.until = time.Time{}
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
			s.feedTask(z, self, id)
		}
	})
}
