package peer

import (
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// bodyUrgency ranks bodies after frames, which have the default urgency 3, so that claims and relays of the control
// stream do not wait for bodies when a link is saturated.
const bodyUrgency = 5

// sendBody copies a body to the stream and closes the stream. If the body cannot be read to its end, it resets
// the stream, so that the reader gets an error.
func sendBody(stream *quic.Stream, w io.Writer, body io.Reader) error {
	stream.SetPriority(bodyUrgency, true)
	if _, err := io.Copy(w, body); err != nil {
		stream.CancelWrite(streamBodyCut)
		return errors.Wrap(err, "send body")
	}
	return errors.Wrap(stream.Close(), "send body")
}

// errUploadStopped is returned by reads of an upload after stop.
var errUploadStopped = errors.New("upload was stopped")

// upload is the body of a request. It records whether a read of the body has started, and starts none after stop.
type upload struct {
	body io.Reader

	mu          sync.Mutex
	readStarted bool
	stopped     bool
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	stopped := u.stopped
	u.readStarted = u.readStarted || !stopped
	u.mu.Unlock()
	if stopped {
		return 0, errUploadStopped
	}
	return u.body.Read(p)
}

// stop prevents further reads and reports whether any read has started. It does nothing without a body.
func (u *upload) stop() (started bool) {
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	return u.readStarted
}

// errBodyClosed is returned by reads after Close.
var errBodyClosed = errors.New("read after close")

// responseBody is the body of a response. Close may be called while another goroutine reads.
type responseBody struct {
	call *call

	mu  sync.Mutex
	err error // result of reads after the end of the body, nil before
}

// Read implements io.Reader. It returns io.EOF only if the body is complete.
func (b *responseBody) Read(p []byte) (int, error) {
	if err := b.result(); err != nil {
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
	if b.finish(b.call.newError("body", true, err)) {
		b.call.transport.Counters.BodiesCut.Add(1)
	}
	return n, b.result()
}

// Close implements io.Closer. It resets the stream if the body was not read to its end.
func (b *responseBody) Close() error {
	b.finish(errBodyClosed)
	return nil
}

func (b *responseBody) result() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// finish ends the call, sets the result of further reads and reports whether the call was still running. It also
// stops the upload, whose rest is not needed after the complete response.
func (b *responseBody) finish(err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return false
	}
	b.err = err
	b.call.abort()
	return true
}
