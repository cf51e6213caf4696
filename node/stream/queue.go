package stream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"waxwingslip.example/external/logstore"
)

// item is one record to append.
type item struct {
	id      uuid.UUID
	payload []byte
	ctx     context.Context
	waiter  *waiter   // nil for posted records
	expires time.Time // zero for submitted records
	// state settles the race between the caller, which may abandon the record, and Run, which sends it.
	state atomic.Int32
	// registered means that the waiter is registered with the follower, repeated that an append of the record had
	// no definite response. Both are used by Run only.
	registered, repeated bool
}

const (
	itemQueued int32 = iota
	itemSent
	itemAbandoned
)

// abandon marks the record as never to be sent. It returns false if the record was sent before.
func (it *item) abandon() bool { return it.state.CompareAndSwap(itemQueued, itemAbandoned) }

// sendable reports whether the record is still to be sent: it has not expired and its caller's context has not ended.
func (it *item) sendable(now time.Time) bool {
	return it.ctx.Err() == nil && (it.expires.IsZero() || now.Before(it.expires))
}

// markSent marks the record as sent, after which its caller can no longer abandon it. It returns false if the record
// must not be sent.
func (it *item) markSent(now time.Time) bool {
	if !it.sendable(now) {
		return false
	}
	return it.state.Load() == itemSent || it.state.CompareAndSwap(itemQueued, itemSent)
}

// queue holds the records that wait to be sent.
type queue struct {
	limit  int
	signal chan struct{} // capacity 1

	mu     sync.Mutex
	items  []*item
	closed bool
}

// push returns ErrQueueFull, or context.Canceled after close.
func (q *queue) push(it *item) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= q.limit {
		q.removeUnsendable(time.Now())
	}
	if q.closed {
		return context.Canceled
	}
	if len(q.items) >= q.limit {
		return ErrQueueFull
	}
	q.items = append(q.items, it)
	q.notify()
	return nil
}

// removeUnsendable drops records that will not be sent any more, so that records abandoned during an outage of the
// log do not fill the queue. The caller holds mu.
func (q *queue) removeUnsendable(now time.Time) {
	kept := q.items[:0:0]
	for _, it := range q.items {
		if it.sendable(now) {
			kept = append(kept, it)
		}
	}
	q.items = kept
}

// pushFront puts records back at the front; it ignores the limit because they were in the queue before.
func (q *queue) pushFront(items []*item) {
	if len(items) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(append([]*item(nil), items...), q.items...)
	q.notify()
}

func (q *queue) notify() {
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// waitNonEmpty blocks until the queue holds a record; it returns false when ctx ends.
func (q *queue) waitNonEmpty(ctx context.Context) bool {
	for {
		q.mu.Lock()
		n := len(q.items)
		q.mu.Unlock()
		if ctx.Err() != nil {
			return false
		}
		if n > 0 {
			return true
		}
		select {
		case <-q.signal:
		case <-ctx.Done():
			return false
		}
	}
}

// take removes the next records within the limits and counts the posted ones that expired before they were sent.
func (q *queue) take(maxRecords, maxBytes int, now time.Time) (batch []*item, stale int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken, size := 0, 0
	for _, it := range q.items {
		if len(batch) == maxRecords || (len(batch) > 0 && size+len(it.payload) > maxBytes) {
			break
		}
		taken++
		if !it.markSent(now) {
			if it.waiter == nil {
				stale++
			}
			continue
		}
		size += len(it.payload)
		batch = append(batch, it)
	}
	q.items = append(q.items[:0:0], q.items[taken:]...)
	return batch, stale
}

// close refuses further records and returns those that were not sent.
func (q *queue) close() []*item {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	rest := q.items
	q.items = nil
	return rest
}

func isRejected(err error) bool { return errors.Is(err, logstore.ErrRejected) }
