package stream

import "github.com/google/uuid"

// Result is the verdict on a submitted record that was read back.
type Result struct {
	// Offset is where the record stands in the stream.
	Offset   int64
	Accepted bool
	// Duplicate means that an earlier record with the same id had its effect.
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

// await registers w for the first record with the id.
func (f *Follower) await(id uuid.UUID, w *waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		w.settle(outcome{err: f.fail("submit", ErrUnknown, nil)})
		return
	}
	f.waiters[id] = w
}

// forget removes the waiter for the id and reports whether it was still there.
func (f *Follower) forget(id uuid.UUID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.waiters[id]
	delete(f.waiters, id)
	return ok
}

// awaited reports whether the record with the id has a waiter and was not read yet.
func (f *Follower) awaited(id uuid.UUID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	_, ok := f.waiters[id]
	return ok
}

// resolve tells the waiter for the id. It is called with mu held.
func (f *Follower) resolve(id uuid.UUID, r Result, err error) {
	if w, ok := f.waiters[id]; ok {
		delete(f.waiters, id)
		w.settle(outcome{r, err})
	}
}

// resolveAll tells every waiter that its record may stand among entries that were never read. It is called
// with mu held.
func (f *Follower) resolveAll() {
	for id := range f.waiters {
		f.resolve(id, Result{}, f.fail("submit", ErrUnknown, nil))
	}
}
