package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"waxwingslip.example/core/routing"
)

// Reasons why a request gets no endpoint in this zone. Nothing was sent.
var (
	errNoEndpoint = errors.New("no endpoint is available in this zone")
	errQueueFull  = errors.New("the service's queue is full")
	errTooLate    = errors.New("the request cannot finish before its deadline")
)

// backend is the state of one service in this zone. mu guards all fields below it.
type backend struct {
	name    string
	source  EndpointSource
	now     func() time.Duration
	metrics *metrics

	mu      sync.Mutex
	random  *rand.Rand
	pool    *routing.Pool
	queue   *routing.Queue
	retries *routing.Budget
	hedges  *routing.Budget
	latency *routing.Latency
	// changed is closed when the endpoints must be read again; it is nil before they are first read.
	changed <-chan struct{}
	// endpoints holds the endpoints that were last read, by id.
	endpoints map[string]*endpointState
}

// endpointState is an endpoint with its network latency; the backend's mu guards rtt.
type endpointState struct {
	Endpoint
	// rtt is the shortest time to connect so far, 0 if it is not known.
	rtt time.Duration
}

func newBackend(name string, o Options, now func() time.Duration, m *metrics) *backend {
	return &backend{name: name, source: o.Endpoints, now: now, metrics: m,
		random:  rand.New(rand.NewPCG(o.Seed, uint64(len(name)))),
		pool:    routing.NewPool(o.Routing),
		queue:   routing.NewQueue(o.QueueLimit),
		retries: routing.NewBudget(routing.RetryShare, 20),
		hedges:  routing.NewBudget(routing.HedgeShare, 5),
		latency: routing.NewLatency(now()), endpoints: map[string]*endpointState{}}
}

// reload reads the endpoints again if they changed. The caller holds mu. The channel is read before the list, so
// that no change is missed.
func (b *backend) reload() {
	if b.changed != nil {
		select {
		case <-b.changed:
		default:
			return
		}
	}
	b.changed = b.source.Changed()
	if b.changed == nil {
		b.changed = make(chan struct{}) // a source that never changes
	}
	old := b.endpoints
	b.endpoints = map[string]*endpointState{}
	var targets []routing.Target
	for _, e := range b.source.Endpoints(b.name) {
		id := e.Address + "/" + e.Run
		state := &endpointState{Endpoint: e}
		if o := old[id]; o != nil {
			state.rtt = o.rtt
		}
		b.endpoints[id] = state
		targets = append(targets, routing.Target{ID: id, Leaving: e.Leaving})
	}
	b.pool.Update(targets)
}

// lease is one request's use of an endpoint, from its selection until the answer's body is closed.
type lease struct {
	b        *backend
	ref      routing.Ref
	endpoint *endpointState
	once     sync.Once
}

// waiter is a request in the queue. result receives one value: a lease or an error.
type waiter struct {
	routing.QueuedRequest
	result chan waitResult
}

type waitResult struct {
	lease *lease
	err   error
}

// acquire leases an endpoint, and waits in the queue if all are busy.
func (b *backend) acquire(ctx context.Context, deadline time.Duration) (*lease, error) {
	b.mu.Lock()
	b.reload()
	b.dispatch()
	if b.queue.Len() == 0 {
		if l := b.pick(nil); l != nil {
			b.mu.Unlock()
			return l, nil
		}
	}
	if b.pool.Usable() == 0 {
		b.mu.Unlock()
		return nil, errNoEndpoint
	}
	w := &waiter{QueuedRequest: routing.QueuedRequest{Deadline: deadline}, result: make(chan waitResult, 1)}
	w.Owner = w
	verdict := b.queue.Enqueue(b.now(), &w.QueuedRequest, b.pool.Slots())
	changed := b.changed
	b.mu.Unlock()
	switch verdict {
	case routing.ShedFull:
		return nil, errQueueFull
	case routing.ShedLate:
		return nil, errTooLate
	}
	return b.wait(ctx, w, changed)
}

func (b *backend) wait(ctx context.Context, w *waiter, changed <-chan struct{}) (*lease, error) {
	for {
		select {
		case r := <-w.result:
			return r.lease, r.err
		case <-changed:
			b.mu.Lock()
			b.reload()
			b.dispatch()
			changed = b.changed
			b.mu.Unlock()
		case <-ctx.Done():
			b.mu.Lock()
			removed := b.queue.Remove(&w.QueuedRequest)
			b.mu.Unlock()
			if !removed {
				if r := <-w.result; r.lease != nil {
					r.lease.release()
				}
			}
			return nil, errors.Wrap(context.Cause(ctx), "wait for an endpoint")
		}
	}
}

// pickUntried leases an endpoint that was not tried yet. It does not wait, and returns nil if there is none.
func (b *backend) pickUntried(tried []routing.Ref) *lease {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reload()
	return b.pick(tried)
}

// pick leases an endpoint; it returns nil if none has capacity. The caller holds mu.
func (b *backend) pick(avoid []routing.Ref) *lease {
	ref, ok := b.pool.Pick(b.now(), b.random, avoid...)
	if !ok {
		return nil
	}
	return &lease{b: b, ref: ref, endpoint: b.endpoints[ref.ID()]}
}

// dispatch assigns free endpoints to waiting requests. The caller holds mu.
func (b *backend) dispatch() {
	for b.queue.Len() > 0 {
		l := b.pick(nil)
		if l == nil && b.pool.Usable() > 0 {
			return
		}
		next, shed := b.queue.Next(b.now())
		for _, w := range shed {
			w.Owner.(*waiter).result <- waitResult{err: errTooLate}
		}
		switch {
		case next == nil && l != nil:
			b.pool.Release(l.ref)
		case next != nil && l == nil:
			next.Owner.(*waiter).result <- waitResult{err: errNoEndpoint}
		case next != nil:
			next.Owner.(*waiter).result <- waitResult{lease: l}
		}
	}
}

// release returns the endpoint's slot, which a waiting request may then get.
func (l *lease) release() {
	l.once.Do(func() {
		l.b.mu.Lock()
		defer l.b.mu.Unlock()
		l.b.pool.Release(l.ref)
		l.b.dispatch()
	})
}

// observe records the result and latency of an attempt for the choice of endpoints, the queue and hedging.
func (l *lease) observe(latency time.Duration, result routing.Result) {
	b := l.b
	b.mu.Lock()
	defer b.mu.Unlock()
	now, before := b.now(), b.pool.Ejections()
	b.pool.Observe(l.ref, now, latency, result)
	b.metrics.add(metricEjected, b.pool.Ejections()-before)
	if result == routing.ResultOK {
		b.queue.RecordServiceTime(latency)
		b.latency.Record(now, latency)
	}
}

// markLeaving excludes the endpoint from new requests at once.
func (l *lease) markLeaving() {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.b.pool.MarkLeaving(l.ref)
}

// updateRTT records the time to connect, if a connection was opened, and returns the shortest so far.
func (l *lease) updateRTT(connect time.Duration) time.Duration {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	if connect > 0 && (l.endpoint.rtt == 0 || connect < l.endpoint.rtt) {
		l.endpoint.rtt = connect
	}
	return l.endpoint.rtt
}

// earn credits the budgets for retries and hedges with one request.
func (b *backend) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.Earn()
	b.hedges.Earn()
}

// spend takes an attempt from a budget of this backend and reports whether the budget allowed it.
func (b *backend) spend(budget *routing.Budget) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return budget.Spend()
}

// hedgeDelay returns the recent p95, after which a request may be hedged.
func (b *backend) hedgeDelay() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latency.P95()
}
