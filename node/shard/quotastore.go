package shard

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/core/quota"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ctxtime"
	"waxwingslip.example/node/ledger"
)

// QuotaTopic holds the shares of the limits of client accounts, in partition 0, with the keys that quotaKey returns. Only a
// shard's owner appends its shares, under its epoch.
const QuotaTopic = "keyed.quota"

const (
	// quotaInterval is the shortest time between two rounds of the exchange with the store, each with at most one read and one
	// append: 5 appends a second.
	quotaInterval = 200 * time.Millisecond
	// quotaIdleInterval is that time while nothing of accounts with limits runs or waits here.
	quotaIdleInterval = time.Second
	// quotaCallTimeout limits one call. Appends without a response are repeated.
	quotaCallTimeout = time.Second
)

var quotaPartition = keyedlog.Partition{Topic: QuotaTopic}

// quotaExchange stores the shares of one shard and reads those of all. One goroutine uses it.
type quotaExchange struct {
	s        *Shard
	follower *ledger.Follower
	writer   keyedlog.Writer
	// fenced is set once no earlier owner can append, and loaded once all records were read after that.
	fenced, loaded bool
	pending        *quotaAppend
	// backoff is an additional wait after an append whose condition did not hold. It is random, so that owners whose rounds
	// coincide do not get in each other's way again.
	backoff time.Duration
	onPoll  func(error)
	// ownOffsets holds the offset of the newest record that was read of each account of this shard since the pending append
	// was prepared, by the accounts' ids.
	ownOffsets map[string]int64
	// maxRecords limits an append; 0 is no limit. It falls while records that the store never takes are searched for.
	maxRecords int
	// rejected holds the ids of the accounts whose shares the store never takes.
	rejected map[string]struct{}
}

// quotaAppend is an append of which it is not known whether it takes effect. It is repeated unchanged until that is known: a
// late one cannot take effect after a newer one then.
type quotaAppend struct {
	keyedlog.Append
	entries map[string]quota.Entry // by the accounts' ids
	// mismatched is set once the store has answered that the partition ends elsewhere. An earlier attempt may have led to that.
	mismatched bool
}

func newQuotaExchange(s *Shard) *quotaExchange {
	x := &quotaExchange{s: s, writer: keyedlog.Writer{Name: "owner-" + strconv.Itoa(s.number), Epoch: s.epoch, Sequence: 1},
		ownOffsets: map[string]int64{}, rejected: map[string]struct{}{}, onPoll: ledger.LogDependency(s.log, "quota topic")}
	x.follower = ledger.NewFollower(s.deps.Store, quotaPartition, x.apply)
	return x
}

// quotaLoop exchanges shares with the store while limits are in force.
func (s *Shard) quotaLoop() {
	x := newQuotaExchange(s)
	for ctxtime.Sleep(s.ctx, quotaInterval+x.backoff) {
		idle := false
		s.locked("apply limits", func() {
			s.applyLimits()
			idle = !s.quotas.inForce || x.pending == nil && s.quotas.synced && s.quotasIdle()
		})
		if idle {
			s.waitForQuotaSignal(quotaIdleInterval - quotaInterval)
		}
		s.mu.Lock()
		inForce := s.quotas.inForce
		s.mu.Unlock()
		if inForce && s.auth.MayStart() {
			if err := x.round(); err != nil {
				s.log.Warn().Err(err).Msg("storing shares failed, giving up the shard")
				s.cancel()
			}
		}
	}
}

// quotasIdle reports whether nothing of accounts with limits runs, waits or is held here. The caller holds mu.
func (s *Shard) quotasIdle() bool {
	for _, a := range s.quotas.accounts {
		if a.Limited() && (!a.Used().IsZero() || !a.Share().IsZero() || a.waiting > 0) {
			return false
		}
	}
	return true
}

// waitForQuotaSignal waits until tasks wait for a limit, or for a time.
func (s *Shard) waitForQuotaSignal(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
	case <-s.quotaSignal:
	case <-t.C:
	}
}

// round reads what is new, and stores the shares that this shard should hold by that. It fails if the shard is lost.
func (x *quotaExchange) round() error {
	ctx, cancel := context.WithTimeout(x.s.ctx, quotaCallTimeout)
	defer cancel()
	if !x.fenced {
		if err := x.fence(ctx); err != nil || !x.fenced {
			return err
		}
	}
	err := x.follower.Poll(ctx, 0)
	if x.s.ctx.Err() != nil {
		return nil
	}
	x.onPoll(err)
	if err != nil {
		return nil
	}
	x.s.locked("read shares", x.afterPoll)
	if x.pending == nil {
		x.s.locked("decide on shares", x.decide)
	}
	if x.pending == nil || x.pending.mismatched {
		return nil
	}
	return x.send()
}

// fence keeps appends of earlier owners of the shard from taking effect.
func (x *quotaExchange) fence(ctx context.Context) error {
	_, err := x.s.deps.Store.Append(ctx, keyedlog.Append{Partition: quotaPartition, Writer: &x.writer})
	if errors.Is(err, keyedlog.ErrFenced) {
		return err
	}
	x.fenced = err == nil
	if err != nil && x.s.ctx.Err() == nil {
		x.onPoll(err)
	}
	return nil
}

// afterPoll uses what was read. The caller holds the shard's mu.
func (x *quotaExchange) afterPoll() {
	x.loaded = true
	if p := x.pending; p != nil && p.mismatched && x.follower.Next() > *p.At {
		if x.ownRecordAt(*p.At) {
			x.finish()
		} else {
			x.abandon()
		}
	}
	q := &x.s.quotas
	if q.synced {
		return
	}
	q.synced = true
	for _, a := range q.accounts {
		a.SetSynced(true)
	}
	signal(x.s.planSignal)
}

// ownRecordAt reports whether this shard's owner stored the record at an offset.
func (x *quotaExchange) ownRecordAt(offset int64) bool {
	for _, o := range x.ownOffsets {
		if o == offset {
			return true
		}
	}
	return false
}

// decide prepares the append of the shares that the shard should hold. Lowered shares are lower in memory from now on. The
// caller holds the shard's mu.
func (x *quotaExchange) decide() {
	p := &quotaAppend{entries: map[string]quota.Entry{}}
	conditional, bytes := false, 0
	for id, a := range x.s.quotas.accounts {
		if _, rejected := x.rejected[id]; rejected {
			continue
		}
		e, changed, raises := a.Next()
		if !changed {
			continue
		}
		r := keyedlog.Record{Key: a.key(x.s.number)}
		if e != (quota.Entry{}) {
			value, err := cbor.Marshal(e)
			if err != nil {
				x.s.log.Error().Err(err).Str("account", a.name).Msg("share cannot be encoded")
				continue
			}
			r.Value = value
		}
		if bytes += len(r.Key) + len(r.Value); len(p.Records) > 0 && (bytes > maxAppendBytes || len(p.Records) == x.maxRecords) {
			break // the next round stores the others
		}
		a.Begin(e)
		p.entries[id] = e
		p.Records = append(p.Records, r)
		conditional = conditional || raises
	}
	if len(p.Records) == 0 {
		return
	}
	w := x.writer
	p.Partition, p.Writer = quotaPartition, &w
	if conditional {
		end := x.follower.Next()
		p.At = &end
	}
	clear(x.ownOffsets)
	x.pending = p
}

// send makes one attempt at the pending append.
func (x *quotaExchange) send() error {
	ctx, cancel := context.WithTimeout(x.s.ctx, quotaCallTimeout)
	defer cancel()
	x.s.deps.Counters.QuotaAppends.Inc()
	_, err := x.s.deps.Store.Append(ctx, x.pending.Append)
	switch {
	case err == nil:
		x.backoff = 0
		x.s.locked("use shares", x.finish)
	case errors.Is(err, keyedlog.ErrOffsetMismatch):
		x.backoff = rand.N(quotaInterval)
		x.pending.mismatched = true // the next read shows whether an earlier attempt took effect
	case errors.Is(err, keyedlog.ErrFenced), errors.Is(err, keyedlog.ErrSequence):
		return err
	case errors.Is(err, keyedlog.ErrRejected):
		x.s.locked("leave out shares", func() { x.handleRejected(err) })
	}
	return nil
}

// handleRejected gives up an append of which the store never takes a record. The next ones have half as many records, until the
// account of the record is alone and left out. The caller holds the shard's mu.
func (x *quotaExchange) handleRejected(cause error) {
	if n := len(x.pending.Records); n > 1 {
		x.maxRecords = n / 2
	} else {
		r := &x.pending.Records[0]
		x.s.deps.Counters.RecordsRejected.Inc()
		x.s.log.Error().Err(cause).Str("key", r.Key).Int("bytes", len(r.Value)).
			Msg("the store never takes a share of an account's limit, it is left out")
		for id := range x.pending.entries {
			x.rejected[id] = struct{}{}
		}
	}
	x.abandon()
}

// abandon forgets the pending append, which had no effect. The caller holds the shard's mu.
func (x *quotaExchange) abandon() {
	for id := range x.pending.entries {
		if a := x.s.quotas.accounts[id]; a != nil {
			a.Abandon()
		}
	}
	x.pending = nil
}

// finish uses the shares of the pending append, which took effect. The caller holds the shard's mu.
func (x *quotaExchange) finish() {
	for id, e := range x.pending.entries {
		a := x.s.quotaOfID(id)
		if before := a.Stored().Share; before != e.Share {
			x.s.log.Debug().Str("account", a.name).Stringer("before", before).Stringer("share", e.Share).
				Msg("share of the account's limit changed")
		}
		a.SetOwn(e)
	}
	x.writer.Sequence++
	x.pending = nil
	x.maxRecords = min(2*x.maxRecords, math.MaxInt32)
	signal(x.s.planSignal)
}

// apply takes records that were read. Those of this shard count only until it has read all: later ones are its own.
func (x *quotaExchange) apply(records []keyedlog.Record, reset bool) {
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if reset {
		for _, a := range s.quotas.accounts {
			a.Reset()
		}
	}
	for _, r := range records {
		id, name, shard, err := parseQuotaKey(r.Key)
		var e quota.Entry
		if err == nil && r.Value != nil {
			err = errors.Wrap(cbor.Unmarshal(r.Value, &e), "decode share")
		}
		if err == nil && !e.Valid() {
			err = errors.Errorf("share %v or lack %v is out of range", e.Share, e.Lack)
		}
		if err != nil {
			// What was read of that shard before goes on to count.
			s.log.Error().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("share of an account's limit cannot be used")
			continue
		}
		a := s.quotaOfID(id)
		a.learnName(name)
		switch {
		case shard != s.number:
			a.Observe(shard, e)
		case !x.loaded:
			a.SetOwn(e)
		default:
			x.ownOffsets[id] = r.Offset
		}
	}
}
