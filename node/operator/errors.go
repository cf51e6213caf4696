package operator

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"waxwingslip.example/node/operator/api"
)

// Errors that an implementation of Queries or Commands returns; they decide the HTTP status.
var (
	// ErrNotFound means that the subject of a query does not exist. Status 404.
	ErrNotFound = errors.New("not found")
	// ErrOtherZone means that only daemons of another zone can answer the query. Status 421.
	ErrOtherZone = errors.New("this daemon serves another zone")
	// ErrNotReady means that the daemon has not read its streams yet or is shutting down. Status 503.
	ErrNotReady = errors.New("daemon is not ready")
)

// StepError is an error with the processing step that failed and the peer involved.
type StepError struct {
	Step string
	Peer string
	Err  error
}

// Error implements error.
func (e *StepError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, ErrOtherZone):
		return http.StatusMisdirectedRequest
	case errors.Is(err, ErrNotReady):
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

func problemOf(step string, err error) api.Problem {
	var s *StepError
	if errors.As(err, &s) {
		return api.Problem{Step: s.Step, Peer: s.Peer, Message: err.Error()}
	}
	return api.Problem{Step: step, Message: err.Error()}
}
