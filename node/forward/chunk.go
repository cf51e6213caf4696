package forward

import (
	"encoding/binary"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/node/gateway"
)

// A chunk is a 4-byte big-endian length followed by that many bytes. A chunk of length 0 ends the body; one more chunk
// with the trailer fields in CBOR follows it.
const (
	lengthBytes   = 4
	maxChunkBytes = 16 << 10
	// maxTrailerBytes leaves room for the CBOR length prefixes of the fields that an endpoint may send.
	maxTrailerBytes = 2 * gateway.MaxHeaderBytes
)

// chunkEncoder is a reader that encodes a body and its trailer in chunks.
type chunkEncoder struct {
	src     io.ReadCloser
	trailer func() http.Header
	buffer  [lengthBytes + maxChunkBytes]byte
	// pending holds encoded bytes that have not been read yet; Read returns err after them.
	pending []byte
	err     error
}

// Read implements io.Reader.
func (e *chunkEncoder) Read(p []byte) (int, error) {
	if len(e.pending) == 0 && e.err == nil {
		e.encodeNext()
	}
	if len(e.pending) == 0 {
		return 0, e.err
	}
	n := copy(p, e.pending)
	e.pending = e.pending[n:]
	return n, nil
}

// encodeNext encodes the result of one read from the source.
func (e *chunkEncoder) encodeNext() {
	n, err := e.src.Read(e.buffer[lengthBytes:])
	if n > 0 {
		binary.BigEndian.PutUint32(e.buffer[:], uint32(n))
		e.pending = e.buffer[:lengthBytes+n]
	}
	if err == io.EOF {
		var encoded []byte
		if encoded, err = encodeTrailer(e.trailer()); err == nil {
			e.pending, err = append(e.pending, encoded...), io.EOF
		}
	}
	e.err = err
}

func encodeTrailer(trailer http.Header) ([]byte, error) {
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
func (e *chunkEncoder) Close() error { return e.src.Close() }

// chunkDecoder decodes a body that a chunkEncoder encoded.
type chunkDecoder struct {
	src io.ReadCloser
	// remaining is the number of unread bytes of the current chunk.
	remaining uint32
	err       error
	trailer   http.Header
}

// Read implements io.Reader. It returns io.EOF only after it has read the trailer.
func (r *chunkDecoder) Read(p []byte) (int, error) {
	if r.err == nil && r.remaining == 0 {
		r.err = r.nextChunk()
	}
	if r.err != nil || len(p) == 0 {
		return 0, r.err
	}
	n, err := r.src.Read(p[:min(len(p), int(r.remaining))])
	r.remaining -= uint32(n)
	if err != nil {
		r.err = unexpectedEOF(err)
	}
	return n, r.err
}

// nextChunk reads the length of the next chunk, or the trailer after the last chunk.
func (r *chunkDecoder) nextChunk() error {
	n, err := r.readLength(maxChunkBytes)
	if err != nil || n > 0 {
		r.remaining = n
		return err
	}
	if n, err = r.readLength(maxTrailerBytes); err != nil {
		return err
	}
	encoded := make([]byte, n)
	if _, err := io.ReadFull(r.src, encoded); err != nil {
		return unexpectedEOF(err)
	}
	var trailer map[string][]string
	if err := cbor.Unmarshal(encoded, &trailer); err != nil {
		return errors.Wrap(err, "decode trailer")
	}
	r.trailer = trailer
	// The regular end of the stream proves that the body is complete.
	if n, err := r.src.Read(encoded[:1]); n == 0 && err != nil {
		return err
	}
	return errors.New("answer continues after its trailer")
}

func (r *chunkDecoder) readLength(limit uint32) (uint32, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r.src, length[:]); err != nil {
		return 0, unexpectedEOF(err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > limit {
		return 0, errors.Errorf("chunk has %d bytes, allowed are %d", n, limit)
	}
	return n, nil
}

// unexpectedEOF replaces io.EOF, so that a stream that ends inside the encoding is not taken for a complete body.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// trailerFields returns the trailer. It is complete once Read has returned io.EOF.
func (r *chunkDecoder) trailerFields() http.Header { return r.trailer }

// Close implements io.Closer.
func (r *chunkDecoder) Close() error { return r.src.Close() }
