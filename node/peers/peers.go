package peers

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/stream"
)

// Intervals of the loop.
const (
	// zoneInterval is the time between hellos to each daemon of the own zone.
	zoneInterval = time.Second
	// otherInterval is the time between hellos to one daemon of each other zone. At target size, eight hellos of
	// 154 B every 5 s cost 1 KB/s with their answers and those that come in.
	otherInterval = 5 * time.Second
	// recentHello is how old the newest hello of a daemon of the own zone may be for its next greeting to be left out. It
	// is below zoneInterval, so that of two daemons the one that greeted last does so again, and the other does not.
	recentHello = 3 * zoneInterval / 4
	// knownEvery is the number of hellos of which one lists contacts, which more than double a hello. A daemon that
	// was not heard recently gets them with the first answer.
	knownEvery = 13
	// callTimeout limits one hello.
	callTimeout = 2 * time.Second
	// maxExportBytes limits a control state that a peer exports.
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
	// Describe fills a Hello about this daemon.
	Describe func() Hello
	// ZoneMembers returns the peer addresses of the zone's members by the zone's log.
	ZoneMembers func() []string
	// OnHello receives every hello of another daemon. It may be nil and must not block.
	OnHello func(Hello)
	Seeds   []string
	Log     zerolog.Logger
}

// Peers keeps in touch with other daemons.
type Peers struct {
	cfg  Config
	book *book
	// hellos counts the hellos made.
	hellos atomic.Int64
}

// New returns Peers that are not running.
func New(cfg Config) *Peers {
	p := &Peers{cfg: cfg, book: newBook(cfg.Self.Address)}
	for _, s := range cfg.Seeds {
		p.book.know(Contact{Address: s}, time.Now())
	}
	return p
}

// Register adds the handlers of this package to a server.
func (p *Peers) Register(s *peer.Server) {
	peer.HandleCall(s, methodHello, p.onHello)
	peer.HandleCall(s, methodTail, p.onTail)
	s.Handle(methodExport, p.onExport)
}

// Know adds contacts, for instance from the VM list.
func (p *Peers) Know(contacts ...Contact) {
	now := time.Now()
	for _, c := range contacts {
		p.book.know(c, now)
	}
}

// InZone returns the known daemons of a zone, the most recently heard first.
func (p *Peers) InZone(zone string) []Peer { return p.book.inZone(zone) }

// Zone returns the newest load of another zone and its age, false if no daemon of it was ever heard.
func (p *Peers) Zone(zone string) (load ZoneLoad, age time.Duration, ok bool) {
	for _, q := range p.book.inZone(zone) {
		if !q.heardAt.IsZero() {
			return q.Hello.Load, q.Age(time.Now()), true
		}
	}
	return ZoneLoad{}, 0, false
}

// Room returns the share of a zone's processors that is not reserved, and false if the zone was not heard
// recently.
func (p *Peers) Room(zone string) (float64, bool) {
	load, age, ok := p.Zone(zone)
	return load.Room(), ok && age < heardFor
}

// Run sends hellos and relays until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	zoneTicker, otherTicker := time.NewTicker(zoneInterval), time.NewTicker(otherInterval)
	defer zoneTicker.Stop()
	defer otherTicker.Stop()
	p.greetOthers(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-zoneTicker.C:
			p.greetZone(ctx)
			p.catchUp(ctx)
		case <-otherTicker.C:
			p.book.sweep(time.Now())
			p.greetOthers(ctx)
		}
	}
}

func (p *Peers) greetZone(ctx context.Context) {
	for _, address := range p.cfg.ZoneMembers() {
		if address == p.cfg.Self.Address {
			continue
		}
		now := time.Now()
		p.book.know(Contact{Zone: p.cfg.Self.Zone, Address: address}, now)
		if !p.book.heardWithin(address, recentHello, now) {
			go p.greet(ctx, address)
		}
	}
}

// greetOthers greets one daemon of each other zone, and all whose zone is not known yet.
func (p *Peers) greetOthers(ctx context.Context) {
	now := time.Now()
	zones := map[string][]Peer{}
	for _, q := range p.book.list(func(q Peer) bool { return q.Contact.Zone != p.cfg.Self.Zone }) {
		zones[q.Contact.Zone] = append(zones[q.Contact.Zone], q)
	}
	for zone, list := range zones {
		switch {
		case zone == "":
			for _, q := range list {
				go p.greet(ctx, q.Contact.Address)
			}
		default:
			go p.greet(ctx, choose(list, now).Contact.Address)
		}
	}
}

// choose picks any of the heard daemons, so that all are heard in turn, or the one tried longest ago.
func choose(list []Peer, now time.Time) Peer {
	heard := 0
	for heard < len(list) && list[heard].Heard(now) {
		heard++
	}
	if heard > 0 && rand.IntN(4) > 0 {
		return list[rand.IntN(heard)]
	}
	oldest := list[0]
	for _, q := range list[1:] {
		if q.triedAt.Before(oldest.triedAt) {
			oldest = q
		}
	}
	return oldest
}

func (p *Peers) greet(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.book.tried(address, time.Now())
	var answer Hello
	if err := p.cfg.Caller.Call(ctx, address, methodHello, p.hello(p.book.zoneOf(address), false), &answer); err != nil {
		return
	}
	p.accept(address, answer)
}

// hello describes this daemon, with contacts if they are asked for or due.
// hello describes this daemon to one of the given zone.
func (p *Peers) hello(zone string, contacts bool) Hello {
	h := p.cfg.Describe()
	if zone != p.cfg.Self.Zone {
		h.Pressure, h.Learned = nil, nil
	}
	h.Contact = p.cfg.Self
	h.ControlNext = p.cfg.Control.Next()
	if p.hellos.Add(1)%knownEvery != 0 && !contacts {
		return h
	}
	now := time.Now()
	for _, q := range p.book.list(func(q Peer) bool { return q.Heard(now) }) {
		if len(h.Known) == maxKnown {
			break
		}
		h.Known = append(h.Known, q.Contact)
	}
	return h
}

func (p *Peers) accept(address string, h Hello) {
	now := time.Now()
	p.book.heard(address, h, now)
	for i, c := range h.Known {
		if i == maxKnown {
			break
		}
		p.book.know(c, now)
	}
	if p.cfg.OnHello != nil {
		p.cfg.OnHello(h)
	}
}

func (p *Peers) onHello(_ context.Context, _ string, h Hello) (Hello, error) {
	stranger := !p.book.heardWithin(h.Contact.Address, heardFor, time.Now())
	p.accept(h.Contact.Address, h)
	return p.hello(h.Contact.Zone, stranger), nil
}

func (p *Peers) onTail(_ context.Context, _ string, q tailRequest) (tailAnswer, error) {
	r, kept := p.cfg.Control.Tail(q.From, maxTailBytes)
	return answerOf(r, kept), nil
}

func (p *Peers) onExport(context.Context, *peer.Request) (*peer.Response, error) {
	covers, packed, err := p.cfg.Control.Export()
	if err != nil {
		return nil, errors.Wrap(err, "export control state")
	}
	return &peer.Response{Header: exportHeader{Covers: covers}, Body: bodyOf(packed)}, nil
}
