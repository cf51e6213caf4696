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
	// MaxPartBytes limits the data of one snapshot record.
	MaxPartBytes = 128 << 10
	// maxParts bounds the memory that a snapshotAssembler takes for one snapshot.
	maxParts = 128
	// maxStateBytes bounds a decompressed snapshot.
	maxStateBytes = 64 << 20
	// maxPartialSnapshots bounds the incomplete snapshots kept; writers that stop midway leave some.
	maxPartialSnapshots = 4
	// checksumBytes is the length of the checksum in front of each part.
	checksumBytes = 8
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
// writers are combined only if both encoded the same bytes.
func split(covers int64, packed []byte) ([]record.Snapshot, error) {
	const maxDataBytes = MaxPartBytes - checksumBytes
	n := max(1, (len(packed)+maxDataBytes-1)/maxDataBytes)
	if n > maxParts {
		return nil, errors.Errorf("snapshot has %d parts, limit %d", n, maxParts)
	}
	checksum := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(packed))
	parts := make([]record.Snapshot, n)
	for i := range parts {
		data := packed[i*maxDataBytes : min(len(packed), (i+1)*maxDataBytes)]
		parts[i] = record.Snapshot{Covers: covers, Part: i, Parts: n, Data: append(bytes.Clone(checksum), data...)}
	}
	return parts, nil
}

// completeSnapshot is a snapshot of which all parts were read.
type completeSnapshot struct {
	covers int64
	packed []byte
}

type snapshotKey struct {
	covers int64
	parts  int
	sum    uint64
}

type partialSnapshot struct {
	key     snapshotKey
	data    [][]byte
	missing int
}

// snapshotAssembler joins snapshot parts. Parts may repeat, interleave with those of other writers and stay incomplete.
type snapshotAssembler struct {
	partials []*partialSnapshot // in the order of their first parts
}

// add takes the part read at the offset and returns the snapshot that it completes, or nil.
func (a *snapshotAssembler) add(offset int64, s record.Snapshot) (*completeSnapshot, error) {
	if s.Covers < 0 || s.Covers >= offset || s.Parts < 1 || s.Parts > maxParts || s.Part < 0 || s.Part >= s.Parts ||
		len(s.Data) < checksumBytes || len(s.Data) > MaxPartBytes {
		return nil, errors.Errorf("snapshot part %d of %d covering %d with %d bytes at offset %d is invalid",
			s.Part, s.Parts, s.Covers, len(s.Data), offset)
	}
	key := snapshotKey{s.Covers, s.Parts, binary.BigEndian.Uint64(s.Data)}
	p := a.partialFor(key)
	if p.data[s.Part] == nil {
		p.data[s.Part] = s.Data[checksumBytes:len(s.Data):len(s.Data)]
		p.missing--
	}
	if p.missing > 0 {
		return nil, nil
	}
	a.dropThrough(key)
	packed := bytes.Join(p.data, nil)
	if xxhash.Sum64(packed) != key.sum {
		return nil, errors.Errorf("snapshot covering %d has a wrong checksum", s.Covers)
	}
	return &completeSnapshot{covers: s.Covers, packed: packed}, nil
}

func (a *snapshotAssembler) partialFor(key snapshotKey) *partialSnapshot {
	for _, p := range a.partials {
		if p.key == key {
			return p
		}
	}
	if len(a.partials) == maxPartialSnapshots {
		a.partials = append(a.partials[:0], a.partials[1:]...)
	}
	p := &partialSnapshot{key: key, data: make([][]byte, key.parts), missing: key.parts}
	a.partials = append(a.partials, p)
	return p
}

// dropThrough removes the partial snapshots that cover no more than the completed one.
func (a *snapshotAssembler) dropThrough(completed snapshotKey) {
	kept := a.partials[:0]
	for _, p := range a.partials {
		if p.key.covers > completed.covers {
			kept = append(kept, p)
		}
	}
	a.partials = kept
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
