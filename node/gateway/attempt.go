package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// client sends single attempts to endpoints.
type client struct {
	transport  *http.Transport
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
}

func newClient(connectTimeout time.Duration, idlePerEndpoint int, tracer trace.Tracer) *client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &client{
		tracer:     tracer,
		propagator: propagation.TraceContext{},
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countedConn{Conn: conn}, nil
			},
			// Content encoding is negotiated between the caller and the endpoint.
			DisableCompression:     true,
			MaxIdleConnsPerHost:    idlePerEndpoint,
			IdleConnTimeout:        30 * time.Second,
			MaxResponseHeaderBytes: MaxHeaderBytes,
		},
	}
}

// attempt is one request to one endpoint. mu guards the fields that the trace hooks write.
type attempt struct {
	mu             sync.Mutex
	conn           *countedConn
	baselineWrites int64
	times          attemptTimes
}

// attemptTimes holds the monotonic times of one attempt's steps; the zero time means that a step was not reached.
type attemptTimes struct {
	started, dialed, connected, wrote, firstByte time.Time
	// newConn is true if a connection was opened for the attempt.
	newConn bool
}

// breakdown returns the breakdown of the attempt's time. It uses the endpoint's processing time if it was reported;
// otherwise it subtracts one round trip, estimated by connectRTT, from the time between request and answer.
func (t attemptTimes) breakdown(reported time.Duration, isReported bool, connectRTT time.Duration) TimeBreakdown {
	var b TimeBreakdown
	if t.connected.IsZero() || t.firstByte.IsZero() {
		return b
	}
	network := time.Duration(0)
	if t.newConn && !t.dialed.IsZero() {
		network = t.connected.Sub(t.dialed)
	}
	b.Wait = t.connected.Sub(t.started) - network
	exchange := t.firstByte.Sub(t.connected)
	b.Endpoint = max(0, exchange-connectRTT)
	if isReported {
		b.Endpoint = min(reported, exchange)
	}
	b.Network = network + exchange - b.Endpoint
	return b
}

func (a *attempt) traceHooks() *httptrace.ClientTrace {
	set := func(f func(now time.Time)) {
		now := time.Now()
		a.mu.Lock()
		defer a.mu.Unlock()
		f(now)
	}
	return &httptrace.ClientTrace{
		ConnectStart: func(string, string) { set(func(now time.Time) { a.times.dialed = now }) },
		GotConn: func(info httptrace.GotConnInfo) {
			set(func(now time.Time) {
				a.times.connected, a.times.newConn = now, !info.Reused
				if conn, ok := info.Conn.(*countedConn); ok {
					a.conn, a.baselineWrites = conn, conn.writes()
				}
			})
		},
		WroteRequest:         func(httptrace.WroteRequestInfo) { set(func(now time.Time) { a.times.wrote = now }) },
		GotFirstResponseByte: func() { set(func(now time.Time) { a.times.firstByte = now }) },
	}
}

// closeAndCheckSent reports whether a byte of a failed attempt may have left this process. It closes the attempt's
// connection, so that none can leave afterwards.
func (a *attempt) closeAndCheckSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil && a.conn.stopWrites() > a.baselineWrites
}

func (a *attempt) timing() attemptTimes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.times
}

// do sends the call to address. The error is a *NotSentError or a *SentError. The answer's body must be closed.
func (cl *client) do(ctx context.Context, c *call, address string) (*answer, attemptTimes, error) {
	ctx, span := cl.tracer.Start(ctx, "endpoint request", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("service", c.service.Name), attribute.String("endpoint", address)))
	defer span.End()
	a := &attempt{}
	a.times.started = time.Now()
	req, err := cl.request(httptrace.WithClientTrace(ctx, a.traceHooks()), c, address)
	if err != nil {
		return nil, a.timing(), &NotSentError{Step: "endpoint request", Peer: address, Err: err}
	}
	resp, err := cl.transport.RoundTrip(req)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		if a.closeAndCheckSent() {
			return nil, a.timing(), &SentError{Step: "endpoint request", Peer: address, Err: err}
		}
		return nil, a.timing(), &NotSentError{Step: "endpoint request", Peer: address, Err: err}
	}
	if !isSelfDelimited(resp) {
		_ = resp.Body.Close()
		return nil, a.timing(), &SentError{Step: "endpoint answer", Peer: address, Err: errNoLength}
	}
	span.SetAttributes(attribute.Int("status", resp.StatusCode))
	return answerFromResponse(resp), a.timing(), nil
}

// replayHeaders are the headers with which net/http's transport itself repeats a request without a body after a
// reused connection broke, even if the endpoint had received it.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// errNoLength means that the end of an answer cannot be distinguished from a broken connection.
var errNoLength = errors.New("the answer has neither a length nor chunks")

// isSelfDelimited reports whether the end of an answer's body can be distinguished from a broken connection. If the
// endpoint marks the end by closing the connection, every truncated answer looks complete.
func isSelfDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || resp.Body == http.NoBody || slices.Contains(resp.TransferEncoding, "chunked")
}

// request builds the endpoint's request so that the transport never repeats one that is not idempotent: the request
// has no GetBody, and the transport finds the replay headers only under their canonical names.
func (cl *client) request(ctx context.Context, c *call, address string) (*http.Request, error) {
	target, err := url.Parse("http://" + address + c.path)
	if err != nil {
		return nil, errors.Wrap(err, "endpoint address or path")
	}
	body, err := c.body.open()
	if err != nil {
		return nil, err
	}
	header := c.header.Clone()
	cl.propagator.Inject(ctx, propagation.HeaderCarrier(header))
	if !c.idempotent {
		for _, name := range replayHeaders {
			if values, set := header[name]; set {
				delete(header, name)
				header[strings.ToLower(name)] = values
			}
		}
	}
	if _, set := header["User-Agent"]; !set {
		header["User-Agent"] = nil // prevents the transport's default
	}
	req := &http.Request{Method: c.method, URL: target, Host: address, Header: header, Body: body,
		ContentLength: c.contentLength, Trailer: c.trailer, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	return req.WithContext(ctx), nil
}

// answerFromResponse converts an endpoint's response. Reading its body fails unless it is complete.
func answerFromResponse(resp *http.Response) *answer {
	var announced []string
	for name := range resp.Trailer {
		announced = append(announced, name)
	}
	a := &answer{
		status: resp.StatusCode, header: endToEnd(resp.Header), body: resp.Body,
		contentLength: resp.ContentLength, announced: announced,
		trailer: func() http.Header { return resp.Trailer }, outcome: OutcomeAnswered,
		closing: resp.Close,
	}
	a.header.Del(HeaderOutcome)
	return a
}

// discard closes the body of an answer, which may be nil.
func discard(a *answer) {
	if a != nil && a.body != nil {
		_ = a.body.Close()
	}
}

// closeFunc is a body that calls after when it is first closed.
type closeFunc struct {
	io.ReadCloser
	once  sync.Once
	after func()
}

// Close implements io.Closer.
func (c *closeFunc) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.after)
	return err
}
