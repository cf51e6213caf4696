package shard

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"waxwingslip.example/core/pressure"
	"waxwingslip.example/external/keyedlog"
)

const (
	// learnedKey is the key of what was learned about images in ProgressTopic. No job's id is as short.
	learnedKey = "learned"
	// learnedInterval is the time between its records, some 2 KB each. The next owner learns anew what is younger.
	learnedInterval = 3 * time.Second
)

// learnedRecord returns a record of what was learned, if it is time for one. The caller holds mu.
func (s *Shard) learnedRecord() []keyedlog.Record {
	now := s.env.Now()
	if !s.loaded || now-s.learnedAt < learnedInterval {
		return nil
	}
	s.learnedAt = now
	learned := s.pressure.Learned()
	if len(learned.Images) == 0 {
		return nil
	}
	value, err := cbor.Marshal(learned)
	if err != nil {
		// It holds only numbers and strings, so this is a fault of the program.
		s.log.Error().Err(err).Msg("what was learned about images cannot be encoded")
		return nil
	}
	return []keyedlog.Record{{Key: learnedKey, Value: value}}
}

// restoreLearned takes over what a previous owner learned.
func (s *Shard) restoreLearned(r keyedlog.Record) {
	var learned pressure.Learned
	if err := cbor.Unmarshal(r.Value, &learned); err != nil {
		s.log.Error().Err(err).Int64("offset", r.Offset).Msg("what was learned about images cannot be read, is learned anew")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pressure.Restore(learned)
	s.log.Info().Int("images", len(learned.Images)).Int64("offset", r.Offset).Msg("what was learned about images is taken over")
}
