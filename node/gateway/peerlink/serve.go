package peerlink

import (
	"context"

	"waxwingslip.example/core/claim"
	"waxwingslip.example/node/gateway"
	"waxwingslip.example/node/gateway/claims"
	"waxwingslip.example/node/peer"
)

// Register makes a server answer forwarded requests and claim messages.
func Register(s *peer.Server, g *gateway.Gateway, v *claims.Voter) {
	s.Handle(methodForward, func(ctx context.Context, r *peer.Request) (*peer.Response, error) {
		return serveForward(ctx, g, r)
	})
	handle(s, methodGrant, v.Grant)
	handle(s, methodLookup, v.Lookup)
	handle(s, methodSeal, v.Seal)
	handle(s, methodInstall, v.Install)
	handle(s, methodWithdraw, func(r claim.WithdrawRequest) empty { v.Withdraw(r); return empty{} })
	handle(s, methodFinish, func(r claim.FinishRequest) empty { v.Finish(r); return empty{} })
}

func handle[Q, A any](s *peer.Server, method string, f func(Q) A) {
	peer.HandleCall(s, method, func(_ context.Context, _ string, q Q) (A, error) { return f(q), nil })
}

func serveForward(ctx context.Context, g *gateway.Gateway, r *peer.Request) (*peer.Response, error) {
	var h requestHeader
	if err := r.Decode(&h); err != nil {
		return nil, err
	}
	req := fromWire(h)
	if h.HasBody {
		req.Body = r.Body
	}
	a := g.ServeForward(ctx, req)
	header := answerHeader{Status: a.Status, Header: a.Header}
	if a.Trailer == nil {
		return &peer.Response{Header: header, Body: a.Body}, nil
	}
	header.Framed = true
	return &peer.Response{Header: header, Body: &frameWriter{ReadCloser: a.Body, trailer: a.Trailer}}, nil
}
