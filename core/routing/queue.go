package routing

import "time"

// Verdict says what happens to a request that finds no free endpoint.
type Verdict uint8

// Verdicts of a Queue.
const (
	// Enqueued requests wait for a slot.
	Enqueued Verdict = 1
	// ShedFull means that the queue is full.
	ShedFull Verdict = 2
	// ShedLate means that the request could not finish before its deadline.
	ShedLate Verdict = 3
)

// Queue holds the requests of one service that wait for an endpoint, in order of arrival.
type Queue struct {
	limit int
	items []*Waiting
	// serviceSeconds is the moving average of the time that an endpoint takes for a request.
	serviceSeconds float64
}

// Waiting is one request in a queue.
type Waiting struct {
	// Deadline is 0 if there is none.
	Deadline time.Duration
	// Owner is the caller's own value for the request.
	Owner any
	left  bool
}

// NewQueue returns a queue of at most limit requests.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// RecordService adds the time from sending one request to the header of its answer. Streams that last for hours are
// thereby not taken for slow requests.
func (q *Queue) RecordService(d time.Duration) {
	if q.serviceSeconds == 0 {
		q.serviceSeconds = d.Seconds()
		return
	}
	q.serviceSeconds += (d.Seconds() - q.serviceSeconds) / 16
}

// Estimate returns the expected time until a request that is enqueued now has ended.
func (q *Queue) Estimate(slots int) time.Duration {
	rounds := float64(len(q.items)+1)/float64(max(slots, 1)) + 1
	return time.Duration(rounds * q.serviceSeconds * float64(time.Second))
}

// Enqueue adds a request, unless the queue is full or the request could not finish in time.
func (q *Queue) Enqueue(now time.Duration, w *Waiting, slots int) Verdict {
	if w.Deadline != 0 && now+q.Estimate(slots) > w.Deadline {
		return ShedLate
	}
	if len(q.items) >= q.limit {
		return ShedFull
	}
	q.items = append(q.items, w)
	return Enqueued
}

// Next removes and returns the first request that can still finish in time. Those that cannot are returned in
// shed.
func (q *Queue) Next(now time.Duration) (next *Waiting, shed []*Waiting) {
	for len(q.items) > 0 {
		w := q.items[0]
		q.items[0] = nil
		q.items = q.items[1:]
		w.left = true
		if w.Deadline == 0 || now+time.Duration(q.serviceSeconds*float64(time.Second)) <= w.Deadline {
			return w, shed
		}
		shed = append(shed, w)
	}
	q.items = nil
	return nil, shed
}

// Remove takes a request out that no longer waits. It returns false if the request has left the queue already.
func (q *Queue) Remove(w *Waiting) bool {
	if w.left {
		return false
	}
	for i, item := range q.items {
		if item == w {
			w.left = true
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}
