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

// Config configures a Manager.
type Config struct {
	Zone   Replica
	Caller Caller
	// ZoneCurrent reports whether the zone state is known to be up to date.
	ZoneCurrent func() bool
	// Now reads the monotonic clock of the process, which is also the clock of the times passed to ConfirmHeartbeat.
	Now func() time.Duration
	// WallUnixMs reads the wall clock in milliseconds; the system clock by default.
	WallUnixMs func() int64
	// Limits bounds the memory for claims; claim.DefaultLimits by default.
	Limits claim.Limits
	Log    zerolog.Logger
}

// Manager holds the claims of one daemon. It is safe for concurrent use.
type Manager struct {
	cfg         Config
	members     *members
	voters      *claims.Voters
	coordinator *claims.Coordinator
}

// New returns a manager that is not a member yet.
func New(cfg Config) *Manager {
	if cfg.WallUnixMs == nil {
		cfg.WallUnixMs = func() int64 { return time.Now().UnixMilli() }
	}
	if cfg.Limits.MaxClaims == 0 {
		cfg.Limits = claim.DefaultLimits()
	}
	m := &Manager{cfg: cfg, members: newMembers()}
	m.voters = claims.NewVoters(cfg.Limits, func() claim.ClockReading {
		return claim.ClockReading{Monotonic: cfg.Now(), UnixMs: cfg.WallUnixMs()}
	})
	m.coordinator = claims.NewCoordinatorForVoters(m.voters, remotePeers{cfg.Caller, m.members.address})
	return m
}

// Coordinator returns the coordinator that claims keys for the gateway.
func (m *Manager) Coordinator() *claims.Coordinator { return m.coordinator }

// ApplyZoneBatch applies changes of the zone's members and of its view. It is a subscriber of the zone's
// follower.
func (m *Manager) ApplyZoneBatch(b stream.Batch) {
	if b.Restored || changesMembersOrView(b) {
		m.readState()
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
func (m *Manager) readState() {
	m.cfg.Zone.View(func(s *zone.State) {
		m.voters.ApplyView(m.members.update(s, m.cfg.Now()))
	})
}

// SetMember sets this daemon's member id, or "" when it is no longer a member. Each membership starts without claims.
// The former membership grants no more claims, but hands its claims over as long as the view contains it.
func (m *Manager) SetMember(id string) {
	if id == "" {
		m.Stop()
		return
	}
	// Rejoin drops the former member's voter unless a view that was already read contains the member.
	m.readState()
	m.voters.Rejoin(id)
}

// ConfirmHeartbeat records that a heartbeat of a member of this daemon was read back from the log. sent is the
// monotonic time when it was submitted.
func (m *Manager) ConfirmHeartbeat(member string, sent time.Duration) {
	if v := m.voters.ForMember(member); v != nil {
		v.ConfirmHeartbeat(sent)
	}
}

// Stop stops granting claims as the current member. It must be called before the Leave record is appended, after which
// the other members assume that this member grants nothing.
func (m *Manager) Stop() { m.voters.Current().Stop() }

// Run changes the view when necessary until ctx is done, and then waits until no message of a claim is in flight.
func (m *Manager) Run(ctx context.Context) {
	claims.NewViewChanger(m.coordinator, membership{m}).Run(ctx, func(err error) {
		m.cfg.Log.Warn().Str("step", "change claim view").Err(err).Msg("claim view was not changed")
	})
	m.coordinator.Wait()
}

// membership implements claims.Membership.
type membership struct{ manager *Manager }

// Live implements claims.Membership.
func (m membership) Live() []string {
	if !m.manager.cfg.ZoneCurrent() {
		return nil
	}
	return m.manager.members.liveMembers()
}

// Proposer implements claims.Membership.
func (m membership) Proposer() string { return m.manager.members.currentProposer() }

// Stopped implements claims.Membership.
func (m membership) Stopped(ids []string) []string {
	if !m.manager.cfg.ZoneCurrent() {
		return nil
	}
	return m.manager.members.stopped(ids, m.manager.cfg.Now())
}

// Changed implements claims.Membership.
func (m membership) Changed() <-chan struct{} { return m.manager.members.nextChange() }

// Propose implements claims.Membership.
func (m membership) Propose(ctx context.Context, view claim.View) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := m.manager.cfg.Zone.Submit(ctx, view.Record())
	if err == nil && !result.Accepted {
		return errors.Errorf("claim view %d was rejected: %s", view.Number, result.Reason)
	}
	return err
}
