package ledger

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"waxwingslip.example/external/keyedlog"
)

// Limits of one append of a group. The first record is always included, however large.
const (
	// groupMaxRecords limits the callers' commands that succeed or fail together.
	groupMaxRecords = 64
	// groupMaxBytes keeps one append well below the limit of the store for one call.
	groupMaxBytes = 256 << 10
	// groupAttempt counts an append of a group as a first retry, which has twice the timeout: the group is used after
	// an append without a response.
	groupAttempt = 1
)

// GroupAppender appends the records of many callers to one partition, one call at a time. Records that arrive during a
// call share the next one, so a slow store takes as many records as a fast one. It is safe for concurrent use.
type GroupAppender struct {
	appender  *AtLeastOnceAppender
	partition keyedlog.Partition

	mu sync.Mutex
	// pending holds the records that are in no call yet, oldest first. Guarded by mu.
	pending []*pendingRecord
	// appending is true while a goroutine runs appendPending. Guarded by mu.
	appending bool
}

// pendingRecord is a record of one caller.
type pendingRecord struct {
	record keyedlog.Record
	done   chan error // receives the result of the call with the record
}

// NewGroupAppender returns an appender without pending records.
func NewGroupAppender(appender *AtLeastOnceAppender, p keyedlog.Partition) *GroupAppender {
	return &GroupAppender{appender: appender, partition: p}
}

// Append adds a record in one call. If the context ends before the call starts, the record is never added and the error
// is keyedlog.ErrRefused; if it ends during the call, the error is ErrUncertain.
func (g *GroupAppender) Append(ctx context.Context, r keyedlog.Record) error {
	p := &pendingRecord{record: r, done: make(chan error, 1)}
	g.mu.Lock()
	g.pending = append(g.pending, p)
	if !g.appending {
		g.appending = true
		go g.appendPending()
	}
	g.mu.Unlock()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
	}
	if g.removePending(p) {
		return errors.Wrap(keyedlog.ErrRefused, "earlier appends of the group take too long")
	}
	select {
	case err := <-p.done:
		return err
	default:
		return errors.Wrap(ErrUncertain, "append of the group is open")
	}
}

// removePending removes a record that is in no call yet and reports whether it did.
func (g *GroupAppender) removePending(p *pendingRecord) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.pending {
		if other == p {
			g.pending = append(g.pending[:i], g.pending[i+1:]...)
			return true
		}
	}
	return false
}

// appendPending makes calls until no record is pending.
func (g *GroupAppender) appendPending() {
	for batch := g.nextBatch(); batch != nil; batch = g.nextBatch() {
		records := make([]keyedlog.Record, len(batch))
		for i, p := range batch {
			records[i] = p.record
		}
		// The callers' contexts end at different times, so none of them limits the call.
		err := g.appender.Attempt(context.Background(), g.partition, records, groupAttempt)
		if errors.Is(err, keyedlog.ErrRejected) && len(batch) > 1 {
			g.appendEach(batch)
			continue
		}
		for _, p := range batch {
			p.done <- err
		}
	}
}

// appendEach appends the records of a rejected call one by one, so that a record that the store never takes fails alone.
func (g *GroupAppender) appendEach(batch []*pendingRecord) {
	for _, p := range batch {
		p.done <- g.appender.Attempt(context.Background(), g.partition, []keyedlog.Record{p.record}, groupAttempt)
	}
}

// nextBatch removes the records of the next call from pending. If there are none, it clears appending and returns nil.
func (g *GroupAppender) nextBatch() []*pendingRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, bytes := 0, 0
	for n < len(g.pending) && n < groupMaxRecords {
		bytes += len(g.pending[n].record.Key) + len(g.pending[n].record.Value)
		if bytes > groupMaxBytes && n > 0 {
			break
		}
		n++
	}
	if n == 0 {
		g.appending = false
		return nil
	}
	batch := g.pending[:n:n]
	g.pending = append([]*pendingRecord(nil), g.pending[n:]...)
	return batch
}
