package claimview

import (
	"context"

	"github.com/pkg/errors"

	"waxwingslip.example/core/claim"
	"waxwingslip.example/node/gateway/claims"
	"waxwingslip.example/node/peer"
)

// Methods of the calls between the members of a zone.
const (
	methodGrant    = "claim-grant"
	methodWithdraw = "claim-withdraw"
	methodFinish   = "claim-finish"
	methodLookup   = "claim-lookup"
	methodSeal     = "claim-seal"
	methodInstall  = "claim-install"
)

// codeOtherMember answers a message to a member that is not, or not any more, a membership of this daemon.
const codeOtherMember = peer.CodeApplication

// message is a request to one member. It names the member, because a daemon that was restarted or expired has
// another one at the same address, whose claims are not the ones that are asked for.
type message[Q any] struct {
	_       struct{} `cbor:",toarray"`
	Member  string
	Request Q
}

// done is the answer to messages that have no other one.
type done struct{}

// Caller calls other daemons; peer.Transport implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, req, resp any) error
}

// remote implements claims.Peers over calls between daemons.
type remote struct {
	caller Caller
	// address returns the peer address of a member, "" if it is not known.
	address func(member string) string
}

func call[Q, A any](ctx context.Context, r remote, member, method string, q Q) (a A, err error) {
	address := r.address(member)
	if address == "" {
		return a, errors.Errorf("%s: the address of member %s is not known", method, member)
	}
	err = r.caller.Call(ctx, address, method, message[Q]{Member: member, Request: q}, &a)
	return a, errors.Wrapf(err, "%s at member %s", method, member)
}

// Grant implements claims.Peers.
func (r remote) Grant(ctx context.Context, member string, q claim.GrantRequest) (claim.GrantAnswer, error) {
	return call[claim.GrantRequest, claim.GrantAnswer](ctx, r, member, methodGrant, q)
}

// Withdraw implements claims.Peers.
func (r remote) Withdraw(ctx context.Context, member string, q claim.WithdrawRequest) error {
	_, err := call[claim.WithdrawRequest, done](ctx, r, member, methodWithdraw, q)
	return err
}

// Finish implements claims.Peers.
func (r remote) Finish(ctx context.Context, member string, q claim.FinishRequest) error {
	_, err := call[claim.FinishRequest, done](ctx, r, member, methodFinish, q)
	return err
}

// Lookup implements claims.Peers.
func (r remote) Lookup(ctx context.Context, member string, q claim.LookupRequest) (claim.LookupAnswer, error) {
	return call[claim.LookupRequest, claim.LookupAnswer](ctx, r, member, methodLookup, q)
}

// Seal implements claims.Peers.
func (r remote) Seal(ctx context.Context, member string, q claim.SealRequest) (claim.SealAnswer, error) {
	return call[claim.SealRequest, claim.SealAnswer](ctx, r, member, methodSeal, q)
}

// Install implements claims.Peers.
func (r remote) Install(ctx context.Context, member string, q claim.InstallRequest) (claim.InstallAnswer, error) {
	return call[claim.InstallRequest, claim.InstallAnswer](ctx, r, member, methodInstall, q)
}

// Register adds the handlers of this daemon's voters to a server.
func (k *Keeper) Register(s *peer.Server) {
	handle(s, k.voters, methodGrant, (*claims.Voter).Grant)
	handle(s, k.voters, methodLookup, (*claims.Voter).Lookup)
	handle(s, k.voters, methodSeal, (*claims.Voter).Seal)
	handle(s, k.voters, methodInstall, (*claims.Voter).Install)
	handle(s, k.voters, methodWithdraw, func(v *claims.Voter, q claim.WithdrawRequest) (d done) {
		v.Withdraw(q)
		return d
	})
	handle(s, k.voters, methodFinish, func(v *claims.Voter, q claim.FinishRequest) (d done) {
		v.Finish(q)
		return d
	})
}

func handle[Q, A any](s *peer.Server, voters *claims.Voters, method string, answer func(*claims.Voter, Q) A) {
	peer.HandleCall(s, method, func(_ context.Context, _ string, m message[Q]) (a A, err error) {
		voter := voters.ForMember(m.Member)
		if voter == nil || m.Member == "" {
			return a, &peer.RemoteError{Code: codeOtherMember, Message: "member " + m.Member + " is not here"}
		}
		return answer(voter, m.Request), nil
	})
}
