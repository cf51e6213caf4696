package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/account"
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

// StateFor is State for a caller, to whom jobs outside its scope are unknown. A job that moved away is judged here.
func (s *Shard) StateFor(ctx context.Context, id string, scope account.Scope) (jobs.State, error) {
	state, err := s.State(ctx, id)
	if err != nil || !s.inScope(id, scope) {
		return jobs.StateUnknown, err
	}
	return state, nil
}

func (s *Shard) inScope(id string, scope account.Scope) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.jobs[id]
	return e != nil && scope.Contains(e.job.Spec.Account, e.job.Spec.Queue)
}

func (s *Shard) state(id string) jobs.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.jobs[id]; e != nil {
		return e.storedState
	}
	return jobs.StateUnknown
}

// Count is what the owner of a shard knows of the jobs of a queue that wait: accepted jobs of which no worker has confirmed
// a run, scheduled jobs excluded.
type Count struct {
	// Waiting is the number of such jobs in the shard.
	Waiting int `cbor:"1,keyasint"`
	// ReadTo is the offset up to which the owner has read the shard's commands.
	ReadTo int64 `cbor:"2,keyasint"`
	// Leaving lists such jobs that lately moved to other shards.
	Leaving []Leaving `cbor:"3,keyasint,omitempty"`
}

// Leaving is a job that moved to another shard.
type Leaving struct {
	_  struct{} `cbor:",toarray"`
	To int
	// Offset is where the job stands among the commands of the other shard; 0 until it does.
	Offset int64
}

// TotalWaiting returns the number of jobs that wait from the counts of all shards, by their numbers. A job that moves is
// counted once: by the owner of its former shard until that of the other has read it.
func TotalWaiting(counts []Count) int {
	total := 0
	for i := range counts {
		total += counts[i].Waiting
		for _, l := range counts[i].Leaving {
			if l.To >= 0 && l.To < len(counts) && (l.Offset == 0 || counts[l.To].ReadTo <= l.Offset) {
				total++
			}
		}
	}
	return total
}

// leavingTime is how long a job that moved is listed in counts. An owner that has not read a command by then answers no
// query either.
const leavingTime = time.Minute

// Waiting returns what this owner knows of the jobs of a queue that wait.
func (s *Shard) Waiting(queue string) (Count, error) {
	if !s.auth.MayRenew() {
		return Count{}, ErrStale
	}
	c := Count{ReadTo: s.jobsFollower.Next()} // before the lock: commands are applied under both
	s.mu.Lock()
	defer s.mu.Unlock()
	leftAfter := s.deps.WallTime().Add(-leavingTime).UnixMilli()
	for _, e := range s.jobs {
		// Jobs whose record cannot be used have no steps.
		if e.job.Spec.Queue != queue || len(e.job.Spec.Steps) == 0 || e.job.Begun || e.job.Spec.Repeat > 0 {
			continue
		}
		switch {
		case e.job.Outcome == jobs.Unfinished:
			c.Waiting++
		case e.job.Outcome == jobs.Moved && (!e.job.MoveAnnounced || e.job.MoveOffset > 0 && e.job.EndedMs > leftAfter):
			c.Leaving = append(c.Leaving, Leaving{To: e.job.MovedTo, Offset: e.job.MoveOffset})
		}
	}
	return c, nil
}

// Loaded reports whether all jobs have been read. It takes no lock, so that callers may hold locks of their own.
func (s *Shard) Loaded() bool { return s.isLoaded.Load() }
