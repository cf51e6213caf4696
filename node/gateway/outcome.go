package gateway

import (
	"fmt"

	"github.com/pkg/errors"
)

// Outcome is what the caller may conclude about its request.
type Outcome string

// Outcomes, as sent in the header Waxwingslip-Outcome.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
)

// NotSentError means that the peer received no byte of a request.
type NotSentError struct {
	// Step is the operation that failed, Peer the address or zone of its destination.
	Step, Peer string
	Err        error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("%s %s: not sent: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// SentError means that the peer may have received the request, but no answer was received.
type SentError struct {
	Step, Peer string
	Err        error
}

// Error implements error.
func (e *SentError) Error() string {
	return fmt.Sprintf("%s %s: possibly received: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *SentError) Unwrap() error { return e.Err }

// notSent reports whether err proves that nothing was sent.
func notSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}
