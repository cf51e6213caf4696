package shard

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"waxwingslip.example/core/pressure"
	"waxwingslip.example/external/keyedlog"
)

const (
	// learnedKey is the key in ProgressTopic of what was learned about images. No job's id is as short.
	learnedKey = "learned"
	// learnedInterval is the time between these records of about 2 KB. The next owner has to learn newer changes again.
	learnedInterval = 3 * time.Second
)

// learnedRecord returns a record of what was learned about images if one is due. The caller holds mu.
func (s *Shard) learnedRecord() []keyedlog.Record {
	now := s.deps.Now()
	if !s.loaded || now-s.learnedStoredAt < learnedInterval {
		return nil
	}
	s.learnedStoredAt = now
	learned := s.pressure.Learned()
	if len(learned.Images) == 0 {
		return nil
	}
	value, err := cbor.Marshal(learned)
	if err != nil {
		// It holds only numbers and strings, so this is a programming error.
		s.log.Error().Err(err).Msg("what was learned about images cannot be encoded")
		return nil
	}
	return []keyedlog.Record{{Key: learnedKey, Value: value}}
}

// restoreLearned restores what a previous owner learned about images.
func (s *Shard) restoreLearned(r keyedlog.Record) {
	var learned pressure.Learned
	if err := cbor.Unmarshal(r.Value, &learned); err != nil {
		s.log.Error().Err(err).Int64("offset", r.Offset).
			Msg("what was learned about images cannot be decoded, learning it again")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pressure.Restore(learned)
	s.log.Info().Int("images", len(learned.Images)).Int64("offset", r.Offset).
		Msg("what was learned about images is taken over")
}
