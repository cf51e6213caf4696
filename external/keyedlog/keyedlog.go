// Package keyedlog is the interface to the platform's store as jobs use it: partitioned topics to which keyed records
// are appended, and which keep the newest record of every key.
package keyedlog

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Partition identifies a partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// Record is a keyed record. A nil value deletes the key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Writer identifies the sender of an append, so that a repeat is recognised and an older epoch is refused.
type Writer struct {
	Name  string
	Epoch int64
	// Sequence numbers the appends of an epoch without gaps.
	Sequence int64
}

// Append is a request to add records atomically.
type Append struct {
	Partition Partition
	Records   []Record
	// At, if set, makes the append conditional on the partition ending at this offset.
	At *int64
	// Writer is nil for appends that are not fenced.
	Writer *Writer
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// End is the offset after the newest record of the partition.
	End int64
}

// Page is one page of the newest records of a partition.
type Page struct {
	Records []Record
	// Next is the key after which the next page starts; empty on the last page.
	Next string
	End  int64
}

// Store is the platform's store.
type Store interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, a Append) (int64, error)
	// Read returns records from an offset, waiting up to wait for the first one. If a response is cut off, it returns
	// the error with the records that arrived whole.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of every key after a key, one page at a time. The pages are not one snapshot.
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}

// Errors of the store. After any other error of Append, it may or may not take effect.
var (
	// ErrRefused means that the call had no effect and may succeed later.
	ErrRefused = errors.New("store refused the call")
	// ErrRejected means that the call had no effect and that the store never takes these records, such as ones that are
	// too large.
	ErrRejected = errors.New("store never takes the records")
	// ErrOffsetMismatch means that the partition did not end at the given offset.
	ErrOffsetMismatch = errors.New("partition ends elsewhere")
	// ErrFenced means that a newer epoch of the writer exists.
	ErrFenced = errors.New("fenced by a newer epoch")
	// ErrSequence means that the sequence number does not follow the last one.
	ErrSequence = errors.New("sequence number does not follow")
	// ErrTrimmed means that the records at the offset were trimmed.
	ErrTrimmed = errors.New("records were trimmed")
)
