package shard

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ctxtime"
)

// A caller may cancel a job that no owner knows: it was never submitted, or the append of its acceptance is still on its way
// and takes effect later. The answer is that there is no such job, and that has to stay true. The cancellation is therefore
// stored with the caller's account, and binds the jobs of that account which are accepted under the id within
// EarlyCancelRetention: they are cancelled at once and callers don't see them. Other accounts may use the id.

// earlyCancelPrefix, a job's id, a slash and a hash of the account make the key in JobsTopic of an early cancellation. Earlier
// builds ignore it.
const earlyCancelPrefix = "e/"

// EarlyCancelRetention is how long an early cancellation binds, by the owner's clock since it was read. It is longer than a
// call to the store can be on its way.
const EarlyCancelRetention = 5 * time.Minute

// maxEarlyCancelAge is the age by wall clocks above which an early cancellation ends even if owners changed so often that none
// has held it for the retention.
const maxEarlyCancelAge = 10 * EarlyCancelRetention

// EarlyCancel is a cancellation of a job that was not known.
type EarlyCancel struct {
	Scope       account.Scope `cbor:"1,keyasint"`
	CancelledMs int64         `cbor:"2,keyasint"`
}

// binds reports whether the cancellation holds for a job of an account. A scope contains more jobs than those of its account, but
// a caller must not be able to block the ids of others.
func (c *EarlyCancel) binds(account string) bool {
	return !c.Scope.Limited || c.Scope.Account == account
}

// EarlyCancelRecord returns the record of a cancellation of a job that is not known.
func EarlyCancelRecord(id string, c EarlyCancel) (keyedlog.Record, error) {
	value, err := cbor.Marshal(c)
	caller := strconv.FormatBool(c.Scope.Limited) + "/" + c.Scope.Account
	key := earlyCancelPrefix + id + "/" + strconv.FormatUint(xxhash.Sum64String(caller), 16)
	return keyedlog.Record{Key: key, Value: value}, errors.Wrap(err, "encode early cancellation")
}

// heldEarlyCancel is an early cancellation that this owner has read.
type heldEarlyCancel struct {
	EarlyCancel
	readAt time.Duration
	// deleting is set while its record is being deleted. It binds until that has been read back, so that the order of records
	// decides for jobs that are accepted meanwhile.
	deleting bool
}

// applyEarlyCancels applies the records of early cancellations, and cancels the jobs that are known by now. The caller holds mu.
func (s *Shard) applyEarlyCancels(records []keyedlog.Record, reset bool) {
	defer func() { s.holdsEarlyCancels.Store(len(s.earlyCancels) > 0) }()
	before := s.earlyCancels
	if reset {
		s.earlyCancels = map[string]map[string]*heldEarlyCancel{}
	}
	for _, r := range records {
		if !strings.HasPrefix(r.Key, earlyCancelPrefix) {
			continue
		}
		id, _, ok := cutLast(r.Key[len(earlyCancelPrefix):])
		c := &heldEarlyCancel{readAt: s.deps.Now()}
		switch {
		case r.Value == nil:
			delete(s.earlyCancels[id], r.Key)
			if len(s.earlyCancels[id]) == 0 {
				delete(s.earlyCancels, id)
			}
			continue
		case !ok || cbor.Unmarshal(r.Value, &c.EarlyCancel) != nil:
			s.log.Error().Str("key", r.Key).Int64("offset", r.Offset).Msg("early cancellation cannot be decoded")
			continue
		}
		if held := before[id][r.Key]; reset && held != nil {
			c.readAt = held.readAt
		}
		if s.earlyCancels[id] == nil {
			s.earlyCancels[id] = map[string]*heldEarlyCancel{}
		}
		s.earlyCancels[id][r.Key] = c
		if e := s.jobs[id]; e != nil && len(e.job.Spec.Steps) > 0 && c.binds(e.job.Spec.Account) {
			e.cancelRequested = true
		}
	}
}

// HoldsEarlyCancels reports whether any early cancellation may bind a job. It takes no lock, so that callers may hold locks of
// their own.
func (s *Shard) HoldsEarlyCancels() bool { return s.holdsEarlyCancels.Load() }

// cancelIfEarly cancels a job that was just read if an early cancellation binds it, and hides it from callers. The caller holds
// mu.
func (s *Shard) cancelIfEarly(e *jobEntry) {
	for _, c := range s.earlyCancels[e.job.Spec.ID] {
		if !c.binds(e.job.Spec.Account) {
			continue
		}
		e.cancelRequested, e.hidden, e.storedState = true, true, jobs.StateUnknown
		s.deps.Counters.CancelledEarly.Inc()
		s.log.Info().Str("job", e.job.Spec.ID).Str("queue", e.job.Spec.Queue).Int64("cancelled_ms", c.CancelledMs).
			Int64("sent_ms", e.job.Spec.AcceptedMs).Msg("job was cancelled before it was accepted")
		return
	}
}

// pruneEarlyCancels deletes early cancellations after their retention. One stays while a job that it cancelled has records: the
// next owner would run the job. The caller holds mu.
func (s *Shard) pruneEarlyCancels(now time.Duration) {
	wallMs := s.deps.WallTime().UnixMilli()
	var expired []keyedlog.Record
	for id, held := range s.earlyCancels {
		if e := s.jobs[id]; e != nil && e.hidden {
			continue
		}
		for key, c := range held {
			if !c.deleting && (now-c.readAt >= EarlyCancelRetention || wallMs-c.CancelledMs >= maxEarlyCancelAge.Milliseconds()) {
				c.deleting = true
				expired = append(expired, keyedlog.Record{Key: key})
			}
		}
	}
	if len(expired) > 0 {
		s.runInBackground("delete early cancellations", func() {
			for len(expired) > 0 {
				n := chunkLen(expired)
				s.appendUntilStored(s.number, expired[:n]...)
				expired = expired[n:]
			}
		})
	}
}

// acceptancePollInterval is the time between checks whether the acceptance of a job has been read.
const acceptancePollInterval = 10 * time.Millisecond

// CancelledEarly waits until the owner has read the acceptance of a job, which is stored, and reports whether a cancellation
// stored before it keeps the job of the account from running.
func (s *Shard) CancelledEarly(ctx context.Context, id, account string) (bool, error) {
	for {
		if !s.auth.MayRenew() {
			return false, ErrStale
		}
		if cancelled, read := s.earlyState(id, account); read {
			return cancelled, nil
		}
		if !ctxtime.Sleep(ctx, acceptancePollInterval) {
			return false, errors.Wrapf(ctx.Err(), "acceptance of job %s is not read", id)
		}
	}
}

// earlyState reports whether a job of the account was cancelled before it was accepted, and whether its acceptance has been read.
func (s *Shard) earlyState(id, account string) (cancelled, read bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.jobs[id]
	if e == nil || len(e.job.Spec.Steps) == 0 && e.storedState == jobs.StateUnknown {
		return false, false // not accepted, or known by its cancellation only
	}
	return (e.hidden || e.cancelledFirst) && e.job.Spec.Account == account, true
}
