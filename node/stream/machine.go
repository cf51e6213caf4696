// Package stream reads and writes the log's streams: it appends records in groups, applies what it reads back
// to a state machine in log order, and keeps snapshots of that machine in the stream.
package stream

import (
	"waxwingslip.example/core/record"
)

// Verdict is what a state machine decided about one record.
type Verdict struct {
	Accepted bool
	// Duplicate marks a record whose id was applied before; it had no effect. Accepted and Reason are then those
	// of the earlier record if the machine still holds them.
	Duplicate bool
	// Reason explains a rejection.
	Reason string
	// Events lists what the record changed, for subscribers.
	Events []any
}

// Machine is a deterministic state machine. The Follower calls Apply and Restore under its write lock and
// Snapshot under its read lock.
type Machine interface {
	// Apply decides about the record at the offset. Snapshot records are not passed to it.
	Apply(offset int64, rec record.Record) Verdict
	// Snapshot encodes the state. Equal states give equal bytes.
	Snapshot() ([]byte, error)
	// Restore replaces the state. It changes nothing when it fails.
	Restore(data []byte) error
}

// Applied is one record of a stream with the machine's verdict.
type Applied struct {
	Offset  int64
	Record  record.Record
	Verdict Verdict
}

// Batch describes one change of the state to a subscriber.
type Batch struct {
	// Restored means that the state was replaced by a snapshot: events between the old and the new state are
	// not listed, and the subscriber must read the whole state again.
	Restored bool
	Applied  []Applied
}

// Counter counts events; telemetry counters satisfy it.
type Counter interface{ Add(n int64) }

type discardCounter struct{}

func (discardCounter) Add(int64) {}

func counterOrDiscard(c Counter) Counter {
	if c == nil {
		return discardCounter{}
	}
	return c
}
