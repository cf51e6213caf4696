package routing

// Budget limits extra attempts in proportion to requests: each request earns a share of one extra attempt.
type Budget struct {
	share, maxSaved, saved float64
}

// Extra attempts per request.
const (
	RetryShare = 0.10
	HedgeShare = 0.02
)

// NewBudget returns a budget with the given share. It saves at most maxSaved attempts, so that no burst follows a
// period of low load; it starts with one.
func NewBudget(share, maxSaved float64) *Budget {
	return &Budget{share: share, maxSaved: maxSaved, saved: min(1, maxSaved)}
}

// Earn adds the share that one request earns.
func (b *Budget) Earn() { b.saved = min(b.maxSaved, b.saved+b.share) }

// Spend takes one extra attempt, or returns false if less than one is saved.
func (b *Budget) Spend() bool {
	// Sums of shares are inexact; the tolerance is far below one share.
	if b.saved < 1-1e-9 {
		return false
	}
	b.saved--
	return true
}

// Refund returns an attempt that was not made.
func (b *Budget) Refund() { b.saved = min(b.maxSaved, b.saved+1) }

// MayRepeat reports whether a request whose attempt failed may be sent again. sent is true if an endpoint may
// have received a byte of it, and replayable if its body can be read again.
func MayRepeat(idempotent, sent, replayable bool) bool {
	return replayable && (idempotent || !sent)
}
