package scheduler

import (
	"slices"
	"strings"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
)

// leaveTasksPerSecond limits how many tasks each daemon moves away from leaving workers. At this rate the 16 tasks of a
// worker are moved in about three seconds, well before the VM is replaced.
const leaveTasksPerSecond = 5

// drainWorkers moves tasks away from leaving workers and from workers whose reservations exceed a reduced capacity. It
// stops one replica of a service at a time.
func (s *Scheduler) drainWorkers(self string) {
	budget := s.leaveLimiter.take(s.cfg.Now(), leaveTasksPerSecond)
	if budget == 0 {
		return
	}
	s.cfg.State.View(func(z *zone.State) {
		if !z.Policy.InService {
			return
		}
		for id, w := range z.Workers {
			owner, _ := z.OwnerOf(id)
			if owner == self && len(w.Tasks) > 0 && mustDrain(w) {
				budget = s.drainWorker(w, budget)
			}
		}
	})
}

func mustDrain(w *zone.Worker) bool {
	return w.State == record.WorkerLeaving || !w.Reserved.Fits(w.Info.Capacity)
}

func (s *Scheduler) drainWorker(w *zone.Worker, budget int) int {
	for _, t := range evictionOrder(w) {
		if budget == 0 || w.State != record.WorkerLeaving && w.Reserved.Fits(w.Info.Capacity) {
			break
		}
		if t.ShouldStop() || t.Job.IsService() && replicaUnavailable(t.Job) {
			continue
		}
		s.stopTask(t, "worker is leaving")
		budget--
		if w.State != record.WorkerLeaving {
			break // the next step decides with the freed capacity
		}
	}
	return budget
}

// evictionOrder returns the tasks of a worker, batch tasks before replicas of services.
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

// replicaUnavailable reports whether any replica of the service is stopping or not serving yet.
func replicaUnavailable(j *zone.Job) bool {
	for _, t := range j.Tasks {
		if t.State == zone.TaskPending || t.State == zone.TaskBound && (t.Address == "" || t.Stopping != "") {
			return true
		}
	}
	return false
}
