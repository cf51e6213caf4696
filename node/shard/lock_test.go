package shard_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/jobworker"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/ledger"
	"waxwingslip.example/node/shard"
	"waxwingslip.example/node/telemetry"
)

// fullAuthority allows everything.
type fullAuthority struct{}

func (fullAuthority) FenceNumber() int64 { return 1 }
func (fullAuthority) MayStart() bool     { return true }
func (fullAuthority) MayRenew() bool     { return true }

// Guards against a deadlock: the daemon called Loaded while holding its lock, and the shard called the daemon's
// HomeShard while holding its own. The daemon then kept owning the shard without doing any work.
func TestLoadedTakesNoLock(t *testing.T) {
	is := is.New(t)
	store := storefake.New().As("d0")
	var s *shard.Shard
	answered := make(chan bool, 1)
	deps := &shard.Dependencies{
		Store: ledger.NewTimedStore(store), Workers: workerfake.NewFleet(oneSecondTask), Config: func() *jobqueue.Config { return nil },
		ZoneOutOfService: func(string) bool { return false },
		DecodeWorker: func(string, []byte) (jobworker.Info, error) {
			loaded := make(chan bool, 1)
			go func() { loaded <- s.Loaded() }()
			select {
			case v := <-loaded:
				answered <- v
			case <-time.After(5 * time.Second):
				answered <- false
			}
			return jobworker.Info{ID: "w0"}, nil
		},
		Registry: registry, HomeShard: func(string) int { return 1 }, Shards: func() int { return 2 },
		Now: func() time.Duration { return time.Hour }, WallTime: time.Now, Log: zerolog.Nop(),
		Counters: shard.NewCounters(telemetry.New(time.Now)),
	}
	_, err := store.Append(t.Context(), keyedlog.Append{Partition: registry, Records: []keyedlog.Record{{Key: "w0", Value: []byte("up")}}})
	is.NoErr(err)
	s = shard.New(deps, 0, 1, fullAuthority{}, shard.EarlierLeases{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	is.True(<-answered)
	cancel()
	<-done
}
