package routing

import "time"

// Bucket is a token bucket: it holds at most burst tokens and gains rate tokens per second.
type Bucket struct {
	rate, burst, tokens float64
	refilledAt          time.Duration
}

// NewBucket returns a full bucket.
func NewBucket(rate, burst float64, now time.Duration) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst, refilledAt: now}
}

// SetRate changes the rate and the burst, and reduces the tokens to the new burst.
func (b *Bucket) SetRate(rate, burst float64, now time.Duration) {
	if rate == b.rate && burst == b.burst {
		return
	}
	b.refill(now)
	b.rate, b.burst, b.tokens = rate, burst, min(b.tokens, burst)
}

// Take removes n tokens, or returns false if there are fewer.
func (b *Bucket) Take(now time.Duration, n float64) bool {
	b.refill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Charge removes n tokens, and may leave a negative balance: the size of an answer is known only after its transfer.
func (b *Bucket) Charge(now time.Duration, n float64) {
	b.refill(now)
	b.tokens -= n
}

// Wait returns the time until n tokens are available; n must not exceed the burst.
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

// isFull reports whether the bucket holds its burst and thus equals a new one.
func (b *Bucket) isFull(now time.Duration) bool {
	b.refill(now)
	return b.tokens >= b.burst
}

func (b *Bucket) refill(now time.Duration) {
	if now > b.refilledAt {
		b.tokens = min(b.burst, b.tokens+(now-b.refilledAt).Seconds()*b.rate)
		b.refilledAt = now
	}
}
