// Package boundary contains unexpected errors: it turns a panic into an error or a response, so that one record, call
// or job cannot end the process.
package boundary

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"

	"github.com/rs/zerolog"

	"waxwingslip.example/node/telemetry"
)

// PanicError is a panic that was contained.
type PanicError struct {
	Value any
	// Stack is the stack of the goroutine at the panic.
	Stack string
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("unexpected error: %v", e.Value) }

// Run calls f and returns a *PanicError if f panics. Locks that f holds must be released by deferred calls.
func Run(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: string(debug.Stack())}
		}
	}()
	f()
	return nil
}

// Handler returns a handler that responds with status 500 if h panics, and counts and logs the panic. A response that
// has begun is cut off instead.
func Handler(h http.Handler, log zerolog.Logger, panics *telemetry.Counter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &responseTracker{ResponseWriter: w}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v == http.ErrAbortHandler {
				panic(v)
			}
			panics.Inc()
			log.Error().Str("method", r.Method).Str("path", r.URL.Path).Str("peer", r.RemoteAddr).
				Str("error", fmt.Sprint(v)).Str("stack", strings.TrimSpace(string(debug.Stack()))).
				Msg("request failed unexpectedly")
			if tracked.begun {
				panic(http.ErrAbortHandler)
			}
			http.Error(w, `{"error":"unexpected error"}`, http.StatusInternalServerError)
		}()
		h.ServeHTTP(tracked, r)
	})
}

// responseTracker records whether a response has begun.
type responseTracker struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (t *responseTracker) WriteHeader(status int) {
	t.begun = true
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *responseTracker) Write(data []byte) (int, error) {
	t.begun = true
	return t.ResponseWriter.Write(data)
}

// Unwrap supports http.ResponseController.
func (t *responseTracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }
