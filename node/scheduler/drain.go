package scheduler

import (
	"time"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/rendezvous"
	"waxwingslip.example/core/zone"
)

// moveRate is how many tasks a second each daemon evicts from, or releases by, a zone that is out of service.
// Three daemons move the 1,550 batch tasks of a zone at target size in under two minutes, with less than 1 KB/s
// of transfers in the control stream for each daemon.
const moveRate = 5

// pacer spreads work over time.
type pacer struct {
	last   time.Duration
	credit float64
}

// take returns how many units may be done now, at most a second's worth.
func (p *pacer) take(now time.Duration, perSecond float64) int {
	p.credit = min(perSecond, p.credit+perSecond*(now-p.last).Seconds())
	p.last = now
	n := int(p.credit)
	p.credit -= float64(n)
	return n
}

// drainZone moves batch work away while the zone is out of service.
func (s *Scheduler) drainZone(self string) {
	budget := s.drain.take(s.cfg.Now(), moveRate)
	if budget == 0 {
		return
	}
	var targets func(spec *record.JobSpec) []string
	s.cfg.Control.View(func(c *control.State) {
		if d := c.Document(); d != nil && closed(d, s.cfg.Zone) {
			targets = s.zoneChooser(d)
		}
	})
	if targets == nil {
		return
	}
	s.cfg.State.View(func(z *zone.State) {
		for _, j := range z.Jobs {
			if !j.IsService() {
				budget = s.moveJob(z, self, j, targets(&j.Spec), budget)
			}
		}
	})
}

// closed reports whether a zone is out of service or no longer in the document.
func closed(d *environment.Document, name string) bool {
	_, z, ok := d.FindZone(name)
	return !ok || z.OutOfService
}

// zoneChooser returns a function that lists the other zones in service which a job may use. Zones that were
// heard and have room come alone, if there are any.
func (s *Scheduler) zoneChooser(d *environment.Document) func(*record.JobSpec) []string {
	var open []string
	for _, name := range d.ZoneNames() {
		if name != s.cfg.Zone && !closed(d, name) {
			open = append(open, name)
		}
	}
	return func(spec *record.JobSpec) []string {
		var allowed, roomy []string
		for _, name := range open {
			if !canRun(d, spec, name) {
				continue
			}
			allowed = append(allowed, name)
			if room, heard := s.cfg.Loads.Room(name); heard && room > 0 {
				roomy = append(roomy, name)
			}
		}
		if len(roomy) > 0 {
			return roomy
		}
		return allowed
	}
}

// canRun reports whether a job may use a zone and whether the zone has workers that are large enough.
func canRun(d *environment.Document, spec *record.JobSpec, name string) bool {
	_, z, ok := d.FindZone(name)
	return ok && allows(spec, name) && spec.Size.Fits(z.Worker)
}

func allows(spec *record.JobSpec, zoneName string) bool {
	if len(spec.Zones) == 0 {
		return true
	}
	for _, z := range spec.Zones {
		if z == zoneName {
			return true
		}
	}
	return false
}

// moveJob stops bound tasks and releases pending ones, and returns what is left of the budget.
func (s *Scheduler) moveJob(z *zone.State, self string, j *zone.Job, targets []string, budget int) int {
	for index, t := range j.Tasks {
		if budget == 0 {
			return 0
		}
		if z.Responsible(placePurpose(t.ID())) != self || j.Cancelled {
			continue
		}
		purpose := taskPurpose("move", j.Spec.ID, index, t.Epoch)
		switch {
		case t.State == zone.TaskBound && t.Stopping == "":
			s.post(purpose, &record.Stop{Run: t.Run(), Reason: "zone is out of service"})
		case t.State == zone.TaskPending && len(targets) > 0:
			s.post(purpose, &record.Release{Task: t.ID(), Epoch: t.Epoch, To: rendezvous.Pick(purpose, targets)})
		default:
			continue
		}
		budget--
	}
	return budget
}
