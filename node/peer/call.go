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

// Call sends req to a method of the peer at an IP:port address and decodes the answer into resp. Either may be
// nil. A context without a deadline gets the default one. Every error is a CallError.
func (t *Transport) Call(ctx context.Context, address, method string, req, resp any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.opts.Timing.Call)
		defer cancel()
	}
	c, err := t.begin(ctx, address, method, req, nil)
	if err != nil {
		return err
	}
	defer c.end()
	// The end of the stream completes it on both sides. Without it the stream has to be reset.
	var rest [1]byte
	if _, err := c.stream.Read(rest[:]); !errors.Is(err, io.EOF) {
		c.stream.CancelRead(streamDone)
	}
	return c.decode(resp)
}

// Stream sends header and body to a method of the peer at an IP:port address, decodes the header of the answer
// into respHeader and returns its body. The returned body must be closed; it returns io.EOF only if it is
// whole. The context governs the call until then. Every error is a CallError.
//
// The body that is sent may be nil and is not closed. It may be read until Stream fails or the returned body
// ends or is closed. No read begins after that, but one that is blocked stays so until the caller closes the
// body.
func (t *Transport) Stream(ctx context.Context, address, method string, header, respHeader any, body io.Reader) (io.ReadCloser, error) {
	c, err := t.begin(ctx, address, method, header, body)
	if err != nil {
		return nil, err
	}
	if err := c.decode(respHeader); err != nil {
		c.abort()
		return nil, err
	}
	return &answerBody{call: c}, nil
}

// call is one running call.
type call struct {
	transport *Transport
	conn      *pooledConn
	stream    *quic.Stream
	address   string
	method    string
	answer    responseHeader
	upload    *upload     // nil without a body
	stop      func() bool // stops the watch of the context
	ctx       context.Context
	begun     bool // the call counts as running until end
	ended     atomic.Bool
}

func (t *Transport) begin(ctx context.Context, address, method string, header any, body io.Reader) (*call, error) {
	t.Counters.Calls.Add(1)
	c := &call{transport: t, address: address, method: method, ctx: ctx}
	if body != nil {
		c.upload = &upload{body: body}
	}
	var err error = c.fail("connect", false, errors.New("transport is closed"))
	if t.enter() {
		if err = c.run(header); err == nil {
			c.begun = true
			return c, nil
		}
		t.leave()
	}
	if errors.Is(err, ErrNotSent) {
		t.Counters.NotSent.Add(1)
	} else {
		t.Counters.Failed.Add(1)
	}
	return nil, err
}

// fail builds the error of a step.
func (c *call) fail(step string, sent bool, err error) *CallError {
	return &CallError{Peer: c.address, Method: c.method, Step: step, Sent: sent, Err: err}
}

// run sends the request and reads the answer's header. After an error nothing of the call is left.
func (c *call) run(header any) error {
	if err := c.ctx.Err(); err != nil {
		return c.fail("encode", false, err)
	}
	frame, err := c.requestFrame(header)
	if err != nil {
		return c.fail("encode", false, err)
	}
	l := c.transport.link(c.address)
	_, err = l.breaker.Execute(func() (struct{}, error) {
		err := c.exchange(l, frame)
		if err != nil && callerGaveUp(c.ctx, err) {
			return struct{}{}, &gaveUp{err}
		}
		return struct{}{}, err
	})
	var callErr *CallError
	if err != nil && !errors.As(err, &callErr) {
		callErr = c.fail("connect", false, err) // the breaker is open
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
		// Rounding up keeps a deadline below 1 ms from meaning none.
		h.TimeoutMs = int64((time.Until(deadline) + time.Millisecond - 1) / time.Millisecond)
		if h.TimeoutMs <= 0 {
			return nil, context.DeadlineExceeded
		}
	}
	if p := c.transport.opts.Propagator; p != nil {
		h.Trace = map[string]string{}
		p.Inject(c.ctx, propagation.MapCarrier(h.Trace))
		if !traceFits(h.Trace) {
			h.Trace = nil // a call is worth more than its trace
		}
	}
	if err := h.check(); err != nil {
		return nil, err
	}
	return encodeFrame(h)
}

// exchange opens a stream, sends the request and reads the header of the answer.
func (c *call) exchange(l *link, frame []byte) error {
	fault := (*c.transport.fault.Load())(c.address, c.method)
	if fault.Unreachable {
		return c.fail("connect", false, errUnreachable)
	}
	if err := fault.before(c.ctx); err != nil {
		return c.fail("connect", false, err)
	}
	if fault.DropRequest {
		return c.fail("receive", true, lose(c.ctx))
	}
	if err := c.open(l); err != nil {
		return err
	}
	c.send(frame)
	err := c.receive()
	if err == nil && fault.DropAnswer {
		err = c.fail("receive", true, lose(c.ctx))
	}
	if err != nil {
		c.abort()
		return err
	}
	l.answered()
	return nil
}

// open finds a connection and opens a stream on it.
func (c *call) open(l *link) error {
	for attempt := 0; ; attempt++ {
		conn, err := l.acquire(c.ctx)
		if err != nil {
			return c.fail("connect", false, err)
		}
		stream, err := conn.quic.OpenStreamSync(c.ctx)
		if err == nil {
			c.conn, c.stream = conn, stream
			break
		}
		lost := conn.quic.Context().Err() != nil
		conn.release()
		// A kept connection may turn out to be lost; nothing was sent on it.
		if !lost || attempt > 0 {
			return c.fail("open", false, err)
		}
	}
	c.transport.Counters.Active.Add(1)
	c.stop = context.AfterFunc(c.ctx, func() {
		c.stream.CancelRead(streamCanceled)
		c.stream.CancelWrite(streamCanceled)
	})
	return nil
}

// send writes the request. Its errors show when the answer is read. The upload of a body goes on while the
// answer is read, because a peer may answer before it has read everything.
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

// receive reads the header of the answer.
func (c *call) receive() error {
	r := countingReader{c.stream, &c.transport.Counters.BytesReceived}
	if err := readFrame(r, &c.answer); err != nil {
		if notHandled(err) && !c.conn.proven.Load() {
			return c.fail("connect", false, err)
		}
		if ctxErr := c.ctx.Err(); ctxErr != nil {
			err = ctxErr
		}
		return c.fail("receive", true, err)
	}
	c.conn.proven.Store(true)
	if c.answer.Code == CodeOK {
		return nil
	}
	ran := c.answer.Code >= CodeInternal
	return c.fail("receive", ran, &RemoteError{Code: c.answer.Code, Message: c.answer.Message})
}

func (c *call) decode(v any) error {
	if err := decodePayload(c.answer.Payload, v); err != nil {
		return c.fail("decode", true, err)
	}
	return nil
}

// end frees what the call holds, once.
func (c *call) end() {
	if c.ended.Swap(true) {
		return
	}
	c.stop()
	c.upload.stop()
	c.conn.release()
	c.transport.Counters.Active.Add(-1)
	if c.begun {
		c.transport.leave()
	}
}

// abort ends a call whose stream is not complete.
func (c *call) abort() {
	c.stream.CancelRead(streamCanceled)
	c.stream.CancelWrite(streamCanceled)
	c.end()
}
