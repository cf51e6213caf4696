package shard

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ctxtime"
)

// A job moves to another shard if only workers there may run its tasks and they cannot move, or if nothing of it runs and
// the other shard has room and nothing that waits. Its home shard stores the move as the job's outcome, under its epoch,
// before it adds the job with its progress to the commands of the other shard; so at most one shard runs the job. The home
// shard stays the one that is asked for the job's state and that reads its cancellation, and passes both on.

const (
	// arrivedPrefix and a job's id make the key in JobsTopic of the progress with which the job was moved to the shard.
	arrivedPrefix = "p/"
	// jobMoveAfter is how long a task cannot be placed before its job may move.
	jobMoveAfter = 2 * time.Second
	// lateEndTime is how long a task cannot be placed before its job may move although one of its runs ended without a
	// report. A report that comes later would not reach the other shard, and the task could run again after it was done.
	lateEndTime = time.Minute
	// movedCheckInterval is the time between checks whether jobs that moved away are still known.
	movedCheckInterval = 30 * time.Second
	// movedCheckTimeout limits the query for the state of one job.
	movedCheckTimeout = time.Second
)

// mayMove reports whether a job with tasks that could not be placed for a time may move to another shard: nothing of it
// may run, and this is its home shard. The caller holds mu.
func (s *Shard) mayMove(e *jobEntry, waited time.Duration) bool {
	return e.setAside == "" && e.job.Outcome == jobs.Unfinished && !e.cancelRequested && !e.job.AnyBound() &&
		(waited >= lateEndTime || !e.job.AwaitsLateEnd()) && s.deps.HomeShard(e.job.Spec.ID) == s.number
}

// moveJob gives up a job, whose tasks could not be placed for a time, for another shard.
func (s *Shard) moveJob(id string, waited time.Duration, to int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.jobs[id]
	if e == nil || !s.mayMove(e, waited) {
		return
	}
	progress, parts, err := e.job.EncodeStored()
	if err != nil || !e.job.Move(to, s.deps.WallTime().UnixMilli()) {
		s.log.Error().Err(err).Str("job", id).Msg("job cannot move")
		return
	}
	e.job.MovedProgress, e.movingParts = progress, parts
	s.log.Info().Str("job", id).Int("to", to).Msg("job moves to another shard")
	s.deps.Counters.JobsMoved.Inc()
	s.markDirty(e)
	s.whenStored(func() { s.runInBackground("announce job", func() { s.announceJob(e) }) })
}

// announceJob adds a job, whose move is stored, to the commands of the other shard, and its cancellation if there is one.
// If the shard is lost before, the next owner does both.
func (s *Shard) announceJob(e *jobEntry) {
	spec, err := cbor.Marshal(e.job.Spec)
	if err != nil {
		s.log.Error().Err(err).Str("job", e.job.Spec.ID).Msg("moved job cannot be encoded")
		return
	}
	id := e.job.Spec.ID
	// The progress is read with the job, or before it.
	var records []keyedlog.Record
	for _, p := range e.movingParts {
		records = append(records, keyedlog.Record{Key: arrivedPrefix + id + "/" + p.Name, Value: p.Value})
	}
	for len(records) > 0 {
		n := chunkLen(records)
		if _, ok := s.appendUntilStored(e.job.MovedTo, records[:n]...); !ok {
			return
		}
		records = records[n:]
	}
	progress := keyedlog.Record{Key: arrivedPrefix + id, Value: e.job.MovedProgress}
	offset, ok := s.appendUntilStored(e.job.MovedTo, progress, AcceptRecord(id, spec))
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e.job.MoveAnnounced, e.job.MovedProgress, e.job.MoveOffset = true, nil, offset+1 // of the second record
	e.movingParts = nil
	s.markDirty(e)
	s.passOnCancel(e)
}

// passOnCancel passes the cancellation of a job that moved away on to its shard. The caller holds mu.
func (s *Shard) passOnCancel(e *jobEntry) {
	if !e.cancelRequested || e.cancelPassedOn || !e.job.MoveAnnounced {
		return
	}
	e.cancelPassedOn = true
	to, r := e.job.MovedTo, CancelRecord(e.job.Spec.ID)
	s.runInBackground("pass on cancellation", func() { s.appendUntilStored(to, r) })
}

// announceJobs continues the moves of previous owners. The caller holds mu.
func (s *Shard) announceJobs() {
	for _, e := range s.jobs {
		switch {
		case e.job.Outcome != jobs.Moved || e.setAside != "":
		case e.job.MoveAnnounced:
			s.passOnCancel(e)
		default:
			s.runInBackground("announce job", func() { s.announceJob(e) })
		}
	}
}

// applyArrived applies the progress of a job that was moved to this shard. The caller holds mu.
func (s *Shard) applyArrived(r keyedlog.Record) error {
	key := r.Key[len(arrivedPrefix):]
	if id, name, isPart := cutLast(key); isPart {
		s.arrived.of(id).parts[name] = r.Value
		return nil
	}
	p, err := jobs.DecodeProgress(r.Value)
	if err != nil {
		return errors.WithMessage(err, "moved job")
	}
	s.arrived.of(key).hasHead, s.arrived.of(key).head = true, p
	return nil
}

// restoreArrived gives a job of another home shard the progress with which it was moved here. The caller holds mu.
func (s *Shard) restoreArrived(e *jobEntry) error {
	arrived := s.arrived[e.job.Spec.ID]
	if arrived == nil || !arrived.hasHead {
		// Without it, tasks that are done would run again.
		return errors.New("the progress with which the job was moved is missing")
	}
	p, err := arrived.complete(e.job.Spec)
	if err != nil {
		return errors.WithMessage(err, "progress with which the job was moved")
	}
	e.job.Progress = *p
	e.storedState = e.job.State()
	for name := range arrived.parts {
		arrived.parts[name] = nil // only the names are needed, to delete the records
	}
	return nil
}

// movedState returns the state of a job that moved away, by the owner of its shard.
func (s *Shard) movedState(ctx context.Context, id string, to int) (jobs.State, error) {
	state, err := s.deps.JobState(ctx, to, id)
	return state, errors.WithMessagef(err, "job %s moved to shard %d", id, to)
}

// movedTo returns the shard to which a job moved away, if that shard can know of it.
func (s *Shard) movedTo(id string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.jobs[id]
	if e == nil || e.job.Outcome != jobs.Moved || !e.job.MoveAnnounced {
		return 0, false
	}
	return e.job.MovedTo, true
}

// movedLoop removes jobs that moved away once their shard does not know them any more.
func (s *Shard) movedLoop() {
	for ctxtime.Sleep(s.ctx, movedCheckInterval) {
		for id, to := range s.agedMovedJobs() {
			ctx, cancel := context.WithTimeout(s.ctx, movedCheckTimeout)
			state, err := s.movedState(ctx, id, to)
			cancel()
			if err == nil && state == jobs.StateUnknown {
				s.locked("remove moved job", func() { s.removeJob(id) })
			}
		}
	}
}

// agedMovedJobs returns the shards of the jobs that moved away longer than the retention ago, by job.
func (s *Shard) agedMovedJobs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	aged := map[string]int{}
	limit := s.deps.WallTime().Add(-s.deps.Limits.EndedRetention).UnixMilli()
	for id, e := range s.jobs {
		if e.job.Outcome == jobs.Moved && e.job.MoveAnnounced && e.job.EndedMs <= limit {
			aged[id] = e.job.MovedTo
		}
	}
	return aged
}
