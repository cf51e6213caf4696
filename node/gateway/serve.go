package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// serveCaller serves one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	// Allows an endpoint to answer while the caller is still sending.
	_ = http.NewResponseController(w).EnableFullDuplex()
	defer g.inFlight.Add(-1)
	if g.inFlight.Add(1) > g.opts.InFlightLimit {
		g.metrics.add(metricShed, 1)
		a := errorAnswer(http.StatusServiceUnavailable, refusalOutcome(r), "this daemon serves its limit of requests")
		a.header.Set("Retry-After", "1")
		g.write(w, r, a)
		return
	}
	c, refused := g.parse(w, r)
	if refused != nil {
		g.metrics.add(metricRefused, 1)
		g.write(w, r, refused)
		return
	}
	g.metrics.add(metricAccepted, 1)
	g.metrics.add(metricInFlight, 1)
	defer g.metrics.add(metricInFlight, -1)
	ctx := g.client.propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := g.opts.Tracer.Start(ctx, "caller request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("service", c.service.Name)))
	defer span.End()
	ctx, stopDeadline, cancel := c.withDeadline(ctx)
	defer cancel()
	a := g.handle(ctx, c, true)
	if !c.deadlineCoversBody {
		stopDeadline()
	}
	span.SetAttributes(attribute.String("outcome", string(a.outcome)), attribute.Int("status", a.status))
	g.observe(c, a)
	g.write(w, r, a)
}

// handle claims the call's key if necessary, and routes the call.
func (g *Gateway) handle(ctx context.Context, c *call, mayClaim bool) *answer {
	if c.key == "" || c.idempotent || !mayClaim {
		return g.route(ctx, c)
	}
	return g.handleKeyed(ctx, c)
}

// write sends the answer to the caller and counts its outcome. During a shutdown the connection is closed after the
// answer, so that the caller uses another one.
func (g *Gateway) write(w http.ResponseWriter, r *http.Request, a *answer) {
	g.metrics.add(metricOutcome+string(a.outcome), 1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := writeAnswer(w, r.Method, a); err != nil {
		g.metrics.add(metricBroken, 1)
		if !r.ProtoAtLeast(1, 1) {
			resetConnection(w)
		}
		panic(http.ErrAbortHandler)
	}
}

// resetConnection closes a caller's connection with a TCP reset. HTTP/1.0 has no chunked encoding, so its callers
// would take a regular close for the end of the answer.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// observe reports a routed call to the observer.
func (g *Gateway) observe(c *call, a *answer) {
	if g.opts.Observer == nil {
		return
	}
	g.opts.Observer.Observe(Observation{Service: c.service.Name, Endpoint: a.endpoint, Zone: a.zone, Status: a.status,
		Outcome: a.outcome, TimeBreakdown: a.timeBreakdown, EndpointTimeReported: a.endpointTimeReported,
		Attempts: c.stats.attempts, Hedged: c.stats.hedged})
}

// parse validates a caller's request and returns either a call or an error answer.
func (g *Gateway) parse(w http.ResponseWriter, r *http.Request) (*call, *answer) {
	outcome := refusalOutcome(r)
	badRequest := func(err error) (*call, *answer) {
		return nil, errorAnswer(http.StatusBadRequest, outcome, err.Error())
	}
	if headerBytes(r.Header)+len(r.RequestURI) > MaxHeaderBytes {
		return nil, errorAnswer(http.StatusRequestHeaderFieldsTooLarge, outcome, "request header is over 32768 bytes")
	}
	name := mux.Vars(r)["service"]
	service, ok := g.opts.Catalog.Service(name)
	if !ok {
		return nil, errorAnswer(http.StatusNotFound, outcome, "unknown service "+name)
	}
	timeout, hasTimeout, err := parseTimeout(r.Header)
	if err != nil {
		return badRequest(err)
	}
	key, err := singleValue(r.Header, HeaderKey, MaxKeyBytes)
	if err != nil {
		return badRequest(err)
	}
	caller, err := singleValue(r.Header, HeaderCaller, MaxCallerBytes)
	if err != nil {
		return badRequest(err)
	}
	c := &call{service: service, method: r.Method, path: endpointPath(r), header: endToEnd(r.Header),
		trailer: r.Trailer, contentLength: r.ContentLength, caller: caller, key: key, mayForward: true,
		arrived: time.Now(), deadlineCoversBody: hasTimeout}
	if c.caller == "" {
		c.caller, _, _ = net.SplitHostPort(r.RemoteAddr)
	}
	c.idempotent = isIdempotent(service, r.Method, c.path)
	if !hasTimeout {
		timeout = service.Timeout
	}
	if !g.allowCaller(c.caller) {
		a := errorAnswer(http.StatusTooManyRequests, outcome, "caller "+c.caller+" is over its request rate")
		a.header.Set("Retry-After", "1")
		return nil, a
	}
	if timeout > 0 {
		c.deadline = c.arrived.Add(timeout)
	}
	// A caller that stops sending must not keep a request open beyond its deadline.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.bodyDeadline())
	if c.body, err = newBody(r.Body, r.ContentLength); err != nil {
		return badRequest(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return c, nil
}

// maxBodyTime limits the reading of a small request body if the request has no deadline.
const maxBodyTime = 30 * time.Second

func (c *call) bodyDeadline() time.Time {
	if c.deadline.IsZero() {
		return c.arrived.Add(maxBodyTime)
	}
	return c.deadline
}

// allowCaller takes a request from its caller's rate limit and reports whether it is allowed.
func (g *Gateway) allowCaller(caller string) bool {
	rate := g.opts.Catalog.CallerRate()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.callerRates.Allow(g.now(), caller, rate)
}

// refusalOutcome returns the outcome of a request that is refused before its key was claimed. It is unknown for a
// request with a key, because an earlier attempt with the same key may have run.
func refusalOutcome(r *http.Request) Outcome {
	if len(r.Header.Values(HeaderKey)) > 0 && !isIdempotent(Service{}, r.Method, "") {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// endpointPath returns the part of the request's path that the endpoint receives, with the query.
func endpointPath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// errDeadline is the cancellation cause of a call whose deadline has passed.
var errDeadline = errors.New("the request's deadline has passed")

// withDeadline returns a context that is cancelled at the call's deadline. stopDeadline removes the deadline, so that
// the rest of the answer may take longer.
func (c *call) withDeadline(ctx context.Context) (_ context.Context, stopDeadline func(), cancel func()) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	if c.deadline.IsZero() {
		return ctx, func() {}, func() { cancelCause(nil) }
	}
	timer := time.AfterFunc(time.Until(c.deadline), func() { cancelCause(errDeadline) })
	return ctx, func() { timer.Stop() }, func() { timer.Stop(); cancelCause(nil) }
}
