// Package endpointd is a stand-in for the endpoint of a service: it echoes requests and keeps a journal of those
// that it executed.
package endpointd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the interfaces to callers and to endpoints.
const (
	HeaderRequestID = "Idempotency-Key"
	HeaderLeaving   = "Waxwingslip-Leaving"
	// HeaderEndpointUs is the time from the arrival of the request at the endpoint to the start of the response, in
	// microseconds.
	HeaderEndpointUs = "Waxwingslip-Endpoint-Us"
	// HeaderReplica names the replica in each response.
	HeaderReplica = "Echo-Replica"
)

const (
	maxRequestBodyBytes  = 64 << 20
	maxResponseBodyBytes = 256 << 20
	// maxJournalEntries limits the memory use of long test runs; the oldest half is dropped when it is reached.
	maxJournalEntries = 200_000
)

// Options describes an endpoint.
type Options struct {
	// Name identifies the replica in responses and in the journal.
	Name string
	// Delay returns the processing time of a request in addition to its delay parameter; nil means none.
	Delay func() time.Duration
	// Wait blocks a request before its execution, as a frozen VM does; nil means no wait.
	Wait func(ctx context.Context) error
}

// Execution is a journal entry of one executed request.
type Execution struct {
	RequestID string    `json:"requestId"`
	Replica   string    `json:"replica"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	BodyBytes int       `json:"bodyBytes"`
	At        time.Time `json:"at"`
}

// Echo is the response to a request without a size parameter.
type Echo struct {
	Replica   string `json:"replica"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"requestId,omitempty"`
	Body      string `json:"body"`
}

// Endpoint is an http.Handler that responds to every path with an Echo. The query changes the response:
//
//	delay=20ms   the request takes at least this long
//	size=1000    the body has this many bytes of Pattern instead of the Echo
//	status=503   the response has this status
//
// A request counts as executed and is entered in the journal as soon as its whole body has arrived.
type Endpoint struct {
	opts     Options
	leaving  atomic.Bool
	refusing atomic.Bool

	mu      sync.Mutex
	journal []Execution
	dropped int
}

// New returns an endpoint.
func New(opts Options) *Endpoint { return &Endpoint{opts: opts} }

// SetLeaving sets whether responses signal that the endpoint is leaving.
func (e *Endpoint) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

// SetRefusing sets whether the endpoint responds with 503 and "Connection: close" without executing requests.
func (e *Endpoint) SetRefusing(refusing bool) { e.refusing.Store(refusing) }

// Journal returns the executed requests in order.
func (e *Endpoint) Journal() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.journal)
}

// Dropped returns the number of oldest journal entries that were dropped.
func (e *Endpoint) Dropped() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dropped
}

// Pattern returns the byte at a position of a body requested with the size parameter.
func Pattern(position int) byte { return byte('a' + position%23) }

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begin := time.Now()
	if e.refusing.Load() {
		w.Header().Set("Connection", "close")
		http.Error(w, "endpoint is leaving", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.opts.Wait != nil && e.opts.Wait(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	e.record(r, len(body))
	q, err := parseQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.opts.Delay != nil {
		q.delay += e.opts.Delay()
	}
	if !sleep(r.Context(), q.delay) {
		return
	}
	w.Header().Set(HeaderEndpointUs, strconv.FormatInt(time.Since(begin).Microseconds(), 10))
	e.respond(w, r, q, body)
}

func (e *Endpoint) record(r *http.Request, bodyBytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.journal) >= maxJournalEntries {
		half := len(e.journal) / 2
		e.journal = append([]Execution(nil), e.journal[half:]...)
		e.dropped += half
	}
	e.journal = append(e.journal, Execution{
		RequestID: r.Header.Get(HeaderRequestID), Replica: e.opts.Name, Method: r.Method, Path: r.URL.Path,
		BodyBytes: bodyBytes, At: time.Now(),
	})
}

type responseOptions struct {
	delay  time.Duration
	size   int // -1 if not requested
	status int
}

func parseQuery(r *http.Request) (q responseOptions, err error) {
	q = responseOptions{size: -1, status: http.StatusOK}
	values := r.URL.Query()
	if v := values.Get("delay"); v != "" {
		if q.delay, err = time.ParseDuration(v); err != nil {
			return q, err
		}
	}
	if v := values.Get("size"); v != "" {
		if q.size, err = strconv.Atoi(v); err != nil {
			return q, err
		}
		q.size = min(max(q.size, 0), maxResponseBodyBytes)
	}
	if v := values.Get("status"); v != "" {
		if q.status, err = strconv.Atoi(v); err != nil {
			return q, err
		}
		q.status = min(max(q.status, 200), 599)
	}
	return q, nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Endpoint) respond(w http.ResponseWriter, r *http.Request, q responseOptions, body []byte) {
	h := w.Header()
	h.Set(HeaderReplica, e.opts.Name)
	if e.leaving.Load() {
		h.Set(HeaderLeaving, "1")
	}
	if q.size >= 0 {
		h.Set("Content-Type", "application/octet-stream")
		h.Set("Content-Length", strconv.Itoa(q.size))
		w.WriteHeader(q.status)
		writePattern(w, q.size)
		return
	}
	out, err := json.Marshal(Echo{Replica: e.opts.Name, Method: r.Method, Path: r.URL.RequestURI(),
		RequestID: r.Header.Get(HeaderRequestID), Body: string(body)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h.Set("Content-Type", "application/json")
	w.WriteHeader(q.status)
	_, _ = w.Write(out)
}

func writePattern(w io.Writer, size int) {
	const chunk = 23 * 1024 // a multiple of the pattern's period
	buf := make([]byte, chunk)
	for i := range buf {
		buf[i] = Pattern(i)
	}
	for size > 0 {
		n, err := w.Write(buf[:min(size, chunk)])
		if err != nil {
			return
		}
		size -= n
	}
}
