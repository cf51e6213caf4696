package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"waxwingslip.example/node/ctxtime"
)

// Bounds of the wait after a failed call to the store. The store returns within seconds; a longer wait would
// add to the outage, a shorter one to its load.
const (
	backoffMin = 50 * time.Millisecond
	backoffMax = 600 * time.Millisecond
)

// Backoff is the growing wait between repeated calls. The zero value starts at the shortest.
type Backoff struct{ next time.Duration }

// Sleep waits, with jitter, or until the context ends.
func (b *Backoff) Sleep(ctx context.Context) {
	b.next = min(max(2*b.next, backoffMin), backoffMax)
	ctxtime.Sleep(ctx, b.next/2+rand.N(b.next/2))
}

// Reset starts again at the shortest wait.
func (b *Backoff) Reset() { b.next = 0 }
