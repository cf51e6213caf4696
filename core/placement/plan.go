package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingslip.example/core/record"
)

// Plan is what one planning round proposes.
type Plan struct {
	Binds     []Bind
	Evictions []Eviction
}

// inFlight is a planned bind that the zone's state has neither accepted nor rejected.
type inFlight struct {
	pending Pending
	worker  string
	until   time.Time
}

// Planner holds the pending tasks that one daemon is responsible for and an index of the zone's workers. It
// is not safe for concurrent use.
type Planner struct {
	opts    Options
	index   *Index
	queue   *Queue
	flights map[record.TaskID]inFlight
	// holds has one entry at most for a task, so that one task makes room on one worker only.
	holds map[record.TaskID]hold
}

// NewPlanner returns a planner without workers and tasks.
func NewPlanner(o Options) *Planner {
	p := &Planner{opts: o, index: newIndex(&o.Weights), flights: map[record.TaskID]inFlight{}, holds: map[record.TaskID]hold{}}
	p.queue = newQueue(&p.opts)
	return p
}

// Index returns the view of the workers, to be updated for each changed worker.
func (p *Planner) Index() *Index { return p.index }

// Add enters a pending task. A task with a bind in flight under the same or a newer epoch is ignored.
func (p *Planner) Add(t Pending) {
	if f, ok := p.flights[t.Task]; ok {
		if f.pending.Epoch >= t.Epoch {
			return
		}
		p.drop(t.Task, f)
	}
	p.queue.Add(t)
}

// Accepted tells that the zone's state accepted a bind of the task, by this or another daemon. The worker
// must be updated with Index().SetWorker as well.
func (p *Planner) Accepted(task record.TaskID) {
	p.queue.Remove(task)
	p.release(task)
	if f, ok := p.flights[task]; ok {
		p.drop(task, f)
	}
}

// Rejected tells that the zone's state rejected a planned bind. The task waits again.
func (p *Planner) Rejected(task record.TaskID, epoch int64) {
	if f, ok := p.flights[task]; ok && f.pending.Epoch == epoch {
		p.drop(task, f)
		p.queue.Add(f.pending)
	}
}

// Remove forgets a task that ended or left the zone.
func (p *Planner) Remove(task record.TaskID) { p.Accepted(task) }

// CancelJob drops the waiting tasks of a job in constant time.
func (p *Planner) CancelJob(job string) { p.queue.CancelJob(job) }

// Waiting returns the number of tasks that a call of Plan may concern: those that wait, and those whose bind is
// not settled and may have to be planned again.
func (p *Planner) Waiting() int { return p.queue.Len() + len(p.flights) }

func (p *Planner) drop(task record.TaskID, f inFlight) {
	delete(p.flights, task)
	p.index.unplan(f.worker, task, f.pending.Epoch)
}

// Plan proposes binds for up to maxBinds waiting tasks, and evictions for urgent tasks, replicas of services
// and starving batch tasks that do not fit. All binds of a plan fit together. The random source only chooses
// among equal workers.
func (p *Planner) Plan(now time.Time, rng *rand.Rand, maxBinds int) Plan {
	p.expire(now)
	p.queue.unblock(now)
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
			p.queue.take(j)
			out.Binds = append(out.Binds, bind)
			continue
		}
		examined++
		if preemptions < p.opts.MaxPreemptions {
			if evictions := p.makeRoom(j, &t, now); len(evictions) > 0 {
				preemptions++
				out.Evictions = append(out.Evictions, evictions...)
			}
		}
		_, held := p.holds[t.Task]
		p.queue.block(j, now, held)
	}
	return out
}

// place binds one task to the best worker and keeps the room until the bind is settled.
func (p *Planner) place(t *Pending, now time.Time, rng *rand.Rand) (Bind, bool) {
	if len(p.index.nodes) == 0 {
		return Bind{}, false
	}
	r := p.index.request(t, now)
	i := p.index.best(&r, &p.opts.Weights, rng.IntN(len(p.index.nodes)))
	if i < 0 {
		return Bind{}, false
	}
	worker := p.index.nodes[i].worker.ID
	p.index.plan(i, Run{
		Task: t.Task, Epoch: t.Epoch, Team: t.Job.Team, Class: t.Job.Class, Service: t.Job.Service,
		Priority: t.Job.Priority, Size: r.size, StartedAt: now,
	})
	wait := p.opts.InFlight
	if level(t.Job.Priority) >= record.PriorityUrgent {
		wait = p.opts.UrgentInFlight
	}
	p.flights[t.Task] = inFlight{pending: *t, worker: worker, until: now.Add(wait)}
	p.release(t.Task)
	return Bind{Task: t.Task, Epoch: t.Epoch, Worker: worker}, true
}

// expire returns tasks to the queue whose bind was never settled, and gives up holds that are over.
func (p *Planner) expire(now time.Time) {
	var late []inFlight
	for _, f := range p.flights {
		if !now.Before(f.until) {
			late = append(late, f)
		}
	}
	// Map order is random; the order of tasks in the queue must not be.
	slices.SortFunc(late, func(a, b inFlight) int {
		return cmp.Or(cmp.Compare(a.pending.Task.Job, b.pending.Task.Job), cmp.Compare(a.pending.Task.Index, b.pending.Task.Index))
	})
	for _, f := range late {
		p.drop(f.pending.Task, f)
		p.queue.Add(f.pending)
	}
	p.expireHolds(now)
}
