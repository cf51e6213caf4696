package peer

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel/propagation"
)

// headerTimeout limits the time to receive the first frame of a stream.
const headerTimeout = 10 * time.Second

// serve executes the call of one stream.
func (s *Server) serve(conn *quic.Conn, stream *quic.Stream, peer string) {
	s.Counters.Calls.Add(1)
	s.Counters.Active.Add(1)
	defer s.Counters.Active.Add(-1)
	defer stream.CancelRead(streamDone)

	var h requestHeader
	in := countingReader{stream, &s.Counters.BytesReceived}
	_ = stream.SetReadDeadline(time.Now().Add(headerTimeout))
	if err := readFrame(in, &h); err != nil {
		s.refuse(stream, CodeBadFrame, err.Error())
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	if err := h.check(); err != nil {
		s.refuse(stream, CodeBadFrame, err.Error())
		return
	}
	handler, code := s.acquireHandler(h.Method)
	if code != CodeOK {
		s.refuse(stream, code, "method "+h.Method)
		return
	}
	defer func() { <-s.handlerSlots }()
	req := &Request{Peer: peer, Address: conn.RemoteAddr().String(), Method: h.Method, payload: h.Payload, Body: in}
	s.execute(stream, h, req, handler)
}

// acquireHandler returns the handler of a method and acquires a slot for it.
func (s *Server) acquireHandler(method string) (Handler, Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, known := s.handlers[method]
	switch {
	case s.stopping:
		return nil, CodeShuttingDown
	case !known:
		return nil, CodeUnknownMethod
	}
	select {
	case s.handlerSlots <- struct{}{}:
		return h, CodeOK
	default:
		return nil, CodeOverloaded
	}
}

func (s *Server) refuse(stream *quic.Stream, code Code, message string) {
	s.Counters.NotSent.Add(1)
	s.respond(stream, responseHeader{Code: code, Message: message}, nil)
}

func (s *Server) execute(stream *quic.Stream, h requestHeader, req *Request, handler Handler) {
	// The stream's context ends when the caller cancels the call or the connection is lost.
	ctx := stream.Context()
	if h.TimeoutMs > 0 {
		// The limit of a day keeps the product from overflowing.
		timeout := time.Duration(min(h.TimeoutMs, 24*3600*1000)) * time.Millisecond
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
		_ = stream.SetDeadline(time.Now().Add(timeout))
	}
	if p := s.opts.Propagator; p != nil {
		ctx = p.Extract(ctx, propagation.MapCarrier(h.Trace))
	}
	resp, err := s.callHandler(ctx, req, handler)
	if resp == nil {
		resp = &Response{}
	}
	if resp.Body != nil {
		defer func() { _ = resp.Body.Close() }()
	}
	if err != nil {
		s.Counters.Failed.Add(1)
		s.respond(stream, errorHeader(err), nil)
		return
	}
	payload, err := encodePayload(resp.Header)
	if err != nil {
		s.Counters.Failed.Add(1)
		s.respond(stream, errorHeader(errors.Wrap(err, "encode answer")), nil)
		return
	}
	s.respond(stream, responseHeader{Payload: payload}, resp.Body)
}

// callHandler calls a handler and turns its panic into an error, so that a call cannot crash the daemon.
func (s *Server) callHandler(ctx context.Context, req *Request, handler Handler) (resp *Response, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.Counters.Panics.Add(1)
			err = errors.Errorf("handler panicked: %v", p)
		}
	}()
	return handler(ctx, req)
}

const maxMessageBytes = 4096

func errorHeader(err error) responseHeader {
	h := responseHeader{Code: CodeInternal, Message: err.Error()}
	var r *RemoteError
	if errors.As(err, &r) {
		h.Code, h.Message = max(r.Code, CodeInternal), r.Message
	}
	if len(h.Message) > maxMessageBytes {
		h.Message = fmt.Sprintf("%.*q...", maxMessageBytes, h.Message)
	}
	return h
}

// respond sends the header and body of a response and closes the stream.
func (s *Server) respond(stream *quic.Stream, h responseHeader, body io.Reader) {
	out := countingWriter{stream, &s.Counters.BytesSent}
	frame, err := encodeFrame(h)
	if err != nil {
		s.Counters.Failed.Add(1)
		frame, err = encodeFrame(errorHeader(err))
		body = nil
	}
	if err == nil {
		_, err = out.Write(frame)
	}
	if err == nil && body != nil {
		err = sendBody(stream, out, body)
	} else if err == nil {
		err = stream.Close()
	}
	if err != nil {
		s.Counters.BodiesCut.Add(1)
		stream.CancelWrite(streamBodyCut)
	}
}
