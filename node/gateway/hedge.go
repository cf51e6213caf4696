package gateway

import (
	"context"
	"io"
	"time"

	"waxwingslip.example/core/routing"
)

// race is one call at one or two endpoints.
type race struct {
	results chan tried
	cancels []context.CancelFunc
	pending int
}

// tried is the result of one attempt.
type tried struct {
	index  int
	answer *answer
	err    error
}

// tryHedged sends the call to one endpoint, and to a second one if the first takes longer than p95 and the budget
// allows it. The first answer wins; the other attempt is cancelled. used lists the endpoints that were tried.
func (g *Gateway) tryHedged(ctx context.Context, c *call, l *lease) (a *answer, used []routing.Ref, err error) {
	used = []routing.Ref{l.ref}
	c.stats.attempts++
	delay, known := l.b.hedgeDelay()
	if !known || !c.idempotent || !c.body.concurrent() {
		a, err = g.try(ctx, c, l)
		c.noteSent(err)
		return a, used, err
	}
	r := &race{results: make(chan tried, 2)}
	r.start(ctx, g, c, l)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for r.pending > 0 {
		select {
		case <-timer.C:
			if second := g.hedge(c, l, used); second != nil {
				used = append(used, second.ref)
				r.start(ctx, g, c, second)
			}
		case t := <-r.results:
			r.pending--
			timer.Stop()
			if t.err == nil && (r.pending == 0 || !isGatewayError(t.answer.status)) {
				r.finish(g, t)
				return t.answer, used, nil
			}
			c.noteSent(t.err)
			c.stats.sent = c.stats.sent || t.err == nil
			discard(t.answer)
			r.cancels[t.index]()
			err = t.err
		}
	}
	return nil, used, err
}

// hedge takes a second endpoint and an attempt from the budget; nil if there is no such.
func (g *Gateway) hedge(c *call, first *lease, used []routing.Ref) *lease {
	b := first.b
	second := b.another(used)
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

func (r *race) start(ctx context.Context, g *Gateway, c *call, l *lease) {
	ctx, cancel := context.WithCancel(ctx)
	index := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.pending++
	go func() {
		a, err := g.try(ctx, c, l)
		r.results <- tried{index, a, err}
	}()
}

// finish cancels the losers, and the winner when its answer was read.
func (r *race) finish(g *Gateway, winner tried) {
	for i, cancel := range r.cancels {
		if i != winner.index {
			cancel()
		}
	}
	winner.answer.body = &cancelBody{winner.answer.body, r.cancels[winner.index]}
	if r.pending == 0 {
		return
	}
	g.background.Go(func() {
		for range r.pending {
			discard((<-r.results).answer)
		}
	})
}

// cancelBody ends an attempt's context with its answer.
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
