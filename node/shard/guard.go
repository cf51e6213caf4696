package shard

import (
	"context"
	"time"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/pressure"
)

// paceFillingTasks sets the pace of a worker's filling tasks so that its serving tasks meet their objectives. The
// caller holds mu.
func (s *Shard) paceFillingTasks(w *worker) {
	var serving []pressure.Serving
	var filling []pressure.Filling
	var fillingRuns []*run
	size := float64(max(1, w.info.Size.MilliCPU))
	for _, r := range s.runsByWorker[w.info.ID] {
		if r.stage != running {
			continue
		}
		switch {
		case r.step.TailTargetMs > 0:
			t := pressure.Serving{Image: r.step.Image, TargetMs: float64(r.step.TailTargetMs), TailMs: float64(r.measurement)}
			if r.overTargetSince > 0 {
				t.OverTargetFor = s.deps.Now() - r.overTargetSince
			}
			serving = append(serving, t)
		case r.step.Fills:
			filling = append(filling, pressure.Filling{Image: r.step.Image, Share: float64(r.measurement) / size,
				FullShare: float64(r.step.Size.MilliCPU) / size, PacePercent: max(r.pace, 0)})
			fillingRuns = append(fillingRuns, r)
		}
	}
	w.objectiveMissed = false
	for i := range serving {
		w.objectiveMissed = w.objectiveMissed || serving[i].TailMs > serving[i].TargetMs
	}
	if len(serving) == 0 && len(fillingRuns) == 0 {
		return
	}
	if s.tailsAttributable(w, serving, filling) {
		s.pressure.Observe(serving, filling)
	}
	for i, pace := range s.pressure.Plan(serving, filling) {
		r := fillingRuns[i]
		// Until its effect is measured, a pace changes again only to relieve a serving task that is over its objective.
		if measured := s.deps.Now()-r.pacedAt >= measurementWindow; pace != r.pace && (measured || pace < r.pace && w.objectiveMissed) {
			s.setPace(w, r, pace)
		}
		s.moveIfSlow(w, r)
	}
}

// Thresholds for ignoring the measurements of a slow worker.
const (
	// negligibleFillingShare is a use of the worker by filling tasks that is too low to disturb serving tasks.
	negligibleFillingShare = 0.02
	// slowWorkerTailFactor is the tail latency, as a multiple of the objective, that serving tasks alone do not reach.
	slowWorkerTailFactor = 1.5
	// slowWorkerIgnorePeriod is how long a worker's measurements are ignored after such a tail latency.
	slowWorkerIgnorePeriod = 4 * time.Second
)

// tailsAttributable reports whether the tail latencies on a worker can be attributed to filling tasks. On a slow worker
// they are high without any. The caller holds mu.
func (s *Shard) tailsAttributable(w *worker, serving []pressure.Serving, filling []pressure.Filling) bool {
	now, share := s.deps.Now(), 0.0
	for i := range filling {
		share += filling[i].Share
	}
	if share > negligibleFillingShare {
		w.fillingSeenAt = now
	}
	for i := range serving {
		if serving[i].TailMs > slowWorkerTailFactor*serving[i].TargetMs && now-w.fillingSeenAt > measurementWindow {
			w.measurementsIgnoredUntil = now + slowWorkerIgnorePeriod
		}
	}
	return now >= w.measurementsIgnoredUntil
}

// measurementWindow is the time over which workers average their measurements.
const measurementWindow = 600 * time.Millisecond

// setPace sends the pace of a run to its worker. The caller holds mu.
func (s *Shard) setPace(w *worker, r *run, pace int) {
	previous := r.pace
	r.pace, r.pacedAt, r.progressAt = pace, s.deps.Now(), s.deps.Now()
	s.deps.Counters.Paces.Inc()
	s.log.Debug().Str("job", r.id.Job).Str("task", r.name).Str("worker", w.info.ID).Int("pace", pace).
		Int("previous", previous).Msg("pace set")
	s.callWorker(w, func() {
		info, fence := s.entryOf(w)
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		if err := s.deps.Workers.Pace(ctx, info, r.name, r.number, pace, fence); err != nil {
			s.log.Info().Err(err).Str("job", r.id.Job).Str("task", r.name).Str("worker", info.ID).Msg("setting the pace failed")
			s.mu.Lock()
			defer s.mu.Unlock()
			if r.pace == pace {
				r.pace = previous // the next report sets it again
			}
		}
	})
}

// Limits of moving filling tasks.
const (
	// slowPacePercent is the pace below which a filling task may move to another worker.
	slowPacePercent = 30
	// slowMoveDelay is how long a task must be slow before it moves. A load swing of serving tasks passes in seconds,
	// but a move costs a restore and less than a second of work.
	slowMoveDelay = 1200 * time.Millisecond
	// maxUnsavedMovePercent is the progress up to which a task without checkpoints may move.
	maxUnsavedMovePercent = 10
)

// moveIfSlow stops a filling task whose pace stays low if the serving tasks of another worker tolerate it. One task at a
// time leaves for a worker: there may be room for no more, and those that found none would be halted elsewhere and move
// again. The caller holds mu.
func (s *Shard) moveIfSlow(w *worker, r *run) {
	now := s.deps.Now()
	if r.pace >= slowPacePercent || r.pace == unknownPace {
		r.slowSince = 0
		return
	}
	if r.slowSince == 0 {
		r.slowSince = now
	}
	e := s.jobs[r.id.Job]
	if now-r.slowSince < slowMoveDelay || e == nil || r.stage != running || r.step.Gang ||
		!r.step.Checkpointing && r.percent > maxUnsavedMovePercent {
		return
	}
	request := s.placementRequest(e, r.id)
	r.slowSince = now // a search costs as much as placing a task, and no report changes its result much
	if target := s.fleet.Place(&request); target != nil && target.ID != w.info.ID && !s.expectsMove(target.ID) {
		s.moveTargets[target.ID] = r
		s.log.Info().Str("job", r.id.Job).Str("task", r.name).Str("worker", w.info.ID).Str("better", target.ID).
			Int("pace", r.pace).Int("percent", r.percent).Msg("filling task moves")
		s.stopRun(w, r)
	}
}

// expectsMove reports whether a filling task that leaves its worker for this one has not been bound again. The caller holds
// mu.
func (s *Shard) expectsMove(id string) bool {
	r := s.moveTargets[id]
	if r == nil {
		return false
	}
	if s.runs[r.name] == r {
		return true // it is being stopped
	}
	if e := s.jobs[r.id.Job]; e != nil && e.job.Outcome == jobs.Unfinished {
		if t := e.job.Task(r.id); t != nil && t.Phase == jobs.Waiting && t.Run == r.number {
			return true // it waits for the next plan
		}
	}
	delete(s.moveTargets, id)
	return false
}
