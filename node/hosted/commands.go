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
	// storeTimeLimit limits the attempts to store a command. A caller without a response repeats it at another daemon.
	storeTimeLimit = 1500 * time.Millisecond
	// ownerResponseReserve is the part of a command's time that is left for the owner's response to arrive.
	ownerResponseReserve = 100 * time.Millisecond
	// maxPromptAppend is the longest append of a store that is not slow: the append itself takes 4 ms, and a call
	// between regions up to 60 ms.
	maxPromptAppend = 100 * time.Millisecond
)

// storeRequest is a request to the owner of a shard to store a command.
type storeRequest struct {
	Shard     int    `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	Value     []byte `cbor:"3,keyasint"`
	TimeoutMs int64  `cbor:"4,keyasint"`
}

// storeResponse is the result of a storeRequest: the command is stored, it is uncertain whether it is or will be
// stored, or it never will be.
type storeResponse struct {
	Stored    bool   `cbor:"1,keyasint"`
	Uncertain bool   `cbor:"2,keyasint"`
	TookMs    int64  `cbor:"3,keyasint"`
	Reason    string `cbor:"4,keyasint"`
	// Rejected is set if the store never takes the command.
	Rejected bool `cbor:"5,keyasint,omitempty"`
}

// storeFunc has the owner of a shard store a command.
type storeFunc func(context.Context, storeRequest) (storeResponse, error)

// commandStore stores callers' commands. While attempts fail, it alternates between an append of its own and one by
// the owner of the shard: a partition of a slow store completes only a few appends a second, so the commands of all
// daemons have to share them, and a store may refuse this daemon alone. It is safe for concurrent use.
type commandStore struct {
	appender   *ledger.AtLeastOnceAppender
	groups     []*ledger.GroupAppender // by partition
	now        func() time.Duration
	ownerStore func(shard int) storeFunc // nil without a known owner
	// slow is set after a call without a response, until an append by an owner is prompt or fails. While it is set, the
	// owner is tried first, since separate appends of each daemon lengthen the queue of a slow store.
	slow atomic.Bool
}

func newCommandStore(store *ledger.TimedStore, partitions int, now func() time.Duration,
	ownerStore func(int) storeFunc) *commandStore {
	c := &commandStore{appender: ledger.NewAtLeastOnceAppender(store), now: now, ownerStore: ownerStore}
	for n := range partitions {
		c.groups = append(c.groups, ledger.NewGroupAppender(c.appender, jobsPartition(n)))
	}
	return c
}

func jobsPartition(n int) keyedlog.Partition {
	return keyedlog.Partition{Topic: shard.JobsTopic, Number: n}
}

// commandRoute is the way by which a command is appended to the store.
type commandRoute int

const (
	routeDirect commandRoute = iota
	routeViaOwner
)

// store retries storing a command until the context ends. After ledger.ErrUncertain the command may or may not take
// effect; after any other error it never does.
func (c *commandStore) store(ctx context.Context, n int, r keyedlog.Record) (commandRoute, error) {
	var retry ledger.Backoff
	var err error
	route, uncertain, calls := routeDirect, false, 0
	if c.slow.Load() {
		route = routeViaOwner
	}
	for ctx.Err() == nil {
		if route == routeViaOwner {
			err = c.storeViaOwner(ctx, n, r)
		} else {
			err = c.appender.Attempt(ctx, jobsPartition(n), []keyedlog.Record{r}, calls)
			calls++
		}
		if err == nil {
			return route, nil
		}
		if errors.Is(err, keyedlog.ErrRejected) {
			return route, err
		}
		uncertain = uncertain || errors.Is(err, ledger.ErrUncertain)
		if errors.Is(err, ledger.ErrNoResponse) {
			c.slow.Store(true)
			route = routeViaOwner
			continue // no delay, since the call itself has waited
		}
		retry.Sleep(ctx)
		if route == routeDirect || c.slow.Load() {
			route = routeViaOwner
		} else {
			route = routeDirect
		}
	}
	if err == nil {
		err = errors.Wrap(keyedlog.ErrRefused, "no time is left")
	}
	if uncertain && !errors.Is(err, ledger.ErrUncertain) {
		err = errors.Wrap(ledger.ErrUncertain, err.Error())
	}
	return route, err
}

// storeViaOwner has the owner of the shard, which may be this daemon, store a command.
func (c *commandStore) storeViaOwner(ctx context.Context, n int, r keyedlog.Record) error {
	store := c.ownerStore(n)
	if store == nil {
		c.slow.Store(false)
		return errors.Wrapf(keyedlog.ErrRefused, "shard %d has no known owner", n)
	}
	deadline, _ := ctx.Deadline()
	timeout := time.Until(deadline) - ownerResponseReserve
	if timeout < time.Millisecond { // the request carries whole milliseconds
		return errors.Wrap(keyedlog.ErrRefused, "too little time is left for the owner")
	}
	resp, err := store(ctx, storeRequest{Shard: n, Key: r.Key, Value: r.Value, TimeoutMs: timeout.Milliseconds()})
	switch {
	case err != nil:
		c.slow.Store(false)
		if code, answered := peer.CodeOf(err); answered && code == codeNotOwner || errors.Is(err, peer.ErrNotSent) {
			return errors.Wrap(keyedlog.ErrRefused, err.Error())
		}
		return errors.Wrap(ledger.ErrUncertain, err.Error())
	case resp.Stored:
		c.slow.Store(resp.TookMs > maxPromptAppend.Milliseconds())
		return nil
	case resp.Uncertain:
		return errors.Wrap(ledger.ErrNoResponse, resp.Reason)
	case resp.Rejected:
		return errors.Wrap(keyedlog.ErrRejected, resp.Reason)
	}
	return errors.Wrap(keyedlog.ErrRefused, resp.Reason)
}

// appendInGroup appends a command that any daemon sent to this owner, batched with other waiting commands.
func (c *commandStore) appendInGroup(ctx context.Context, req storeRequest) storeResponse {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMs)*time.Millisecond)
	defer cancel()
	start := c.now()
	err := c.groups[req.Shard].Append(ctx, keyedlog.Record{Key: req.Key, Value: req.Value})
	resp := storeResponse{Stored: err == nil, Uncertain: errors.Is(err, ledger.ErrUncertain),
		Rejected: errors.Is(err, keyedlog.ErrRejected),
		TookMs:   (c.now() - start).Milliseconds()}
	if err != nil {
		resp.Reason = err.Error()
	}
	return resp
}
