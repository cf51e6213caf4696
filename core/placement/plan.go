package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingslip.example/core/record"
)

// Plan holds the proposals of one planning round.
type Plan struct {
	Binds     []Bind
	Evictions []Eviction
}

// inFlightBind is a planned bind that the zone's state has neither accepted nor rejected.
type inFlightBind struct {
	pending Pending
	worker  string
	until   time.Time
}

// Planner holds the pending tasks that one daemon is responsible for and an index of the zone's workers. It
// is not safe for concurrent use.
type Planner struct {
	opts     Options
	index    *Index
	queue    *Queue
	inFlight map[record.TaskID]inFlightBind
	// holds has at most one entry per task, so that one task frees resources on one worker only.
	holds map[record.TaskID]hold
}

// NewPlanner returns a planner without workers and tasks.
func NewPlanner(o Options) *Planner {
	p := &Planner{opts: o, index: newIndex(&o.Weights), inFlight: map[record.TaskID]inFlightBind{},
		holds: map[record.TaskID]hold{}}
	p.queue = newQueue(&p.opts)
	return p
}

// Index returns the view of the workers, to be updated for each changed worker.
func (p *Planner) Index() *Index { return p.index }

// Add queues a pending task. A task with a bind in flight under the same or a newer epoch is ignored.
func (p *Planner) Add(t Pending) {
	if f, ok := p.inFlight[t.Task]; ok {
		if f.pending.Epoch >= t.Epoch {
			return
		}
		p.removeInFlight(t.Task, f)
	}
	p.queue.Add(t)
}

// Accepted records that the zone's state accepted a bind of the task, by this or another daemon. The worker
// must be updated with Index().SetWorker as well.
func (p *Planner) Accepted(task record.TaskID) {
	p.queue.Remove(task)
	p.releaseHold(task)
	if f, ok := p.inFlight[task]; ok {
		p.removeInFlight(task, f)
	}
}

// Rejected records that the zone's state rejected a planned bind, and queues the task again.
func (p *Planner) Rejected(task record.TaskID, epoch int64) {
	if f, ok := p.inFlight[task]; ok && f.pending.Epoch == epoch {
		p.removeInFlight(task, f)
		p.queue.Add(f.pending)
	}
}

// Remove removes a task that ended or left the zone.
func (p *Planner) Remove(task record.TaskID) { p.Accepted(task) }

// CancelJob removes the waiting tasks of a job in constant time.
func (p *Planner) CancelJob(job string) { p.queue.CancelJob(job) }

// Waiting returns the number of tasks that a call of Plan may concern: those that wait, and those whose bind is
// neither accepted nor rejected and may have to be planned again.
func (p *Planner) Waiting() int { return p.queue.Len() + len(p.inFlight) }

func (p *Planner) removeInFlight(task record.TaskID, f inFlightBind) {
	delete(p.inFlight, task)
	p.index.removePlanned(f.worker, task, f.pending.Epoch)
}

// Plan proposes binds for up to maxBinds waiting tasks, and evictions for urgent tasks, replicas of services
// and starving batch tasks that do not fit. All binds of a plan fit together. The random source only chooses
// among equal workers.
func (p *Planner) Plan(now time.Time, rng *rand.Rand, maxBinds int) Plan {
	p.requeueExpired(now)
	p.queue.readyDueJobs(now)
	var out Plan
	if !p.index.inService {
		return out
	}
	preemptions := 0
	for examined := 0; examined < p.opts.MaxExamined && len(out.Binds) < maxBinds; {
		j := p.queue.next(now, p.index.dominantShare)
		if j == nil {
			break
		}
		t := p.queue.head(j).Pending
		t.Job = j.spec
		if bind, ok := p.place(&t, now, rng); ok {
			p.queue.popHead(j)
			out.Binds = append(out.Binds, bind)
			continue
		}
		examined++
		if preemptions < p.opts.MaxPreemptions {
			if evictions := p.preemptOrDrain(j, &t, now); len(evictions) > 0 {
				preemptions++
				out.Evictions = append(out.Evictions, evictions...)
			}
		}
		_, held := p.holds[t.Task]
		p.queue.deferRetry(j, now, held)
	}
	return out
}

// place binds one task to the best worker and keeps the resources until the bind is accepted, rejected or expired.
func (p *Planner) place(t *Pending, now time.Time, rng *rand.Rand) (Bind, bool) {
	if len(p.index.nodes) == 0 {
		return Bind{}, false
	}
	r := p.index.request(t, now)
	i := p.index.bestWorker(&r, &p.opts.Weights, rng.IntN(len(p.index.nodes)))
	if i < 0 {
		return Bind{}, false
	}
	worker := p.index.nodes[i].worker.ID
	p.index.addPlanned(i, Run{
		Task: t.Task, Epoch: t.Epoch, Team: t.Job.Team, Class: t.Job.Class, Service: t.Job.Service,
		Priority: t.Job.Priority, Size: r.size, StartedAt: now,
	})
	wait := p.opts.BindTimeout
	if effectivePriority(t.Job.Priority) >= record.PriorityUrgent {
		wait = p.opts.UrgentBindTimeout
	}
	p.inFlight[t.Task] = inFlightBind{pending: *t, worker: worker, until: now.Add(wait)}
	p.releaseHold(t.Task)
	return Bind{Task: t.Task, Epoch: t.Epoch, Worker: worker}, true
}

// requeueExpired returns tasks to the queue whose bind was neither accepted nor rejected in time, and expires holds.
func (p *Planner) requeueExpired(now time.Time) {
	var expired []inFlightBind
	for _, f := range p.inFlight {
		if !now.Before(f.until) {
			expired = append(expired, f)
		}
	}
	// Map order is random; the order of tasks in the queue must not be.
	slices.SortFunc(expired, func(a, b inFlightBind) int {
		return cmp.Or(cmp.Compare(a.pending.Task.Job, b.pending.Task.Job), cmp.Compare(a.pending.Task.Index, b.pending.Task.Index))
	})
	for _, f := range expired {
		p.removeInFlight(f.pending.Task, f)
		p.queue.Add(f.pending)
	}
	p.expireHolds(now)
}
