package peerlink

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"waxwingslip.example/node/gateway"
	"waxwingslip.example/node/peer"
)

// Transport is the part of peer.Transport that is used.
type Transport interface {
	Call(ctx context.Context, address, method string, req, resp any) error
	Stream(ctx context.Context, address, method string, header, respHeader any, body io.Reader) (io.ReadCloser, error)
}

// Forwarder is a gateway.Forwarder.
type Forwarder struct {
	transport Transport
	// addresses returns the peers of a zone, the best first.
	addresses func(zone string) []string
}

// NewForwarder returns a forwarder. addresses returns the IP addresses and UDP ports of a zone's daemons, the best
// first, and is safe for concurrent use.
func NewForwarder(t Transport, addresses func(zone string) []string) *Forwarder {
	return &Forwarder{transport: t, addresses: addresses}
}

// maxPeers bounds the daemons of one zone that are tried while nothing was sent.
const maxPeers = 3

// Forward implements gateway.Forwarder.
func (f *Forwarder) Forward(ctx context.Context, zone string, r *gateway.ForwardRequest) (*gateway.ForwardAnswer, error) {
	err := errors.New("no daemon of the zone is known")
	peers := f.addresses(zone)
	for _, address := range peers[:min(len(peers), maxPeers)] {
		var a *gateway.ForwardAnswer
		body := newAttemptBody(r.Body)
		if a, err = f.forwardTo(ctx, address, r, body); err == nil {
			return a, nil
		}
		read := body.stop()
		if !errors.Is(err, peer.ErrNotSent) {
			return nil, &gateway.SentError{Step: "forward", Peer: zone + " " + address, Err: err}
		}
		if read || ctx.Err() != nil {
			break
		}
	}
	return nil, &gateway.NotSentError{Step: "forward", Peer: zone, Err: err}
}

func (f *Forwarder) forwardTo(ctx context.Context, address string, r *gateway.ForwardRequest,
	body *attemptBody) (*gateway.ForwardAnswer, error) {
	var h answerHeader
	var upload io.Reader
	if r.Body != nil {
		upload = body
	}
	answer, err := f.transport.Stream(ctx, address, methodForward, toWire(r), &h, upload)
	if err != nil {
		return nil, err
	}
	a := &gateway.ForwardAnswer{Status: h.Status, Header: h.Header, Body: answer}
	if a.Header == nil {
		a.Header = http.Header{}
	}
	if h.Framed {
		framed := &frameReader{ReadCloser: answer}
		a.Body, a.Trailer = framed, func() http.Header { return framed.trailer }
	}
	return a, nil
}

// attemptBody is one attempt's view of the request body. The transport may go on reading after its call has failed.
type attemptBody struct {
	mu      sync.Mutex
	src     io.Reader
	read    bool
	stopped bool
}

func newAttemptBody(src io.Reader) *attemptBody { return &attemptBody{src: src} }

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return 0, errors.New("the attempt has ended")
	}
	b.read = true
	b.mu.Unlock()
	return b.src.Read(p)
}

// stop forbids further reads and reports whether there were any.
func (b *attemptBody) stop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	return b.read
}
