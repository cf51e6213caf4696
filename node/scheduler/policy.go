package scheduler

import (
	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
)

// policyOf returns the part of a document that the zone's state needs to judge binds.
func policyOf(d *environment.Document, version int64, zoneName string) *record.Policy {
	_, z, known := d.FindZone(zoneName)
	p := &record.Policy{Version: version, InService: known && !z.OutOfService}
	for _, rule := range d.Sharing {
		for _, other := range rule.NotWith {
			p.Exclusions = append(p.Exclusions, record.Exclusion{A: rule.Class, B: other})
		}
	}
	return p
}

func (s *Scheduler) syncPolicy(z *zone.State, self string, p *record.Policy) {
	if z.Policy.Version < p.Version && z.Responsible("policy") == self {
		s.post("policy", p)
	}
}

// servicesOf returns the replicas that the document asks for in the zone.
func servicesOf(d *environment.Document, version int64, zoneName string) []record.JobSpec {
	specs := make([]record.JobSpec, 0, len(d.Services))
	for _, svc := range d.Services {
		specs = append(specs, record.JobSpec{
			ID:       record.ServiceJobID(svc.Name),
			Revision: version,
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

// syncServices admits new and changed services and scales down those that the document no longer names.
func (s *Scheduler) syncServices(z *zone.State, self string, specs []record.JobSpec, version int64) {
	named := make(map[string]bool, len(specs))
	for _, spec := range specs {
		named[spec.ID] = true
		j := z.Jobs[spec.ID]
		if j == nil && spec.Tasks == 0 || j != nil && sameService(j.Spec, spec) {
			continue
		}
		s.admitService(z, self, spec)
	}
	for id, j := range z.Jobs {
		if !j.IsService() || named[id] {
			continue
		}
		if j.Spec.Tasks > 0 {
			gone := j.Spec
			gone.Tasks, gone.Revision = 0, version
			s.admitService(z, self, gone)
		} else if j.Unfinished == 0 && z.Responsible(id) == self {
			s.post("forget/"+id, &record.Forget{Job: id})
		}
	}
}

// sameService ignores the revision, which rises with every document.
func sameService(a, b record.JobSpec) bool {
	return a.Tasks == b.Tasks && a.Size == b.Size && a.Payload == b.Payload && a.Team == b.Team
}

func (s *Scheduler) admitService(z *zone.State, self string, spec record.JobSpec) {
	if z.Responsible(spec.ID) == self {
		s.post("admit/"+spec.ID, &record.Admit{Job: spec})
	}
}
