package gateway

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// maxReplayBytes is the size of the largest request body that is buffered, so that it can be sent again.
const maxReplayBytes = 64 << 10

// errBodyClosed is returned to an attempt that reads the body after it was closed or another attempt opened it.
var errBodyClosed = errors.New("request body: attempt was given up")

// body is a request's body, which several attempts may need. Small bodies are buffered and can be read by several
// attempts at a time; larger ones are streamed and can be read once.
type body struct {
	// data is the whole body if buffered is true.
	data     []byte
	buffered bool

	mu sync.Mutex
	// src, readStarted and reader are guarded by mu and only set if buffered is false.
	src         io.Reader
	readStarted bool
	reader      *streamedBody
	// readFailed is set when the caller's connection broke or stalled while the body was read.
	readFailed bool
}

// newBody returns the body that src provides. It reads small bodies of known length at once.
func newBody(src io.Reader, contentLength int64) (*body, error) {
	if src == nil || src == http.NoBody || contentLength == 0 {
		return &body{buffered: true}, nil
	}
	if contentLength < 0 || contentLength > maxReplayBytes {
		return &body{src: src}, nil
	}
	data := make([]byte, contentLength)
	if _, err := io.ReadFull(src, data); err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	return &body{data: data, buffered: true}, nil
}

// reusable reports whether another attempt may read the body.
func (b *body) reusable() bool {
	if b.buffered {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.readStarted
}

// allowsConcurrentReads reports whether several attempts may read the body at a time.
func (b *body) allowsConcurrentReads() bool { return b.buffered }

// open returns the body for one attempt and ends the previous attempt's access to a streamed body.
func (b *body) open() (io.ReadCloser, error) {
	if b.buffered && len(b.data) == 0 {
		return http.NoBody, nil
	}
	if b.buffered {
		return io.NopCloser(bytes.NewReader(b.data)), nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readStarted {
		return nil, errors.New("request body: already read by another attempt")
	}
	b.reader = &streamedBody{owner: b}
	return b.reader, nil
}

// streamedBody is one attempt's access to a streamed body.
type streamedBody struct{ owner *body }

// Read implements io.Reader.
func (s *streamedBody) Read(p []byte) (int, error) {
	b := s.owner
	b.mu.Lock()
	if b.reader != s {
		b.mu.Unlock()
		return 0, errBodyClosed
	}
	b.readStarted = true
	b.mu.Unlock()
	n, err := b.src.Read(p)
	if err != nil && err != io.EOF {
		b.mu.Lock()
		b.readFailed = true
		b.mu.Unlock()
	}
	return n, err
}

// sourceFailed reports whether reading the body from the caller failed.
func (b *body) sourceFailed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readFailed
}

// Close ends this attempt's access. The source is closed by the server that owns it.
func (s *streamedBody) Close() error {
	b := s.owner
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader == s {
		b.reader = nil
	}
	return nil
}
