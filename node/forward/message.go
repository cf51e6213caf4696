package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/node/gateway"
)

// requestHeader is the header frame of a forwarded request. The trace context is among the HTTP fields.
type requestHeader struct {
	Purpose gateway.Purpose     `cbor:"1,keyasint"`
	Service string              `cbor:"2,keyasint"`
	Method  string              `cbor:"3,keyasint"`
	Path    string              `cbor:"4,keyasint"`
	Header  map[string][]string `cbor:"5,keyasint"`
	// ContentLength is the length of the body in bytes, -1 if it is not known.
	ContentLength int64 `cbor:"6,keyasint,omitempty"`
	// TimeoutUs is the remaining time in microseconds, 0 for unlimited. It is not an absolute time, because the
	// clocks of VMs differ.
	TimeoutUs         int64 `cbor:"7,keyasint,omitempty"`
	TimeoutCoversBody bool  `cbor:"8,keyasint,omitempty"`
}

// responseHeader is the header frame of the response.
type responseHeader struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	// Chunked means that the body is sent in chunks and followed by trailer fields.
	Chunked bool `cbor:"3,keyasint,omitempty"`
}

func newRequestHeader(req *gateway.ForwardRequest, elapsed time.Duration) requestHeader {
	h := requestHeader{Purpose: req.Purpose, Service: req.Service, Method: req.Method, Path: req.Path,
		Header: req.Header, ContentLength: req.ContentLength, TimeoutCoversBody: req.TimeoutCoversBody}
	if req.Body == nil || req.Body == http.NoBody {
		h.ContentLength = 0
	}
	if req.Timeout > 0 {
		h.TimeoutUs = max(1, (req.Timeout - elapsed).Microseconds())
	}
	return h
}

// check validates the fields that the gateway does not validate itself.
func (h *requestHeader) check() error {
	switch {
	case h.Purpose != gateway.PurposeRoute && h.Purpose != gateway.PurposeClaim:
		return errors.Errorf("purpose is %d, allowed are 1 and 2", h.Purpose)
	case h.Method == "":
		return errors.New("method is empty")
	case !strings.HasPrefix(h.Path, "/"):
		return errors.Errorf("path %.60q does not begin with a slash", h.Path)
	case h.ContentLength < -1:
		return errors.Errorf("content length is %d, allowed from -1", h.ContentLength)
	case h.TimeoutUs < 0 || h.TimeoutUs > gateway.MaxTimeout.Microseconds():
		return errors.Errorf("timeout is %d us, allowed are 0 to %d", h.TimeoutUs, gateway.MaxTimeout.Microseconds())
	}
	return nil
}
