package routing

import "time"

// Bucket is a token bucket: it holds at most Burst tokens and gains Rate tokens a second.
type Bucket struct {
	rate, burst, tokens float64
	updated             time.Duration
}

// NewBucket returns a full bucket.
func NewBucket(rate, burst float64, now time.Duration) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst, updated: now}
}

// SetRate changes the rate and the burst; the tokens stay within the new burst.
func (b *Bucket) SetRate(rate, burst float64, now time.Duration) {
	if rate == b.rate && burst == b.burst {
		return
	}
	b.refill(now)
	b.rate, b.burst, b.tokens = rate, burst, min(b.tokens, burst)
}

// Take removes n tokens if there are as many.
func (b *Bucket) Take(now time.Duration, n float64) bool {
	b.refill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Charge removes n tokens, and may leave a debt: the size of an answer is known only after it was carried.
func (b *Bucket) Charge(now time.Duration, n float64) {
	b.refill(now)
	b.tokens -= n
}

// Wait returns how long it takes until n tokens are there; n must not exceed the burst.
func (b *Bucket) Wait(now time.Duration, n float64) time.Duration {
	b.refill(now)
	if b.tokens >= n {
		return 0
	}
	if b.rate <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration((n - b.tokens) / b.rate * float64(time.Second))
}

// isFull reports whether the bucket holds all its tokens, so that it carries no information.
func (b *Bucket) isFull(now time.Duration) bool {
	b.refill(now)
	return b.tokens >= b.burst
}

func (b *Bucket) refill(now time.Duration) {
	if now > b.updated {
		b.tokens = min(b.burst, b.tokens+(now-b.updated).Seconds()*b.rate)
		b.updated = now
	}
}
