package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against allocations by metrics on the request path.
func TestCountingDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	r := New(time.Now)
	c, g, h := r.Counter("log_appends"), r.Gauge("control_age"), r.Histogram("requests_total_time")
	is.Equal(testing.AllocsPerRun(1000, func() {
		c.Inc()
		g.Set(7)
		h.Record(3 * time.Millisecond)
		r.Count("executor_starts")
		r.Count("no_such_name")
	}), 0.0)
	is.Equal(r.Counter("telemetry_unknown_names").Value(), int64(1001)) // AllocsPerRun warms up once
}

// Guards against lost counts, and against latencies that never leave the distribution or leave it too early.
func TestHistogramWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := New(time.Now).Histogram("requests_total_time")
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() { h.Record(time.Duration(i+1) * time.Millisecond) })
		}
		wg.Wait()
		s := h.Summary()
		is.Equal(s.Count, int64(100))
		is.True(s.P50 >= 49_500 && s.P50 <= 51_000)
		is.True(s.P99 >= 98_000 && s.Max >= 100_000 && s.Max <= 101_000)
		time.Sleep(histogramWindow)
		is.Equal(h.Summary().Count, int64(100))
		h.Record(time.Hour)
		h.Record(-time.Second)
		is.Equal(h.Summary().Count, int64(102))
		time.Sleep(histogramWindow)
		is.Equal(h.Summary().Count, int64(2))
		time.Sleep(2 * histogramWindow)
		is.Equal(h.Summary(), Summary{Total: 102})
	})
}

func get(t *testing.T, h http.Handler, method, path string) (int, []byte) {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequest(method, path, nil))
	body, err := io.ReadAll(rec.Body)
	is.New(t).NoErr(err)
	return rec.Code, body
}

// Guards against a daemon that is reported ready while a check fails, and against variables that are not valid JSON.
func TestHealthHandler(t *testing.T) {
	is := is.New(t)
	r := New(time.Now)
	r.Counter("log_appends").Add(3)
	var fail error
	h := Handler(r, Check{"control", func() error { return fail }}, Check{"zone", func() error { return nil }})
	status, body := get(t, h, http.MethodGet, "/readyz")
	is.Equal(status, http.StatusOK)
	is.Equal(strings.TrimSpace(string(body)), `{"control":"ok","zone":"ok"}`)
	fail = errors.New("no state yet")
	status, body = get(t, h, http.MethodGet, "/readyz")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(strings.TrimSpace(string(body)), `{"control":"no state yet","zone":"ok"}`)
	status, _ = get(t, h, http.MethodGet, "/healthz")
	is.Equal(status, http.StatusOK)
	status, _ = get(t, h, http.MethodPost, "/readyz")
	is.Equal(status, http.StatusMethodNotAllowed)
	_, body = get(t, h, http.MethodGet, "/debug/vars")
	var vars struct {
		Waxwingslip map[string]json.RawMessage `json:"waxwingslip"`
	}
	is.NoErr(json.Unmarshal(body, &vars))
	is.Equal(len(vars.Waxwingslip), len(Table))
	is.Equal(string(vars.Waxwingslip["log_appends"]), "3")
}

// Guards against repeated log lines for an unchanged state, and against lines without step, peer or version.
func TestStateLog(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := NewLogger(&out, LogConfig{Level: "info", VM: "e1", Zone: "a", Now: func() time.Time { return time.Unix(0, 0) }})
	is.NoErr(err)
	s := NewStateLog(log)
	is.True(s.Set("renew", "w1", "reachable", 4, nil))
	is.True(!s.Set("renew", "w1", "reachable", 5, nil))
	is.True(s.Set("renew", "w1", "unreachable", 5, errors.New("timeout")))
	is.True(!s.Set("renew", "w1", "unreachable", 6, errors.New("another error")))
	is.True(s.Set("renew", "w2", "reachable", 6, nil))
	s.RemovePeer("w1")
	is.True(s.Set("renew", "w1", "reachable", 7, nil))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 4)
	var line map[string]any
	is.NoErr(json.Unmarshal([]byte(lines[1]), &line))
	is.Equal(line, map[string]any{
		"level": "warn", "vm": "e1", "zone": "a", "time": "1970-01-01T00:00:00.000Z", "step": "renew", "peer": "w1",
		"version": 5.0, "from": "reachable", "error": "timeout", "message": "unreachable",
	})
	for i := range 2 * maxTrackedPairs {
		s.Set("renew", fmt.Sprint("w", i), "reachable", 8, nil)
	}
	is.True(len(s.states) <= maxTrackedPairs)
	_, err = NewLogger(&out, LogConfig{Level: "loud"})
	is.True(err != nil)
}

// Guards against traces that are interrupted between processes.
func TestPropagation(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	tr, err := NewTracing(t.Context(), TraceConfig{Exporter: ExporterStdout, SamplePermille: 1000, Output: &out})
	is.NoErr(err)
	ctx, span := tr.Provider.Tracer("test").Start(t.Context(), "hop")
	header := http.Header{}
	InjectHeader(ctx, header)
	want := span.SpanContext()
	for _, got := range []context.Context{ExtractHeader(t.Context(), header), ExtractMap(t.Context(), InjectMap(ctx))} {
		sc := trace.SpanContextFromContext(got)
		is.Equal(sc.TraceID(), want.TraceID())
		is.Equal(sc.SpanID(), want.SpanID())
		is.True(sc.IsSampled() && sc.IsRemote())
	}
	is.Equal(InjectMap(t.Context()), nil)
	bad := ExtractMap(t.Context(), map[string]string{"traceparent": "00-zz"})
	is.True(!trace.SpanContextFromContext(bad).IsValid())
	span.End()
	is.NoErr(tr.Shutdown(t.Context()))
	is.True(strings.Contains(out.String(), want.TraceID().String()))
}

// Guards against exporters that do not send, do not count failures, or run although tracing is off.
func TestExporters(t *testing.T) {
	cases := []struct {
		name     string
		exporter string
		status   int
		paths    []string
		errors   int64
	}{
		{"off", ExporterOff, 200, nil, 0},
		{"otlp", ExporterOTLP, 200, []string{"/v1/traces"}, 0},
		{"otlp refused", ExporterOTLP, 400, []string{"/v1/traces"}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			var paths []string
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				paths = append(paths, r.URL.Path)
				mu.Unlock()
				w.WriteHeader(c.status)
			}))
			defer srv.Close()
			r := New(time.Now)
			failed := r.Counter("trace_export_errors")
			tr, err := NewTracing(t.Context(), TraceConfig{
				Exporter: c.exporter, EndpointURL: srv.URL + "/v1/traces", SamplePermille: 1000, Errors: failed,
			})
			is.NoErr(err)
			_, span := tr.Provider.Tracer("test").Start(t.Context(), "hop")
			span.End()
			is.NoErr(tr.Shutdown(t.Context()))
			mu.Lock()
			defer mu.Unlock()
			is.Equal(paths, c.paths)
			is.Equal(failed.Value(), c.errors)
		})
	}
	is := is.New(t)
	_, err := NewTracing(t.Context(), TraceConfig{Exporter: "file"})
	is.True(err != nil)
	_, err = NewTracing(t.Context(), TraceConfig{Exporter: ExporterStdout})
	is.True(err != nil)
}
