package claimview

import (
	"strings"
	"sync"
	"time"

	"waxwingslip.example/core/claim"
	"waxwingslip.example/core/lease"
	"waxwingslip.example/core/zone"
)

// viewDuty is the duty of proposing claim views, for which one member of a zone is responsible.
const viewDuty = "claim-view"

// members holds what this daemon has read from the log about its zone's members. It is safe for concurrent use.
type members struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	view     claim.View
	live     []string
	proposer string
	// addresses holds the peer addresses of the live members, and of former ones that the view contains.
	addresses map[string]string
	departed  map[string]departure
	changed   chan struct{}
}

// departure describes how a member of the view left the zone.
type departure struct {
	graceful bool
	// readAt is when this daemon first read that the member is gone. Every heartbeat that was confirmed to the
	// member precedes that record in the log.
	readAt time.Duration
}

func newMembers() *members {
	return &members{addresses: map[string]string{}, departed: map[string]departure{}, changed: make(chan struct{})}
}

// update copies the members and the view from the zone's state and returns the view. now is the monotonic time.
func (m *members) update(s *zone.State, now time.Duration) claim.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = claim.FromRecord(s.View)
	m.live = s.MemberIDs()
	m.proposer = s.ResponsibleMember(viewDuty)
	addresses, departed := make(map[string]string, len(m.live)), map[string]departure{}
	for id, member := range s.Members {
		addresses[id] = member.PeerAddress
	}
	for _, id := range m.view.Members {
		if s.Members[id] != nil {
			continue
		}
		d, known := m.departed[id]
		if !known {
			d = departure{graceful: s.Departures[id].Graceful, readAt: now}
		}
		departed[id] = d
		if address := m.formerAddress(id, s); address != "" {
			addresses[id] = address
		}
	}
	m.addresses, m.departed = addresses, departed
	close(m.changed)
	m.changed = make(chan struct{})
	return m.view
}

// formerAddress returns the address where the claims of a former member may still be available: its last address, or
// that of the same daemon's current member. It returns "" if there is none. The caller holds mu.
func (m *members) formerAddress(id string, s *zone.State) string {
	if address := m.addresses[id]; address != "" {
		return address
	}
	for other, member := range s.Members {
		if daemonName(other) == daemonName(id) {
			return member.PeerAddress
		}
	}
	return ""
}

// daemonName returns the name of the daemon in a member id, which has the form name/unique.
func daemonName(member string) string {
	if i := strings.LastIndexByte(member, '/'); i >= 0 {
		return member[:i]
	}
	return member
}

// address returns the peer address of a member, or "" if it is not known.
func (m *members) address(member string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addresses[member]
}

func (m *members) currentProposer() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.proposer
}

func (m *members) liveMembers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live
}

func (m *members) nextChange() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// stopped returns those of the given members that can no longer grant claims.
func (m *members) stopped(ids []string, now time.Duration) (out []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ids {
		if d, departed := m.departed[id]; departed && (d.graceful || lease.AuthorityExpired(d.readAt, now)) {
			out = append(out, id)
		}
	}
	return out
}
