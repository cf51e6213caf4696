package gateway

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// Guards against an answer that is truncated by the endpoint but reaches the caller as a complete one, for answers
// without a Content-Length.
func TestTruncatedStreamIsBroken(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 100<<10))
		panic(http.ErrAbortHandler)
	})
	c := newCluster(t)
	near := c.addZone("a", 1, catalog{}, newSource(e.address()))[0]
	far := c.addZone("b", 1, catalog{zones: []Zone{{"a", "r", false}, {"b", "r", false}}}, newSource())[0]
	for _, d := range []*daemon{near, far} {
		r := sendRequest(d, "GET", "/", "", "")
		is.Equal(r.outcome, "answered")
		is.True(r.err != nil)
	}
}

// Guards against a truncated answer that looks complete because HTTP/1.0, or an endpoint that sends no length, marks
// the end of an answer by closing the connection.
func TestAnswerEndedByConnectionCloseIsBroken(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	d := newCluster(t).addZone("a", 1, catalog{}, newSource(e.address()))[0]
	conn, err := net.Dial("tcp", d.frontend.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /services/s/ HTTP/1.0\r\n\r\n")
	is.NoErr(err)
	_, err = io.ReadAll(conn)
	is.True(err != nil) // a regular close would return no error

	unmarked := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
		_ = conn.Close()
	})
	d = newCluster(t).addZone("a", 1, catalog{}, newSource(unmarked.address()))[0]
	r := sendRequest(d, "POST", "/", "", "")
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(r.outcome, "unknown")
	is.Equal(unmarked.runs.Load(), int64(1))
}

// Guards against bodies that are truncated, changed or delayed, and against lost trailers and leaked hop-by-hop
// fields, both in the own zone and through another zone.
func TestLargeStreams(t *testing.T) {
	const size = 8 << 20
	e := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Trailer", "X-Sum")
		w.Header().Set("X-Hop", fmt.Sprint(r.Header["X-Hop"], r.Header["Proxy-Authorization"]))
		sum := sha256.New()
		_, _ = io.Copy(io.MultiWriter(w, sum), r.Body)
		w.Header().Set("X-Sum", fmt.Sprintf("%x", sum.Sum(nil)))
		w.Header().Set(http.TrailerPrefix+"X-Late", r.Trailer.Get("X-Request-Trailer"))
	})
	c := newCluster(t)
	near := c.addZone("a", 1, catalog{}, newSource(e.address()))[0]
	far := c.addZone("b", 1, catalog{zones: []Zone{{"a", "r", false}, {"b", "r", false}}}, newSource())[0]
	for i, d := range []*daemon{near, far} {
		is := is.New(t)
		sum := sha256.New()
		body := io.TeeReader(io.LimitReader(zeroes{}, size), sum)
		req, err := http.NewRequest("POST", d.frontend.URL+"/services/s/echo?q=1", body)
		is.NoErr(err)
		req.Trailer = http.Header{"X-Request-Trailer": {"t"}}
		req.Header.Set("Connection", "X-Hop")
		req.Header.Set("X-Hop", "1")
		req.Header.Set("Proxy-Authorization", "secret")
		resp, err := testClient.Do(req)
		is.NoErr(err)
		got := sha256.New()
		n, err := io.Copy(got, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(n, int64(size))
		is.Equal(got.Sum(nil), sum.Sum(nil))
		is.Equal(resp.Trailer.Get("X-Sum"), fmt.Sprintf("%x", sum.Sum(nil)))
		is.Equal(resp.Header.Get("X-Hop"), "[] []")
		if i == 0 { // trailers of requests are not forwarded between zones
			is.Equal(resp.Trailer.Get("X-Late"), "t")
		}
	}
}

type zeroes struct{}

func (zeroes) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a watcher that receives nothing until its stream ends.
func TestStreamIsFlushed(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	e := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first")
		w.(http.Flusher).Flush()
		<-gate
	})
	d := newCluster(t).addZone("a", 1, catalog{}, newSource(e.address()))[0]
	resp, err := testClient.Get(d.frontend.URL + "/services/s/watch")
	is.NoErr(err)
	defer resp.Body.Close()
	part := make([]byte, 5)
	_, err = io.ReadFull(resp.Body, part)
	is.NoErr(err)
	is.Equal(string(part), "first")
	close(gate)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
}

// Guards against a shutdown that aborts a request in flight, or that never stops accepting callers.
func TestShutdownDrains(t *testing.T) {
	is := is.New(t)
	arrived, gate := make(chan struct{}), make(chan struct{})
	e := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-gate
		serveOK(w, r)
	})
	g, err := New(Options{Zone: "a", Endpoints: newSource(e.address()), Catalog: catalog{}})
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- g.Serve(l) }()
	answered := make(chan string, 1)
	go func() {
		resp, err := testClient.Get("http://" + l.Addr().String() + "/services/s/x")
		if err != nil {
			answered <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		answered <- fmt.Sprint(string(text), err)
	}()
	<-arrived
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- g.Shutdown(ctx) }()
	is.NoErr(<-served) // the listener is closed while the request is still in flight
	is.True(!g.Ready())
	close(gate)
	is.Equal(<-answered, "done<nil>")
	is.NoErr(<-done)
}

// Guards against time that is attributed to the wrong part of a request's duration.
func TestTimeBreakdown(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		// The endpoint takes longer than it reports, so that some of the time is left for the network.
		time.Sleep(300 * time.Microsecond)
		w.Header().Set(HeaderEndpointUs, "150")
		serveOK(w, r)
	})
	c := newCluster(t)
	near := c.addZone("a", 1, catalog{}, newSource(e.address()))[0]
	far := c.addZone("b", 1, catalog{zones: []Zone{{"a", "r", false}, {"b", "r", false}}}, newSource())[0]
	for _, d := range []*daemon{near, far} {
		started := time.Now()
		is.Equal(sendRequest(d, "POST", "/", "", "").outcome, "answered")
		total := time.Since(started)
		o := <-d.observations
		is.True(o.EndpointTimeReported)
		is.Equal(o.Zone, "a")
		is.True(o.TimeBreakdown.Endpoint > 0 && o.TimeBreakdown.Endpoint <= 150*time.Microsecond)
		is.True(o.TimeBreakdown.Network > 0 && o.TimeBreakdown.Wait >= 0)
		is.True(o.TimeBreakdown.Wait+o.TimeBreakdown.Network+o.TimeBreakdown.Endpoint <= total)
		is.Equal(o.Attempts, 1)
	}
}

// Guards against hops without a span, and against traces that are not propagated between the caller, the daemons and
// the endpoint.
func TestTraceJoinsHops(t *testing.T) {
	is := is.New(t)
	const trace = "0af7651916cd43dd8448eb211c80319c"
	e := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Traceparent"))
	})
	spans := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
	c := newCluster(t)
	cat := catalog{zones: []Zone{{"a", "r", false}, {"b", "r", false}}}
	near, far := c.addZone("a", 1, cat, newSource(e.address()))[0], c.addZone("b", 1, cat, newSource())[0]
	for _, d := range []*daemon{near, far} {
		d.opts.Tracer = provider.Tracer("test")
		d.client.tracer = d.opts.Tracer
	}
	r := sendRequest(far, "POST", "/", "", "", "Traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	is.True(strings.Contains(r.body, trace))
	far.frontend.Close() // waits for the handler, which ends its span after the answer
	var names []string
	for _, s := range spans.GetSpans() {
		is.Equal(s.SpanContext.TraceID().String(), trace)
		is.True(s.Parent.IsValid())
		names = append(names, s.Name)
	}
	slices.Sort(names)
	is.Equal(names, []string{"caller request", "endpoint request", "forward to zone", "forwarded request"})
}
