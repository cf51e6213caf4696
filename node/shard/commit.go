package shard

import (
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ctxtime"
)

// maxAppendBytes limits what is sent again after an append is cut off.
const maxAppendBytes = 256 << 10

// markDirty marks a job's progress to be stored. The caller holds mu.
func (s *Shard) markDirty(e *jobEntry) {
	s.dirty[e.job.Spec.ID] = struct{}{}
	signal(s.commitSignal)
}

// whenStored calls f, with mu held, once everything that is dirty now has been stored. The caller holds mu.
func (s *Shard) whenStored(f func()) {
	s.onStored = append(s.onStored, f)
	signal(s.commitSignal)
}

// commitLoop stores changes in batches: those made during an append share the next one.
func (s *Shard) commitLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.commitSignal:
		}
		if !s.commit() {
			s.cancel()
			return
		}
	}
}

// commit stores the progress of all dirty jobs and reports false if the shard is lost.
func (s *Shard) commit() bool {
	b := s.takeUnstored()
	appends := progressAppend{s: s, rejected: map[string]struct{}{}}
	for records := b.records; len(records) > 0; {
		n := chunkLen(records)
		startedAt := s.deps.Now()
		if err := appends.append(records[:n]); err != nil {
			s.log.Warn().Err(err).Int("records", len(records)).Msg("storing progress failed, giving up the shard")
			return false
		}
		s.deps.Counters.Commit.Record(s.deps.Now() - startedAt)
		records = records[n:]
	}
	s.locked("publish stored states", func() { s.handleStored(b) })
	return true
}

// deletedJob is a job whose records have yet to be deleted.
type deletedJob struct {
	id string
	// progressKeys are the keys of its progress in ProgressTopic, and arrivedKeys those in JobsTopic of the parts of the
	// progress with which it was moved here.
	progressKeys, arrivedKeys []string
}

// unstored is what the next commit stores, with what is to be done once it is stored.
type unstored struct {
	records   []keyedlog.Record
	states    map[string]jobs.State
	callbacks []func()
	// deleted are jobs whose command records are deleted after the commit.
	deleted []deletedJob
}

// takeUnstored returns everything that is not stored yet and marks it as taken.
func (s *Shard) takeUnstored() unstored {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := unstored{callbacks: s.onStored, deleted: s.deletedJobs}
	b.records, b.states = s.encodeDirty()
	b.records = append(b.records, s.learnedRecord()...)
	b.records = append(b.records, s.moveRecords()...)
	b.records = append(b.records, s.settledRecords()...)
	for _, key := range s.progressTombstones {
		b.records = append(b.records, keyedlog.Record{Key: key})
	}
	s.progressTombstones, s.onStored, s.deletedJobs = nil, nil, nil
	return b
}

// handleStored publishes states that have been stored and continues what waited for that. The caller holds mu.
func (s *Shard) handleStored(b unstored) {
	for id, state := range b.states {
		if e := s.jobs[id]; e != nil {
			s.publishState(e, state)
		}
	}
	for _, f := range b.callbacks {
		f()
	}
	if len(b.deleted) > 0 {
		s.runInBackground("delete records", func() { s.deleteRecords(b.deleted) })
	}
	if len(s.dirty) > 0 || len(s.onStored) > 0 || len(s.unstoredMoves) > 0 || len(s.unstoredSettled) > 0 {
		signal(s.commitSignal)
	}
}

// chunkLen returns how many of the records fit into one append.
func chunkLen(records []keyedlog.Record) int {
	bytes := 0
	for i := range records {
		if bytes += len(records[i].Key) + len(records[i].Value); bytes > maxAppendBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// encodeDirty returns records of the dirty jobs and their states, and marks them clean. The caller holds mu.
func (s *Shard) encodeDirty() ([]keyedlog.Record, map[string]jobs.State) {
	var records []keyedlog.Record
	states := map[string]jobs.State{}
	bytes := 0
	for id := range s.dirty {
		e := s.jobs[id]
		if e == nil {
			delete(s.dirty, id)
			continue
		}
		stored, err := s.progressRecords(e)
		if err != nil {
			// Progress holds only numbers and strings, so this is a programming error.
			s.log.Error().Err(err).Str("job", id).Msg("progress of job cannot be encoded")
			continue
		}
		delete(s.dirty, id)
		records = append(records, stored...)
		states[id] = e.job.State()
		for i := range stored {
			bytes += len(stored[i].Value)
		}
	}
	s.deps.Counters.StoredBytes.Add(int64(bytes))
	return records, states
}

// publishState makes a stored state visible to callers. The caller holds mu.
func (s *Shard) publishState(e *jobEntry, state jobs.State) {
	if e.storedState == state || e.hidden {
		return
	}
	e.storedState = state
	spec := e.job.Spec
	s.log.Info().Str("job", spec.ID).Str("queue", spec.Queue).Stringer("state", state).
		Int64("age_ms", s.deps.WallTime().UnixMilli()-spec.AcceptedMs).
		Int64("late_ms", s.deps.WallTime().UnixMilli()-e.dueMs).Msg("job state")
}

// deleteRetryDelay is the time after which records that could not be deleted are tried again.
const deleteRetryDelay = 2 * time.Second

// deleteRecords deletes the records of jobs past their retention. If that fails, a later commit, or the next owner,
// deletes them.
func (s *Shard) deleteRecords(deleted []deletedJob) {
	for len(deleted) > 0 {
		n := min(len(deleted), maxJobsDeletedAtOnce)
		s.deleteRecordsAtOnce(deleted[:n])
		deleted = deleted[n:]
	}
}

// maxJobsDeletedAtOnce keeps an append that deletes the records of jobs below the limit of the store for one call, also if each
// has 4,000 tasks with long checkpoints. Many jobs may be due after an outage.
const maxJobsDeletedAtOnce = 8

// deleteRecordsAtOnce deletes the records of some jobs together: the next owner must not find some of a job without the others.
func (s *Shard) deleteRecordsAtOnce(deleted []deletedJob) {
	var commands []keyedlog.Record
	for _, d := range deleted {
		commands = append(commands, keyedlog.Record{Key: acceptedPrefix + d.id}, keyedlog.Record{Key: cancelledPrefix + d.id},
			keyedlog.Record{Key: arrivedPrefix + d.id})
		for _, key := range d.arrivedKeys {
			commands = append(commands, keyedlog.Record{Key: key})
		}
	}
	_, err := s.deps.Store.Append(s.ctx, keyedlog.Append{
		Partition: keyedlog.Partition{Topic: JobsTopic, Number: s.number}, Records: commands})
	if errors.Is(err, keyedlog.ErrRejected) {
		if n := len(deleted); n > 1 {
			s.deleteRecordsAtOnce(deleted[:n/2])
			s.deleteRecordsAtOnce(deleted[n/2:])
			return
		}
		s.deps.Counters.RecordsRejected.Inc()
		s.log.Error().Err(err).Str("job", deleted[0].id).Int("records", len(commands)).
			Msg("the store never takes the deletion of an ended job, its records are left")
		return
	}
	if err != nil {
		s.log.Warn().Err(err).Int("jobs", len(deleted)).Msg("deleting records of ended jobs failed, retrying")
		ctxtime.Sleep(s.ctx, deleteRetryDelay)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.deletedJobs = append(s.deletedJobs, deleted...)
		signal(s.commitSignal)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range deleted {
		s.progressTombstones = append(s.progressTombstones, d.progressKeys...)
	}
	signal(s.commitSignal)
}

// AcceptRecord returns the record of an accepted job; value is the encoded spec.
func AcceptRecord(id string, value []byte) keyedlog.Record {
	return keyedlog.Record{Key: acceptedPrefix + id, Value: value}
}

// CancelRecord returns the record of a cancelled job.
func CancelRecord(id string) keyedlog.Record {
	return keyedlog.Record{Key: cancelledPrefix + id, Value: []byte{1}}
}
