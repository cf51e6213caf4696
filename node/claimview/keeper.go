// Package claimview connects the claim protocol of package claims to a zone: it carries the calls between the members
// of the claim view over peer connections, and keeps the members of the view equal to those of the zone.
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

// proposeTimeout limits the wait for a proposed view. The zone grants no claims meanwhile. A record that is accepted
// after the timeout still takes effect.
const proposeTimeout = 5 * time.Second

// Replica provides the zone state and appends records to the zone's log; replica.Zone implements it.
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
	// Now reads the monotonic clock of the process, which is also the clock of the times passed to Confirm.
	Now func() time.Duration
	// WallUnixMs reads the wall clock in milliseconds; the system clock by default.
	WallUnixMs func() int64
	// Limits bounds the memory for claims; claim.DefaultLimits by default.
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

// New returns a keeper that is not a member yet.
func New(cfg Config) *Keeper {
	if cfg.WallUnixMs == nil {
		cfg.WallUnixMs = func() int64 { return time.Now().UnixMilli() }
	}
	if cfg.Limits.MaxClaims == 0 {
		cfg.Limits = claim.DefaultLimits()
	}
	k := &Keeper{cfg: cfg, members: newMembers()}
	k.voters = claims.NewVoters(cfg.Limits, func() claim.ClockReading {
		return claim.ClockReading{Monotonic: cfg.Now(), UnixMs: cfg.WallUnixMs()}
	})
	k.coordinator = claims.NewCoordinatorForVoters(k.voters, remotePeers{cfg.Caller, k.members.address})
	return k
}

// Coordinator returns the coordinator that claims keys for the gateway.
func (k *Keeper) Coordinator() *claims.Coordinator { return k.coordinator }

// ApplyZone applies changes of the zone's members and of its view. It is a subscriber of
// the zone's follower.
func (k *Keeper) ApplyZone(b stream.Batch) {
	if b.Restored || changesMembersOrView(b) {
		k.readState()
	}
}

func changesMembersOrView(b stream.Batch) bool {
	for _, a := range b.Applied {
		for _, e := range a.Verdict.Events {
			if c, ok := e.(zone.Change); ok && (c.Kind == zone.ChangeMember || c.Kind == zone.ChangeView) {
				return true
			}
		}
	}
	return false
}

// readState applies the newest zone state. States may be read in any order, because voters ignore older views.
func (k *Keeper) readState() {
	k.cfg.Zone.View(func(s *zone.State) {
		k.voters.ApplyView(k.members.update(s, k.cfg.Now()))
	})
}

// SetMember sets this daemon's member id, or "" when it is no longer a member. Each membership starts without claims.
// The former membership grants no more claims, but hands its claims over as long as the view contains it.
func (k *Keeper) SetMember(id string) {
	if id == "" {
		k.Stop()
		return
	}
	// Rejoin drops the former member's voter unless a view that was already read contains the member.
	k.readState()
	k.voters.Rejoin(id)
}

// Confirm records that a heartbeat of a member of this daemon was read back from the log. sent is the monotonic time
// when it was submitted.
func (k *Keeper) Confirm(member string, sent time.Duration) {
	if v := k.voters.ForMember(member); v != nil {
		v.ConfirmHeartbeat(sent)
	}
}

// Stop stops granting claims as the current member. It must be called before the Leave record is appended, after which
// the other members assume that this member grants nothing.
func (k *Keeper) Stop() { k.voters.Current().Stop() }

// Run changes the view when necessary until ctx is done, and then waits until no message of a claim is in flight.
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
func (m membership) Proposer() string { return m.k.members.currentProposer() }

// Stopped implements claims.Membership.
func (m membership) Stopped(ids []string) []string {
	if !m.k.cfg.Current() {
		return nil
	}
	return m.k.members.stopped(ids, m.k.cfg.Now())
}

// Changed implements claims.Membership.
func (m membership) Changed() <-chan struct{} { return m.k.members.nextChange() }

// Propose implements claims.Membership.
func (m membership) Propose(ctx context.Context, view claim.View) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := m.k.cfg.Zone.Submit(ctx, view.Record())
	if err == nil && !result.Accepted {
		return errors.Errorf("claim view %d was rejected: %s", view.Number, result.Reason)
	}
	return err
}
