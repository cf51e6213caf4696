package stream

import (
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/external/logstore"
)

// RelayedEntries holds entries of a stream that a peer passes on.
type RelayedEntries struct {
	// Entries are consecutive; they may start before the receiver's next offset.
	Entries []logstore.Entry
	// End is the peer's next offset.
	End int64
	// Age is the time between the peer's response and the latest time at which its state was known to be current.
	// Negative means never.
	Age time.Duration
}

// ApplyRelayed applies entries that a peer relayed in response to a request sent at the given time. Entries after a
// gap are not applied, and the error is a GapError.
func (f *Follower) ApplyRelayed(r RelayedEntries, requestSent time.Time) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	if f.next == 0 {
		f.mu.Unlock()
		return f.stepError("inject", ErrNotReady, nil)
	}
	applied, err := f.applyEntries(r.Entries)
	if err == nil && r.Age >= 0 {
		// The peer answered after requestSent, so its state was current at requestSent-Age or later.
		f.markCurrent(r.End, requestSent.Add(-r.Age))
	}
	f.mu.Unlock()
	f.publish(Batch{Applied: applied})
	return err
}

// Tail returns the kept entries from the offset on for a peer, limited to maxBytes of payload. ok is false
// if the peer needs Export because the entries are no longer kept.
func (f *Follower) Tail(from int64, maxBytes int) (r RelayedEntries, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.next == 0 || from < 1 {
		return RelayedEntries{}, false
	}
	r = RelayedEntries{End: f.next, Age: -1}
	if !f.currentAsOf.IsZero() {
		r.Age = time.Since(f.currentAsOf)
	}
	r.Entries, ok = f.tail.from(from, f.next, maxBytes)
	return r, ok
}

// Export returns the packed state and the offset that it covers.
func (f *Follower) Export() (covers int64, packed []byte, err error) {
	f.mu.RLock()
	if f.next == 0 {
		f.mu.RUnlock()
		return 0, nil, f.stepError("export", ErrNotReady, nil)
	}
	covers = f.next - 1
	state, err := f.machine.Snapshot()
	f.mu.RUnlock()
	if err != nil {
		return 0, nil, errors.Wrap(err, "encode snapshot")
	}
	packed, err = pack(state)
	return covers, packed, err
}

// Import replaces the state by one that a peer exported, if that is newer. It serves a daemon that cannot reach
// the log and whose peers no longer keep the entries that it lacks.
func (f *Follower) Import(covers int64, packed []byte) error {
	if covers < 0 {
		return f.stepError("import", nil, errors.Errorf("invalid offset %d", covers))
	}
	if err := f.restore(&completeSnapshot{covers: covers, packed: packed}); err != nil {
		return f.stepError("import", nil, err)
	}
	return nil
}

// tail keeps the newest consecutive entries.
type tail struct {
	limit, bytes int
	entries      []logstore.Entry
}

func (t *tail) add(e logstore.Entry) {
	if t.limit == 0 {
		return
	}
	t.entries = append(t.entries, e)
	t.bytes += len(e.Payload)
	drop := 0
	for t.bytes > t.limit && drop < len(t.entries) {
		t.bytes -= len(t.entries[drop].Payload)
		t.entries[drop].Payload = nil
		drop++
	}
	t.entries = t.entries[drop:]
}

func (t *tail) reset() { t.entries, t.bytes = nil, 0 }

func (t *tail) from(from, next int64, maxBytes int) ([]logstore.Entry, bool) {
	if from >= next {
		return nil, true
	}
	if len(t.entries) == 0 || from < t.entries[0].Offset {
		return nil, false
	}
	rest := t.entries[from-t.entries[0].Offset:]
	n, size := 0, 0
	for n < len(rest) && (n == 0 || size+len(rest[n].Payload) <= maxBytes) {
		size += len(rest[n].Payload)
		n++
	}
	return append([]logstore.Entry(nil), rest[:n]...), true
}
