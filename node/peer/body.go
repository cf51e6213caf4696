package peer

import (
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// bodyUrgency ranks bodies behind frames, which have the default 3, so that claims and relays of the control
// stream do not wait for bodies when a link is full.
const bodyUrgency = 5

// sendBody copies a body to the stream and ends the stream. If the body cannot be read to its end, it resets
// the stream, so that the reader sees an error.
func sendBody(stream *quic.Stream, w io.Writer, body io.Reader) error {
	stream.SetPriority(bodyUrgency, true)
	if _, err := io.Copy(w, body); err != nil {
		stream.CancelWrite(streamBodyCut)
		return errors.Wrap(err, "send body")
	}
	return errors.Wrap(stream.Close(), "send body")
}

// errUploadStopped ends an upload that is not needed any more.
var errUploadStopped = errors.New("upload was stopped")

// upload is the body of a request. It knows whether the body was touched, and touches it no more after stop.
type upload struct {
	body io.Reader

	mu      sync.Mutex
	begun   bool
	stopped bool
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	stopped := u.stopped
	u.begun = u.begun || !stopped
	u.mu.Unlock()
	if stopped {
		return 0, errUploadStopped
	}
	return u.body.Read(p)
}

// stop lets no more reads begin and reports whether any has begun. It does nothing without a body.
func (u *upload) stop() (begun bool) {
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	return u.begun
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
