package scheduler

import (
	"time"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/rendezvous"
	"waxwingslip.example/core/zone"
)

// Rules for moving waiting work to zones with room.
const (
	// spillAfter is how long a task waits in its zone before it may move; urgent tasks move sooner, since a
	// move takes about a second of their 2.5 s.
	spillAfter       = 30 * time.Second
	spillUrgentAfter = 700 * time.Millisecond
	// spillRate is how many waiting tasks a second each daemon moves. A zone that returns to service fills at
	// this rate from each other daemon, which avoids a stampede.
	spillRate = 3
	// spillRoom is the share of a zone's processors that must be free.
	spillRoom = 0.1
)

// spillPending releases tasks that wait for room to zones that have some.
func (s *Scheduler) spillPending(self string) {
	if len(s.since) == 0 {
		return
	}
	budget := s.spill.take(s.cfg.Now(), spillRate)
	if budget == 0 {
		return
	}
	d, roomy := s.roomyZones()
	if len(roomy) == 0 {
		return
	}
	now := time.Now()
	s.cfg.State.View(func(z *zone.State) {
		if !z.Policy.InService {
			return // drainZone moves everything
		}
		for id, since := range s.since {
			if budget == 0 {
				return
			}
			if s.spillTask(z, self, id, now.Sub(since), d, roomy) {
				budget--
			}
		}
	})
}

// roomyZones lists the other zones in service that were heard recently and have room.
func (s *Scheduler) roomyZones() (d *environment.Document, out []string) {
	s.cfg.Control.View(func(c *control.State) {
		d = c.Document()
		if d == nil {
			return
		}
		for _, name := range d.ZoneNames() {
			if name == s.cfg.Zone || closed(d, name) {
				continue
			}
			if room, heard := s.cfg.Loads.Room(name); heard && room >= spillRoom {
				out = append(out, name)
			}
		}
	})
	return d, out
}

func (s *Scheduler) spillTask(z *zone.State, self string, id record.TaskID, waited time.Duration,
	d *environment.Document, roomy []string) bool {
	t := z.Task(id)
	if t == nil || t.State != zone.TaskPending || t.Job.IsService() || t.Job.Cancelled || t.Job.Parked != "" || z.Responsible(placePurpose(id)) != self {
		return false
	}
	limit := spillAfter
	if t.Job.Spec.Priority == record.PriorityUrgent {
		limit = spillUrgentAfter
	}
	var allowed []string
	for _, name := range roomy {
		if canRun(d, &t.Job.Spec, name) {
			allowed = append(allowed, name)
		}
	}
	if waited < limit || len(allowed) == 0 {
		return false
	}
	purpose := taskPurpose("spill", id.Job, id.Index, t.Epoch)
	s.post(purpose, &record.Release{Task: id, Epoch: t.Epoch, To: rendezvous.Pick(purpose, allowed)})
	return true
}
