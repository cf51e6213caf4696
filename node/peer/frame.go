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

// requestHeader is the content of the first frame of a call.
type requestHeader struct {
	Method string `cbor:"1,keyasint"`
	// TimeoutMs is the time left until the caller's deadline when it sent the frame, 0 if there is none. It
	// is no absolute time, because the clocks of VMs differ.
	TimeoutMs int64             `cbor:"2,keyasint,omitempty"`
	Trace     map[string]string `cbor:"3,keyasint,omitempty"`
	Payload   cbor.RawMessage   `cbor:"4,keyasint,omitempty"`
}

// responseHeader is the content of the first frame of an answer.
type responseHeader struct {
	Code    Code            `cbor:"1,keyasint,omitempty"`
	Message string          `cbor:"2,keyasint,omitempty"`
	Payload cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

// The limits bound the memory that a hostile frame can make its reader allocate.
var decMode = func() cbor.DecMode {
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
	return decMode.Unmarshal(payload, v)
}

// encodeFrame returns a whole frame.
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

// readFrame reads one frame into v. Memory grows with what arrives and not with the length that is announced.
func readFrame(r io.Reader, v any) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return errors.Wrap(noEOF(err), "read frame length")
	}
	n := int64(binary.BigEndian.Uint32(length[:]))
	if n > MaxFrameBytes {
		return errors.Wrapf(ErrFrameTooLarge, "%d bytes, limit %d", n, MaxFrameBytes)
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, n); err != nil {
		return errors.Wrap(noEOF(err), "read frame")
	}
	return errors.Wrap(decMode.Unmarshal(body.Bytes(), v), "decode frame")
}

// noEOF keeps a stream that ends inside a frame from looking like the regular end of a body.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// check validates a request header beyond its form.
func (h *requestHeader) check() error {
	if h.Method == "" || len(h.Method) > MaxMethodBytes {
		return errors.Errorf("method has %d bytes, allowed 1 to %d", len(h.Method), MaxMethodBytes)
	}
	if h.TimeoutMs < 0 {
		return errors.Errorf("timeout %d ms is negative", h.TimeoutMs)
	}
	if !traceFits(h.Trace) {
		return errors.Errorf("trace context exceeds %d fields or %d bytes", maxTraceFields, maxTraceBytes)
	}
	return nil
}

func traceFits(trace map[string]string) bool {
	size := 0
	for k, v := range trace {
		size += len(k) + len(v)
	}
	return len(trace) <= maxTraceFields && size <= maxTraceBytes
}
