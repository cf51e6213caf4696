package claims

import (
	"slices"
	"sync"

	"waxwingslip.example/core/claim"
)

// Voters holds the voters of one daemon. A daemon that was expired joins again as a new member with a new voter. The
// voter of the former membership no longer grants, but still hands over its claims. It is safe for concurrent use.
type Voters struct {
	limits claim.Limits
	clock  Clock

	mu      sync.Mutex
	current *Voter
	// former holds the voters of former memberships that the newest view contains. mu guards it and current.
	former []*Voter
}

// NewVoters returns the voters of a daemon that is not a member yet.
func NewVoters(limits claim.Limits, clock Clock) *Voters {
	return &Voters{limits: limits, clock: clock, current: NewVoter("", limits, clock)}
}

// Current returns the voter of the newest membership.
func (v *Voters) Current() *Voter {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

// ForMember returns the voter of a member, or nil if the member does not belong to this daemon.
func (v *Voters) ForMember(member string) *Voter {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, voter := range append([]*Voter{v.current}, v.former...) {
		if voter.member == member {
			return voter
		}
	}
	return nil
}

// Rejoin replaces the current voter by one for a new membership; the former voter stops granting.
func (v *Voters) Rejoin(member string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current.member == member {
		return
	}
	next := NewVoter(member, v.limits, v.clock)
	view := v.current.View()
	next.ApplyView(view)
	v.current.Stop()
	v.former = append(v.former, v.current)
	v.current = next
	v.prune(view)
}

// ApplyView applies a view that was read from the zone's log to all voters.
func (v *Voters) ApplyView(view claim.View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.current.ApplyView(view)
	for _, former := range v.former {
		former.ApplyView(view)
	}
	v.prune(v.current.View()) // view may be an older one
}

// prune removes former voters that are not in the view, whose claims are not needed any more. The caller holds mu.
func (v *Voters) prune(view claim.View) {
	v.former = slices.DeleteFunc(v.former, func(f *Voter) bool { return !view.Has(f.member) })
}
