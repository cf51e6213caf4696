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

// Options configures a Gateway. Zero fields get the default that their comment gives, if any.
type Options struct {
	// Zone is the daemon's own zone.
	Zone      string
	Endpoints EndpointSource
	Catalog   Catalog
	// Forwarder sends requests to other zones; if it is nil, only Zone is served.
	Forwarder Forwarder
	// Observer receives finished requests; it may be nil.
	Observer Observer
	// Tracer creates a span for each hop; by default none is created.
	Tracer trace.Tracer
	// Claims prevents keyed requests that are not idempotent from running twice; if it is nil, they are refused.
	Claims *claims.Coordinator
	// Routing configures the choice of endpoints; routing.DefaultSettings by default.
	Routing routing.Settings
	// InFlightLimit bounds the callers' requests in flight; 4096 by default.
	InFlightLimit int64
	// QueueLimit bounds the waiting requests of each service; 512 by default.
	QueueLimit int
	// Seed seeds the random choice of endpoints.
	Seed uint64
	// ReadyGrace is how long Shutdown keeps accepting requests, so that the balancer sees that Ready is false.
	ReadyGrace time.Duration
	// ConnectTimeout limits connecting to an endpoint; 1 s by default.
	ConnectTimeout time.Duration
}

// Gateway routes requests to endpoints and peer daemons. It is safe for concurrent use.
type Gateway struct {
	opts   Options
	client *client
	server *http.Server
	// started is the origin of the monotonic times of routing decisions.
	started time.Time
	metrics *metrics
	// background counts forwarded requests in flight and goroutines that outlive a request.
	background sync.WaitGroup
	// inFlight counts callers' requests.
	inFlight atomic.Int64
	// zoneRotation rotates the order of zones at equal distance.
	zoneRotation atomic.Uint64

	homeHistory homeZoneHistory

	mu sync.Mutex
	// The fields below are guarded by mu.
	backends    map[string]*backend
	callerRates *routing.Callers
	linkBudget  *routing.Bucket
	closed      bool

	// draining is set by StartDrain, and at shutdown before the listener closes.
	draining atomic.Bool
}

// New returns a gateway that does not accept callers until Serve is called.
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
	g := &Gateway{opts: opts, client: newClient(opts.ConnectTimeout, opts.Routing.MaxInFlight, opts.Tracer),
		started: time.Now(), metrics: newMetrics(), backends: map[string]*backend{},
		callerRates: routing.NewCallers(4096)}
	g.linkBudget = routing.NewBucket(opts.Catalog.LinkRate(), opts.Catalog.LinkRate(), 0)
	g.server = &http.Server{
		Handler:        g.Handler(),
		MaxHeaderBytes: MaxHeaderBytes,
		// Closes connections that never send a request; there is no limit for bodies and answers, which may take
		// hours.
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		ErrorLog:          log.New(discardWriter{}, "", 0),
	}
	return g, nil
}

// discardWriter drops the server's log lines about single connections, which are counted instead.
type discardWriter struct{}

// Write implements io.Writer.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// Handler returns the HTTP handler of the callers' listener.
func (g *Gateway) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.PathPrefix("/services/{service}").HandlerFunc(g.serveCaller)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.write(w, r, errorAnswer(http.StatusNotFound, OutcomeNotRun, "allowed paths are /services/{service}/..."))
	})
	return router
}

// Serve accepts callers until Shutdown is called, and then returns nil.
func (g *Gateway) Serve(l net.Listener) error {
	if err := g.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve callers at %s", l.Addr())
	}
	return nil
}

func (g *Gateway) now() time.Duration { return time.Since(g.started) }

// backend returns the state of a service, which must be in the catalog.
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

// Ready reports whether the balancer may send requests to this gateway.
func (g *Gateway) Ready() bool { return !g.draining.Load() }

// StartDrain makes Ready return false. Requests are still served.
func (g *Gateway) StartDrain() { g.draining.Store(true) }

// Shutdown drains the gateway: after ReadyGrace it closes the listener, and it returns when every request in flight
// has ended or ctx is done. It returns an error if callers' requests are aborted or forwarded ones are still in flight.
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
