// Package keyedlog is the interface to the platform's store as jobs use it: topics of partitions to which keyed
// records are appended, and of which the newest record of every key is kept.
package keyedlog

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Partition names a partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// Record is a keyed record. A nil value drops the key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Writer identifies the sender of an append so that a repeat is recognised and an older epoch is refused.
type Writer struct {
	Name  string
	Epoch int64
	// Sequence numbers the appends of an epoch without gaps.
	Sequence int64
}

// Append adds records, all or none.
type Append struct {
	Partition Partition
	Records   []Record
	// At, if set, lets the append take effect only if the partition ends at this offset.
	At *int64
	// Writer is nil for appends that are not fenced.
	Writer *Writer
}

// Batch is what a read returned.
type Batch struct {
	Records []Record
	// End is the offset after the newest record of the partition.
	End int64
}

// Page is a part of the newest records of a partition.
type Page struct {
	Records []Record
	// Next is the key to continue after; empty on the last page.
	Next string
	End  int64
}

// Store is the platform's store.
type Store interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, a Append) (int64, error)
	// Read returns records from an offset, waiting up to wait for the first one.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of every key after a key, in pages that are no snapshot.
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}

// Errors of the store. Any other error of Append leaves open whether it took or takes effect.
var (
	// ErrRefused means that the store did nothing and may do so later.
	ErrRefused = errors.New("store refused the call")
	// ErrMoved means that the partition did not end at the given offset.
	ErrMoved = errors.New("partition ends elsewhere")
	// ErrFenced means that a newer epoch of the writer exists.
	ErrFenced = errors.New("fenced by a newer epoch")
	// ErrSequence means that the sequence number does not follow the last one.
	ErrSequence = errors.New("sequence number does not follow")
	// ErrTrimmed means that records at the offset were dropped.
	ErrTrimmed = errors.New("records were dropped")
)
