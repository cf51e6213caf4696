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

// Guards against an execution that happens twice, and against a wrong outcome, for each way in which an endpoint
// can fail.
func TestEndpointFailures(t *testing.T) {
	leaving := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	cases := []struct {
		name  string
		serve http.HandlerFunc // nil refuses connections
		// method of one request; POST is not idempotent.
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
		{"frozen, POST", serveFrozen, "POST", false, OutcomeUnknown, false, 1},
		{"half an answer, POST", serveHalf, "POST", false, OutcomeAnswered, true, 1},
		{"half an answer, GET", serveHalf, "GET", false, OutcomeAnswered, true, 1},
		{"leaving, POST", leaving, "POST", false, OutcomeAnswered, false, 1},
		{"leaving, GET, spare", leaving, "GET", true, OutcomeAnswered, false, -1},
	}
	for _, c := range cases {
		for _, key := range []string{"", newKey()} {
			t.Run(fmt.Sprintf("%s, key %t", c.name, key != ""), func(t *testing.T) {
				is := is.New(t)
				addresses := []string{refusedAddress(t)}
				var all []*endpoint
				if c.serve != nil {
					all = append(all, newEndpoint(t, c.serve))
					addresses[0] = all[0].address()
				}
				if c.spare {
					all = append(all, newEndpoint(t, serveOK))
					addresses = append(addresses, all[len(all)-1].address())
				}
				d := newCluster(t).addZone("a", 3, catalog{}, newSource(addresses...))[0]
				r := ask(d, c.method, "/x", key, "body", HeaderTimeout, "300")
				// A keyed answer of known length is read before it is passed on, so that it breaks at once.
				is.Equal(r.err != nil, c.wantBroken)
				if r.outcome != "" {
					is.Equal(r.outcome, string(c.wantOutcome))
				}
				runs := int64(0)
				for _, e := range all {
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

// Guards against net/http's transport, which repeats a request with an idempotency key on its own when a kept
// connection breaks.
func TestTransportDoesNotRepeat(t *testing.T) {
	for _, header := range []string{HeaderKey, "X-Idempotency-Key"} {
		is := is.New(t)
		var serve atomic.Pointer[http.HandlerFunc]
		handler := func(f http.HandlerFunc) { serve.Store(&f) }
		e := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) { (*serve.Load())(w, r) })
		d := newCluster(t).addZone("a", 1, catalog{}, newSource(e.address()))[0]
		handler(serveOK)
		is.Equal(ask(d, "POST", "/", "", "", header, newKey()).outcome, "answered")
		handler(serveReset)
		is.Equal(ask(d, "POST", "/", "", "", header, newKey()).outcome, "unknown")
		is.Equal(e.runs.Load(), int64(2))
	}
}

// Guards against new work for an endpoint that said in an answer that it is leaving.
func TestLeavingHeaderStopsNewWork(t *testing.T) {
	is := is.New(t)
	leaving := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderLeaving, "1")
		serveOK(w, r)
	})
	staying := newEndpoint(t, serveOK)
	d := newCluster(t).addZone("a", 1, catalog{}, newSource(leaving.address(), staying.address()))[0]
	for range 40 {
		r := ask(d, "POST", "/", "", "")
		is.Equal(r.outcome, "answered")
		is.Equal(r.header.Get(HeaderLeaving), "")
	}
	is.Equal(leaving.runs.Load(), int64(1))
	is.Equal(staying.runs.Load(), int64(39))
}

// Guards against a caller that waits for a frozen endpoint while others are free, and against hedged requests that
// are not idempotent.
func TestHedgeAfterP95(t *testing.T) {
	is := is.New(t)
	var freeze http.HandlerFunc
	frozen := make(chan struct{}, 1)
	var slow atomic.Bool
	serve := func(w http.ResponseWriter, r *http.Request) {
		if slow.Load() {
			time.Sleep(50 * time.Millisecond)
		}
		if freeze != nil {
			select {
			case frozen <- struct{}{}:
				freeze(w, r)
				return
			default:
			}
		}
		serveOK(w, r)
	}
	one, two := newEndpoint(t, serve), newEndpoint(t, serve)
	d := newCluster(t).addZone("a", 1, catalog{}, newSource(one.address(), two.address()))[0]
	for i := range 150 {
		// Slow answers come after p95 is known. Requests that are not idempotent do not spend the budget on them.
		if i > 130 && i%3 == 0 {
			slow.Store(true)
		}
		is.Equal(ask(d, "POST", "/", "", "").outcome, "answered")
		slow.Store(false)
	}
	before := one.runs.Load() + two.runs.Load()
	freeze = serveFrozen
	is.Equal(ask(d, "POST", "/", "", "", HeaderTimeout, "300").outcome, "unknown")
	is.Equal(one.runs.Load()+two.runs.Load(), before+1)
	<-frozen
	is.Equal(ask(d, "GET", "/", "", "", HeaderTimeout, "4000").outcome, "answered")
	is.Equal(one.runs.Load()+two.runs.Load(), before+3)
}

// Guards against queues that grow without bound, against a shed request that was sent, and against a lost wake-up.
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
		go func() { replies <- ask(d, "POST", "/", "", "") }()
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

// Guards against a request header without limits, and against one caller that takes everything.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, serveOK)
	d := newCluster(t).addZone("a", 1, catalog{rate: 1}, newSource(e.address()))[0]
	is.Equal(ask(d, "POST", "/", strings.Repeat("k", MaxKeyBytes+1), "").status, http.StatusBadRequest)
	is.Equal(ask(d, "POST", "/", "not-a-uuid", "", HeaderCaller, "b").outcome, "not-run")
	is.Equal(ask(d, "POST", "/", "", "", HeaderTimeout, "0").status, http.StatusBadRequest)
	big := strings.Repeat("x", MaxHeaderBytes)
	is.Equal(ask(d, "POST", "/", "", "", "X-Big", big).status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(ask(d, "GET", "/", "", "", HeaderCaller, "a").status, http.StatusOK)
	is.Equal(ask(d, "GET", "/", "", "", HeaderCaller, "a").status, http.StatusTooManyRequests)
	is.Equal(e.runs.Load(), int64(1))
}

// Guards against a request header that crashes the daemon, or passes a limit or a hop-by-hop field on.
func FuzzRequestHeader(f *testing.F) {
	f.Add("Connection", "X-Hop, close", "018bcfe5-6800-7000-8000-000000000001", "100", "a")
	f.Add("Te", "trailers", "lima-a/018bcfe5", "-1", "")
	f.Fuzz(func(t *testing.T, name, value, key, timeout, caller string) {
		h := http.Header{HeaderKey: {key}, HeaderTimeout: {timeout}, HeaderCaller: {caller}}
		h.Add(name, value)
		if d, stated, err := parseTimeout(h); err == nil && stated && (d <= 0 || d > MaxTimeout) {
			t.Fatalf("timeout %v", d)
		}
		if text, err := singleValue(h, HeaderKey, MaxKeyBytes); err == nil && len(text) > MaxKeyBytes {
			t.Fatalf("key of %d bytes", len(text))
		}
		_, _, _ = claim.ParseKey(key)
		out := endToEnd(h)
		for _, hop := range hopByHop {
			if len(out.Values(hop)) > 0 {
				t.Fatalf("%s was passed on", hop)
			}
		}
	})
}
