package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel/propagation"
)

// Timing holds the time limits of a Transport or Server. Zero values mean the defaults.
type Timing struct {
	// Dial limits a connection attempt; default 2 s. After an attempt that timed out, the limit of the next one doubles,
	// up to DialMax; default Dial. A handshake costs a busy peer more than most calls, so one that it is about to complete
	// should not be given up and begun again.
	Dial    time.Duration
	DialMax time.Duration
	// Call limits a Call whose context has no deadline; default 5 s.
	Call time.Duration
	// PeerTimeout is the time without any packet after which a connection is considered lost; default 10 s. Keep-alive
	// packets are sent at intervals of a third of it.
	PeerTimeout time.Duration
	// Idle is the time without a call after which a connection is closed; default 30 s.
	Idle time.Duration
	// RedialMin and RedialMax bound the exponential backoff between connection attempts; defaults 100 ms and 2 s.
	RedialMin time.Duration
	RedialMax time.Duration
	// BreakerOpen is how long an open circuit breaker refuses calls; default 1 s.
	BreakerOpen time.Duration
}

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&t.Dial, 2*time.Second)
	set(&t.DialMax, t.Dial)
	set(&t.Call, 5*time.Second)
	set(&t.PeerTimeout, 10*time.Second)
	set(&t.Idle, 30*time.Second)
	set(&t.RedialMin, 100*time.Millisecond)
	set(&t.RedialMax, 2*time.Second)
	set(&t.BreakerOpen, time.Second)
	return t
}

const (
	// defaultMaxStreams limits the concurrent streams of one connection.
	defaultMaxStreams = 256
	// streamWindowBytes bounds the memory for the unread part of one body. With a round trip of 40 ms between
	// regions it allows 50 Mbit/s for one body, more than the 30 Mbit/s of the link.
	streamWindowBytes = 256 << 10
)

// flowControl sets a connection window in which every stream can fill its own window. With a smaller one, a few bodies
// that nobody reads would block all other calls.
func flowControl(c *quic.Config, maxStreams int) *quic.Config {
	c.InitialStreamReceiveWindow, c.MaxStreamReceiveWindow = streamWindowBytes, streamWindowBytes
	conn := uint64(maxStreams) * streamWindowBytes
	c.InitialConnectionReceiveWindow, c.MaxConnectionReceiveWindow = conn, conn
	return c
}

// maxLinks is the number of links at which unconnected ones are removed before another is added.
const maxLinks = 256

// Options configures a Transport.
type Options struct {
	// LocalAddress is the IP:port from which calls are sent; if empty, the system chooses one.
	LocalAddress string
	Credentials  *Credentials
	Timing       Timing
	// Propagator injects the trace context into calls; nil means none.
	Propagator propagation.TextMapPropagator
}

// Transport makes calls to peers. It keeps one connection to each peer. It is safe for concurrent use.
type Transport struct {
	Counters Counters

	opts   Options
	udp    *net.UDPConn
	quic   *quic.Transport
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	fault  atomic.Pointer[func(address, method string) Fault]

	tasksMu  sync.Mutex
	stopping bool           // guarded by tasksMu; if true, no new dial starts
	tasks    sync.WaitGroup // dials and connection watchers

	mu        sync.Mutex
	links     map[string]*link
	conns     map[*trackedConn]struct{}
	closed    bool
	calls     int           // calls that are running
	callsDone chan struct{} // closed when calls becomes 0, nil if nothing waits for that
}

// NewTransport opens a UDP socket for outgoing calls.
func NewTransport(opts Options) (*Transport, error) {
	opts.Timing = opts.Timing.withDefaults()
	udp, err := listenUDP(opts.LocalAddress)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		opts: opts, udp: udp, quic: &quic.Transport{Conn: udp}, ctx: ctx, cancel: cancel,
		links: map[string]*link{}, conns: map[*trackedConn]struct{}{},
	}
	t.SetFault(nil)
	return t, nil
}

func listenUDP(address string) (*net.UDPConn, error) {
	if address == "" {
		address = ":0"
	}
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer address %s", address)
	}
	udp, err := net.ListenUDP("udp", a)
	return udp, errors.Wrapf(err, "listen at %s", address)
}

// quicConfig returns the configuration of a connection whose handshake has a time limit.
func (t *Transport) quicConfig(dialLimit time.Duration) *quic.Config {
	return flowControl(&quic.Config{
		HandshakeIdleTimeout:  dialLimit,
		MaxIdleTimeout:        t.opts.Timing.PeerTimeout,
		KeepAlivePeriod:       t.opts.Timing.PeerTimeout / 3,
		MaxIncomingStreams:    -1, // only callers open streams
		MaxIncomingUniStreams: 1,  // announces the server's shutdown
	}, defaultMaxStreams)
}

// beginCall counts a call, unless the transport is closed.
func (t *Transport) beginCall() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.calls++
	return true
}

// endCall ends a call that beginCall has counted.
func (t *Transport) endCall() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls--
	if t.calls == 0 && t.callsDone != nil {
		close(t.callsDone)
		t.callsDone = nil
	}
}

// linkTo returns the link of a peer address and adds it if there is none.
func (t *Transport) linkTo(address string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[address]; l != nil {
		return l
	}
	if len(t.links) >= maxLinks {
		for a, l := range t.links {
			if l.unconnected() {
				delete(t.links, a)
			}
		}
	}
	l := newLink(t, address)
	t.links[address] = l
	return l
}

// goTask runs f in a goroutine that Close waits for. It returns false if the transport is closed.
func (t *Transport) goTask(f func()) bool {
	t.tasksMu.Lock()
	defer t.tasksMu.Unlock()
	if t.stopping {
		return false
	}
	t.tasks.Go(f)
	return true
}

// Path holds measurements of the network path to a peer.
type Path struct {
	SmoothedRTT time.Duration
	MinRTT      time.Duration
	// PacketsSent and PacketsLost count since the connection was established.
	PacketsSent uint64
	PacketsLost uint64
}

// Path returns measurements of the connection to an address, and false if there is none.
func (t *Transport) Path(address string) (Path, bool) {
	t.mu.Lock()
	l := t.links[address]
	t.mu.Unlock()
	if l == nil {
		return Path{}, false
	}
	c := l.current()
	if c == nil || c.quic.Context().Err() != nil {
		return Path{}, false
	}
	s := c.quic.ConnectionStats()
	return Path{SmoothedRTT: s.SmoothedRTT, MinRTT: s.MinRTT, PacketsSent: s.PacketsSent, PacketsLost: s.PacketsLost}, true
}

// Shutdown refuses new calls, waits for the running ones until the context ends, and closes the transport.
func (t *Transport) Shutdown(ctx context.Context) {
	t.mu.Lock()
	t.closed = true
	callsDone := t.callsDone
	if t.calls > 0 && callsDone == nil {
		callsDone = make(chan struct{})
		t.callsDone = callsDone
	}
	t.mu.Unlock()
	if callsDone != nil {
		select {
		case <-callsDone:
		case <-ctx.Done():
		}
	}
	t.Close()
}

// Close aborts all calls and closes the socket.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.tasksMu.Lock()
	t.stopping = true
	t.tasksMu.Unlock()
	t.cancel()
	t.mu.Lock()
	var conns []*trackedConn
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		_ = c.quic.CloseWithError(connAborted, "caller shuts down")
	}
	t.tasks.Wait()
	_ = t.quic.Close()
	_ = t.udp.Close()
}
