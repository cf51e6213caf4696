package claimview

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/record"
	"waxwingslip.example/node/gateway/claims"
)

// settleTime is longer than any change of the view takes; it passes in fake time.
const settleTime = 20 * time.Second

// runSimulation runs a test with a testZone in a bubble with fake time.
func runSimulation(t *testing.T, f func(is *is.I, z *testZone)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		z := newTestZone(t)
		defer z.close()
		f(is.New(t), z)
	})
}

// Guards against a first view that lacks some of the daemons that join at the same time, and against a key that is
// granted to two daemons.
func TestDaemonsThatJoinAtOnceShareOneView(t *testing.T) {
	runSimulation(t, func(is *is.I, z *testZone) {
		a, b, c := z.run("a"), z.run("b"), z.run("c")
		time.Sleep(settleTime)
		is.Equal(z.view().Members, []string{a.member, b.member, c.member})
		is.True(!z.view().Fresh)
		key := newKey()
		is.Equal(a.claim(key).Kind, claims.Won)
		is.Equal(b.claim(key).Kind, claims.Undecided)
		is.Equal(c.claim(newKey()).Kind, claims.Won)
	})
}

// Guards against claims that are lost when members fail, and against a restarted daemon that grants a key without the
// claims from before its start.
func TestRestartedMemberCopiesClaims(t *testing.T) {
	runSimulation(t, func(is *is.I, z *testZone) {
		a, b, c := z.run("a"), z.run("b"), z.run("c")
		time.Sleep(settleTime)
		key := newKey()
		is.Equal(a.claim(key).Kind, claims.Won)
		z.kill(a)
		time.Sleep(settleTime)
		is.Equal(z.view().Members, []string{b.member, c.member})
		a = z.run("a")
		time.Sleep(settleTime)
		z.kill(b)
		time.Sleep(settleTime)
		z.kill(c)
		time.Sleep(settleTime)
		is.Equal(z.view().Members, []string{a.member})
		is.True(!z.view().Fresh)
		is.Equal(a.claim(key).Kind, claims.Undecided)
		is.Equal(a.claim(newKey()).Kind, claims.Won)
	})
}

// Guards against a zone that never grants again after a proposer failed between sealing the view and appending its
// record.
func TestProposerDiesAfterSeal(t *testing.T) {
	runSimulation(t, func(is *is.I, z *testZone) {
		daemons := []*daemon{z.run("a"), z.run("b"), z.run("c")}
		time.Sleep(settleTime)
		key := newKey()
		is.Equal(daemons[0].claim(key).Kind, claims.Won)
		before := z.view().Number
		proposer := ""
		z.setOnProposal(func(*record.ClaimView) bool {
			z.setOnProposal(nil)
			z.mu.Lock()
			proposer = z.state.ResponsibleMember(viewDuty)
			d := z.daemons[daemonName(proposer)]
			z.mu.Unlock()
			z.disconnect(d)
			return false
		})
		daemons = append(daemons, z.run("d"))
		time.Sleep(6 * time.Second)
		synctest.Wait()
		z.expire(proposer)
		time.Sleep(settleTime)
		is.True(z.view().Number > before)
		is.Equal(len(z.view().Members), 3)
		is.True(!z.view().Fresh)
		for _, d := range daemons {
			if d.member != proposer {
				is.Equal(d.claim(newKey()).Kind, claims.Won)
				is.Equal(d.claim(key).Kind, claims.Undecided)
			}
		}
	})
}

// Guards against a claim that is granted while the view is sealed and the log is unavailable, and against a zone that
// grants nothing afterwards.
func TestLogIsDownWhileSealed(t *testing.T) {
	runSimulation(t, func(is *is.I, z *testZone) {
		a, b, c := z.run("a"), z.run("b"), z.run("c")
		time.Sleep(settleTime)
		key := newKey()
		is.Equal(a.claim(key).Kind, claims.Won)
		z.setOnProposal(func(*record.ClaimView) bool { z.setLogDown(true); return true })
		z.kill(c)
		time.Sleep(settleTime)
		started := time.Now()
		refused := b.claim(newKey())
		is.Equal(refused.Kind, claims.Undecided)
		is.Equal(refused.Reason, claims.ErrNoMajority)
		is.True(time.Since(started) < 3*time.Second)
		time.Sleep(5 * time.Minute)
		z.setOnProposal(nil)
		z.setLogDown(false)
		time.Sleep(settleTime)
		is.Equal(z.view().Members, []string{a.member, b.member})
		is.Equal(b.claim(newKey()).Kind, claims.Won)
		is.Equal(b.claim(key).Kind, claims.Undecided)
	})
}

// Guards against a daemon that was expired by mistake and, as a new member, lacks the claims that it granted before,
// and against its former membership still granting.
func TestExpiredDaemonRejoins(t *testing.T) {
	runSimulation(t, func(is *is.I, z *testZone) {
		a := z.run("a")
		time.Sleep(settleTime)
		key, former := newKey(), a.member
		is.Equal(a.claim(key).Kind, claims.Won)
		z.expire(former)
		a.SetMember("")
		is.Equal(a.claim(newKey()).Kind, claims.Undecided)
		a.join()
		time.Sleep(settleTime)
		is.Equal(z.view().Members, []string{a.member})
		is.True(!z.view().Fresh)
		is.Equal(a.claim(key).Kind, claims.Undecided)
		is.Equal(a.claim(newKey()).Kind, claims.Won)
		is.True(a.voters.ForMember(former) == nil)
	})
}

// Guards against a fresh view while an unreachable member may still grant, and against a zone that never gets one.
func TestFreshViewWaitsForAuthorityToExpire(t *testing.T) {
	runSimulation(t, func(is *is.I, z *testZone) {
		a := z.run("a")
		time.Sleep(settleTime)
		key := newKey()
		is.Equal(a.claim(key).Kind, claims.Won)
		z.kill(a)
		b := z.run("b")
		time.Sleep(75 * time.Minute)
		is.Equal(z.view().Members, []string{a.member})
		is.Equal(b.claim(newKey()).Kind, claims.Undecided)
		time.Sleep(5 * time.Minute)
		is.Equal(z.view().Members, []string{b.member})
		is.True(z.view().Fresh)
		b.ConfirmHeartbeat(b.member, time.Since(z.start))
		is.Equal(b.claim(key).Reason, claims.ErrKeyTooOld)
	})
}

// Guards against a zone that waits until the authority of a member expires although it has left gracefully.
func TestGracefulLeave(t *testing.T) {
	runSimulation(t, func(is *is.I, z *testZone) {
		a := z.run("a")
		time.Sleep(settleTime)
		key := newKey()
		is.Equal(a.claim(key).Kind, claims.Won)
		a.Stop()
		is.Equal(a.claim(newKey()).Kind, claims.Undecided)
		z.apply(&record.Leave{Member: a.member})
		z.disconnect(a)
		b := z.run("b")
		time.Sleep(settleTime)
		is.Equal(z.view().Members, []string{b.member})
		is.Equal(b.claim(key).Reason, claims.ErrKeyTooOld)
		time.Sleep(2 * time.Minute)
		is.Equal(b.claim(newKey()).Kind, claims.Won)
	})
}
