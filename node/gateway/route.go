package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"waxwingslip.example/core/routing"
)

// maxUnsentRetries limits the attempts that fail without a byte sent, for instance because the connection was
// refused. They put no load on the endpoints and are not taken from the retry budget.
const maxUnsentRetries = 3

// errRetryBudget means that the retry budget does not allow another attempt.
var errRetryBudget = errors.New("the retry budget is used up")

// route sends the call to an endpoint in this zone, or to another zone.
func (g *Gateway) route(ctx context.Context, c *call) *answer {
	b := g.backend(c.service.Name)
	b.earn()
	var last error = errNoEndpoint
	for _, candidate := range g.candidateZones(c) {
		a, err := g.routeTo(ctx, c, b, candidate)
		if err == nil {
			return g.withWaitTime(c, a)
		}
		if !errors.Is(err, errNoEndpoint) || errors.Is(last, errNoEndpoint) {
			last = err
		}
		if ctx.Err() != nil || !g.mayTryNext(c, b, err) {
			break
		}
	}
	return g.answerForError(ctx, c, last)
}

// mayTryNext reports whether the call may go to another zone after err. If the attempt may have sent a byte, it takes
// the next one from the retry budget.
func (g *Gateway) mayTryNext(c *call, b *backend, err error) bool {
	if !routing.MayRepeat(c.idempotent, c.stats.maybeSent, c.body.reusable()) {
		return false
	}
	return notSent(err) || isSelectionError(err) || b.spend(b.retries)
}

// isSelectionError reports whether err occurred before an endpoint or a peer was chosen.
func isSelectionError(err error) bool {
	return errors.Is(err, errNoEndpoint) || errors.Is(err, errQueueFull) || errors.Is(err, errTooLate) ||
		errors.Is(err, errLinkBudget)
}

// candidateZones returns the zones to try, the nearest first.
func (g *Gateway) candidateZones(c *call) []routing.Candidate {
	if !c.mayForward || g.opts.Forwarder == nil {
		return []routing.Candidate{{Zone: g.opts.Zone}}
	}
	var zones []routing.Zone
	for _, z := range g.opts.Catalog.Zones() {
		if z.Name == g.opts.Zone || !z.OutOfService && c.service.hasReplicasIn(z.Name) {
			zones = append(zones, routing.Zone{Name: z.Name, Region: z.Region})
		}
	}
	order := routing.OrderZones(g.opts.Zone, zones, int(g.zoneRotation.Add(1)&0xffff))
	if len(order) == 0 || order[0].Distance != routing.DistanceLocal {
		order = append([]routing.Candidate{{Zone: g.opts.Zone}}, order...)
	}
	return order
}

// hasReplicasIn reports whether the service may have replicas in a zone; without a list of zones it may be in any.
func (s Service) hasReplicasIn(zone string) bool {
	for _, z := range s.Zones {
		if z == zone {
			return true
		}
	}
	return len(s.Zones) == 0
}

func (g *Gateway) routeTo(ctx context.Context, c *call, b *backend, candidate routing.Candidate) (*answer, error) {
	if candidate.Distance == routing.DistanceLocal {
		return g.routeLocal(ctx, c, b)
	}
	return g.forward(ctx, c, candidate, PurposeRoute)
}

// routeLocal sends the call to an endpoint in this zone, and to others if that fails and the call may be repeated.
func (g *Gateway) routeLocal(ctx context.Context, c *call, b *backend) (*answer, error) {
	deadline := time.Duration(0)
	if !c.deadline.IsZero() {
		deadline = c.deadline.Sub(g.started)
	}
	l, err := b.acquire(ctx, deadline)
	if err != nil {
		if errors.Is(err, errQueueFull) || errors.Is(err, errTooLate) {
			g.metrics.add(metricShed, 1)
		}
		return nil, err
	}
	var avoid []routing.Ref
	for unsentRetries := 0; ; {
		a, used, err := g.tryHedged(ctx, c, l)
		avoid = append(avoid, used...)
		retryAnswer := err == nil && isGatewayError(a.status) && c.idempotent
		if err == nil && !retryAnswer {
			return a, nil
		}
		if notSent(err) {
			unsentRetries++
		}
		next, nextErr := g.nextEndpoint(ctx, c, b, avoid, notSent(err), unsentRetries)
		if nextErr != nil {
			return a, err // a is the endpoint's error answer, if there is one
		}
		if a != nil {
			c.stats.maybeSent = true
			discard(a)
		}
		g.metrics.add(metricRetried, 1)
		l = next
	}
}

// nextEndpoint returns an endpoint for another attempt, or the reason why there is none.
func (g *Gateway) nextEndpoint(ctx context.Context, c *call, b *backend, avoid []routing.Ref, skipBudget bool,
	unsentRetries int) (*lease, error) {
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	if !routing.MayRepeat(c.idempotent, c.stats.maybeSent, c.body.reusable()) || unsentRetries > maxUnsentRetries {
		return nil, errors.New("the request may not be repeated")
	}
	l := b.pickUntried(avoid)
	if l == nil {
		return nil, errNoEndpoint
	}
	if !skipBudget && !b.spend(b.retries) {
		l.release()
		return nil, errRetryBudget
	}
	return l, nil
}

// withWaitTime sets the answer's wait time: what was spent neither on the network nor in the endpoint.
func (g *Gateway) withWaitTime(c *call, a *answer) *answer {
	a.timeBreakdown.Wait = max(0, time.Since(c.arrived)-a.timeBreakdown.Network-a.timeBreakdown.Endpoint)
	return a
}

// answerForError returns the answer for a call whose last attempt failed with err.
func (g *Gateway) answerForError(ctx context.Context, c *call, err error) *answer {
	outcome := OutcomeNotRun
	if c.stats.maybeSent {
		outcome = OutcomeUnknown
	}
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(context.Cause(ctx), errDeadline), errors.Is(err, errDeadline):
		status = http.StatusGatewayTimeout
	case c.stats.maybeSent:
		status = http.StatusBadGateway
	}
	a := errorAnswer(status, outcome, "service "+c.service.Name+": "+err.Error())
	if status == http.StatusServiceUnavailable {
		a.header.Set("Retry-After", "1")
	}
	return g.withWaitTime(c, a)
}
