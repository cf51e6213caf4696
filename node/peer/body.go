package peer

import (
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// sendBody copies a body to the stream and ends the stream. If the body cannot be read to its end, it resets
// the stream, so that the reader sees an error.
func sendBody(stream *quic.Stream, w io.Writer, body io.Reader) error {
	if _, err := io.Copy(w, body); err != nil {
		stream.CancelWrite(streamBodyCut)
		return errors.Wrap(err, "send body")
	}
	return errors.Wrap(stream.Close(), "send body")
}

func closeBody(body io.Reader) {
	if c, ok := body.(io.Closer); ok {
		_ = c.Close()
	}
}

// errBodyClosed is returned by reads after Close.
var errBodyClosed = errors.New("read after close")

// answerBody is the body of an answer. Close may be called while another goroutine reads.
type answerBody struct {
	call *call

	mu  sync.Mutex
	err error // how the body ended
}

// Read implements io.Reader. It returns io.EOF only if the body is whole.
func (b *answerBody) Read(p []byte) (int, error) {
	if err := b.ended(); err != nil {
		return 0, err
	}
	n, err := b.call.stream.Read(p)
	b.call.transport.Counters.BytesReceived.Add(int64(n))
	if err == nil || errors.Is(err, io.EOF) {
		if err != nil {
			b.finish(io.EOF)
		}
		return n, err
	}
	if ctxErr := b.call.ctx.Err(); ctxErr != nil {
		err = ctxErr
	}
	if b.finish(b.call.fail("body", true, err)) {
		b.call.transport.Counters.BodiesCut.Add(1)
	}
	return n, b.ended()
}

// Close implements io.Closer. It resets the stream if the body was not read to its end.
func (b *answerBody) Close() error {
	b.finish(errBodyClosed)
	return nil
}

func (b *answerBody) ended() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// finish ends the call with the result of further reads and reports whether it was still running. What is
// still to be sent is not needed after the whole answer.
func (b *answerBody) finish(err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return false
	}
	b.err = err
	b.call.abort()
	return true
}
