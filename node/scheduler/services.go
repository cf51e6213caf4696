package scheduler

import (
	"time"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/placement"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
)

// admission is when this daemon first saw a definition of a service in the zone state.
type admission struct {
	revision int64
	at       time.Time
}

// servicesOf returns the replicas that the document asks for in the zone.
func servicesOf(d *environment.Document, zoneName string) []record.JobSpec {
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

// syncServices brings the replicas of each service towards the document, one batch at a time, and scales down
// services that the document no longer names.
func (s *Scheduler) syncServices(z *zone.State, self string, specs []record.JobSpec, version int64) {
	named := make(map[string]bool, len(specs))
	for _, spec := range specs {
		named[spec.ID] = true
		if z.Responsible(spec.ID) == self {
			s.syncService(z, spec, version)
		}
	}
	for id, j := range z.Jobs {
		if !j.IsService() || named[id] || z.Responsible(id) != self {
			continue
		}
		if j.Spec.Tasks == 0 && j.Unfinished == 0 {
			s.post("forget/"+id, &record.Forget{Job: id})
			delete(s.admitted, id)
			continue
		}
		gone := j.Spec
		gone.Tasks = 0
		s.syncService(z, gone, version)
	}
}

func (s *Scheduler) syncService(z *zone.State, want record.JobSpec, version int64) {
	now := time.Now()
	j := z.Jobs[want.ID]
	change := placement.ReconcileService(want, version, s.observe(j, now), placement.DefaultRollLimits(), now)
	if change.Admit != nil {
		s.post("admit/"+want.ID, &record.Admit{Job: *change.Admit})
	}
	if j == nil {
		return
	}
	for _, index := range change.Restart {
		s.stopReplica(j.Tasks[index], "new revision of the service")
	}
	for _, index := range change.Remove {
		s.stopReplica(j.Tasks[index], "service was scaled down")
	}
}

// observe describes the replicas of a service in the zone state.
func (s *Scheduler) observe(j *zone.Job, now time.Time) placement.ServiceState {
	if j == nil {
		return placement.ServiceState{}
	}
	seen := s.admitted[j.Spec.ID]
	if seen.revision != j.Spec.Revision {
		seen = admission{revision: j.Spec.Revision, at: now}
		s.admitted[j.Spec.ID] = seen
	}
	spec := j.Spec
	state := placement.ServiceState{Spec: &spec, AdmittedAt: seen.at}
	for index, t := range j.Tasks {
		switch t.State {
		case zone.TaskBound:
			state.Replicas = append(state.Replicas, placement.Replica{
				Index: index, Revision: t.Revision, Running: true, Ready: t.Address != "", Stopping: t.StopWanted(),
			})
		case zone.TaskPending:
			state.Replicas = append(state.Replicas, placement.Replica{Index: index, Revision: j.Spec.Revision})
		}
	}
	return state
}

func (s *Scheduler) stopReplica(t *zone.Task, reason string) {
	if t == nil || t.State != zone.TaskBound || t.StopWanted() {
		return
	}
	s.post(taskPurpose("stop", t.Job.Spec.ID, t.Index, t.Epoch), &record.Stop{Run: t.Run(), Reason: reason})
}
