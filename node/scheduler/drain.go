package scheduler

import (
	"time"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/rendezvous"
	"waxwingslip.example/core/zone"
)

// drainTasksPerSecond limits how many tasks each daemon evicts or releases in a zone that is out of service. At this
// rate three daemons move the 1,550 batch tasks of a zone at target size in under two minutes, and each daemon adds
// less than 1 KB/s of transfers to the control stream.
const drainTasksPerSecond = 5

// rateLimiter is a token bucket that holds at most the tokens of one second.
type rateLimiter struct {
	last   time.Duration
	tokens float64
}

// take refills the bucket, removes all whole tokens and returns their number.
func (l *rateLimiter) take(now time.Duration, perSecond float64) int {
	l.tokens = min(perSecond, l.tokens+perSecond*(now-l.last).Seconds())
	l.last = now
	n := int(l.tokens)
	l.tokens -= float64(n)
	return n
}

// drainZone moves batch tasks to other zones while this zone is out of service.
func (s *Scheduler) drainZone(self string) {
	budget := s.drainLimiter.take(s.cfg.Now(), drainTasksPerSecond)
	if budget == 0 {
		return
	}
	var targets func(spec *record.JobSpec) []string
	s.cfg.Control.View(func(c *control.State) {
		if d := c.Document(); d != nil && outOfService(d, s.cfg.Zone) {
			targets = s.targetZones(d)
		}
	})
	if targets == nil {
		return
	}
	s.cfg.State.View(func(z *zone.State) {
		for _, j := range z.Jobs {
			if !j.IsService() {
				budget = s.moveTasks(z, self, j, targets(&j.Spec), budget)
			}
		}
	})
}

// outOfService reports whether a zone is out of service or missing from the document.
func outOfService(d *environment.Document, name string) bool {
	_, z, ok := d.FindZone(name)
	return !ok || z.OutOfService
}

// targetZones returns a function that lists the other zones in service that can run a job. If any of them recently
// reported free capacity, only those are listed.
func (s *Scheduler) targetZones(d *environment.Document) func(*record.JobSpec) []string {
	var inService []string
	for _, name := range d.ZoneNames() {
		if name != s.cfg.Zone && !outOfService(d, name) {
			inService = append(inService, name)
		}
	}
	return func(spec *record.JobSpec) []string {
		var allowed, withCapacity []string
		for _, name := range inService {
			if !canRunIn(d, spec, name) {
				continue
			}
			allowed = append(allowed, name)
			if free, known := s.cfg.Loads.UnreservedCPUShare(name); known && free > 0 {
				withCapacity = append(withCapacity, name)
			}
		}
		if len(withCapacity) > 0 {
			return withCapacity
		}
		return allowed
	}
}

// canRunIn reports whether the job allows a zone and the zone has workers that are large enough.
func canRunIn(d *environment.Document, spec *record.JobSpec, name string) bool {
	_, z, ok := d.FindZone(name)
	return ok && allowsZone(spec, name) && spec.Size.Fits(z.Worker)
}

func allowsZone(spec *record.JobSpec, zoneName string) bool {
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

// moveTasks stops the bound tasks of a job, releases its pending ones and returns the remaining budget.
func (s *Scheduler) moveTasks(z *zone.State, self string, j *zone.Job, targets []string, budget int) int {
	for index, t := range j.Tasks {
		if budget == 0 {
			return 0
		}
		if z.ResponsibleMember(placementKey(t.ID())) != self || j.Cancelled {
			continue
		}
		key := taskKey("move", j.Spec.ID, index, t.Epoch)
		switch {
		case t.State == zone.TaskBound && t.Stopping == "":
			s.post(key, &record.Stop{Run: t.Run(), Reason: "zone is out of service"})
		case t.State == zone.TaskPending && len(targets) > 0:
			s.post(key, &record.Release{Task: t.ID(), Epoch: t.Epoch, To: rendezvous.Pick(key, targets)})
		default:
			continue
		}
		budget--
	}
	return budget
}
