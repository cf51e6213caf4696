package ledger

import (
	"context"
	"time"

	"waxwingslip.example/external/keyedlog"
)

// Limits of one call to the store. Without a response in time, its connection counts as unresponsive, and the caller
// repeats the call.
const (
	// ReadMargin is the time beyond its wait after which a read times out.
	ReadMargin = time.Second
	// pageTimeout limits the read of one page of the newest records.
	pageTimeout = 2 * time.Second
	// appendTimeout limits an append. Most callers have shorter limits.
	appendTimeout = attemptTimeoutMax
)

// TimedStore is a store whose calls all have a time limit, and that measures the latency of all appends of a process. It
// is safe for concurrent use.
type TimedStore struct {
	store   keyedlog.Store
	latency latency
}

// NewTimedStore returns a TimedStore that forwards calls to a store.
func NewTimedStore(store keyedlog.Store) *TimedStore { return &TimedStore{store: store} }

// Append implements keyedlog.Store.
func (s *TimedStore) Append(ctx context.Context, a keyedlog.Append) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	start := time.Now()
	offset, err := s.store.Append(ctx, a)
	if err == nil {
		s.latency.observe(time.Since(start))
	}
	return offset, err
}

// Read implements keyedlog.Store.
func (s *TimedStore) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+ReadMargin)
	defer cancel()
	return s.store.Read(ctx, p, from, wait)
}

// Newest implements keyedlog.Store.
func (s *TimedStore) Newest(ctx context.Context, p keyedlog.Partition, after string) (keyedlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return s.store.Newest(ctx, p, after)
}
