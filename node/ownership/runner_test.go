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

// lockedReplica knows whether its lock is held.
type lockedReplica struct {
	state *zone.State
	held  bool
}

func (l *lockedReplica) View(f func(*zone.State)) {
	l.held = true
	f(l.state)
	l.held = false
}

func (*lockedReplica) Post(record.Body) {}

func (*lockedReplica) Submit(context.Context, record.Body) (stream.Result, error) {
	return stream.Result{}, nil
}

// Guards against a deadlock of the whole daemon: Current takes the follower's read lock, and taking it again inside
// View waits for ever when a writer waits in between.
func TestCurrentIsReadOutsideView(t *testing.T) {
	is := is.New(t)
	replica := &lockedReplica{state: zone.New("z")}
	asked := false
	r := NewRunner(RunnerConfig{
		Name: "d", Zone: replica, Now: func() time.Duration { return time.Second },
		Current: func() bool {
			is.True(!replica.held)
			asked = true
			return true
		},
		SetMember: func(string) {}, Confirm: func(string, time.Duration) {}, Log: zerolog.Nop(),
	})
	is.True(!r.step(t.Context()))
	is.True(asked)
}
