package stream

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"waxwingslip.example/core/record"
	"waxwingslip.example/external/logstore"
	"waxwingslip.example/node/ctxtime"
)

// AppenderOptions configures an Appender. Zero values give the defaults.
type AppenderOptions struct {
	// MinInterval is the least time between two appends; default 100 ms. The log takes several hundred appends
	// per second in all, and 27 daemons at 10 per second make 270.
	MinInterval time.Duration
	// Timeout limits one append; default 3 s.
	Timeout time.Duration
	// PostTTL is how long a posted record may wait to be sent; default 2 s, one heartbeat interval.
	PostTTL time.Duration
	// MaxRecords and MaxBytes limit one batch; defaults 256 and 256 KiB. A larger single record is sent alone.
	MaxRecords, MaxBytes int
	// MaxQueue limits the records that wait to be sent; default 4,096.
	MaxQueue int
	// NewID returns record ids; default random UUIDs.
	NewID func() uuid.UUID
	Log   zerolog.Logger
	// Appends counts appends that the log confirmed, Ambiguous those without a definite answer, Repeats the
	// records sent again, Dropped the posted records that were not sent in time or found the queue full.
	Appends, Ambiguous, Repeats, Dropped Counter
}

func (o *AppenderOptions) setDefaults() {
	setDefault(&o.MinInterval, 100*time.Millisecond)
	setDefault(&o.Timeout, 3*time.Second)
	setDefault(&o.PostTTL, 2*time.Second)
	setDefault(&o.MaxRecords, 256)
	setDefault(&o.MaxBytes, 256<<10)
	setDefault(&o.MaxQueue, 4096)
	if o.NewID == nil {
		o.NewID = uuid.New
	}
	o.Appends, o.Ambiguous = orDiscard(o.Appends), orDiscard(o.Ambiguous)
	o.Repeats, o.Dropped = orDiscard(o.Repeats), orDiscard(o.Dropped)
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Appender appends records to one stream in groups, in the order of submission.
type Appender struct {
	store    logstore.Store
	follower *Follower
	opts     AppenderOptions
	queue    queue

	// The fields below belong to Run.
	lastSent time.Time
	limit    int // records per batch, lowered while the log rejects batches
	failing  bool
}

// NewAppender returns an Appender for the stream that the follower reads. Run starts it.
func NewAppender(store logstore.Store, follower *Follower, opts AppenderOptions) *Appender {
	opts.setDefaults()
	return &Appender{
		store: store, follower: follower, opts: opts, limit: opts.MaxRecords,
		queue: queue{limit: opts.MaxQueue, signal: make(chan struct{}, 1)},
	}
}

// Submit appends a record and returns the verdict after it was read back in log order. An error that is
// ErrUnknown leaves open whether the record takes effect; any other error means that it never does.
func (a *Appender) Submit(ctx context.Context, body record.Body) (Result, error) {
	return a.SubmitAs(ctx, a.opts.NewID(), body)
}

// SubmitAs is Submit with a record id chosen by the caller. A second record with the same id is a Duplicate.
func (a *Appender) SubmitAs(ctx context.Context, id uuid.UUID, body record.Body) (Result, error) {
	it, err := a.newItem(id, body)
	if err != nil {
		return Result{}, err
	}
	it.ctx, it.waiter = ctx, newWaiter()
	if err := a.queue.push(it); err != nil {
		return Result{}, a.fail(ErrNotAppended, err)
	}
	select {
	case o := <-it.waiter.done:
		return o.result, o.err
	case <-ctx.Done():
	}
	if it.abandon() {
		return Result{}, a.fail(ErrNotAppended, ctx.Err())
	}
	a.follower.forget(it.id, it.waiter)
	select {
	case o := <-it.waiter.done: // settled at the same time
		return o.result, o.err
	default:
		return Result{}, a.fail(ErrUnknown, ctx.Err())
	}
}

// Post queues a record without waiting. It is sent at most once, and not at all if that takes longer than
// PostTTL: it is meant for heartbeats, of which the next one replaces a lost one.
func (a *Appender) Post(body record.Body) error {
	it, err := a.newItem(a.opts.NewID(), body)
	if err != nil {
		return err
	}
	it.ctx, it.expires = context.Background(), time.Now().Add(a.opts.PostTTL)
	if err := a.queue.push(it); err != nil {
		a.opts.Dropped.Add(1)
		return a.fail(ErrNotAppended, err)
	}
	return nil
}

func (a *Appender) newItem(id uuid.UUID, body record.Body) (*item, error) {
	payload, err := record.Encode(record.New(id, body))
	if err != nil {
		return nil, a.fail(ErrNotAppended, err)
	}
	return &item{id: id, payload: payload}, nil
}

func (a *Appender) fail(kind, cause error) error { return a.follower.fail("submit", kind, cause) }

// Run sends queued records until ctx ends. Records that were never sent by then fail with ErrNotAppended.
func (a *Appender) Run(ctx context.Context) error {
	defer a.closeQueue()
	delay := newBackoff(maxDelay)
	for {
		if !a.queue.wait(ctx) {
			return ctx.Err()
		}
		ctxtime.Sleep(ctx, a.opts.MinInterval-time.Since(a.lastSent))
		batch := a.take()
		if ctx.Err() != nil {
			a.queue.unshift(batch)
			return ctx.Err()
		}
		if len(batch) == 0 {
			continue
		}
		if a.send(ctx, batch) {
			delay.Reset()
			continue
		}
		ctxtime.Sleep(ctx, delay.NextBackOff())
		a.recheck(ctx, batch)
	}
}

// take removes the next batch from the queue and marks its records as sent.
func (a *Appender) take() []*item {
	batch, stale := a.queue.take(a.limit, a.opts.MaxBytes, time.Now())
	a.opts.Dropped.Add(int64(stale))
	return batch
}

// send appends the batch once and reports whether the answer was definite.
func (a *Appender) send(ctx context.Context, batch []*item) bool {
	payloads := make([][]byte, len(batch))
	for i, it := range batch {
		payloads[i] = it.payload
		if it.waiter != nil && !it.registered {
			a.register(it)
		}
	}
	a.lastSent = time.Now()
	callCtx, cancel := context.WithTimeout(ctx, a.opts.Timeout)
	_, err := a.store.Append(callCtx, a.follower.opts.Stream, payloads)
	cancel()
	switch {
	case err == nil:
		a.confirmed()
		return true
	case isRejected(err):
		a.rejected(batch, err)
		return true
	}
	a.ambiguous(batch, err)
	return false
}

// register makes the follower settle the record. A caller that gives up removes the registration; the check
// covers one that did so before it existed.
func (a *Appender) register(it *item) {
	it.registered = true
	a.follower.await(it.id, it.waiter)
	if it.ctx.Err() != nil {
		a.follower.forget(it.id, it.waiter)
	}
}

func (a *Appender) confirmed() {
	a.opts.Appends.Add(1)
	a.limit = min(2*a.limit, a.opts.MaxRecords)
	if a.failing {
		a.failing = false
		a.opts.Log.Info().Str("step", "append").Str("stream", a.follower.opts.Stream).Msg("log accepts appends")
	}
}

func (a *Appender) noteFailing(err error) {
	if !a.failing {
		a.failing = true
		a.opts.Log.Warn().Err(err).Str("step", "append").Str("stream", a.follower.opts.Stream).Msg("append failed")
	}
}

// rejected handles an append that changed nothing. One bad record rejects its whole batch, so the batch is
// halved until the bad record stands alone.
func (a *Appender) rejected(batch []*item, err error) {
	a.noteFailing(err)
	if len(batch) > 1 {
		a.limit = max(1, len(batch)/2)
		a.queue.unshift(batch)
		return
	}
	it := batch[0]
	if it.waiter == nil {
		a.opts.Dropped.Add(1)
		return
	}
	if a.follower.forget(it.id, it.waiter) {
		kind := ErrNotAppended
		if it.repeated {
			kind = ErrUnknown // an earlier append of the same record may yet appear
		}
		it.waiter.settle(outcome{err: a.fail(kind, err)})
	}
}

// ambiguous marks the records of a batch that may or may not be in the log.
func (a *Appender) ambiguous(batch []*item, err error) {
	a.opts.Ambiguous.Add(1)
	a.noteFailing(err)
	for _, it := range batch {
		it.repeated = true
	}
}

// recheck reads on until the follower has seen everything that the log held after the failed append, and
// queues the records again that are still missing and wanted. Readers drop the second of two equal ids in
// case the first append takes effect even later.
func (a *Appender) recheck(ctx context.Context, batch []*item) {
	if err := a.follower.AwaitCurrent(ctx, time.Now()); err != nil {
		a.queue.unshift(batch) // ctx has ended: closeQueue tells the callers
		return
	}
	var again []*item
	for _, it := range batch {
		if it.waiter != nil && it.ctx.Err() == nil && a.follower.awaited(it.id, it.waiter) {
			again = append(again, it)
		}
	}
	a.opts.Repeats.Add(int64(len(again)))
	a.queue.unshift(again)
}

func (a *Appender) closeQueue() {
	for _, it := range a.queue.close() {
		if it.waiter != nil {
			kind := ErrNotAppended
			if it.repeated {
				kind = ErrUnknown
			}
			a.follower.forget(it.id, it.waiter)
			it.waiter.settle(outcome{err: a.fail(kind, context.Canceled)})
		}
	}
}
