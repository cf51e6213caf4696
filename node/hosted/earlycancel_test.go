package hosted

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/shard"
)

// soleOwner is the authority of an owner that no other daemon follows.
type soleOwner struct{}

func (soleOwner) MayStart() bool     { return true }
func (soleOwner) MayRenew() bool     { return true }
func (soleOwner) FenceNumber() int64 { return 1 }

// newOwner returns a daemon that owns the only shard, and the store.
func newOwner(t *testing.T) (*Daemon, *storefake.Store) {
	store := storefake.New()
	d := newTestDaemon(store.As("d"))
	start := time.Now()
	d.now = func() time.Duration { return time.Hour + time.Since(start) }
	d.shardDeps.Now, d.earlyCancels.now = d.now, d.now
	d.shardTotal.Store(1)
	d.feed.readAt.Store(int64(time.Hour))
	s := shard.New(d.shardDeps, 0, 1, soleOwner{}, shard.EarlierLeases{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for !s.Loaded() {
		time.Sleep(time.Millisecond)
	}
	d.shards[0] = s
	return d, store
}

func newSpec(id, account string) *jobs.Spec {
	return &jobs.Spec{ID: id, Queue: "q", Service: "s", Account: account, MaxAttempts: 1,
		Steps: []jobs.Step{{Count: 1, Size: resource.Vector{MilliCPU: 1}}}}
}

// Guards against an answer that a job does not exist although it may still be stored and run, and against callers who are
// told that a job is accepted although it never runs, since they cancelled it before.
func TestCancelOfUnknownJobBinds(t *testing.T) {
	is := is.New(t)
	d, store := newOwner(t)
	api := &jobAPI{d}
	const id, other = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	scope := account.Scope{Limited: true, Account: "a"}
	is.True(errors.Is(api.Cancel(t.Context(), id, scope), jobqueue.ErrUnknownJob))
	page, err := store.As("t").Newest(t.Context(), jobsPartition(0), "")
	is.NoErr(err)
	is.Equal(len(page.Records), 1)

	var refused *jobqueue.RefusedError
	is.True(errors.As(api.Submit(t.Context(), newSpec(id, "a")), &refused))
	is.Equal(refused.RetryAfter, shard.EarlyCancelRetention)
	_, err = api.State(t.Context(), id, scope)
	is.True(errors.Is(err, jobqueue.ErrUnknownJob))
	is.True(errors.Is(api.Cancel(t.Context(), id, scope), jobqueue.ErrUnknownJob))

	is.True(errors.Is(api.Cancel(t.Context(), other, account.Scope{Limited: true, Account: "b"}), jobqueue.ErrUnknownJob))
	is.NoErr(api.Submit(t.Context(), newSpec(other, "a"))) // not b's to cancel
	state, err := api.State(t.Context(), other, scope)
	is.NoErr(err)
	is.Equal(state, jobs.StatePending)
}

// Guards against callers who are told that a job is accepted although they cancelled it before at another daemon, and against a
// question to the owner about each job while there is no such cancellation.
func TestCancelOfUnknownJobAtAnotherDaemonBinds(t *testing.T) {
	is := is.New(t)
	d, store := newOwner(t)
	api := &jobAPI{d}
	is.True(!d.mayHoldCancels(0))
	is.NoErr(api.Submit(t.Context(), newSpec("5c0e7a21d94b36f7", "a")))
	const id = "5c0e7a21d94b36f8"
	record, err := shard.EarlyCancelRecord(id, shard.EarlyCancel{CancelledMs: time.Now().UnixMilli()})
	is.NoErr(err)
	_, err = store.As("other").Append(t.Context(), keyedlog.Append{Partition: jobsPartition(0), Records: []keyedlog.Record{record}})
	is.NoErr(err)
	for start := time.Now(); !d.mayHoldCancels(0) && time.Since(start) < 5*time.Second; {
		time.Sleep(time.Millisecond)
	}
	var refused *jobqueue.RefusedError
	is.True(errors.As(api.Submit(t.Context(), newSpec(id, "a")), &refused))
}

// Guards against an answer that a job does not exist although the cancellation could not be stored.
func TestCancelOfUnknownJobThatIsNotStored(t *testing.T) {
	is := is.New(t)
	d, store := newOwner(t)
	store.SetFault(func(_, method string, _ keyedlog.Partition) storefake.Fault {
		return storefake.Fault{Refuse: method == "append"}
	})
	var refused *jobqueue.RefusedError
	is.True(errors.As((&jobAPI{d}).Cancel(t.Context(), "5c0e7a21d94b36f8", account.Scope{}), &refused))
	store.SetFault(func(_, method string, _ keyedlog.Partition) storefake.Fault {
		return storefake.Fault{LoseResponse: method == "append"}
	})
	is.True(errors.Is((&jobAPI{d}).Cancel(t.Context(), "5c0e7a21d94b36f8", account.Scope{}), jobqueue.ErrUncertain))
}

// Guards against callers that fill the store and the owner's memory with cancellations, and against one account that takes the
// room of others.
func TestCancelsOfUnknownJobsAreLimited(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	c := &earlyCancels{now: func() time.Duration { return now }, at: map[earlyCancelKey]time.Duration{}}
	begun := func(scope account.Scope, n int) int {
		total := 0
		for i := range n {
			if c.begin(fmt.Sprint(i), scope) {
				total++
			}
		}
		return total
	}
	a, b := account.Scope{Limited: true, Account: "a"}, account.Scope{Limited: true, Account: "b"}
	is.Equal(begun(a, 1000), maxEarlyCancelsOfAccount)
	is.Equal(begun(b, 10), 10)
	is.Equal(begun(b, 10), 10) // repeats take no room
	is.Equal(begun(account.Scope{}, 1000), maxEarlyCancels-maxEarlyCancelsOfAccount-10)
	is.True(!c.begin("one more", b))
	now = shard.EarlyCancelRetention
	is.Equal(begun(a, 1000), maxEarlyCancelsOfAccount)
}
