package ledger_test

import (
	"context"
	"fmt"
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

// Guards against a list that is begun anew after each cut, and so never read if it takes longer than connections last.
func TestLoadGoesOnAfterCut(t *testing.T) {
	is := is.New(t)
	p := keyedlog.Partition{Topic: "keyed.t"}
	fake := storefake.New()
	var records []keyedlog.Record
	for i := range 400 {
		records = append(records, keyedlog.Record{Key: fmt.Sprintf("k%03d", i), Value: []byte("v")})
	}
	_, err := fake.As("operator").Append(t.Context(), keyedlog.Append{Partition: p, Records: records})
	is.NoErr(err)
	calls := 0
	fake.SetFault(func(_, method string, _ keyedlog.Partition) storefake.Fault {
		calls++
		return storefake.Fault{Refuse: method == "newest" && calls%3 == 0} // two pages a connection
	})
	newest := map[string]string{}
	f := ledger.NewFollower(ledger.NewTimedStore(fake.As("d")), p, func(records []keyedlog.Record, reset bool) {
		if reset {
			clear(newest)
		}
		for _, r := range records {
			newest[r.Key] = string(r.Value)
		}
	})
	failed := 0
	for f.Load(t.Context()) != nil {
		if failed++; failed == 1 { // a record that was listed changes
			_, err := fake.As("operator").Append(t.Context(), keyedlog.Append{Partition: p, Records: []keyedlog.Record{{Key: "k000", Value: []byte("new")}}})
			is.NoErr(err)
		}
		is.True(failed < 10)
	}
	is.True(failed > 0)
	is.NoErr(f.Poll(t.Context(), 0))
	is.Equal(len(newest), 400)
	is.Equal(newest["k000"], "new")
}
