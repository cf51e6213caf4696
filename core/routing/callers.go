package routing

import "time"

// Callers limits the request rate of each caller with bounded memory.
type Callers struct {
	maxCallers int
	buckets    map[string]*Bucket
	// overflow is shared by the callers beyond maxCallers.
	overflow *Bucket
	// lastSweep is when full buckets were last removed.
	lastSweep time.Duration
}

// NewCallers returns a limiter with separate buckets for at most maxCallers callers at a time.
func NewCallers(maxCallers int) *Callers {
	return &Callers{maxCallers: maxCallers, buckets: map[string]*Bucket{}}
}

// Allow counts a request and reports whether it is within the caller's limit. rate is in requests per second, 0 is
// unlimited; the burst is one second's worth.
func (c *Callers) Allow(now time.Duration, caller string, rate float64) bool {
	if rate <= 0 {
		return true
	}
	burst := max(1, rate)
	b := c.buckets[caller]
	if b == nil {
		b = c.addBucket(now, caller, rate, burst)
	}
	b.SetRate(rate, burst, now)
	return b.Take(now, 1)
}

func (c *Callers) addBucket(now time.Duration, caller string, rate, burst float64) *Bucket {
	if len(c.buckets) >= c.maxCallers {
		c.sweep(now)
	}
	if len(c.buckets) >= c.maxCallers {
		if c.overflow == nil {
			c.overflow = NewBucket(rate, burst, now)
		}
		return c.overflow
	}
	b := NewBucket(rate, burst, now)
	c.buckets[caller] = b
	return b
}

// sweep removes buckets that are full again, because a new bucket would be equal. It runs at most once a second, so
// that with many callers not every request bears its cost.
func (c *Callers) sweep(now time.Duration) {
	if now-c.lastSweep < time.Second && c.lastSweep != 0 {
		return
	}
	c.lastSweep = now
	for caller, b := range c.buckets {
		if b.isFull(now) {
			delete(c.buckets, caller)
		}
	}
}
