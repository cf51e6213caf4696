package scheduler

import (
	"time"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/rendezvous"
	"waxwingslip.example/core/zone"
)

// Limits for moving waiting tasks to zones with free capacity.
const (
	// spillDelay is how long a task waits in its zone before it may move. Urgent tasks move sooner, since they must
	// start within 2.5 s and a move takes about a second.
	spillDelay       = 30 * time.Second
	urgentSpillDelay = 700 * time.Millisecond
	// spillTasksPerSecond limits how many waiting tasks each daemon moves. A zone that returns to service receives
	// tasks from each other daemon at this rate, which prevents a stampede.
	spillTasksPerSecond = 3
	// spillMinFreeShare is the share of the target zone's processors that must be free.
	spillMinFreeShare = 0.1
)

// spillPending releases tasks that wait for capacity to zones that have some.
func (s *Scheduler) spillPending(self string) {
	if len(s.pendingSince) == 0 {
		return
	}
	budget := s.spillLimiter.take(s.cfg.Now(), spillTasksPerSecond)
	if budget == 0 {
		return
	}
	d, withCapacity := s.zonesWithCapacity()
	if len(withCapacity) == 0 {
		return
	}
	now := time.Now()
	s.cfg.State.View(func(z *zone.State) {
		if !z.Policy.InService {
			return // drainZone moves all tasks
		}
		for id, since := range s.pendingSince {
			if budget == 0 {
				return
			}
			if s.spillTask(z, self, id, now.Sub(since), d, withCapacity) {
				budget--
			}
		}
	})
}

// zonesWithCapacity lists the other zones in service that recently reported enough free capacity.
func (s *Scheduler) zonesWithCapacity() (d *environment.Document, out []string) {
	s.cfg.Control.View(func(c *control.State) {
		d = c.Document()
		if d == nil {
			return
		}
		for _, name := range d.ZoneNames() {
			if name == s.cfg.Zone || outOfService(d, name) {
				continue
			}
			if free, known := s.cfg.Loads.UnreservedCPUShare(name); known && free >= spillMinFreeShare {
				out = append(out, name)
			}
		}
	})
	return d, out
}

func (s *Scheduler) spillTask(z *zone.State, self string, id record.TaskID, waited time.Duration,
	d *environment.Document, withCapacity []string) bool {
	t := z.Task(id)
	if t == nil || t.State != zone.TaskPending || t.Job.IsService() || t.Job.Cancelled ||
		t.Job.Parked != "" || z.ResponsibleMember(placementKey(id)) != self {
		return false
	}
	delay := spillDelay
	if t.Job.Spec.Priority == record.PriorityUrgent {
		delay = urgentSpillDelay
	}
	var allowed []string
	for _, name := range withCapacity {
		if canRunIn(d, &t.Job.Spec, name) {
			allowed = append(allowed, name)
		}
	}
	if waited < delay || len(allowed) == 0 {
		return false
	}
	key := taskKey("spill", id.Job, id.Index, t.Epoch)
	s.post(key, &record.Release{Task: id, Epoch: t.Epoch, To: rendezvous.Pick(key, allowed)})
	return true
}
