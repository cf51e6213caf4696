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

// breakerFailures is the number of failures in a row after which calls to a peer are refused for a while.
const breakerFailures = 5

// link holds what is known about one peer address.
type link struct {
	transport *Transport
	address   string
	breaker   *gobreaker.CircuitBreaker[struct{}]

	mu      sync.Mutex
	conn    *pooledConn
	dialing chan struct{} // closed when the running dial ends, nil if none runs
	dialErr error
	// retryAt is the time before which no new dial starts. It is set at each dial and cleared by the first
	// answer, because a peer that refuses our certificate does so only after the dial succeeded.
	retryAt time.Time
	backoff *backoff.ExponentialBackOff
}

func newLink(t *Transport, address string) *link {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = t.opts.Timing.RedialMin, t.opts.Timing.RedialMax
	b.Reset()
	return &link{
		transport: t, address: address, backoff: b,
		breaker: gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
			Name: address, MaxRequests: 1, Timeout: t.opts.Timing.BreakerOpen,
			ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakerFailures },
			IsSuccessful: func(err error) bool {
				_, answered := CodeOf(err)
				return err == nil || answered
			},
			IsExcluded: func(err error) bool {
				var g *gaveUp
				return errors.As(err, &g)
			},
		}),
	}
}

// gaveUp marks an error that the caller's context caused and that says nothing about the peer.
type gaveUp struct{ error }

// Unwrap returns the cause.
func (g *gaveUp) Unwrap() error { return g.error }

func (l *link) current() *pooledConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// unused tells whether nothing is lost if the link is forgotten.
func (l *link) unused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := l.conn == nil || l.conn.quic.Context().Err() != nil
	return lost && l.dialing == nil
}

// acquire returns a connection with one more active call, and dials if there is none.
func (l *link) acquire(ctx context.Context) (*pooledConn, error) {
	l.mu.Lock()
	if c := l.conn; c != nil && c.take() {
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
	case c != nil && c.take():
		return c, nil
	case l.dialErr != nil:
		return nil, l.dialErr
	default:
		return nil, errors.New("connection was lost at once")
	}
}

// startDial makes sure that a dial runs. The caller holds mu.
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
	done := make(chan struct{})
	l.dialing = done
	started := l.transport.startTask(func() {
		conn, err := l.dial()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conn, l.dialErr, l.dialing = conn, err, nil
		close(done)
	})
	if !started {
		l.dialing = nil
		return errors.New("transport is closed")
	}
	return nil
}

// dial connects to the peer. Its time does not depend on the call that started it.
func (l *link) dial() (*pooledConn, error) {
	t := l.transport
	t.Counters.Dials.Add(1)
	ctx, cancel := context.WithTimeout(t.ctx, t.opts.Timing.Dial)
	defer cancel()
	address, err := net.ResolveUDPAddr("udp", l.address)
	if err != nil {
		t.Counters.DialFailures.Add(1)
		return nil, errors.Wrap(err, "address")
	}
	qc, err := t.quic.Dial(ctx, address, t.opts.Credentials.clientTLS(), t.quicConfig())
	if err != nil {
		t.Counters.DialFailures.Add(1)
		return nil, errors.Wrap(err, "dial")
	}
	c := &pooledConn{quic: qc, idleAfter: t.opts.Timing.Idle, peer: nameOf(qc.ConnectionState().TLS.PeerCertificates[0])}
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	t.tasks.Go(func() { t.watch(c) })
	return c, nil
}

// answered notes that the peer works.
func (l *link) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retryAt = time.Time{}
	l.backoff.Reset()
}

// watch lives as long as a connection and reacts to the server's announcement of its shutdown.
func (t *Transport) watch(c *pooledConn) {
	if _, err := c.quic.AcceptUniStream(t.ctx); err == nil {
		c.drain()
	}
	select {
	case <-c.quic.Context().Done():
	case <-t.ctx.Done():
		_ = c.quic.CloseWithError(connAborted, "caller shuts down")
	}
	c.stopIdle()
	t.mu.Lock()
	delete(t.conns, c)
	t.mu.Unlock()
}

// pooledConn is a connection with a count of its calls.
type pooledConn struct {
	quic      *quic.Conn
	peer      string
	idleAfter time.Duration

	// proven is set by the first answer: from then on a lost connection proves nothing.
	proven atomic.Bool

	mu       sync.Mutex
	active   int
	draining bool
	idle     *time.Timer
}

// take begins a call, unless the connection is lost or about to be closed.
func (c *pooledConn) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || c.quic.Context().Err() != nil {
		return false
	}
	c.active++
	if c.idle != nil {
		c.idle.Stop()
	}
	return true
}

// release ends a call.
func (c *pooledConn) release() {
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
	c.idle = time.AfterFunc(c.idleAfter, c.drain)
}

// drain lets the running calls finish, starts no more, and closes the connection then.
func (c *pooledConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.active == 0 {
		c.close()
	}
}

// close does not wait, because the caller holds mu.
func (c *pooledConn) close() {
	go func() { _ = c.quic.CloseWithError(connClosed, "") }()
}

func (c *pooledConn) stopIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.idle != nil {
		c.idle.Stop()
	}
}
