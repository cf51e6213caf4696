package shard

import (
	"math"
	"time"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/packing"
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
	// maxReserveWait is how long a new long-running task waits for capacity that is kept for short ones, if less than
	// maxUsedPercent of the service is in use. It has to run within 3 s then; the rest is for the start.
	maxReserveWait = 1500 * time.Millisecond
	maxUsedPercent = 50
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
	current, waits, unrunnable := map[string]int64{}, s.fleet.NewDemand(), 0
	for _, e := range waiting {
		if e.waitsForQuota {
			continue // free capacity is of no use to it
		}
		for _, o := range e.job.Occurrences {
			for step := range o.Steps {
				n := e.waitingShortTasks(o, step)
				if n == 0 {
					continue
				}
				request := s.placementRequest(e, jobs.TaskID{Job: e.job.Spec.ID, Occurrence: o.Number, Step: step})
				s.excludeRefused(&request)
				milliCPU, runnable := waits.Add(&request, n)
				if !runnable {
					unrunnable += n
					s.logUnrunnable(e, &request)
					continue
				}
				current[request.Service] += milliCPU
				s.updateMeanSize(e)
			}
		}
	}
	total := 0.0
	for service := range s.deps.Config().Services {
		d := s.demand[service]
		d.milliCPU *= math.Exp2(-float64(now-d.updatedAt) / float64(demandHalfLife))
		d.milliCPU = max(d.milliCPU, float64(current[service]+s.fleet.CPUTotals(service).Batch))
		d.updatedAt = now
		s.demand[service] = d
		total += d.milliCPU
	}
	s.publishDemand(int64(total), unrunnable)
}

// publishDemand adjusts the gauges, which all shards of the daemon share. The caller holds mu.
func (s *Shard) publishDemand(milliCPU int64, unrunnable int) {
	s.deps.Counters.ShortDemand.Add(milliCPU - s.publishedDemand)
	s.deps.Counters.Unrunnable.Add(int64(unrunnable - s.publishedUnrunnable))
	s.publishedDemand, s.publishedUnrunnable = milliCPU, unrunnable
}

// waitingShortTasks returns how many short tasks of a step wait and have their turn.
func (e *jobEntry) waitingShortTasks(o *jobs.Occurrence, step int) int {
	if spec := &e.job.Spec.Steps[step]; spec.LongRunning || spec.Fills || !e.job.Ready(o, step) {
		return 0
	}
	n := 0
	for i := range o.Steps[step] {
		if o.Steps[step][i].Phase == jobs.Waiting {
			n++
		}
	}
	return n
}

// logUnrunnable logs, once for a job, that no open worker can run tasks of a step. The caller holds mu.
func (s *Shard) logUnrunnable(e *jobEntry, r *packing.Request) {
	if e.unrunnableLogged {
		return
	}
	e.unrunnableLogged = true
	s.log.Warn().Str("job", e.job.Spec.ID).Str("step", r.StepName).Str("service", r.Service).Str("label", r.Step.RequiredLabel).
		Stringer("size", r.Step.Size).Int("count", r.Step.Count).Bool("gang", r.Step.Gang).Msg("no open worker can run the step now")
}

// updateMeanSize updates the mean size of short tasks from a job, once, by those of its steps that the workers can run. The
// caller holds mu.
func (s *Shard) updateMeanSize(e *jobEntry) {
	if e.sizesCounted {
		return
	}
	e.sizesCounted = true
	spec := e.job.Spec
	for i := range spec.Steps {
		step := &spec.Steps[i]
		request := s.placementRequest(e, jobs.TaskID{Job: spec.ID, Step: i})
		if step.LongRunning || step.Fills || !s.fleet.Runnable(&request) {
			continue
		}
		d := s.demand[request.Service]
		size := float64(step.Size.MilliCPU)
		if d.meanMilliCPU == 0 {
			d.meanMilliCPU = size
		}
		d.meanMilliCPU += meanSizeWeight * (size - d.meanMilliCPU)
		s.demand[request.Service] = d
	}
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

// placeNewLongRunning returns the best worker for a new long-running task that leaves enough capacity for short ones or has waited
// for long enough, or nil. The caller holds mu.
func (s *Shard) placeNewLongRunning(e *jobEntry, r *packing.Request, now time.Duration) *packing.Worker {
	if s.leavesReserve(e, r.Service, r.Step) {
		return s.fleet.Place(r)
	}
	// Workers without room for a short task of usual size are no part of the reserve.
	outside, mean := *r, int64(s.demand[r.Service].meanMilliCPU)
	outside.Allowed = func(w *packing.Worker) bool {
		return !w.HasRoomFor(mean) && (r.Allowed == nil || r.Allowed(w))
	}
	if w := s.fleet.Place(&outside); w != nil {
		return w
	}
	if !s.reserveWaitOver(e, r, now) {
		return nil
	}
	w := s.fleet.Place(r)
	if w != nil {
		s.deps.Counters.ReserveOverruled.Inc()
	}
	return w
}

// reserveWaitOver reports whether a long-running task no longer waits for expected short tasks: it has waited for maxReserveWait,
// and little of the service is in use. The caller holds mu.
func (s *Shard) reserveWaitOver(e *jobEntry, r *packing.Request, now time.Duration) bool {
	cpu := s.fleet.CPUTotals(r.Service)
	if (cpu.Size-cpu.Free)*100 >= cpu.Size*maxUsedPercent {
		return false
	}
	if sh := s.shortages[r.StepName]; sh != nil && now-sh.since >= maxReserveWait {
		return true
	}
	// The wait goes on where the owner changes. The time since the acceptance is the wait only of tasks that were ready then.
	spec := e.job.Spec
	age := time.Duration(s.deps.WallTime().UnixMilli()-spec.AcceptedMs) * time.Millisecond
	return spec.Repeat == 0 && len(r.Step.After) == 0 && age >= maxReserveWait
}

// leavesReserve reports whether a new long-running task leaves enough capacity for short ones. The caller holds mu.
func (s *Shard) leavesReserve(e *jobEntry, service string, step *jobs.Step) bool {
	cpu, d := s.fleet.CPUTotals(service), s.demand[service]
	aged := s.deps.WallTime().UnixMilli()-e.job.Spec.AcceptedMs > agedJobMs
	reserve := d.reservedMilliCPU(cpu.Size, aged) - cpu.Batch
	if d.meanMilliCPU > 0 && reserve < int64(d.meanMilliCPU) {
		return true // not one more short task is expected
	}
	return s.fleet.UsableCPU(service, int64(d.meanMilliCPU))-step.Size.MilliCPU >= reserve
}
