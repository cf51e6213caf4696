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

// Guards against a deadlock: a daemon called Owner while holding its lock, and the manager called the daemon's
// Preference while holding its own. The daemon then served no caller.
func TestPreferenceIsCalledWithoutLock(t *testing.T) {
	is := is.New(t)
	startedAt := time.Now()
	var m *shardlease.Manager
	ownerReturned := make(chan bool, 1)
	m = shardlease.New(shardlease.Options{
		Store: storefake.New().As("d0"), Self: shardlease.Owner{Name: "d0", Address: "d0", Lifetime: 1},
		Now: func() time.Duration { return time.Since(startedAt) }, Log: zerolog.Nop(),
		Preference: func() int {
			owner := make(chan struct{})
			go func() { defer close(owner); m.Owner() }()
			select {
			case <-owner:
				sendFirst(ownerReturned, true)
			case <-time.After(5 * time.Second): // Owner blocks if the manager holds its lock
				sendFirst(ownerReturned, false)
			}
			return 0
		},
		Lead: func(ctx context.Context, _ *shardlease.Ownership) { <-ctx.Done() },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); m.Run(ctx) }()
	is.True(<-ownerReturned)
	cancel()
	<-done
}

// sendFirst sends the result unless one is pending.
func sendFirst(results chan<- bool, result bool) {
	select {
	case results <- result:
	default:
	}
}
