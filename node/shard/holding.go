package shard

import (
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ctxtime"
	"waxwingslip.example/node/ledger"
)

// Each worker is held by one shard, which alone uses it: its home shard, until that one moves it to another. A move has
// a version, which rises with each move of the worker.
//
// The owner that gives a worker up stores that in its own progress topic, under its epoch, so that no other owner of its
// shard uses the worker any more. Only then does it announce the worker in the jobs topic of the other shard, and repeats
// that until it is stored. A worker therefore has at most one holder at any time, and none only for a short time.

const (
	// movedPrefix and a worker's id make the key in ProgressTopic of the newest move of a worker to another shard.
	movedPrefix = "m/"
	// takenPrefix, a worker's id and the version make the key in JobsTopic of a worker that was moved to the shard.
	takenPrefix = "w/"
)

// holding is how a shard holds a worker.
type holding struct {
	// Version is 0 for a worker that was never moved.
	Version int64 `cbor:"1,keyasint"`
	// FenceBase is added to the epoch of the holder's owner to get the fence number. It is not less than any fence
	// number that earlier holders have used.
	FenceBase int64 `cbor:"2,keyasint"`
	// Incarnation is the one that the holder before used; 0 if it is not known.
	Incarnation int64 `cbor:"3,keyasint,omitempty"`
}

// move is the newest move of a worker from this shard to another.
type move struct {
	holding // as it was before the move
	// To is the number of the other shard, and NextFenceBase its fence base.
	To            int   `cbor:"3,keyasint"`
	NextFenceBase int64 `cbor:"4,keyasint"`
	// UsedIncarnation is the worker's incarnation at the move.
	UsedIncarnation int64 `cbor:"6,keyasint,omitempty"`
	// Announced is set once the other shard's owners can read of the move.
	Announced bool `cbor:"5,keyasint,omitempty"`
}

// heldWorker returns how the shard holds a worker. The caller holds mu.
func (s *Shard) heldWorker(id string) (holding, bool) {
	h, taken := s.taken[id]
	if !taken && s.deps.HomeShard(id) != s.number {
		return holding{}, false
	}
	m, moved := s.moved[id]
	return h, !moved || h.Version > m.Version
}

// applyTaken applies a record of a worker that was moved to this shard. The caller holds mu.
func (s *Shard) applyTaken(r keyedlog.Record) error {
	id, version, ok := cutLast(r.Key[len(takenPrefix):])
	var h holding
	if err := cbor.Unmarshal(r.Value, &h); err != nil {
		return errors.Wrap(err, "decode moved worker")
	}
	if !ok || h.Version < 1 || h.FenceBase < 0 || version != strconv.FormatInt(h.Version, 10) {
		return errors.Errorf("record of moved worker has version %d and fence base %d", h.Version, h.FenceBase)
	}
	if h.Version <= s.taken[id].Version {
		return nil
	}
	s.taken[id] = h
	if !s.loaded {
		return nil // the registry is read later
	}
	if _, held := s.heldWorker(id); held && s.workers[id] == nil {
		s.log.Info().Str("worker", id).Int64("version", h.Version).Msg("worker was moved to this shard")
		if info, registered := s.entries[id]; registered {
			s.addWorker(info)
		}
	}
	return nil
}

// cutLast cuts a key around its last slash.
func cutLast(key string) (before, after string, ok bool) {
	i := strings.LastIndexByte(key, '/')
	if i < 0 {
		return key, "", false
	}
	return key[:i], key[i+1:], true
}

func takenKey(id string, version int64) string {
	return takenPrefix + id + "/" + strconv.FormatInt(version, 10)
}

// moveWorker gives up an idle worker for another shard. The caller holds mu.
func (s *Shard) moveWorker(w *worker, to int) {
	id := w.info.ID
	before, _ := s.heldWorker(id)
	m := move{holding: before, To: to, NextFenceBase: w.fence, UsedIncarnation: w.incarnation}
	s.log.Info().Str("worker", id).Int("to", to).Int64("version", m.Version+1).Msg("worker moves to another shard")
	s.deps.Counters.WorkersLent.Inc()
	w.cancel()
	delete(s.workers, id)
	s.fleet.Remove(id)
	s.storeMove(id, m)
	s.whenStored(func() { s.runInBackground("announce move", func() { s.announceMove(id, m) }) })
}

// storeMove makes the next commit store a move. The caller holds mu.
func (s *Shard) storeMove(id string, m move) {
	s.moved[id] = m
	s.unstoredMoves[id] = struct{}{}
	signal(s.commitSignal)
}

// announceMove tells the owners of the other shard of a move that is stored, and deletes the record by which this shard
// held the worker. It repeats both until they succeed; if the shard is lost before, the next owner does.
func (s *Shard) announceMove(id string, m move) {
	value, err := cbor.Marshal(holding{Version: m.Version + 1, FenceBase: m.NextFenceBase, Incarnation: m.UsedIncarnation})
	if err != nil {
		s.log.Error().Err(err).Str("worker", id).Msg("moved worker cannot be encoded")
		return
	}
	if _, ok := s.appendUntilStored(m.To, keyedlog.Record{Key: takenKey(id, m.Version+1), Value: value}); !ok {
		return
	}
	if m.Version > 0 {
		if _, ok := s.appendUntilStored(s.number, keyedlog.Record{Key: takenKey(id, m.Version)}); !ok {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.moved[id] == m {
		m.Announced = true
		s.storeMove(id, m)
	}
}

// appendUntilStored appends records to the jobs topic of a shard and repeats that until they are stored or this shard is
// lost. It returns the offset of the first record, and whether they are stored.
func (s *Shard) appendUntilStored(number int, records ...keyedlog.Record) (int64, bool) {
	var backoff ledger.Backoff
	for s.ctx.Err() == nil {
		if !s.auth.MayStart() {
			// The shard may have been lost long ago, and what is announced may have ended since.
			ctxtime.Sleep(s.ctx, renewalPause)
			continue
		}
		offset, err := s.deps.Store.Append(s.ctx, keyedlog.Append{
			Partition: keyedlog.Partition{Topic: JobsTopic, Number: number}, Records: records})
		if err == nil {
			return offset, true
		}
		if errors.Is(err, keyedlog.ErrRejected) {
			s.deps.Counters.RecordsRejected.Inc()
			s.log.Error().Err(err).Str("key", records[0].Key).Int("of_shard", number).Msg("the store never takes a record, it is left out")
			return 0, false
		}
		s.log.Warn().Err(err).Str("key", records[0].Key).Int("of_shard", number).Msg("storing a move failed, retrying")
		backoff.Sleep(s.ctx)
	}
	return 0, false
}

// announceMoves announces the moves of previous owners that may not be announced. The caller holds mu.
func (s *Shard) announceMoves() {
	for id, m := range s.moved {
		if !m.Announced {
			s.runInBackground("announce move", func() { s.announceMove(id, m) })
		}
	}
}

// decodeMove decodes the record of a worker that was moved to another shard.
func (s *Shard) decodeMove(r keyedlog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Key[len(movedPrefix):]
	var m move
	if err := cbor.Unmarshal(r.Value, &m); err != nil {
		// Without the move, two shards might use the worker. Fence numbers keep this one from it.
		s.log.Error().Err(err).Str("worker", id).Int64("offset", r.Offset).Msg("move of a worker cannot be decoded")
		return
	}
	s.moved[id] = m
}

// moveRecords returns records of the moves that are not stored yet. The caller holds mu.
func (s *Shard) moveRecords() []keyedlog.Record {
	var records []keyedlog.Record
	for id := range s.unstoredMoves {
		value, err := cbor.Marshal(s.moved[id])
		if err != nil {
			s.log.Error().Err(err).Str("worker", id).Msg("move of a worker cannot be encoded")
			continue
		}
		records = append(records, keyedlog.Record{Key: movedPrefix + id, Value: value})
	}
	clear(s.unstoredMoves)
	return records
}
