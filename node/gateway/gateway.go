package gateway

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
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
	// ConnectTimeout limits the connection set-up to an endpoint; 1 s by default.
	ConnectTimeout time.Duration
}

// Gateway carries requests. It is safe for concurrent use.
type Gateway struct {
	opts   Options
	client *client
	server *http.Server
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
	g := &Gateway{opts: opts, client: newClient(opts.ConnectTimeout, opts.Tracer)}
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
		writeAnswer(w, r.Method, failure(http.StatusNotFound, OutcomeNotRun, "allowed paths are /services/{service}/..."))
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

// Ready reports whether the balancer may send callers here.
func (g *Gateway) Ready() bool { return !g.draining.Load() }

// StartDrain makes the gateway not ready. Requests are still served.
func (g *Gateway) StartDrain() { g.draining.Store(true) }

// Shutdown drains: it stops to listen and returns when every request in flight has ended or ctx is done. Requests
// that are then still in flight are cut off and reported as an error.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.StartDrain()
	defer g.client.transport.CloseIdleConnections()
	if err := g.server.Shutdown(ctx); err != nil {
		_ = g.server.Close()
		return errors.Wrap(err, "drain callers")
	}
	return nil
}
