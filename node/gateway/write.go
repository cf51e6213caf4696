package gateway

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// copyBuffers holds the buffers of streamed answers.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// writeAnswer sends an answer to the caller and closes its body. After an error the handler must abort the
// connection, so that the caller does not take the answer for a complete one.
func writeAnswer(w http.ResponseWriter, method string, a *answer) error {
	defer discard(a)
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	h.Set(HeaderOutcome, string(a.outcome))
	for _, name := range a.announced {
		h.Add("Trailer", name)
	}
	w.WriteHeader(a.status)
	if err := copyBody(w, a); err != nil {
		return err
	}
	if method != http.MethodHead {
		writeTrailer(h, a)
	}
	return nil
}

// copyBody streams the body. Answers of unknown length are flushed after each read, because a watcher needs each part
// as soon as it is available.
func copyBody(w http.ResponseWriter, a *answer) error {
	if a.body == nil {
		return nil
	}
	flush := a.contentLength < 0
	control := http.NewResponseController(w)
	if flush {
		_ = control.Flush()
	}
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, readErr := a.body.Read(*buffer)
		if n > 0 {
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return errors.Wrap(err, "write answer")
			}
			if flush {
				_ = control.Flush()
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			_ = control.Flush() // delivers what was read before the connection is aborted
			return errors.Wrap(readErr, "read answer")
		}
	}
}

// writeTrailer sets the trailer fields; unannounced ones need the prefix of net/http.
func writeTrailer(h http.Header, a *answer) {
	if a.trailer == nil {
		return
	}
	announced := map[string]bool{}
	for _, name := range a.announced {
		announced[http.CanonicalHeaderKey(name)] = true
	}
	for name, values := range a.trailer() {
		if !announced[name] {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}
