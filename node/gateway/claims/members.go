package claims

import (
	"context"
	"slices"
	"sync"
	"time"

	"waxwingslip.example/core/claim"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
)

// ZoneMembers is a Membership that follows a zone's state.
type ZoneMembers struct {
	voter *Voter
	opts  ZoneMembersOptions

	mu sync.Mutex
	// departed is when this daemon first read that a member is gone; guarded by mu, like changed.
	departed map[string]time.Duration
	changed  chan struct{}
	seen     []string
}

// ZoneMembersOptions connect ZoneMembers with the zone's stream.
type ZoneMembersOptions struct {
	// View calls f with the zone's state, which must not be kept.
	View func(f func(*zone.State))
	// Submit appends a record and returns an error unless it was accepted.
	Submit func(ctx context.Context, body record.Body) error
	// Current reports whether the stream was read to its end within the last seconds.
	Current func() bool
	// Now is the monotonic clock of the process.
	Now func() time.Duration
}

// NewZoneMembers returns the members of a zone. Update must be called after changes of the zone's state.
func NewZoneMembers(voter *Voter, opts ZoneMembersOptions) *ZoneMembers {
	return &ZoneMembers{voter: voter, opts: opts, departed: map[string]time.Duration{}, changed: make(chan struct{})}
}

// Update reads the zone's state: it gives the voter the newest view and notes who is gone.
func (z *ZoneMembers) Update() {
	var view claim.View
	var live, left []string
	z.opts.View(func(s *zone.State) {
		view = claim.FromRecord(s.View)
		for member := range s.Members {
			live = append(live, member)
		}
		for member := range s.Left {
			left = append(left, member)
		}
	})
	z.voter.ReadView(view)
	slices.Sort(live)
	z.mu.Lock()
	defer z.mu.Unlock()
	z.note(left)
	if !slices.Equal(live, z.seen) {
		z.seen = live
		close(z.changed)
		z.changed = make(chan struct{})
	}
}

// note keeps the first sighting of each departed member. The lock is held.
func (z *ZoneMembers) note(left []string) {
	now := z.opts.Now()
	for member := range z.departed {
		if !slices.Contains(left, member) {
			delete(z.departed, member)
		}
	}
	for _, member := range left {
		if _, known := z.departed[member]; !known {
			z.departed[member] = now
		}
	}
}

// Live implements Membership.
func (z *ZoneMembers) Live() (live []string) {
	z.opts.View(func(s *zone.State) {
		for member := range s.Members {
			live = append(live, member)
		}
	})
	return live
}

// goneAfter is how long after the sighting of its departure a member surely grants no more. No heartbeat of it is
// confirmed after the departure; 1% covers the drift between the two monotonic clocks.
const goneAfter = claim.Authority + claim.Authority/100

// Stopped implements Membership.
func (z *ZoneMembers) Stopped(members []string) (stopped []string) {
	current := z.opts.Current()
	graceful := map[string]bool{}
	z.opts.View(func(s *zone.State) {
		for member, d := range s.Left {
			graceful[member] = d.Graceful
		}
	})
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.opts.Now()
	for _, member := range members {
		isGraceful, left := graceful[member]
		at, seen := z.departed[member]
		if left && (isGraceful || current && seen && now-at > goneAfter) {
			stopped = append(stopped, member)
		}
	}
	return stopped
}

// Changed implements Membership.
func (z *ZoneMembers) Changed() <-chan struct{} {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.changed
}

// Propose implements Membership.
func (z *ZoneMembers) Propose(ctx context.Context, view claim.View) error {
	return z.opts.Submit(ctx, view.Record())
}
