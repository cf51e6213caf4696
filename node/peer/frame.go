package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// MaxFrameBytes limits the CBOR part of a frame.
	MaxFrameBytes = 1 << 20
	// MaxMethodBytes limits the name of a method.
	MaxMethodBytes = 128
	maxTraceFields = 16
	maxTraceBytes  = 4096

	lengthBytes = 4
)

// ErrFrameTooLarge means that a frame exceeds MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame exceeds the limit")

// requestHeader is the content of the first frame of a request.
type requestHeader struct {
	Method string `cbor:"1,keyasint"`
	// TimeoutMs is the time left until the caller's deadline when it sent the frame, 0 if there is none. It
	// is not an absolute time, because the clocks of VMs differ.
	TimeoutMs int64             `cbor:"2,keyasint,omitempty"`
	Trace     map[string]string `cbor:"3,keyasint,omitempty"`
	Payload   cbor.RawMessage   `cbor:"4,keyasint,omitempty"`
}

// responseHeader is the content of the first frame of a response.
type responseHeader struct {
	Code    Code            `cbor:"1,keyasint,omitempty"`
	Message string          `cbor:"2,keyasint,omitempty"`
	Payload cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

// cborDecMode bounds the memory that a malicious frame can make its reader allocate.
var cborDecMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels: 16, MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// encodePayload returns the CBOR form of v; nil gives no payload.
func encodePayload(v any) (cbor.RawMessage, error) {
	if v == nil {
		return nil, nil
	}
	return cbor.Marshal(v)
}

func decodePayload(payload cbor.RawMessage, v any) error {
	if v == nil {
		return nil
	}
	return cborDecMode.Unmarshal(payload, v)
}

// encodeFrame returns a frame with its length.
func encodeFrame(v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	if len(body) > MaxFrameBytes {
		return nil, errors.Wrapf(ErrFrameTooLarge, "%d bytes, limit %d", len(body), MaxFrameBytes)
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// readFrame reads one frame into v. It allocates memory as bytes arrive, not for the announced length at once.
func readFrame(r io.Reader, v any) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return errors.Wrap(unexpectedEOF(err), "read frame length")
	}
	n := int64(binary.BigEndian.Uint32(length[:]))
	if n > MaxFrameBytes {
		return errors.Wrapf(ErrFrameTooLarge, "%d bytes, limit %d", n, MaxFrameBytes)
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, n); err != nil {
		return errors.Wrap(unexpectedEOF(err), "read frame")
	}
	return errors.Wrap(cborDecMode.Unmarshal(body.Bytes(), v), "decode frame")
}

// unexpectedEOF replaces io.EOF, so that a stream that ends inside a frame is not taken for the regular end of a body.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// check validates the values of a request header.
func (h *requestHeader) check() error {
	if h.Method == "" || len(h.Method) > MaxMethodBytes {
		return errors.Errorf("method has %d bytes, allowed 1 to %d", len(h.Method), MaxMethodBytes)
	}
	if h.TimeoutMs < 0 {
		return errors.Errorf("timeout %d ms is negative", h.TimeoutMs)
	}
	if !withinTraceLimits(h.Trace) {
		return errors.Errorf("trace context exceeds %d fields or %d bytes", maxTraceFields, maxTraceBytes)
	}
	return nil
}

func withinTraceLimits(trace map[string]string) bool {
	size := 0
	for k, v := range trace {
		size += len(k) + len(v)
	}
	return len(trace) <= maxTraceFields && size <= maxTraceBytes
}
