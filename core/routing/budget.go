package routing

// Budget allows extra work in proportion to regular work: each request earns a share of one extra attempt.
type Budget struct {
	share, most, saved float64
}

// Shares of extra attempts among the requests.
const (
	RetryShare = 0.10
	HedgeShare = 0.02
)

// NewBudget returns a budget with the given share. It saves at most most attempts, so that a quiet time does not
// allow a burst; it starts with one.
func NewBudget(share, most float64) *Budget {
	return &Budget{share: share, most: most, saved: min(1, most)}
}

// Earn counts a request.
func (b *Budget) Earn() { b.saved = min(b.most, b.saved+b.share) }

// Spend takes one extra attempt if the budget has it.
func (b *Budget) Spend() bool {
	// Sums of shares are inexact; the tolerance is far below one share.
	if b.saved < 1-1e-9 {
		return false
	}
	b.saved--
	return true
}

// Refund returns an attempt that was not made.
func (b *Budget) Refund() { b.saved = min(b.most, b.saved+1) }

// MayRepeat reports whether a request whose attempt failed may be sent again. sent is true if an endpoint may
// have received a byte of it, and replayable if its body can be read again.
func MayRepeat(idempotent, sent, replayable bool) bool {
	return replayable && (idempotent || !sent)
}
