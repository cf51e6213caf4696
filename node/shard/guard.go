package shard

import (
	"context"
	"time"

	"waxwingslip.example/core/pressure"
)

// guard paces filling tasks so that the serving tasks beside them keep to their objectives. The caller holds mu.
func (s *Shard) guard(w *worker) {
	var serving []pressure.Serving
	var filling []pressure.Filling
	var fillers []*run
	size := float64(max(1, w.info.Size.MilliCPU))
	for _, r := range s.runsOn[w.info.ID] {
		if r.stage != running {
			continue
		}
		switch {
		case r.step.TailTargetMs > 0:
			t := pressure.Serving{Image: r.step.Image, TargetMs: float64(r.step.TailTargetMs), TailMs: float64(r.figure)}
			if r.overSince > 0 {
				t.Over = s.env.Now() - r.overSince
			}
			serving = append(serving, t)
		case r.step.Fills:
			filling = append(filling, pressure.Filling{Image: r.step.Image, Share: float64(r.figure) / size,
				FullShare: float64(r.step.Size.MilliCPU) / size, Pace: max(r.pace, 0)})
			fillers = append(fillers, r)
		}
	}
	w.strained = false
	for i := range serving {
		w.strained = w.strained || serving[i].TailMs > serving[i].TargetMs
	}
	if len(serving) == 0 && len(fillers) == 0 {
		return
	}
	if s.credible(w, serving, filling) {
		s.pressure.Observe(serving, filling)
	}
	for i, pace := range s.pressure.Plan(serving, filling) {
		r := fillers[i]
		if pace != r.pace {
			s.setPace(w, r, pace)
		}
		s.considerMove(w, r)
	}
}

// Bounds of judging whether a worker's figures tell something about its tasks.
const (
	// idleShare is the use of a worker by filling tasks that disturbs nobody.
	idleShare = 0.02
	// slowWorkerTail is the tail, as a multiple of the objective, that serving tasks do not have by themselves.
	slowWorkerTail = 1.5
	// slowWorkerSpan is how long the figures of a worker are left out after it showed such a tail.
	slowWorkerSpan = 4 * time.Second
)

// credible reports whether the tails on a worker can be put down to filling tasks. On a slow worker they are high
// without any. The caller holds mu.
func (s *Shard) credible(w *worker, serving []pressure.Serving, filling []pressure.Filling) bool {
	now, share := s.env.Now(), 0.0
	for i := range filling {
		share += filling[i].Share
	}
	if share > idleShare {
		w.filledAt = now
	}
	for i := range serving {
		if serving[i].TailMs > slowWorkerTail*serving[i].TargetMs && now-w.filledAt > figureSpan {
			w.ignoredUntil = now + slowWorkerSpan
		}
	}
	return now >= w.ignoredUntil
}

// figureSpan is the time over which workers average their figures.
const figureSpan = 600 * time.Millisecond

// setPace tells a worker the pace of a run. The caller holds mu.
func (s *Shard) setPace(w *worker, r *run, pace int) {
	previous := r.pace
	r.pace, r.progressAt = pace, s.env.Now()
	info := w.info
	s.env.Counters.Paces.Inc()
	s.log.Debug().Str("job", r.id.Job).Str("task", r.name).Str("worker", info.ID).Int("pace", pace).Int("previous", previous).Msg("pace set")
	s.order(w, func() {
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
		defer cancel()
		if err := s.env.Workers.Pace(ctx, info, r.name, r.number, pace, s.epoch); err != nil {
			s.log.Info().Err(err).Str("job", r.id.Job).Str("task", r.name).Str("worker", info.ID).Msg("pace not set")
			s.mu.Lock()
			defer s.mu.Unlock()
			if r.pace == pace {
				r.pace = previous // the next report decides anew
			}
		}
	})
}

// Bounds of moving filling tasks.
const (
	// slowPace is the pace below which a filling task looks for another worker.
	slowPace = 30
	// moveAfter is how long it stays slow before it moves. A swing of the load of serving tasks passes in seconds, but
	// a move costs a restore and less than a second of work.
	moveAfter = 1200 * time.Millisecond
	// unsavedMovePercent is the progress up to which a task without checkpoints moves.
	unsavedMovePercent = 10
)

// considerMove stops a filling task that is held up here if the serving tasks of another worker tolerate it. The caller holds mu.
func (s *Shard) considerMove(w *worker, r *run) {
	now := s.env.Now()
	if r.pace >= slowPace || r.pace == unknownPace {
		r.slowSince = 0
		return
	}
	if r.slowSince == 0 {
		r.slowSince = now
	}
	e := s.jobs[r.id.Job]
	if now-r.slowSince < moveAfter || e == nil || r.stage != running || r.step.Gang ||
		!r.step.Checkpointing && r.percent > unsavedMovePercent {
		return
	}
	request := s.request(e, r.id)
	if better := s.fleet.Place(&request); better != nil && better.ID != w.info.ID {
		s.log.Info().Str("job", r.id.Job).Str("task", r.name).Str("worker", w.info.ID).Str("better", better.ID).
			Int("pace", r.pace).Int("percent", r.percent).Msg("filling task moves")
		s.stopRun(w, r)
	}
}
