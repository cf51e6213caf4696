package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"waxwingslip.example/core/routing"
)

// errLinkBudget means that the byte budget of the link between regions is used up. Nothing was sent.
var errLinkBudget = errors.New("the byte budget of the link between regions is used up")

// headerWaitUs is the header for the time that a request spent in the answering daemon, in microseconds.
const headerWaitUs = "Waxwingslip-Wait-Us"

// forward sends the call to a peer daemon of another zone.
func (g *Gateway) forward(ctx context.Context, c *call, candidate routing.Candidate, purpose Purpose) (*answer, error) {
	crossesLink := candidate.Distance == routing.DistanceLink
	if crossesLink && !g.takeLinkBytes(int64(headerBytes(c.header))+max(0, c.contentLength)) {
		g.metrics.add(metricLinkDenied, 1)
		return nil, errLinkBudget
	}
	ctx, span := g.opts.Tracer.Start(ctx, "forward to zone", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("zone", candidate.Zone)))
	defer span.End()
	body, err := c.body.open()
	if err != nil {
		return nil, &NotSentError{Step: "forward", Peer: candidate.Zone, Err: err}
	}
	if crossesLink && c.contentLength < 0 {
		body = &meteredBody{body, g}
	}
	header := c.header.Clone()
	g.client.propagator.Inject(ctx, propagation.HeaderCarrier(header))
	started := time.Now()
	c.stats.attempts++
	g.metrics.add(metricForwarded, 1)
	fa, err := g.opts.Forwarder.Forward(ctx, candidate.Zone, &ForwardRequest{Purpose: purpose, Service: c.service.Name,
		Method: c.method, Path: c.path, Header: header, Body: readerOnly{body}, ContentLength: c.contentLength,
		Timeout: c.timeLeft(started), TimeoutCoversBody: c.deadlineCoversBody})
	if err != nil {
		_ = body.Close()
		c.recordFailure(err)
		return nil, err
	}
	a := answerFromPeer(fa, candidate.Zone, time.Since(started))
	a.body = &closeFunc{ReadCloser: a.body, after: func() { _ = body.Close() }}
	if crossesLink {
		g.chargeLinkBytes(int64(headerBytes(a.header)))
		a.body = &meteredBody{a.body, g}
	}
	if a.outcome == OutcomeUnknown && purpose == PurposeRoute && c.idempotent {
		discard(a)
		c.stats.maybeSent = true
		return nil, &SentError{Step: "forward", Peer: candidate.Zone, Err: errors.Errorf("status %d", a.status)}
	}
	if a.outcome == OutcomeNotRun && purpose == PurposeRoute {
		// No endpoint received a byte, so another zone may be tried.
		discard(a)
		return nil, &NotSentError{Step: "forward", Peer: candidate.Zone, Err: errors.Errorf("status %d", a.status)}
	}
	return a, nil
}

// readerOnly hides the body's Close method: the forwarder must not close the body after a daemon that received
// nothing, because it may send the same body to another daemon.
type readerOnly struct{ io.Reader }

// answerFromPeer converts a peer's answer. An answer without a valid outcome counts as unknown.
func answerFromPeer(fa *ForwardResponse, zone string, total time.Duration) *answer {
	a := &answer{status: fa.Status, header: endToEnd(fa.Header), body: fa.Body, contentLength: -1, trailer: fa.Trailer,
		outcome: Outcome(fa.Header.Get(HeaderOutcome)), zone: zone}
	if a.body == nil {
		a.body = http.NoBody
	}
	if n, err := strconv.ParseInt(fa.Header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		a.contentLength = n
	}
	switch a.outcome {
	case OutcomeAnswered, OutcomeNotRun, OutcomeUnknown:
	default:
		a.outcome = OutcomeUnknown
	}
	waitUs, _ := strconv.ParseInt(a.header.Get(headerWaitUs), 10, 64)
	wait := min(max(0, time.Duration(waitUs)*time.Microsecond), total)
	endpointTime, reported := parseEndpointTime(a.header)
	endpointTime = min(endpointTime, total-wait)
	a.timeBreakdown, a.endpointTimeReported =
		TimeBreakdown{Network: total - wait - endpointTime, Endpoint: endpointTime}, reported
	a.header.Del(headerWaitUs)
	a.header.Del(HeaderOutcome)
	return a
}

// ServeForward serves a request that a peer daemon forwarded. The answer's body must be closed. The body of req is
// not read after the answer's body was closed.
func (g *Gateway) ServeForward(ctx context.Context, req *ForwardRequest) *ForwardResponse {
	c, refused := g.parseForward(req)
	if refused == nil && !g.beginForwarded() {
		refused = errorAnswer(http.StatusServiceUnavailable, forwardRefusalOutcome(req), "daemon is shutting down")
	}
	if refused != nil {
		return g.answerToPeer(refused, func() {})
	}
	g.metrics.add(metricAccepted, 1)
	g.metrics.add(metricInFlight, 1)
	ctx = g.client.propagator.Extract(ctx, propagation.HeaderCarrier(c.header))
	ctx, span := g.opts.Tracer.Start(ctx, "forwarded request", trace.WithSpanKind(trace.SpanKindServer))
	ctx, stopDeadline, cancel := c.withDeadline(ctx)
	a := g.handle(ctx, c, req.Purpose == PurposeClaim)
	if !c.deadlineCoversBody {
		stopDeadline()
	}
	g.observe(c, a)
	return g.answerToPeer(a, func() {
		cancel()
		span.End()
		g.metrics.add(metricInFlight, -1)
		g.background.Done()
	})
}

// answerToPeer converts an answer for a peer; done is called when its body is closed.
func (g *Gateway) answerToPeer(a *answer, done func()) *ForwardResponse {
	h := a.header
	h.Set(HeaderOutcome, string(a.outcome))
	h.Set(headerWaitUs, strconv.FormatInt(a.timeBreakdown.Wait.Microseconds(), 10))
	if a.outcome == OutcomeAnswered && !a.endpointTimeReported {
		h.Set(HeaderEndpointUs, strconv.FormatInt(a.timeBreakdown.Endpoint.Microseconds(), 10))
	}
	if a.contentLength >= 0 && h.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.FormatInt(a.contentLength, 10))
	}
	g.metrics.add(metricOutcome+string(a.outcome), 1)
	return &ForwardResponse{Status: a.status, Header: h, Trailer: a.trailer,
		Body: &closeFunc{ReadCloser: a.body, after: done}}
}

// beginForwarded counts a forwarded request as in flight. It returns false once Shutdown waits for the last ones.
func (g *Gateway) beginForwarded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.background.Add(1)
	return true
}

// forwardRefusalOutcome returns the outcome of a forwarded request that is refused before its key was claimed. With
// PurposeClaim it is unknown, because only the claims show whether an earlier attempt has run.
func forwardRefusalOutcome(req *ForwardRequest) Outcome {
	if req.Purpose == PurposeClaim {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// parseForward validates a forwarded request and returns either a call or an error answer.
func (g *Gateway) parseForward(req *ForwardRequest) (*call, *answer) {
	refuse := func(status int, message string) (*call, *answer) {
		g.metrics.add(metricRefused, 1)
		return nil, errorAnswer(status, forwardRefusalOutcome(req), message)
	}
	if headerBytes(req.Header) > 2*MaxHeaderBytes {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, "request header is too large")
	}
	service, ok := g.opts.Catalog.Service(req.Service)
	if !ok {
		return refuse(http.StatusNotFound, "unknown service "+req.Service)
	}
	c := &call{service: service, method: req.Method, path: req.Path, header: endToEnd(req.Header),
		contentLength: req.ContentLength, key: req.Header.Get(HeaderKey), mayForward: req.Purpose == PurposeClaim,
		forwarded: true, arrived: time.Now(), deadlineCoversBody: req.TimeoutCoversBody}
	c.idempotent = isIdempotent(service, req.Method, req.Path)
	if req.Timeout > 0 {
		c.deadline = c.arrived.Add(req.Timeout)
	}
	var err error
	if c.body, err = newBody(req.Body, req.ContentLength); err != nil {
		return refuse(http.StatusBadRequest, err.Error())
	}
	return c, nil
}

// meteredBody charges the bytes that are read to the link's byte budget.
type meteredBody struct {
	io.ReadCloser
	g *Gateway
}

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.g.chargeLinkBytes(int64(n))
	return n, err
}

// takeLinkBytes takes the n bytes of a request from the link's budget. It returns false if the budget is used up.
func (g *Gateway) takeLinkBytes(n int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	rate := g.opts.Catalog.LinkRate()
	if rate <= 0 {
		return false
	}
	now := g.now()
	// The burst is one second's worth of bytes. A larger request is allowed if nothing was sent in the last second.
	g.linkBudget.SetRate(rate, rate, now)
	if !g.linkBudget.Take(now, min(float64(n), rate)) {
		return false
	}
	g.linkBudget.Charge(now, max(0, float64(n)-rate))
	return true
}

// chargeLinkBytes charges bytes that were already transferred.
func (g *Gateway) chargeLinkBytes(n int64) {
	if n <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.linkBudget.Charge(g.now(), float64(n))
}
