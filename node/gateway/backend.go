package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"waxwingslip.example/core/routing"
)

// Reasons for which a request gets no endpoint of this zone. Nothing was sent.
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
	// changed is closed when the endpoints must be read again; nil before the first reading.
	changed <-chan struct{}
	// endpoints are those of the last reading, by id.
	endpoints map[string]*knownEndpoint
}

// knownEndpoint is an endpoint with its network distance; the backend's lock guards rtt.
type knownEndpoint struct {
	Endpoint
	// rtt is the shortest connection set-up so far, 0 if unknown.
	rtt time.Duration
}

func newBackend(name string, o Options, now func() time.Duration, m *metrics) *backend {
	return &backend{name: name, source: o.Endpoints, now: now, metrics: m,
		random:  rand.New(rand.NewPCG(o.Seed, uint64(len(name)))),
		pool:    routing.NewPool(o.Routing),
		queue:   routing.NewQueue(o.QueueLimit),
		retries: routing.NewBudget(routing.RetryShare, 20),
		hedges:  routing.NewBudget(routing.HedgeShare, 5),
		latency: routing.NewLatency(now()), endpoints: map[string]*knownEndpoint{}}
}

// reload reads the endpoints again if they changed. The lock is held. The channel is taken before the list, so
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
		b.changed = make(chan struct{}) // a source without changes
	}
	old := b.endpoints
	b.endpoints = map[string]*knownEndpoint{}
	var targets []routing.Target
	for _, e := range b.source.Endpoints(b.name) {
		id := e.Address + "/" + e.Run
		known := &knownEndpoint{Endpoint: e}
		if o := old[id]; o != nil {
			known.rtt = o.rtt
		}
		b.endpoints[id] = known
		targets = append(targets, routing.Target{ID: id, Leaving: e.Leaving})
	}
	b.pool.Update(targets)
}

// lease is one request's use of an endpoint, from the choice to the end of the answer's body.
type lease struct {
	b        *backend
	ref      routing.Ref
	endpoint *knownEndpoint
	once     sync.Once
}

// waiter is a request in the queue. got receives one value: a lease, or an error.
type waiter struct {
	routing.Waiting
	got chan waitResult
}

type waitResult struct {
	lease *lease
	err   error
}

// acquire chooses an endpoint and waits for one in the queue if all are busy.
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
	w := &waiter{Waiting: routing.Waiting{Deadline: deadline}, got: make(chan waitResult, 1)}
	w.Owner = w
	verdict := b.queue.Enqueue(b.now(), &w.Waiting, b.pool.Slots())
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
		case r := <-w.got:
			return r.lease, r.err
		case <-changed:
			b.mu.Lock()
			b.reload()
			b.dispatch()
			changed = b.changed
			b.mu.Unlock()
		case <-ctx.Done():
			b.mu.Lock()
			removed := b.queue.Remove(&w.Waiting)
			b.mu.Unlock()
			if !removed {
				if r := <-w.got; r.lease != nil {
					r.lease.release()
				}
			}
			return nil, errors.Wrap(context.Cause(ctx), "wait for an endpoint")
		}
	}
}

// another chooses an endpoint that was not tried yet, without waiting; nil if there is none.
func (b *backend) another(tried []routing.Ref) *lease {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reload()
	return b.pick(tried)
}

// pick chooses an endpoint; nil if none has room. The lock is held.
func (b *backend) pick(avoid []routing.Ref) *lease {
	ref, ok := b.pool.Pick(b.now(), b.random, avoid...)
	if !ok {
		return nil
	}
	return &lease{b: b, ref: ref, endpoint: b.endpoints[ref.ID()]}
}

// dispatch gives free endpoints to waiting requests. The lock is held.
func (b *backend) dispatch() {
	for b.queue.Len() > 0 {
		l := b.pick(nil)
		if l == nil && b.pool.Usable() > 0 {
			return
		}
		next, shed := b.queue.Next(b.now())
		for _, w := range shed {
			w.Owner.(*waiter).got <- waitResult{err: errTooLate}
		}
		switch {
		case next == nil && l != nil:
			b.pool.Release(l.ref)
		case next != nil && l == nil:
			next.Owner.(*waiter).got <- waitResult{err: errNoEndpoint}
		case next != nil:
			next.Owner.(*waiter).got <- waitResult{lease: l}
		}
	}
}

// release ends the use of the endpoint.
func (l *lease) release() {
	l.once.Do(func() {
		l.b.mu.Lock()
		defer l.b.mu.Unlock()
		l.b.pool.Release(l.ref)
		l.b.dispatch()
	})
}

// observe learns from the attempt's result.
func (l *lease) observe(latency time.Duration, result routing.Result) {
	b := l.b
	b.mu.Lock()
	defer b.mu.Unlock()
	now, before := b.now(), b.pool.Ejections()
	b.pool.Observe(l.ref, now, latency, result)
	b.metrics.add(metricEjected, b.pool.Ejections()-before)
	if result == routing.ResultOK {
		b.queue.RecordService(latency)
		b.latency.Record(now, latency)
	}
}

// leaving stops new requests to the endpoint at once.
func (l *lease) leaving() {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.b.pool.MarkLeaving(l.ref)
}

// roundTrip records the time of a connection set-up, if there was one, and returns the shortest so far.
func (l *lease) roundTrip(connect time.Duration) time.Duration {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	if connect > 0 && (l.endpoint.rtt == 0 || connect < l.endpoint.rtt) {
		l.endpoint.rtt = connect
	}
	return l.endpoint.rtt
}

// earn counts a request in the budgets for retries and hedges.
func (b *backend) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.Earn()
	b.hedges.Earn()
}

// spend takes an attempt from a budget of this backend.
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
