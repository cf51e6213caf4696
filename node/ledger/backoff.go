package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"waxwingslip.example/node/ctxtime"
)

// Bounds of the delay after a failed call to the store. The store recovers within seconds: a longer delay would
// prolong the outage, a shorter one would add load.
const (
	backoffMin = 50 * time.Millisecond
	backoffMax = 600 * time.Millisecond
)

// Backoff is an exponential delay between retries. The zero value starts at the shortest delay.
type Backoff struct{ next time.Duration }

// Sleep waits for the next delay, with jitter, or until the context ends.
func (b *Backoff) Sleep(ctx context.Context) {
	b.next = min(max(2*b.next, backoffMin), backoffMax)
	ctxtime.Sleep(ctx, b.next/2+rand.N(b.next/2))
}

// Reset starts again at the shortest delay.
func (b *Backoff) Reset() { b.next = 0 }
