package peerlink

import (
	"context"

	"github.com/pkg/errors"
	"waxwingslip.example/core/claim"
)

// Voters is a claims.Peers.
type Voters struct {
	transport Transport
	address   func(member string) (string, bool)
}

// NewVoters returns the voters of a zone. address returns the IP address and UDP port of a member and is safe for
// concurrent use.
func NewVoters(t Transport, address func(member string) (string, bool)) *Voters {
	return &Voters{transport: t, address: address}
}

func call[A any](ctx context.Context, v *Voters, member, method string, req any) (a A, err error) {
	address, known := v.address(member)
	if !known {
		return a, errors.Errorf("%s at member %s: no address is known", method, member)
	}
	err = v.transport.Call(ctx, address, method, req, &a)
	return a, err
}

// Grant implements claims.Peers.
func (v *Voters) Grant(ctx context.Context, m string, r claim.GrantRequest) (claim.GrantAnswer, error) {
	return call[claim.GrantAnswer](ctx, v, m, methodGrant, r)
}

// Withdraw implements claims.Peers.
func (v *Voters) Withdraw(ctx context.Context, m string, r claim.WithdrawRequest) error {
	_, err := call[empty](ctx, v, m, methodWithdraw, r)
	return err
}

// Finish implements claims.Peers.
func (v *Voters) Finish(ctx context.Context, m string, r claim.FinishRequest) error {
	_, err := call[empty](ctx, v, m, methodFinish, r)
	return err
}

// Lookup implements claims.Peers.
func (v *Voters) Lookup(ctx context.Context, m string, r claim.LookupRequest) (claim.LookupAnswer, error) {
	return call[claim.LookupAnswer](ctx, v, m, methodLookup, r)
}

// Seal implements claims.Peers.
func (v *Voters) Seal(ctx context.Context, m string, r claim.SealRequest) (claim.SealAnswer, error) {
	return call[claim.SealAnswer](ctx, v, m, methodSeal, r)
}

// Install implements claims.Peers.
func (v *Voters) Install(ctx context.Context, m string, r claim.InstallRequest) (claim.InstallAnswer, error) {
	return call[claim.InstallAnswer](ctx, v, m, methodInstall, r)
}
