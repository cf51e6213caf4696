package shard

import (
	"context"

	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
)

// ErrStale means that another daemon may have owned the shard for so long that the known states are outdated.
var ErrStale = errors.New("the shard may have another owner")

// State returns the stored state of a job. If the job is unknown, it reads the newest commands first.
func (s *Shard) State(ctx context.Context, id string) (jobs.State, error) {
	if !s.auth.MayRenew() {
		return jobs.StateUnknown, ErrStale
	}
	if to, moved := s.movedTo(id); moved {
		return s.movedState(ctx, id, to)
	}
	if state := s.state(id); state != jobs.StateUnknown {
		return state, nil
	}
	if err := s.jobsFollower.Poll(ctx, 0); err != nil {
		return jobs.StateUnknown, err
	}
	return s.state(id), nil
}

func (s *Shard) state(id string) jobs.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.jobs[id]; e != nil {
		return e.storedState
	}
	return jobs.StateUnknown
}

// Waiting returns the number of accepted jobs of a queue of which no task has started, scheduled jobs excluded.
func (s *Shard) Waiting(queue string) (int, error) {
	if !s.auth.MayRenew() {
		return 0, ErrStale
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.jobs {
		if e.job.Spec.Queue == queue && e.job.Outcome == jobs.Unfinished && !e.job.Begun && e.job.Spec.Repeat == 0 {
			n++
		}
	}
	return n, nil
}

// Loaded reports whether all jobs have been read. It takes no lock, so that callers may hold locks of their own.
func (s *Shard) Loaded() bool { return s.isLoaded.Load() }
