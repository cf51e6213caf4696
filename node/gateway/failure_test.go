package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"waxwingslip.example/core/claim"
)

// Guards against a request that is executed twice and against a wrong outcome, for each way in which an endpoint can
// fail.
func TestEndpointFailures(t *testing.T) {
	leaving := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	cases := []struct {
		name  string
		serve http.HandlerFunc // nil refuses connections
		// method is the method of the request; POST is not idempotent.
		method string
		// spare adds a healthy endpoint.
		spare       bool
		wantOutcome Outcome
		wantBroken  bool
		// wantRuns is the number of executions at both endpoints; -1 for a method that may be repeated.
		wantRuns int64
	}{
		{"refused, POST", nil, "POST", false, OutcomeNotRun, false, 0},
		{"refused, POST, spare", nil, "POST", true, OutcomeAnswered, false, 1},
		{"refused, GET, spare", nil, "GET", true, OutcomeAnswered, false, 1},
		{"reset, POST", serveReset, "POST", false, OutcomeUnknown, false, 1},
		{"reset, GET", serveReset, "GET", false, OutcomeUnknown, false, -1},
		{"reset, GET, spare", serveReset, "GET", true, OutcomeAnswered, false, -1},
		{"frozen, POST", serveHang, "POST", false, OutcomeUnknown, false, 1},
		{"half an answer, POST", serveTruncated, "POST", false, OutcomeAnswered, true, 1},
		{"half an answer, GET", serveTruncated, "GET", false, OutcomeAnswered, true, 1},
		{"leaving, POST", leaving, "POST", false, OutcomeAnswered, false, 1},
		{"leaving, GET, spare", leaving, "GET", true, OutcomeAnswered, false, -1},
	}
	for _, c := range cases {
		for _, key := range []string{"", newKey()} {
			t.Run(fmt.Sprintf("%s, key %t", c.name, key != ""), func(t *testing.T) {
				is := is.New(t)
				addresses := []string{refusedAddress(t)}
				var endpoints []*endpoint
				if c.serve != nil {
					endpoints = append(endpoints, newEndpoint(t, c.serve))
					addresses[0] = endpoints[0].address()
				}
				if c.spare {
					endpoints = append(endpoints, newEndpoint(t, serveOK))
					addresses = append(addresses, endpoints[len(endpoints)-1].address())
				}
				d := newCluster(t).addZone("a", 3, catalog{}, newSource(addresses...))[0]
				r := sendRequest(d, c.method, "/x", key, "body", HeaderTimeout, "300")
				// A keyed answer of known length is read before it is forwarded, so that it fails at once.
				is.Equal(r.err != nil, c.wantBroken)
				if r.outcome != "" {
					is.Equal(r.outcome, string(c.wantOutcome))
				}
				runs := int64(0)
				for _, e := range endpoints {
					runs += e.runs.Load()
				}
				is.True(c.wantRuns < 0 || runs == c.wantRuns)
				if c.spare {
					is.Equal(r.status, http.StatusOK)
				}
			})
		}
	}
}

// Guards against a repeat by net/http's transport, which sends a request with an idempotency key again when a reused
// connection breaks.
func TestTransportDoesNotRepeat(t *testing.T) {
	for _, header := range []string{HeaderKey, "X-Idempotency-Key"} {
		is := is.New(t)
		var serve atomic.Pointer[http.HandlerFunc]
		setHandler := func(f http.HandlerFunc) { serve.Store(&f) }
		e := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) { (*serve.Load())(w, r) })
		d := newCluster(t).addZone("a", 1, catalog{}, newSource(e.address()))[0]
		setHandler(serveOK)
		is.Equal(sendRequest(d, "POST", "/", "", "", header, newKey()).outcome, "answered")
		setHandler(serveReset)
		is.Equal(sendRequest(d, "POST", "/", "", "", header, newKey()).outcome, "unknown")
		is.Equal(e.runs.Load(), int64(2))
	}
}

// Guards against new requests to an endpoint whose answer had the leaving header.
func TestLeavingHeaderStopsNewWork(t *testing.T) {
	is := is.New(t)
	leaving := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderLeaving, "1")
		serveOK(w, r)
	})
	staying := newEndpoint(t, serveOK)
	d := newCluster(t).addZone("a", 1, catalog{}, newSource(leaving.address(), staying.address()))[0]
	for range 40 {
		r := sendRequest(d, "POST", "/", "", "")
		is.Equal(r.outcome, "answered")
		is.Equal(r.header.Get(HeaderLeaving), "")
	}
	is.Equal(leaving.runs.Load(), int64(1))
	is.Equal(staying.runs.Load(), int64(39))
}

// Guards against a caller that waits for a hanging endpoint while others are free, and against hedging requests that
// are not idempotent.
func TestHedgeAfterP95(t *testing.T) {
	is := is.New(t)
	var hang http.HandlerFunc
	hung := make(chan struct{}, 1)
	var slow atomic.Bool
	serve := func(w http.ResponseWriter, r *http.Request) {
		if slow.Load() {
			time.Sleep(50 * time.Millisecond)
		}
		if hang != nil {
			select {
			case hung <- struct{}{}:
				hang(w, r)
				return
			default:
			}
		}
		serveOK(w, r)
	}
	one, two := newEndpoint(t, serve), newEndpoint(t, serve)
	d := newCluster(t).addZone("a", 1, catalog{}, newSource(one.address(), two.address()))[0]
	for i := range 150 {
		// Slow answers start after p95 is known. They take nothing from the hedge budget, as POST is not idempotent.
		if i > 130 && i%3 == 0 {
			slow.Store(true)
		}
		is.Equal(sendRequest(d, "POST", "/", "", "").outcome, "answered")
		slow.Store(false)
	}
	before := one.runs.Load() + two.runs.Load()
	hang = serveHang
	is.Equal(sendRequest(d, "POST", "/", "", "", HeaderTimeout, "300").outcome, "unknown")
	is.Equal(one.runs.Load()+two.runs.Load(), before+1)
	<-hung
	is.Equal(sendRequest(d, "GET", "/", "", "", HeaderTimeout, "4000").outcome, "answered")
	is.Equal(one.runs.Load()+two.runs.Load(), before+3)
}

// Guards against queues that grow without bound, against shed requests that were sent, and against lost wake-ups.
func TestQueueShedsAndWakes(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	e := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		<-gate
		serveOK(w, r)
	})
	d := newCluster(t).addZone("a", 1, catalog{}, newSource(e.address()))[0]
	d.opts.Routing.MaxInFlight, d.opts.QueueLimit = 1, 1
	replies := make(chan reply, 3)
	for range 3 {
		go func() { replies <- sendRequest(d, "POST", "/", "", "") }()
	}
	first := <-replies
	is.Equal(first.status, http.StatusServiceUnavailable)
	is.Equal(first.outcome, "not-run")
	close(gate)
	is.Equal((<-replies).outcome, "answered")
	is.Equal((<-replies).outcome, "answered")
	is.Equal(e.runs.Load(), int64(2))
	for name, want := range map[string]string{metricAccepted: "3", metricShed: "1", metricOutcome + "answered": "2",
		metricOutcome + "not-run": "1"} {
		is.Equal(d.Metrics().Get(name).String(), want)
	}
}

// Guards against request headers of unlimited size, and against one caller that uses all capacity.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, serveOK)
	d := newCluster(t).addZone("a", 1, catalog{callerRate: 1}, newSource(e.address()))[0]
	is.Equal(sendRequest(d, "POST", "/", strings.Repeat("k", MaxKeyBytes+1), "").status, http.StatusBadRequest)
	is.Equal(sendRequest(d, "POST", "/", "not-a-uuid", "", HeaderCaller, "b").outcome, "not-run")
	is.Equal(sendRequest(d, "POST", "/", "", "", HeaderTimeout, "0").status, http.StatusBadRequest)
	oversized := strings.Repeat("x", MaxHeaderBytes)
	is.Equal(sendRequest(d, "POST", "/", "", "", "X-Big", oversized).status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(sendRequest(d, "GET", "/", "", "", HeaderCaller, "a").status, http.StatusOK)
	is.Equal(sendRequest(d, "GET", "/", "", "", HeaderCaller, "a").status, http.StatusTooManyRequests)
	is.Equal(e.runs.Load(), int64(1))
}

// Guards against a request header that crashes the daemon, exceeds a limit or gets a hop-by-hop field forwarded.
func FuzzRequestHeader(f *testing.F) {
	f.Add("Connection", "X-Hop, close", "018bcfe5-6800-7000-8000-000000000001", "100", "a")
	f.Add("Te", "trailers", "lima-a/018bcfe5", "-1", "")
	f.Fuzz(func(t *testing.T, name, value, key, timeout, caller string) {
		h := http.Header{HeaderKey: {key}, HeaderTimeout: {timeout}, HeaderCaller: {caller}}
		h.Add(name, value)
		if d, present, err := parseTimeout(h); err == nil && present && (d <= 0 || d > MaxTimeout) {
			t.Fatalf("timeout %v", d)
		}
		if text, err := singleValue(h, HeaderKey, MaxKeyBytes); err == nil && len(text) > MaxKeyBytes {
			t.Fatalf("key of %d bytes", len(text))
		}
		_, _, _ = claim.ParseKey(key)
		out := endToEnd(h)
		for _, hop := range hopByHop {
			if len(out.Values(hop)) > 0 {
				t.Fatalf("%s was forwarded", hop)
			}
		}
	})
}
