package stream

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/core/record"
	"waxwingslip.example/external/logstore"
	"waxwingslip.example/node/ctxtime"
)

// FollowerOptions configures a Follower. Zero values give the defaults.
type FollowerOptions struct {
	// Stream is the name of the stream.
	Stream string
	// SnapshotKind is the kind of the stream's snapshot records.
	SnapshotKind record.Kind
	// Wait is how long a read waits for new entries; default 1 s.
	Wait time.Duration
	// Grace is how long a response may take beyond Wait before the read counts as failed; default 2 s.
	Grace time.Duration
	// MinInterval is the minimum time between two reads at the stream's end; default 100 ms, which bounds the
	// cost of reads when several daemons append 10 times a second each.
	MinInterval time.Duration
	// MaxEntries limits the entries of one read; default 512.
	MaxEntries int
	// TailBytes limits the newest entries kept for relaying to peers; default 0 keeps none.
	TailBytes int
	Log       zerolog.Logger
	// Records counts applied records, Undecodable those dropped, ReadErrors failed reads, Restores the times
	// that the state was replaced by a snapshot.
	Records, Undecodable, ReadErrors, Restores Counter
}

func (o *FollowerOptions) setDefaults() {
	if o.Wait == 0 {
		o.Wait = time.Second
	}
	if o.Grace == 0 {
		o.Grace = 2 * time.Second
	}
	if o.MinInterval == 0 {
		o.MinInterval = 100 * time.Millisecond
	}
	if o.MaxEntries == 0 {
		o.MaxEntries = 512
	}
	o.Records, o.Undecodable = counterOrDiscard(o.Records), counterOrDiscard(o.Undecodable)
	o.ReadErrors, o.Restores = counterOrDiscard(o.ReadErrors), counterOrDiscard(o.Restores)
}

// Follower applies a stream to a Machine in log order.
type Follower struct {
	store   logstore.Store
	machine Machine
	opts    FollowerOptions
	pages   *pageLimit

	// applyMu serialises changes of the state together with the subscriber calls that follow them.
	applyMu sync.Mutex

	mu sync.RWMutex // guards the machine and the fields below
	// next is the offset of the next entry to apply, 0 before the state is loaded.
	next int64
	// first and end are the highest bounds of the stream that the store has reported.
	first, end  int64
	currentAsOf time.Time
	reachable   bool
	// lastFailure is the failure that readFailed logged last, empty while reads succeed.
	lastFailure string
	// snapshotOffset is the offset that the newest complete snapshot covers, snapshotSeenAt when it was read.
	snapshotOffset int64
	snapshotSeenAt time.Time
	parts          snapshotAssembler
	tail           tail
	waiters        map[uuid.UUID][]*waiter
	// progress is closed and replaced after each successful read or change of state.
	progress    chan struct{}
	subscribers []func(Batch)
	// loggedCategories holds the categories of dropped entries of which one was logged.
	loggedCategories map[string]bool
	// stopped means that Run has ended and nothing more will be read.
	stopped bool
}

// NewFollower returns a Follower that Run starts.
func NewFollower(store logstore.Store, machine Machine, opts FollowerOptions) *Follower {
	opts.setDefaults()
	return &Follower{
		store: store, machine: machine, opts: opts, pages: newPageLimit(opts.MaxEntries, opts.Grace),
		tail:    tail{limit: opts.TailBytes},
		waiters: map[uuid.UUID][]*waiter{}, progress: make(chan struct{}), loggedCategories: map[string]bool{},
	}
}

// Subscribe adds a function that is called after each change of state, in log order and without the lock.
// It must return quickly and may call View. Subscribe must be called before Run.
func (f *Follower) Subscribe(fn func(Batch)) { f.subscribers = append(f.subscribers, fn) }

// View calls fn while the state cannot change. fn must not change the state or call the Follower.
func (f *Follower) View(fn func()) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn()
}

// Next returns the offset of the next entry to apply, 0 before the state is loaded.
func (f *Follower) Next() int64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.next
}

// Ready reports whether the state is loaded.
func (f *Follower) Ready() bool { return f.Next() > 0 }

// CurrentAsOf returns the latest monotonic time at which the state is known to have held every entry of the
// stream, zero if never. A decision that needs a fresh state must read it before View and compute its age after:
// in the other order, the process may pause in between and pair a new time with an old view.
func (f *Follower) CurrentAsOf() time.Time {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.currentAsOf
}

// Reachable reports whether the newest finished read of the log succeeded.
func (f *Follower) Reachable() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.reachable
}

// AwaitCurrent waits until the state held every entry that the stream had at a time after since.
func (f *Follower) AwaitCurrent(ctx context.Context, since time.Time) error {
	for {
		f.mu.RLock()
		done, ch := f.currentAsOf.After(since), f.progress
		f.mu.RUnlock()
		if done {
			return nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return f.stepError("await", nil, ctx.Err())
		}
	}
}

// Run follows the stream until ctx ends. Callers that still wait for a record then get ErrUnknown.
func (f *Follower) Run(ctx context.Context) error {
	defer f.stop()
	delay := newBackoff(maxRetryDelay)
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			delay.Reset()
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.readFailed(err)
		ctxtime.Sleep(ctx, delay.NextBackOff())
	}
	return ctx.Err()
}

func (f *Follower) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	f.settleAllUnknown()
}

// step loads the state if there is none, or reads and applies one page.
func (f *Follower) step(ctx context.Context) error {
	from := f.Next()
	if from == 0 {
		return f.load(ctx)
	}
	sent := time.Now()
	page, err := f.read(ctx, from, f.opts.MaxEntries, f.readWait())
	if errors.Is(err, logstore.ErrExpired) {
		return f.reload(ctx)
	}
	if err != nil {
		return err
	}
	if page.End < from {
		return f.stepError("read", nil,
			errors.Errorf("stream ends at %d, but entries before %d were applied", page.End, from))
	}
	if err := f.applyPage(page, sent); err != nil {
		return err
	}
	if f.Next() >= page.End {
		ctxtime.Sleep(ctx, f.opts.MinInterval-time.Since(sent))
	}
	return nil
}

// readWait returns how long a read waits for entries: 0 until a read has shown where the stream ends, so that a
// daemon is current at once after its start or after an outage.
func (f *Follower) readWait() time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if !f.reachable || f.currentAsOf.IsZero() {
		return 0
	}
	return f.opts.Wait
}

func (f *Follower) read(ctx context.Context, from int64, count int, wait time.Duration) (logstore.Page, error) {
	entries, grace := f.pages.get()
	readCtx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	startedAt := time.Now()
	page, err := f.store.Read(readCtx, f.opts.Stream, from, min(count, entries), wait)
	if err != nil {
		if ctx.Err() == nil && readCtx.Err() != nil {
			f.pages.timedOut()
		}
		return page, f.stepError("read", nil, err)
	}
	f.pages.arrived(len(page.Entries), time.Since(startedAt))
	return page, nil
}

// readFailed counts a failed read and logs it unless the read before failed in the same way.
func (f *Follower) readFailed(err error) {
	f.opts.ReadErrors.Add(1)
	failure := "log unreachable"
	if errors.Is(err, ErrNoSnapshot) {
		failure = "stream cannot be loaded"
	}
	f.mu.Lock()
	previous := f.lastFailure
	f.reachable, f.lastFailure = false, failure
	f.mu.Unlock()
	if previous != failure {
		f.opts.Log.Warn().Err(err).Str("step", "read").Str("stream", f.opts.Stream).Msg(failure)
	}
}

// applyPage applies a page whose read was sent at the given time.
func (f *Follower) applyPage(page logstore.Page, sent time.Time) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	applied, err := f.applyEntries(page.Entries)
	f.first, f.end = max(f.first, page.First), max(f.end, page.End)
	if err == nil {
		f.markReachable()
		f.markCurrent(page.End, sent)
	}
	f.mu.Unlock()
	f.publish(Batch{Applied: applied})
	return err
}

// markReachable records that a read succeeded. The caller holds mu.
func (f *Follower) markReachable() {
	if !f.reachable {
		f.opts.Log.Info().Str("step", "read").Str("stream", f.opts.Stream).Int64("offset", f.next).Msg("log reachable")
	}
	f.reachable, f.lastFailure = true, ""
	f.notifyProgress()
}

// markCurrent records that the stream ended at end at some time not before asOf. The caller holds mu.
func (f *Follower) markCurrent(end int64, asOf time.Time) {
	if f.next > 0 && f.next >= end && asOf.After(f.currentAsOf) {
		f.currentAsOf = asOf
	}
	f.notifyProgress()
}

// notifyProgress wakes the callers that wait on progress. The caller holds mu.
func (f *Follower) notifyProgress() {
	close(f.progress)
	f.progress = make(chan struct{})
}

// applyEntries applies the entries from next on and skips earlier ones. The caller holds mu.
func (f *Follower) applyEntries(entries []logstore.Entry) ([]Applied, error) {
	var out []Applied
	for _, e := range entries {
		if e.Offset < f.next {
			continue
		}
		if e.Offset > f.next {
			return out, f.stepError("apply", nil, &GapError{Want: f.next, Got: e.Offset})
		}
		if a, ok := f.applyEntry(e); ok {
			out = append(out, a)
		}
		f.tail.add(e)
		f.next++
	}
	return out, nil
}

func (f *Follower) applyEntry(e logstore.Entry) (Applied, bool) {
	rec, err := record.Decode(e.Payload)
	if err != nil {
		f.reportDropped(categoryOf(e.Payload), e.Offset, err)
		return Applied{}, false
	}
	if s, ok := snapshotOf(rec.Body); ok {
		f.addSnapshotPart(e.Offset, s)
		f.settleWaiters(rec.ID, Result{Offset: e.Offset, Accepted: true}, nil)
		return Applied{}, false
	}
	v := f.machine.Apply(e.Offset, rec)
	f.opts.Records.Add(1)
	f.settleWaiters(rec.ID, Result{Offset: e.Offset, Accepted: v.Accepted, Duplicate: v.Duplicate, Reason: v.Reason}, nil)
	return Applied{Offset: e.Offset, Record: rec, Verdict: v}, true
}

// reportDropped counts an entry that cannot be applied and logs the first one of each category.
func (f *Follower) reportDropped(category string, offset int64, err error) {
	f.opts.Undecodable.Add(1)
	if f.loggedCategories[category] {
		return
	}
	f.loggedCategories[category] = true
	f.opts.Log.Error().Err(err).Str("step", "decode").Str("stream", f.opts.Stream).Str("sort", category).
		Int64("offset", offset).Msg("entry dropped; further entries of this sort are only counted")
}

// categoryOf returns the kind of a record that does not decode, or "unreadable" if the kind cannot be read either.
func categoryOf(payload []byte) string {
	var outer struct {
		_    struct{} `cbor:",toarray"`
		ID   cbor.RawMessage
		Kind record.Kind
		Body cbor.RawMessage
	}
	if err := cbor.Unmarshal(payload, &outer); err != nil {
		return "unreadable"
	}
	return fmt.Sprintf("kind %d", outer.Kind)
}

func (f *Follower) publish(b Batch) {
	if !b.Restored && len(b.Applied) == 0 {
		return
	}
	for _, fn := range f.subscribers {
		fn(b)
	}
}

func (f *Follower) stepError(step string, kind, cause error) error {
	return &Error{Step: step, Stream: f.opts.Stream, Kind: kind, Cause: cause}
}
