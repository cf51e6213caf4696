package stream

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"waxwingslip.example/core/record"
)

// Guards against a snapshot that decompresses into more memory than the daemon may use.
func TestUnpackIsLimited(t *testing.T) {
	is := is.New(t)
	packed, err := pack(make([]byte, maxStateBytes+1))
	is.NoErr(err)
	_, err = unpack(packed)
	is.True(err != nil)
}

// Guards against parts that crash their readers, and against a combination of parts that gives other bytes than
// one writer packed.
func FuzzSnapshotParts(f *testing.F) {
	good, err := pack([]byte("state"))
	if err != nil {
		f.Fatal(err)
	}
	parts, err := split(3, good)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(int64(3), 0, 1, parts[0].Data, []byte("other"))
	f.Add(int64(3), 1, 2, parts[0].Data, parts[0].Data)
	f.Add(int64(-1), -1, 1<<30, []byte{}, []byte{})
	f.Fuzz(func(t *testing.T, covers int64, part, count int, one, two []byte) {
		var a snapshotAssembler
		for i, data := range [][]byte{one, two, one} {
			done, err := a.add(10, record.Snapshot{Covers: covers, Part: part - i, Parts: count, Data: data})
			if err != nil || done == nil {
				continue
			}
			again, err := split(done.covers, done.packed)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(again[0].Data[:checksumBytes], data[:checksumBytes]) {
				t.Fatal("parts of different snapshots were combined")
			}
			_, _ = unpack(done.packed)
		}
	})
}
