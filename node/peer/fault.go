package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Fault is what happens to one outgoing call. The zero value is no fault.
type Fault struct {
	// Unreachable makes the call fail as if the peer could not be connected to.
	Unreachable bool
	// Delay passes before the call is sent.
	Delay time.Duration
	// DropRequest loses the request: the call waits for its deadline.
	DropRequest bool
	// DropAnswer lets the call run and loses the answer: the call waits for its deadline.
	DropAnswer bool
}

// errUnreachable is the cause of calls that Fault.Unreachable fails.
var errUnreachable = errors.New("peer is unreachable by a fault that was set")

// SetFault sets a function that decides the fault of each call by address and method; nil ends all faults. It
// is meant for tests.
func (t *Transport) SetFault(f func(address, method string) Fault) {
	if f == nil {
		f = func(string, string) Fault { return Fault{} }
	}
	t.fault.Store(&f)
}

// Disconnect cuts the connection to an address together with the calls that run on it. It is meant for tests.
func (t *Transport) Disconnect(address string) {
	t.mu.Lock()
	l := t.links[address]
	t.mu.Unlock()
	if l == nil {
		return
	}
	if c := l.current(); c != nil {
		_ = c.quic.CloseWithError(connAborted, "disconnected")
	}
}

// lose waits for the end of a call whose message is lost.
func lose(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (f Fault) before(ctx context.Context) error {
	if f.Delay <= 0 {
		return nil
	}
	timer := time.NewTimer(f.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
