package stream

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
)

// Limits of snapshots.
const (
	// PartBytes limits the data of one snapshot record.
	PartBytes = 128 << 10
	// maxParts bounds the memory that an assembler takes for one snapshot.
	maxParts = 128
	// maxStateBytes bounds a decompressed snapshot.
	maxStateBytes = 64 << 20
	// maxPartial bounds the incomplete snapshots kept; writers that died leave some behind.
	maxPartial = 4
	// sumBytes is the length of the checksum in front of each part.
	sumBytes = 8
)

// pack compresses an encoded state.
func pack(state []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if _, err := w.Write(state); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return buf.Bytes(), nil
}

// unpack reverses pack.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	state, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress snapshot")
	}
	if len(state) > maxStateBytes {
		return nil, errors.Errorf("snapshot exceeds %d bytes", maxStateBytes)
	}
	return state, nil
}

// split cuts a packed state into parts. Each part starts with the checksum of the whole, so that parts of two
// writers combine only if the writers encoded the same bytes.
func split(covers int64, packed []byte) ([]record.Snapshot, error) {
	const chunk = PartBytes - sumBytes
	n := max(1, (len(packed)+chunk-1)/chunk)
	if n > maxParts {
		return nil, errors.Errorf("snapshot has %d parts, limit %d", n, maxParts)
	}
	sum := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(packed))
	parts := make([]record.Snapshot, n)
	for i := range parts {
		data := packed[i*chunk : min(len(packed), (i+1)*chunk)]
		parts[i] = record.Snapshot{Covers: covers, Part: i, Parts: n, Data: append(bytes.Clone(sum), data...)}
	}
	return parts, nil
}

// complete is a snapshot all of whose parts were read.
type complete struct {
	covers int64
	packed []byte
}

type partialKey struct {
	covers int64
	parts  int
	sum    uint64
}

type partial struct {
	key     partialKey
	data    [][]byte
	missing int
}

// assembler joins snapshot parts. Parts may repeat, interleave with those of other writers and never complete.
type assembler struct {
	partial []*partial // in order of first part
}

// add takes the part read at the offset and returns the snapshot that it completes, or nil.
func (a *assembler) add(offset int64, s record.Snapshot) (*complete, error) {
	if s.Covers < 0 || s.Covers >= offset || s.Parts < 1 || s.Parts > maxParts || s.Part < 0 || s.Part >= s.Parts ||
		len(s.Data) < sumBytes || len(s.Data) > PartBytes {
		return nil, errors.Errorf("snapshot part %d of %d covering %d with %d bytes at offset %d is invalid",
			s.Part, s.Parts, s.Covers, len(s.Data), offset)
	}
	key := partialKey{s.Covers, s.Parts, binary.BigEndian.Uint64(s.Data)}
	p := a.get(key)
	if p.data[s.Part] == nil {
		p.data[s.Part] = s.Data[sumBytes:len(s.Data):len(s.Data)]
		p.missing--
	}
	if p.missing > 0 {
		return nil, nil
	}
	a.drop(key)
	packed := bytes.Join(p.data, nil)
	if xxhash.Sum64(packed) != key.sum {
		return nil, errors.Errorf("snapshot covering %d has a wrong checksum", s.Covers)
	}
	return &complete{covers: s.Covers, packed: packed}, nil
}

func (a *assembler) get(key partialKey) *partial {
	for _, p := range a.partial {
		if p.key == key {
			return p
		}
	}
	if len(a.partial) == maxPartial {
		a.partial = append(a.partial[:0], a.partial[1:]...)
	}
	p := &partial{key: key, data: make([][]byte, key.parts), missing: key.parts}
	a.partial = append(a.partial, p)
	return p
}

// drop forgets the completed snapshot and every older incomplete one.
func (a *assembler) drop(done partialKey) {
	kept := a.partial[:0]
	for _, p := range a.partial {
		if p.key.covers > done.covers {
			kept = append(kept, p)
		}
	}
	a.partial = kept
}

// snapshotOf returns the snapshot part in a record body.
func snapshotOf(body record.Body) (record.Snapshot, bool) {
	switch b := body.(type) {
	case *record.ControlSnapshot:
		return b.Snapshot, true
	case *record.ZoneSnapshot:
		return b.Snapshot, true
	}
	return record.Snapshot{}, false
}

// snapshotBody wraps a part for the stream.
func snapshotBody(kind record.Kind, s record.Snapshot) record.Body {
	if kind == record.KindControlSnapshot {
		return &record.ControlSnapshot{Snapshot: s}
	}
	return &record.ZoneSnapshot{Snapshot: s}
}
