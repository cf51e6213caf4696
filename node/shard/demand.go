package shard

import (
	"math"
	"time"

	"waxwingslip.example/core/jobs"
)

// Limits of the capacity that is kept free for short tasks.
const (
	// demandReservePercent of the recent peak demand of short tasks stays free when a new long-running task is placed. A
	// long-running task holds its capacity for minutes; short tasks that arrive then would all be late.
	demandReservePercent = 125
	// demandHalfLife is the half-life of past demand.
	demandHalfLife = 8 * time.Second
	// initialReservePercent of the service's capacity stays free until the first short task arrives.
	initialReservePercent = 5
	// agedJobMs is the age above which a job's new long-running tasks leave only agedReservePercent of the demand free.
	agedJobMs          = 20_000
	agedReservePercent = 70
)

// demand is the CPU demand of a service's short tasks.
type demand struct {
	milliCPU  float64
	updatedAt time.Duration
	// meanMilliCPU is the mean size of short tasks, by which fragments of free capacity count as usable; 0 before the
	// first task.
	meanMilliCPU float64
}

// meanSizeWeight is the weight of the newest step's task size in the moving average of its service.
const meanSizeWeight = 0.05

// updateDemand raises the decaying demand to that of the short tasks that run or wait now. The caller holds mu.
func (s *Shard) updateDemand(waiting []*jobEntry, now time.Duration) {
	current := map[string]int64{}
	for _, e := range waiting {
		if e.waitsForQuota {
			continue // free capacity is of no use to it
		}
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
	for service := range s.deps.Config().Services {
		d := s.demand[service]
		d.milliCPU *= math.Exp2(-float64(now-d.updatedAt) / float64(demandHalfLife))
		d.milliCPU = max(d.milliCPU, float64(current[service]+s.fleet.CPUTotals(service).Batch))
		d.updatedAt = now
		s.demand[service] = d
	}
}

// updateMeanSize updates the mean size of short tasks from an accepted job. The caller holds mu.
func (s *Shard) updateMeanSize(spec *jobs.Spec) {
	d := s.demand[spec.Service]
	for i := range spec.Steps {
		step := &spec.Steps[i]
		if step.LongRunning || step.Fills {
			continue
		}
		size := float64(step.Size.MilliCPU)
		if d.meanMilliCPU == 0 {
			d.meanMilliCPU = size
		}
		d.meanMilliCPU += meanSizeWeight * (size - d.meanMilliCPU)
	}
	s.demand[spec.Service] = d
}

// reservedMilliCPU returns the CPU capacity that is kept for short tasks in a service of a size. Aged jobs of
// long-running tasks leave less of it.
func (d demand) reservedMilliCPU(serviceMilliCPU int64, aged bool) int64 {
	switch {
	case aged:
		return int64(d.milliCPU * agedReservePercent / 100)
	case d.meanMilliCPU == 0: // no short task has arrived yet
		return serviceMilliCPU * initialReservePercent / 100
	}
	return int64(d.milliCPU * demandReservePercent / 100)
}

// leavesReserve reports whether a new long-running task leaves enough capacity for short ones. The caller holds mu.
func (s *Shard) leavesReserve(e *jobEntry, service string, step *jobs.Step) bool {
	cpu, d := s.fleet.CPUTotals(service), s.demand[service]
	aged := s.deps.WallTime().UnixMilli()-e.job.Spec.AcceptedMs > agedJobMs
	return s.fleet.UsableCPU(service, int64(d.meanMilliCPU))-step.Size.MilliCPU >=
		d.reservedMilliCPU(cpu.Size, aged)-cpu.Batch
}
