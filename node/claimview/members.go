package claimview

import (
	"strings"
	"sync"
	"time"

	"waxwingslip.example/core/claim"
	"waxwingslip.example/core/lease"
	"waxwingslip.example/core/zone"
)

// duty names the responsibility for the claim view among the members of a zone.
const duty = "claim-view"

// members is what this daemon has read about the members of its zone. It is safe for concurrent use.
type members struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	view     claim.View
	live     []string
	proposer string
	// addresses holds the peer addresses of the live members, and of former ones that the view names.
	addresses map[string]string
	gone      map[string]departure
	changed   chan struct{}
}

// departure is how a member of the view that is no member of the zone any more has ended.
type departure struct {
	graceful bool
	// readAt is when this daemon first read that the member is gone. Every heartbeat that the member saw
	// confirmed stands before that in the log.
	readAt time.Duration
}

func newMembers() *members {
	return &members{addresses: map[string]string{}, gone: map[string]departure{}, changed: make(chan struct{})}
}

// read takes over the zone's state, at a reading of the monotonic clock, and returns the view.
func (m *members) read(s *zone.State, now time.Duration) claim.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = claim.FromRecord(s.View)
	m.live = s.MemberIDs()
	m.proposer = s.Responsible(duty)
	addresses, gone := make(map[string]string, len(m.live)), map[string]departure{}
	for id, member := range s.Members {
		addresses[id] = member.PeerAddress
	}
	for _, id := range m.view.Members {
		if s.Members[id] != nil {
			continue
		}
		d, known := m.gone[id]
		if !known {
			d = departure{graceful: s.Left[id].Graceful, readAt: now}
		}
		gone[id] = d
		if address := m.formerAddress(id, s); address != "" {
			addresses[id] = address
		}
	}
	m.addresses, m.gone = addresses, gone
	close(m.changed)
	m.changed = make(chan struct{})
	return m.view
}

// formerAddress returns where a former member may still be asked for its claims: where it was, or where the member
// of the same daemon is. mu is held.
func (m *members) formerAddress(id string, s *zone.State) string {
	if address := m.addresses[id]; address != "" {
		return address
	}
	for other, member := range s.Members {
		if daemonOf(other) == daemonOf(id) {
			return member.PeerAddress
		}
	}
	return ""
}

// daemonOf returns the daemon's name in a member id, which has the form name/unique.
func daemonOf(member string) string {
	if i := strings.LastIndexByte(member, '/'); i >= 0 {
		return member[:i]
	}
	return member
}

// address returns the peer address of a member, "" if it is not known.
func (m *members) address(member string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addresses[member]
}

func (m *members) responsible() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.proposer
}

func (m *members) liveMembers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live
}

func (m *members) next() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// stopped returns those of the given members that cannot grant any more.
func (m *members) stopped(ids []string, now time.Duration) (out []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ids {
		if d, gone := m.gone[id]; gone && (d.graceful || lease.AuthorityLapsed(d.readAt, now)) {
			out = append(out, id)
		}
	}
	return out
}
