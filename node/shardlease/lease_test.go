package shardlease_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/shardlease"
)

// Guards against a deadlock: a daemon asked under its lock who owns the shard, and the keeper asked under its own for the
// daemon's preference. That daemon then answered no caller (soak seed 1, and seed 329 before).
func TestPreferenceIsAskedWithoutTheLock(t *testing.T) {
	is := is.New(t)
	begun := time.Now()
	var k *shardlease.Keeper
	answered := make(chan bool, 1)
	k = shardlease.New(shardlease.Options{
		Store: storefake.New().As("d0"), Self: shardlease.Owner{Name: "d0", Address: "d0", Lifetime: 1},
		Now: func() time.Duration { return time.Since(begun) }, Log: zerolog.Nop(),
		Preference: func() int {
			owner := make(chan struct{})
			go func() { defer close(owner); k.Owner() }()
			select {
			case <-owner:
				report(answered, true)
			case <-time.After(5 * time.Second): // a keeper that holds its lock answers nobody
				report(answered, false)
			}
			return 0
		},
		Lead: func(ctx context.Context, _ *shardlease.Held) { <-ctx.Done() },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); k.Run(ctx) }()
	is.True(<-answered)
	cancel()
	<-done
}

// report keeps the first answer.
func report(answers chan<- bool, answer bool) {
	select {
	case answers <- answer:
	default:
	}
}
