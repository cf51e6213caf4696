package ledger_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/ledger"
)

// Guards against a call to the store that waits for ever: daemons that started while the store left calls unanswered were
// never ready.
func TestSilentStoreEndsEachCall(t *testing.T) {
	p := keyedlog.Partition{Topic: "keyed.t"}
	for name, call := range map[string]func(context.Context, *ledger.TimedStore) error{
		"append": func(ctx context.Context, s *ledger.TimedStore) error {
			_, err := s.Append(ctx, keyedlog.Append{Partition: p})
			return err
		},
		"read": func(ctx context.Context, s *ledger.TimedStore) error {
			_, err := s.Read(ctx, p, 0, time.Second)
			return err
		},
		"newest": func(ctx context.Context, s *ledger.TimedStore) error { _, err := s.Newest(ctx, p, ""); return err },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := storefake.New()
				store.SetFault(func(string, string, keyedlog.Partition) storefake.Fault { return storefake.Fault{Hang: true} })
				startedAt := time.Now()
				is.New(t).True(call(t.Context(), ledger.NewTimedStore(store.As("d"))) != nil)
				is.New(t).True(time.Since(startedAt) <= 3*time.Second)
			})
		})
	}
}

// Guards against first reads that are never repeated, since they have no response while the store is silent.
func TestFirstReadsAreRepeatedAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := keyedlog.Partition{Topic: "keyed.t"}
		store := storefake.New()
		var silent atomic.Bool
		silent.Store(true)
		store.SetFault(func(string, string, keyedlog.Partition) storefake.Fault { return storefake.Fault{Hang: silent.Load()} })
		time.AfterFunc(4*time.Second, func() { silent.Store(false) })
		timed := ledger.NewTimedStore(store.As("d"))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := ledger.GetOrCreate(ctx, timed, p, "key", func() ([]byte, error) { return []byte("value"), nil })
		is.NoErr(err)

		silent.Store(true)
		time.AfterFunc(4*time.Second, func() { silent.Store(false) })
		loaded := make(chan struct{})
		f := ledger.NewFollower(timed, p, func([]keyedlog.Record, bool) { close(loaded) })
		ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		go f.Run(ctx, time.Second, 0, func(error) {})
		select {
		case <-loaded:
		case <-ctx.Done():
			t.Error("the records were not loaded within 10 s")
		}
	})
}
