package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/node/forward"
	"waxwingslip.example/node/gateway"
	"waxwingslip.example/node/peer"
)

// endpoint starts an endpoint that counts the requests that it executes.
func endpoint(t *testing.T, serve http.HandlerFunc) (address string, runs *atomic.Int64) {
	runs = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		serve(w, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), runs
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(b)
	return b
}

// echo responds with the request's body and, as a trailer, its hash.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Trailer", "Sum")
	_ = http.NewResponseController(w).EnableFullDuplex()
	sum := sha256.New()
	if _, err := io.Copy(io.MultiWriter(w, sum), r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Sum", fmt.Sprintf("%x", sum.Sum(nil)))
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// Guards against a request with a key that runs more than once because it arrives concurrently at several daemons and
// zones, or because it is repeated after a member was lost.
func TestKeyRunsOnceThroughTwoZones(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	address, runs := endpoint(t, echo)
	near, far := f.daemon("a", "a0", address), f.daemon("b", "b0")
	second, third := f.daemon("a", "a1", address), f.daemon("a", "a2", address)
	f.logs["a"].awaitView(t, 3)
	f.logs["b"].awaitView(t, 1)
	for i := range 8 {
		key := []string{"a/", "b/", ""}[i%3] + newKey()
		var repeats sync.WaitGroup
		for _, d := range []*daemon{near, far, second, third} {
			repeats.Go(func() {
				got := d.post("/", key, bytes.NewReader([]byte(key)))
				if got.outcome != "answered" || got.body != key || got.err != nil {
					t.Errorf("key %s at %s: %+v", key, d.name, got)
				}
			})
		}
		repeats.Wait()
	}
	is.Equal(runs.Load(), int64(8))

	key := "a/" + newKey()
	is.Equal(near.post("/", key, bytes.NewReader([]byte("x"))).body, "x")
	third.server.Close()
	f.logs["a"].apply(&record.Expire{Member: "a2", LastHeartbeat: f.logs["a"].state.Members["a2"].Heartbeat})
	f.logs["a"].awaitView(t, 2)
	is.Equal(second.post("/", key, bytes.NewReader([]byte("x"))).body, "x")
	is.Equal(runs.Load(), int64(9))
}

// Guards against large bodies and trailers that are truncated or changed between zones.
func TestLargeBodiesReachTheOtherZone(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	address, _ := endpoint(t, echo)
	f.daemon("a", "a0", address)
	far := f.daemon("b", "b0")
	body := randomBytes(8 << 20)
	for _, r := range []io.Reader{bytes.NewReader(body), io.MultiReader(bytes.NewReader(body))} {
		got := far.post("/", "", r)
		is.NoErr(got.err)
		is.Equal(got.outcome, "answered")
		is.True(got.body == string(body))
		is.Equal(got.trailer.Get("Sum"), fmt.Sprintf("%x", sha256.Sum256(body)))
	}
}

// Guards against a response that appears complete although the endpoint or the peer was lost while it was sent.
func TestBrokenResponsesAreDetected(t *testing.T) {
	for name, length := range map[string]string{"known length": "1000000", "unknown length": ""} {
		for _, cut := range []string{"endpoint", "peer"} {
			t.Run(name+" "+cut, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				var far *daemon
				var peerAddress string
				address, runs := endpoint(t, func(w http.ResponseWriter, r *http.Request) {
					if length != "" {
						w.Header().Set("Content-Length", length)
					}
					_, _ = w.Write(randomBytes(1000))
					w.(http.Flusher).Flush()
					if cut == "peer" {
						far.transport.Disconnect(peerAddress)
						<-r.Context().Done()
					}
					panic(http.ErrAbortHandler)
				})
				peerAddress = f.daemon("a", "a0", address).server.Address()
				far = f.daemon("b", "b0")
				got := far.post("/", "", nil)
				is.True(got.err != nil || got.outcome == "unknown")
				is.Equal(runs.Load(), int64(1))
			})
		}
	}
}

// gatewayFunc is a forward.Gateway.
type gatewayFunc func(*gateway.ForwardRequest) *gateway.ForwardResponse

// ServeForward implements forward.Gateway.
func (g gatewayFunc) ServeForward(_ context.Context, r *gateway.ForwardRequest) *gateway.ForwardResponse {
	return g(r)
}

// Guards against a request that is sent to a second daemon after the first one may have executed it, and against one
// that fails although the next daemon could serve it.
func TestAnotherDaemonIsTriedOnlyIfNothingWasSent(t *testing.T) {
	closed, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	for _, c := range []struct {
		name       string
		first      gatewayFunc // nil for a daemon that is gone
		sent       bool
		secondRuns int64
	}{
		{"gone", nil, false, 1},
		{"panics", func(*gateway.ForwardRequest) *gateway.ForwardResponse { panic("bug") }, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			if c.first == nil {
				f.add("a", closed.LocalAddr().String())
			} else {
				n := f.node("first")
				forward.Register(n.server, c.first)
				is.NoErr(n.server.Serve())
				f.add("a", n.server.Address())
			}
			second, runs := f.node("second"), new(atomic.Int64)
			forward.Register(second.server, gatewayFunc(func(r *gateway.ForwardRequest) *gateway.ForwardResponse {
				runs.Add(1)
				return &gateway.ForwardResponse{Status: 200, Header: http.Header{}, Body: io.NopCloser(r.Body)}
			}))
			is.NoErr(second.server.Serve())
			f.add("a", second.server.Address())
			body := randomBytes(200_000)
			resp, err := forward.New(f.node("caller").transport, f).Forward(context.Background(), "a",
				&gateway.ForwardRequest{Purpose: gateway.PurposeRoute, Service: "s", Method: "POST", Path: "/",
					Body: bytes.NewReader(body), ContentLength: int64(len(body))})
			is.Equal(runs.Load(), c.secondRuns)
			if c.sent {
				var sent *gateway.SentError
				is.True(errors.As(err, &sent))
				return
			}
			is.NoErr(err)
			got, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.True(bytes.Equal(got, body))
		})
	}
}

// Guards against a request that is reported as sent although no daemon was reached, which makes its outcome unknown.
func TestNoDaemonMeansNotSent(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	_, err := forward.New(f.node("caller").transport, f).Forward(context.Background(), "a", &gateway.ForwardRequest{})
	var notSent *gateway.NotSentError
	is.True(errors.As(err, &notSent))
	far := f.daemon("b", "b0")
	is.Equal(far.post("/", "", bytes.NewReader([]byte("x"))).outcome, "not-run")
	is.Equal(far.post("/", "a/"+newKey(), bytes.NewReader([]byte("x"))).outcome, "unknown")
}

// openAnswers is a forward.Gateway whose responses stay open until the caller cancels.
type openAnswers struct{}

// ServeForward implements forward.Gateway.
func (openAnswers) ServeForward(ctx context.Context, _ *gateway.ForwardRequest) *gateway.ForwardResponse {
	r, w := io.Pipe()
	context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
	return &gateway.ForwardResponse{Status: 200, Header: http.Header{}, Body: r}
}

// Guards against watch requests that use up the streams of the connection, so that other calls block, and against
// counts of requests in flight that are not decremented.
func TestWatchersLeaveStreamsForOtherCalls(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	n := f.node("server")
	forward.Register(n.server, openAnswers{})
	peer.HandleCall(n.server, "hello", func(_ context.Context, _ string, q int) (int, error) { return q, nil })
	is.NoErr(n.server.Serve())
	f.add("a", n.server.Address())
	caller := f.node("caller").transport
	forwarder := forward.New(caller, f)
	req := &gateway.ForwardRequest{Purpose: gateway.PurposeRoute, Service: "s", Method: "GET", Path: "/"}
	limited, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for range 2 {
		var open []io.Closer
		err := error(nil)
		for err == nil && len(open) < 300 {
			var a *gateway.ForwardResponse
			if a, err = forwarder.Forward(limited, "a", req); err == nil {
				open = append(open, a.Body)
			}
		}
		is.Equal(len(open), 192)
		var notSent *gateway.NotSentError
		is.True(errors.As(err, &notSent))
		var got int
		is.NoErr(caller.Call(context.Background(), n.server.Address(), "hello", 7, &got))
		is.Equal(got, 7)
		for _, body := range open {
			is.NoErr(body.Close())
		}
	}
}

// Guards against buffering of the parts of a streamed response from another zone.
func TestWatcherGetsEachPartAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	received := make(chan struct{})
	address, _ := endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		for i := range 5 {
			_, _ = fmt.Fprintf(w, "part %d\n", i)
			w.(http.Flusher).Flush()
			select {
			case <-received:
			case <-r.Context().Done():
				return
			}
		}
	})
	f.daemon("a", "a0", address)
	far := f.daemon("b", "b0")
	resp, err := http.Get(far.front.URL + "/services/s/watch")
	is.NoErr(err)
	defer http.DefaultClient.CloseIdleConnections()
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for i := range 5 {
		is.True(lines.Scan())
		is.Equal(lines.Text(), fmt.Sprint("part ", i))
		received <- struct{}{}
	}
	is.True(!lines.Scan())
	is.NoErr(lines.Err())
}

// Guards against requests that fail, or are reported as sent, because daemons of the other zone were replaced.
func TestDaemonsOfOtherZoneAreReplaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	address, runs := endpoint(t, echo)
	first, second := f.daemon("a", "a0", address), f.daemon("a", "a1", address)
	far := f.daemon("b", "b0")
	first.server.Close()
	for range 4 {
		is.Equal(far.post("/", "", bytes.NewReader([]byte("x"))).outcome, "answered")
	}
	second.server.Shutdown(context.Background())
	is.Equal(runs.Load(), int64(4))
	is.Equal(far.post("/", "", bytes.NewReader([]byte("x"))).outcome, "not-run")
	is.Equal(runs.Load(), int64(4))
}
