package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Fault is a fault injected into one outgoing call. The zero value is no fault.
type Fault struct {
	// Unreachable makes the call fail as if the peer could not be connected to.
	Unreachable bool
	// Delay is the time before the call is sent.
	Delay time.Duration
	// DropRequest drops the request: the call waits for its deadline.
	DropRequest bool
	// DropResponse lets the call run and drops the response: the call waits for its deadline.
	DropResponse bool
}

// errUnreachable is the error of calls that fail by Fault.Unreachable.
var errUnreachable = errors.New("peer is unreachable because of an injected fault")

// SetFault sets a function that returns the fault of each call by address and method; nil removes all faults. It
// is intended for tests.
func (t *Transport) SetFault(f func(address, method string) Fault) {
	if f == nil {
		f = func(string, string) Fault { return Fault{} }
	}
	t.fault.Store(&f)
}

// Disconnect closes the connection to an address and aborts the calls on it. It is intended for tests.
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

// awaitContextEnd blocks until ctx ends, as a call does whose message is lost.
func awaitContextEnd(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (f Fault) delay(ctx context.Context) error {
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
