package peers

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/stream"
)

// Intervals and limits of the hello loop.
const (
	// zoneHelloInterval is the time between hellos to each daemon of the own zone.
	zoneHelloInterval = time.Second
	// otherZoneHelloInterval is the time between hellos to one daemon of each other zone, and to the daemons of the own
	// zone that its log does not list as members. At target size, eight hellos of 154 B every 5 s cost 1 KB/s, including
	// their responses and the incoming hellos.
	otherZoneHelloInterval = 5 * time.Second
	// skipHelloWithin is the age of the newest hello of a daemon of the own zone below which no hello is sent to it. It
	// is less than zoneHelloInterval, so that of two daemons the one that sent the last hello also sends the next.
	skipHelloWithin = 3 * zoneHelloInterval / 4
	// One in hellosPerContactList hellos lists contacts, because they more than double the size of a hello. A daemon
	// from which no hello was received recently gets them in the response to its hello.
	hellosPerContactList = 13
	// callTimeout limits one hello, and one pull of the control stream.
	callTimeout = 2 * time.Second
	// maxExportBytes limits the size of a control state that a peer exports.
	maxExportBytes = 32 << 20
)

// Caller calls other daemons; peer.Transport implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, req, resp any) error
	Stream(ctx context.Context, address, method string, header, respHeader any, body io.Reader) (io.ReadCloser, error)
}

// Config configures Peers.
type Config struct {
	Self    Contact
	Caller  Caller
	Control *stream.Follower
	// Describe returns a Hello with the state of this daemon.
	Describe func() Hello
	// ZoneMembers returns the peer addresses of the zone's members according to the zone's log.
	ZoneMembers func() []string
	// OnHello is called with every received hello. It may be nil and must not block.
	OnHello func(Hello)
	Seeds   []string
	Log     zerolog.Logger
}

// Peers exchanges hellos with other daemons and relays the control stream.
type Peers struct {
	cfg   Config
	table *peerTable
	// hellos counts the hellos sent, responses included.
	hellos atomic.Int64
}

// New returns Peers that are not running.
func New(cfg Config) *Peers {
	p := &Peers{cfg: cfg, table: newPeerTable(cfg.Self.Address)}
	for _, s := range cfg.Seeds {
		p.table.add(Contact{Address: s}, time.Now())
	}
	return p
}

// Register adds the handlers of this package to a server.
func (p *Peers) Register(s *peer.Server) {
	peer.HandleCall(s, methodHello, p.onHello)
	peer.HandleCall(s, methodTail, p.onTail)
	s.Handle(methodExport, p.onExport)
}

// AddContacts adds contacts, for instance from the VM list.
func (p *Peers) AddContacts(contacts ...Contact) {
	now := time.Now()
	for _, c := range contacts {
		p.table.add(c, now)
	}
}

// InZone returns the known daemons of a zone, those with the newest hello first.
func (p *Peers) InZone(zone string) []Peer { return p.table.inZone(zone) }

// ZoneLoad returns the newest load of another zone and its age, and false if no daemon of the zone has sent a hello.
func (p *Peers) ZoneLoad(zone string) (load ZoneLoad, age time.Duration, ok bool) {
	for _, q := range p.table.inZone(zone) {
		if !q.helloAt.IsZero() {
			return q.Hello.Load, q.HelloAge(time.Now()), true
		}
	}
	return ZoneLoad{}, 0, false
}

// UnreservedCPUShare returns the share of a zone's CPU capacity that is not reserved, and false if no hello of the
// zone was received recently.
func (p *Peers) UnreservedCPUShare(zone string) (float64, bool) {
	load, age, ok := p.ZoneLoad(zone)
	return load.UnreservedCPUShare(), ok && age < aliveFor
}

// Run sends hellos and pulls the control stream when needed until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	zoneTicker, otherTicker := time.NewTicker(zoneHelloInterval), time.NewTicker(otherZoneHelloInterval)
	defer zoneTicker.Stop()
	defer otherTicker.Stop()
	p.sendOtherHellos(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-zoneTicker.C:
			p.sendZoneHellos(ctx)
			p.pullControl(ctx)
		case <-otherTicker.C:
			p.table.removeStale(time.Now())
			p.sendOtherHellos(ctx)
		}
	}
}

func (p *Peers) sendZoneHellos(ctx context.Context) {
	for _, address := range p.cfg.ZoneMembers() {
		if address == p.cfg.Self.Address {
			continue
		}
		now := time.Now()
		p.table.add(Contact{Zone: p.cfg.Self.Zone, Address: address}, now)
		if !p.table.hasHelloWithin(address, skipHelloWithin, now) {
			go p.sendHello(ctx, address)
		}
	}
}

// sendOtherHellos sends a hello to one daemon of each other zone and to all daemons whose zone is not known yet. It also
// sends one to each daemon of the own zone that is not a member: while the log is down, a daemon that has just started
// knows no members and needs its peers most.
func (p *Peers) sendOtherHellos(ctx context.Context) {
	now := time.Now()
	members := p.cfg.ZoneMembers()
	zones := map[string][]Peer{}
	for _, q := range p.table.list(func(q Peer) bool { return !slices.Contains(members, q.Contact.Address) }) {
		zones[q.Contact.Zone] = append(zones[q.Contact.Zone], q)
	}
	for zone, list := range zones {
		switch zone {
		case "", p.cfg.Self.Zone:
			for _, q := range list {
				go p.sendHello(ctx, q.Contact.Address)
			}
		default:
			go p.sendHello(ctx, choosePeer(list, now).Contact.Address)
		}
	}
}

// choosePeer returns a random alive daemon in three of four cases. Otherwise, or if none is alive, it returns the one
// called longest ago, so that all are called in turn.
func choosePeer(list []Peer, now time.Time) Peer {
	alive := 0
	for alive < len(list) && list[alive].Alive(now) {
		alive++
	}
	if alive > 0 && rand.IntN(4) > 0 {
		return list[rand.IntN(alive)]
	}
	oldest := list[0]
	for _, q := range list[1:] {
		if q.calledAt.Before(oldest.calledAt) {
			oldest = q
		}
	}
	return oldest
}

func (p *Peers) sendHello(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.table.recordCall(address, time.Now())
	var response Hello
	if err := p.cfg.Caller.Call(ctx, address, methodHello,
		p.newHello(p.table.zoneOf(address), false), &response); err != nil {
		return
	}
	p.receiveHello(address, response)
}

// newHello returns a hello for a daemon of the given zone. It lists contacts if contacts is true, and in one of
// hellosPerContactList hellos.
func (p *Peers) newHello(zone string, contacts bool) Hello {
	h := p.cfg.Describe()
	if zone != p.cfg.Self.Zone {
		h.Pressure, h.Learned = nil, nil
	}
	h.Contact = p.cfg.Self
	h.ControlNext = p.cfg.Control.Next()
	if p.hellos.Add(1)%hellosPerContactList != 0 && !contacts {
		return h
	}
	now := time.Now()
	for _, q := range p.table.list(func(q Peer) bool { return q.Alive(now) }) {
		if len(h.Contacts) == maxHelloContacts {
			break
		}
		h.Contacts = append(h.Contacts, q.Contact)
	}
	return h
}

func (p *Peers) receiveHello(address string, h Hello) {
	now := time.Now()
	p.table.recordHello(address, h, now)
	for i, c := range h.Contacts {
		if i == maxHelloContacts {
			break
		}
		p.table.add(c, now)
	}
	if p.cfg.OnHello != nil {
		p.cfg.OnHello(h)
	}
}

func (p *Peers) onHello(_ context.Context, _ string, h Hello) (Hello, error) {
	contacts := !p.table.hasHelloWithin(h.Contact.Address, aliveFor, time.Now())
	p.receiveHello(h.Contact.Address, h)
	return p.newHello(h.Contact.Zone, contacts), nil
}

func (p *Peers) onTail(_ context.Context, _ string, q tailRequest) (tailResponse, error) {
	r, available := p.cfg.Control.Tail(q.From, maxTailBytes)
	return newTailResponse(r, available), nil
}

func (p *Peers) onExport(context.Context, *peer.Request) (*peer.Response, error) {
	covers, packed, err := p.cfg.Control.Export()
	if err != nil {
		return nil, errors.Wrap(err, "export control state")
	}
	return &peer.Response{Header: exportHeader{Covers: covers}, Body: newBody(packed)}, nil
}
