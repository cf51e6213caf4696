package routing

import "time"

// EnqueueResult says whether a request that found no free endpoint was queued.
type EnqueueResult uint8

// Results of Enqueue.
const (
	// Enqueued means that the request waits for a slot.
	Enqueued EnqueueResult = 1
	// ShedFull means that the queue is full.
	ShedFull EnqueueResult = 2
	// ShedLate means that the request could not finish before its deadline.
	ShedLate EnqueueResult = 3
)

// Queue holds the requests of one service that wait for an endpoint, in order of arrival.
type Queue struct {
	limit int
	items []*QueuedRequest
	// meanServiceSeconds is the moving average of the time that an endpoint takes for a request.
	meanServiceSeconds float64
}

// QueuedRequest is a request that waits in a Queue.
type QueuedRequest struct {
	// Deadline is 0 if there is none.
	Deadline time.Duration
	// Owner identifies the request to the caller; the queue does not use it.
	Owner    any
	dequeued bool
}

// NewQueue returns a queue of at most limit requests.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// RecordServiceTime records the time from sending one request to the header of its answer. The body does not count, so
// that streams that last for hours are not taken for slow requests.
func (q *Queue) RecordServiceTime(d time.Duration) {
	if q.meanServiceSeconds == 0 {
		q.meanServiceSeconds = d.Seconds()
		return
	}
	q.meanServiceSeconds += (d.Seconds() - q.meanServiceSeconds) / 16
}

// EstimateCompletion returns the expected time until a request that is enqueued now has ended.
func (q *Queue) EstimateCompletion(slots int) time.Duration {
	rounds := float64(len(q.items)+1)/float64(max(slots, 1)) + 1
	return time.Duration(rounds * q.meanServiceSeconds * float64(time.Second))
}

// Enqueue adds a request, unless the queue is full or the request could not finish in time.
func (q *Queue) Enqueue(now time.Duration, r *QueuedRequest, slots int) EnqueueResult {
	if r.Deadline != 0 && now+q.EstimateCompletion(slots) > r.Deadline {
		return ShedLate
	}
	if len(q.items) >= q.limit {
		return ShedFull
	}
	q.items = append(q.items, r)
	return Enqueued
}

// Next removes and returns the first request that can still finish in time. Those before it that cannot are removed
// and returned in shed.
func (q *Queue) Next(now time.Duration) (next *QueuedRequest, shed []*QueuedRequest) {
	for len(q.items) > 0 {
		r := q.items[0]
		q.items[0] = nil
		q.items = q.items[1:]
		r.dequeued = true
		if r.Deadline == 0 || now+time.Duration(q.meanServiceSeconds*float64(time.Second)) <= r.Deadline {
			return r, shed
		}
		shed = append(shed, r)
	}
	q.items = nil
	return nil, shed
}

// Remove removes a request from the queue. It returns false if the request has left the queue already.
func (q *Queue) Remove(r *QueuedRequest) bool {
	if r.dequeued {
		return false
	}
	for i, item := range q.items {
		if item == r {
			r.dequeued = true
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}
