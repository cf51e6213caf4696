package scheduler

import (
	"math"
	"slices"
	"time"

	"waxwingslip.example/core/placement"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/node/stream"
)

// maxBinds limits the binds of one planning round; ten rounds a second carry far more than the peak of 9 starts
// a second in one zone.
const maxBinds = 64

func membersChanged(batches []stream.Batch) bool {
	return slices.ContainsFunc(batches, func(b stream.Batch) bool {
		return b.Restored || slices.ContainsFunc(b.Applied, func(a stream.Applied) bool {
			return slices.ContainsFunc(a.Verdict.Events, func(e any) bool {
				c, ok := e.(zone.Change)
				return ok && c.Kind == zone.ChangeMember
			})
		})
	})
}

// feed brings the planner up to date with the zone state.
func (s *Scheduler) feed(batches []stream.Batch) {
	self := s.cfg.Member()
	// The own member id is known a little later than the Join that made the members change.
	if s.planner == nil || self != s.builtFor || membersChanged(batches) {
		s.builtFor = self
		s.rebuild()
		return
	}
	s.cfg.State.View(func(z *zone.State) {
		for _, b := range batches {
			for _, a := range b.Applied {
				s.feedRecord(z, self, a)
			}
		}
	})
}

func (s *Scheduler) feedRecord(z *zone.State, self string, a stream.Applied) {
	if bind, ok := a.Record.Body.(*record.Bind); ok && !a.Verdict.Accepted {
		s.planner.Rejected(bind.Task, bind.Epoch)
		s.cfg.Metrics.Count("scheduler_binds_rejected")
	}
	for _, e := range a.Verdict.Events {
		c, ok := e.(zone.Change)
		if !ok {
			continue
		}
		switch c.Kind {
		case zone.ChangeTask:
			s.feedTask(z, self, c.Task)
		case zone.ChangeWorker, zone.ChangeLoad:
			s.feedWorker(z, c.Worker)
		case zone.ChangePolicy:
			s.planner.Index().SetPolicy(z.Policy.InService, z.Policy.Exclusions)
		case zone.ChangeJob:
			if j := z.Jobs[c.Job]; j != nil && j.Cancelled {
				s.planner.CancelJob(c.Job)
			}
		}
	}
}

// rebuild starts the planner anew from the whole state, after a snapshot or a change of members.
func (s *Scheduler) rebuild() {
	s.planner = placement.NewPlanner(placement.DefaultOptions())
	self := s.builtFor
	s.cfg.State.View(func(z *zone.State) {
		s.planner.Index().SetPolicy(z.Policy.InService, z.Policy.Exclusions)
		for id := range z.Workers {
			s.feedWorker(z, id)
		}
		for _, j := range z.Jobs {
			for _, t := range j.Tasks {
				s.feedTask(z, self, t.ID())
			}
		}
		for id := range s.bound {
			if t := z.Task(id); t == nil || t.State != zone.TaskBound {
				delete(s.bound, id)
			}
		}
		for id := range s.since {
			if t := z.Task(id); t == nil || t.State != zone.TaskPending {
				delete(s.since, id)
			}
		}
	})
}

// boundRun is when a run was first seen. The log has no times, so it counts from the daemon's start for older runs.
type boundRun struct {
	epoch int64
	at    time.Time
}

// startedAt returns when the bound run of a task was first seen.
func (s *Scheduler) startedAt(t *zone.Task) time.Time {
	b, ok := s.bound[t.ID()]
	if !ok || b.epoch != t.Epoch {
		b = boundRun{epoch: t.Epoch, at: time.Now()}
		s.bound[t.ID()] = b
	}
	return b.at
}

func (s *Scheduler) feedTask(z *zone.State, self string, id record.TaskID) {
	t := z.Task(id)
	delayed := t != nil && t.State == zone.TaskPending && s.crashDelay(t, time.Now())
	if t == nil || t.State != zone.TaskBound {
		delete(s.bound, id)
	}
	if t == nil || t.State != zone.TaskPending {
		s.planner.Accepted(id)
		delete(s.since, id)
		return
	}
	since, waiting := s.since[id]
	if !waiting {
		since = time.Now()
		s.since[id] = since
	}
	if delayed || z.Responsible(placePurpose(id)) != self {
		s.planner.Remove(id)
		return
	}
	// The planner keeps the spec beyond the lock, so it gets a copy.
	spec := t.Job.Spec
	s.planner.Add(placement.Pending{
		Task: id, Epoch: t.Epoch, Job: &spec, Since: since, Attempts: t.Attempts, Checkpoint: t.Checkpoint,
	})
}

func placePurpose(id record.TaskID) string { return taskPurpose("place", id.Job, id.Index, 0) }

func (s *Scheduler) feedWorker(z *zone.State, id string) {
	w := z.Workers[id]
	if w == nil {
		s.planner.Index().RemoveWorker(id)
		return
	}
	s.mu.Lock()
	known := s.pressure[id]
	if s.cfg.Now()-known.at >= pressureKept {
		known.value = 0
		delete(s.pressure, id)
	}
	s.mu.Unlock()
	view := placement.Worker{
		ID: id, Rack: w.Info.Rack, Capacity: w.Info.Capacity, State: w.State, Pressure: known.value,
		Runs:    make([]placement.Run, 0, len(w.Tasks)),
		Probing: s.cfg.Probing != nil && s.cfg.Probing(id),
	}
	for _, t := range w.Tasks {
		spec := &t.Job.Spec
		view.Runs = append(view.Runs, placement.Run{
			Task: t.ID(), Epoch: t.Epoch, Team: spec.Team, Class: spec.Class, Service: spec.Service,
			Priority: spec.Priority, Size: t.Size, StartedAt: s.startedAt(t),
		})
	}
	s.planner.Index().SetWorker(view)
}

// Pressure takes the contention of workers, as the largest share of time in which one of a worker's runs
// stalled, in thousandths.
func (s *Scheduler) Pressure(permille map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range permille {
		s.pressure[id] = pressure{value: math.Min(1, float64(p)/1000), at: s.cfg.Now()}
	}
}

// epochOf returns the epoch of a pending task, 0 if it is not pending.
func (s *Scheduler) epochOf(id record.TaskID) (epoch int64) {
	s.cfg.State.View(func(z *zone.State) {
		if t := z.Task(id); t != nil && t.State == zone.TaskPending {
			epoch = t.Epoch
		}
	})
	return epoch
}

// plan proposes binds and evictions. The zone's state decides on the binds when it reads them.
func (s *Scheduler) plan() {
	// Plan also returns binds to the queue that were lost on the way to the log, so it is called without waiting tasks too.
	p := s.planner.Plan(time.Now(), s.cfg.Rand, maxBinds)
	for _, b := range p.Binds {
		s.cfg.Metrics.Count("scheduler_binds")
		s.cfg.State.Post(&record.Bind{Task: b.Task, Epoch: b.Epoch, Worker: b.Worker})
	}
	for _, e := range p.Evictions {
		s.cfg.Metrics.Count("scheduler_preemptions")
		s.post(taskPurpose("stop", e.Task.Job, e.Task.Index, e.Epoch), &record.Stop{
			Run: record.Run{Task: e.Task, Epoch: e.Epoch, Worker: e.Worker}, Reason: "preempted by " + e.For.Job,
			For: e.For, ForEpoch: s.epochOf(e.For),
		})
	}
}
