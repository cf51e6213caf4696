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
	// MinInterval is the minimum time between two appends; default 100 ms. The log handles several hundred
	// appends per second in total, and 27 daemons at 10 per second make 270.
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
	// Appends counts appends that the log confirmed, Ambiguous those without a definite response, Repeats the
	// records sent again, Dropped the posted records that were not sent in time or did not fit into the queue.
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
	o.Appends, o.Ambiguous = counterOrDiscard(o.Appends), counterOrDiscard(o.Ambiguous)
	o.Repeats, o.Dropped = counterOrDiscard(o.Repeats), counterOrDiscard(o.Dropped)
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

	// The fields below are used by Run only.
	lastSent   time.Time
	batchLimit int // records per batch, lowered while the log rejects batches
	failing    bool
}

// NewAppender returns an Appender for the stream that the follower reads. Run starts it.
func NewAppender(store logstore.Store, follower *Follower, opts AppenderOptions) *Appender {
	opts.setDefaults()
	return &Appender{
		store: store, follower: follower, opts: opts, batchLimit: opts.MaxRecords,
		queue: queue{limit: opts.MaxQueue, signal: make(chan struct{}, 1)},
	}
}

// Submit appends a record and returns the verdict after it was read back in log order. ErrUnknown means that
// the record may or may not take effect; any other error means that it never does.
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
		return Result{}, a.submitError(ErrNotAppended, err)
	}
	select {
	case o := <-it.waiter.done:
		return o.result, o.err
	case <-ctx.Done():
	}
	if it.abandon() {
		return Result{}, a.submitError(ErrNotAppended, ctx.Err())
	}
	a.follower.removeWaiter(it.id, it.waiter)
	select {
	case o := <-it.waiter.done: // settled at the same time
		return o.result, o.err
	default:
		return Result{}, a.submitError(ErrUnknown, ctx.Err())
	}
}

// Post queues a record without waiting. It is sent at most once, and not at all if that takes longer than
// PostTTL: it is meant for heartbeats, where the next one makes up for a lost one.
func (a *Appender) Post(body record.Body) error {
	it, err := a.newItem(a.opts.NewID(), body)
	if err != nil {
		return err
	}
	it.ctx, it.expires = context.Background(), time.Now().Add(a.opts.PostTTL)
	if err := a.queue.push(it); err != nil {
		a.opts.Dropped.Add(1)
		return a.submitError(ErrNotAppended, err)
	}
	return nil
}

func (a *Appender) newItem(id uuid.UUID, body record.Body) (*item, error) {
	payload, err := record.Encode(record.New(id, body))
	if err != nil {
		return nil, a.submitError(ErrNotAppended, err)
	}
	return &item{id: id, payload: payload}, nil
}

func (a *Appender) submitError(kind, cause error) error {
	return a.follower.stepError("submit", kind, cause)
}

// Run sends queued records until ctx ends. Records that were never sent by then fail with ErrNotAppended.
func (a *Appender) Run(ctx context.Context) error {
	defer a.closeQueue()
	delay := newBackoff(maxRetryDelay)
	for {
		if !a.queue.waitNonEmpty(ctx) {
			return ctx.Err()
		}
		ctxtime.Sleep(ctx, a.opts.MinInterval-time.Since(a.lastSent))
		batch := a.takeBatch()
		if ctx.Err() != nil {
			a.queue.pushFront(batch)
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
		a.requeueMissing(ctx, batch)
	}
}

// takeBatch removes the next batch from the queue and marks its records as sent.
func (a *Appender) takeBatch() []*item {
	batch, stale := a.queue.take(a.batchLimit, a.opts.MaxBytes, time.Now())
	a.opts.Dropped.Add(int64(stale))
	return batch
}

// send appends the batch once and reports whether the response was definite.
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
		a.handleConfirmed()
		return true
	case isRejected(err):
		a.handleRejected(batch, err)
		return true
	}
	a.handleAmbiguous(batch, err)
	return false
}

// register registers the record's waiter with the follower. A caller whose context ends removes the registration;
// the check covers a context that ended before the registration.
func (a *Appender) register(it *item) {
	it.registered = true
	a.follower.addWaiter(it.id, it.waiter)
	if it.ctx.Err() != nil {
		a.follower.removeWaiter(it.id, it.waiter)
	}
}

func (a *Appender) handleConfirmed() {
	a.opts.Appends.Add(1)
	a.batchLimit = min(2*a.batchLimit, a.opts.MaxRecords)
	if a.failing {
		a.failing = false
		a.opts.Log.Info().Str("step", "append").Str("stream", a.follower.opts.Stream).Msg("log accepts appends")
	}
}

func (a *Appender) logFirstFailure(err error) {
	if !a.failing {
		a.failing = true
		a.opts.Log.Warn().Err(err).Str("step", "append").Str("stream", a.follower.opts.Stream).Msg("append failed")
	}
}

// handleRejected handles an append that changed nothing. One bad record rejects its whole batch, so the batch is
// halved until the bad record is alone in its batch.
func (a *Appender) handleRejected(batch []*item, err error) {
	a.logFirstFailure(err)
	if len(batch) > 1 {
		a.batchLimit = max(1, len(batch)/2)
		a.queue.pushFront(batch)
		return
	}
	it := batch[0]
	if it.waiter == nil {
		a.opts.Dropped.Add(1)
		return
	}
	if a.follower.removeWaiter(it.id, it.waiter) {
		kind := ErrNotAppended
		if it.repeated {
			kind = ErrUnknown // an earlier append of the record may still take effect
		}
		it.waiter.settle(outcome{err: a.submitError(kind, err)})
	}
}

// handleAmbiguous marks the records of a batch that may or may not be in the log.
func (a *Appender) handleAmbiguous(batch []*item, err error) {
	a.opts.Ambiguous.Add(1)
	a.logFirstFailure(err)
	for _, it := range batch {
		it.repeated = true
	}
}

// requeueMissing waits until the follower has read everything that the log held after the failed append, and
// requeues the records that were not found and whose callers still wait. If the first append takes effect even
// later, readers drop the second record with the same id.
func (a *Appender) requeueMissing(ctx context.Context, batch []*item) {
	if err := a.follower.AwaitCurrent(ctx, time.Now()); err != nil {
		a.queue.pushFront(batch) // ctx has ended: closeQueue reports to the callers
		return
	}
	var missing []*item
	for _, it := range batch {
		if it.waiter != nil && it.ctx.Err() == nil && a.follower.hasWaiter(it.id, it.waiter) {
			missing = append(missing, it)
		}
	}
	a.opts.Repeats.Add(int64(len(missing)))
	a.queue.pushFront(missing)
}

func (a *Appender) closeQueue() {
	for _, it := range a.queue.close() {
		if it.waiter != nil {
			kind := ErrNotAppended
			if it.repeated {
				kind = ErrUnknown
			}
			a.follower.removeWaiter(it.id, it.waiter)
			it.waiter.settle(outcome{err: a.submitError(kind, context.Canceled)})
		}
	}
}
