package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// durationStep divides all generated durations, so that every rate in parts per 10,000 gives whole nanoseconds.
const durationStep = 10 * time.Microsecond

// genRate generates the speed of a clock in parts per 10,000 of real time.
func genRate(t *rapid.T, name string) int64 { return rapid.Int64Range(9_900, 10_100).Draw(t, name) }

func genDuration(t *rapid.T, name string, limit time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(limit/durationStep)).Draw(t, name)) * durationStep
}

// elapsedOn returns how far a clock with the given rate advances in d.
func elapsedOn(d time.Duration, rate int64) time.Duration { return d * time.Duration(rate) / 10_000 }

// generatedClock is a worker's true clock and an estimate of it from one call.
type generatedClock struct {
	WorkerClock
	start      time.Duration
	rate       int64
	receivedAt time.Duration
}

func genClock(t *rapid.T) *generatedClock {
	c := &generatedClock{start: genDuration(t, "start", 100*time.Hour), rate: genRate(t, "rate")}
	sent := genDuration(t, "sent", time.Hour)
	read := sent + genDuration(t, "request", 2*time.Second)
	c.receivedAt = read + genDuration(t, "answer", 2*time.Second)
	c.Observe(sent, c.receivedAt, c.trueMs(read))
	return c
}

func (c *generatedClock) trueMs(now time.Duration) int64 {
	return (c.start + elapsedOn(now, c.rate)).Milliseconds()
}

// Guards against bounds that do not hold for a fast or slow worker clock or a slow call.
func TestBoundsEncloseWorkerClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := genClock(t)
		now := c.receivedAt + genDuration(t, "later", 2*time.Hour)
		if low, at, high := c.LowerBound(now), c.trueMs(now), c.UpperBound(now); low > at || at > high {
			t.Fatalf("true %d ms is not within %d and %d", at, low, high)
		}
	})
}

// Guards against a worker that is taken for another incarnation because a call was sent before its clock was read.
func TestEarliestBeforeObservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := genClock(t)
		at := c.receivedAt - genDuration(t, "before", 3*time.Second) + genDuration(t, "after", 3*time.Second)
		if low, is := c.Earliest(at), c.trueMs(max(at, 0)); at >= 0 && low > is {
			t.Fatalf("the clock is %d ms, at least %d ms were expected", is, low)
		}
	})
}

// Guards against declaring a task lost while its worker still honours a lease, also if the newest renewal was shorter.
func TestGrantOutlastsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := genClock(t)
		var g Grant
		var furthest int64
		now := c.receivedAt
		for range rapid.IntRange(1, 5).Draw(t, "renewals") {
			now += genDuration(t, "pause", 20*time.Second)
			until := c.Deadline(now, genDuration(t, "lease", RenewalAuthority))
			g.Sent(until)
			furthest = max(furthest, until)
		}
		now += genDuration(t, "later", 3*time.Hour)
		if g.Expired(&c.WorkerClock, now) && c.trueMs(now) <= furthest {
			t.Fatalf("expired at %d ms of a lease until %d ms", c.trueMs(now), furthest)
		}
	})
}

// Guards against a remaining time after which the worker still honours a lease, by a clock that counts it faster.
func TestRemainingOutlastsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := genClock(t)
		var g Grant
		granted := c.receivedAt + genDuration(t, "granted", time.Minute)
		until := c.Deadline(granted, genDuration(t, "lease", time.Minute))
		g.Sent(until)
		now := granted + genDuration(t, "later", 2*time.Minute)
		left, ok := g.Remaining(&c.WorkerClock, now, 0)
		if !ok {
			t.Fatal("not known")
		}
		passed := left * 10_000 / time.Duration(genRate(t, "other clock"))
		if at := c.trueMs(now + passed); at <= until {
			t.Fatalf("%v remain at %v of a lease until %d ms, which is at %d ms then", left, now, until, at)
		}
	})
}

// Guards against grants that count as expired before the first report of the worker, or never.
func TestGrantExpires(t *testing.T) {
	is := is.New(t)
	var c WorkerClock
	var g Grant
	is.True(!g.Expired(&c, 100*time.Hour)) // no report of the worker
	c.Observe(0, 0, 0)
	g.Sent(c.Deadline(0, WorkerLease))
	is.True(!g.Expired(&c, WorkerLease+ExpiryMargin))
	// The 2 ms are for the rounding of two readings.
	is.True(g.Expired(&c, (WorkerLease+ExpiryMargin)*100/(100-DriftPercent)+2*time.Millisecond))
}

// Guards against a second run of a task: no other member may see the authority and the leases granted under it as
// expired while the holder still grants, or while the worker's last lease is in force.
func TestHolderStopsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder, other, worker := genRate(t, "holder"), genRate(t, "other"), genRate(t, "worker")
		sent := genDuration(t, "sent", time.Hour) // real times
		read := sent + genDuration(t, "log", 2*time.Second)
		var a Authority
		a.Confirm(elapsedOn(sent, holder))
		now := read + RenewalAuthority + genDuration(t, "later", 3*time.Minute)
		if !AuthorityExpired(elapsedOn(read, other), elapsedOn(now, other)) {
			return
		}
		if remaining := a.Remaining(elapsedOn(now, holder)); remaining > 0 {
			t.Fatalf("expired elsewhere with %s left for the holder", remaining)
		}
		lastGrant := sent + RenewalAuthority*10_000/time.Duration(holder)
		if leaseEnd := lastGrant + WorkerLease*10_000/time.Duration(worker); now < leaseEnd {
			t.Fatalf("expired %s before the last lease ends", leaseEnd-now)
		}
	})
}

// Guards against an authority that is shortened by a confirmation out of order, that exists without one, or whose end
// other members never see.
func TestAuthorityEnds(t *testing.T) {
	is := is.New(t)
	var a Authority
	is.Equal(a.Remaining(0), time.Duration(0))
	a.Confirm(10 * time.Second)
	a.Confirm(4 * time.Second)
	is.Equal(a.Remaining(10*time.Second), RenewalAuthority)
	is.Equal(a.Remaining(10*time.Second+RenewalAuthority), time.Duration(0))
	is.True(!AuthorityExpired(0, RenewalAuthority+WorkerLease+ExpiryMargin))
	is.True(AuthorityExpired(0, 80*time.Minute))
}
