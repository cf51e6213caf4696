package peer

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// ErrNotSent is matched by the error of a call that no handler of the peer has seen and none will see. Any
// other error leaves open whether the call ran. CallError.BodyRead tells whether the body was touched.
var ErrNotSent = errors.New("call did not reach the peer's handler")

// Code classifies the error that a peer answers with.
type Code uint16

// Codes below CodeInternal are given before a handler runs.
const (
	CodeOK            Code = 0
	CodeUnknownMethod Code = 1
	CodeBadFrame      Code = 2
	CodeOverloaded    Code = 3
	CodeShuttingDown  Code = 4
	// CodeInternal is the code of handler errors that are no RemoteError.
	CodeInternal Code = 100
	// CodeApplication is the first code that handlers may define for themselves.
	CodeApplication Code = 200
)

// RemoteError is an error that the peer answered with. Handlers return one to choose the code; they must not
// use codes below CodeInternal.
type RemoteError struct {
	Code    Code
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer answered with error %d: %s", e.Code, e.Message)
}

// CodeOf returns the code that a peer answered with, and false if err is no answer of a peer.
func CodeOf(err error) (Code, bool) {
	var r *RemoteError
	if errors.As(err, &r) {
		return r.Code, true
	}
	return 0, false
}

// CallError is the error of every call.
type CallError struct {
	// Peer is the address that was called.
	Peer   string
	Method string
	// Step is what failed: encode, connect, open, send, receive, decode or body.
	Step string
	// Sent tells whether a handler of the peer may have seen the call.
	Sent bool
	// BodyRead tells whether any of the body of a Stream was read. If it is false, the body is as before the
	// call and may be sent elsewhere.
	BodyRead bool
	Err      error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s at peer %s: %s: %s", e.Method, e.Peer, e.Step, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Is implements errors.Is for ErrNotSent.
func (e *CallError) Is(target error) bool { return target == ErrNotSent && !e.Sent }

// Stream error codes.
const (
	streamDone     quic.StreamErrorCode = 0 // the rest of the stream is not needed
	streamBodyCut  quic.StreamErrorCode = 1 // the body could not be read to its end
	streamCanceled quic.StreamErrorCode = 2 // the caller gave up
)

// Connection error codes.
const (
	connClosed  quic.ApplicationErrorCode = 0
	connAborted quic.ApplicationErrorCode = 1
	// connRefused closes a connection on which no call was accepted.
	connRefused quic.ApplicationErrorCode = 2
)

// notHandled tells whether a connection error proves that the peer ran nothing of the connection: it refused
// the handshake or the connection.
func notHandled(err error) bool {
	var a *quic.ApplicationError
	if errors.As(err, &a) && a.Remote && a.ErrorCode == connRefused {
		return true
	}
	var t *quic.TransportError
	return errors.As(err, &t) && t.Remote && (t.ErrorCode.IsCryptoError() || t.ErrorCode == quic.ConnectionRefused)
}

// callerGaveUp tells whether err says nothing about the peer's health.
func callerGaveUp(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
