package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Header fields of callers and endpoints.
const (
	// HeaderKey is the caller's UUIDv7, with an optional "zone/" before it.
	HeaderKey = "Idempotency-Key"
	// HeaderTimeout is the time in milliseconds within which the caller needs the complete answer.
	HeaderTimeout = "Waxwingslip-Timeout-Ms"
	// HeaderCaller names the caller for rate limits; without it the remote IP address is used.
	HeaderCaller = "Waxwingslip-Caller"
	// HeaderOutcome is the Outcome of the request.
	HeaderOutcome = "Waxwingslip-Outcome"
	// HeaderLeaving with the value 1 means that the answering endpoint is leaving.
	HeaderLeaving = "Waxwingslip-Leaving"
	// HeaderEndpointUs is the endpoint's processing time for the request in microseconds.
	HeaderEndpointUs = "Waxwingslip-Endpoint-Us"
	// HeaderStoredStatus is the status of an earlier answer of which only the status is stored.
	HeaderStoredStatus = "Waxwingslip-Stored-Status"
)

// Limits for requests of callers.
const (
	// MaxHeaderBytes limits a request's header, including the request line.
	MaxHeaderBytes = 32 << 10
	// MaxKeyBytes limits the idempotency key, including its zone.
	MaxKeyBytes = 128
	// MaxCallerBytes limits the caller's name.
	MaxCallerBytes = 128
	// MaxTimeout limits the timeout in a request; watchers that run longer set none.
	MaxTimeout = 24 * time.Hour
)

// hopByHop lists the header fields that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// endToEnd returns a copy of h without its hop-by-hop fields and those that Connection names.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// headerBytes returns the size of h on the wire.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// parseTimeout parses HeaderTimeout; present is false without it.
func parseTimeout(h http.Header) (timeout time.Duration, present bool, err error) {
	text := h.Get(HeaderTimeout)
	if text == "" {
		return 0, false, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > MaxTimeout.Milliseconds() {
		return 0, false, errors.Errorf("header %s is %.40q; allowed are 1 to %d milliseconds", HeaderTimeout, text,
			MaxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, true, nil
}

// singleValue returns the only value of a field of at most limit bytes, or "" if the field is missing.
func singleValue(h http.Header, name string, limit int) (string, error) {
	values := h.Values(name)
	if len(values) > 1 {
		return "", errors.Errorf("header %s occurs %d times; allowed is once", name, len(values))
	}
	if len(values) == 0 {
		return "", nil
	}
	if len(values[0]) > limit {
		return "", errors.Errorf("header %s has %d bytes; allowed are %d", name, len(values[0]), limit)
	}
	return values[0], nil
}

// parseEndpointTime parses HeaderEndpointUs of an answer; it returns false if the field is missing or invalid.
func parseEndpointTime(h http.Header) (time.Duration, bool) {
	us, err := strconv.ParseInt(h.Get(HeaderEndpointUs), 10, 64)
	if err != nil || us < 0 || us > MaxTimeout.Microseconds() {
		return 0, false
	}
	return time.Duration(us) * time.Microsecond, true
}
