package stream

import (
	"slices"

	"github.com/google/uuid"
)

// Result is the verdict on a submitted record that was read back.
type Result struct {
	// Offset is the record's offset in the stream.
	Offset   int64
	Accepted bool
	// Duplicate means that an earlier record has the same id, and that this one had no effect. Accepted and
	// Reason are those of the earlier record if the machine still holds them.
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

// addWaiter registers w for the first record with the id. Several callers may submit the same record.
func (f *Follower) addWaiter(id uuid.UUID, w *waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		w.settle(outcome{err: f.stepError("submit", ErrUnknown, nil)})
		return
	}
	f.waiters[id] = append(f.waiters[id], w)
}

// removeWaiter removes the waiter and reports whether it was registered.
func (f *Follower) removeWaiter(id uuid.UUID, w *waiter) bool {
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

// hasWaiter reports whether the waiter is registered, which means that its record was not read yet.
func (f *Follower) hasWaiter(id uuid.UUID, w *waiter) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return slices.Contains(f.waiters[id], w)
}

// settleWaiters gives the result to the waiters for the id and removes them. The caller holds mu.
func (f *Follower) settleWaiters(id uuid.UUID, r Result, err error) {
	for _, w := range f.waiters[id] {
		w.settle(outcome{r, err})
	}
	delete(f.waiters, id)
}

// settleAllUnknown fails every waiter with ErrUnknown, because its record may be among entries that were never read.
// The caller holds mu.
func (f *Follower) settleAllUnknown() {
	for id := range f.waiters {
		f.settleWaiters(id, Result{}, f.stepError("submit", ErrUnknown, nil))
	}
}
