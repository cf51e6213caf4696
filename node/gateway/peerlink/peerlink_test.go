package peerlink

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"waxwingslip.example/core/claim"
	"waxwingslip.example/node/gateway"
	"waxwingslip.example/node/gateway/claims"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/peer/devcert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// list is a fixed list of endpoints.
type list []gateway.Endpoint

func (l list) Endpoints(string) []gateway.Endpoint { return l }
func (l list) Changed() <-chan struct{}            { return nil }

type catalog struct{}

func (catalog) Service(string) (gateway.Service, bool) {
	return gateway.Service{Name: "s", Timeout: 5 * time.Second}, true
}
func (catalog) Zones() []gateway.Zone { return []gateway.Zone{{Name: "a"}, {Name: "b"}} }
func (catalog) CallerRate() float64   { return 0 }
func (catalog) LinkRate() float64     { return 1e9 }

// network is a set of daemons that are connected over QUIC on loopback.
type network struct {
	t         *testing.T
	authority *devcert.Authority
	// addresses are the peer addresses by member; a member's name begins with its zone.
	addresses map[string]string
}

type daemon struct {
	front  string
	server *peer.Server
}

func newNetwork(t *testing.T) *network {
	a, err := devcert.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return &network{t: t, authority: a, addresses: map[string]string{}}
}

// start adds daemons of one zone with a common claim view.
func (n *network) start(zone string, endpoints list, members ...string) []daemon {
	is := is.New(n.t)
	timing := peer.Timing{Dial: 500 * time.Millisecond, Silence: time.Second}
	view := claim.View{Number: 1, Members: members}
	var out []daemon
	for _, member := range members {
		files, err := n.authority.Write(n.t.TempDir(), member)
		is.NoErr(err)
		credentials, err := peer.LoadCredentials(files)
		is.NoErr(err)
		server, err := peer.NewServer(peer.ServerOptions{Address: "127.0.0.1:0", Credentials: credentials, Timing: timing})
		is.NoErr(err)
		transport, err := peer.NewTransport(peer.Options{LocalAddress: "127.0.0.1:0", Credentials: credentials, Timing: timing})
		is.NoErr(err)
		n.addresses[member] = server.Address()
		voter := claims.NewVoter(member, claim.DefaultLimits(), claims.SystemClock())
		voter.ConfirmHeartbeat(0)
		voter.Install(claim.InstallRequest{View: 1, Last: true})
		voter.ReadView(view)
		coordinator := claims.NewCoordinator(voter, NewVoters(transport, func(m string) (string, bool) {
			a, ok := n.addresses[m]
			return a, ok
		}))
		g, err := gateway.New(gateway.Options{Zone: zone, Endpoints: endpoints, Catalog: catalog{}, Claims: coordinator,
			Forwarder: NewForwarder(transport, n.inZone)})
		is.NoErr(err)
		Register(server, g, voter)
		is.NoErr(server.Serve())
		front := httptest.NewServer(g.Handler())
		n.t.Cleanup(func() {
			front.Close()
			_ = g.Shutdown(context.Background())
			coordinator.Wait()
			server.Close()
			transport.Close()
		})
		out = append(out, daemon{front.URL, server})
	}
	return out
}

func (n *network) inZone(zone string) (out []string) {
	for i := range 3 {
		if a, ok := n.addresses[fmt.Sprint(zone, i)]; ok {
			out = append(out, a)
		}
	}
	return out
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func post(t *testing.T, d daemon, path, key string, body io.Reader) (outcome, text string, trailer http.Header, err error) {
	req, err := http.NewRequest("POST", d.front+"/services/s"+path, body)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set(gateway.HeaderKey, key)
	}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.Header.Get(gateway.HeaderOutcome), string(b), resp.Trailer, err
}

// Guards against bodies and trailers that are lost or cut between zones, against broken answers that look whole,
// and against a key that runs twice when it is repeated in two zones.
func TestForwardOverQUIC(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("Trailer", "X-Sum")
		b, _ := io.ReadAll(r.Body)
		_, _ = w.Write(b)
		if r.URL.Path == "/half" {
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Sum", fmt.Sprint(len(b)))
	}))
	defer endpoint.Close()
	n := newNetwork(t)
	near := n.start("a", list{{Address: endpoint.Listener.Addr().String()}}, "a0", "a1", "a2")
	far := n.start("b", nil, "b0")[0]

	large := strings.Repeat("0123456789abcdef", 1<<16)
	outcome, text, trailer, err := post(t, far, "/", "", io.MultiReader(strings.NewReader(large)))
	is.NoErr(err)
	is.Equal(outcome, "answered")
	is.True(text == large)
	is.Equal(trailer.Get("X-Sum"), fmt.Sprint(len(large)))

	outcome, _, _, err = post(t, far, "/half", "", strings.NewReader("half"))
	is.True(outcome == "unknown" || outcome == "answered" && err != nil) // the reset may overtake the header

	before := runs.Load()
	for range 10 {
		key := uuid.Must(uuid.NewV7()).String()
		for _, d := range append(near, far) {
			outcome, text, _, err = post(t, d, "/", key, strings.NewReader(key))
			is.NoErr(err)
			is.Equal(outcome, "answered")
			is.Equal(text, key)
		}
	}
	is.Equal(runs.Load(), before+10)

	// With the first daemon of the zone gone, another one is tried; with all gone, nothing was sent.
	near[0].server.Close()
	outcome, _, _, err = post(t, far, "/", "", strings.NewReader("x"))
	is.NoErr(err)
	is.True(outcome == "answered" || outcome == "unknown")
	near[1].server.Close()
	near[2].server.Close()
	before = runs.Load()
	outcome, _, _, err = post(t, far, "/", "", strings.NewReader("x"))
	is.NoErr(err)
	is.Equal(outcome, "not-run")
	is.Equal(runs.Load(), before)
}
