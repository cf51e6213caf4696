// Package claimview lets the daemons of a zone claim request ids together: it carries the messages between the
// members of the claim view, and it keeps the view equal to the members of the zone.
package claimview

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/core/claim"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/node/gateway/claims"
	"waxwingslip.example/node/stream"
)

// submitTimeout limits how long a proposed view is waited for. The zone's claims pause meanwhile; a record that
// takes effect later is as good.
const submitTimeout = 5 * time.Second

// Replica is the zone state and its journal; replica.Zone implements it.
type Replica interface {
	View(f func(s *zone.State))
	Submit(ctx context.Context, body record.Body) (stream.Result, error)
}

// Config configures a Keeper.
type Config struct {
	Zone   Replica
	Caller Caller
	// Current reports whether the zone state is known to be up to date.
	Current func() bool
	// Now reads the monotonic clock of the process; the times given to Confirm are readings of it.
	Now func() time.Duration
	// WallUnixMs reads the wall clock in milliseconds; the system's by default.
	WallUnixMs func() int64
	// Limits bound the memory of claims; claim.DefaultLimits by default.
	Limits claim.Limits
	Log    zerolog.Logger
}

// Keeper holds the claims of one daemon. It is safe for concurrent use.
type Keeper struct {
	cfg         Config
	members     *members
	voters      *claims.Voters
	coordinator *claims.Coordinator
}

// New returns a keeper that is no member yet.
func New(cfg Config) *Keeper {
	if cfg.WallUnixMs == nil {
		cfg.WallUnixMs = func() int64 { return time.Now().UnixMilli() }
	}
	if cfg.Limits.MaxClaims == 0 {
		cfg.Limits = claim.DefaultLimits()
	}
	k := &Keeper{cfg: cfg, members: newMembers()}
	k.voters = claims.NewVoters(cfg.Limits, func() claim.Now {
		return claim.Now{Monotonic: cfg.Now(), UnixMs: cfg.WallUnixMs()}
	})
	k.coordinator = claims.NewCoordinatorForVoters(k.voters, remote{cfg.Caller, k.members.address})
	return k
}

// Coordinator claims keys for the gateway.
func (k *Keeper) Coordinator() *claims.Coordinator { return k.coordinator }

// ApplyZone takes over changes of the zone's members and of its view. It is a subscriber of the zone's follower.
func (k *Keeper) ApplyZone(b stream.Batch) {
	if b.Restored || concerns(b) {
		k.read()
	}
}

func concerns(b stream.Batch) bool {
	for _, a := range b.Applied {
		for _, e := range a.Verdict.Events {
			if c, ok := e.(zone.Change); ok && (c.Kind == zone.ChangeMember || c.Kind == zone.ChangeView) {
				return true
			}
		}
	}
	return false
}

// read takes over the zone's newest state. States may be read in any order: voters ignore older views.
func (k *Keeper) read() {
	k.cfg.Zone.View(func(s *zone.State) {
		k.voters.ApplyView(k.members.read(s, k.cfg.Now()))
	})
}

// SetMember states this daemon's member id, or "" when it is no member any more. Each membership starts without
// claims; the claims of the one before are handed over as long as the view names it, but no more are granted.
func (k *Keeper) SetMember(id string) {
	if id == "" {
		k.Stop()
		return
	}
	// A view that names the former member must be known before its voter is dropped.
	k.read()
	k.voters.Rejoin(id)
}

// Confirm states that a heartbeat of a member of this daemon, submitted at a reading of the monotonic clock, was
// read back.
func (k *Keeper) Confirm(member string, sent time.Duration) {
	if v := k.voters.ForMember(member); v != nil {
		v.ConfirmHeartbeat(sent)
	}
}

// Stop ends the granting of this membership. It is called before Leave is appended, which tells the others that
// this daemon grants nothing any more.
func (k *Keeper) Stop() { k.voters.Current().Stop() }

// Run changes the view when needed until ctx ends, and then waits for the messages of ended claims.
func (k *Keeper) Run(ctx context.Context) {
	claims.NewViewChanger(k.coordinator, membership{k}).Run(ctx, func(err error) {
		k.cfg.Log.Warn().Str("step", "change claim view").Err(err).Msg("claim view was not changed")
	})
	k.coordinator.Wait()
}

// membership implements claims.Membership.
type membership struct{ k *Keeper }

// Live implements claims.Membership.
func (m membership) Live() []string {
	if !m.k.cfg.Current() {
		return nil
	}
	return m.k.members.liveMembers()
}

// Proposer implements claims.Membership.
func (m membership) Proposer() string { return m.k.members.responsible() }

// Stopped implements claims.Membership.
func (m membership) Stopped(ids []string) []string {
	if !m.k.cfg.Current() {
		return nil
	}
	return m.k.members.stopped(ids, m.k.cfg.Now())
}

// Changed implements claims.Membership.
func (m membership) Changed() <-chan struct{} { return m.k.members.next() }

// Propose implements claims.Membership.
func (m membership) Propose(ctx context.Context, view claim.View) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	result, err := m.k.cfg.Zone.Submit(ctx, view.Record())
	if err == nil && !result.Accepted {
		return errors.Errorf("claim view %d was rejected: %s", view.Number, result.Reason)
	}
	return err
}
