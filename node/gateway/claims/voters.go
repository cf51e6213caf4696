package claims

import (
	"slices"
	"sync"

	"waxwingslip.example/core/claim"
)

// Voters holds the voters of one daemon. A daemon that was expired comes back as a new member with a new voter. The
// voter of the earlier membership grants nothing any more, but it still hands over its claims. It is safe for
// concurrent use.
type Voters struct {
	limits claim.Limits
	clock  Clock

	mu      sync.Mutex
	current *Voter
	// former holds voters that the newest view names. It is guarded by mu, as current is.
	former []*Voter
}

// NewVoters returns the voters of a daemon that is no member yet.
func NewVoters(limits claim.Limits, clock Clock) *Voters {
	return &Voters{limits: limits, clock: clock, current: NewVoter("", limits, clock)}
}

// Current returns the voter of the newest membership.
func (v *Voters) Current() *Voter {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

// Of returns the voter of a member, nil if it is not one of this daemon.
func (v *Voters) Of(member string) *Voter {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, voter := range append([]*Voter{v.current}, v.former...) {
		if voter.member == member {
			return voter
		}
	}
	return nil
}

// Rejoin starts a new voter for a new membership and ends the granting of the one before.
func (v *Voters) Rejoin(member string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current.member == member {
		return
	}
	next := NewVoter(member, v.limits, v.clock)
	view := v.current.View()
	next.ReadView(view)
	v.current.Stop()
	v.former = append(v.former, v.current)
	v.current = next
	v.prune(view)
}

// ReadView states a view that was read from the zone's log.
func (v *Voters) ReadView(view claim.View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.current.ReadView(view)
	for _, former := range v.former {
		former.ReadView(view)
	}
	v.prune(v.current.View()) // view may be an older one
}

// prune drops former voters whose claims the view does not need. mu is held.
func (v *Voters) prune(view claim.View) {
	v.former = slices.DeleteFunc(v.former, func(f *Voter) bool { return !view.Has(f.member) })
}
