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

// stepInterval is the time between looks at the state.
const stepInterval = 250 * time.Millisecond

// submitTimeout limits how long a heartbeat is waited for. A later one confirms as well.
const submitTimeout = 10 * time.Second

// Replica is the zone state and its journal.
type Replica interface {
	View(f func(s *zone.State))
	Post(body record.Body)
	Submit(ctx context.Context, body record.Body) (stream.Result, error)
}

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Name is the daemon's name; member ids are made from it and a unique part for each membership.
	Name        string
	PeerAddress string
	Zone        Replica
	// Current reports whether the zone state is known to be up to date.
	Current func() bool
	// Now reads the monotonic clock of the process.
	Now func() time.Duration
	// SetMember is told the member id, or "" when the daemon is not a member.
	SetMember func(id string)
	// Confirm is told that a heartbeat that was submitted at the given time was read back.
	Confirm func(member string, sent time.Duration)
	Log     zerolog.Logger
}

// Runner keeps the daemon a member of its zone and claims shards. It belongs to the goroutine of Run.
type Runner struct {
	cfg     RunnerConfig
	tracker *Tracker
	member  bool
	// beating limits heartbeats under way to one at a time.
	beating chan struct{}
	leave   chan struct{}
	left    chan struct{}
}

// NewRunner returns a runner that is not running.
func NewRunner(cfg RunnerConfig) *Runner {
	return &Runner{
		cfg:     cfg,
		tracker: NewTracker(newMemberID(cfg.Name), cfg.PeerAddress),
		beating: make(chan struct{}, 1),
		leave:   make(chan struct{}),
		left:    make(chan struct{}),
	}
}

func newMemberID(name string) string { return name + "/" + uuid.NewString()[:8] }

// Run keeps the membership until ctx ends or Leave is done.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	leave := r.leave
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
			close(r.left)
			return
		}
	}
}

// Leave releases all shards and ends the membership. It returns when the log shows it or ctx ends.
func (r *Runner) Leave(ctx context.Context) error {
	close(r.leave)
	select {
	case <-r.left:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// step does one look at the state and reports whether a wanted leave is complete.
func (r *Runner) step(ctx context.Context) bool {
	var bodies []record.Body
	member, expelled := false, false
	// Current reads the follower, whose lock View holds: a second read lock would wait for ever behind a writer.
	current := r.cfg.Current()
	r.cfg.Zone.View(func(s *zone.State) {
		bodies = r.tracker.Step(s, r.cfg.Now(), current)
		member = s.Members[r.tracker.Self()] != nil
		expelled = r.tracker.Expelled(s)
	})
	r.note(member)
	if r.tracker.leaving && !member {
		return true
	}
	if expelled {
		r.tracker = NewTracker(newMemberID(r.cfg.Name), r.cfg.PeerAddress)
		return false
	}
	for _, b := range bodies {
		if _, ok := b.(*record.Heartbeat); ok {
			r.beat(ctx, b)
			continue
		}
		r.cfg.Zone.Post(b)
	}
	return false
}

func (r *Runner) note(member bool) {
	if member == r.member {
		return
	}
	r.member = member
	id := ""
	if member {
		id = r.tracker.Self()
	}
	r.cfg.SetMember(id)
	r.cfg.Log.Info().Str("step", "membership").Str("member", r.tracker.Self()).Bool("joined", member).
		Msg("membership changed")
}

// beat submits a heartbeat in the background and confirms it when it was read back.
func (r *Runner) beat(ctx context.Context, body record.Body) {
	select {
	case r.beating <- struct{}{}:
	default:
		return
	}
	self, sent := r.tracker.Self(), r.cfg.Now()
	go func() {
		defer func() { <-r.beating }()
		ctx, cancel := context.WithTimeout(ctx, submitTimeout)
		defer cancel()
		if res, err := r.cfg.Zone.Submit(ctx, body); err == nil && res.Accepted {
			r.cfg.Confirm(self, sent)
		}
	}()
}
