// Package shardlease decides which daemon owns a shard. The owner renews a record in the store; another daemon
// that sees no renewal for longer than the lease claims the shard by an append that takes effect only if nothing
// was added since. The offset of the claim is the owner's epoch, so that no two owners have the same one.
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
	// RenewInterval is the time between renewals; three may be lost within one Lease.
	RenewInterval = 400 * time.Millisecond
	// Lease is how long after sending its last successful renewal an owner gives orders.
	Lease = 1800 * time.Millisecond
	// ClaimAfter is how long other daemons must have seen no renewal. It exceeds Lease by the drift of clocks.
	ClaimAfter = 2 * time.Second
	// HoldOn is how long after its last renewal an owner still renews the leases of running tasks, so that
	// they survive an outage of the store. A new owner waits for it before it takes tasks on workers that it
	// cannot reach for ended.
	HoldOn = 6 * time.Second
	// readWait is how long a read of the owner's record waits for a change.
	readWait = 700 * time.Millisecond
	// renewTimeout limits one attempt of a renewal.
	renewTimeout = 1200 * time.Millisecond
	// claimSpread separates the claims of daemons of different preference.
	claimSpread = 150 * time.Millisecond
)

// Owner is the record of a shard's owner.
type Owner struct {
	Name string `cbor:"1,keyasint"`
	// Address is where the owner takes calls of other daemons.
	Address string `cbor:"2,keyasint"`
	Epoch   int64  `cbor:"3,keyasint"`
	// Released tells that the owner has given the shard up and gives no more orders.
	Released bool `cbor:"4,keyasint,omitempty"`
	// Lifetime tells two processes with the same name apart.
	Lifetime int64 `cbor:"5,keyasint"`
}

// Options configure a Lease.
type Options struct {
	Store keyedlog.Store
	Shard int
	Self  Owner
	Now   func() time.Duration
	Log   zerolog.Logger
	// Preference delays this daemon's claims; 0 is the most preferred. It may take locks under which the keeper is called,
	// so the keeper calls it without its own.
	Preference func() int
	// Lead is called in a goroutine while the shard is owned. Its context ends when the shard is lost.
	Lead func(ctx context.Context, held *Held)
}

// Keeper takes part in the ownership of one shard.
type Keeper struct {
	opts     Options
	follower *ledger.Follower

	mu       sync.Mutex
	owner    *Owner
	end      int64         // offset after the newest record seen
	seen     time.Duration // when the newest record was read, or the store became readable again
	readable bool
	draining bool
}

// Held is the ownership of a shard under one epoch.
type Held struct {
	Epoch int64
	// PreviousHeld is until when the previous owner may have renewed leases of workers; zero if there was none.
	PreviousHeld time.Duration

	now func() time.Duration
	// end is the offset after the owner's newest record. Nobody else appends while the shard is owned, so a renewal
	// takes effect only if no other daemon has claimed the shard.
	end int64

	mu      sync.Mutex
	renewed time.Duration // when the last successful renewal was sent
}

// MayOrder reports whether no other daemon can own the shard now.
func (h *Held) MayOrder() bool { return h.now()-h.lastRenewal() < Lease }

// MayHold reports whether the leases of running tasks may still be renewed.
func (h *Held) MayHold() bool { return h.now()-h.lastRenewal() < HoldOn }

func (h *Held) lastRenewal() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.renewed
}

func (h *Held) renew(sent time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewed = max(h.renewed, sent)
}

// New returns a keeper.
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
		if r.Offset < k.end {
			continue
		}
		k.end, k.seen = r.Offset+1, k.opts.Now()
		if r.Key != ownerKey {
			continue
		}
		var o Owner
		if err := cbor.Unmarshal(r.Value, &o); err != nil {
			k.opts.Log.Error().Err(err).Int("shard", k.opts.Shard).Msg("owner record cannot be read")
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

// Drain stops this daemon from claiming, and gives the shard up if it is owned.
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
		err := k.follower.Poll(ctx, readWait)
		preference := k.opts.Preference()
		k.mu.Lock()
		if err != nil {
			k.readable = false
		} else if !k.readable {
			// An owner needs time to renew after an outage of the store.
			k.readable, k.seen = true, k.opts.Now()
		}
		claim := err == nil && k.mayClaim(preference)
		previous := k.seen
		k.mu.Unlock()
		if err != nil {
			ctxtime.Sleep(ctx, RenewInterval/2)
			continue
		}
		if claim {
			if held := k.claim(ctx, previous); held != nil {
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
	wait := time.Duration(preference) * claimSpread
	if k.owner != nil && !k.hasEnded(k.owner) {
		wait += ClaimAfter
	}
	return k.opts.Now()-k.seen >= wait
}

// hasEnded reports whether an owner gives no more orders: it released the shard, or it was a former process at this
// daemon's address, which is gone since this one listens there.
func (k *Keeper) hasEnded(o *Owner) bool {
	self := &k.opts.Self
	return o.Released || o.Name == self.Name && o.Address == self.Address && o.Lifetime != self.Lifetime
}

// claim appends the record of this daemon if nothing was added since the newest record seen.
func (k *Keeper) claim(ctx context.Context, previous time.Duration) *Held {
	k.mu.Lock()
	at, owner := k.end, k.owner
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
		held.PreviousHeld = previous // it gave its last order before that
	default:
		held.PreviousHeld = previous + HoldOn
	}
	attempt, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := k.opts.Now()
	_, err = k.opts.Store.Append(attempt, keyedlog.Append{
		Partition: k.partition(), At: &at, Records: []keyedlog.Record{{Key: ownerKey, Value: value}},
	})
	if err != nil && !k.landed(ctx, self.Epoch) {
		k.opts.Log.Info().Err(err).Int("shard", k.opts.Shard).Int64("at", at).Msg("claim of shard failed")
		return nil
	}
	held.renew(sent)
	held.end = at + 1
	return held
}

// landed reports whether the newest record was appended by this daemon under an epoch. An append without an answer
// may have taken effect.
func (k *Keeper) landed(ctx context.Context, epoch int64) bool {
	if err := k.follower.Poll(ctx, 0); err != nil {
		return false
	}
	o := k.Owner()
	return o != nil && o.Epoch == epoch && o.Lifetime == k.opts.Self.Lifetime
}

// lead runs the shard's work while renewals succeed.
func (k *Keeper) lead(ctx context.Context, held *Held) {
	log := k.opts.Log.With().Int("shard", k.opts.Shard).Int64("epoch", held.Epoch).Logger()
	log.Info().Dur("previous_held_ago", k.opts.Now()-held.PreviousHeld).Msg("shard claimed")
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.opts.Lead(ctx, held)
	}()
	// The record is followed meanwhile so that Owner stays right.
	go k.followWhileLeading(ctx)
	reason := k.renewUntilLost(ctx, held, done)
	cancel()
	<-done
	log.Info().Str("reason", reason).Msg("shard given up")
	if reason == reasonDraining || reason == reasonStopped {
		k.release(held)
	}
	k.mu.Lock()
	k.seen = k.opts.Now() // the new owner's record is not read yet
	k.mu.Unlock()
}

func (k *Keeper) followWhileLeading(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.follower.Poll(ctx, readWait); err != nil {
			ctxtime.Sleep(ctx, RenewInterval)
		}
	}
}

// Reasons for which an owner gives a shard up by itself.
const (
	reasonDraining = "draining"
	reasonStopped  = "its work stopped"
)

// renewUntilLost renews the ownership and returns why it ended.
func (k *Keeper) renewUntilLost(ctx context.Context, held *Held, stopped <-chan struct{}) string {
	value, err := k.record(held, false)
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

// renew appends one renewal. It fails if the shard is lost; an attempt without an answer is no failure.
func (k *Keeper) renew(ctx context.Context, held *Held, value []byte) error {
	attempt, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := k.opts.Now()
	offset, err := k.opts.Store.Append(attempt, keyedlog.Append{Partition: k.partition(), At: &held.end,
		Records: []keyedlog.Record{{Key: ownerKey, Value: value}}})
	switch {
	case err == nil:
		held.end = offset + 1
		held.renew(sent)
	case errors.Is(err, keyedlog.ErrMoved):
		if err := k.follower.Poll(ctx, 0); err != nil {
			return nil // the store is out of reach again
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.owner == nil || k.owner.Epoch != held.Epoch || k.owner.Lifetime != k.opts.Self.Lifetime {
			return errors.New("another daemon claimed the shard")
		}
		held.end = k.end // an earlier attempt landed
	}
	return nil
}

func (k *Keeper) record(held *Held, released bool) ([]byte, error) {
	self := k.opts.Self
	self.Epoch, self.Released = held.Epoch, released
	return cbor.Marshal(self)
}

// release tells the other daemons that the shard has no owner. They find out by themselves if it fails.
func (k *Keeper) release(held *Held) {
	value, err := k.record(held, true)
	if err != nil {
		k.opts.Log.Error().Err(err).Msg("owner record cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	if _, err := k.opts.Store.Append(ctx, keyedlog.Append{Partition: k.partition(), At: &held.end,
		Records: []keyedlog.Record{{Key: ownerKey, Value: value}}}); err != nil {
		k.opts.Log.Warn().Err(err).Int("shard", k.opts.Shard).Msg("release of shard failed")
	}
}
