package shardlease_test

import (
	"context"
	"fmt"
	"math"
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

// Guards against a next owner that takes leases as expired before they are, or waits longer than it has to. Only an owner
// that has released the shard makes no more calls to workers.
func TestReleaseTellsLeases(t *testing.T) {
	const lease = 4 * time.Second
	for name, released := range map[string]bool{"release": true, "end without release": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, startedAt := storefake.New(), time.Now()
				now := func() time.Duration { return time.Since(startedAt) }
				ctx, end := context.WithCancel(t.Context())
				until := make(chan time.Duration, 1)
				first := shardlease.New(shardlease.Options{
					Store: ledger.NewTimedStore(store.As("first")), Self: shardlease.Owner{Name: "first", Address: "first", Lifetime: 1},
					Now: now, Log: zerolog.Nop(), Preference: func() int { return 0 },
					Lead: func(ctx context.Context, o *shardlease.Ownership) {
						<-ctx.Done()
						o.SetReleasedLeases(map[string]time.Duration{"w": now() + lease, "past": now() - lease})
						until <- now() + lease
					},
				})
				done := make(chan struct{})
				go func() { defer close(done); first.Run(ctx) }()
				time.Sleep(time.Second)
				if released {
					first.Drain()
				} else {
					// A process that is killed stores nothing more.
					store.SetFault(func(caller, method string, _ keyedlog.Partition) storefake.Fault {
						return storefake.Fault{Hang: caller == "first" && method == "append"}
					})
					end()
				}
				second := startProcess(t, store, now, "second", 2)
				ownership := <-second.leads
				at, known := ownership.LeasesUntil["w"]
				is.Equal(known, released)
				if released {
					expiry := <-until
					is.True(at >= expiry)
					is.True(at <= expiry+time.Second)
					is.True(ownership.LeasesUntil["past"] <= now())
				}
				is.Equal(len(ownership.LeasesUntil), map[bool]int{true: 2}[released])
				end()
				<-done
			})
		})
	}
}

// Guards against times in an odd record that let leases expire at once, or never.
func TestOddLeasesAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, startedAt := storefake.New(), time.Now()
		value, err := cbor.Marshal(shardlease.Owner{Name: "other", Address: "other", Epoch: 1, Released: true, LeasesMs: map[string]int64{
			"negative": -1, "smallest": math.MinInt64, "largest": math.MaxInt64, "usual": 3000}})
		is.NoErr(err)
		appendOwner(t, store, value)
		p := startProcess(t, store, func() time.Duration { return time.Since(startedAt) }, "second", 2)
		ownership := <-p.leads
		is.Equal(len(ownership.LeasesUntil), 1)
		is.True(ownership.LeasesUntil["usual"] >= 3*time.Second)
	})
}

// Guards against a release that names so many workers that the store never takes it: the next owner then waits until it may claim
// the shard anyway, and for leases of which it knows nothing. The longest leases are those that it must not miss.
func TestReleaseWithManyLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, startedAt := storefake.New(), time.Now()
		store.LimitSizes("")
		now := func() time.Duration { return time.Since(startedAt) }
		const workers = 3000
		leases := map[string]time.Duration{}
		first := shardlease.New(shardlease.Options{
			Store: ledger.NewTimedStore(store.As("first")), Self: shardlease.Owner{Name: "first", Address: "first", Lifetime: 1},
			Now: now, Log: zerolog.Nop(), Preference: func() int { return 0 },
			Lead: func(ctx context.Context, o *shardlease.Ownership) {
				<-ctx.Done()
				for i := range workers {
					leases[fmt.Sprintf("%0200d", i)] = now() + time.Duration(i)*10*time.Millisecond
				}
				o.SetReleasedLeases(leases)
			},
		})
		ctx, end := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); first.Run(ctx) }()
		time.Sleep(time.Second)
		second := startProcess(t, store, now, "second", 2)
		time.Sleep(time.Second)
		first.Drain()
		drainedAt := now()
		ownership := <-second.leads
		is.True(now()-drainedAt < shardlease.ClaimAfter) // by the release
		for worker, at := range leases {
			until, known := ownership.LeasesUntil[worker]
			if !known {
				until = ownership.OtherLeasesUntil
			}
			is.True(until >= at)
		}
		is.True(len(ownership.LeasesUntil) > 500)
		end()
		<-done
	})
}
