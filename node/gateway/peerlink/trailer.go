package peerlink

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// A framed body is a sequence of frames: a length of four bytes, big endian, and so many bytes. A frame of length 0
// ends the body; the trailer in CBOR follows until the end of the stream.

// Limits of framed bodies.
const (
	frameBytes      = 32 << 10
	maxTrailerBytes = 32 << 10
)

// frameWriter reads a body and returns it in frames.
type frameWriter struct {
	io.ReadCloser
	trailer func() http.Header
	buffer  []byte
	pending []byte
	end     error
}

// Read implements io.Reader.
func (f *frameWriter) Read(p []byte) (int, error) {
	for len(f.pending) == 0 {
		if f.end != nil {
			return 0, f.end
		}
		f.next()
	}
	n := copy(p, f.pending)
	f.pending = f.pending[n:]
	return n, nil
}

func (f *frameWriter) next() {
	if f.buffer == nil {
		f.buffer = make([]byte, 4+frameBytes)
	}
	n, err := f.ReadCloser.Read(f.buffer[4:])
	if n > 0 {
		binary.BigEndian.PutUint32(f.buffer, uint32(n))
		f.pending = f.buffer[:4+n]
	}
	if err == nil {
		return
	}
	f.end = err
	if err != io.EOF {
		return
	}
	trailer, encodeErr := cbor.Marshal(f.trailer())
	if encodeErr != nil {
		f.end = errors.Wrap(encodeErr, "encode trailer")
		return
	}
	f.pending = append(append(bytes.Clone(f.pending), 0, 0, 0, 0), trailer...)
}

// frameReader reads frames and returns the body.
type frameReader struct {
	io.ReadCloser
	left    uint32
	trailer http.Header
	end     error
}

// Read implements io.Reader. It returns io.EOF only after the trailer.
func (f *frameReader) Read(p []byte) (int, error) {
	if f.left == 0 && f.end == nil {
		f.end = f.nextFrame()
	}
	if f.end != nil {
		return 0, f.end
	}
	n, err := f.ReadCloser.Read(p[:min(len(p), int(f.left))])
	f.left -= uint32(n)
	if err != nil {
		f.end = noEOF(err)
	}
	return n, nil
}

func (f *frameReader) nextFrame() error {
	var length [4]byte
	if _, err := io.ReadFull(f.ReadCloser, length[:]); err != nil {
		return noEOF(err)
	}
	f.left = binary.BigEndian.Uint32(length[:])
	if f.left > frameBytes {
		return errors.Errorf("body frame has %d bytes, limit %d", f.left, frameBytes)
	}
	if f.left > 0 {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(f.ReadCloser, maxTrailerBytes+1))
	if err != nil {
		return errors.Wrap(err, "read trailer")
	}
	if len(text) > maxTrailerBytes {
		return errors.Errorf("trailer is over %d bytes", maxTrailerBytes)
	}
	if err := cbor.Unmarshal(text, &f.trailer); err != nil {
		return errors.Wrap(err, "decode trailer")
	}
	return io.EOF
}

// noEOF keeps a stream that ends between frames from being taken for a whole body.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
