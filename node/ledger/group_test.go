package ledger

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
)

// Guards against a refused record that is added later, and against reporting a record as refused while it is in a call.
func TestGroupReportsUncertainOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := storefake.New()
		p := keyedlog.Partition{Topic: "t"}
		store.SetFault(func(string, string, keyedlog.Partition) storefake.Fault {
			return storefake.Fault{Delay: 250 * time.Millisecond}
		})
		g := NewGroupAppender(NewAtLeastOnceAppender(NewTimedStore(store.As("d"))), p)
		results := make(chan error, 3)
		appendAsync := func(key string, limit time.Duration) {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				results <- g.Append(ctx, keyedlog.Record{Key: key, Value: []byte("v")})
			}()
			synctest.Wait()
		}
		appendAsync("taken", 100*time.Millisecond)
		appendAsync("waiting", 200*time.Millisecond)
		appendAsync("patient", time.Second)
		is.True(errors.Is(<-results, ErrUncertain))
		is.True(errors.Is(<-results, keyedlog.ErrRefused))
		is.NoErr(<-results)
		store.SetFault(nil)
		page, err := store.As("t").Newest(t.Context(), p, "")
		is.NoErr(err)
		var keys []string
		for _, r := range page.Records {
			keys = append(keys, r.Key)
		}
		is.Equal(keys, []string{"patient", "taken"})
	})
}

// Guards against an append larger than the store accepts in one call, and against one call per record.
func TestGroupSharesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := storefake.New()
		calls := 0
		store.SetFault(func(_, method string, _ keyedlog.Partition) storefake.Fault {
			calls++
			return storefake.Fault{Delay: 10 * time.Millisecond}
		})
		g := NewGroupAppender(NewAtLeastOnceAppender(NewTimedStore(store.As("d"))), keyedlog.Partition{Topic: "t"})
		results := make(chan error)
		for i := range 2*groupMaxRecords + 1 {
			go func() {
				results <- g.Append(t.Context(), keyedlog.Record{Key: string(rune('a' + i)), Value: []byte("v")})
			}()
			synctest.Wait()
		}
		large := make([]byte, groupMaxBytes)
		for range 2 {
			go func() { results <- g.Append(t.Context(), keyedlog.Record{Key: "large", Value: large}) }()
			synctest.Wait()
		}
		for range 2*groupMaxRecords + 3 {
			is.NoErr(<-results)
		}
		is.Equal(calls, 5) // the first alone, two full ones, and each large record alone
	})
}

// Guards against a record that the store never takes and that fails those of other callers in the same call, or is repeated
// until their time is up.
func TestRejectedRecordFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := storefake.New()
		store.Reject(func(_ string, r keyedlog.Record) bool { return r.Key == "bad" })
		store.SetFault(func(string, string, keyedlog.Partition) storefake.Fault {
			return storefake.Fault{Delay: 10 * time.Millisecond}
		})
		timed := NewTimedStore(store.As("d"))
		appender := NewAtLeastOnceAppender(timed)
		g := NewGroupAppender(appender, keyedlog.Partition{Topic: "t"})
		var group sync.WaitGroup
		for _, key := range []string{"first", "good", "bad", "good2"} {
			group.Go(func() {
				err := g.Append(t.Context(), keyedlog.Record{Key: key, Value: []byte("v")})
				is.Equal(errors.Is(err, keyedlog.ErrRejected), key == "bad")
				is.Equal(err != nil, key == "bad")
			})
			synctest.Wait()
		}
		group.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start, bad := time.Now(), []keyedlog.Record{{Key: "bad", Value: []byte("v")}}
		is.True(errors.Is(appender.Append(ctx, keyedlog.Partition{Topic: "t"}, bad), keyedlog.ErrRejected))
		is.True(errors.Is(NewWriter(timed, keyedlog.Partition{Topic: "t"}, "w", 1).Append(ctx, bad), keyedlog.ErrRejected))
		is.True(time.Since(start) < time.Second)
	})
}
