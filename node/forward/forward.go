// Package forward carries requests to the daemons of other zones and serves those that other daemons send.
//
// A request is one call of method "forward" between peers: a header frame, then the body without framing. The
// answer is a header frame and the body. Only a body that trailer fields may follow is sent in chunks.
package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/node/gateway"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/peers"
)

// method is the name of the call.
const method = "forward"

// maxAttempts limits the daemons of one zone that a request is offered to.
const maxAttempts = 3

// maxPerPeer limits the requests under way to one daemon. Peers share one connection of 256 streams, and a call that
// finds none free waits: hours of open watchers would otherwise block hellos and the relay of the control stream.
const maxPerPeer = 192

// Directory lists the known daemons of a zone; peers.Peers implements it.
type Directory interface {
	InZone(zone string) []peers.Peer
}

// Caller calls other daemons; peer.Transport implements it.
type Caller interface {
	Stream(ctx context.Context, address, method string, header, respHeader any, body io.Reader) (io.ReadCloser, error)
}

// Forwarder implements gateway.Forwarder. It is safe for concurrent use.
type Forwarder struct {
	caller    Caller
	directory Directory
	// shuffle spreads requests over the daemons of a zone.
	shuffle func(n int, swap func(i, j int))

	mu sync.Mutex
	// active counts the requests under way by address. It is guarded by mu.
	active map[string]int
}

// New returns a Forwarder.
func New(caller Caller, directory Directory) *Forwarder {
	return &Forwarder{caller: caller, directory: directory, shuffle: rand.Shuffle, active: map[string]int{}}
}

// Forward implements gateway.Forwarder. Another daemon of the zone is tried only if the one before ran nothing of
// the request and the body is untouched.
func (f *Forwarder) Forward(ctx context.Context, zone string, req *gateway.ForwardRequest) (*gateway.ForwardAnswer, error) {
	err := errors.Errorf("no daemon of zone %s is known", zone)
	begun := time.Now()
	for _, address := range f.candidates(zone, begun) {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
			break
		}
		if !f.begin(address) {
			err = errors.Errorf("peer %s has %d forwarded requests in flight, the most that are allowed", address, maxPerPeer)
			continue
		}
		var answer *gateway.ForwardAnswer
		if answer, err = f.send(ctx, address, req, time.Since(begun)); err == nil {
			return answer, nil
		}
		if !errors.Is(err, peer.ErrNotSent) {
			return nil, &gateway.SentError{Step: method, Peer: address, Err: err}
		}
		var call *peer.CallError
		if errors.As(err, &call) && call.BodyRead {
			break
		}
	}
	return nil, &gateway.NotSentError{Step: method, Peer: zone, Err: err}
}

// begin counts a request to a daemon, unless it has too many already.
func (f *Forwarder) begin(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active[address] >= maxPerPeer {
		return false
	}
	f.active[address]++
	return true
}

func (f *Forwarder) end(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active[address]--; f.active[address] == 0 {
		delete(f.active, address)
	}
}

// countedBody is the body of an answer whose stream is free once it is closed.
type countedBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}

// send offers the request, which begin has counted, to one daemon. spent is the time that earlier offers took.
func (f *Forwarder) send(ctx context.Context, address string, req *gateway.ForwardRequest, spent time.Duration) (*gateway.ForwardAnswer, error) {
	body, h := req.Body, headerOf(req, spent)
	if h.ContentLength == 0 {
		body = nil
	}
	var answer answerHeader
	stream, err := f.caller.Stream(ctx, address, method, h, &answer, body)
	if err != nil {
		f.end(address)
		return nil, err
	}
	stream = &countedBody{ReadCloser: stream, end: func() { f.end(address) }}
	out := &gateway.ForwardAnswer{Status: answer.Status, Header: answer.Header, Body: stream}
	if out.Header == nil {
		out.Header = http.Header{}
	}
	if answer.Chunked {
		chunks := &chunkReader{src: stream}
		out.Body, out.Trailer = chunks, chunks.trailerFields
	}
	return out, nil
}

// candidate is a daemon that a request may be offered to.
type candidate struct {
	address         string
	heard, draining bool
}

func (f *Forwarder) candidates(zone string, now time.Time) []string {
	var all []candidate
	for _, p := range f.directory.InZone(zone) {
		all = append(all, candidate{address: p.Contact.Address, heard: p.Heard(now), draining: p.Hello.Draining})
	}
	return f.order(all)
}

// order returns addresses in the order in which they are tried: recently heard daemons that are not draining, in
// random order, then the silent ones, then the draining ones, which may still accept.
func (f *Forwarder) order(all []candidate) []string {
	var ranks [3][]string
	for _, c := range all {
		switch {
		case c.draining:
			ranks[2] = append(ranks[2], c.address)
		case !c.heard:
			ranks[1] = append(ranks[1], c.address)
		default:
			ranks[0] = append(ranks[0], c.address)
		}
	}
	fresh := ranks[0]
	f.shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	addresses := append(append(fresh, ranks[1]...), ranks[2]...)
	return addresses[:min(len(addresses), maxAttempts)]
}
