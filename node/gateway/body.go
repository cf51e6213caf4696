package gateway

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// replayBytes is the largest request body that is kept in memory, so that it can be sent again.
const replayBytes = 64 << 10

// errBodyClosed is returned to an attempt that reads after it was given up.
var errBodyClosed = errors.New("request body: attempt was given up")

// body gives a request's body to one attempt after the other. Small bodies are kept and can be read by several
// attempts at a time; larger ones can be read once.
type body struct {
	// kept is the whole body if small is true.
	kept  []byte
	small bool

	mu sync.Mutex
	// src, used and opened are guarded by mu and only set if small is false.
	src    io.Reader
	used   bool
	opened *streamedBody
	// failed is set when the caller's connection broke or stalled while the body was read.
	failed bool
}

// newBody reads small bodies of known length at once.
func newBody(src io.Reader, contentLength int64) (*body, error) {
	if src == nil || src == http.NoBody || contentLength == 0 {
		return &body{small: true}, nil
	}
	if contentLength < 0 || contentLength > replayBytes {
		return &body{src: src}, nil
	}
	kept := make([]byte, contentLength)
	if _, err := io.ReadFull(src, kept); err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	return &body{kept: kept, small: true}, nil
}

// reusable reports whether another attempt may read the body.
func (b *body) reusable() bool {
	if b.small {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.used
}

// concurrent reports whether two attempts may read the body at a time.
func (b *body) concurrent() bool { return b.small }

// open returns the body for one attempt and ends the previous attempt's access to a streamed body.
func (b *body) open() (io.ReadCloser, error) {
	if b.small && len(b.kept) == 0 {
		return http.NoBody, nil
	}
	if b.small {
		return io.NopCloser(bytes.NewReader(b.kept)), nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used {
		return nil, errors.New("request body: already read by another attempt")
	}
	b.opened = &streamedBody{owner: b}
	return b.opened, nil
}

// streamedBody is one attempt's access to a streamed body.
type streamedBody struct{ owner *body }

// Read implements io.Reader.
func (s *streamedBody) Read(p []byte) (int, error) {
	b := s.owner
	b.mu.Lock()
	if b.opened != s {
		b.mu.Unlock()
		return 0, errBodyClosed
	}
	b.used = true
	b.mu.Unlock()
	n, err := b.src.Read(p)
	if err != nil && err != io.EOF {
		b.mu.Lock()
		b.failed = true
		b.mu.Unlock()
	}
	return n, err
}

// sourceFailed reports whether the caller's side of the body failed.
func (b *body) sourceFailed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed
}

// Close ends this attempt's access. The source is closed by the server that owns it.
func (s *streamedBody) Close() error {
	b := s.owner
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.opened == s {
		b.opened = nil
	}
	return nil
}
