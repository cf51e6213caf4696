package scheduler

import (
	"strconv"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
)

// zonePolicy returns the part of a document that the zone state needs to validate binds.
func zonePolicy(d *environment.Document, version int64, zoneName string) *record.Policy {
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
	if z.Policy.Version < p.Version && z.ResponsibleMember("policy") == self {
		s.post("policy/"+strconv.FormatInt(p.Version, 10), p)
	}
}
