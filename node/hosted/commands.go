package hosted

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ledger"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/shard"
)

// Timing of callers' commands.
const (
	// storeTimeLimit is how long a command is tried. A caller that gets no answer repeats it at another daemon.
	storeTimeLimit = 1500 * time.Millisecond
	// ownerReserve is the part of a command's time that remains for the owner's answer to arrive.
	ownerReserve = 100 * time.Millisecond
	// promptAppend bounds an append by a store that is not slow: it takes 4 ms there, and a call between regions takes
	// up to 60 ms.
	promptAppend = 100 * time.Millisecond
)

// commandQuery asks the owner of a shard to store a command.
type commandQuery struct {
	Shard    int    `cbor:"1,keyasint"`
	Key      string `cbor:"2,keyasint"`
	Value    []byte `cbor:"3,keyasint"`
	WithinMs int64  `cbor:"4,keyasint"`
}

// commandAnswer says what became of a command: it is stored, or its effect is open, or it never has one.
type commandAnswer struct {
	Stored bool   `cbor:"1,keyasint"`
	Open   bool   `cbor:"2,keyasint"`
	TookMs int64  `cbor:"3,keyasint"`
	Reason string `cbor:"4,keyasint"`
}

// storeCommand has the owner of a shard store a command.
type storeCommand func(context.Context, commandQuery) (commandAnswer, error)

// commandStore stores callers' commands. A daemon appends a command by itself and, without success, has the owner of the
// shard append it, in turn. A partition of a slow store carries out a few appends a second, so that the commands of all
// daemons have to share them; and a store may refuse this daemon alone. It is safe for concurrent use.
type commandStore struct {
	once   *ledger.Once
	groups []*ledger.Group // by partition
	now    func() time.Duration
	owner  func(shard int) storeCommand // nil without a known owner
	// slow is set after a call without answer, until an owner's append was prompt or failed. The owner is then asked
	// first, since appends of one daemon alone add to the queue of a slow store.
	slow atomic.Bool
}

func newCommandStore(store *ledger.Measured, partitions int, now func() time.Duration, owner func(int) storeCommand) *commandStore {
	c := &commandStore{once: ledger.NewOnce(store), now: now, owner: owner}
	for n := range partitions {
		c.groups = append(c.groups, ledger.NewGroup(c.once, jobsPartition(n)))
	}
	return c
}

func jobsPartition(n int) keyedlog.Partition {
	return keyedlog.Partition{Topic: shard.JobsTopic, Number: n}
}

// commandRoute is how a command reached the store.
type commandRoute int

const (
	bySelf commandRoute = iota
	byOwner
)

// add stores a command until the context ends. ledger.ErrUncertain stands for an open effect; after any other error the
// command never has one.
func (c *commandStore) add(ctx context.Context, n int, r keyedlog.Record) (commandRoute, error) {
	var retry ledger.Backoff
	var err error
	route, open, calls := bySelf, false, 0
	if c.slow.Load() {
		route = byOwner
	}
	for ctx.Err() == nil {
		if route == byOwner {
			err = c.addByOwner(ctx, n, r)
		} else {
			err = c.once.Try(ctx, jobsPartition(n), []keyedlog.Record{r}, calls)
			calls++
		}
		if err == nil {
			return route, nil
		}
		open = open || errors.Is(err, ledger.ErrUncertain)
		if errors.Is(err, ledger.ErrNoAnswer) {
			c.slow.Store(true)
			route = byOwner
			continue // without a pause, since the call was one
		}
		retry.Sleep(ctx)
		if route == bySelf || c.slow.Load() {
			route = byOwner
		} else {
			route = bySelf
		}
	}
	if err == nil {
		err = errors.Wrap(keyedlog.ErrRefused, "no time is left")
	}
	if open && !errors.Is(err, ledger.ErrUncertain) {
		err = errors.Wrap(ledger.ErrUncertain, err.Error())
	}
	return route, err
}

// addByOwner stores a command by the owner of its shard, which may be this daemon.
func (c *commandStore) addByOwner(ctx context.Context, n int, r keyedlog.Record) error {
	store := c.owner(n)
	if store == nil {
		c.slow.Store(false)
		return errors.Wrapf(keyedlog.ErrRefused, "shard %d has no known owner", n)
	}
	deadline, _ := ctx.Deadline()
	within := time.Until(deadline) - ownerReserve
	if within <= 0 {
		return errors.Wrap(keyedlog.ErrRefused, "too little time is left for the owner")
	}
	a, err := store(ctx, commandQuery{Shard: n, Key: r.Key, Value: r.Value, WithinMs: within.Milliseconds()})
	switch {
	case err != nil:
		c.slow.Store(false)
		if code, answered := peer.CodeOf(err); answered && code == codeNotOwner || errors.Is(err, peer.ErrNotSent) {
			return errors.Wrap(keyedlog.ErrRefused, err.Error())
		}
		return errors.Wrap(ledger.ErrUncertain, err.Error())
	case a.Stored:
		c.slow.Store(a.TookMs > promptAppend.Milliseconds())
		return nil
	case a.Open:
		return errors.Wrap(ledger.ErrNoAnswer, a.Reason)
	}
	return errors.Wrap(keyedlog.ErrRefused, a.Reason)
}

// addInGroup appends a command of any daemon together with those of all others.
func (c *commandStore) addInGroup(ctx context.Context, q commandQuery) commandAnswer {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.WithinMs)*time.Millisecond)
	defer cancel()
	begun := c.now()
	err := c.groups[q.Shard].Append(ctx, keyedlog.Record{Key: q.Key, Value: q.Value})
	a := commandAnswer{Stored: err == nil, Open: errors.Is(err, ledger.ErrUncertain), TookMs: (c.now() - begun).Milliseconds()}
	if err != nil {
		a.Reason = err.Error()
	}
	return a
}
