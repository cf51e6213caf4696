package peer

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel/propagation"
)

// Request is an incoming call.
type Request struct {
	// Peer is the name in the caller's certificate.
	Peer string
	// Address is the caller's address.
	Address string
	Method  string
	// Body is the body of the request. It returns io.EOF only if the body is complete, and is valid until the
	// response is sent.
	Body io.Reader

	payload []byte
}

// Decode decodes the header that the caller sent into v. It fails if there is none.
func (r *Request) Decode(v any) error {
	if err := decodePayload(r.payload, v); err != nil {
		return &RemoteError{Code: CodeInternal, Message: "decode request: " + err.Error()}
	}
	return nil
}

// Response is the response of a handler.
type Response struct {
	// Header is encoded in CBOR; nil sends none.
	Header any
	// Body is sent after the header and then closed; nil sends none. If it returns an error other than io.EOF, the
	// stream is reset and the caller's read of the body fails.
	Body io.ReadCloser
}

// Handler executes a call. The context ends at the caller's deadline, or when the caller cancels. An error that is not
// a RemoteError is sent with CodeInternal. A nil Response sends an empty response.
type Handler func(ctx context.Context, req *Request) (*Response, error)

// ServerOptions configures a Server.
type ServerOptions struct {
	// Address is the IP:port to listen on.
	Address     string
	Credentials *Credentials
	Timing      Timing
	// MaxStreams limits the concurrent streams of one connection; further calls on it wait. Default 256.
	MaxStreams int
	// MaxHandlers limits the concurrent handlers of all callers; further calls are refused with CodeOverloaded.
	// Default 2048.
	MaxHandlers int
	// Propagator extracts the trace context of calls; nil means none.
	Propagator propagation.TextMapPropagator
}

// Server serves the calls of peers.
type Server struct {
	Counters Counters

	opts         ServerOptions
	udp          *net.UDPConn
	quic         *quic.Transport
	listener     *quic.Listener
	handlerSlots chan struct{} // one element for each running handler

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	tasks  sync.WaitGroup // accept loops and handlers

	mu       sync.Mutex
	handlers map[string]Handler
	conns    map[*quic.Conn]struct{}
	stopping bool
}

// NewServer returns a server that is bound to its address. It serves no calls before Serve.
func NewServer(opts ServerOptions) (*Server, error) {
	opts.Timing = opts.Timing.withDefaults()
	if opts.MaxStreams == 0 {
		opts.MaxStreams = defaultMaxStreams
	}
	if opts.MaxHandlers == 0 {
		opts.MaxHandlers = 2048
	}
	key, err := opts.Credentials.resetKey()
	if err != nil {
		return nil, err
	}
	udp, err := listenUDP(opts.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		opts: opts, udp: udp, quic: &quic.Transport{Conn: udp, StatelessResetKey: key},
		handlerSlots: make(chan struct{}, opts.MaxHandlers), ctx: ctx, cancel: cancel,
		handlers: map[string]Handler{}, conns: map[*quic.Conn]struct{}{},
	}, nil
}

// Address returns the bound IP:port.
func (s *Server) Address() string { return s.udp.LocalAddr().String() }

// Handle sets the handler of a method.
func (s *Server) Handle(method string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// HandleCall sets the handler of a method whose requests and responses have no bodies.
func HandleCall[Req, Resp any](s *Server, method string,
	f func(ctx context.Context, peer string, header Req) (Resp, error)) {
	s.Handle(method, func(ctx context.Context, req *Request) (*Response, error) {
		var header Req
		if err := req.Decode(&header); err != nil {
			return nil, err
		}
		resp, err := f(ctx, req.Peer, header)
		if err != nil {
			return nil, err
		}
		return &Response{Header: resp}, nil
	})
}

// Serve starts serving calls and returns.
func (s *Server) Serve() error {
	l, err := s.quic.Listen(s.opts.Credentials.serverTLS(), flowControl(&quic.Config{
		HandshakeIdleTimeout:  s.opts.Timing.DialMax,
		MaxIdleTimeout:        s.opts.Timing.PeerTimeout,
		MaxIncomingStreams:    int64(s.opts.MaxStreams),
		MaxIncomingUniStreams: -1,
	}, s.opts.MaxStreams))
	if err != nil {
		return errors.Wrapf(err, "serve peers at %s", s.Address())
	}
	s.listener = l
	s.tasks.Go(s.acceptConns)
	return nil
}

func (s *Server) acceptConns() {
	for {
		conn, err := s.listener.Accept(s.ctx)
		if err != nil {
			return // the listener is closed
		}
		s.Counters.Accepted.Add(1)
		s.tasks.Go(func() { s.acceptStreams(conn) })
	}
}

func (s *Server) acceptStreams(conn *quic.Conn) {
	if !s.track(conn) {
		_ = conn.CloseWithError(connRefused, "server shuts down")
		return
	}
	defer s.untrack(conn)
	peer := certName(conn.ConnectionState().TLS.PeerCertificates[0])
	for {
		stream, err := conn.AcceptStream(s.ctx)
		if err != nil {
			return // the connection is closed
		}
		s.tasks.Go(func() { s.serve(conn, stream, peer) })
	}
}

func (s *Server) track(conn *quic.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Shutdown refuses new calls, lets the running ones finish until the context ends, and closes the server.
// Callers close their connections when they have read their responses, so that no response is truncated.
func (s *Server) Shutdown(ctx context.Context) {
	conns := s.stopAccepting()
	for _, c := range conns {
		if announce, err := c.OpenUniStream(); err == nil {
			_, _ = announce.Write([]byte{0})
			_ = announce.Close()
		}
	}
	for _, c := range conns {
		select {
		case <-c.Context().Done():
		case <-ctx.Done():
		}
	}
	s.Close()
}

// stopAccepting makes the server refuse new calls and returns the open connections.
func (s *Server) stopAccepting() []*quic.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	var conns []*quic.Conn
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// Close aborts all calls, waits for their handlers and closes the socket.
func (s *Server) Close() {
	conns := s.stopAccepting()
	s.cancel()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for _, c := range conns {
		_ = c.CloseWithError(connAborted, "server shuts down")
	}
	s.tasks.Wait()
	_ = s.quic.Close()
	_ = s.udp.Close()
}
