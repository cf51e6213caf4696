package httpapi

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"waxwingslip.example/external/traffic"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errRefused = errors.New("refused")

var table = ErrorTable{{Err: errRefused, Code: "refused", Status: http.StatusConflict}}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// responseCases lists responses and whether each is a success or a definite refusal; after any other one the outcome
// must be unknown.
var responseCases = []struct {
	name    string
	handler http.HandlerFunc
	ok      bool
	refused bool
}{
	{"success", respond(200, "0123456789"), true, false},
	{"refusal", func(w http.ResponseWriter, _ *http.Request) {
		WriteError(w, errors.Wrap(errRefused, "why"), table, nil)
	}, false, true},
	{"status of a refusal without its code", respond(http.StatusConflict, "proxy says no"), false, false},
	{"code of a refusal with another status", respond(http.StatusBadGateway, `{"code":"refused"}`), false, false},
	{"unknown code", respond(http.StatusConflict, `{"code":"other"}`), false, false},
	{"other success status", respond(http.StatusNoContent, ""), false, false},
	{"redirect", func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}, false, false},
	{"answer above the limit", respond(200, "0123456789a"), false, false},
	{"error above the limit", respond(http.StatusConflict, strings.Repeat("x", maxErrorBytes+1)), false, false},
	{"answer cut", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "8")
		_, _ = w.Write([]byte("0123"))
		panic(http.ErrAbortHandler)
	}, false, false},
	{"connection cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false, false},
	{"internal error", func(w http.ResponseWriter, _ *http.Request) { WriteError(w, errors.New("bug"), table, nil) }, false, false},
}

// Guards against an inconclusive response that is reported as a success or as a refusal.
func TestResponses(t *testing.T) {
	for _, c := range responseCases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(c.handler)
			defer srv.Close()
			client := NewClient(ClientOptions{ConnectionsPerHost: 1, IdleConnections: 1})
			defer client.CloseIdleConnections()
			_, err := Do(context.Background(), client, Request{Method: http.MethodPost, URL: srv.URL, Body: []byte("x"),
				MaxResponseBytes: 10, Errors: table})
			is.Equal(err == nil, c.ok)
			is.Equal(errors.Is(err, errRefused), c.refused)
		})
	}
}

// Guards against a compressed response that expands beyond the limit or is not shorter on the wire.
func TestCompressedResponses(t *testing.T) {
	is := is.New(t)
	var sent, received expvar.Int
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		WriteCompressed(w, r, "text/plain", []byte(strings.Repeat("x", 8<<10)))
	}))
	defer srv.Close()
	client := NewClient(ClientOptions{ConnectionsPerHost: 1, IdleConnections: 1,
		Meter: &traffic.Meter{Sent: &sent, Received: &received}})
	defer client.CloseIdleConnections()
	get := func(limit int64) ([]byte, error) {
		return Do(context.Background(), client, Request{Method: http.MethodGet, URL: srv.URL, Compressed: true, MaxResponseBytes: limit})
	}
	body, err := get(16 << 10)
	is.NoErr(err)
	is.Equal(len(body), 8<<10)
	is.True(received.Value() < 1<<10)
	_, err = get(4 << 10)
	is.True(err != nil)
}

// Guards against a new connection for every call, and against a command that is sent twice when its connection
// breaks.
func TestConnections(t *testing.T) {
	is := is.New(t)
	var connections, calls atomic.Int32
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 6 {
			panic(http.ErrAbortHandler)
		}
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	client := NewClient(ClientOptions{ConnectionsPerHost: 2, IdleConnections: 2})
	defer client.CloseIdleConnections()
	post := func() error {
		_, err := Do(context.Background(), client, Request{Method: http.MethodPost, URL: srv.URL, Body: []byte("x"), MaxResponseBytes: 10})
		return err
	}
	for range 5 {
		is.NoErr(post())
	}
	is.Equal(connections.Load(), int32(1))
	is.True(post() != nil)
	is.Equal(calls.Load(), int32(6))
}
