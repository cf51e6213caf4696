package stream

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"waxwingslip.example/core/record"
	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/logstore/fake"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is one daemon's view of the stream.
type node struct {
	m *logMachine
	f *Follower
	a *Appender
}

// startNode runs a follower and an appender until the test ends.
func startNode(t *testing.T, store *testStore) *node {
	n := &node{m: newLogMachine()}
	n.f = NewFollower(store, n.m, FollowerOptions{Stream: testStream, SnapshotKind: record.KindZoneSnapshot, TailBytes: 1 << 20})
	n.a = NewAppender(store, n.f, AppenderOptions{})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.f.Run(ctx) })
	wg.Go(func() { _ = n.a.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return n
}

func cancelJob(name string) record.Body { return &record.Cancel{Job: name} }

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func (n *node) jobs() (out []string) {
	n.f.View(func() { out = slices.Clone(n.m.Jobs) })
	return out
}

// Guards against a Submit that returns before its record was applied in log order.
func TestSubmitReturnsVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := startNode(t, newTestStore())
		r, err := n.a.Submit(within(t, time.Second), cancelJob("j1"))
		is.NoErr(err)
		is.Equal(r, Result{Offset: 1, Accepted: true})
		r, err = n.a.Submit(within(t, time.Second), cancelJob("no"))
		is.NoErr(err)
		is.Equal(r, Result{Offset: 2, Reason: "refused"})
	})
}

// Guards against more than 10 appends per second, and against a delay of the first one.
func TestAppendsAreGrouped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newTestStore()
		n := startNode(t, store)
		time.Sleep(time.Second)
		begin := time.Now()
		var wg sync.WaitGroup
		for i := range 1000 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				if _, err := n.a.Submit(within(t, 5*time.Second), cancelJob(fmt.Sprint(i))); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		is.Equal(store.appends[0], begin)
		is.True(len(store.appends) <= 12)
		is.Equal(len(n.jobs()), 1000)
	})
}

// Each row is a failure of the log; an accepted record must be applied exactly once and a returned error must match
// the content of the log.
func TestLogFailures(t *testing.T) {
	down := fault.Setting{Down: true}
	rows := []struct {
		name   string
		before fault.Setting
		after  fault.Setting // from 5 s on
		limit  time.Duration
		kind   error // nil: the record is accepted
		held   int   // entries in the log afterwards
	}{
		{name: "healthy", limit: time.Second, held: 1},
		{name: "response lost", before: fault.Setting{LoseResponses: 1, Operations: []string{fake.OpAppend}},
			limit: 10 * time.Second, held: 1},
		{name: "outage that ends", before: down, limit: 20 * time.Second, held: 1},
		{name: "outage that lasts", before: down, after: down, limit: 20 * time.Second, kind: ErrUnknown},
		{name: "slow", before: fault.Setting{DelayMs: 900}, after: fault.Setting{DelayMs: 900}, limit: 10 * time.Second, held: 1},
		{name: "slower than the timeout", before: fault.Setting{DelayMs: 4000}, after: down, limit: 9 * time.Second, kind: ErrUnknown},
		{name: "takes effect after the timeout",
			before: fault.Setting{ResponseDelayMs: 4000, Operations: []string{fake.OpAppend}},
			limit:  time.Second, held: 1},
		{name: "no response, then rejected", before: fault.Setting{Down: true, Operations: []string{fake.OpAppend}}, after: fault.Setting{Reject: true, Operations: []string{fake.OpAppend}}, limit: 9 * time.Second, kind: ErrUnknown},
		{name: "rejected", before: fault.Setting{Reject: true, Operations: []string{fake.OpAppend}}, limit: time.Second, kind: ErrNotAppended},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newTestStore()
				n := startNode(t, store)
				time.Sleep(time.Second)
				store.Faults.Set(row.before)
				time.AfterFunc(5*time.Second, func() { store.Faults.Set(row.after) })
				r, err := n.a.Submit(within(t, row.limit), cancelJob("j"))
				if row.kind != nil {
					is.True(errors.Is(err, row.kind))
				} else {
					is.NoErr(err)
					is.True(r.Accepted)
				}
				time.Sleep(5 * time.Second)
				store.down(false)
				time.Sleep(10 * time.Second)
				is.Equal(store.Streams()[testStream], row.held)
				is.Equal(len(n.jobs()), row.held)
				is.Equal(len(n.f.waiters), 0)
			})
		})
	}
}

// Guards against a caller that waits for ever because another one submitted the same record.
func TestSameRecordSubmittedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, id := startNode(t, newTestStore()), uuid.New()
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				if _, err := n.a.SubmitAs(within(t, 5*time.Second), id, cancelJob("j")); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		is.New(t).Equal(n.jobs(), []string{"j"})
	})
}

// Guards against a record that is applied twice when its first append takes effect only after the repeat.
func TestLateDuplicateIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newTestStore()
		n := startNode(t, store)
		payload, err := record.Encode(record.New(uuid.New(), cancelJob("j")))
		is.NoErr(err)
		for range 2 {
			_, err = store.Append(t.Context(), testStream, [][]byte{payload})
			is.NoErr(err)
		}
		time.Sleep(time.Second)
		is.Equal(n.jobs(), []string{"j"})
	})
}

// Guards against a record that reaches the log after Submit returned ErrNotAppended.
func TestAbandonedRecordIsNeverSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newTestStore()
		n := startNode(t, store)
		time.Sleep(time.Second)
		store.down(true)
		go func() { _, _ = n.a.Submit(within(t, 20*time.Second), cancelJob("first")) }()
		time.Sleep(500 * time.Millisecond) // the appender now waits for the log
		_, err := n.a.Submit(within(t, time.Second), cancelJob("second"))
		is.True(errors.Is(err, ErrNotAppended))
		is.NoErr(n.a.Post(cancelJob("heartbeat")))
		time.Sleep(3 * time.Second)
		store.down(false)
		time.Sleep(5 * time.Second)
		is.Equal(n.jobs(), []string{"first"})
	})
}

// Guards against an append queue that stays full of records abandoned during an outage of the log.
func TestAbandonedRecordsLeaveAppendQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newTestStore()
		n := startNode(t, store)
		n.a.queue.limit = 3
		time.Sleep(time.Second)
		store.down(true)
		go func() { _, _ = n.a.Submit(within(t, time.Minute), cancelJob("first")) }()
		time.Sleep(time.Second) // the appender now waits for the log
		for range 10 {
			_, err := n.a.Submit(within(t, time.Second), cancelJob("x"))
			is.True(errors.Is(err, context.DeadlineExceeded))
		}
		for range 3 {
			go func() { _, _ = n.a.Submit(within(t, time.Second), cancelJob("x")) }()
		}
		synctest.Wait()
		_, err := n.a.Submit(within(t, time.Second), cancelJob("x"))
		is.True(errors.Is(err, ErrQueueFull))
	})
}

// Guards against one bad record that keeps the rest of its batch out of the log.
func TestRejectedRecordFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newTestStore()
		n := startNode(t, store)
		bad, err := record.Encode(record.New(uuid.Nil, cancelJob("bad")))
		is.NoErr(err)
		store.reject = func(p []byte) bool { return slices.Equal(p[len(p)-4:], bad[len(bad)-4:]) }
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				name := fmt.Sprint("good", i)
				if i == 7 {
					name = "bad"
				}
				if _, err := n.a.Submit(within(t, 10*time.Second), cancelJob(name)); (err != nil) != (i == 7) {
					t.Error(name, err)
				}
			})
		}
		wg.Wait()
		is.Equal(len(n.jobs()), 19)
	})
}

// Guards against callers that wait for ever after the daemon stopped its stream.
func TestStopSettlesCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newTestStore()
		f := NewFollower(store, newLogMachine(), FollowerOptions{Stream: testStream})
		a := NewAppender(store, f, AppenderOptions{})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = f.Run(ctx) })
		wg.Go(func() { _ = a.Run(ctx) })
		time.Sleep(time.Second)
		store.down(true)
		errs := make(chan error, 2)
		go func() { _, err := a.Submit(context.Background(), cancelJob("sent")); errs <- err }()
		time.Sleep(2 * time.Second)
		cancel()
		wg.Wait()
		is.True(errors.Is(<-errs, ErrUnknown))
		_, err := a.Submit(context.Background(), cancelJob("late"))
		is.True(errors.Is(err, ErrNotAppended))
	})
}
