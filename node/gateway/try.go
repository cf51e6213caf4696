package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"waxwingslip.example/core/routing"
)

// tryEndpoint sends the call to the endpoint of a lease. The lease is released when the answer's body is closed, or
// at an error.
func (g *Gateway) tryEndpoint(ctx context.Context, c *call, l *lease) (*answer, error) {
	started := time.Now()
	a, times, err := g.client.do(ctx, c, l.endpoint.Address)
	latency := time.Since(started)
	if err != nil {
		l.observe(latency, failureResult(ctx, c, latency))
		l.release()
		return nil, err
	}
	if a.header.Get(HeaderLeaving) == "1" || a.status == http.StatusServiceUnavailable && a.closing {
		a.leaving = true
		l.markLeaving()
		g.metrics.add(metricLeaving, 1)
	}
	a.header.Del(HeaderLeaving)
	result := routing.ResultOK
	if isGatewayError(a.status) && !a.leaving {
		result = routing.ResultFailed
	}
	l.observe(latency, result)
	connect := time.Duration(0)
	if times.newConn && !times.dialed.IsZero() {
		connect = times.connected.Sub(times.dialed)
	}
	endpointTime, reported := parseEndpointTime(a.header)
	a.timeBreakdown = times.breakdown(endpointTime, reported, l.updateRTT(connect))
	a.endpoint, a.zone, a.endpointTimeReported = l.endpoint.Endpoint, g.opts.Zone, reported
	a.body = &leasedBody{ReadCloser: a.body, lease: l}
	return a, nil
}

// isGatewayError reports whether a status means that the endpoint could not serve any request.
func isGatewayError(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable ||
		status == http.StatusGatewayTimeout
}

// minFailureLatency is the shortest latency at which a missed deadline counts as the endpoint's failure; otherwise
// a caller with very short deadlines could get endpoints ejected.
const minFailureLatency = 100 * time.Millisecond

// failureResult distinguishes a failure of the endpoint from one of the caller and from the cancellation of a hedged
// call's attempt after the other one was answered.
func failureResult(ctx context.Context, c *call, latency time.Duration) routing.Result {
	switch {
	case c.body.sourceFailed():
		return routing.ResultCancelled
	case ctx.Err() != nil && !(errors.Is(context.Cause(ctx), errDeadline) && latency >= minFailureLatency):
		return routing.ResultCancelled
	}
	return routing.ResultFailed
}

// leasedBody releases the lease when it is closed, and counts a broken answer as the endpoint's failure.
type leasedBody struct {
	io.ReadCloser
	lease *lease
}

// Read implements io.Reader.
func (b *leasedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && !errors.Is(err, context.Canceled) {
		b.lease.observe(0, routing.ResultFailed)
	}
	return n, err
}

// Close implements io.Closer.
func (b *leasedBody) Close() error {
	err := b.ReadCloser.Close()
	b.lease.release()
	return err
}
