package peers

import (
	"slices"
	"sync"
	"time"
)

// Times after which information about a peer is outdated.
const (
	// aliveFor is how long a peer is considered alive after its newest hello.
	aliveFor = 15 * time.Second
	// removeAfter is the time without a hello after which a peer is removed. The VM list, the zone's members, the
	// contacts of others or its own hello can add it again.
	removeAfter = 10 * time.Minute
)

// Peer holds the contact of another daemon and its newest hello.
type Peer struct {
	Contact Contact
	// Hello is the newest hello, zero if none was received.
	Hello Hello
	// helloAt is when Hello was received.
	helloAt time.Time
	// addedAt and calledAt are when the peer was added and when a hello was last sent to it.
	addedAt, calledAt time.Time
}

// Alive reports whether a hello of the peer was received recently.
func (p Peer) Alive(now time.Time) bool { return !p.helloAt.IsZero() && now.Sub(p.helloAt) < aliveFor }

// HelloAge returns the time since the newest hello was received.
func (p Peer) HelloAge(now time.Time) time.Duration { return now.Sub(p.helloAt) }

// peerTable holds the peers by address. It is safe for concurrent use.
type peerTable struct {
	self string

	mu sync.Mutex
	// peers is guarded by mu.
	peers map[string]*Peer
}

func newPeerTable(selfAddress string) *peerTable {
	return &peerTable{self: selfAddress, peers: map[string]*Peer{}}
}

// add adds a contact. Its zone may be empty; the first hello, or a later contact with a zone, sets it.
func (t *peerTable) add(c Contact, now time.Time) {
	if c.Address == "" || c.Address == t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[c.Address]
	if p == nil {
		p = &Peer{Contact: c, addedAt: now}
		t.peers[c.Address] = p
	}
	if p.Contact.Zone == "" {
		p.Contact.Zone = c.Zone
	}
}

// recordHello stores a received hello.
func (t *peerTable) recordHello(address string, h Hello, now time.Time) {
	if address == t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	if p == nil {
		p = &Peer{addedAt: now}
		t.peers[address] = p
	}
	p.Contact = Contact{Zone: h.Contact.Zone, Address: address}
	p.Hello, p.helloAt = h, now
}

// hasHelloWithin reports whether a peer's newest hello is younger than limit.
func (t *peerTable) hasHelloWithin(address string, limit time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	return p != nil && !p.helloAt.IsZero() && now.Sub(p.helloAt) < limit
}

func (t *peerTable) recordCall(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[address]; p != nil {
		p.calledAt = now
	}
}

// removeStale removes peers without a hello for removeAfter.
func (t *peerTable) removeStale(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, p := range t.peers {
		last := p.addedAt
		if p.helloAt.After(last) {
			last = p.helloAt
		}
		if now.Sub(last) > removeAfter {
			delete(t.peers, address)
		}
	}
}

// list returns copies of the peers that match, those with the newest hello first.
func (t *peerTable) list(match func(Peer) bool) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Peer
	for _, p := range t.peers {
		if match(*p) {
			out = append(out, *p)
		}
	}
	slices.SortFunc(out, func(x, y Peer) int {
		if c := y.helloAt.Compare(x.helloAt); c != 0 {
			return c
		}
		return x.calledAt.Compare(y.calledAt)
	})
	return out
}

// zoneOf returns the zone of a peer, "" if it is not known.
func (t *peerTable) zoneOf(address string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[address]; p != nil {
		return p.Contact.Zone
	}
	return ""
}

// inZone returns the peers of a zone.
func (t *peerTable) inZone(zone string) []Peer {
	return t.list(func(p Peer) bool { return p.Contact.Zone == zone })
}
