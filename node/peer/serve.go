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

// headerTimeout limits how long a stream may take to send its first frame.
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
	handler, code := s.admit(h.Method)
	if code != CodeOK {
		s.refuse(stream, code, "method "+h.Method)
		return
	}
	defer func() { <-s.slots }()
	req := &Request{Peer: peer, Address: conn.RemoteAddr().String(), Method: h.Method, payload: h.Payload, Body: in}
	s.execute(stream, h, req, handler)
}

// admit returns the handler of a method and takes a slot for it.
func (s *Server) admit(method string) (Handler, Code) {
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
	case s.slots <- struct{}{}:
		return h, CodeOK
	default:
		return nil, CodeOverloaded
	}
}

func (s *Server) refuse(stream *quic.Stream, code Code, message string) {
	s.Counters.NotSent.Add(1)
	s.answer(stream, responseHeader{Code: code, Message: message}, nil)
}

func (s *Server) execute(stream *quic.Stream, h requestHeader, req *Request, handler Handler) {
	// The stream's context ends when the caller gives up or the connection is lost.
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
	resp, err := s.protect(ctx, req, handler)
	if resp == nil {
		resp = &Response{}
	}
	if resp.Body != nil {
		defer func() { _ = resp.Body.Close() }()
	}
	if err != nil {
		s.Counters.Failed.Add(1)
		s.answer(stream, errorHeader(err), nil)
		return
	}
	payload, err := encodePayload(resp.Header)
	if err != nil {
		s.Counters.Failed.Add(1)
		s.answer(stream, errorHeader(errors.Wrap(err, "encode answer")), nil)
		return
	}
	s.answer(stream, responseHeader{Payload: payload}, resp.Body)
}

// protect turns a panic of a handler into an error, so that one call cannot end the daemon.
func (s *Server) protect(ctx context.Context, req *Request, handler Handler) (resp *Response, err error) {
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

// answer sends the header and body of an answer and ends the stream.
func (s *Server) answer(stream *quic.Stream, h responseHeader, body io.Reader) {
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
