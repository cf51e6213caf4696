package peer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/peer/devcert"
)

// eventually calls f until it succeeds; it fails the test after ten seconds.
func eventually(t *testing.T, f func() error) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a peer that stays unreachable after it restarted at the same address.
func TestLostPeerReturns(t *testing.T) {
	p := connect(t, nil)
	p.NoErr(p.echo(ctx, "a"))
	p.server.Close()
	p.True(p.echo(ctx, "b") != nil)
	s, err := peer.NewServer(peer.ServerOptions{Address: p.address, Credentials: credentials(t, p.authority, "server"), Timing: timing})
	p.NoErr(err)
	defer s.Close()
	peer.HandleCall(s, "echo", func(_ context.Context, from, q string) (string, error) { return from + ":" + q, nil })
	p.NoErr(s.Serve())
	eventually(t, func() error { return p.echo(ctx, "c") })
}

// Guards against calls that wait for the loss of a connection to the former process of a daemon whose key changes with each
// start.
func TestRestartWithNewKeyResetsConnections(t *testing.T) {
	is := is.New(t)
	authority, err := devcert.NewAuthority()
	is.NoErr(err)
	secret, err := authority.ResetSecret("server")
	is.NoErr(err)
	slow := timing
	slow.PeerTimeout = 20 * time.Second
	address := "127.0.0.1:0"
	serve := func() *peer.Server {
		cert, err := authority.Issue("server", time.Hour)
		is.NoErr(err)
		c := peer.NewCredentials(cert, authority.Roots())
		c.SetResetSecret(secret)
		s, err := peer.NewServer(peer.ServerOptions{Address: address, Credentials: c, Timing: slow})
		is.NoErr(err)
		peer.HandleCall(s, "echo", func(_ context.Context, _, q string) (string, error) { return q, nil })
		is.NoErr(s.Serve())
		return s
	}
	first := serve()
	r := newRelay(t, first.Address())
	cert, err := authority.Issue("client", time.Hour)
	is.NoErr(err)
	client, err := peer.NewTransport(peer.Options{LocalAddress: "127.0.0.1:0", Credentials: peer.NewCredentials(cert, authority.Roots()),
		Timing: slow})
	is.NoErr(err)
	defer client.Close()
	echo := func() error {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		var got string
		return client.Call(ctx, r.front.LocalAddr().String(), "echo", "x", &got)
	}
	is.NoErr(echo())

	// The process ends without a word: its last packets are lost.
	address = first.Address()
	r.cut.Store(true)
	first.Close()
	r.cut.Store(false)
	second := serve()
	defer second.Close()
	started := time.Now()
	eventually(t, echo)
	is.True(time.Since(started) < slow.PeerTimeout/4)
}

// Guards against a busy peer that nobody reaches any more: each handshake was given up after the same short time and begun
// again, which took the peer's time from those that it was about to complete (ambon-mist-large trouble-1, small twin).
func TestSlowHandshakeIsAwaited(t *testing.T) {
	p := connect(t, nil)
	r := newRelay(t, p.address)
	r.delay.Store(int64(400 * time.Millisecond))
	patient := timing
	patient.Dial, patient.DialMax, patient.PeerTimeout = 300*time.Millisecond, 3*time.Second, 5*time.Second
	client, err := peer.NewTransport(peer.Options{LocalAddress: "127.0.0.1:0", Credentials: credentials(t, p.authority, "client"),
		Timing: patient})
	p.NoErr(err)
	defer client.Close()
	eventually(t, func() error {
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		var got string
		return client.Call(ctx, r.front.LocalAddr().String(), "echo", "x", &got)
	})
	p.True(client.Counters.Dials.Value() <= 5)
}

// relay passes packets between a client and a server until it is frozen.
type relay struct {
	front, back *net.UDPConn
	frozen      chan struct{}
	cut         atomic.Bool  // packets are lost
	delay       atomic.Int64 // of each packet, in ns
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listen := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	r := &relay{front: listen(), back: listen(), frozen: make(chan struct{})}
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		t.Fatal(err)
	}
	client := make(chan *net.UDPAddr, 1)
	go r.pass(r.front, r.back, func(from *net.UDPAddr) *net.UDPAddr {
		select {
		case client <- from:
		default:
		}
		return to
	})
	go func() {
		address := <-client
		r.pass(r.back, r.front, func(*net.UDPAddr) *net.UDPAddr { return address })
	}()
	t.Cleanup(func() {
		_ = r.front.Close()
		_ = r.back.Close()
		select {
		case client <- nil:
		default:
		}
	})
	return r
}

func (r *relay) pass(from, to *net.UDPConn, address func(*net.UDPAddr) *net.UDPAddr) {
	buf := make([]byte, 1<<16)
	for {
		n, sender, err := from.ReadFromUDP(buf)
		if err != nil {
			return
		}
		target := address(sender)
		select {
		case <-r.frozen:
		default:
			if r.cut.Load() {
				continue
			}
			packet := bytes.Clone(buf[:n])
			time.AfterFunc(time.Duration(r.delay.Load()), func() { _, _ = to.WriteToUDP(packet, target) })
		}
	}
}

// Guards against calls to a frozen peer that hang, and against a body that is reported as complete after its sender
// froze.
func TestFrozenPeer(t *testing.T) {
	p := connect(t, nil)
	r := newRelay(t, p.address)
	p.address = r.front.LocalAddr().String()
	sending, frozen := make(chan struct{}), make(chan struct{})
	p.server.Handle("body", func(context.Context, *peer.Request) (*peer.Response, error) {
		body, w := io.Pipe()
		go func() {
			_, _ = w.Write([]byte("first part"))
			close(sending)
			<-frozen
			_ = w.Close()
		}()
		return &peer.Response{Body: body}, nil
	})
	body, err := p.client.Stream(ctx, p.address, "body", nil, nil, nil)
	p.NoErr(err)
	part := make([]byte, 10)
	_, err = io.ReadFull(body, part)
	p.NoErr(err)
	<-sending
	close(r.frozen)
	close(frozen)
	err = p.echo(ctx, "x") // ends by the loss of the connection or by the default deadline
	p.True(err != nil)
	p.True(!errors.Is(err, peer.ErrNotSent))
	_, err = io.ReadAll(body)
	p.True(err != nil)
	p.NoErr(body.Close())
	p.True(errors.Is(p.echo(ctx, "x"), peer.ErrNotSent)) // cannot connect any more
}

// Guards against daemons that accept a client or server with a certificate of another authority.
func TestWrongCertificate(t *testing.T) {
	p := connect(t, nil)
	other, err := devcert.NewAuthority()
	p.NoErr(err)
	both, err := devcert.NewAuthority()
	p.NoErr(err)
	files, err := other.Write(t.TempDir(), "stranger")
	p.NoErr(err)
	trusting := files
	trusting.CA = writeCA(t, p.authority, both)
	for name, f := range map[string]peer.Files{"neither side trusts": files, "server does not trust": trusting} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			creds, err := peer.LoadCredentials(f)
			is.NoErr(err)
			c, err := peer.NewTransport(peer.Options{LocalAddress: "127.0.0.1:0", Credentials: creds, Timing: timing})
			is.NoErr(err)
			defer c.Close()
			is.True(errors.Is(c.Call(ctx, p.address, "echo", "x", nil), peer.ErrNotSent))
		})
	}
	p.Equal(p.server.Counters.Calls.Value(), int64(0))
}

// writeCA writes the certificates of authorities to one file.
func writeCA(t *testing.T, authorities ...*devcert.Authority) string {
	t.Helper()
	var all bytes.Buffer
	for _, a := range authorities {
		files, err := a.Write(t.TempDir(), "any")
		if err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(files.CA)
		if err != nil {
			t.Fatal(err)
		}
		all.Write(text)
	}
	path := t.TempDir() + "/ca.crt"
	if err := os.WriteFile(path, all.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against a daemon that must restart to use a new certificate, and against an invalid file that replaces the
// loaded certificate.
func TestCertificateReload(t *testing.T) {
	is := is.New(t)
	a, err := devcert.NewAuthority()
	is.NoErr(err)
	dir := t.TempDir()
	files, err := a.Write(dir, "first")
	is.NoErr(err)
	creds, err := peer.LoadCredentials(files)
	is.NoErr(err)
	second, err := a.Write(dir, "second")
	is.NoErr(err)
	is.NoErr(os.Rename(second.Key, files.Key))
	is.True(creds.Reload() != nil) // the key does not match the certificate
	is.True(creds.LastError() != nil)
	is.Equal(creds.Name(), "first")
	is.NoErr(os.Rename(second.Cert, files.Cert))
	is.NoErr(creds.Reload())
	is.Equal(creds.Name(), "second")
}

// Guards against a server shutdown that aborts running calls or accepts new ones.
func TestServerShutdownLetsCallsFinish(t *testing.T) {
	p := connect(t, nil)
	entered, release := make(chan struct{}), make(chan struct{})
	want := randomBytes(4 << 20)
	p.server.Handle("long", func(context.Context, *peer.Request) (*peer.Response, error) {
		close(entered)
		<-release
		return &peer.Response{Body: io.NopCloser(bytes.NewReader(want))}, nil
	})
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		r, err := p.client.Stream(ctx, p.address, "long", nil, nil, nil)
		if err != nil {
			done <- result{nil, err}
			return
		}
		body, err := io.ReadAll(r)
		_ = r.Close()
		done <- result{body, err}
	}()
	<-entered
	stopped := make(chan struct{})
	go func() {
		p.server.Shutdown(ctx)
		close(stopped)
	}()
	eventually(t, func() error {
		err := p.echo(ctx, "x")
		if err == nil {
			return errors.New("a call was accepted during the shutdown")
		}
		p.True(errors.Is(err, peer.ErrNotSent))
		return nil
	})
	close(release)
	got := <-done
	p.NoErr(got.err)
	p.True(bytes.Equal(got.body, want))
	<-stopped
}

// Guards against a client shutdown that aborts calls that are running or about to be sent.
func TestClientShutdownLetsCallsFinish(t *testing.T) {
	p := connect(t, nil)
	entered, release := make(chan struct{}), make(chan struct{})
	p.server.Handle("hold", func(context.Context, *peer.Request) (*peer.Response, error) {
		close(entered)
		<-release
		return nil, nil
	})
	done := make(chan error, 1)
	go func() { done <- p.client.Call(ctx, p.address, "hold", nil, nil) }()
	<-entered
	delayed, connecting := make(chan error, 1), make(chan struct{})
	p.client.SetFault(func(string, string) peer.Fault {
		close(connecting)
		return peer.Fault{Delay: 50 * time.Millisecond}
	})
	go func() { delayed <- p.echo(ctx, "delayed") }()
	<-connecting
	stopped := make(chan struct{})
	go func() {
		p.client.Shutdown(ctx)
		close(stopped)
	}()
	p.NoErr(<-delayed)
	close(release)
	p.NoErr(<-done)
	<-stopped
	p.True(errors.Is(p.echo(ctx, "x"), peer.ErrNotSent))
}

// Guards against idle connections that are never closed, and against a call that fails because its connection is
// being closed as idle.
func TestIdleConnectionsClose(t *testing.T) {
	p := connect(t, nil)
	quick := timing
	quick.Idle = time.Millisecond
	c, err := peer.NewTransport(peer.Options{LocalAddress: "127.0.0.1:0", Credentials: credentials(t, p.authority, "client"), Timing: quick})
	p.NoErr(err)
	defer c.Close()
	p.client = c
	eventually(t, func() error {
		p.NoErr(p.echo(ctx, "x"))
		if c.Counters.Dials.Value() < 3 {
			return errors.New("the idle connection was not closed")
		}
		return nil
	})
}

// Guards against calls that accumulate for an unreachable peer.
func TestBreakerOpens(t *testing.T) {
	p := connect(t, nil)
	p.client.SetFault(func(string, string) peer.Fault { return peer.Fault{Unreachable: true} })
	for range 10 {
		p.True(errors.Is(p.echo(ctx, "x"), peer.ErrNotSent))
	}
	p.client.SetFault(nil)
	p.True(p.echo(ctx, "x") != nil) // refused by the open breaker
	eventually(t, func() error { return p.echo(ctx, "x") })
}

// Guards against a body that is consumed, and so lost for the next peer, by a call that was not sent, and against a
// partly read body that is reported as unread.
func TestBodyOfFailedCall(t *testing.T) {
	p := connect(t, nil)
	for _, c := range []struct {
		name, method string
		fault        peer.Fault
		notSent      bool
	}{
		{"unreachable", "digest", peer.Fault{Unreachable: true}, true},
		{"refused by the handler", "refuses", peer.Fault{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p.server.Handle("refuses", func(_ context.Context, r *peer.Request) (*peer.Response, error) {
				_, err := io.ReadFull(r.Body, make([]byte, 10))
				is.NoErr(err)
				return nil, errors.New("no")
			})
			p.client.SetFault(func(string, string) peer.Fault { return c.fault })
			defer p.client.SetFault(nil)
			body := bytes.NewReader(randomBytes(1000))
			_, err := p.client.Stream(ctx, p.address, c.method, nil, nil, body)
			var callErr *peer.CallError
			is.True(errors.As(err, &callErr))
			is.Equal(errors.Is(err, peer.ErrNotSent), c.notSent)
			is.Equal(callErr.BodyRead, !c.notSent)
			if !callErr.BodyRead {
				is.Equal(body.Len(), 1000)
			}
		})
	}
}

// Guards against a daemon with a certificate of a withdrawn authority that its peers accept again.
func TestWithdrawnAuthorityIsRefused(t *testing.T) {
	is := is.New(t)
	old, err := devcert.NewAuthority()
	is.NoErr(err)
	current, err := devcert.NewAuthority()
	is.NoErr(err)
	issue := func(a *devcert.Authority, name string, validFor time.Duration) *peer.Credentials {
		cert, err := a.Issue(name, validFor)
		is.NoErr(err)
		return peer.NewCredentials(cert, a.Roots())
	}
	serverCredentials := issue(old, "server", time.Hour)
	call := func(client *peer.Credentials) error {
		server, err := peer.NewServer(peer.ServerOptions{Address: "127.0.0.1:0", Credentials: serverCredentials})
		is.NoErr(err)
		defer server.Close()
		peer.HandleCall(server, "m", func(context.Context, string, struct{}) (struct{}, error) { return struct{}{}, nil })
		is.NoErr(server.Serve())
		transport, err := peer.NewTransport(peer.Options{LocalAddress: "127.0.0.1:0", Credentials: client})
		is.NoErr(err)
		defer transport.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		return transport.Call(ctx, server.Address(), "m", struct{}{}, &struct{}{})
	}
	is.NoErr(call(issue(old, "client", time.Hour)))
	is.True(call(issue(old, "client", -time.Minute)) != nil) // expired

	cert, err := current.Issue("server", time.Hour)
	is.NoErr(err)
	serverCredentials.Replace(cert, current.Roots())
	is.True(call(issue(old, "client", time.Hour)) != nil)
	is.NoErr(call(issue(current, "client", time.Hour)))
}
