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
	// unknownDemandPercent of the service's room stays free for them until the first ones come.
	unknownDemandPercent = 5
	// patientMs is how old a job of new lasting tasks gets before it takes a part of that room as well: all but
	// patientReserve percent of the demand.
	patientMs      = 20_000
	patientReserve = 70
)

// demand is the processor time that short tasks of a service need.
type demand struct {
	milliCPU float64
	at       time.Duration
	// size is the mean of theirs, which tells how much of the room in pieces they can use; 0 before the first.
	size float64
}

// sizeWeight is the weight of a job's newest mean size in that of its service.
const sizeWeight = 0.05

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

// noteSizes learns how large short tasks are from an accepted job. The caller holds mu.
func (s *Shard) noteSizes(spec *jobs.Spec) {
	d := s.demand[spec.Service]
	for i := range spec.Steps {
		step := &spec.Steps[i]
		if step.LongRunning || step.Fills {
			continue
		}
		size := float64(step.Size.MilliCPU)
		if d.size == 0 {
			d.size = size
		}
		d.size += sizeWeight * (size - d.size)
	}
	s.demand[spec.Service] = d
}

// reserve returns the processor time that is kept for short tasks in a service of a size. Old jobs of lasting tasks leave
// less of it.
func (d demand) reserve(size int64, oldJob bool) int64 {
	switch {
	case oldJob:
		return int64(d.milliCPU * patientReserve / 100)
	case d.size == 0: // no short task has come yet
		return size * unknownDemandPercent / 100
	}
	return int64(d.milliCPU * demandReserve / 100)
}

// sparesRoom reports whether a new lasting task leaves enough room for short ones. The caller holds mu.
func (s *Shard) sparesRoom(e *entry, service string, step *jobs.Step) bool {
	room, d := s.fleet.Room(service), s.demand[service]
	oldJob := s.env.Wall().UnixMilli()-e.job.Spec.AcceptedMs > patientMs
	return s.fleet.Usable(service, int64(d.size))-step.Size.MilliCPU >= d.reserve(room.Size, oldJob)-room.Batch
}
