package claimview

import (
	"context"

	"github.com/pkg/errors"

	"waxwingslip.example/core/claim"
	"waxwingslip.example/node/gateway/claims"
	"waxwingslip.example/node/peer"
)

// Methods of calls between the members of a zone.
const (
	methodGrant    = "claim-grant"
	methodWithdraw = "claim-withdraw"
	methodFinish   = "claim-finish"
	methodLookup   = "claim-lookup"
	methodSeal     = "claim-seal"
	methodInstall  = "claim-install"
)

// codeUnknownMember is the error code for a request to a member that is not, or no longer, one of this daemon.
const codeUnknownMember = peer.CodeApplication

// memberRequest is a request to one member. It contains the member id, because a daemon that was restarted or expired
// has a new member at the same address, which does not have the former member's claims.
type memberRequest[Req any] struct {
	_       struct{} `cbor:",toarray"`
	Member  string
	Request Req
}

// emptyResponse is the response to requests that need no data in return.
type emptyResponse struct{}

// Caller calls other daemons; peer.Transport implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, req, resp any) error
}

// remotePeers implements claims.Peers over calls between daemons.
type remotePeers struct {
	caller Caller
	// address returns the peer address of a member, or "" if it is not known.
	address func(member string) string
}

func call[Req, Resp any](ctx context.Context, r remotePeers, member, method string, req Req) (resp Resp, err error) {
	address := r.address(member)
	if address == "" {
		return resp, errors.Errorf("%s: the address of member %s is not known", method, member)
	}
	err = r.caller.Call(ctx, address, method, memberRequest[Req]{Member: member, Request: req}, &resp)
	return resp, errors.Wrapf(err, "%s at member %s", method, member)
}

// Grant implements claims.Peers.
func (r remotePeers) Grant(ctx context.Context, member string, q claim.GrantRequest) (claim.GrantResponse, error) {
	return call[claim.GrantRequest, claim.GrantResponse](ctx, r, member, methodGrant, q)
}

// Withdraw implements claims.Peers.
func (r remotePeers) Withdraw(ctx context.Context, member string, q claim.WithdrawRequest) error {
	_, err := call[claim.WithdrawRequest, emptyResponse](ctx, r, member, methodWithdraw, q)
	return err
}

// Finish implements claims.Peers.
func (r remotePeers) Finish(ctx context.Context, member string, q claim.FinishRequest) error {
	_, err := call[claim.FinishRequest, emptyResponse](ctx, r, member, methodFinish, q)
	return err
}

// Lookup implements claims.Peers.
func (r remotePeers) Lookup(ctx context.Context, member string, q claim.LookupRequest) (claim.LookupResponse, error) {
	return call[claim.LookupRequest, claim.LookupResponse](ctx, r, member, methodLookup, q)
}

// Seal implements claims.Peers.
func (r remotePeers) Seal(ctx context.Context, member string, q claim.SealRequest) (claim.SealResponse, error) {
	return call[claim.SealRequest, claim.SealResponse](ctx, r, member, methodSeal, q)
}

// Install implements claims.Peers.
func (r remotePeers) Install(
	ctx context.Context, member string, q claim.InstallRequest,
) (claim.InstallResponse, error) {
	return call[claim.InstallRequest, claim.InstallResponse](ctx, r, member, methodInstall, q)
}

// Register registers the handlers of this daemon's voters at a server.
func (m *Manager) Register(s *peer.Server) {
	registerHandler(s, m.voters, methodGrant, (*claims.Voter).Grant)
	registerHandler(s, m.voters, methodLookup, (*claims.Voter).Lookup)
	registerHandler(s, m.voters, methodSeal, (*claims.Voter).Seal)
	registerHandler(s, m.voters, methodInstall, (*claims.Voter).Install)
	registerHandler(s, m.voters, methodWithdraw, func(v *claims.Voter, q claim.WithdrawRequest) (resp emptyResponse) {
		v.Withdraw(q)
		return resp
	})
	registerHandler(s, m.voters, methodFinish, func(v *claims.Voter, q claim.FinishRequest) (resp emptyResponse) {
		v.Finish(q)
		return resp
	})
}

func registerHandler[Req, Resp any](s *peer.Server, voters *claims.Voters, method string,
	serve func(*claims.Voter, Req) Resp) {
	peer.HandleCall(s, method, func(_ context.Context, _ string, m memberRequest[Req]) (resp Resp, err error) {
		voter := voters.ForMember(m.Member)
		if voter == nil || m.Member == "" {
			return resp, &peer.RemoteError{Code: codeUnknownMember, Message: "member " + m.Member + " is not here"}
		}
		return serve(voter, m.Request), nil
	})
}
