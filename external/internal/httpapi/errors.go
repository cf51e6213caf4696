package httpapi

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// ErrorCode gives a typed error its form on the wire.
type ErrorCode struct {
	Err    error
	Code   string
	Status int
}

// ErrorTable lists the typed errors of an interface.
type ErrorTable []ErrorCode

// wireError is the body of a refusal. Extra holds what the interface returns along with the error.
type wireError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Extra   []byte `json:"extra,omitempty"`
}

// refusal is a typed error with the message of the server.
type refusal struct {
	cause   error
	message string
}

// Error implements error.
func (e *refusal) Error() string { return e.message }

// Unwrap returns the typed error.
func (e *refusal) Unwrap() error { return e.cause }

// readError turns an answer other than 200 into an error. Only a status and code that match the table give a
// typed error, because an answer of anything between client and server proves nothing.
func readError(resp *http.Response, table ErrorTable) ([]byte, error) {
	body, err := readLimited(resp.Body, maxErrorBytes)
	if err != nil {
		return nil, errors.Wrapf(err, "status %d", resp.StatusCode)
	}
	var w wireError
	if err := json.Unmarshal(body, &w); err == nil {
		for _, c := range table {
			if c.Code == w.Code && c.Status == resp.StatusCode {
				return w.Extra, &refusal{cause: c.Err, message: w.Message}
			}
		}
	}
	return nil, errors.Errorf("unexpected status %d: %.200q", resp.StatusCode, body)
}

// aborter is implemented by errors after which the connection is cut without an answer.
type aborter interface{ AbortConnection() bool }

// WriteError answers a request with an error. Errors that are not in the table become status 500, which
// leaves the outcome open.
func WriteError(w http.ResponseWriter, err error, table ErrorTable, extra []byte) {
	var a aborter
	if errors.As(err, &a) && a.AbortConnection() {
		panic(http.ErrAbortHandler)
	}
	status, out := http.StatusInternalServerError, wireError{Code: "internal", Message: err.Error()}
	for _, c := range table {
		if errors.Is(err, c.Err) {
			status, out.Code, out.Extra = c.Status, c.Code, extra
			break
		}
	}
	body, _ := json.Marshal(out)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
