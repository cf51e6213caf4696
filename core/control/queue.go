package control

import "waxwingslip.example/core/record"

func queueIndex(p record.Priority) int {
	if p == record.PriorityUrgent {
		return 0
	}
	return 1
}

func (t *team) enqueue(j *Job) {
	i := queueIndex(j.Spec.Priority)
	t.queues[i] = append(t.queues[i], j)
	t.waiting++
}

// activateWaiting makes waiting jobs active in order, urgent ones first. A job that does not fit now blocks those
// behind it, so that large jobs do not starve; one that exceeds the whole quota blocks none.
func (s *State) activateWaiting(t *team) {
	for i := range t.queues {
		skipped := 0
		for {
			j := t.nextEligible(i, &skipped)
			if j == nil {
				break
			}
			// The difference cannot overflow, whereas the sum of both uses could.
			if !j.Use().Fits(t.quota.Sub(t.use)) {
				return
			}
			s.activateJob(t, j)
		}
	}
}

func (s *State) activateJob(t *team, j *Job) {
	j.State, j.Activated = JobActive, s.offset
	t.use = t.use.Add(j.Use())
	t.waiting--
	s.emit(Event{Kind: EventJobActivated, Job: j.Spec.ID, Zone: j.Zone})
}

// nextEligible returns the first waiting job of queue i that fits the whole quota, or nil. skipped counts the jobs
// before it that exceed the quota. Jobs that no longer wait are removed from the queue, each of them once.
func (t *team) nextEligible(i int, skipped *int) *Job {
	q := t.queues[i]
	for *skipped < len(q) {
		j := q[*skipped]
		switch {
		case j.State != JobWaiting || j.Cancelled:
			q = removeAt(q, *skipped)
		case !j.Use().Fits(t.quota):
			*skipped++
		default:
			t.queues[i] = q
			return j
		}
	}
	t.queues[i] = q
	return nil
}

// removeAt deletes q[n]. Removal at the front, the usual case, moves no elements.
func removeAt(q []*Job, n int) []*Job {
	if n == 0 {
		q[0] = nil
		return q[1:]
	}
	return append(q[:n], q[n+1:]...)
}
