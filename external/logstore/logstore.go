// Package logstore is the interface to the platform's append-only log service.
package logstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. An error that wraps none of the definite ones leaves the outcome of an Append open:
// the entries may be in the log.
var (
	// ErrRejected means that the store refused the call and changed nothing.
	ErrRejected = errors.New("log store rejected the call")
	// ErrExpired means that the offset asked for is below the first offset kept.
	ErrExpired = errors.New("offset has expired")
)

// Entry is one entry of a stream.
type Entry struct {
	// Offset rises by one for each entry and starts at 1.
	Offset  int64
	Payload []byte
}

// Page is the result of a Read.
type Page struct {
	Entries []Entry
	// First is the lowest offset that the store still keeps.
	First int64
	// End is the offset that the next appended entry will have. Entries up to End-1 existed when the store
	// answered, so a reader that has applied End-1 was current at that time.
	End int64
}

// Store is the log service.
type Store interface {
	// Append adds the payloads as consecutive entries, all or none, and returns the first one's offset.
	Append(ctx context.Context, stream string, payloads [][]byte) (first int64, err error)
	// Read returns up to max entries from offset from. If there is none, it waits up to wait for one. An
	// offset below First gives ErrExpired together with a Page that has First and End.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Page, error)
}
