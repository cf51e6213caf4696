package ownership

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/node/stream"
)

// stepInterval is the time between evaluations of the zone state.
const stepInterval = 250 * time.Millisecond

// heartbeatTimeout limits the wait for one heartbeat. A later heartbeat also confirms the membership.
const heartbeatTimeout = 10 * time.Second

// Replica is the zone state and its journal.
type Replica interface {
	View(f func(s *zone.State))
	Post(body record.Body)
	Submit(ctx context.Context, body record.Body) (stream.Result, error)
}

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Name is the daemon's name. A member id consists of it and a part that is unique to each membership.
	Name        string
	PeerAddress string
	Zone        Replica
	// ZoneCurrent reports whether the zone state is known to be up to date.
	ZoneCurrent func() bool
	// Now reads the monotonic clock of the process.
	Now func() time.Duration
	// SetMember receives the member id, or "" when the daemon is not a member.
	SetMember func(id string)
	// OnHeartbeatRead is called when a heartbeat has been read back, with the time at which it was submitted.
	OnHeartbeatRead func(member string, sent time.Duration)
	Log             zerolog.Logger
}

// Runner keeps the daemon a member of its zone and claims shards. Its state belongs to the goroutine of Run.
type Runner struct {
	cfg     RunnerConfig
	tracker *Tracker
	joined  bool
	// heartbeatSlot allows one heartbeat in flight at a time.
	heartbeatSlot  chan struct{}
	leaveRequested chan struct{}
	leaveDone      chan struct{}
}

// NewRunner returns a runner; Run starts it.
func NewRunner(cfg RunnerConfig) *Runner {
	return &Runner{
		cfg:            cfg,
		tracker:        NewTracker(newMemberID(cfg.Name), cfg.PeerAddress),
		heartbeatSlot:  make(chan struct{}, 1),
		leaveRequested: make(chan struct{}),
		leaveDone:      make(chan struct{}),
	}
}

func newMemberID(name string) string { return name + "/" + uuid.NewString()[:8] }

// Run maintains the membership until ctx ends or a leave is complete.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	leave := r.leaveRequested
	for {
		select {
		case <-ctx.Done():
			return
		case <-leave:
			r.tracker.Leave()
			leave = nil
		case <-ticker.C:
		}
		if r.step(ctx) {
			close(r.leaveDone)
			return
		}
	}
}

// Leave releases all shards and ends the membership. It returns once the end has been read from the log, or when ctx
// ends. It must be called at most once.
func (r *Runner) Leave(ctx context.Context) error {
	close(r.leaveRequested)
	select {
	case <-r.leaveDone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// step posts the records that the tracker returns and reports whether a requested leave is complete.
func (r *Runner) step(ctx context.Context) bool {
	var bodies []record.Body
	joined, expired := false, false
	// ZoneCurrent takes the read lock of the follower, which View holds: taking it twice would deadlock behind a writer.
	current := r.cfg.ZoneCurrent()
	r.cfg.Zone.View(func(s *zone.State) {
		bodies = r.tracker.Step(s, r.cfg.Now(), current)
		joined = s.Members[r.tracker.Self()] != nil
		expired = r.tracker.Expired(s)
	})
	r.updateMembership(joined)
	if r.tracker.leaving && !joined {
		return true
	}
	if expired {
		r.tracker = NewTracker(newMemberID(r.cfg.Name), r.cfg.PeerAddress)
		return false
	}
	for _, b := range bodies {
		if _, ok := b.(*record.Heartbeat); ok {
			r.submitHeartbeat(ctx, b)
			continue
		}
		r.cfg.Zone.Post(b)
	}
	return false
}

func (r *Runner) updateMembership(joined bool) {
	if joined == r.joined {
		return
	}
	r.joined = joined
	id := ""
	if joined {
		id = r.tracker.Self()
	}
	r.cfg.SetMember(id)
	r.cfg.Log.Info().Str("step", "membership").Str("member", r.tracker.Self()).Bool("joined", joined).
		Msg("membership changed")
}

// submitHeartbeat submits a heartbeat in the background, unless one is in flight, and confirms it once it is read back.
func (r *Runner) submitHeartbeat(ctx context.Context, body record.Body) {
	select {
	case r.heartbeatSlot <- struct{}{}:
	default:
		return
	}
	self, sent := r.tracker.Self(), r.cfg.Now()
	go func() {
		defer func() { <-r.heartbeatSlot }()
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		if res, err := r.cfg.Zone.Submit(ctx, body); err == nil && res.Accepted {
			r.cfg.OnHeartbeatRead(self, sent)
		}
	}()
}
