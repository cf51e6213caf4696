package ownership

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/node/stream"
)

// lockCheckingReplica records whether its lock is held.
type lockCheckingReplica struct {
	state *zone.State
	held  bool
}

func (l *lockCheckingReplica) View(f func(*zone.State)) {
	l.held = true
	f(l.state)
	l.held = false
}

func (*lockCheckingReplica) Post(record.Body) {}

func (*lockCheckingReplica) Submit(context.Context, record.Body) (stream.Result, error) {
	return stream.Result{}, nil
}

// Guards against a deadlock of the whole daemon: ZoneCurrent takes the read lock of the follower, which View holds
// already, and a second read lock waits for ever behind a waiting writer.
func TestCurrentIsReadOutsideView(t *testing.T) {
	is := is.New(t)
	replica := &lockCheckingReplica{state: zone.New("z")}
	called := false
	r := NewRunner(RunnerConfig{
		Name: "d", Zone: replica, Now: func() time.Duration { return time.Second },
		ZoneCurrent: func() bool {
			is.True(!replica.held)
			called = true
			return true
		},
		SetMember: func(string) {}, OnHeartbeatRead: func(string, time.Duration) {}, Log: zerolog.Nop(),
	})
	is.True(!r.step(t.Context()))
	is.True(called)
}
