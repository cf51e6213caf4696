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
	// Grace is how long an answer may take beyond Wait before the read counts as failed; default 2 s.
	Grace time.Duration
	// MinInterval is the least time between two reads at the stream's end; default 100 ms, which bounds the
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
	o.Records, o.Undecodable = orDiscard(o.Records), orDiscard(o.Undecodable)
	o.ReadErrors, o.Restores = orDiscard(o.ReadErrors), orDiscard(o.Restores)
}

// Follower applies a stream to a Machine in log order.
type Follower struct {
	store   logstore.Store
	machine Machine
	opts    FollowerOptions

	// applying serialises changes of the state together with the calls of subscribers that follow them.
	applying sync.Mutex

	mu sync.RWMutex // guards the machine and the fields below
	// next is the offset of the next entry to apply, 0 before the state is loaded.
	next int64
	// first and end are the newest bounds of the stream that the store reported.
	first, end int64
	asOf       time.Time
	reachable  bool
	// failure is what readFailed logged last, empty while reads succeed.
	failure string
	// covered is the offset that the newest complete snapshot covers, coveredAt when it was seen.
	covered   int64
	coveredAt time.Time
	parts     assembler
	tail      tail
	waiters   map[uuid.UUID][]*waiter
	// progress is closed and replaced after each successful read or change of state.
	progress    chan struct{}
	subscribers []func(Batch)
	// logged holds the sorts of dropped entries that were logged.
	logged map[string]bool
	// stopped means that nothing will be read any more.
	stopped bool
}

// NewFollower returns a Follower that Run starts.
func NewFollower(store logstore.Store, machine Machine, opts FollowerOptions) *Follower {
	opts.setDefaults()
	return &Follower{
		store: store, machine: machine, opts: opts,
		tail:    tail{limit: opts.TailBytes},
		waiters: map[uuid.UUID][]*waiter{}, progress: make(chan struct{}), logged: map[string]bool{},
	}
}

// Subscribe adds a function that is called after each change of state, in log order and without the lock.
// It must return soon and may call View. Subscribe must be called before Run.
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
// in the other order, the process may pause in between and take a new time for an old view.
func (f *Follower) CurrentAsOf() time.Time {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.asOf
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
		done, ch := f.asOf.After(since), f.progress
		f.mu.RUnlock()
		if done {
			return nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return f.fail("await", nil, ctx.Err())
		}
	}
}

// Run follows the stream until ctx ends. Callers that still wait for a record then get ErrUnknown.
func (f *Follower) Run(ctx context.Context) error {
	defer f.stop()
	delay := newBackoff(maxDelay)
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
	f.resolveAll()
}

// step loads the state if there is none, or reads and applies one page.
func (f *Follower) step(ctx context.Context) error {
	from := f.Next()
	if from == 0 {
		return f.load(ctx)
	}
	sent := time.Now()
	page, err := f.read(ctx, from, f.opts.MaxEntries, f.wait())
	if errors.Is(err, logstore.ErrExpired) {
		return f.reload(ctx)
	}
	if err != nil {
		return err
	}
	if page.End < from {
		return f.fail("read", nil, errors.Errorf("stream ends at %d, but entries before %d were applied", page.End, from))
	}
	if err := f.applyPage(page, sent); err != nil {
		return err
	}
	if f.Next() >= page.End {
		ctxtime.Sleep(ctx, f.opts.MinInterval-time.Since(sent))
	}
	return nil
}

// wait is 0 until a read showed where the stream ends, so that a daemon is current at once after its start or
// after an outage.
func (f *Follower) wait() time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if !f.reachable || f.asOf.IsZero() {
		return 0
	}
	return f.opts.Wait
}

func (f *Follower) read(ctx context.Context, from int64, count int, wait time.Duration) (logstore.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.opts.Grace)
	defer cancel()
	page, err := f.store.Read(ctx, f.opts.Stream, from, count, wait)
	if err != nil {
		return page, f.fail("read", nil, err)
	}
	return page, nil
}

// readFailed counts a failure and logs it if the one before was of another sort.
func (f *Follower) readFailed(err error) {
	f.opts.ReadErrors.Add(1)
	sort := "log unreachable"
	if errors.Is(err, ErrNoSnapshot) {
		sort = "stream cannot be loaded"
	}
	f.mu.Lock()
	was := f.failure
	f.reachable, f.failure = false, sort
	f.mu.Unlock()
	if was != sort {
		f.opts.Log.Warn().Err(err).Str("step", "read").Str("stream", f.opts.Stream).Msg(sort)
	}
}

// applyPage applies a page whose read was sent at the given time.
func (f *Follower) applyPage(page logstore.Page, sent time.Time) error {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	applied, err := f.applyEntries(page.Entries)
	f.first, f.end = max(f.first, page.First), max(f.end, page.End)
	if err == nil {
		f.noteReachable()
		f.noteCurrent(page.End, sent)
	}
	f.mu.Unlock()
	f.publish(Batch{Applied: applied})
	return err
}

// noteReachable is called with mu held.
func (f *Follower) noteReachable() {
	if !f.reachable {
		f.opts.Log.Info().Str("step", "read").Str("stream", f.opts.Stream).Int64("offset", f.next).Msg("log reachable")
	}
	f.reachable, f.failure = true, ""
	f.wake()
}

// noteCurrent records that the stream ended at end at some time not before asOf. It is called with mu held.
func (f *Follower) noteCurrent(end int64, asOf time.Time) {
	if f.next > 0 && f.next >= end && asOf.After(f.asOf) {
		f.asOf = asOf
	}
	f.wake()
}

// wake is called with mu held.
func (f *Follower) wake() {
	close(f.progress)
	f.progress = make(chan struct{})
}

// applyEntries applies the entries from next on and skips earlier ones. It is called with mu held.
func (f *Follower) applyEntries(entries []logstore.Entry) ([]Applied, error) {
	var out []Applied
	for _, e := range entries {
		if e.Offset < f.next {
			continue
		}
		if e.Offset > f.next {
			return out, f.fail("apply", nil, &GapError{Want: f.next, Got: e.Offset})
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
		f.dropped(sortOf(e.Payload), e.Offset, err)
		return Applied{}, false
	}
	if s, ok := snapshotOf(rec.Body); ok {
		f.noteSnapshot(e.Offset, s)
		f.resolve(rec.ID, Result{Offset: e.Offset, Accepted: true}, nil)
		return Applied{}, false
	}
	v := f.machine.Apply(e.Offset, rec)
	f.opts.Records.Add(1)
	f.resolve(rec.ID, Result{Offset: e.Offset, Accepted: v.Accepted, Duplicate: v.Duplicate, Reason: v.Reason}, nil)
	return Applied{Offset: e.Offset, Record: rec, Verdict: v}, true
}

// dropped counts an entry that cannot be applied and logs the first one of each sort.
func (f *Follower) dropped(sort string, offset int64, err error) {
	f.opts.Undecodable.Add(1)
	if f.logged[sort] {
		return
	}
	f.logged[sort] = true
	f.opts.Log.Error().Err(err).Str("step", "decode").Str("stream", f.opts.Stream).Str("sort", sort).
		Int64("offset", offset).Msg("entry dropped; later ones of this sort are only counted")
}

// sortOf names the kind of a record that does not decode, if that much can be read.
func sortOf(payload []byte) string {
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

func (f *Follower) fail(step string, kind, cause error) error {
	return &Error{Step: step, Stream: f.opts.Stream, Kind: kind, Cause: cause}
}
