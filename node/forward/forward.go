// Package forward sends requests to the daemons of other zones and serves the requests that they send.
//
// A request is one call of method "forward" between peers: a header frame, then the body without framing. The
// response is a header frame and the body. Only a body that may be followed by trailer fields is sent in chunks.
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

const methodForward = "forward"

// maxAttempts limits the daemons of one zone to which a request is sent.
const maxAttempts = 3

// maxPerPeer limits the requests in flight to one daemon. All calls to a peer share a connection with 256 streams, and
// a call waits if none is free: watch requests that stay open for hours would otherwise block hellos and the relay of
// the control stream.
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
	// shuffle randomizes the order of the daemons of a zone to spread the load.
	shuffle func(n int, swap func(i, j int))

	mu sync.Mutex
	// active counts the requests in flight by address. It is guarded by mu.
	active map[string]int
}

// New returns a Forwarder.
func New(caller Caller, directory Directory) *Forwarder {
	return &Forwarder{caller: caller, directory: directory, shuffle: rand.Shuffle, active: map[string]int{}}
}

// Forward implements gateway.Forwarder. Another daemon of the zone is tried only if the previous one did not execute
// the request and nothing of the body was read.
func (f *Forwarder) Forward(ctx context.Context, zone string,
	req *gateway.ForwardRequest) (*gateway.ForwardResponse, error) {
	err := errors.Errorf("no daemon of zone %s is known", zone)
	start := time.Now()
	for _, address := range f.candidates(zone, start) {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
			break
		}
		if !f.acquire(address) {
			err = errors.Errorf("peer %s has %d forwarded requests in flight, the most that are allowed", address, maxPerPeer)
			continue
		}
		var resp *gateway.ForwardResponse
		if resp, err = f.send(ctx, address, req, time.Since(start)); err == nil {
			return resp, nil
		}
		if !errors.Is(err, peer.ErrNotSent) {
			return nil, &gateway.SentError{Step: methodForward, Peer: address, Err: err}
		}
		var call *peer.CallError
		if errors.As(err, &call) && call.BodyRead {
			break
		}
	}
	return nil, &gateway.NotSentError{Step: methodForward, Peer: zone, Err: err}
}

// acquire counts a request to a daemon. It returns false if maxPerPeer requests are in flight.
func (f *Forwarder) acquire(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active[address] >= maxPerPeer {
		return false
	}
	f.active[address]++
	return true
}

func (f *Forwarder) release(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active[address]--; f.active[address] == 0 {
		delete(f.active, address)
	}
}

// releasingBody is the body of a response. Closing it calls release once.
type releasingBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}

// send sends the request, which acquire has counted, to one daemon. elapsed is the time that earlier attempts took.
func (f *Forwarder) send(ctx context.Context, address string, req *gateway.ForwardRequest,
	elapsed time.Duration) (*gateway.ForwardResponse, error) {
	body, h := req.Body, newRequestHeader(req, elapsed)
	if h.ContentLength == 0 {
		body = nil
	}
	var header responseHeader
	stream, err := f.caller.Stream(ctx, address, methodForward, h, &header, body)
	if err != nil {
		f.release(address)
		return nil, err
	}
	stream = &releasingBody{ReadCloser: stream, release: func() { f.release(address) }}
	out := &gateway.ForwardResponse{Status: header.Status, Header: header.Header, Body: stream}
	if out.Header == nil {
		out.Header = http.Header{}
	}
	if header.Chunked {
		chunks := &chunkDecoder{src: stream}
		out.Body, out.Trailer = chunks, chunks.trailerFields
	}
	return out, nil
}

// candidate is a daemon to which a request may be sent.
type candidate struct {
	address         string
	alive, draining bool
}

func (f *Forwarder) candidates(zone string, now time.Time) []string {
	var candidates []candidate
	for _, p := range f.directory.InZone(zone) {
		candidates = append(candidates,
			candidate{address: p.Contact.Address, alive: p.Alive(now), draining: p.Hello.Draining})
	}
	return f.order(candidates)
}

// order returns addresses in the order in which they are tried: alive daemons that are not draining, in random order,
// then those that are not alive, then the draining ones, which may still accept requests.
func (f *Forwarder) order(all []candidate) []string {
	var ranks [3][]string
	for _, c := range all {
		switch {
		case c.draining:
			ranks[2] = append(ranks[2], c.address)
		case !c.alive:
			ranks[1] = append(ranks[1], c.address)
		default:
			ranks[0] = append(ranks[0], c.address)
		}
	}
	alive := ranks[0]
	f.shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	addresses := append(append(alive, ranks[1]...), ranks[2]...)
	return addresses[:min(len(addresses), maxAttempts)]
}
