package shard

import (
	"math"
	"time"

	"waxwingslip.example/core/jobs"
)

// Bounds of the room that is kept for short tasks.
const (
	// demandReserve percent of the highest recent demand of short tasks stay free when a new lasting task is placed. A
	// lasting task holds its room for minutes; short ones that arrive then would all be late.
	demandReserve = 125
	// demandFade is the time in which a past demand counts half.
	demandFade = 8 * time.Second
	// patientMs is how old a job of new lasting tasks gets before it takes that room as well.
	patientMs = 20_000
)

// demand is the processor time that short tasks of a service need.
type demand struct {
	milliCPU float64
	at       time.Duration
}

// noteDemand updates what short tasks run and wait for. The caller holds mu.
func (s *Shard) noteDemand(waiting []*entry, now time.Duration) {
	current := map[string]int64{}
	for _, e := range waiting {
		for _, o := range e.job.Occurrences {
			for step := range o.Steps {
				if spec := &e.job.Spec.Steps[step]; !spec.LongRunning && !spec.Fills && e.job.Ready(o, step) {
					for i := range o.Steps[step] {
						if o.Steps[step][i].Phase == jobs.Waiting {
							current[e.job.Spec.Service] += spec.Size.MilliCPU
						}
					}
				}
			}
		}
	}
	for service := range s.env.Config().Services {
		d := s.demand[service]
		d.milliCPU *= math.Exp2(-float64(now-d.at) / float64(demandFade))
		d.milliCPU = max(d.milliCPU, float64(current[service]+s.fleet.Room(service).Batch))
		d.at = now
		s.demand[service] = d
	}
}

// sparesRoom reports whether a new lasting task leaves enough room for short ones. The caller holds mu.
func (s *Shard) sparesRoom(e *entry, service string, step *jobs.Step) bool {
	if s.env.Wall().UnixMilli()-e.job.Spec.AcceptedMs > patientMs {
		return true
	}
	room := s.fleet.Room(service)
	reserve := int64(s.demand[service].milliCPU*demandReserve/100) - room.Batch
	return room.Free-step.Size.MilliCPU >= reserve
}
