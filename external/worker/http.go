package worker

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/external/internal/httpapi"
	"waxwingslip.example/external/traffic"
)

const (
	contentType = "application/cbor"
	callTimeout = 5 * time.Second
	// A Start command carries the payload of a job, which is shorter than the limit of a log record.
	maxCommandBytes = record.MaxEncodedBytes + 64<<10
	maxReportBytes  = 4 << 20
	// An owner has about 52 workers and sends each of them at most two commands at a time.
	connectionsPerWorker = 4
	idleConnections      = 256
)

var errorTable = httpapi.ErrorTable{
	{Err: ErrFenced, Code: "fenced", Status: http.StatusConflict},
	{Err: ErrTooLate, Code: "too-late", Status: http.StatusPreconditionFailed},
	{Err: ErrRefused, Code: "refused", Status: http.StatusUnprocessableEntity},
}

// HTTPClient is a Client for workers that serve NewHandler. It is safe for concurrent use.
type HTTPClient struct{ http *http.Client }

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client for any number of workers.
func NewHTTPClient() *HTTPClient { return NewMeteredHTTPClient(nil) }

// NewMeteredHTTPClient returns a client whose traffic m counts; m may be nil.
func NewMeteredHTTPClient(m *traffic.Meter) *HTTPClient {
	return &HTTPClient{http: httpapi.NewClient(httpapi.ClientOptions{
		ConnectionsPerHost: connectionsPerWorker, IdleConnections: idleConnections, Meter: m,
	})}
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.http.CloseIdleConnections() }

// Start implements Client.
func (c *HTTPClient) Start(ctx context.Context, address string, req StartRequest) error {
	return c.command(ctx, address, "start", req, nil)
}

// Stop implements Client.
func (c *HTTPClient) Stop(ctx context.Context, address string, req StopRequest) (out RunStatus, err error) {
	err = c.command(ctx, address, "stop", req, &out)
	return out, err
}

// Checkpoint implements Client.
func (c *HTTPClient) Checkpoint(ctx context.Context, address string, req StopRequest) (out RunStatus, err error) {
	err = c.command(ctx, address, "checkpoint", req, &out)
	return out, err
}

// Throttle implements Client.
func (c *HTTPClient) Throttle(ctx context.Context, address string, req ThrottleRequest) error {
	return c.command(ctx, address, "throttle", req, nil)
}

// Renew implements Client.
func (c *HTTPClient) Renew(ctx context.Context, address string, req RenewRequest) (out Report, err error) {
	err = c.command(ctx, address, "renew", req, &out)
	return out, err
}

// Ack implements Client.
func (c *HTTPClient) Ack(ctx context.Context, address string, req AckRequest) error {
	return c.command(ctx, address, "ack", req, nil)
}

// Report implements Client.
func (c *HTTPClient) Report(ctx context.Context, address string) (out Report, err error) {
	err = c.do(ctx, address, http.MethodGet, "/v1/report", nil, &out)
	return out, err
}

func (c *HTTPClient) command(ctx context.Context, address, name string, req, out any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return errors.Wrapf(err, "encode %s", name)
	}
	return c.do(ctx, address, http.MethodPost, "/v1/commands/"+name, body, out)
}

func (c *HTTPClient) do(ctx context.Context, address, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := httpapi.Do(ctx, c.http, httpapi.Request{
		Method: method, URL: "http://" + address + path, ContentType: contentType, Body: body,
		MaxResponseBytes: maxReportBytes, Compressed: true, Errors: errorTable,
	})
	if err != nil {
		return errors.Wrapf(err, "%s at worker %s", path, address)
	}
	if out == nil {
		out = &struct{}{}
	}
	return errors.Wrapf(cbor.Unmarshal(response, out), "decode response of %s at worker %s", path, address)
}

// NewHandler serves a worker over HTTP with CBOR bodies, which are half as long as JSON ones; responses are compressed
// with gzip for clients that accept it. POST /v1/commands/{command} takes the request of the command, GET /v1/report
// returns a Report. A fenced command gets status 409, one that is too late 412 and a refused one 422, each with a
// JSON body that contains the error code.
func NewHandler(s Server) http.Handler {
	r := mux.NewRouter()
	post := func(name string, h http.HandlerFunc) {
		r.HandleFunc("/v1/commands/"+name, h).Methods(http.MethodPost)
	}
	post("start", serve(func(ctx context.Context, q StartRequest) (struct{}, error) { return struct{}{}, s.Start(ctx, q) }))
	post("stop", serve(s.Stop))
	post("checkpoint", serve(s.Checkpoint))
	post("throttle", serve(func(ctx context.Context, q ThrottleRequest) (struct{}, error) { return struct{}{}, s.Throttle(ctx, q) }))
	post("renew", serve(s.Renew))
	post("ack", serve(func(ctx context.Context, q AckRequest) (struct{}, error) { return struct{}{}, s.Ack(ctx, q) }))
	r.HandleFunc("/v1/report", func(w http.ResponseWriter, r *http.Request) {
		report, err := s.Report(r.Context())
		writeResponse(w, r, report, err)
	}).Methods(http.MethodGet)
	return r
}

func serve[Req, Resp any](handle func(context.Context, Req) (Resp, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		body, err := httpapi.ReadBody(w, r, maxCommandBytes)
		if err != nil {
			return
		}
		if err := cbor.Unmarshal(body, &req); err != nil {
			http.Error(w, "decode request: "+err.Error(), http.StatusBadRequest)
			return
		}
		resp, err := handle(r.Context(), req)
		writeResponse(w, r, resp, err)
	}
}

func writeResponse(w http.ResponseWriter, r *http.Request, resp any, err error) {
	if err != nil {
		httpapi.WriteError(w, err, errorTable, nil)
		return
	}
	body, err := cbor.Marshal(resp)
	if err != nil {
		httpapi.WriteError(w, err, errorTable, nil)
		return
	}
	httpapi.WriteCompressed(w, r, contentType, body)
}
