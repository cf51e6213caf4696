package shard

import (
	"github.com/fxamacker/cbor/v2"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/keyedlog"
)

// maxAppendBytes keeps one append well below what the store takes in one call.
const maxAppendBytes = 1 << 20

// touch marks a job's progress to be stored. The caller holds mu.
func (s *Shard) touch(e *entry) {
	s.dirty[e.job.Spec.ID] = struct{}{}
	signal(s.commitSignal)
}

// whenStored calls f, with mu held, after everything that is marked now has been stored. The caller holds mu.
func (s *Shard) whenStored(f func()) {
	s.stored = append(s.stored, f)
	signal(s.commitSignal)
}

// commitLoop stores changes. Those that arise during an append share the next one.
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

// commit stores all marked progress and reports false when the shard is lost.
func (s *Shard) commit() bool {
	s.mu.Lock()
	records, shown := s.takeDirty()
	records = append(records, s.learnedRecord()...)
	for _, id := range s.tombstones {
		records = append(records, keyedlog.Record{Key: id})
	}
	s.tombstones = nil
	after := s.stored
	s.stored = nil
	dropped := s.dropped
	s.dropped = nil
	s.mu.Unlock()
	for len(records) > 0 {
		n := chunk(records)
		begun := s.env.Now()
		if err := s.writer.Append(s.ctx, records[:n]); err != nil {
			s.log.Warn().Err(err).Int("records", len(records)).Msg("storing progress failed, the shard is given up")
			return false
		}
		s.env.Counters.Commit.Record(s.env.Now() - begun)
		records = records[n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, state := range shown {
		if e := s.jobs[id]; e != nil {
			s.show(e, state)
		}
	}
	for _, f := range after {
		f()
	}
	if len(dropped) > 0 {
		s.orders.Go(func() { s.dropRecords(dropped) })
	}
	if len(s.dirty) > 0 || len(s.stored) > 0 {
		signal(s.commitSignal)
	}
	return true
}

// chunk returns how many of the records fit into one append.
func chunk(records []keyedlog.Record) int {
	bytes := 0
	for i := range records {
		if bytes += len(records[i].Value); bytes > maxAppendBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// takeDirty encodes the marked jobs. The caller holds mu.
func (s *Shard) takeDirty() ([]keyedlog.Record, map[string]jobs.State) {
	var records []keyedlog.Record
	shown := map[string]jobs.State{}
	bytes := 0
	for id := range s.dirty {
		e := s.jobs[id]
		if e == nil {
			delete(s.dirty, id)
			continue
		}
		value, err := cbor.Marshal(&e.job.Progress)
		if err != nil {
			// Progress holds only numbers and strings, so this is a fault of the program.
			s.log.Error().Err(err).Str("job", id).Msg("progress cannot be encoded")
			continue
		}
		delete(s.dirty, id)
		records = append(records, keyedlog.Record{Key: id, Value: value})
		shown[id] = e.job.State()
		bytes += len(value)
	}
	s.env.Counters.StoredBytes.Add(int64(bytes))
	return records, shown
}

// show makes a stored state visible to callers. The caller holds mu.
func (s *Shard) show(e *entry, state jobs.State) {
	if e.shown == state {
		return
	}
	e.shown = state
	spec := e.job.Spec
	s.log.Info().Str("job", spec.ID).Str("queue", spec.Queue).Stringer("state", state).
		Int64("age_ms", s.env.Wall().UnixMilli()-spec.AcceptedMs).
		Int64("late_ms", s.env.Wall().UnixMilli()-e.dueMs).Msg("job state")
}

// dropRecords removes the records of jobs that nobody asks for any more. What fails is found and dropped again by
// the next owner.
func (s *Shard) dropRecords(ids []string) {
	var commands []keyedlog.Record
	for _, id := range ids {
		commands = append(commands, keyedlog.Record{Key: acceptedPrefix + id}, keyedlog.Record{Key: cancelledPrefix + id})
	}
	_, err := s.env.Store.Append(s.ctx, keyedlog.Append{
		Partition: keyedlog.Partition{Topic: JobsTopic, Number: s.number}, Records: commands})
	if err != nil {
		s.log.Warn().Err(err).Int("jobs", len(ids)).Msg("dropping records of ended jobs failed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tombstones = append(s.tombstones, ids...)
	signal(s.commitSignal)
}

// AcceptRecord is the record of an accepted job.
func AcceptRecord(id string, value []byte) keyedlog.Record {
	return keyedlog.Record{Key: acceptedPrefix + id, Value: value}
}

// CancelRecord is the record of a cancelled job.
func CancelRecord(id string) keyedlog.Record {
	return keyedlog.Record{Key: cancelledPrefix + id, Value: []byte{1}}
}
