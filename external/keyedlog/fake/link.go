package fake

import (
	"context"
	"sync"
	"time"

	"waxwingslip.example/external/keyedlog"
)

// linkChunk is the number of bytes that a link carries at a time; transfers that overlap take turns.
const linkChunk = 16 << 10

// Link carries calls at a limited rate, which all that share it have together. It is safe for concurrent use.
type Link struct {
	bytesPerSecond int64

	mu     sync.Mutex
	freeAt time.Time
	bytes  int64
}

// NewLink returns an idle link.
func NewLink(bytesPerSecond int64) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// Bytes returns the number of bytes that the link has carried.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// carry returns when the whole response has arrived, or with the bytes that had arrived when the context ended.
func (l *Link) carry(ctx context.Context, size int64) (arrived int64, err error) {
	for arrived < size {
		n := min(size-arrived, linkChunk)
		l.mu.Lock()
		if now := time.Now(); l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
		l.bytes += n
		t := time.NewTimer(time.Until(l.freeAt))
		l.mu.Unlock()
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return arrived, ctx.Err()
		}
		arrived += n
		keyedlog.ReportProgress(ctx, int(n))
	}
	return arrived, nil
}

// recordOverhead is the number of bytes that frame a record.
const recordOverhead = 5

func recordSize(r keyedlog.Record) int64 { return int64(recordOverhead + len(r.Key) + len(r.Value)) }

func recordSizes(records []keyedlog.Record) (size int64) {
	for _, r := range records {
		size += recordSize(r)
	}
	return size
}

// carryBatch carries the response of a read. If it is cut off, the records that have arrived whole remain.
func (l *Link) carryBatch(ctx context.Context, b keyedlog.Batch) (keyedlog.Batch, error) {
	arrived, err := l.carry(ctx, recordSizes(b.Records))
	if err == nil {
		return b, nil
	}
	whole := 0
	for whole < len(b.Records) && arrived >= recordSize(b.Records[whole]) {
		arrived -= recordSize(b.Records[whole])
		whole++
	}
	b.Records = b.Records[:whole]
	return b, err
}

// carryPage carries one page, whose values are in base64.
func (l *Link) carryPage(ctx context.Context, p keyedlog.Page) error {
	var size int64
	for _, r := range p.Records {
		size += recordSize(r) + int64(len(r.Value)/3)
	}
	_, err := l.carry(ctx, size)
	return err
}
