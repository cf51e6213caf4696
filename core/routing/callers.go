package routing

import "time"

// Callers limits the request rate of each caller with bounded memory.
type Callers struct {
	most    int
	buckets map[string]*Bucket
	// rest is shared by callers for which there is no memory.
	rest *Bucket
	// swept is when full buckets were last dropped.
	swept time.Duration
}

// NewCallers returns limits for at most most callers at a time.
func NewCallers(most int) *Callers { return &Callers{most: most, buckets: map[string]*Bucket{}} }

// Allow counts a request. rate is in requests per second, 0 is unlimited; the burst is one second's worth.
func (c *Callers) Allow(now time.Duration, caller string, rate float64) bool {
	if rate <= 0 {
		return true
	}
	burst := max(1, rate)
	b := c.buckets[caller]
	if b == nil {
		b = c.add(now, caller, rate, burst)
	}
	b.SetRate(rate, burst, now)
	return b.Take(now, 1)
}

func (c *Callers) add(now time.Duration, caller string, rate, burst float64) *Bucket {
	if len(c.buckets) >= c.most {
		c.sweep(now)
	}
	if len(c.buckets) >= c.most {
		if c.rest == nil {
			c.rest = NewBucket(rate, burst, now)
		}
		return c.rest
	}
	b := NewBucket(rate, burst, now)
	c.buckets[caller] = b
	return b
}

// sweep drops buckets that are full again, because a new bucket would be equal. It runs at most once a second, so
// that many callers cannot make each request pay for it.
func (c *Callers) sweep(now time.Duration) {
	if now-c.swept < time.Second && c.swept != 0 {
		return
	}
	c.swept = now
	for caller, b := range c.buckets {
		if b.isFull(now) {
			delete(c.buckets, caller)
		}
	}
}
