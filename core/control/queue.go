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

// activate makes waiting jobs active in order, urgent ones first. A job that does not fit now holds back those
// behind it, so that large jobs are not overtaken for ever; one that exceeds the whole quota holds back nothing.
func (s *State) activate(t *team) {
	for i := range t.queues {
		skipped := 0
		for {
			j := t.next(i, &skipped)
			if j == nil {
				break
			}
			// The difference cannot overflow, whereas use plus need could.
			if !j.Use().Fits(t.quota.Sub(t.use)) {
				return
			}
			s.start(t, j)
		}
	}
}

func (s *State) start(t *team, j *Job) {
	j.State, j.Activated = JobActive, s.offset
	t.use = t.use.Add(j.Use())
	t.waiting--
	s.event(Event{Kind: EventJobActivated, Job: j.Spec.ID, Zone: j.Zone})
}

// next returns the first job of the queue that waits and could ever fit. skipped counts the jobs in front that
// could not. Jobs that no longer wait are removed, each of them once.
func (t *team) next(i int, skipped *int) *Job {
	q := t.queues[i]
	for *skipped < len(q) {
		j := q[*skipped]
		switch {
		case j.State != JobWaiting || j.Cancelled:
			q = remove(q, *skipped)
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

// remove deletes q[n]. At the front, which is the usual case, it moves nothing.
func remove(q []*Job, n int) []*Job {
	if n == 0 {
		q[0] = nil
		return q[1:]
	}
	return append(q[:n], q[n+1:]...)
}
