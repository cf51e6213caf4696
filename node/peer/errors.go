package peer

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// ErrNotSent is matched by the error of a call that no handler of the peer has received or will receive. After any
// other error the call may have run. CallError.BodyRead reports whether the body was read.
var ErrNotSent = errors.New("call did not reach the peer's handler")

// Code classifies an error response.
type Code uint16

// Codes below CodeInternal mean that no handler ran.
const (
	CodeOK            Code = 0
	CodeUnknownMethod Code = 1
	CodeBadFrame      Code = 2
	CodeOverloaded    Code = 3
	CodeShuttingDown  Code = 4
	// CodeInternal is the code of handler errors that are not a RemoteError.
	CodeInternal Code = 100
	// CodeApplication is the first code that handlers may define.
	CodeApplication Code = 200
)

// RemoteError is an error response of the peer. Handlers return one to choose the code; they must not use codes
// below CodeInternal.
type RemoteError struct {
	Code    Code
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer answered with error %d: %s", e.Code, e.Message)
}

// CodeOf returns the code of an error response, and false if err is not caused by one.
func CodeOf(err error) (Code, bool) {
	var r *RemoteError
	if errors.As(err, &r) {
		return r.Code, true
	}
	return 0, false
}

// CallError is the error that every failed call returns.
type CallError struct {
	// Peer is the address that was called.
	Peer   string
	Method string
	// Step is the step that failed: encode, connect, open, receive, decode or body.
	Step string
	// Sent reports whether a handler of the peer may have received the call.
	Sent bool
	// BodyRead reports whether a read of the body of a Stream was started. If it is false, the body is unchanged
	// and may be sent elsewhere.
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
	streamBodyCut  quic.StreamErrorCode = 1 // the body could not be sent to its end
	streamCanceled quic.StreamErrorCode = 2 // the caller canceled the call
)

// Connection error codes.
const (
	connClosed  quic.ApplicationErrorCode = 0
	connAborted quic.ApplicationErrorCode = 1
	// connRefused is sent on a connection on which no call was accepted.
	connRefused quic.ApplicationErrorCode = 2
)

// connRejected reports whether err proves that the peer ran no call of the connection, because it refused the
// handshake or the connection.
func connRejected(err error) bool {
	var a *quic.ApplicationError
	if errors.As(err, &a) && a.Remote && a.ErrorCode == connRefused {
		return true
	}
	var t *quic.TransportError
	return errors.As(err, &t) && t.Remote && (t.ErrorCode.IsCryptoError() || t.ErrorCode == quic.ConnectionRefused)
}

// endedByCaller reports whether the caller's context ended the call, so that err says nothing about the peer's health.
func endedByCaller(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
