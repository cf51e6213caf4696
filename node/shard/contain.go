package shard

import (
	"github.com/pkg/errors"

	"waxwingslip.example/node/boundary"
)

// contain calls f and returns the error of a panic in it. Such an error is logged with its stack and counted.
func (s *Shard) contain(step string, f func()) error {
	err := boundary.Run(f)
	var p *boundary.PanicError
	if errors.As(err, &p) {
		s.deps.Counters.Panics.Inc()
		s.log.Error().Err(err).Str("step", step).Str("stack", p.Stack).Msg("unexpected error contained")
	}
	return errors.WithMessage(err, step)
}

// locked calls f with mu held. After a panic the state of the shard is in doubt, so the shard is given up; the next
// owner loads it from the store.
func (s *Shard) locked(step string, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.contain(step, f) != nil {
		s.cancel()
	}
}

// runInBackground runs f in a goroutine that Run waits for. A panic gives up the shard.
func (s *Shard) runInBackground(step string, f func()) {
	s.background.Go(func() {
		if s.contain(step, f) != nil {
			s.cancel()
		}
	})
}

// forJob calls f, which changes only the state of one job and its runs, and sets the job aside if f panics. The caller
// holds mu.
func (s *Shard) forJob(step string, e *jobEntry, f func()) {
	if e.setAside != "" {
		return
	}
	if err := s.contain(step, f); err != nil {
		s.setAside(e, err)
	}
}

// setAside stops all work on a job whose records cannot be used or lead to an unexpected error, so that the other jobs
// of the shard go on. The job keeps the state that callers saw last. It can be cancelled. The caller holds mu.
func (s *Shard) setAside(e *jobEntry, cause error) {
	e.setAside = cause.Error()
	e.mayHaveReady = false
	s.deps.Counters.SetAside.Inc()
	s.log.Error().Err(cause).Str("job", e.job.Spec.ID).Msg("job set aside")
}
