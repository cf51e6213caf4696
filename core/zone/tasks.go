package zone

import (
	"cmp"

	"waxwingslip.example/core/record"
)

func (s *State) applyAdmit(b *record.Admit) Verdict {
	if b.Job.ID == "" || b.Job.Tasks < 0 || b.Job.Tasks > MaxJobTasks {
		return rejected("job %q has %d tasks, allowed are 0 to %d", b.Job.ID, b.Job.Tasks, MaxJobTasks)
	}
	if !b.Job.Size.Valid() || b.Job.Size.Slots < 1 {
		return rejected("job %q has an invalid size %s", b.Job.ID, b.Job.Size)
	}
	j := s.Jobs[b.Job.ID]
	switch {
	case s.wasRemoved(b.Job):
		return rejected("job %q with revision %d has ended and was removed", b.Job.ID, b.Job.Revision)
	case j == nil:
		j = &Job{Spec: b.Job, Tasks: make(map[int]*Task, b.Job.Tasks)}
		s.Jobs[b.Job.ID] = j
	case !j.IsService() || b.Job.Revision <= j.Spec.Revision:
		return rejected("job %q already exists with revision %d", b.Job.ID, j.Spec.Revision)
	case b.Job.Service != j.Spec.Service:
		return rejected("job %q cannot change its service", b.Job.ID)
	default:
		j.Spec, j.Parked, j.FailedOn = b.Job, "", nil
	}
	s.ensureTasks(j)
	s.notify(Change{Kind: ChangeJob, Job: j.Spec.ID})
	return accepted
}

// ensureTasks creates the missing tasks of the spec, makes its ended ones pending again, and ends the pending
// tasks of a service that exceed the spec.
func (s *State) ensureTasks(j *Job) {
	for i := range j.Spec.Tasks {
		t := j.Tasks[i]
		if t == nil {
			t = &Task{Job: j, Index: i}
			j.Tasks[i] = t
		} else if t.State != TaskEnded {
			continue
		}
		s.makePending(t)
	}
	if !j.IsService() {
		return
	}
	for i, t := range j.Tasks {
		if i >= j.Spec.Tasks && t.State == TaskPending {
			s.endTask(t, record.OutcomeCancelled, "service was scaled down")
		}
	}
}

// makePending makes a task pending under the next epoch. The task must hold no reservation.
func (s *State) makePending(t *Task) {
	if t.State != TaskPending && t.State != TaskBound {
		t.Job.Unfinished++
	}
	t.Epoch++
	t.State, t.Worker, t.Address, t.ReleasedTo, t.Stopping = TaskPending, "", "", "", ""
	s.markTaskChanged(t)
}

func (s *State) endTask(t *Task, outcome record.Outcome, reason string) {
	if t.State == TaskPending || t.State == TaskBound {
		t.Job.Unfinished--
	}
	t.State, t.Outcome, t.Reason, t.Address, t.Stopping = TaskEnded, outcome, reason, "", ""
	s.markTaskChanged(t)
	if t.Job.Unfinished == 0 {
		s.notify(Change{Kind: ChangeJob, Job: t.Job.Spec.ID})
	}
}

func (s *State) applyAdopt(b *record.Adopt) Verdict {
	j := s.Jobs[b.Job.ID]
	if s.wasRemoved(b.Job) {
		return rejected("job %q has ended and was removed", b.Job.ID)
	}
	if j == nil {
		j = &Job{Spec: b.Job, Tasks: map[int]*Task{}}
		s.Jobs[b.Job.ID] = j
	}
	t := j.Tasks[b.Index]
	if t != nil && (t.Epoch > b.Epoch || t.State == TaskPending || t.State == TaskBound) {
		return rejected("task %s/%d already exists with epoch %d", b.Job.ID, b.Index, t.Epoch)
	}
	if t == nil {
		t = &Task{Job: j, Index: b.Index}
		j.Tasks[b.Index] = t
	}
	t.Epoch, t.Checkpoint = b.Epoch, b.Checkpoint
	s.makePending(t)
	switch {
	case j.Cancelled:
		s.endTask(t, record.OutcomeCancelled, "job was cancelled")
	case j.Parked != "":
		s.endTask(t, record.OutcomeFailed, j.Parked)
	}
	return accepted
}

func (s *State) applyBind(b *record.Bind) Verdict {
	t := s.Task(b.Task)
	if t == nil || t.State != TaskPending || t.Epoch != b.Epoch {
		return rejected("task %s/%d is not pending with epoch %d", b.Task.Job, b.Task.Index, b.Epoch)
	}
	if t.Job.Cancelled || t.Job.Parked != "" {
		return rejected("job %q is cancelled or parked", b.Task.Job)
	}
	if !s.Policy.InService {
		return rejected("zone is out of service by configuration %d", s.Policy.Version)
	}
	w := s.Workers[b.Worker]
	if w == nil || w.State != record.WorkerUsable {
		return rejected("worker %q is not usable", b.Worker)
	}
	if held := s.heldFor(w); held != nil && held != t && t.Job.Spec.Priority <= held.Job.Spec.Priority {
		return rejected("worker %q is held for task %s/%d", b.Worker, w.HeldFor.Job, w.HeldFor.Index)
	}
	if limit := t.Job.Spec.Size.Limiting(w.Free()); limit != "" {
		return rejected("worker %q has too little free %s", b.Worker, limit)
	}
	if class := s.Excluded(w, t.Job.Spec.Class); class != "" {
		return rejected("class %q cannot share worker %q with class %q", t.Job.Spec.Class, b.Worker, class)
	}
	t.State, t.Worker = TaskBound, b.Worker
	t.Size, t.Class, t.Revision = t.Job.Spec.Size, t.Job.Spec.Class, t.Job.Spec.Revision
	s.reserve(t, w)
	s.markTaskChanged(t)
	return accepted
}

// boundRun returns the bound task of a run, or a rejection if the run is not bound or o does not own its worker.
func (s *State) boundRun(o record.Owner, r record.Run) (*Task, Verdict) {
	t := s.Task(r.Task)
	if t == nil || t.State != TaskBound || t.Epoch != r.Epoch || t.Worker != r.Worker {
		return nil, rejected("task %s/%d is not bound to %q with epoch %d", r.Task.Job, r.Task.Index, r.Worker, r.Epoch)
	}
	if v, ok := s.checkOwner(o, r.Worker); !ok {
		return nil, v
	}
	return t, Verdict{}
}

func (s *State) applyStarted(b *record.Started) Verdict {
	t, v := s.boundRun(b.Owner, b.Run)
	if t == nil {
		return v
	}
	t.Address = b.Address
	s.markTaskChanged(t)
	return accepted
}

func (s *State) applyStop(b *record.Stop) Verdict {
	t := s.Task(b.Run.Task)
	if t == nil || t.State != TaskBound || t.Epoch != b.Run.Epoch || t.Worker != b.Run.Worker {
		return rejected("task %s/%d is not bound to %q with epoch %d",
			b.Run.Task.Job, b.Run.Task.Index, b.Run.Worker, b.Run.Epoch)
	}
	if t.Stopping != "" {
		return rejected("task %s/%d is already being stopped", b.Run.Task.Job, b.Run.Task.Index)
	}
	t.Stopping = cmp.Or(b.Reason, "requested")
	t.StoppingFor, t.StoppingForEpoch = b.For, b.ForEpoch
	s.markTaskChanged(t)
	return accepted
}

func (s *State) applyEnd(b *record.End) Verdict {
	t, v := s.boundRun(b.Owner, b.Run)
	if t == nil {
		return v
	}
	s.releaseReservation(t)
	if b.Outcome == record.OutcomeFailed {
		t.Attempts++
		t.Job.FailedOn = appendUnique(t.Job.FailedOn, t.Worker)
	}
	switch {
	case t.Unwanted():
		s.endTask(t, record.OutcomeCancelled, b.Reason)
	case t.Job.IsService():
		s.makePending(t)
	case b.Outcome != record.OutcomeFailed:
		s.endTask(t, b.Outcome, b.Reason)
	default:
		s.retryFailed(t, b.Reason)
	}
	return accepted
}

func (s *State) retryFailed(t *Task, reason string) {
	limit := t.Job.Spec.MaxAttempts
	if limit <= 0 {
		limit = defaultMaxAttempts
	}
	if s.countFailedWorkers(t.Job) >= parkAfterFailedWorkers {
		s.endTask(t, record.OutcomeFailed, reason)
		s.park(t.Job, "tasks failed on three different workers, last: "+reason)
		return
	}
	if t.Attempts >= limit || t.Job.Parked != "" {
		s.endTask(t, record.OutcomeFailed, reason)
		return
	}
	s.makePending(t)
}

// park ends the pending tasks of a job; bound tasks run to completion.
func (s *State) park(j *Job, reason string) {
	if j.Parked != "" {
		return
	}
	j.Parked = reason
	for i := range j.Spec.Tasks {
		if t := j.Tasks[i]; t != nil && t.State == TaskPending {
			s.endTask(t, record.OutcomeFailed, reason)
		}
	}
	s.notify(Change{Kind: ChangeJob, Job: j.Spec.ID})
}

func (s *State) applyEvict(b *record.Evict) Verdict {
	t, v := s.boundRun(b.Owner, b.Run)
	if t == nil {
		return v
	}
	if len(b.Checkpoint) > maxCheckpointBytes {
		// The control stream would reject its transfer; the task resumes from an earlier checkpoint.
		s.requeue(t, "")
		return accepted
	}
	s.requeue(t, b.Checkpoint)
	return accepted
}

func (s *State) applyLost(b *record.Lost) Verdict {
	t, v := s.boundRun(b.Owner, b.Run)
	if t == nil {
		return v
	}
	s.requeue(t, "")
	return accepted
}

// requeue makes a bound task pending again, or ends it if it must not run any more.
func (s *State) requeue(t *Task, checkpoint string) {
	s.releaseReservation(t)
	t.Evictions++
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	switch {
	case t.Unwanted():
		s.endTask(t, record.OutcomeCancelled, "stopped")
	case t.Job.Parked != "":
		s.endTask(t, record.OutcomeFailed, t.Job.Parked)
	default:
		s.makePending(t)
	}
}

func (s *State) applyCancel(b *record.Cancel) Verdict {
	j := s.Jobs[b.Job]
	if j == nil || j.Cancelled {
		return rejected("job %q is not known or already cancelled", b.Job)
	}
	j.Cancelled = true
	for _, t := range j.Tasks {
		if t.State == TaskPending {
			s.endTask(t, record.OutcomeCancelled, "job was cancelled")
		} else if t.State == TaskBound {
			s.markTaskChanged(t)
		}
	}
	s.notify(Change{Kind: ChangeJob, Job: b.Job})
	return accepted
}

func (s *State) applyRelease(b *record.Release) Verdict {
	t := s.Task(b.Task)
	if t == nil || t.State != TaskPending || t.Epoch != b.Epoch {
		return rejected("task %s/%d is not pending with epoch %d", b.Task.Job, b.Task.Index, b.Epoch)
	}
	if t.Job.IsService() {
		return rejected("task %s/%d is a replica of a service and stays in its zone", b.Task.Job, b.Task.Index)
	}
	t.State, t.ReleasedTo = TaskReleased, b.To
	t.Job.Unfinished--
	s.markTaskChanged(t)
	s.notify(Change{Kind: ChangeJob, Job: b.Task.Job})
	return accepted
}

func (s *State) applyRemoveJob(b *record.RemoveJob) Verdict {
	j := s.Jobs[b.Job]
	switch {
	case j == nil:
		return rejected("job %q is not known", b.Job)
	case j.Unfinished > 0:
		return rejected("job %q has %d unfinished tasks", b.Job, j.Unfinished)
	}
	delete(s.Jobs, b.Job)
	s.addRemovedJob(b.Job, j.Spec.Revision)
	s.notify(Change{Kind: ChangeJob, Job: b.Job})
	return accepted
}

// wasRemoved reports whether a job, or this or a later revision of a service, has ended and was removed.
func (s *State) wasRemoved(spec record.JobSpec) bool {
	revision, removed := s.RemovedJobs[spec.ID]
	return removed && spec.Revision <= revision
}

func (s *State) addRemovedJob(id string, revision int64) {
	if _, exists := s.RemovedJobs[id]; !exists {
		s.RemovedOrder = append(s.RemovedOrder, id)
	}
	s.RemovedJobs[id] = revision
	if len(s.RemovedOrder) > maxRemovedJobs {
		delete(s.RemovedJobs, s.RemovedOrder[0])
		s.RemovedOrder = s.RemovedOrder[1:]
	}
}
