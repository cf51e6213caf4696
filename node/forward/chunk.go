package forward

import (
	"encoding/binary"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/node/gateway"
)

// A chunk is its length in four bytes, big endian, and its content. A chunk of length 0 ends the body; the trailer
// fields follow as one more chunk, in CBOR.
const (
	lengthBytes   = 4
	maxChunkBytes = 16 << 10
	// maxTrailerBytes leaves room for the CBOR lengths around the fields that an endpoint may send.
	maxTrailerBytes = 2 * gateway.MaxHeaderBytes
)

// chunkWriter encodes a body and its trailer as it is read.
type chunkWriter struct {
	src     io.ReadCloser
	trailer func() http.Header
	buffer  [lengthBytes + maxChunkBytes]byte
	// pending is encoded and not yet read; err follows it.
	pending []byte
	err     error
}

// Read implements io.Reader.
func (w *chunkWriter) Read(p []byte) (int, error) {
	if len(w.pending) == 0 && w.err == nil {
		w.fill()
	}
	if len(w.pending) == 0 {
		return 0, w.err
	}
	n := copy(p, w.pending)
	w.pending = w.pending[n:]
	return n, nil
}

// fill encodes what one read of the source gives.
func (w *chunkWriter) fill() {
	n, err := w.src.Read(w.buffer[lengthBytes:])
	if n > 0 {
		binary.BigEndian.PutUint32(w.buffer[:], uint32(n))
		w.pending = w.buffer[:lengthBytes+n]
	}
	if err == io.EOF {
		var end []byte
		if end, err = encodeEnd(w.trailer()); err == nil {
			w.pending, err = append(w.pending, end...), io.EOF
		}
	}
	w.err = err
}

func encodeEnd(trailer http.Header) ([]byte, error) {
	encoded, err := cbor.Marshal(map[string][]string(trailer))
	if err != nil {
		return nil, errors.Wrap(err, "encode trailer")
	}
	if len(encoded) > maxTrailerBytes {
		return nil, errors.Errorf("trailer has %d bytes, allowed are %d", len(encoded), maxTrailerBytes)
	}
	end := make([]byte, lengthBytes, 2*lengthBytes+len(encoded))
	end = binary.BigEndian.AppendUint32(end, uint32(len(encoded)))
	return append(end, encoded...), nil
}

// Close implements io.Closer.
func (w *chunkWriter) Close() error { return w.src.Close() }

// chunkReader decodes a body that a chunkWriter encoded.
type chunkReader struct {
	src io.ReadCloser
	// left is what is left of the current chunk in bytes.
	left    uint32
	err     error
	trailer http.Header
}

// Read implements io.Reader. It returns io.EOF only after the trailer was read.
func (r *chunkReader) Read(p []byte) (int, error) {
	if r.err == nil && r.left == 0 {
		r.err = r.next()
	}
	if r.err != nil || len(p) == 0 {
		return 0, r.err
	}
	n, err := r.src.Read(p[:min(len(p), int(r.left))])
	r.left -= uint32(n)
	if err != nil {
		r.err = truncated(err)
	}
	return n, r.err
}

// next reads the length of a chunk, and the trailer after the last one.
func (r *chunkReader) next() error {
	n, err := r.length(maxChunkBytes)
	if err != nil || n > 0 {
		r.left = n
		return err
	}
	if n, err = r.length(maxTrailerBytes); err != nil {
		return err
	}
	encoded := make([]byte, n)
	if _, err := io.ReadFull(r.src, encoded); err != nil {
		return truncated(err)
	}
	var trailer map[string][]string
	if err := cbor.Unmarshal(encoded, &trailer); err != nil {
		return errors.Wrap(err, "decode trailer")
	}
	r.trailer = trailer
	// The end of the stream shows that nothing was cut.
	if n, err := r.src.Read(encoded[:1]); n == 0 && err != nil {
		return err
	}
	return errors.New("answer goes on after its trailer")
}

func (r *chunkReader) length(limit uint32) (uint32, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r.src, length[:]); err != nil {
		return 0, truncated(err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > limit {
		return 0, errors.Errorf("chunk has %d bytes, allowed are %d", n, limit)
	}
	return n, nil
}

// truncated keeps an end within the encoding from looking like the end of the body.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// trailerFields returns the trailer; it is complete when Read has returned io.EOF.
func (r *chunkReader) trailerFields() http.Header { return r.trailer }

// Close implements io.Closer.
func (r *chunkReader) Close() error { return r.src.Close() }
