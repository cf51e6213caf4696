package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"waxwingslip.example/core/claim"
	"waxwingslip.example/node/gateway/claims"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// endpoint is an HTTP server on loopback that counts the requests it executes.
type endpoint struct {
	*httptest.Server
	runs atomic.Int64
	mu   sync.Mutex
	// byKey counts executions by idempotency key.
	byKey map[string]int
}

func newEndpoint(t *testing.T, serve http.HandlerFunc) *endpoint {
	e := &endpoint{byKey: map[string]int{}}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.runs.Add(1)
		e.mu.Lock()
		e.byKey[r.Header.Get(HeaderKey)]++
		e.mu.Unlock()
		serve(w, r)
	}))
	t.Cleanup(func() { e.CloseClientConnections(); e.Close() })
	return e
}

func (e *endpoint) address() string { return e.Listener.Addr().String() }

func serveOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }

// serveHang reads the request and never answers.
func serveHang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// serveReset closes the connection after the request was read.
func serveReset(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// serveTruncated aborts the connection within an answer of known length.
func serveTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

func refusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// source is an EndpointSource whose endpoints a test can change.
type source struct {
	mu        sync.Mutex
	endpoints []Endpoint
	changed   chan struct{}
}

func newSource(addresses ...string) *source {
	s := &source{changed: make(chan struct{})}
	s.set(addresses...)
	return s
}

func (s *source) set(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = nil
	for i, a := range addresses {
		s.endpoints = append(s.endpoints, Endpoint{Address: a, Run: fmt.Sprint(i), Worker: fmt.Sprint("w", i)})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) Endpoints(string) []Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints
}

func (s *source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

type catalog struct {
	zones      []Zone
	linkRate   float64
	callerRate float64
}

func (c catalog) Service(name string) (Service, bool) {
	return Service{Name: "s", Timeout: 5 * time.Second}, name == "s"
}
func (c catalog) Zones() []Zone       { return c.zones }
func (c catalog) CallerRate() float64 { return c.callerRate }
func (c catalog) LinkRate() float64   { return c.linkRate }

// cluster is a set of daemons in one process. Messages between them are function calls.
type cluster struct {
	t       *testing.T
	daemons map[string]*daemon
	zones   map[string][]string
}

type daemon struct {
	*Gateway
	voter        *claims.Voter
	coordinator  *claims.Coordinator
	frontend     *httptest.Server
	observations chan Observation
	down         atomic.Bool
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, daemons: map[string]*daemon{}, zones: map[string][]string{}}
}

// addZone starts daemons that share one claim view and one list of endpoints.
func (c *cluster) addZone(zone string, n int, cat catalog, src EndpointSource) []*daemon {
	view := claim.View{Number: 1}
	for i := range n {
		view.Members = append(view.Members, fmt.Sprint(zone, i))
	}
	c.zones[zone] = view.Members
	var added []*daemon
	for _, member := range view.Members {
		d := &daemon{observations: make(chan Observation, 1000)}
		d.voter = claims.NewVoter(member, claim.DefaultLimits(), claims.SystemClock())
		d.voter.ConfirmHeartbeat(0)
		d.voter.Install(claim.InstallRequest{View: 1, Last: true})
		d.voter.ApplyView(view)
		d.coordinator = claims.NewCoordinator(d.voter, c)
		g, err := New(Options{Zone: zone, Endpoints: src, Catalog: cat, Forwarder: c, Claims: d.coordinator,
			Observer: d})
		if err != nil {
			c.t.Fatal(err)
		}
		d.Gateway = g
		d.frontend = httptest.NewServer(g.Handler())
		c.daemons[member] = d
		added = append(added, d)
		c.t.Cleanup(func() {
			d.frontend.Close()
			_ = g.Shutdown(context.Background())
			d.coordinator.Wait()
		})
	}
	return added
}

// Observe implements Observer.
func (d *daemon) Observe(o Observation) { d.observations <- o }

var errUnreachable = errors.New("peer is unreachable")

func (c *cluster) peer(member string) (*claims.Voter, error) {
	if d := c.daemons[member]; !d.down.Load() {
		return d.voter, nil
	}
	return nil, errUnreachable
}

func (c *cluster) Grant(_ context.Context, m string, r claim.GrantRequest) (resp claim.GrantResponse, err error) {
	v, err := c.peer(m)
	if err == nil {
		resp = v.Grant(r)
	}
	return resp, err
}

func (c *cluster) Withdraw(_ context.Context, m string, r claim.WithdrawRequest) error {
	v, err := c.peer(m)
	if err == nil {
		v.Withdraw(r)
	}
	return err
}

func (c *cluster) Finish(_ context.Context, m string, r claim.FinishRequest) error {
	v, err := c.peer(m)
	if err == nil {
		v.Finish(r)
	}
	return err
}

func (c *cluster) Lookup(_ context.Context, m string, r claim.LookupRequest) (resp claim.LookupResponse, err error) {
	v, err := c.peer(m)
	if err == nil {
		resp = v.Lookup(r)
	}
	return resp, err
}

func (c *cluster) Seal(context.Context, string, claim.SealRequest) (claim.SealResponse, error) {
	return claim.SealResponse{}, errUnreachable
}

func (c *cluster) Install(context.Context, string, claim.InstallRequest) (claim.InstallResponse, error) {
	return claim.InstallResponse{}, errUnreachable
}

// Forward implements Forwarder.
func (c *cluster) Forward(ctx context.Context, zone string, r *ForwardRequest) (*ForwardResponse, error) {
	for _, member := range c.zones[zone] {
		if d := c.daemons[member]; !d.down.Load() {
			return d.ServeForward(ctx, r), nil
		}
		// node/peer, too, closes a body that it did not send.
		if closer, ok := r.Body.(io.Closer); ok {
			_ = closer.Close()
		}
	}
	return nil, &NotSentError{Step: "forward", Peer: zone, Err: errUnreachable}
}

// reply is the response that a caller received.
type reply struct {
	status  int
	outcome string
	body    string
	header  http.Header
	trailer http.Header
	// err is set if the answer did not arrive completely.
	err error
}

var testClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func sendRequest(d *daemon, method, path, key, body string, header ...string) reply {
	req, _ := http.NewRequest(method, d.frontend.URL+"/services/s"+path, strings.NewReader(body))
	if key != "" {
		req.Header.Set(HeaderKey, key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := testClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header.Get(HeaderOutcome), string(text), resp.Header, resp.Trailer, err}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }
