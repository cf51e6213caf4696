package peer

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel/propagation"
)

// Call sends req to a method of the peer at an IP:port address and decodes the response into resp. Either may be
// nil. Without a deadline in the context, Timing.Call limits the call. Every error is a CallError.
func (t *Transport) Call(ctx context.Context, address, method string, req, resp any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.opts.Timing.Call)
		defer cancel()
	}
	c, err := t.start(ctx, address, method, req, nil)
	if err != nil {
		return err
	}
	defer c.end()
	// Reading the end of the stream completes it on both sides. Otherwise the stream has to be reset.
	var rest [1]byte
	if _, err := c.stream.Read(rest[:]); !errors.Is(err, io.EOF) {
		c.stream.CancelRead(streamDone)
	}
	return c.decodeResponse(resp)
}

// Stream sends header and body to a method of the peer at an IP:port address, decodes the header of the response
// into respHeader and returns its body. The returned body must be closed; it returns io.EOF only if it is
// complete. The context applies to the call until then. Every error is a CallError.
//
// The body that is sent may be nil and is not closed. It may be read until Stream fails or the returned body
// ends or is closed. No read starts after that, but a read that is blocked remains so until the caller closes the
// body.
func (t *Transport) Stream(ctx context.Context, address, method string, header, respHeader any, body io.Reader) (io.ReadCloser, error) {
	c, err := t.start(ctx, address, method, header, body)
	if err != nil {
		return nil, err
	}
	if err := c.decodeResponse(respHeader); err != nil {
		c.abort()
		return nil, err
	}
	return &responseBody{call: c}, nil
}

// call is one running call.
type call struct {
	transport *Transport
	conn      *trackedConn
	stream    *quic.Stream
	address   string
	method    string
	response  responseHeader
	upload    *upload     // nil without a body
	stop      func() bool // stops the cancellation callback of the context
	ctx       context.Context
	counted   bool // the call counts as running until end
	ended     atomic.Bool
}

func (t *Transport) start(ctx context.Context, address, method string, header any, body io.Reader) (*call, error) {
	t.Counters.Calls.Add(1)
	c := &call{transport: t, address: address, method: method, ctx: ctx}
	if body != nil {
		c.upload = &upload{body: body}
	}
	var err error = c.newError("connect", false, errors.New("transport is closed"))
	if t.beginCall() {
		if err = c.run(header); err == nil {
			c.counted = true
			return c, nil
		}
		t.endCall()
	}
	if errors.Is(err, ErrNotSent) {
		t.Counters.NotSent.Add(1)
	} else {
		t.Counters.Failed.Add(1)
	}
	return nil, err
}

// newError returns the error of a step.
func (c *call) newError(step string, sent bool, err error) *CallError {
	return &CallError{Peer: c.address, Method: c.method, Step: step, Sent: sent, Err: err}
}

// run sends the request and reads the header of the response. After an error it has released everything that the
// call held.
func (c *call) run(header any) error {
	if err := c.ctx.Err(); err != nil {
		return c.newError("encode", false, err)
	}
	frame, err := c.requestFrame(header)
	if err != nil {
		return c.newError("encode", false, err)
	}
	l := c.transport.linkTo(c.address)
	_, err = l.breaker.Execute(func() (struct{}, error) {
		err := c.exchange(l, frame)
		if err != nil && endedByCaller(c.ctx, err) {
			return struct{}{}, &callerError{err}
		}
		return struct{}{}, err
	})
	var callErr *CallError
	if err != nil && !errors.As(err, &callErr) {
		callErr = c.newError("connect", false, err) // the breaker is open
	}
	if callErr == nil {
		return nil
	}
	callErr.BodyRead = c.upload.stop()
	return callErr
}

func (c *call) requestFrame(header any) ([]byte, error) {
	payload, err := encodePayload(header)
	if err != nil {
		return nil, err
	}
	h := requestHeader{Method: c.method, Payload: payload}
	if deadline, ok := c.ctx.Deadline(); ok {
		// Rounding up keeps a timeout below 1 ms from becoming 0, which means none.
		h.TimeoutMs = int64((time.Until(deadline) + time.Millisecond - 1) / time.Millisecond)
		if h.TimeoutMs <= 0 {
			return nil, context.DeadlineExceeded
		}
	}
	if p := c.transport.opts.Propagator; p != nil {
		h.Trace = map[string]string{}
		p.Inject(c.ctx, propagation.MapCarrier(h.Trace))
		if !withinTraceLimits(h.Trace) {
			h.Trace = nil // send the call without its trace instead of failing it
		}
	}
	if err := h.check(); err != nil {
		return nil, err
	}
	return encodeFrame(h)
}

// exchange opens a stream, sends the request and reads the header of the response.
func (c *call) exchange(l *link, frame []byte) error {
	fault := (*c.transport.fault.Load())(c.address, c.method)
	if fault.Unreachable {
		return c.newError("connect", false, errUnreachable)
	}
	if err := fault.delay(c.ctx); err != nil {
		return c.newError("connect", false, err)
	}
	if fault.DropRequest {
		return c.newError("receive", true, awaitContextEnd(c.ctx))
	}
	if err := c.open(l); err != nil {
		return err
	}
	c.send(frame)
	err := c.receive()
	if err == nil && fault.DropResponse {
		err = c.newError("receive", true, awaitContextEnd(c.ctx))
	}
	if err != nil {
		c.abort()
		return err
	}
	l.recordResponse()
	return nil
}

// open finds a connection and opens a stream on it.
func (c *call) open(l *link) error {
	for attempt := 0; ; attempt++ {
		conn, err := l.acquire(c.ctx)
		if err != nil {
			return c.newError("connect", false, err)
		}
		stream, err := conn.quic.OpenStreamSync(c.ctx)
		if err == nil {
			c.conn, c.stream = conn, stream
			break
		}
		lost := conn.quic.Context().Err() != nil
		conn.release()
		// A reused connection may have been lost; nothing was sent on it, so the call is retried once.
		if !lost || attempt > 0 {
			return c.newError("open", false, err)
		}
	}
	c.transport.Counters.Active.Add(1)
	c.stop = context.AfterFunc(c.ctx, func() {
		c.stream.CancelRead(streamCanceled)
		c.stream.CancelWrite(streamCanceled)
	})
	return nil
}

// send writes the request. Its errors are reported when the response is read. The upload of a body continues while
// the response is read, because a peer may respond before it has read everything.
func (c *call) send(frame []byte) {
	w := countingWriter{c.stream, &c.transport.Counters.BytesSent}
	if c.upload == nil {
		if _, err := w.Write(frame); err == nil {
			_ = c.stream.Close()
		}
		return
	}
	go func() {
		if _, err := w.Write(frame); err != nil {
			return
		}
		if sendBody(c.stream, w, c.upload) != nil {
			c.transport.Counters.BodiesCut.Add(1)
		}
	}()
}

// receive reads the header of the response.
func (c *call) receive() error {
	r := countingReader{c.stream, &c.transport.Counters.BytesReceived}
	if err := readFrame(r, &c.response); err != nil {
		if connRejected(err) && !c.conn.responded.Load() {
			return c.newError("connect", false, err)
		}
		if ctxErr := c.ctx.Err(); ctxErr != nil {
			err = ctxErr
		}
		return c.newError("receive", true, err)
	}
	c.conn.responded.Store(true)
	if c.response.Code == CodeOK {
		return nil
	}
	sent := c.response.Code >= CodeInternal
	return c.newError("receive", sent, &RemoteError{Code: c.response.Code, Message: c.response.Message})
}

func (c *call) decodeResponse(v any) error {
	if err := decodePayload(c.response.Payload, v); err != nil {
		return c.newError("decode", true, err)
	}
	return nil
}

// end releases, once, what the call holds.
func (c *call) end() {
	if c.ended.Swap(true) {
		return
	}
	c.stop()
	c.upload.stop()
	c.conn.release()
	c.transport.Counters.Active.Add(-1)
	if c.counted {
		c.transport.endCall()
	}
}

// abort resets the stream of an incomplete call and ends the call.
func (c *call) abort() {
	c.stream.CancelRead(streamCanceled)
	c.stream.CancelWrite(streamCanceled)
	c.end()
}
