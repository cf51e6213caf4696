package directory

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"waxwingslip.example/external/internal/httpapi"
	"waxwingslip.example/external/traffic"
)

const (
	listTimeout = 5 * time.Second
	// maxListBytes leaves a wide margin: a listing of 1,400 workers takes about 350 KB.
	maxListBytes = 8 << 20
	// maxVMs limits the memory that a listing may take in its reader.
	maxVMs = 20000
)

// HTTPClient is a Directory that calls a server of NewHandler. It is safe for concurrent use.
type HTTPClient struct {
	base string
	http *http.Client
}

var _ Directory = (*HTTPClient)(nil)

// NewHTTPClient returns a client for a base URL such as http://127.0.0.1:7000.
func NewHTTPClient(baseURL string) *HTTPClient { return NewMeteredHTTPClient(baseURL, nil) }

// NewMeteredHTTPClient returns a client whose traffic m counts; m may be nil.
func NewMeteredHTTPClient(baseURL string, m *traffic.Meter) *HTTPClient {
	return &HTTPClient{
		base: strings.TrimSuffix(baseURL, "/"),
		http: httpapi.NewClient(httpapi.ClientOptions{ConnectionsPerHost: 2, IdleConnections: 2, Meter: m}),
	}
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.http.CloseIdleConnections() }

// List implements Directory.
func (c *HTTPClient) List(ctx context.Context, zone, version string) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	query := url.Values{"zone": {zone}, "version": {version}}
	body, err := httpapi.Do(ctx, c.http, httpapi.Request{
		Method: http.MethodGet, URL: c.base + "/v1/vms?" + query.Encode(), MaxResponseBytes: maxListBytes,
	})
	if err != nil {
		return Listing{}, errors.Wrapf(err, "list VMs at %s", c.base)
	}
	var l Listing
	if err := json.Unmarshal(body, &l); err != nil {
		return Listing{}, errors.Wrapf(err, "list VMs at %s", c.base)
	}
	if l.Version == "" || len(l.VMs) > maxVMs {
		return Listing{}, errors.Errorf("list VMs at %s: version %q with %d VMs, limit %d", c.base, l.Version, len(l.VMs), maxVMs)
	}
	return l, nil
}

// NewHandler serves a directory over HTTP: GET /v1/vms?zone=&version= returns a Listing in JSON.
func NewHandler(d Directory) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/vms", func(w http.ResponseWriter, r *http.Request) {
		l, err := d.List(r.Context(), r.URL.Query().Get("zone"), r.URL.Query().Get("version"))
		if err != nil {
			httpapi.WriteError(w, err, nil, nil)
			return
		}
		httpapi.WriteJSON(w, l)
	}).Methods(http.MethodGet)
	return r
}
