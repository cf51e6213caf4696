package httpapi

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// ErrorCode is the status and code of a typed error on the wire.
type ErrorCode struct {
	Err    error
	Code   string
	Status int
}

// ErrorTable lists the typed errors of an interface.
type ErrorTable []ErrorCode

// wireError is the body of an error response. Extra holds the data that the interface returns along with the error.
type wireError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Extra   []byte `json:"extra,omitempty"`
}

// responseError is a typed error with the message that the server sent.
type responseError struct {
	cause   error
	message string
}

// Error implements error.
func (e *responseError) Error() string { return e.message }

// Unwrap returns the typed error.
func (e *responseError) Unwrap() error { return e.cause }

// parseError returns the error of a response with a status other than 200. The error is typed only if both status
// and code match the table, because a proxy between client and server may have sent the response.
func parseError(resp *http.Response, table ErrorTable) ([]byte, error) {
	body, err := readLimited(resp.Body, maxErrorBytes)
	if err != nil {
		return nil, errors.Wrapf(err, "status %d", resp.StatusCode)
	}
	var w wireError
	if err := json.Unmarshal(body, &w); err == nil {
		for _, c := range table {
			if c.Code == w.Code && c.Status == resp.StatusCode {
				return w.Extra, &responseError{cause: c.Err, message: w.Message}
			}
		}
	}
	return nil, errors.Errorf("unexpected status %d: %.200q", resp.StatusCode, body)
}

// connectionAborter is implemented by errors after which the connection is closed without a response.
type connectionAborter interface{ AbortConnection() bool }

// WriteError responds with an error and, if it is in the table, with extra. Any other error becomes status 500, which
// leaves the outcome of the call unknown to the client. An error with AbortConnection closes the connection instead.
func WriteError(w http.ResponseWriter, err error, table ErrorTable, extra []byte) {
	var a connectionAborter
	if errors.As(err, &a) && a.AbortConnection() {
		panic(http.ErrAbortHandler)
	}
	status, response := http.StatusInternalServerError, wireError{Code: "internal", Message: err.Error()}
	for _, c := range table {
		if errors.Is(err, c.Err) {
			status, response.Code, response.Extra = c.Status, c.Code, extra
			break
		}
	}
	body, _ := json.Marshal(response)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
