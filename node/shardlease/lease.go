// Package shardlease decides which daemon owns a shard. The owner renews a record in the store. Another daemon
// that sees no renewal for longer than the lease claims the shard by a conditional append, which takes effect only if
// nothing was appended since. The owner's epoch derives from the offset of its claim, so that no two owners share one.
package shardlease

import (
	"context"
	"sync"
	"sync/atomic"
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
	// RenewInterval is the time between renewals; three can be lost within one LeaseDuration.
	RenewInterval = 400 * time.Millisecond
	// LeaseDuration is how long after sending its last successful renewal an owner may start runs.
	LeaseDuration = 1800 * time.Millisecond
	// ClaimAfter is how long other daemons must have seen no renewal. It exceeds LeaseDuration by the drift of clocks.
	ClaimAfter = 2 * time.Second
	// WorkerLeaseGrace is how long after its last renewal an owner still renews workers' leases, so that running
	// tasks survive an outage of the store. A new owner waits for it before it considers tasks on unreachable
	// workers ended.
	WorkerLeaseGrace = 6 * time.Second
	// maxEarlierRenewalsMs limits the time that an owner's record may give for earlier owners.
	maxEarlierRenewalsMs = int64(WorkerLeaseGrace / time.Millisecond)
	// maxLeasesMs limits the time that an owner's record may give for the leases of a worker; longer ones are ignored.
	maxLeasesMs = int64(time.Minute / time.Millisecond)
	// pollWait is how long a read of the owner's record waits for a change.
	pollWait = 700 * time.Millisecond
	// renewTimeout limits one attempt of a renewal.
	renewTimeout = 1200 * time.Millisecond
	// releaseTimeout limits one attempt of a release.
	releaseTimeout = 700 * time.Millisecond
	// successorHeadStart is how long other daemons leave a released shard to the successor that its owner named.
	successorHeadStart = time.Second
	// minClaimPoll is the shortest wait of a read for a change while a claim becomes due.
	minClaimPoll = 20 * time.Millisecond
	// claimStagger is the delay between the claims of daemons of successive preference.
	claimStagger = 150 * time.Millisecond
)

// Options configures a Manager.
type Options struct {
	Store *ledger.TimedStore
	Shard int
	Self  Owner
	Now   func() time.Duration
	Log   zerolog.Logger
	// Preference returns this daemon's rank, which delays its claims; 0 is the most preferred. It may take locks that are
	// held during calls of the manager, so the manager calls it without holding its own.
	Preference func() int
	// ClaimLock is held while a claim is decided; nil creates one. The managers of one daemon share it, so that Preference
	// sees the claims of the others.
	ClaimLock *sync.Mutex
	// FollowPause returns how long to leave the record of a live owner unread, zero for not at all. Each read of a daemon
	// that hardly ever claims costs a call to the store for each renewal. Nil returns zero.
	FollowPause func() time.Duration
	// HoldsCancels is the value of Owner.HoldsCancels in this daemon's records; nil returns false. It may take locks, like
	// Preference.
	HoldsCancels func() bool
	// Lead is called in a goroutine while the shard is owned. Its context ends when the shard is lost.
	Lead func(ctx context.Context, ownership *Ownership)
}

// Manager claims and renews the ownership of one shard for a daemon.
type Manager struct {
	opts     Options
	follower *ledger.Follower

	// refresh ends a pause of following.
	refresh chan struct{}

	// active is set while the shard is claimed or owned.
	active atomic.Bool

	mu        sync.Mutex
	owner     *Owner
	endOffset int64         // offset after the newest record read
	seenAt    time.Duration // when the newest record was read, or the store became readable again
	recordAt  time.Duration // when the newest record was read
	ownerAt   time.Duration // when the owner, or its release, was read first
	readable  bool
	draining  bool
	successor string // daemon that takes over the shard
	// preference is the newest result of Options.Preference.
	preference int
}

// New returns a manager; Run starts it.
func New(opts Options) *Manager {
	if opts.ClaimLock == nil {
		opts.ClaimLock = &sync.Mutex{}
	}
	m := &Manager{opts: opts, refresh: make(chan struct{}, 1)}
	m.follower = ledger.NewFollower(opts.Store, m.partition(), m.apply)
	return m
}

func (m *Manager) partition() keyedlog.Partition {
	return keyedlog.Partition{Topic: Topic, Number: m.opts.Shard}
}

func (m *Manager) apply(records []keyedlog.Record, _ bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		if r.Offset < m.endOffset {
			continue
		}
		now := m.opts.Now()
		m.endOffset, m.seenAt, m.recordAt = r.Offset+1, now, now
		if r.Key != ownerKey {
			continue
		}
		var o Owner
		if err := cbor.Unmarshal(r.Value, &o); err != nil {
			// Whoever appended it may own the shard, so it counts as an owner without name and address.
			m.opts.Log.Error().Err(err).Int("shard", m.opts.Shard).Msg("owner record cannot be decoded")
			o = Owner{Epoch: r.Offset + 1}
		}
		if m.owner == nil || m.owner.Epoch != o.Epoch || m.owner.Released != o.Released {
			m.ownerAt = m.seenAt
			m.opts.Log.Info().Int("shard", m.opts.Shard).Str("owner", o.Name).Int64("epoch", o.Epoch).
				Bool("released", o.Released).Int64("offset", r.Offset).Msg("owner of shard changed")
		}
		m.owner = &o
	}
}

// Owner returns the newest known owner, or nil.
func (m *Manager) Owner() *Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner
}

// OwnerSince returns the newest known owner, or nil, and since when it has been known.
func (m *Manager) OwnerSince() (*Owner, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner, m.ownerAt
}

// Active reports whether this daemon claims or owns the shard. It takes no lock.
func (m *Manager) Active() bool { return m.active.Load() }

// HandOver gives the shard up for another daemon to take over.
func (m *Manager) HandOver(successor string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.successor = successor
}

func (m *Manager) handOverTo() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.successor
}

// Drain stops this daemon from claiming the shard, and gives the shard up if it is owned.
func (m *Manager) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
}

func (m *Manager) isDraining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining
}

// Run follows the owner's record and claims the shard when it has no owner, until the context ends.
func (m *Manager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.follower.Poll(ctx, m.pollWait())
		if err != nil {
			m.setUnreadable()
			ctxtime.Sleep(ctx, RenewInterval/2)
			continue
		}
		if m.decideClaim() {
			if ownership := m.claim(ctx); ownership != nil {
				m.lead(ctx, ownership)
			}
			m.active.Store(false)
			continue
		}
		m.pauseFollowing(ctx)
	}
}

// Refresh makes the manager read the owner's record soon, after a call to the owner has failed.
func (m *Manager) Refresh() {
	select {
	case m.refresh <- struct{}{}:
	default:
	}
}

// pauseFollowing waits for FollowPause if the shard has a live owner, or until Refresh.
func (m *Manager) pauseFollowing(ctx context.Context) {
	if m.opts.FollowPause == nil {
		return
	}
	pause := m.opts.FollowPause()
	if o := m.Owner(); pause <= 0 || o == nil || m.hasEnded(o) {
		return
	}
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.refresh:
	case <-ctx.Done():
	}
}

func (m *Manager) setUnreadable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readable = false
}

// decideClaim decides, after a read of the owner's record, whether to claim the shard. It sets active if so.
func (m *Manager) decideClaim() bool {
	m.opts.ClaimLock.Lock()
	defer m.opts.ClaimLock.Unlock()
	preference := m.opts.Preference()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.readable {
		// Owners get the full time to renew again after an outage of the store.
		m.readable, m.seenAt = true, m.opts.Now()
	}
	m.preference = preference
	if m.draining || m.claimIn() > 0 {
		return false
	}
	m.active.Store(true)
	return true
}

// claimIn returns the time until the shard may be claimed if no record is read before. The caller holds mu.
func (m *Manager) claimIn() time.Duration {
	wait := time.Duration(m.preference) * claimStagger
	switch o := m.owner; {
	case o == nil:
	case !m.hasEnded(o):
		wait += ClaimAfter
	case o.Successor == m.opts.Self.Name:
		wait = 0
	case o.Successor != "":
		wait += successorHeadStart
	}
	return m.seenAt + wait - m.opts.Now()
}

// pollWait returns how long the next read waits for a change: no longer than until the shard may be claimed.
func (m *Manager) pollWait() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.readable || m.draining {
		return pollWait
	}
	return min(max(m.claimIn(), minClaimPoll), pollWait)
}

// claim appends this daemon's record if nothing was appended since the newest record read. It returns nil on failure.
//
// That it takes effect proves that no renewal was stored since that record, however long the store could not be read. The earlier
// owner sent its last successful renewal before the record was read, and its time to renew workers' leases counts from there.
func (m *Manager) claim(ctx context.Context) *Ownership {
	m.mu.Lock()
	at, owner, recordAt := m.endOffset, m.owner, m.recordAt
	m.successor = ""
	m.mu.Unlock()
	ownership := &Ownership{Epoch: at + 1, PreviousRenewalsUntil: m.renewalsUntil(owner, recordAt), now: m.opts.Now}
	ownership.LeasesUntil, ownership.OtherLeasesUntil = leasesUntil(owner, recordAt)
	value, err := m.encodeOwner(ownership, false)
	if err != nil {
		m.opts.Log.Error().Err(err).Msg("owner record cannot be encoded")
		return nil
	}
	attemptCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := m.opts.Now()
	_, err = m.opts.Store.Append(attemptCtx, keyedlog.Append{
		Partition: m.partition(), At: &at, Records: []keyedlog.Record{{Key: ownerKey, Value: value}},
	})
	if err != nil && !m.claimTookEffect(ctx, ownership.Epoch) {
		m.opts.Log.Info().Err(err).Int("shard", m.opts.Shard).Int64("at", at).Msg("claim of shard failed")
		return nil
	}
	ownership.setRenewed(sentAt)
	ownership.setEndOffset(at + 1)
	return ownership
}

// claimTookEffect reports whether the newest record was appended by this daemon under an epoch. A claim without a
// response may have taken effect.
func (m *Manager) claimTookEffect(ctx context.Context, epoch int64) bool {
	if err := m.follower.Poll(ctx, 0); err != nil {
		return false
	}
	o := m.Owner()
	return o != nil && o.Epoch == epoch && o.Lifetime == m.opts.Self.Lifetime
}

// lead calls Lead and renews the ownership until it is lost or Lead returns.
func (m *Manager) lead(ctx context.Context, ownership *Ownership) {
	log := m.opts.Log.With().Int("shard", m.opts.Shard).Int64("epoch", ownership.Epoch).Logger()
	log.Info().Dur("previous_held_ago", m.opts.Now()-ownership.PreviousRenewalsUntil).Msg("shard claimed")
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.opts.Lead(ctx, ownership)
	}()
	// Keeps the result of Owner current while the shard is owned.
	go m.followWhileLeading(ctx)
	reason := m.renewUntilLost(ctx, ownership, done)
	cancel()
	<-done
	log.Info().Str("reason", reason).Msg("shard given up")
	if reason == reasonDraining || reason == reasonStopped || reason == reasonHandOver {
		m.release(ownership)
	}
	m.mu.Lock()
	m.seenAt = m.opts.Now() // the new owner's record has not been read yet
	m.mu.Unlock()
}

func (m *Manager) followWhileLeading(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.follower.Poll(ctx, pollWait); err != nil {
			ctxtime.Sleep(ctx, RenewInterval)
		}
	}
}

// Reasons for which an owner releases a shard voluntarily.
const (
	reasonDraining = "draining"
	reasonStopped  = "its work stopped"
	reasonHandOver = "handed over to a daemon with less load"
)

// renewUntilLost renews the ownership and returns why it ended.
func (m *Manager) renewUntilLost(ctx context.Context, ownership *Ownership, stopped <-chan struct{}) string {
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
		if m.isDraining() {
			return reasonDraining
		}
		if m.handOverTo() != "" {
			return reasonHandOver
		}
		if o := m.Owner(); o != nil && o.Epoch > ownership.Epoch {
			return "shard is owned by " + o.Name
		}
		value, err := m.encodeOwner(ownership, false)
		if err != nil {
			return err.Error()
		}
		if err := m.renew(ctx, ownership, value); err != nil {
			return err.Error()
		}
	}
}

// renew appends one renewal. It fails only if the shard is lost, not if the attempt has no response.
func (m *Manager) renew(ctx context.Context, ownership *Ownership, value []byte) error {
	attemptCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := m.opts.Now()
	offset, err := m.opts.Store.Append(attemptCtx, keyedlog.Append{Partition: m.partition(), At: &ownership.endOffset,
		Records: []keyedlog.Record{{Key: ownerKey, Value: value}}})
	switch {
	case err == nil:
		ownership.setEndOffset(offset + 1)
		ownership.setRenewed(sentAt)
	case errors.Is(err, keyedlog.ErrOffsetMismatch):
		return m.adoptOwnRecord(ctx, ownership)
	}
	return nil
}

// errClaimed means that a newer owner has appended its record.
var errClaimed = errors.New("another daemon claimed the shard")

// adoptOwnRecord continues after the newest record, once an append has failed because the partition ends elsewhere: an
// earlier attempt without a response may have taken effect. It returns errClaimed if another daemon appended it.
func (m *Manager) adoptOwnRecord(ctx context.Context, ownership *Ownership) error {
	if err := m.follower.Poll(ctx, 0); err != nil {
		return nil // the store is unreachable again
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owner == nil || m.owner.Epoch != ownership.Epoch || m.owner.Lifetime != m.opts.Self.Lifetime {
		return errClaimed
	}
	ownership.setEndOffset(m.endOffset)
	return nil
}

// release records that the shard has no owner, and repeats that until the other daemons may claim the shard anyway.
func (m *Manager) release(ownership *Ownership) {
	value, err := m.encodeOwner(ownership, true)
	if err != nil {
		m.opts.Log.Error().Err(err).Msg("owner record cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ClaimAfter)
	defer cancel()
	var backoff ledger.Backoff
	for {
		err := m.tryRelease(ctx, ownership, value)
		if err == nil || errors.Is(err, errClaimed) {
			return
		}
		if backoff.Sleep(ctx); ctx.Err() != nil {
			m.opts.Log.Warn().Err(err).Int("shard", m.opts.Shard).Msg("release of shard failed")
			return
		}
	}
}

// tryRelease makes one attempt to release the shard.
func (m *Manager) tryRelease(ctx context.Context, ownership *Ownership, value []byte) error {
	if o := m.Owner(); o != nil && o.Epoch == ownership.Epoch && o.Released {
		return nil // an earlier attempt took effect
	}
	attemptCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := m.opts.Store.Append(attemptCtx, keyedlog.Append{Partition: m.partition(), At: &ownership.endOffset,
		Records: []keyedlog.Record{{Key: ownerKey, Value: value}}})
	if errors.Is(err, keyedlog.ErrOffsetMismatch) {
		if lost := m.adoptOwnRecord(ctx, ownership); lost != nil {
			return lost
		}
	}
	return err
}
