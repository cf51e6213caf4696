package gateway

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// call is one request of a caller. Its fields do not change after it was parsed, except those of body and stats.
type call struct {
	service Service
	method  string
	// path is the escaped path with the query that the endpoint receives.
	path          string
	header        http.Header
	trailer       http.Header
	body          *body
	contentLength int64
	caller        string
	// key is empty for requests without one.
	key string
	// deadline is zero if there is none.
	deadline time.Time
	// deadlineCoversBody is true if the deadline covers the body of the answer, not only its header.
	deadlineCoversBody bool
	idempotent         bool
	// mayForward is false for requests that a peer sent with PurposeRoute.
	mayForward bool
	// forwarded is true for requests that came from a peer.
	forwarded bool
	arrived   time.Time
	stats     callStats
}

// callStats counts the attempts of a call. Only the goroutine that routes the call writes it.
type callStats struct {
	attempts int
	hedged   bool
	// maybeSent is true if an attempt failed after an endpoint may have received a byte.
	maybeSent bool
}

// recordFailure records an attempt that failed with err and may have sent a byte. A nil err is ignored.
func (c *call) recordFailure(err error) {
	if err != nil && !notSent(err) {
		c.stats.maybeSent = true
	}
}

// answer is the response to a caller or a peer. Its body is closed by the code that writes or discards it.
type answer struct {
	status        int
	header        http.Header
	body          io.ReadCloser
	contentLength int64
	trailer       func() http.Header
	// announced lists the trailer fields that the endpoint announced.
	announced []string
	outcome   Outcome
	// endpoint and zone served the request; timeBreakdown is the breakdown of its duration.
	endpoint             Endpoint
	zone                 string
	timeBreakdown        TimeBreakdown
	endpointTimeReported bool
	// closing is true if the endpoint closes the connection after the answer.
	closing bool
	// leaving is true if the answer shows that the endpoint is leaving.
	leaving bool
}

// errorAnswer returns an error answer of this daemon itself.
func errorAnswer(status int, outcome Outcome, message string) *answer {
	text := message + "\n"
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	return &answer{status: status, header: h, outcome: outcome, contentLength: int64(len(text)),
		body: io.NopCloser(strings.NewReader(text))}
}

// isIdempotent reports whether a request may be repeated.
func isIdempotent(s Service, method, path string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	path, _, _ = strings.Cut(path, "?")
	for _, prefix := range s.IdempotentPaths {
		if underPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// underPrefix matches whole path segments, so that "/pay" does not cover "/payments". A path with dot
// segments never matches, because the endpoint may resolve it to another path.
func underPrefix(path, prefix string) bool {
	if strings.Contains(path, "/.") || strings.Contains(path, "%") {
		return false
	}
	prefix = strings.TrimSuffix(prefix, "/")
	return prefix != "" && (path == prefix || strings.HasPrefix(path, prefix+"/"))
}

// timeLeft returns the time from now to the deadline, or 0 if there is no deadline.
func (c *call) timeLeft(now time.Time) time.Duration {
	if c.deadline.IsZero() {
		return 0
	}
	return max(c.deadline.Sub(now), time.Microsecond)
}
