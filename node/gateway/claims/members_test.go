package claims

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"waxwingslip.example/core/claim"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
)

// Guards against a fresh view while a member that is only silent may still grant, and against a voter that misses
// a view.
func TestStoppedMembers(t *testing.T) {
	is := is.New(t)
	state := &zone.State{
		Members: map[string]*zone.Member{"here": {}},
		View:    record.ClaimView{Number: 4, Members: []string{"expired", "here", "left"}},
		Left:    map[string]zone.Departure{"expired": {}, "left": {Graceful: true}},
	}
	now, current := time.Duration(0), true
	voter := NewVoter("here", claim.DefaultLimits(), SystemClock())
	z := NewZoneMembers(voter, ZoneMembersOptions{View: func(f func(*zone.State)) { f(state) },
		Current: func() bool { return current }, Now: func() time.Duration { return now }})
	changed := z.Changed()
	z.Update()
	<-changed
	is.Equal(voter.View().Number, int64(4))
	is.Equal(z.Live(), []string{"here"})
	is.Equal(z.Stopped(state.View.Members), []string{"left"})
	now = 75 * time.Minute
	z.Update()
	is.Equal(z.Stopped(state.View.Members), []string{"left"})
	now = 76 * time.Minute
	is.Equal(z.Stopped(state.View.Members), []string{"expired", "left"})
	current = false
	is.Equal(z.Stopped(state.View.Members), []string{"left"})
}
