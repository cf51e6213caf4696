// Package logstore defines the interface to the platform's append-only log service, with its HTTP client and handler.
package logstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. After an error that wraps neither of them, the outcome of an Append is unknown:
// the entries may be in the log.
var (
	// ErrRejected means that the store rejected the call and changed nothing.
	ErrRejected = errors.New("log store rejected the call")
	// ErrExpired means that the requested offset is below the first offset that the store keeps.
	ErrExpired = errors.New("offset has expired")
)

// Entry is one entry of a stream.
type Entry struct {
	// Offset starts at 1 and increases by one with each entry.
	Offset  int64
	Payload []byte
}

// Page is the result of a Read.
type Page struct {
	Entries []Entry
	// First is the lowest offset that the store still keeps.
	First int64
	// End is the offset of the next entry to be appended. Entries up to End-1 existed when the store
	// responded, so a reader that has applied End-1 was current at that time.
	End int64
}

// Store is the log service.
type Store interface {
	// Append atomically adds the payloads as consecutive entries and returns the offset of the first one.
	Append(ctx context.Context, stream string, payloads [][]byte) (first int64, err error)
	// Read returns up to max entries, starting at offset from. If there is none, it waits for one, at most for
	// wait. An offset below First returns ErrExpired together with a Page that has First and End.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Page, error)
}
