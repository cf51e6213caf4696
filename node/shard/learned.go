package shard

import (
	"context"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/core/pressure"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ctxtime"
	"waxwingslip.example/node/ledger"
)

const (
	// learnedKey is the key in ProgressTopic of what was learned about images. No job's id is as short.
	learnedKey = "learned"
	// LearnedTopic holds, in partition 0, what the owner of each shard learned, by the number of the shard.
	LearnedTopic = "keyed.learned"
	// shareInterval is the time between exchanges with the owners of other shards.
	shareInterval = 5 * time.Second
	// shareTimeout limits one append of an exchange.
	shareTimeout = 2 * time.Second
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

var learnedPartition = keyedlog.Partition{Topic: LearnedTopic}

// shareLoop exchanges what was learned about images with the owners of the other shards until the context ends.
func (s *Shard) shareLoop() {
	others := map[string]pressure.Learned{}
	follower := ledger.NewFollower(s.deps.Store, learnedPartition, func(records []keyedlog.Record, reset bool) {
		s.applyShared(others, records, reset)
	})
	logResult := ledger.LogDependency(s.log, "topic of learned images")
	for ctxtime.Sleep(s.ctx, shareInterval) {
		if s.deps.Shards() < 2 {
			continue
		}
		s.share()
		logResult(follower.Poll(s.ctx, 0))
	}
}

// applyShared applies records of other shards and passes all of them to the model.
func (s *Shard) applyShared(others map[string]pressure.Learned, records []keyedlog.Record, reset bool) {
	if reset {
		clear(others)
	}
	for _, r := range records {
		var learned pressure.Learned
		if r.Key == strconv.Itoa(s.number) {
			continue
		}
		if err := cbor.Unmarshal(r.Value, &learned); err != nil {
			s.log.Warn().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("what another shard learned cannot be decoded")
			continue
		}
		others[r.Key] = learned
	}
	list := make([]pressure.Learned, 0, len(others))
	for _, learned := range others {
		list = append(list, learned)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pressure.SetOthers(list)
}

// share stores what was learned for the owners of the other shards. A failed append is made up for by the next one.
func (s *Shard) share() {
	s.mu.Lock()
	learned := s.pressure.Learned()
	s.mu.Unlock()
	if len(learned.Images) == 0 || !s.auth.MayStart() {
		return
	}
	value, err := cbor.Marshal(learned)
	if err != nil {
		s.log.Error().Err(err).Msg("what was learned about images cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, shareTimeout)
	defer cancel()
	_, err = s.deps.Store.Append(ctx, keyedlog.Append{Partition: learnedPartition,
		Records: []keyedlog.Record{{Key: strconv.Itoa(s.number), Value: value}}})
	switch {
	case errors.Is(err, keyedlog.ErrRejected):
		s.deps.Counters.RecordsRejected.Inc()
		s.log.Error().Err(err).Int("bytes", len(value)).Msg("the store never takes what was learned about images, it is not shared")
	case err != nil:
		s.log.Debug().Err(err).Msg("what was learned about images is not shared")
	}
}
