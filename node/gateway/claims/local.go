package claims

import (
	"context"

	"waxwingslip.example/core/claim"
)

// localFirst implements Peers. It calls the daemon's own voters directly and others through peers.
type localFirst struct {
	voters *Voters
	peers  Peers
}

func (l localFirst) Grant(ctx context.Context, m string, r claim.GrantRequest) (claim.GrantResponse, error) {
	if v := l.voters.ForMember(m); v != nil {
		return v.Grant(r), nil
	}
	return l.peers.Grant(ctx, m, r)
}

func (l localFirst) Withdraw(ctx context.Context, m string, r claim.WithdrawRequest) error {
	if v := l.voters.ForMember(m); v != nil {
		v.Withdraw(r)
		return nil
	}
	return l.peers.Withdraw(ctx, m, r)
}

func (l localFirst) Finish(ctx context.Context, m string, r claim.FinishRequest) error {
	if v := l.voters.ForMember(m); v != nil {
		v.Finish(r)
		return nil
	}
	return l.peers.Finish(ctx, m, r)
}

func (l localFirst) Lookup(ctx context.Context, m string, r claim.LookupRequest) (claim.LookupResponse, error) {
	if v := l.voters.ForMember(m); v != nil {
		return v.Lookup(r), nil
	}
	return l.peers.Lookup(ctx, m, r)
}

func (l localFirst) Seal(ctx context.Context, m string, r claim.SealRequest) (claim.SealResponse, error) {
	if v := l.voters.ForMember(m); v != nil {
		return v.Seal(r), nil
	}
	return l.peers.Seal(ctx, m, r)
}

func (l localFirst) Install(ctx context.Context, m string, r claim.InstallRequest) (claim.InstallResponse, error) {
	if v := l.voters.ForMember(m); v != nil {
		return v.Install(r), nil
	}
	return l.peers.Install(ctx, m, r)
}
