package scheduler

import (
	"time"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/placement"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
)

// seenRevision is a revision of a service in the zone state and when this daemon first saw it.
type seenRevision struct {
	revision  int64
	firstSeen time.Time
}

// serviceSpecs returns the job spec of each service, with the replicas that the document defines for the zone.
func serviceSpecs(d *environment.Document, zoneName string) []record.JobSpec {
	specs := make([]record.JobSpec, 0, len(d.Services))
	for _, svc := range d.Services {
		specs = append(specs, record.JobSpec{
			ID:       record.ServiceJobID(svc.Name),
			Team:     svc.Team,
			Class:    svc.Class,
			Service:  svc.Name,
			Priority: record.PriorityService,
			Tasks:    svc.Replicas[zoneName],
			Size:     svc.Size,
			Payload:  svc.Payload,
		})
	}
	return specs
}

// syncServices changes the replicas of each service towards the document, one batch at a time, and scales down
// services that the document no longer contains.
func (s *Scheduler) syncServices(z *zone.State, self string, specs []record.JobSpec, version int64) {
	inDocument := make(map[string]bool, len(specs))
	for _, spec := range specs {
		inDocument[spec.ID] = true
		if z.ResponsibleMember(spec.ID) == self {
			s.syncService(z, spec, version)
		}
	}
	for id, j := range z.Jobs {
		if !j.IsService() || inDocument[id] || z.ResponsibleMember(id) != self {
			continue
		}
		if j.Spec.Tasks == 0 && j.Unfinished == 0 {
			s.post("forget/"+id, &record.RemoveJob{Job: id})
			delete(s.seenRevisions, id)
			continue
		}
		removed := j.Spec
		removed.Tasks = 0
		s.syncService(z, removed, version)
	}
}

func (s *Scheduler) syncService(z *zone.State, want record.JobSpec, version int64) {
	now := time.Now()
	j := z.Jobs[want.ID]
	changes := placement.ReconcileService(want, version, s.serviceState(j, now), placement.DefaultRolloutLimits(), now)
	if changes.Admit != nil {
		s.post("admit/"+want.ID, &record.Admit{Job: *changes.Admit})
	}
	if j == nil {
		return
	}
	for _, index := range changes.Restart {
		s.stopTask(j.Tasks[index], "new revision of the service")
	}
	for _, index := range changes.Remove {
		s.stopTask(j.Tasks[index], "service was scaled down")
	}
}

// serviceState returns the replicas of a service in the zone state.
func (s *Scheduler) serviceState(j *zone.Job, now time.Time) placement.ServiceState {
	if j == nil {
		return placement.ServiceState{}
	}
	seen := s.seenRevisions[j.Spec.ID]
	if seen.revision != j.Spec.Revision {
		seen = seenRevision{revision: j.Spec.Revision, firstSeen: now}
		s.seenRevisions[j.Spec.ID] = seen
	}
	spec := j.Spec
	state := placement.ServiceState{Spec: &spec, AdmittedAt: seen.firstSeen}
	for index, t := range j.Tasks {
		switch t.State {
		case zone.TaskBound:
			state.Replicas = append(state.Replicas, placement.Replica{
				Index: index, Revision: t.Revision, Running: true, Ready: t.Address != "", Stopping: t.ShouldStop(),
			})
		case zone.TaskPending:
			state.Replicas = append(state.Replicas, placement.Replica{Index: index, Revision: j.Spec.Revision})
		}
	}
	return state
}

func (s *Scheduler) stopTask(t *zone.Task, reason string) {
	if t == nil || t.State != zone.TaskBound || t.ShouldStop() {
		return
	}
	s.post(taskKey("stop", t.Job.Spec.ID, t.Index, t.Epoch), &record.Stop{Run: t.Run(), Reason: reason})
}
