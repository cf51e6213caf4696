package ledger_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/boundary"
	"waxwingslip.example/node/ledger"
)

// Guards against a record whose handling panics: it ended the process, or would hide all records after it.
func TestFollowerLeavesOutRecordsThatPanic(t *testing.T) {
	is := is.New(t)
	p := keyedlog.Partition{Topic: "keyed.t"}
	store := storefake.New().As("d")
	add := func(keys ...string) {
		for _, key := range keys {
			_, err := store.Append(context.Background(), keyedlog.Append{Partition: p,
				Records: []keyedlog.Record{{Key: key, Value: []byte("v")}}})
			is.NoErr(err)
		}
	}
	seen := map[string]bool{}
	f := ledger.NewFollower(ledger.NewTimedStore(store), p, func(records []keyedlog.Record, reset bool) {
		if reset {
			clear(seen)
		}
		for _, r := range records {
			if r.Key == "odd" {
				panic("odd record")
			}
			seen[r.Key] = true
		}
	})
	var contained *boundary.PanicError
	add("a", "odd", "b")
	is.True(errors.As(f.Load(context.Background()), &contained))
	is.True(seen["a"] && seen["b"])
	add("c", "odd", "d")
	is.True(errors.As(f.Poll(context.Background(), 0), &contained))
	is.True(seen["c"] && seen["d"])
	add("e")
	is.NoErr(f.Poll(context.Background(), 0))
	is.True(seen["e"])
}
