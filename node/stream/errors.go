package stream

import (
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

// Errors of Submit and of the Follower. errors.Is finds them in wrapped errors.
var (
	// ErrUnknown means that the record may or may not take effect.
	ErrUnknown = errors.New("outcome of the record is unknown")
	// ErrNotAppended means that the record is not in the log and never will be.
	ErrNotAppended = errors.New("record was not appended")
	// ErrQueueFull means that the queue of records to append is full. The record was not appended.
	ErrQueueFull = errors.New("append queue is full")
	// ErrNoSnapshot means that the stream's older entries have expired and no complete snapshot is left.
	ErrNoSnapshot = errors.New("stream has no complete snapshot")
	// ErrNotReady means that the Follower has no state yet.
	ErrNotReady = errors.New("follower has no state yet")
)

// Error is a failure of one step on a stream.
type Error struct {
	// Step names the operation that failed, for instance "append" or "read".
	Step   string
	Stream string
	// Kind is one of the errors above, or nil.
	Kind error
	// Cause is the underlying error, or nil.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	msg := fmt.Sprintf("%s stream %s", e.Step, e.Stream)
	for _, err := range []error{e.Kind, e.Cause} {
		if err != nil {
			msg += ": " + err.Error()
		}
	}
	return msg
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error {
	var out []error
	for _, err := range []error{e.Kind, e.Cause} {
		if err != nil {
			out = append(out, err)
		}
	}
	return out
}

// GapError means that entries do not follow the last applied one.
type GapError struct {
	Want, Got int64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("entry has offset %d, expected %d", e.Got, e.Want)
}

// maxRetryDelay limits the delay between attempts. It keeps the delay after an outage, with its jitter, well below
// the 6 s after which a member without a heartbeat is expired.
const maxRetryDelay = time.Second

// newBackoff returns delays of 100 ms to max with jitter of one half, so that daemons that lost the log at the
// same time do not retry at the same time.
func newBackoff(max time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = max
	b.Multiplier = 2
	b.RandomizationFactor = 0.5
	b.Reset()
	return b
}
