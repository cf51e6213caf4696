package claims

import (
	"context"

	"waxwingslip.example/core/claim"
)

// withLocal answers requests to the daemon's own voter without the network.
type withLocal struct {
	voter *Voter
	peers Peers
}

func (w withLocal) Grant(ctx context.Context, m string, r claim.GrantRequest) (claim.GrantAnswer, error) {
	if m == w.voter.member {
		return w.voter.Grant(r), nil
	}
	return w.peers.Grant(ctx, m, r)
}

func (w withLocal) Withdraw(ctx context.Context, m string, r claim.WithdrawRequest) error {
	if m == w.voter.member {
		w.voter.Withdraw(r)
		return nil
	}
	return w.peers.Withdraw(ctx, m, r)
}

func (w withLocal) Finish(ctx context.Context, m string, r claim.FinishRequest) error {
	if m == w.voter.member {
		w.voter.Finish(r)
		return nil
	}
	return w.peers.Finish(ctx, m, r)
}

func (w withLocal) Lookup(ctx context.Context, m string, r claim.LookupRequest) (claim.LookupAnswer, error) {
	if m == w.voter.member {
		return w.voter.Lookup(r), nil
	}
	return w.peers.Lookup(ctx, m, r)
}

func (w withLocal) Seal(ctx context.Context, m string, r claim.SealRequest) (claim.SealAnswer, error) {
	if m == w.voter.member {
		return w.voter.Seal(r), nil
	}
	return w.peers.Seal(ctx, m, r)
}

func (w withLocal) Install(ctx context.Context, m string, r claim.InstallRequest) (claim.InstallAnswer, error) {
	if m == w.voter.member {
		return w.voter.Install(r), nil
	}
	return w.peers.Install(ctx, m, r)
}
