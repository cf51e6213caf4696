package placement

import (
	"container/heap"
	"time"

	"waxwingslip.example/core/record"
)

// pendingItem is one waiting task.
type pendingItem struct {
	Pending
	job     *jobQueue
	dropped bool
}

// jobQueue holds the waiting tasks of one job. All tasks of a job have the same size and class, so if one
// does not fit, none of them does.
type jobQueue struct {
	// spec is the newest revision seen; team and priority are those of the first one and select the heap.
	spec     *record.JobSpec
	team     *teamQueue
	priority record.Priority
	items    []*pendingItem
	// since is when the first waiting task became pending.
	since     time.Time
	sequence  uint64
	cancelled bool
	retryAt   time.Time
	failures  int
}

func (q *jobQueue) before(o *jobQueue) bool {
	if !q.since.Equal(o.since) {
		return q.since.Before(o.since)
	}
	return q.sequence < o.sequence
}

// oldestFirst is a heap of a team's jobs, longest waiting first.
type oldestFirst []*jobQueue

func (h oldestFirst) Len() int           { return len(h) }
func (h oldestFirst) Less(i, j int) bool { return h[i].before(h[j]) }
func (h oldestFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *oldestFirst) Push(v any)        { *h = append(*h, v.(*jobQueue)) }
func (h *oldestFirst) Pop() any          { return popLast((*[]*jobQueue)(h)) }

// soonestRetry is a heap of jobs that did not fit, earliest next try first.
type soonestRetry []*jobQueue

func (h soonestRetry) Len() int           { return len(h) }
func (h soonestRetry) Less(i, j int) bool { return h[i].retryAt.Before(h[j].retryAt) }
func (h soonestRetry) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *soonestRetry) Push(v any)        { *h = append(*h, v.(*jobQueue)) }
func (h *soonestRetry) Pop() any          { return popLast((*[]*jobQueue)(h)) }

func popLast(h *[]*jobQueue) *jobQueue {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return q
}

// teamQueue holds a team's jobs that may be tried now, by priority.
type teamQueue struct {
	name  string
	ready [record.PriorityService + 1]oldestFirst
}

// turnsPerStarvingTry is the number of turns in which a starving batch job is tried once before services and urgent
// work. It bounds the wait of batch work under a flood of urgent work, and costs the latter 1/8 of the tries.
const turnsPerStarvingTry = 8

// Queue orders the pending tasks of a zone that this daemon plans: by priority, then by fairness between
// teams, then by waiting time.
type Queue struct {
	opts     *Options
	jobs     map[string]*jobQueue
	tasks    map[record.TaskID]*pendingItem
	teams    []*teamQueue
	byTeam   map[string]*teamQueue
	deferred soonestRetry
	sequence uint64
	turn     uint64
}

func newQueue(o *Options) *Queue {
	return &Queue{opts: o, jobs: map[string]*jobQueue{}, tasks: map[record.TaskID]*pendingItem{}, byTeam: map[string]*teamQueue{}}
}

// Len returns the number of waiting tasks that were not removed. Tasks of a cancelled job count until their turn
// comes.
func (q *Queue) Len() int { return len(q.tasks) }

// Add queues a task. A task that is already waiting is replaced by a newer epoch or revision.
func (q *Queue) Add(p Pending) {
	if old, ok := q.tasks[p.Task]; ok && !old.job.cancelled {
		if old.Epoch >= p.Epoch {
			old.job.updateSpec(p.Job)
			return
		}
		old.dropped = true
	}
	j := q.jobs[p.Job.ID]
	if j == nil {
		j = q.addJob(p)
	}
	j.updateSpec(p.Job)
	item := &pendingItem{Pending: p, job: j}
	q.tasks[p.Task] = item
	j.items = append(j.items, item)
}

// updateSpec replaces the definition of a service by a newer revision.
func (q *jobQueue) updateSpec(spec *record.JobSpec) {
	if spec.Revision > q.spec.Revision {
		q.spec = spec
	}
}

func (q *Queue) addJob(p Pending) *jobQueue {
	t := q.byTeam[p.Job.Team]
	if t == nil {
		t = &teamQueue{name: p.Job.Team}
		q.byTeam[t.name] = t
		q.teams = append(q.teams, t)
	}
	q.sequence++
	j := &jobQueue{spec: p.Job, team: t, priority: effectivePriority(p.Job.Priority), since: p.Since, sequence: q.sequence}
	q.jobs[p.Job.ID] = j
	q.makeReady(j)
	return j
}

// Remove removes a task, for instance because another daemon bound it.
func (q *Queue) Remove(task record.TaskID) {
	if item, ok := q.tasks[task]; ok {
		item.dropped = true
		delete(q.tasks, task)
	}
}

// CancelJob removes a job's tasks in constant time. Their memory is freed when their turn comes.
func (q *Queue) CancelJob(job string) {
	if j, ok := q.jobs[job]; ok {
		j.cancelled = true
		delete(q.jobs, job)
	}
}

func (q *Queue) makeReady(j *jobQueue) { heap.Push(&j.team.ready[j.priority], j) }

// effectivePriority maps an unknown priority to batch, so that a record of a newer build cannot index out of range.
func effectivePriority(p record.Priority) record.Priority {
	if p < record.PriorityBatch || p > record.PriorityService {
		return record.PriorityBatch
	}
	return p
}

// readyDueJobs makes the jobs ready whose next try is due.
func (q *Queue) readyDueJobs(now time.Time) {
	for len(q.deferred) > 0 && !q.deferred[0].retryAt.After(now) {
		q.makeReady(heap.Pop(&q.deferred).(*jobQueue))
	}
}

// next returns the job whose task is placed next, without removing it, or nil.
func (q *Queue) next(now time.Time, shareOf func(team string) float64) *jobQueue {
	q.turn++
	if q.turn%turnsPerStarvingTry == 0 {
		if j := q.fairest(record.PriorityBatch, now, shareOf); j != nil && q.starving(j, now) {
			return j
		}
	}
	for p := record.PriorityService; p >= record.PriorityBatch; p-- {
		if j := q.fairest(p, now, shareOf); j != nil {
			return j
		}
	}
	return nil
}

// fairest returns the job of the team with the lowest dominant share, less a bonus for waiting. The bonus
// grows without limit, so no team waits for ever.
func (q *Queue) fairest(p record.Priority, now time.Time, shareOf func(team string) float64) *jobQueue {
	var best *jobQueue
	bestScore := 0.0
	for _, t := range q.teams {
		j := q.oldestJob(t, p)
		if j == nil {
			continue
		}
		score := shareOf(t.name) - float64(now.Sub(j.since))/float64(q.opts.AgeScale)
		if best == nil || score < bestScore || score == bestScore && j.before(best) {
			best, bestScore = j, score
		}
	}
	return best
}

// oldestJob returns the team's oldest job of a priority that still has tasks, and removes empty ones.
func (q *Queue) oldestJob(t *teamQueue, p record.Priority) *jobQueue {
	h := &t.ready[p]
	for len(*h) > 0 {
		j := (*h)[0]
		if q.head(j) != nil {
			return j
		}
		heap.Pop(h)
		if q.jobs[j.spec.ID] == j {
			delete(q.jobs, j.spec.ID)
		}
	}
	return nil
}

// head discards removed items and returns the first remaining one, nil if there is none.
func (q *Queue) head(j *jobQueue) *pendingItem {
	for len(j.items) > 0 {
		item := j.items[0]
		if !item.dropped && !j.cancelled {
			return item
		}
		if q.tasks[item.Task] == item {
			delete(q.tasks, item.Task)
		}
		j.items[0] = nil
		j.items = j.items[1:]
	}
	return nil
}

func (q *Queue) starving(j *jobQueue, now time.Time) bool {
	return now.Sub(j.since) >= q.opts.StarveAfter
}

// popHead removes the first task of the job returned by next.
func (q *Queue) popHead(j *jobQueue) {
	delete(q.tasks, j.items[0].Task)
	j.items[0] = nil
	j.items = j.items[1:]
	j.failures = 0
	if item := q.head(j); item != nil && item.Since.After(j.since) {
		j.since = item.Since
		heap.Fix(&j.team.ready[j.priority], 0)
	}
}

// deferRetry defers the job returned by next until its next try. Unless a worker is held for them, batch
// jobs wait up to 8 times longer after repeated failures, because each try costs a scan of all workers.
func (q *Queue) deferRetry(j *jobQueue, now time.Time, held bool) {
	heap.Remove(&j.team.ready[j.priority], 0)
	wait := q.opts.UrgentRetry
	if j.priority == record.PriorityBatch && !held {
		wait = q.opts.BatchRetry << min(j.failures, 3)
	}
	j.failures++
	j.retryAt = now.Add(wait)
	heap.Push(&q.deferred, j)
}
