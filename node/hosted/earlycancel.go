package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/shard"
)

// Limits of the cancellations of unknown jobs that a daemon stores. Callers choose the ids, and each cancellation takes room in
// the store and at the owner for shard.EarlyCancelRetention.
const (
	// maxEarlyCancels limits those of one daemon in that time.
	maxEarlyCancels = 512
	// maxEarlyCancelsOfAccount limits those of one client account, so that it leaves room for others.
	maxEarlyCancelsOfAccount = maxEarlyCancels / 4
	// earlyCancelRetryAfter is the delay after which a caller over a limit should retry.
	earlyCancelRetryAfter = 10 * time.Second
)

// acceptanceCheckTimeout limits the question to the owner whether a job that was just accepted had been cancelled. Without an
// answer the job counts as accepted, which it usually is.
const acceptanceCheckTimeout = 400 * time.Millisecond

// earlyCancels limits the cancellations of unknown jobs that this daemon stores, and remembers them for repeats. It is safe for
// concurrent use.
type earlyCancels struct {
	now func() time.Duration

	mu sync.Mutex
	// at is when a cancellation was last begun. Guarded by mu.
	at map[earlyCancelKey]time.Duration
}

type earlyCancelKey struct {
	id      string
	limited bool
	account string
}

// begin reports whether a cancellation may be stored now.
func (c *earlyCancels) begin(id string, scope account.Scope) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, ofAccount := c.now(), 0
	for key, at := range c.at {
		switch {
		case now-at >= shard.EarlyCancelRetention:
			delete(c.at, key)
		case key.limited == scope.Limited && key.account == scope.Account:
			ofAccount++
		}
	}
	key := earlyCancelKey{id, scope.Limited, scope.Account}
	_, repeated := c.at[key]
	if !repeated && (len(c.at) >= maxEarlyCancels || scope.Limited && ofAccount >= maxEarlyCancelsOfAccount) {
		return false
	}
	c.at[key] = now
	return true
}

// any reports whether a cancellation that this daemon began may bind.
func (c *earlyCancels) any() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, at := range c.at {
		if now-at < shard.EarlyCancelRetention {
			return true
		}
	}
	return false
}

// mayHoldCancels reports whether the owner of a shard may hold cancellations of jobs that are not known, by its newest record
// that this daemon has read. The question to the owner about each accepted job would be a cost for weak owners.
func (d *Daemon) mayHoldCancels(n int) bool {
	if d.earlyCancels.any() {
		return true
	}
	if s := d.ownedShard(n); s != nil {
		return s.HoldsEarlyCancels()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if n >= len(d.leaseManagers) {
		return false
	}
	o := d.leaseManagers[n].Owner()
	return o != nil && o.HoldsCancels
}

// cancelUnknown stores the cancellation of a job that its owner does not know, and returns ErrUnknownJob once that binds.
func (a *jobAPI) cancelUnknown(ctx context.Context, n int, id string, scope account.Scope) error {
	if !a.d.earlyCancels.begin(id, scope) {
		a.d.metrics.Counter("jobs_cancels_limited").Inc()
		return &jobqueue.RefusedError{Reason: "too many unknown jobs are cancelled", RetryAfter: earlyCancelRetryAfter, Overload: true}
	}
	record, err := shard.EarlyCancelRecord(id, shard.EarlyCancel{Scope: scope, CancelledMs: time.Now().UnixMilli()})
	if err != nil {
		return err
	}
	err = a.storeCommand(ctx, n, record)
	log := a.d.log.Info().Str("job", id).Int("shard", n).Str("account", scope.Account)
	if err != nil {
		log.Err(err).Msg("cancelling of unknown job not stored")
		return err
	}
	log.Msg("cancelling of unknown job stored")
	a.d.metrics.Counter("jobs_cancelled_unknown").Inc()
	return jobqueue.ErrUnknownJob
}

// refuseIfCancelled returns a refusal of a job, whose acceptance is stored, if it was cancelled before: it never runs.
func (a *jobAPI) refuseIfCancelled(ctx context.Context, n int, spec *jobs.Spec) error {
	if !a.d.mayHoldCancels(n) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.d.limitToDrain(acceptanceCheckTimeout))
	defer cancel()
	var cancelled bool
	var err error
	if s := a.d.ownedShard(n); s != nil {
		cancelled, err = s.CancelledEarly(ctx, spec.ID, spec.Account)
	} else if address := a.d.ownerAddress(n); address != "" {
		err = a.d.peers.Call(ctx, address, methodCancelledEarly, acceptanceQuery{n, spec.ID, spec.Account}, &cancelled)
	} else {
		err = errors.Errorf("shard %d has no owner", n)
	}
	if code, answered := peer.CodeOf(err); err != nil && !(answered && code == peer.CodeUnknownMethod) {
		a.d.metrics.Counter("jobs_acceptance_unchecked").Inc()
		a.d.log.Debug().Err(err).Str("job", spec.ID).Int("shard", n).Msg("owner does not tell whether the job was cancelled before")
	}
	if err != nil || !cancelled {
		return nil
	}
	return &jobqueue.RefusedError{Reason: "the job was cancelled before it was accepted", RetryAfter: shard.EarlyCancelRetention}
}

// acceptanceQuery asks whether a job of an account was cancelled before it was accepted.
type acceptanceQuery struct {
	Shard   int    `cbor:"1,keyasint"`
	Job     string `cbor:"2,keyasint"`
	Account string `cbor:"3,keyasint,omitempty"`
}
