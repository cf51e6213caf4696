package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/sony/gobreaker/v2"
)

// breakerFailures is the number of consecutive failures that opens the circuit breaker of a peer.
const breakerFailures = 5

// link holds the connection, the dial state and the circuit breaker of one peer address.
type link struct {
	transport *Transport
	address   string
	breaker   *gobreaker.CircuitBreaker[struct{}]

	mu      sync.Mutex
	conn    *trackedConn
	dialing chan struct{} // closed when the running dial ends, nil if none runs
	dialErr error
	// dialLimit limits the next dial.
	dialLimit time.Duration
	// retryAt is the time before which no new dial starts. It is set at each dial and cleared by the first
	// response, not by the dial, because a peer that refuses our certificate does so only after the dial succeeded.
	retryAt time.Time
	backoff *backoff.ExponentialBackOff
}

func newLink(t *Transport, address string) *link {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = t.opts.Timing.RedialMin, t.opts.Timing.RedialMax
	b.Reset()
	return &link{
		transport: t, address: address, backoff: b, dialLimit: t.opts.Timing.Dial,
		breaker: gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
			Name: address, MaxRequests: 1, Timeout: t.opts.Timing.BreakerOpen,
			ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakerFailures },
			IsSuccessful: func(err error) bool {
				_, responded := CodeOf(err)
				return err == nil || responded
			},
			IsExcluded: func(err error) bool {
				var c *callerError
				return errors.As(err, &c)
			},
		}),
	}
}

// callerError marks an error that the caller's context caused, which the circuit breaker does not count.
type callerError struct{ error }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.error }

func (l *link) current() *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// unconnected reports whether the link has neither a connection nor a running dial, so that it can be removed.
func (l *link) unconnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := l.conn == nil || l.conn.quic.Context().Err() != nil
	return lost && l.dialing == nil
}

// acquire returns a connection on which it has counted one more call. It dials if there is no connection.
func (l *link) acquire(ctx context.Context) (*trackedConn, error) {
	l.mu.Lock()
	if c := l.conn; c != nil && c.tryAcquire() {
		l.mu.Unlock()
		return c, nil
	}
	l.conn = nil
	err := l.startDial()
	dialing := l.dialing
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case <-dialing:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c := l.conn; {
	case c != nil && c.tryAcquire():
		return c, nil
	case l.dialErr != nil:
		return nil, l.dialErr
	default:
		return nil, errors.New("connection was lost at once")
	}
}

// startDial starts a dial if none is running. The caller holds mu.
func (l *link) startDial() error {
	if l.dialing != nil {
		return nil
	}
	if wait := time.Until(l.retryAt); wait > 0 {
		err := l.dialErr
		if err == nil {
			err = errors.New("connection was lost before the first answer")
		}
		return errors.Wrapf(err, "next attempt in %s", wait.Round(time.Millisecond))
	}
	l.retryAt = time.Now().Add(l.backoff.NextBackOff())
	done, limit := make(chan struct{}), l.dialLimit
	l.dialing = done
	started := l.transport.goTask(func() {
		conn, err := l.dial(limit)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conn, l.dialErr, l.dialing = conn, err, nil
		l.dialLimit = nextDialLimit(l.transport.opts.Timing, limit, err)
		close(done)
	})
	if !started {
		l.dialing = nil
		return errors.New("transport is closed")
	}
	return nil
}

// nextDialLimit returns the limit of the dial after one with a limit and a result. It falls slowly, since a peer that is
// busy stays so for a while.
func nextDialLimit(t Timing, limit time.Duration, err error) time.Duration {
	var timeout net.Error
	switch {
	case err == nil:
		return max(t.Dial, limit/2)
	case errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout():
		return min(2*limit, t.DialMax)
	}
	return limit
}

// dial connects to the peer within a limit. It is not limited by the context of the call that started it.
func (l *link) dial(limit time.Duration) (*trackedConn, error) {
	t := l.transport
	t.Counters.Dials.Add(1)
	ctx, cancel := context.WithTimeout(t.ctx, limit)
	defer cancel()
	address, err := net.ResolveUDPAddr("udp", l.address)
	if err != nil {
		t.Counters.DialFailures.Add(1)
		return nil, errors.Wrap(err, "address")
	}
	qc, err := t.quic.Dial(ctx, address, t.opts.Credentials.clientTLS(), t.quicConfig(limit))
	if err != nil {
		t.Counters.DialFailures.Add(1)
		return nil, errors.Wrap(err, "dial")
	}
	c := &trackedConn{quic: qc, idleAfter: t.opts.Timing.Idle,
		peer: certName(qc.ConnectionState().TLS.PeerCertificates[0])}
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	t.tasks.Go(func() { t.watch(c) })
	return c, nil
}

// recordResponse resets the dial backoff after a response of the peer.
func (l *link) recordResponse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retryAt = time.Time{}
	l.backoff.Reset()
}

// watch runs until the connection ends. It drains the connection when the server announces its shutdown.
func (t *Transport) watch(c *trackedConn) {
	if _, err := c.quic.AcceptUniStream(t.ctx); err == nil {
		c.drain()
	}
	select {
	case <-c.quic.Context().Done():
	case <-t.ctx.Done():
		_ = c.quic.CloseWithError(connAborted, "caller shuts down")
	}
	c.stopIdleTimer()
	t.mu.Lock()
	delete(t.conns, c)
	t.mu.Unlock()
}

// trackedConn is a connection that counts its active calls.
type trackedConn struct {
	quic      *quic.Conn
	peer      string
	idleAfter time.Duration

	// responded is set by the first response. After it, the loss of the connection no longer proves that no call ran.
	responded atomic.Bool

	mu        sync.Mutex
	active    int
	draining  bool
	idleTimer *time.Timer
}

// tryAcquire counts a call, unless the connection is lost or draining.
func (c *trackedConn) tryAcquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || c.quic.Context().Err() != nil {
		return false
	}
	c.active++
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	return true
}

// release ends a call. The last call closes a draining connection or starts the idle timer.
func (c *trackedConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	if c.active > 0 {
		return
	}
	if c.draining {
		c.close()
		return
	}
	c.idleTimer = time.AfterFunc(c.idleAfter, c.drain)
}

// drain allows no more calls and closes the connection when the running ones have finished.
func (c *trackedConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.active == 0 {
		c.close()
	}
}

// close closes the connection in the background, because the caller holds mu.
func (c *trackedConn) close() {
	go func() { _ = c.quic.CloseWithError(connClosed, "") }()
}

func (c *trackedConn) stopIdleTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
}
