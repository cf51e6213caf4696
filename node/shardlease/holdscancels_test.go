package shardlease

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// Guards against daemons that don't learn from the owner's record that it holds cancellations of unknown jobs: they would not ask it
// about jobs that they accept.
func TestRecordTellsOfHeldCancels(t *testing.T) {
	for _, holds := range []bool{false, true} {
		is := is.New(t)
		m := New(Options{Now: func() time.Duration { return time.Hour }, HoldsCancels: func() bool { return holds }})
		value, err := m.encodeOwner(&Ownership{}, false)
		is.NoErr(err)
		var o Owner
		is.NoErr(cbor.Unmarshal(value, &o))
		is.Equal(o.HoldsCancels, holds)
	}
}
