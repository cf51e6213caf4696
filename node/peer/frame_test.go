package peer

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against frames that make the reader panic, allocate without bound or accept a header that exceeds its
// limits.
func FuzzReadFrame(f *testing.F) {
	good, _ := encodeFrame(requestHeader{Method: "m", TimeoutMs: 5, Trace: map[string]string{"a": "b"}, Payload: []byte{0x01}})
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 5, 0x9b, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var h requestHeader
		if readFrame(bytes.NewReader(data), &h) != nil || h.check() != nil {
			return
		}
		again, err := encodeFrame(h)
		if err != nil {
			t.Fatal(err)
		}
		var back requestHeader
		if err := readFrame(bytes.NewReader(again), &back); err != nil || back.Method != h.Method || back.TimeoutMs != h.TimeoutMs {
			t.Fatalf("%+v became %+v, %v", h, back, err)
		}
		var response responseHeader
		_ = readFrame(bytes.NewReader(data), &response)
	})
}

// Guards against an oversize frame that is refused only after memory was allocated for it.
func TestOversizeFrame(t *testing.T) {
	is := is.New(t)
	frame := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	is.True(errors.Is(readFrame(bytes.NewReader(frame), &requestHeader{}), ErrFrameTooLarge))
	_, err := encodeFrame(make([]byte, MaxFrameBytes+1))
	is.True(errors.Is(err, ErrFrameTooLarge))
}
