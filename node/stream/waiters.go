package stream

import (
	"slices"

	"github.com/google/uuid"
)

// Result is the verdict on a submitted record that was read back.
type Result struct {
	// Offset is where the record stands in the stream.
	Offset   int64
	Accepted bool
	// Duplicate means that an earlier record has the same id, and that this one had no effect. Accepted and
	// Reason are the earlier one's if the machine still knows them.
	Duplicate bool
	// Reason explains a rejection.
	Reason string
}

type outcome struct {
	result Result
	err    error
}

// waiter receives one outcome.
type waiter struct {
	done chan outcome // capacity 1
}

func newWaiter() *waiter { return &waiter{done: make(chan outcome, 1)} }

func (w *waiter) settle(o outcome) {
	select {
	case w.done <- o:
	default:
	}
}

// await registers w for the first record with the id. Several callers may submit the same record.
func (f *Follower) await(id uuid.UUID, w *waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		w.settle(outcome{err: f.fail("submit", ErrUnknown, nil)})
		return
	}
	f.waiters[id] = append(f.waiters[id], w)
}

// forget removes the waiter and reports whether it was still there.
func (f *Follower) forget(id uuid.UUID, w *waiter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.Index(f.waiters[id], w)
	if i < 0 {
		return false
	}
	f.waiters[id] = slices.Delete(f.waiters[id], i, i+1)
	if len(f.waiters[id]) == 0 {
		delete(f.waiters, id)
	}
	return true
}

// awaited reports whether the waiter's record was not read yet.
func (f *Follower) awaited(id uuid.UUID, w *waiter) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return slices.Contains(f.waiters[id], w)
}

// resolve tells the waiters for the id. It is called with mu held.
func (f *Follower) resolve(id uuid.UUID, r Result, err error) {
	for _, w := range f.waiters[id] {
		w.settle(outcome{r, err})
	}
	delete(f.waiters, id)
}

// resolveAll tells every waiter that its record may stand among entries that were never read. It is called
// with mu held.
func (f *Follower) resolveAll() {
	for id := range f.waiters {
		f.resolve(id, Result{}, f.fail("submit", ErrUnknown, nil))
	}
}
