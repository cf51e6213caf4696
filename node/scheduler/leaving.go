package scheduler

import (
	"slices"
	"strings"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
)

// leaveRate is how many tasks a second each daemon moves away from workers that leave. A worker's 16 tasks are
// gone in about three seconds, well before a VM is replaced.
const leaveRate = 5

// drainWorkers moves tasks away from leaving workers and from those whose capacity shrank below their
// reservations. Of each service, one replica is stopped at a time.
func (s *Scheduler) drainWorkers(self string) {
	budget := s.leaving.take(s.cfg.Now(), leaveRate)
	if budget == 0 {
		return
	}
	s.cfg.State.View(func(z *zone.State) {
		if !z.Policy.InService {
			return
		}
		for id, w := range z.Workers {
			owner, _ := z.OwnerOf(id)
			if owner == self && len(w.Tasks) > 0 && mustEmpty(w) {
				budget = s.emptyWorker(w, budget)
			}
		}
	})
}

func mustEmpty(w *zone.Worker) bool {
	return w.State == record.WorkerLeaving || !w.Reserved.Fits(w.Info.Capacity)
}

func (s *Scheduler) emptyWorker(w *zone.Worker, budget int) int {
	for _, t := range evictionOrder(w) {
		if budget == 0 || w.State != record.WorkerLeaving && w.Reserved.Fits(w.Info.Capacity) {
			break
		}
		if t.StopWanted() || t.Job.IsService() && beingReplaced(t.Job) {
			continue
		}
		s.stopReplica(t, "worker is leaving")
		budget--
		if w.State != record.WorkerLeaving {
			break // the next step looks at what the freed room leaves
		}
	}
	return budget
}

// evictionOrder lists batch tasks before replicas of services.
func evictionOrder(w *zone.Worker) []*zone.Task {
	tasks := make([]*zone.Task, 0, len(w.Tasks))
	for _, t := range w.Tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *zone.Task) int {
		if a.Job.IsService() != b.Job.IsService() {
			if a.Job.IsService() {
				return 1
			}
			return -1
		}
		if c := strings.Compare(a.Job.Spec.ID, b.Job.Spec.ID); c != 0 {
			return c
		}
		return a.Index - b.Index
	})
	return tasks
}

// beingReplaced reports whether a replica of the service is stopping or not serving yet.
func beingReplaced(j *zone.Job) bool {
	for _, t := range j.Tasks {
		if t.State == zone.TaskPending || t.State == zone.TaskBound && (t.Address == "" || t.Stopping != "") {
			return true
		}
	}
	return false
}
