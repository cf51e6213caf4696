package gateway

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"waxwingslip.example/core/routing"
	"waxwingslip.example/node/gateway/claims"
)

// Options are what a Gateway works with. Nil fields are replaced by defaults where a default is stated.
type Options struct {
	// Zone is the daemon's own zone.
	Zone      string
	Endpoints EndpointSource
	Catalog   Catalog
	// Forwarder reaches other zones; without it only the own zone is served.
	Forwarder Forwarder
	// Observer receives finished requests; it may be nil.
	Observer Observer
	// Tracer makes the span of each hop; by default none are made.
	Tracer trace.Tracer
	// Claims keeps keyed requests that are not idempotent from running twice; without it they are refused.
	Claims *claims.Coordinator
	// Routing tunes the choice of endpoints; routing.DefaultSettings by default.
	Routing routing.Settings
	// InFlightLimit bounds the callers' requests served at a time; 4096 by default.
	InFlightLimit int64
	// QueueLimit bounds the waiting requests of each service; 512 by default.
	QueueLimit int
	// Seed starts the random source of the endpoint choice.
	Seed uint64
	// ReadyGrace is how long Shutdown goes on accepting, so that the balancer sees that Ready is false.
	ReadyGrace time.Duration
	// ConnectTimeout limits the connection set-up to an endpoint; 1 s by default.
	ConnectTimeout time.Duration
}

// Gateway carries requests. It is safe for concurrent use.
type Gateway struct {
	opts   Options
	client *client
	server *http.Server
	// started is the origin of the monotonic times of routing decisions.
	started time.Time
	metrics *metrics
	// background counts forwarded requests in flight and work that outlives a request.
	background sync.WaitGroup
	// inFlight counts callers' requests.
	inFlight atomic.Int64
	// turn rotates zones of equal distance.
	turn atomic.Uint64

	homes homes

	mu sync.Mutex
	// The fields below are guarded by mu.
	backends map[string]*backend
	callers  *routing.Callers
	link     *routing.Bucket
	closed   bool

	// draining is set at shutdown, before the listener closes.
	draining atomic.Bool
}

// New returns a gateway that does not listen yet.
func New(opts Options) (*Gateway, error) {
	if opts.Zone == "" || opts.Endpoints == nil || opts.Catalog == nil {
		return nil, errors.New("gateway: zone, endpoints and catalog are required")
	}
	if opts.Tracer == nil {
		opts.Tracer = noop.NewTracerProvider().Tracer("gateway")
	}
	if opts.ConnectTimeout == 0 {
		opts.ConnectTimeout = time.Second
	}
	if opts.Routing.Samples == 0 {
		opts.Routing = routing.DefaultSettings()
	}
	if opts.InFlightLimit == 0 {
		opts.InFlightLimit = 4096
	}
	if opts.QueueLimit == 0 {
		opts.QueueLimit = 512
	}
	g := &Gateway{opts: opts, client: newClient(opts.ConnectTimeout, opts.Routing.MaxInFlight, opts.Tracer), started: time.Now(),
		metrics: newMetrics(), backends: map[string]*backend{}, callers: routing.NewCallers(4096)}
	g.link = routing.NewBucket(opts.Catalog.LinkRate(), opts.Catalog.LinkRate(), 0)
	g.server = &http.Server{
		Handler:        g.Handler(),
		MaxHeaderBytes: MaxHeaderBytes,
		// Bounds connections that never send a request; bodies and answers may take hours.
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		ErrorLog:          log.New(discardLog{}, "", 0),
	}
	return g, nil
}

// discardLog drops the server's lines about single connections: they are counted, not logged.
type discardLog struct{}

// Write implements io.Writer.
func (discardLog) Write(p []byte) (int, error) { return len(p), nil }

// Handler returns the HTTP handler of the callers' listener.
func (g *Gateway) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.PathPrefix("/services/{service}").HandlerFunc(g.serveCaller)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.write(w, r, failure(http.StatusNotFound, OutcomeNotRun, "allowed paths are /services/{service}/..."))
	})
	return router
}

// Serve accepts callers until Shutdown. It returns nil after a shutdown.
func (g *Gateway) Serve(l net.Listener) error {
	if err := g.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve callers at %s", l.Addr())
	}
	return nil
}

func (g *Gateway) now() time.Duration { return time.Since(g.started) }

// backend returns the state of a service, which the catalog has named.
func (g *Gateway) backend(service string) *backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.backends[service]
	if b == nil {
		b = newBackend(service, g.opts, g.now, g.metrics)
		g.backends[service] = b
	}
	return b
}

// Ready reports whether the balancer may send callers here.
func (g *Gateway) Ready() bool { return !g.draining.Load() }

// StartDrain makes the gateway not ready. Requests are still served.
func (g *Gateway) StartDrain() { g.draining.Store(true) }

// Shutdown drains: after ReadyGrace it stops to listen, and it returns when every request in flight has ended or ctx
// is done. Requests that are then still in flight are cut off and reported as an error.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.StartDrain()
	defer g.client.transport.CloseIdleConnections()
	select {
	case <-time.After(g.opts.ReadyGrace):
	case <-ctx.Done():
	}
	if err := g.server.Shutdown(ctx); err != nil {
		_ = g.server.Close()
		return errors.Wrap(err, "drain callers")
	}
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		g.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain forwarded requests")
	}
}
