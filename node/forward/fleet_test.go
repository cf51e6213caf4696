package forward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/node/claimview"
	"waxwingslip.example/node/forward"
	"waxwingslip.example/node/gateway"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/peer/devcert"
	"waxwingslip.example/node/peers"
	"waxwingslip.example/node/stream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// timing detects lost peers quickly.
var timing = peer.Timing{Dial: time.Second, PeerTimeout: time.Second, RedialMin: 10 * time.Millisecond}

// fleet is a set of daemons that are connected over loopback by real peer transports. Their logs are in memory.
type fleet struct {
	t         *testing.T
	authority *devcert.Authority

	mu    sync.Mutex
	logs  map[string]*zoneLog
	zones map[string][]peers.Peer
}

func newFleet(t *testing.T) *fleet {
	a, err := devcert.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return &fleet{t: t, authority: a, logs: map[string]*zoneLog{}, zones: map[string][]peers.Peer{}}
}

// InZone implements forward.Directory.
func (f *fleet) InZone(zone string) []peers.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zones[zone]
}

// add adds the address of a daemon to a zone.
func (f *fleet) add(zone, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zones[zone] = append(f.zones[zone], peers.Peer{Contact: peers.Contact{Zone: zone, Address: address}})
}

// node is the peer server and transport of one daemon.
type node struct {
	server    *peer.Server
	transport *peer.Transport
}

func (f *fleet) node(name string) node {
	f.t.Helper()
	files, err := f.authority.Write(f.t.TempDir(), name)
	f.check(err)
	credentials, err := peer.LoadCredentials(files)
	f.check(err)
	s, err := peer.NewServer(peer.ServerOptions{Address: "127.0.0.1:0", Credentials: credentials, Timing: timing})
	f.check(err)
	tr, err := peer.NewTransport(peer.Options{LocalAddress: "127.0.0.1:0", Credentials: credentials, Timing: timing})
	f.check(err)
	f.t.Cleanup(func() { tr.Close(); s.Close() })
	return node{s, tr}
}

func (f *fleet) check(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// daemon is a gateway with the transport and the claim manager that it needs.
type daemon struct {
	node
	name    string
	gateway *gateway.Gateway
	claims  *claimview.Manager
	front   *httptest.Server
}

// daemon starts a daemon and adds it to the members of its zone.
func (f *fleet) daemon(zoneName, name string, endpoints ...string) *daemon {
	f.t.Helper()
	d := &daemon{node: f.node(name), name: name}
	log := f.logs[zoneName]
	if log == nil {
		log = &zoneLog{state: zone.New(zoneName), changed: make(chan struct{})}
		log.state.OnChange(func(c zone.Change) { log.events = append(log.events, c) })
		f.logs[zoneName] = log
	}
	start := time.Now()
	d.claims = claimview.New(claimview.Config{Zone: log, Caller: d.transport, ZoneCurrent: func() bool { return true },
		Now: func() time.Duration { return time.Since(start) }, Log: zerolog.Nop()})
	var err error
	d.gateway, err = gateway.New(gateway.Options{Zone: zoneName, Endpoints: endpointList(endpoints), Catalog: catalog{},
		Forwarder: forward.New(d.transport, f), Claims: d.claims.Coordinator()})
	f.check(err)
	forward.Register(d.server, d.gateway)
	d.claims.Register(d.server)
	f.check(d.server.Serve())
	f.add(zoneName, d.server.Address())
	log.follow(d.claims)
	log.apply(&record.Join{Member: name, PeerAddress: d.server.Address()})
	d.claims.SetMember(name)
	d.claims.ConfirmHeartbeat(name, 0)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { d.claims.Run(ctx) })
	d.front = httptest.NewServer(d.gateway.Handler())
	f.t.Cleanup(func() {
		d.front.Close()
		_ = d.gateway.Shutdown(context.Background())
		stop()
		running.Wait()
	})
	return d
}

// reply is what a caller received; err is set if the response is incomplete.
type reply struct {
	outcome, body string
	trailer       http.Header
	err           error
}

func (d *daemon) post(path, key string, body io.Reader) reply {
	req, _ := http.NewRequest("POST", d.front.URL+"/services/s"+path, body)
	if key != "" {
		req.Header.Set(gateway.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer http.DefaultClient.CloseIdleConnections()
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{resp.Header.Get(gateway.HeaderOutcome), string(text), resp.Trailer, err}
}

// zoneLog is the in-memory log of one zone.
type zoneLog struct {
	mu            sync.Mutex
	state         *zone.State
	events        []any
	claimManagers []*claimview.Manager
	changed       chan struct{}
}

func (l *zoneLog) follow(m *claimview.Manager) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claimManagers = append(l.claimManagers, m)
}

func (l *zoneLog) apply(body record.Body) zone.Verdict {
	l.mu.Lock()
	l.events = nil
	v := l.state.Apply(l.state.Offset+1, record.New(uuid.New(), body))
	batch := stream.Batch{Applied: []stream.Applied{{Verdict: stream.Verdict{Events: l.events}}}}
	claimManagers := l.claimManagers
	l.mu.Unlock()
	for _, m := range claimManagers {
		m.ApplyZoneBatch(batch)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
	return v
}

// View implements claimview.Replica.
func (l *zoneLog) View(f func(*zone.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.state)
}

// Submit implements claimview.Replica.
func (l *zoneLog) Submit(_ context.Context, body record.Body) (stream.Result, error) {
	v := l.apply(body)
	return stream.Result{Accepted: v.Accepted, Reason: v.Reason}, nil
}

// awaitView waits until the view has n members.
func (l *zoneLog) awaitView(t *testing.T, n int) {
	t.Helper()
	deadline := time.After(20 * time.Second)
	for {
		l.mu.Lock()
		members, changed := l.state.View.Members, l.changed
		l.mu.Unlock()
		if len(members) == n {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("view has members %v, want %d", members, n)
		}
	}
}

type endpointList []string

// Endpoints implements gateway.EndpointSource.
func (l endpointList) Endpoints(string) (out []gateway.Endpoint) {
	for _, a := range l {
		out = append(out, gateway.Endpoint{Address: a, Run: a, Worker: a})
	}
	return out
}

// Changed implements gateway.EndpointSource.
func (l endpointList) Changed() <-chan struct{} { return nil }

type catalog struct{}

// Service implements gateway.Catalog.
func (catalog) Service(name string) (gateway.Service, bool) {
	return gateway.Service{Name: name, Timeout: 10 * time.Second}, name == "s"
}

// Zones implements gateway.Catalog.
func (catalog) Zones() []gateway.Zone {
	return []gateway.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}
}

// CallerRate implements gateway.Catalog.
func (catalog) CallerRate() float64 { return 0 }

// LinkRate implements gateway.Catalog.
func (catalog) LinkRate() float64 { return 0 }
