package daemon

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	"waxwingslip.example/node/gateway"
)

var errForwardLimit = errors.New("this daemon forwards its limit of requests")

// limitedForwarder bounds the number of requests being forwarded. A request counts until its response ends.
type limitedForwarder struct {
	gateway.Forwarder
	slots chan struct{}
}

func newLimitedForwarder(f gateway.Forwarder, limit int) limitedForwarder {
	return limitedForwarder{Forwarder: f, slots: make(chan struct{}, limit)}
}

// Forward implements gateway.Forwarder.
func (l limitedForwarder) Forward(ctx context.Context, zone string,
	req *gateway.ForwardRequest) (*gateway.ForwardResponse, error) {
	select {
	case l.slots <- struct{}{}:
	default:
		return nil, &gateway.NotSentError{Step: "forward", Peer: zone, Err: errForwardLimit}
	}
	resp, err := l.Forwarder.Forward(ctx, zone, req)
	if err != nil || resp.Body == nil {
		<-l.slots
		return resp, err
	}
	resp.Body = &slotReleasingBody{ReadCloser: resp.Body, release: func() { <-l.slots }}
	return resp, nil
}

// slotReleasingBody releases a slot when it is closed.
type slotReleasingBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

// Close implements io.Closer.
func (b *slotReleasingBody) Close() error {
	defer b.once.Do(b.release)
	return b.ReadCloser.Close()
}
