package peer_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/baggage"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"

	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/peer/devcert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var ctx = context.Background()

// timing detects lost peers quickly.
var timing = peer.Timing{Dial: time.Second, PeerTimeout: time.Second, RedialMin: 10 * time.Millisecond,
	RedialMax: 50 * time.Millisecond, BreakerOpen: 50 * time.Millisecond}

func credentials(t testing.TB, a *devcert.Authority, name string) *peer.Credentials {
	t.Helper()
	files, err := a.Write(t.TempDir(), name)
	if err != nil {
		t.Fatal(err)
	}
	c, err := peer.LoadCredentials(files)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

type pair struct {
	*is.I
	authority *devcert.Authority
	server    *peer.Server
	client    *peer.Transport
	address   string
}

// connect returns a server with the methods that several tests use, and a client.
func connect(t testing.TB, change func(*peer.ServerOptions)) *pair {
	t.Helper()
	is := is.New(t)
	a, err := devcert.NewAuthority()
	is.NoErr(err)
	opts := peer.ServerOptions{Address: "127.0.0.1:0", Credentials: credentials(t, a, "server"), Timing: timing}
	if change != nil {
		change(&opts)
	}
	s, err := peer.NewServer(opts)
	is.NoErr(err)
	peer.HandleCall(s, "echo", func(_ context.Context, from, q string) (string, error) { return from + ":" + q, nil })
	s.Handle("digest", func(_ context.Context, r *peer.Request) (*peer.Response, error) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		sum := sha256.Sum256(body)
		return &peer.Response{Header: sum[:], Body: io.NopCloser(bytes.NewReader(body))}, nil
	})
	is.NoErr(s.Serve())
	c, err := peer.NewTransport(peer.Options{LocalAddress: "127.0.0.1:0", Credentials: credentials(t, a, "client"), Timing: timing})
	is.NoErr(err)
	t.Cleanup(func() { c.Close(); s.Close() })
	return &pair{is, a, s, c, s.Address()}
}

func (p *pair) echo(ctx context.Context, text string) error {
	var got string
	err := p.client.Call(ctx, p.address, "echo", text, &got)
	if err == nil {
		p.Equal(got, "client:"+text)
	}
	return err
}

func randomBytes(n int) []byte {
	r := rand.NewChaCha8([32]byte{1})
	b := make([]byte, n)
	_, _ = r.Read(b)
	return b
}

// Guards against responses that reach the wrong caller when they arrive late and out of order.
func TestLateResponsesReachTheirCallers(t *testing.T) {
	p := connect(t, nil)
	const n = 50
	var arrived sync.WaitGroup
	arrived.Add(n)
	gates := make([]chan struct{}, n)
	for i := range gates {
		gates[i] = make(chan struct{})
	}
	peer.HandleCall(p.server, "gated", func(_ context.Context, _ string, q int) (int, error) {
		arrived.Done()
		<-gates[q]
		return q, nil
	})
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() {
			var got int
			if err := p.client.Call(ctx, p.address, "gated", i, &got); err != nil || got != i {
				t.Errorf("call %d got %d, %v", i, got, err)
			}
		})
	}
	arrived.Wait()
	for i := n - 1; i >= 0; i-- {
		close(gates[i])
	}
	calls.Wait()
	p.Equal(p.client.Counters.Dials.Value(), int64(1))
}

// Guards against large bodies that are truncated or changed in either direction.
func TestLargeBodies(t *testing.T) {
	p := connect(t, nil)
	body := randomBytes(8 << 20)
	var sum []byte
	r, err := p.client.Stream(ctx, p.address, "digest", nil, &sum, bytes.NewReader(body))
	p.NoErr(err)
	got, err := io.ReadAll(r)
	p.NoErr(err)
	p.NoErr(r.Close())
	want := sha256.Sum256(body)
	p.Equal(sum, want[:])
	p.True(bytes.Equal(got, body))
}

// brokenBody ends in an error, like the body of a request whose sender is lost.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = errors.New("body broke")
	}
	return n, err
}

// Guards against a truncated body that is read as complete, in both directions.
func TestTruncatedBodies(t *testing.T) {
	p := connect(t, nil)
	_, err := p.client.Stream(ctx, p.address, "digest", nil, nil, brokenBody{bytes.NewReader(randomBytes(100_000))})
	p.True(err != nil)
	p.True(!errors.Is(err, peer.ErrNotSent))

	p.server.Handle("cut", func(context.Context, *peer.Request) (*peer.Response, error) {
		return &peer.Response{Body: io.NopCloser(brokenBody{bytes.NewReader(randomBytes(100_000))})}, nil
	})
	r, err := p.client.Stream(ctx, p.address, "cut", nil, nil, nil)
	if err == nil {
		_, err = io.ReadAll(r)
		p.NoErr(r.Close())
	}
	var callErr *peer.CallError
	p.True(errors.As(err, &callErr))
	p.NoErr(p.echo(ctx, "still works"))
}

// Guards against a call that ran although its error matches ErrNotSent, and against one that provably did not run and
// whose error does not match.
func TestErrorsTellWhetherTheCallRan(t *testing.T) {
	p := connect(t, nil)
	p.server.Handle("fails", func(context.Context, *peer.Request) (*peer.Response, error) {
		return nil, &peer.RemoteError{Code: peer.CodeApplication + 7, Message: "no"}
	})
	p.server.Handle("panics", func(context.Context, *peer.Request) (*peer.Response, error) { panic("bug") })
	closed, err := net.ListenPacket("udp", "127.0.0.1:0")
	p.NoErr(err)
	p.NoErr(closed.Close())
	big := make([]byte, peer.MaxFrameBytes)
	for _, c := range []struct {
		name, address, method string
		req                   any
		notSent               bool
		code                  peer.Code
	}{
		{"handler's error", p.address, "fails", nil, false, peer.CodeApplication + 7},
		{"panic", p.address, "panics", nil, false, peer.CodeInternal},
		{"unknown method", p.address, "nothing", nil, true, peer.CodeUnknownMethod},
		{"oversize frame", p.address, "echo", big, true, 0},
		{"no process", closed.LocalAddr().String(), "echo", "x", true, 0},
		{"no address", "nonsense", "echo", "x", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := p.client.Call(ctx, c.address, c.method, c.req, nil)
			is.True(err != nil)
			is.Equal(errors.Is(err, peer.ErrNotSent), c.notSent)
			code, _ := peer.CodeOf(err)
			is.Equal(code, c.code)
		})
	}
	p.NoErr(p.echo(ctx, "still works"))
}

// Guards against a server that executes calls beyond its limit instead of refusing them.
func TestOverload(t *testing.T) {
	p := connect(t, func(o *peer.ServerOptions) { o.MaxHandlers = 1 })
	entered, release := make(chan struct{}), make(chan struct{})
	p.server.Handle("hold", func(context.Context, *peer.Request) (*peer.Response, error) {
		close(entered)
		<-release
		return nil, nil
	})
	done := make(chan error, 1)
	go func() { done <- p.client.Call(ctx, p.address, "hold", nil, nil) }()
	<-entered
	err := p.echo(ctx, "x")
	code, _ := peer.CodeOf(err)
	p.Equal(code, peer.CodeOverloaded)
	p.True(errors.Is(err, peer.ErrNotSent))
	close(release)
	p.NoErr(<-done)
}

// Guards against a handler that keeps running after its caller's deadline or cancellation.
func TestDeadlinesReachTheHandler(t *testing.T) {
	p := connect(t, nil)
	ended := make(chan error, 1)
	p.server.Handle("wait", func(ctx context.Context, _ *peer.Request) (*peer.Response, error) {
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, ctx.Err()
	})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	err := p.client.Call(short, p.address, "wait", nil, nil)
	p.True(err != nil)
	p.True(!errors.Is(err, peer.ErrNotSent))
	<-ended
	canceled, cancelCall := context.WithCancel(ctx)
	time.AfterFunc(20*time.Millisecond, cancelCall)
	p.True(errors.Is(p.client.Call(canceled, p.address, "wait", nil, nil), context.Canceled))
	<-ended
}

// Guards against a fault hook that does not have the effect of the fault that it simulates.
func TestFaultHook(t *testing.T) {
	p := connect(t, nil)
	for _, c := range []struct {
		name    string
		fault   peer.Fault
		notSent bool
		ran     int64
	}{
		{"unreachable", peer.Fault{Unreachable: true}, true, 0},
		{"request dropped", peer.Fault{DropRequest: true}, false, 0},
		{"response dropped", peer.Fault{DropResponse: true}, false, 1},
		{"delayed", peer.Fault{Delay: time.Minute}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := p.server.Counters.Calls.Value()
			p.client.SetFault(func(string, string) peer.Fault { return c.fault })
			defer p.client.SetFault(nil)
			short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			err := p.echo(short, "x")
			is.True(err != nil)
			is.Equal(errors.Is(err, peer.ErrNotSent), c.notSent)
			is.Equal(p.server.Counters.Calls.Value()-before, c.ran)
		})
	}
	p.NoErr(p.echo(ctx, "x"))
}

// Guards against trace contexts that are lost between two daemons, and against calls that fail because of large ones.
func TestTraceContext(t *testing.T) {
	both := propagation.NewCompositeTextMapPropagator(propagation.TraceContext{}, propagation.Baggage{})
	p := connect(t, func(o *peer.ServerOptions) { o.Propagator = both })
	c, err := peer.NewTransport(peer.Options{LocalAddress: "127.0.0.1:0", Credentials: credentials(t, p.authority, "client"),
		Timing: timing, Propagator: both})
	p.NoErr(err)
	defer c.Close()
	peer.HandleCall(p.server, "trace", func(ctx context.Context, _ string, _ int) (string, error) {
		return trace.SpanContextFromContext(ctx).TraceID().String(), nil
	})
	id := trace.TraceID{1, 2, 3}
	traced := trace.ContextWithSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{TraceID: id, SpanID: trace.SpanID{4}}))
	var got string
	p.NoErr(c.Call(traced, p.address, "trace", 0, &got))
	p.Equal(got, id.String())
	member, err := baggage.NewMember("k", strings.Repeat("x", 8000))
	p.NoErr(err)
	bag, err := baggage.New(member)
	p.NoErr(err)
	p.NoErr(c.Call(baggage.ContextWithBaggage(traced, bag), p.address, "trace", 0, &got))
}
