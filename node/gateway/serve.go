package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

// serveCaller handles one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	// Lets an endpoint answer while the caller still sends.
	_ = http.NewResponseController(w).EnableFullDuplex()
	c, refused := g.parse(r)
	if refused != nil {
		writeAnswer(w, r.Method, refused)
		return
	}
	ctx, stopDeadline, cancel := c.begin(r.Context())
	defer cancel()
	a := g.route(ctx, c)
	if !c.wholeAnswer {
		stopDeadline()
	}
	g.observe(c, a)
	writeAnswer(w, r.Method, a)
}

// observe hands the finished routing of a call to the observer.
func (g *Gateway) observe(c *call, a *answer) {
	if g.opts.Observer == nil {
		return
	}
	s := c.stats
	g.opts.Observer.Observe(Observation{Service: c.service.Name, Endpoint: s.endpoint, Zone: s.zone, Status: a.status,
		Outcome: a.outcome, Split: s.split, Reported: s.reported, Attempts: s.attempts, Hedged: s.hedged})
}

// parse checks a caller's request and returns either a call or the refusal.
func (g *Gateway) parse(r *http.Request) (*call, *answer) {
	outcome := refusalOutcome(r)
	bad := func(err error) (*call, *answer) {
		return nil, failure(http.StatusBadRequest, outcome, err.Error())
	}
	if headerBytes(r.Header)+len(r.RequestURI) > MaxHeaderBytes {
		return nil, failure(http.StatusRequestHeaderFieldsTooLarge, outcome, "request header is over 32768 bytes")
	}
	name := mux.Vars(r)["service"]
	service, ok := g.opts.Catalog.Service(name)
	if !ok {
		return nil, failure(http.StatusNotFound, outcome, "unknown service "+name)
	}
	timeout, stated, err := parseTimeout(r.Header)
	if err != nil {
		return bad(err)
	}
	key, err := singleValue(r.Header, HeaderKey, MaxKeyBytes)
	if err != nil {
		return bad(err)
	}
	caller, err := singleValue(r.Header, HeaderCaller, MaxCallerBytes)
	if err != nil {
		return bad(err)
	}
	c := &call{service: service, method: r.Method, path: endpointPath(r), header: endToEnd(r.Header),
		trailer: r.Trailer, contentLength: r.ContentLength, caller: caller, key: key, mayForward: true,
		arrived: time.Now(), wholeAnswer: stated}
	if c.caller == "" {
		c.caller, _, _ = net.SplitHostPort(r.RemoteAddr)
	}
	c.idempotent = isIdempotent(service, r.Method, c.path)
	if !stated {
		timeout = service.Timeout
	}
	if timeout > 0 {
		c.deadline = c.arrived.Add(timeout)
	}
	if c.body, err = newBody(r.Body, r.ContentLength); err != nil {
		return bad(err)
	}
	return c, nil
}

// refusalOutcome is the outcome of a request that is refused before its key was claimed: an earlier attempt with
// the same key may have run.
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

// begin returns the call's context. stopDeadline lets the rest of the answer take longer than the deadline.
func (c *call) begin(ctx context.Context) (_ context.Context, stopDeadline func(), cancel func()) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	if c.deadline.IsZero() {
		return ctx, func() {}, func() { cancelCause(nil) }
	}
	timer := time.AfterFunc(time.Until(c.deadline), func() { cancelCause(errDeadline) })
	return ctx, func() { timer.Stop() }, func() { timer.Stop(); cancelCause(nil) }
}

// route sends the call to the first endpoint that is not leaving.
func (g *Gateway) route(ctx context.Context, c *call) *answer {
	for _, e := range g.opts.Endpoints.Endpoints(c.service.Name) {
		if e.Leaving {
			continue
		}
		a, times, err := g.client.do(ctx, c, e.Address)
		c.stats.attempts++
		if err == nil {
			endpointTime, reported := parseEndpointTime(a.header)
			c.stats.endpoint, c.stats.zone, c.stats.reported = e, g.opts.Zone, reported
			c.stats.split = times.split(endpointTime, reported, 0)
			return a
		}
		if !notSent(err) {
			return failure(http.StatusBadGateway, OutcomeUnknown, err.Error())
		}
	}
	return failure(http.StatusServiceUnavailable, OutcomeNotRun, "no endpoint of "+c.service.Name)
}
