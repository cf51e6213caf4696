package jobs

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// earlierProgress is the part of Progress that builds store which set the flag for a begun job once a task is bound.
type earlierProgress struct {
	Outcome     Outcome       `cbor:"1,keyasint,omitempty"`
	Next        int           `cbor:"3,keyasint,omitempty"`
	Occurrences []*Occurrence `cbor:"4,keyasint,omitempty"`
	Begun       bool          `cbor:"5,keyasint,omitempty"`
}

// Guards against jobs that count as begun after an update, although an earlier build only bound a task of theirs, and
// against begun ones that count as waiting.
func TestBegunInProgressOfEarlierBuilds(t *testing.T) {
	one := func(tasks ...Task) []*Occurrence { return []*Occurrence{{Steps: [][]Task{tasks}}} }
	for name, c := range map[string]struct {
		stored earlierProgress
		begun  bool
	}{
		"bound":          {earlierProgress{Next: 1, Occurrences: one(Task{Phase: Bound, Run: 1, Worker: "w"}), Begun: true}, false},
		"start refused":  {earlierProgress{Next: 1, Occurrences: one(Task{Run: 1}), Begun: true}, false},
		"done":           {earlierProgress{Next: 1, Occurrences: one(Task{Phase: Done, Run: 1}, Task{}), Begun: true}, true},
		"failed once":    {earlierProgress{Next: 1, Occurrences: one(Task{Run: 1, Failures: 1}), Begun: true}, true},
		"saved":          {earlierProgress{Next: 1, Occurrences: one(Task{Run: 1, Checkpoint: "c"}), Begun: true}, true},
		"one time ended": {earlierProgress{Next: 2, Occurrences: one(Task{}), Begun: true}, true},
		"completed":      {earlierProgress{Outcome: Completed, Next: 1, Begun: true}, true},
		"moved":          {earlierProgress{Outcome: Moved, Next: 1, Begun: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := cbor.Marshal(&c.stored)
			is.NoErr(err)
			p, err := DecodeProgress(data)
			is.NoErr(err)
			is.Equal(p.Begun, c.begun)
		})
	}
}

// Guards against begun jobs that an earlier build, after a return to it, counts as waiting.
func TestEarlierBuildsReadBegun(t *testing.T) {
	for _, begun := range []bool{false, true} {
		is := is.New(t)
		data, err := EncodeProgress(&Progress{Next: 1, Begun: begun, Occurrences: []*Occurrence{{Steps: [][]Task{{{}}}}}})
		is.NoErr(err)
		var earlier earlierProgress
		is.NoErr(cbor.Unmarshal(data, &earlier))
		is.Equal(earlier.Begun, begun)
		p, err := DecodeProgress(data)
		is.NoErr(err)
		is.Equal(p.Begun, begun)
	}
}
