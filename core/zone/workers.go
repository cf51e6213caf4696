package zone

import (
	"slices"

	"waxwingslip.example/core/record"
)

func (s *State) applyRegisterWorker(b *record.RegisterWorker) Verdict {
	if v, ok := s.checkOwner(b.Owner, b.Worker.ID); !ok {
		return v
	}
	if !b.Worker.Capacity.Valid() {
		return rejected("worker %q has a negative capacity", b.Worker.ID)
	}
	w := s.Workers[b.Worker.ID]
	if w == nil {
		w = newWorker()
		s.Workers[b.Worker.ID] = w
	}
	w.Info = b.Worker
	s.notify(Change{Kind: ChangeWorker, Worker: b.Worker.ID})
	return accepted
}

func newWorker() *Worker {
	return &Worker{Tasks: map[record.TaskID]*Task{}, classes: map[string]int{}}
}

func (s *State) applySetWorker(b *record.SetWorker) Verdict {
	if v, ok := s.checkOwner(b.Owner, b.Worker); !ok {
		return v
	}
	w := s.Workers[b.Worker]
	if w == nil {
		return rejected("worker %q is not registered", b.Worker)
	}
	w.State, w.Reason = b.State, b.Reason
	s.notify(Change{Kind: ChangeWorker, Worker: b.Worker})
	return accepted
}

func (s *State) applyRemoveWorker(b *record.RemoveWorker) Verdict {
	if v, ok := s.checkOwner(b.Owner, b.Worker); !ok {
		return v
	}
	w := s.Workers[b.Worker]
	switch {
	case w == nil:
		return rejected("worker %q is not registered", b.Worker)
	case len(w.Tasks) > 0:
		return rejected("worker %q still has %d reservations", b.Worker, len(w.Tasks))
	}
	delete(s.Workers, b.Worker)
	s.notify(Change{Kind: ChangeWorker, Worker: b.Worker})
	return accepted
}

func (s *State) applyPolicy(b *record.Policy) Verdict {
	if b.Version <= s.Policy.Version {
		return rejected("policy version %d is not newer than %d", b.Version, s.Policy.Version)
	}
	s.Policy = *b
	s.notify(Change{Kind: ChangePolicy})
	return accepted
}

// Excluded returns a class on the worker that excludes tasks of the given class, or "".
func (s *State) Excluded(w *Worker, class string) string {
	for _, e := range s.Policy.Exclusions {
		if e.A == class && w.classes[e.B] > 0 {
			return e.B
		}
		if e.B == class && w.classes[e.A] > 0 {
			return e.A
		}
	}
	return ""
}

func (s *State) reserve(t *Task, w *Worker) {
	w.Reserved = w.Reserved.Add(t.Size)
	w.Tasks[t.ID()] = t
	w.classes[t.Class]++
	s.notify(Change{Kind: ChangeReservations, Worker: w.Info.ID})
}

// releaseReservation frees the task's reservation and holds the capacity if the run was stopped for another task.
func (s *State) releaseReservation(t *Task) {
	w := s.Workers[t.Worker]
	w.Reserved = w.Reserved.Sub(t.Size)
	delete(w.Tasks, t.ID())
	if t.StoppingFor.Job != "" {
		w.HeldFor, w.HeldEpoch = t.StoppingFor, t.StoppingForEpoch
		t.StoppingFor, t.StoppingForEpoch = record.TaskID{}, 0
	}
	if w.classes[t.Class]--; w.classes[t.Class] == 0 {
		delete(w.classes, t.Class)
	}
	s.notify(Change{Kind: ChangeReservations, Worker: w.Info.ID})
}

// heldFor returns the pending task for which the worker's capacity is held, or nil.
func (s *State) heldFor(w *Worker) *Task {
	if w.HeldFor.Job == "" {
		return nil
	}
	t := s.Task(w.HeldFor)
	if t == nil || t.State != TaskPending || t.Epoch != w.HeldEpoch {
		return nil
	}
	return t
}

// countFailedWorkers returns the number of workers on which the job failed, without quarantined ones.
func (s *State) countFailedWorkers(j *Job) int {
	n := 0
	for _, id := range j.FailedOn {
		if w := s.Workers[id]; w == nil || w.State != record.WorkerQuarantined {
			n++
		}
	}
	return n
}

func appendUnique(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}
