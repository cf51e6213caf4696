package gateway

import (
	"context"
	"io"
	"time"

	"waxwingslip.example/core/routing"
)

// hedgedCall is one call that is sent to one or two endpoints.
type hedgedCall struct {
	results chan attemptResult
	cancels []context.CancelFunc
	pending int
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	index  int
	answer *answer
	err    error
}

// tryHedged sends the call to one endpoint, and to a second one if the first takes longer than p95 and the budget
// allows it. The first answer is used, and the other attempt is cancelled. used lists the endpoints that were tried.
func (g *Gateway) tryHedged(ctx context.Context, c *call, l *lease) (a *answer, used []routing.Ref, err error) {
	used = []routing.Ref{l.ref}
	c.stats.attempts++
	delay, known := l.b.hedgeDelay()
	if !known || !c.idempotent || !c.body.allowsConcurrentReads() {
		a, err = g.tryEndpoint(ctx, c, l)
		c.recordFailure(err)
		return a, used, err
	}
	h := &hedgedCall{results: make(chan attemptResult, 2)}
	h.start(ctx, g, c, l)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for h.pending > 0 {
		select {
		case <-timer.C:
			if second := g.acquireHedge(c, l, used); second != nil {
				used = append(used, second.ref)
				h.start(ctx, g, c, second)
			}
		case t := <-h.results:
			h.pending--
			timer.Stop()
			if t.err == nil && (h.pending == 0 || !isGatewayError(t.answer.status)) {
				h.finish(g, t)
				return t.answer, used, nil
			}
			c.recordFailure(t.err)
			c.stats.maybeSent = c.stats.maybeSent || t.err == nil
			discard(t.answer)
			h.cancels[t.index]()
			err = t.err
		}
	}
	return nil, used, err
}

// acquireHedge leases a second endpoint and takes an attempt from the hedge budget. It returns nil if there is no such
// endpoint or the budget is used up.
func (g *Gateway) acquireHedge(c *call, first *lease, used []routing.Ref) *lease {
	b := first.b
	second := b.pickUntried(used)
	if second == nil {
		return nil
	}
	if !b.spend(b.hedges) {
		second.release()
		return nil
	}
	c.stats.hedged = true
	c.stats.attempts++
	g.metrics.add(metricHedged, 1)
	return second
}

func (h *hedgedCall) start(ctx context.Context, g *Gateway, c *call, l *lease) {
	ctx, cancel := context.WithCancel(ctx)
	index := len(h.cancels)
	h.cancels = append(h.cancels, cancel)
	h.pending++
	go func() {
		a, err := g.tryEndpoint(ctx, c, l)
		h.results <- attemptResult{index, a, err}
	}()
}

// finish cancels the other attempts, and the winner's when its answer's body is closed.
func (h *hedgedCall) finish(g *Gateway, winner attemptResult) {
	for i, cancel := range h.cancels {
		if i != winner.index {
			cancel()
		}
	}
	winner.answer.body = &cancelBody{winner.answer.body, h.cancels[winner.index]}
	if h.pending == 0 {
		return
	}
	g.background.Go(func() {
		for range h.pending {
			discard((<-h.results).answer)
		}
	})
}

// cancelBody cancels an attempt's context when the body of its answer is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
