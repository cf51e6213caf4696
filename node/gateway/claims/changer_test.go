package claims

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"waxwingslip.example/core/claim"
)

// Guards against a zone that grants nothing while a member that is live according to the log is unreachable.
func TestUnreachableMemberIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.close()
		a := z.join("a")
		z.join("b")
		time.Sleep(10 * time.Second) // fake time
		z.mu.Lock()
		z.live = append(z.live, "c") // joined according to the log, but no call reaches it
		z.unreachable["c"] = true
		z.notify()
		z.mu.Unlock()
		time.Sleep(10 * time.Second)
		is.Equal(z.current().Members, []string{"a", "b"})
		is.Equal(z.current().Number <= 2, true)
		is.Equal(a.Claim(t.Context(), newKey()).Kind, Won)
		a.Wait()
	})
}

// Guards against a zone that never grants again when the proposer failed after it had sealed the view, and the members
// of the zone are the same as before.
func TestSealedViewIsReplacedWithoutMemberChange(t *testing.T) {
	for _, sealed := range []string{"a", "c"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			z := newZone(t)
			defer z.close()
			a := z.join("a")
			z.join("b")
			z.join("c")
			time.Sleep(10 * time.Second)
			key := newKey()
			is.Equal(a.Claim(t.Context(), key).Kind, Won)
			before := z.current().Number
			_, err := z.Seal(context.Background(), sealed, claim.SealRequest{View: before})
			is.NoErr(err)
			time.Sleep(10 * time.Second)
			is.Equal(z.current().Number, before+1)
			is.True(!z.current().Fresh)
			is.Equal(a.Claim(t.Context(), newKey()).Kind, Won)
			is.Equal(a.Claim(t.Context(), key).Kind, Undecided)
			a.Wait()
		})
	}
}

// Guards against a daemon whose new membership grants a key that its former one has granted, and against claims that
// are lost because the former membership does not hand them over.
func TestRejoinedDaemonHandsOverItsClaims(t *testing.T) {
	is := is.New(t)
	clock := func() claim.ClockReading {
		return claim.ClockReading{Monotonic: time.Hour, UnixMs: time.Now().UnixMilli()}
	}
	voters := NewVoters(claim.DefaultLimits(), clock)
	voters.Rejoin("a/1")
	voters.Current().ConfirmHeartbeat(time.Hour)
	voters.Current().Install(claim.InstallRequest{View: 1, Last: true})
	voters.ApplyView(claim.View{Number: 1, Members: []string{"a/1"}})
	grant := claim.GrantRequest{View: 1, Key: newKey(), Attempt: claim.Attempt{1}}
	is.Equal(voters.Current().Grant(grant).Verdict, claim.Granted)
	voters.Rejoin("a/2")
	is.Equal(voters.Current().Member(), "a/2")
	is.Equal(voters.ForMember("a/1").Grant(grant).Verdict, claim.NoAuthority)
	is.Equal(voters.Current().Grant(grant).Verdict, claim.NoAuthority)
	handed := voters.ForMember("a/1").Seal(claim.SealRequest{View: 1})
	is.Equal(len(handed.Entries), 1)
	voters.ApplyView(claim.View{Number: 2, Members: []string{"a/2"}})
	is.True(voters.ForMember("a/1") == nil)
}
