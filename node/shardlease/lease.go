// Package shardlease decides which daemon owns a shard. The owner renews a record in the store. Another daemon
// that sees no renewal for longer than the lease claims the shard by a conditional append, which takes effect only if
// nothing was appended since. The owner's epoch derives from the offset of its claim, so that no two owners share one.
package shardlease

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ctxtime"
	"waxwingslip.example/node/ledger"
)

// Topic holds one partition for each shard.
const Topic = "keyed.owner"

const ownerKey = "owner"

// Timing of ownership.
const (
	// RenewInterval is the time between renewals; three may be lost within one LeaseDuration.
	RenewInterval = 400 * time.Millisecond
	// LeaseDuration is how long after sending its last successful renewal an owner may start runs.
	LeaseDuration = 1800 * time.Millisecond
	// ClaimAfter is how long other daemons must have seen no renewal. It exceeds LeaseDuration by the drift of clocks.
	ClaimAfter = 2 * time.Second
	// WorkerLeaseGrace is how long after its last renewal an owner still renews workers' leases, so that running
	// tasks survive an outage of the store. A new owner waits for it before it considers tasks on unreachable
	// workers ended.
	WorkerLeaseGrace = 6 * time.Second
	// pollWait is how long a read of the owner's record waits for a change.
	pollWait = 700 * time.Millisecond
	// renewTimeout limits one attempt of a renewal.
	renewTimeout = 1200 * time.Millisecond
	// claimStagger is the delay between the claims of daemons of successive preference.
	claimStagger = 150 * time.Millisecond
)

// Owner is the record of a shard's owner.
type Owner struct {
	Name string `cbor:"1,keyasint"`
	// Address is where the owner accepts calls of other daemons.
	Address string `cbor:"2,keyasint"`
	Epoch   int64  `cbor:"3,keyasint"`
	// Released is set if the owner has given up the shard and starts no more runs.
	Released bool `cbor:"4,keyasint,omitempty"`
	// Lifetime distinguishes two processes with the same name.
	Lifetime int64 `cbor:"5,keyasint"`
}

// Options configures a Keeper.
type Options struct {
	Store keyedlog.Store
	Shard int
	Self  Owner
	Now   func() time.Duration
	Log   zerolog.Logger
	// Preference returns this daemon's rank, which delays its claims; 0 is the most preferred. It may take locks that are
	// held during calls of the keeper, so the keeper calls it without holding its own.
	Preference func() int
	// Lead is called in a goroutine while the shard is owned. Its context ends when the shard is lost.
	Lead func(ctx context.Context, held *Held)
}

// Keeper claims and renews the ownership of one shard for a daemon.
type Keeper struct {
	opts     Options
	follower *ledger.Follower

	mu        sync.Mutex
	owner     *Owner
	endOffset int64         // offset after the newest record read
	seenAt    time.Duration // when the newest record was read, or the store became readable again
	readable  bool
	draining  bool
}

// Held is the ownership of a shard under one epoch.
type Held struct {
	Epoch int64
	// PreviousHeld is until when the previous owner may have renewed workers' leases; zero if there was none.
	PreviousHeld time.Duration

	now func() time.Duration
	// endOffset is the offset after the owner's newest record. Only the owner appends while it owns the shard, so a
	// renewal takes effect only if no other daemon has claimed the shard.
	endOffset int64

	mu        sync.Mutex
	renewedAt time.Duration // when the last successful renewal was sent
}

// MayStart reports whether runs may be started: no other daemon can own the shard now.
func (h *Held) MayStart() bool { return h.now()-h.lastRenewal() < LeaseDuration }

// MayRenew reports whether workers' leases may still be renewed.
func (h *Held) MayRenew() bool { return h.now()-h.lastRenewal() < WorkerLeaseGrace }

func (h *Held) lastRenewal() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.renewedAt
}

func (h *Held) setRenewed(sentAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewedAt = max(h.renewedAt, sentAt)
}

// New returns a keeper; Run starts it.
func New(opts Options) *Keeper {
	k := &Keeper{opts: opts}
	k.follower = ledger.NewFollower(opts.Store, k.partition(), k.apply)
	return k
}

func (k *Keeper) partition() keyedlog.Partition {
	return keyedlog.Partition{Topic: Topic, Number: k.opts.Shard}
}

func (k *Keeper) apply(records []keyedlog.Record, _ bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range records {
		if r.Offset < k.endOffset {
			continue
		}
		k.endOffset, k.seenAt = r.Offset+1, k.opts.Now()
		if r.Key != ownerKey {
			continue
		}
		var o Owner
		if err := cbor.Unmarshal(r.Value, &o); err != nil {
			k.opts.Log.Error().Err(err).Int("shard", k.opts.Shard).Msg("owner record cannot be decoded")
			continue
		}
		if k.owner == nil || k.owner.Epoch != o.Epoch || k.owner.Released != o.Released {
			k.opts.Log.Info().Int("shard", k.opts.Shard).Str("owner", o.Name).Int64("epoch", o.Epoch).
				Bool("released", o.Released).Int64("offset", r.Offset).Msg("owner of shard changed")
		}
		k.owner = &o
	}
}

// Owner returns the newest known owner, or nil.
func (k *Keeper) Owner() *Owner {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owner
}

// Drain stops this daemon from claiming the shard, and gives the shard up if it is owned.
func (k *Keeper) Drain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.draining = true
}

func (k *Keeper) isDraining() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.draining
}

// Run follows the owner's record and claims the shard when it has no owner, until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := k.follower.Poll(ctx, pollWait)
		preference := k.opts.Preference()
		k.mu.Lock()
		if err != nil {
			k.readable = false
		} else if !k.readable {
			// Owners get the full time to renew again after an outage of the store.
			k.readable, k.seenAt = true, k.opts.Now()
		}
		claim := err == nil && k.mayClaim(preference)
		previousSeenAt := k.seenAt
		k.mu.Unlock()
		if err != nil {
			ctxtime.Sleep(ctx, RenewInterval/2)
			continue
		}
		if claim {
			if held := k.claim(ctx, previousSeenAt); held != nil {
				k.lead(ctx, held)
			}
		}
	}
}

// mayClaim decides whether the shard has no owner. The caller holds mu.
func (k *Keeper) mayClaim(preference int) bool {
	if k.draining {
		return false
	}
	wait := time.Duration(preference) * claimStagger
	if k.owner != nil && !k.hasEnded(k.owner) {
		wait += ClaimAfter
	}
	return k.opts.Now()-k.seenAt >= wait
}

// hasEnded reports whether an owner starts no more runs: it released the shard, or it was an earlier process at this
// daemon's address, which must have ended because this one listens there.
func (k *Keeper) hasEnded(o *Owner) bool {
	self := &k.opts.Self
	return o.Released || o.Name == self.Name && o.Address == self.Address && o.Lifetime != self.Lifetime
}

// claim appends this daemon's record if nothing was appended since the newest record read. It returns nil on failure.
func (k *Keeper) claim(ctx context.Context, previousSeenAt time.Duration) *Held {
	k.mu.Lock()
	at, owner := k.endOffset, k.owner
	k.mu.Unlock()
	self := k.opts.Self
	self.Epoch = at + 1
	value, err := cbor.Marshal(self)
	if err != nil {
		k.opts.Log.Error().Err(err).Msg("owner record cannot be encoded")
		return nil
	}
	held := &Held{Epoch: self.Epoch, now: k.opts.Now}
	switch {
	case owner == nil:
	case k.hasEnded(owner):
		held.PreviousHeld = previousSeenAt // it made its last call to a worker before that
	default:
		held.PreviousHeld = previousSeenAt + WorkerLeaseGrace
	}
	attemptCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := k.opts.Now()
	_, err = k.opts.Store.Append(attemptCtx, keyedlog.Append{
		Partition: k.partition(), At: &at, Records: []keyedlog.Record{{Key: ownerKey, Value: value}},
	})
	if err != nil && !k.claimTookEffect(ctx, self.Epoch) {
		k.opts.Log.Info().Err(err).Int("shard", k.opts.Shard).Int64("at", at).Msg("claim of shard failed")
		return nil
	}
	held.setRenewed(sentAt)
	held.endOffset = at + 1
	return held
}

// claimTookEffect reports whether the newest record was appended by this daemon under an epoch. A claim without a
// response may have taken effect.
func (k *Keeper) claimTookEffect(ctx context.Context, epoch int64) bool {
	if err := k.follower.Poll(ctx, 0); err != nil {
		return false
	}
	o := k.Owner()
	return o != nil && o.Epoch == epoch && o.Lifetime == k.opts.Self.Lifetime
}

// lead calls Lead and renews the ownership until it is lost or Lead returns.
func (k *Keeper) lead(ctx context.Context, held *Held) {
	log := k.opts.Log.With().Int("shard", k.opts.Shard).Int64("epoch", held.Epoch).Logger()
	log.Info().Dur("previous_held_ago", k.opts.Now()-held.PreviousHeld).Msg("shard claimed")
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.opts.Lead(ctx, held)
	}()
	// Keeps the result of Owner current meanwhile.
	go k.followWhileLeading(ctx)
	reason := k.renewUntilLost(ctx, held, done)
	cancel()
	<-done
	log.Info().Str("reason", reason).Msg("shard given up")
	if reason == reasonDraining || reason == reasonStopped {
		k.release(held)
	}
	k.mu.Lock()
	k.seenAt = k.opts.Now() // the new owner's record has not been read yet
	k.mu.Unlock()
}

func (k *Keeper) followWhileLeading(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.follower.Poll(ctx, pollWait); err != nil {
			ctxtime.Sleep(ctx, RenewInterval)
		}
	}
}

// Reasons for which an owner gives up a shard by itself.
const (
	reasonDraining = "draining"
	reasonStopped  = "its work stopped"
)

// renewUntilLost renews the ownership and returns why it ended.
func (k *Keeper) renewUntilLost(ctx context.Context, held *Held, stopped <-chan struct{}) string {
	value, err := k.encodeOwner(held, false)
	if err != nil {
		return err.Error()
	}
	for {
		ctxtime.Sleep(ctx, RenewInterval)
		select {
		case <-stopped:
			return reasonStopped
		default:
		}
		if ctx.Err() != nil {
			return "daemon ends"
		}
		if k.isDraining() {
			return reasonDraining
		}
		if o := k.Owner(); o != nil && o.Epoch > held.Epoch {
			return "shard is owned by " + o.Name
		}
		if err := k.renew(ctx, held, value); err != nil {
			return err.Error()
		}
	}
}

// renew appends one renewal. It fails only if the shard is lost, not if the attempt has no response.
func (k *Keeper) renew(ctx context.Context, held *Held, value []byte) error {
	attemptCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := k.opts.Now()
	offset, err := k.opts.Store.Append(attemptCtx, keyedlog.Append{Partition: k.partition(), At: &held.endOffset,
		Records: []keyedlog.Record{{Key: ownerKey, Value: value}}})
	switch {
	case err == nil:
		held.endOffset = offset + 1
		held.setRenewed(sentAt)
	case errors.Is(err, keyedlog.ErrMoved):
		if err := k.follower.Poll(ctx, 0); err != nil {
			return nil // the store is unreachable again
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.owner == nil || k.owner.Epoch != held.Epoch || k.owner.Lifetime != k.opts.Self.Lifetime {
			return errors.New("another daemon claimed the shard")
		}
		held.endOffset = k.endOffset // an earlier attempt took effect
	}
	return nil
}

func (k *Keeper) encodeOwner(held *Held, released bool) ([]byte, error) {
	self := k.opts.Self
	self.Epoch, self.Released = held.Epoch, released
	return cbor.Marshal(self)
}

// release records that the shard has no owner. If that fails, the other daemons claim it after ClaimAfter.
func (k *Keeper) release(held *Held) {
	value, err := k.encodeOwner(held, true)
	if err != nil {
		k.opts.Log.Error().Err(err).Msg("owner record cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	if _, err := k.opts.Store.Append(ctx, keyedlog.Append{Partition: k.partition(), At: &held.endOffset,
		Records: []keyedlog.Record{{Key: ownerKey, Value: value}}}); err != nil {
		k.opts.Log.Warn().Err(err).Int("shard", k.opts.Shard).Msg("release of shard failed")
	}
}
