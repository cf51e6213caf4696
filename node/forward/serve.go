package forward

import (
	"context"
	"net/http"
	"time"

	"waxwingslip.example/node/gateway"
	"waxwingslip.example/node/peer"
)

// codeInvalid is the error code for an invalid request header.
const codeInvalid = peer.CodeApplication

// Gateway serves forwarded requests; gateway.Gateway implements it.
type Gateway interface {
	ServeForward(ctx context.Context, req *gateway.ForwardRequest) *gateway.ForwardResponse
}

// Registrar registers handlers; peer.Server implements it.
type Registrar interface {
	Handle(method string, h peer.Handler)
}

// Register registers the handler that passes forwarded requests to the gateway.
func Register(s Registrar, g Gateway) {
	s.Handle(methodForward, func(ctx context.Context, r *peer.Request) (*peer.Response, error) {
		return serve(ctx, r, g)
	})
}

func serve(ctx context.Context, r *peer.Request, g Gateway) (*peer.Response, error) {
	var h requestHeader
	if err := r.Decode(&h); err != nil {
		return nil, err
	}
	if err := h.check(); err != nil {
		return nil, &peer.RemoteError{Code: codeInvalid, Message: err.Error()}
	}
	if h.Header == nil {
		h.Header = http.Header{}
	}
	req := &gateway.ForwardRequest{Purpose: h.Purpose, Service: h.Service, Method: h.Method, Path: h.Path,
		Header: h.Header, ContentLength: h.ContentLength, Timeout: time.Duration(h.TimeoutUs) * time.Microsecond,
		TimeoutCoversBody: h.TimeoutCoversBody}
	if h.ContentLength != 0 {
		req.Body = r.Body
	}
	return newResponse(g.ServeForward(ctx, req)), nil
}

// newResponse returns the response of the call. Trailer fields can only follow a body of unknown length.
func newResponse(a *gateway.ForwardResponse) *peer.Response {
	h := responseHeader{Status: a.Status, Header: a.Header}
	h.Chunked = a.Trailer != nil && a.Body != nil && a.Header.Get("Content-Length") == ""
	if !h.Chunked {
		return &peer.Response{Header: h, Body: a.Body}
	}
	return &peer.Response{Header: h, Body: &chunkEncoder{src: a.Body, trailer: a.Trailer}}
}
