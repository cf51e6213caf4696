package peers

import (
	"slices"
	"sync"
	"time"
)

// Times after which knowledge about peers is not used any more.
const (
	// heardFor is how long a peer counts as heard after its last answer.
	heardFor = 15 * time.Second
	// forgetAfter is when a peer that does not answer is dropped. It may come back through the VM list, seeds or
	// the contacts of others.
	forgetAfter = 10 * time.Minute
)

// Peer is what is known about another daemon.
type Peer struct {
	Contact Contact
	// Hello is the newest one, zero if there was none.
	Hello Hello
	// heardAt is when Hello was received.
	heardAt time.Time
	// added and triedAt are when the peer became known and was last called.
	added, triedAt time.Time
}

// Heard reports whether the peer answered recently.
func (p Peer) Heard(now time.Time) bool { return !p.heardAt.IsZero() && now.Sub(p.heardAt) < heardFor }

// Age returns the time since the newest hello.
func (p Peer) Age(now time.Time) time.Duration { return now.Sub(p.heardAt) }

// book holds the peers by address. It is safe for concurrent use.
type book struct {
	self string

	mu sync.Mutex
	// peers is guarded by mu.
	peers map[string]*Peer
}

func newBook(selfAddress string) *book { return &book{self: selfAddress, peers: map[string]*Peer{}} }

// know adds a contact. A contact without a zone is kept until its hello tells the zone.
func (b *book) know(c Contact, now time.Time) {
	if c.Address == "" || c.Address == b.self {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[c.Address]
	if p == nil {
		p = &Peer{Contact: c, added: now}
		b.peers[c.Address] = p
	}
	if p.Contact.Zone == "" {
		p.Contact.Zone = c.Zone
	}
}

// heard stores a hello.
func (b *book) heard(address string, h Hello, now time.Time) {
	if address == b.self {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[address]
	if p == nil {
		p = &Peer{added: now}
		b.peers[address] = p
	}
	p.Contact = Contact{Zone: h.Contact.Zone, Address: address}
	p.Hello, p.heardAt = h, now
}

// heardWithin reports whether a peer's newest hello is younger than limit.
func (b *book) heardWithin(address string, limit time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[address]
	return p != nil && !p.heardAt.IsZero() && now.Sub(p.heardAt) < limit
}

func (b *book) tried(address string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.peers[address]; p != nil {
		p.triedAt = now
	}
}

// sweep drops peers that have not answered for long.
func (b *book) sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for address, p := range b.peers {
		last := p.added
		if p.heardAt.After(last) {
			last = p.heardAt
		}
		if now.Sub(last) > forgetAfter {
			delete(b.peers, address)
		}
	}
}

// list returns copies of the peers that match, the most recently heard first.
func (b *book) list(match func(Peer) bool) []Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Peer
	for _, p := range b.peers {
		if match(*p) {
			out = append(out, *p)
		}
	}
	slices.SortFunc(out, func(x, y Peer) int {
		if c := y.heardAt.Compare(x.heardAt); c != 0 {
			return c
		}
		return x.triedAt.Compare(y.triedAt)
	})
	return out
}

// zoneOf returns the zone of a peer, "" if it is not known.
func (b *book) zoneOf(address string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.peers[address]; p != nil {
		return p.Contact.Zone
	}
	return ""
}

// inZone returns the peers of a zone.
func (b *book) inZone(zone string) []Peer {
	return b.list(func(p Peer) bool { return p.Contact.Zone == zone })
}
