package shardlease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/ledger"
	"waxwingslip.example/node/shardlease"
)

// process is a daemon's process with a manager of one shard. It ends without releasing the shard when stop is called.
type process struct {
	manager *shardlease.Manager
	leads   chan *shardlease.Ownership
	stop    context.CancelFunc
}

// startProcess starts a daemon's process. All processes of a test share the clock.
func startProcess(t *testing.T, store *storefake.Store, now func() time.Duration, name string, lifetime int64) *process {
	ctx, cancel := context.WithCancel(t.Context())
	p := &process{leads: make(chan *shardlease.Ownership, 10)}
	p.manager = shardlease.New(shardlease.Options{
		Store: ledger.NewTimedStore(store.As(name)), Self: shardlease.Owner{Name: name, Address: name, Lifetime: lifetime},
		Now: now, Log: zerolog.Nop(), Preference: func() int { return 0 },
		Lead: func(ctx context.Context, o *shardlease.Ownership) {
			p.leads <- o
			<-ctx.Done()
		},
	})
	done := make(chan struct{})
	go func() { defer close(done); p.manager.Run(ctx) }()
	p.stop = func() { cancel(); <-done }
	t.Cleanup(p.stop)
	return p
}

// appendOwner appends an owner's record at the end of the partition.
func appendOwner(t *testing.T, store *storefake.Store, value []byte) {
	_, err := store.As("operator").Append(t.Context(), keyedlog.Append{Partition: keyedlog.Partition{Topic: shardlease.Topic},
		Records: []keyedlog.Record{{Key: "owner", Value: value}}})
	is.New(t).NoErr(err)
}

// Guards against tasks that run twice: an owner that is cut off from the store renews workers' leases for its grace, and
// the one after the next took them as expired because the owner between had ended (review of ambon-mist).
func TestEarlierOwnersMayStillRenew(t *testing.T) {
	second := func(t *testing.T, store *storefake.Store, now func() time.Duration) *process {
		p := startProcess(t, store, now, "second", 2)
		<-p.leads
		return p
	}
	for name, change := range map[string]func(t *testing.T, store *storefake.Store, now func() time.Duration) *process{
		"restart at the same address": func(t *testing.T, store *storefake.Store, now func() time.Duration) *process {
			second(t, store, now).stop()
			return startProcess(t, store, now, "second", 3)
		},
		"two restarts at the same address": func(t *testing.T, store *storefake.Store, now func() time.Duration) *process {
			second(t, store, now).stop()
			p := startProcess(t, store, now, "second", 3)
			<-p.leads
			p.stop()
			return startProcess(t, store, now, "second", 4)
		},
		"release": func(t *testing.T, store *storefake.Store, now func() time.Duration) *process {
			second(t, store, now).manager.Drain()
			return startProcess(t, store, now, "third", 3)
		},
		"hand-over": func(t *testing.T, store *storefake.Store, now func() time.Duration) *process {
			p := second(t, store, now)
			third := startProcess(t, store, now, "third", 3)
			p.manager.HandOver("third")
			return third
		},
		"owner of a build that does not record earlier owners": func(t *testing.T, store *storefake.Store, now func() time.Duration) *process {
			second(t, store, now).stop()
			value, err := cbor.Marshal(shardlease.Owner{Name: "other", Address: "other", Epoch: 1000, Released: true})
			is.New(t).NoErr(err)
			appendOwner(t, store, value)
			return startProcess(t, store, now, "third", 3)
		},
		"owner whose record cannot be decoded": func(t *testing.T, store *storefake.Store, now func() time.Duration) *process {
			second(t, store, now).stop()
			appendOwner(t, store, []byte("not an owner"))
			return startProcess(t, store, now, "third", 3)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, startedAt := storefake.New(), time.Now()
				now := func() time.Duration { return time.Since(startedAt) }
				first := startProcess(t, store, now, "first", 1)
				cutOff := <-first.leads
				time.Sleep(time.Second)
				store.SetFault(func(caller, _ string, _ keyedlog.Partition) storefake.Fault {
					return storefake.Fault{Hang: caller == "first"}
				})
				newest := <-change(t, store, now).leads
				is.True(cutOff.MayRenew()) // otherwise the test shows nothing
				for cutOff.MayRenew() {
					is.True(now() < newest.PreviousRenewalsUntil) // an earlier owner may still renew workers' leases
					time.Sleep(10 * time.Millisecond)
				}
				is.True(newest.PreviousRenewalsUntil <= now()+shardlease.WorkerLeaseGrace)
			})
		})
	}
}

// Guards against a shard without an owner for 2 s, and a needless wait for leases, because a release had no response.
func TestReleaseIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, startedAt := storefake.New(), time.Now()
		now := func() time.Duration { return time.Since(startedAt) }
		first := startProcess(t, store, now, "first", 1)
		<-first.leads
		second := startProcess(t, store, now, "second", 2)
		time.Sleep(time.Second)
		first.manager.Drain()
		store.SetFault(func(caller, method string, _ keyedlog.Partition) storefake.Fault {
			return storefake.Fault{Hang: caller == "first" && method == "append" && now() < 1500*time.Millisecond}
		})
		ownership := <-second.leads
		is.True(second.manager.Owner() != nil)
		is.True(ownership.PreviousRenewalsUntil <= now()) // the shard was released
	})
}
