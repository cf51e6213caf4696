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

// maxBindsPerRound limits the binds of one planning round. With ten rounds a second this is far above the peak of 9
// starts a second in one zone.
const maxBindsPerRound = 64

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

// updatePlanner applies changes of the zone state to the planner.
func (s *Scheduler) updatePlanner(batches []stream.Batch) {
	self := s.cfg.Member()
	// This daemon reads its own member id slightly after the Join record that changed the members.
	if s.planner == nil || self != s.plannerMember || membersChanged(batches) {
		s.plannerMember = self
		s.rebuildPlanner()
		return
	}
	s.cfg.State.View(func(z *zone.State) {
		for _, b := range batches {
			for _, a := range b.Applied {
				s.applyRecord(z, self, a)
			}
		}
	})
}

func (s *Scheduler) applyRecord(z *zone.State, self string, a stream.Applied) {
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
			s.updateTask(z, self, c.Task)
		case zone.ChangeWorker, zone.ChangeReservations:
			s.updateWorker(z, c.Worker)
		case zone.ChangePolicy:
			s.planner.Index().SetPolicy(z.Policy.InService, z.Policy.Exclusions)
		case zone.ChangeJob:
			if j := z.Jobs[c.Job]; j != nil && j.Cancelled {
				s.planner.CancelJob(c.Job)
			}
		}
	}
}

// rebuildPlanner creates the planner from the whole zone state, after a snapshot or a change of members.
func (s *Scheduler) rebuildPlanner() {
	s.planner = placement.NewPlanner(placement.DefaultOptions())
	self := s.plannerMember
	s.cfg.State.View(func(z *zone.State) {
		s.planner.Index().SetPolicy(z.Policy.InService, z.Policy.Exclusions)
		for id := range z.Workers {
			s.updateWorker(z, id)
		}
		for _, j := range z.Jobs {
			for _, t := range j.Tasks {
				s.updateTask(z, self, t.ID())
			}
		}
		for id := range s.boundRuns {
			if t := z.Task(id); t == nil || t.State != zone.TaskBound {
				delete(s.boundRuns, id)
			}
		}
		for id := range s.pendingSince {
			if t := z.Task(id); t == nil || t.State != zone.TaskPending {
				delete(s.pendingSince, id)
			}
		}
	})
}

// boundRun is a run and when this daemon first saw it. The log has no times, so runs older than the daemon count from
// its start.
type boundRun struct {
	epoch     int64
	firstSeen time.Time
}

// startedAt returns when this daemon first saw the bound run of a task.
func (s *Scheduler) startedAt(t *zone.Task) time.Time {
	b, ok := s.boundRuns[t.ID()]
	if !ok || b.epoch != t.Epoch {
		b = boundRun{epoch: t.Epoch, firstSeen: time.Now()}
		s.boundRuns[t.ID()] = b
	}
	return b.firstSeen
}

func (s *Scheduler) updateTask(z *zone.State, self string, id record.TaskID) {
	t := z.Task(id)
	delayed := t != nil && t.State == zone.TaskPending && s.inCrashBackoff(t, time.Now())
	if t == nil || t.State != zone.TaskBound {
		delete(s.boundRuns, id)
	}
	if t == nil || t.State != zone.TaskPending {
		s.planner.Accepted(id)
		delete(s.pendingSince, id)
		return
	}
	since, waiting := s.pendingSince[id]
	if !waiting {
		since = time.Now()
		s.pendingSince[id] = since
	}
	if delayed || z.ResponsibleMember(placementKey(id)) != self {
		s.planner.Remove(id)
		return
	}
	// The planner keeps the spec after the state's lock is released, so it gets a copy.
	spec := t.Job.Spec
	s.planner.Add(placement.Pending{
		Task: id, Epoch: t.Epoch, Job: &spec, Since: since, Attempts: t.Attempts, Checkpoint: t.Checkpoint,
	})
}

func placementKey(id record.TaskID) string { return taskKey("place", id.Job, id.Index, 0) }

func (s *Scheduler) updateWorker(z *zone.State, id string) {
	w := z.Workers[id]
	if w == nil {
		s.planner.Index().RemoveWorker(id)
		return
	}
	s.mu.Lock()
	reported := s.pressure[id]
	if s.cfg.Now()-reported.reportedAt >= pressureTTL {
		reported.value = 0
		delete(s.pressure, id)
	}
	s.mu.Unlock()
	view := placement.Worker{
		ID: id, Rack: w.Info.Rack, Capacity: w.Info.Capacity, State: w.State, Pressure: reported.value,
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

// SetPressure sets the contention of workers: the largest share of time, in thousandths, for which one of a worker's
// runs stalled.
func (s *Scheduler) SetPressure(permille map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range permille {
		s.pressure[id] = pressure{value: math.Min(1, float64(p)/1000), reportedAt: s.cfg.Now()}
	}
}

// pendingEpoch returns the epoch of a task, or 0 if it is not pending.
func (s *Scheduler) pendingEpoch(id record.TaskID) (epoch int64) {
	s.cfg.State.View(func(z *zone.State) {
		if t := z.Task(id); t != nil && t.State == zone.TaskPending {
			epoch = t.Epoch
		}
	})
	return epoch
}

// plan posts binds and evictions. The zone state accepts or rejects each bind when it reads the record.
func (s *Scheduler) plan() {
	// Plan also requeues tasks whose binds did not reach the log, so it is called even without waiting tasks.
	plan := s.planner.Plan(time.Now(), s.cfg.Rand, maxBindsPerRound)
	for _, b := range plan.Binds {
		s.cfg.Metrics.Count("scheduler_binds")
		s.cfg.State.Post(&record.Bind{Task: b.Task, Epoch: b.Epoch, Worker: b.Worker})
	}
	for _, e := range plan.Evictions {
		s.cfg.Metrics.Count("scheduler_preemptions")
		s.post(taskKey("stop", e.Task.Job, e.Task.Index, e.Epoch), &record.Stop{
			Run: record.Run{Task: e.Task, Epoch: e.Epoch, Worker: e.Worker}, Reason: "preempted by " + e.For.Job,
			For: e.For, ForEpoch: s.pendingEpoch(e.For),
		})
	}
}
