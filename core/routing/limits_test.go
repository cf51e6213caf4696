package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against more retries and hedges than their share, in any order of requests and retries.
func TestBudgetShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(RetryShare, 10)
		earned, spent := 0, 0
		for _, earn := range rapid.SliceOf(rapid.Bool()).Draw(t, "earn") {
			if earn {
				b.Earn()
				earned++
			} else if b.Spend() {
				spent++
			}
		}
		if float64(spent) > 1+RetryShare*float64(earned)+1e-6 {
			t.Fatalf("%d retries for %d requests", spent, earned)
		}
	})
}

// Guards against a queue that grows beyond its limit, accepts requests that cannot finish, or reorders.
func TestQueueShedsWhatCannotFinish(t *testing.T) {
	is := is.New(t)
	q := NewQueue(3)
	q.RecordServiceTime(100 * time.Millisecond)
	is.Equal(q.Enqueue(0, &QueuedRequest{Deadline: 150 * time.Millisecond}, 1), ShedLate)
	first, second := &QueuedRequest{Deadline: 350 * time.Millisecond}, &QueuedRequest{}
	is.Equal(q.Enqueue(0, first, 1), Enqueued)
	is.Equal(q.Enqueue(0, second, 1), Enqueued)
	is.Equal(q.Enqueue(0, &QueuedRequest{}, 1), Enqueued)
	is.Equal(q.Enqueue(0, &QueuedRequest{}, 1), ShedFull)
	next, shed := q.Next(300 * time.Millisecond)
	is.Equal(next, second)
	is.Equal(shed, []*QueuedRequest{first})
	is.True(!q.Remove(first))
	is.Equal(q.Len(), 1)
}

// Guards against memory that grows with the number of callers, and against unlimited callers beyond the maximum.
func TestCallersAreBounded(t *testing.T) {
	is := is.New(t)
	c := NewCallers(10)
	for i := range 100 {
		c.Allow(0, fmt.Sprint(i), 2)
	}
	is.Equal(len(c.buckets), 10)
	is.True(!c.Allow(0, "one more", 2))
	is.True(c.Allow(5*time.Second, "later", 2))
	is.True(len(c.buckets) <= 10)
	is.True(c.Allow(5*time.Second, "later", 2))
	is.True(!c.Allow(5*time.Second, "later", 2))
}

// Guards against requests that cross the link between regions although a nearer zone has not been tried.
func TestZoneOrder(t *testing.T) {
	is := is.New(t)
	zones := []Zone{{"cusco-a", "Cusco"}, {"lima-b", "Lima"}, {"lima-a", "Lima"}}
	is.Equal(OrderZones("lima-a", zones, 1), []Candidate{{"lima-a", DistanceLocal}, {"lima-b", DistanceRegion},
		{"cusco-a", DistanceLink}})
}

// Guards against a byte budget that does not subtract large answers in full.
func TestBucketDebt(t *testing.T) {
	is := is.New(t)
	b := NewBucket(100, 100, 0)
	b.Charge(0, 300)
	is.True(!b.Take(time.Second, 1))
	is.True(b.Take(3*time.Second, 50))
	is.Equal(b.Wait(3*time.Second, 100), 500*time.Millisecond)
}

// Guards against quantiles of old data after the load has changed.
func TestOldLatenciesAreDropped(t *testing.T) {
	is := is.New(t)
	l := NewLatency(0)
	_, known := l.P95()
	is.True(!known)
	for i := range 1000 {
		l.Record(time.Duration(i)*time.Millisecond, 100*time.Millisecond)
	}
	p95, known := l.P95()
	is.True(known && p95 >= 99*time.Millisecond && p95 <= 101*time.Millisecond)
	for i := range 1000 {
		l.Record(20*time.Second+time.Duration(i)*time.Millisecond, time.Millisecond)
	}
	p95, _ = l.P95()
	is.True(p95 <= 2*time.Millisecond)
}
