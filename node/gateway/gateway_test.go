package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

type fixedEndpoints []Endpoint

func (f fixedEndpoints) Endpoints(string) []Endpoint { return f }
func (f fixedEndpoints) Changed() <-chan struct{}    { return nil }

type fixedCatalog struct {
	service Service
	zones   []Zone
}

func (f fixedCatalog) Service(name string) (Service, bool) { return f.service, name == f.service.Name }
func (f fixedCatalog) Zones() []Zone                       { return f.zones }
func (f fixedCatalog) CallerRate() float64                 { return 0 }
func (f fixedCatalog) LinkRate() float64                   { return 0 }

// Guards against an answer cut short by the endpoint that reaches the caller as a complete one.
func TestTruncatedAnswerIsBroken(t *testing.T) {
	is := is.New(t)
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, strings.Repeat("x", 100<<10))
		panic(http.ErrAbortHandler)
	}))
	defer endpoint.Close()
	g, err := New(Options{Zone: "a", Endpoints: fixedEndpoints{{Address: endpoint.Listener.Addr().String()}},
		Catalog: fixedCatalog{service: Service{Name: "s"}}})
	is.NoErr(err)
	front := httptest.NewServer(g.Handler())
	defer front.Close()
	resp, err := http.Get(front.URL + "/services/s/x")
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.Header.Get(HeaderOutcome), "answered")
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
}
