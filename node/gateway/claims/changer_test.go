package claims

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"waxwingslip.example/core/claim"
)

// Guards against a zone that grants nothing while a member that is alive by the log cannot be reached by its peers.
func TestUnreachableMemberIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.close()
		a := z.join("a")
		z.join("b")
		time.Sleep(10 * time.Second) // fake time
		z.mu.Lock()
		z.live = append(z.live, "c") // joined by log order; no call reaches it
		z.cut["c"] = true
		z.notify()
		z.mu.Unlock()
		time.Sleep(10 * time.Second)
		is.Equal(z.current().Members, []string{"a", "b"})
		is.Equal(z.current().Number <= 2, true)
		is.Equal(a.Claim(t.Context(), newKey()).Kind, Won)
		a.Wait()
	})
}

// Guards against a zone that grants nothing for ever when the proposer died after it had sealed the view, and the
// members of the zone are the same as before.
func TestSealedViewIsReplacedUnasked(t *testing.T) {
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

// Guards against a daemon whose new membership grants a key that its former one has granted, and against claims
// that are lost because the former membership does not hand them over.
func TestRejoinedDaemonHandsOverItsClaims(t *testing.T) {
	is := is.New(t)
	clock := func() claim.Now { return claim.Now{Monotonic: time.Hour, UnixMs: time.Now().UnixMilli()} }
	v := NewVoters(claim.DefaultLimits(), clock)
	v.Rejoin("a/1")
	v.Current().ConfirmHeartbeat(time.Hour)
	v.Current().Install(claim.InstallRequest{View: 1, Last: true})
	v.ReadView(claim.View{Number: 1, Members: []string{"a/1"}})
	grant := claim.GrantRequest{View: 1, Key: newKey(), Attempt: claim.Attempt{1}}
	is.Equal(v.Current().Grant(grant).Verdict, claim.Granted)
	v.Rejoin("a/2")
	is.Equal(v.Current().Member(), "a/2")
	is.Equal(v.Of("a/1").Grant(grant).Verdict, claim.NoAuthority)
	is.Equal(v.Current().Grant(grant).Verdict, claim.NoAuthority)
	handed := v.Of("a/1").Seal(claim.SealRequest{View: 1})
	is.Equal(len(handed.Entries), 1)
	v.ReadView(claim.View{Number: 2, Members: []string{"a/2"}})
	is.True(v.Of("a/1") == nil)
}
