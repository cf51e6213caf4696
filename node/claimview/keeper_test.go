package claimview

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/record"
	"waxwingslip.example/node/gateway/claims"
)

// settle is longer than any change of the view takes; it passes in fake time.
const settle = 20 * time.Second

// simulate runs a test with a world in a bubble with fake time.
func simulate(t *testing.T, f func(is *is.I, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		f(is.New(t), w)
	})
}

// Guards against a first view that misses daemons which join at the same time, and against a key that two daemons
// both run.
func TestDaemonsThatJoinAtOnceShareOneView(t *testing.T) {
	simulate(t, func(is *is.I, w *world) {
		a, b, c := w.run("a"), w.run("b"), w.run("c")
		time.Sleep(settle)
		is.Equal(w.view().Members, []string{a.member, b.member, c.member})
		is.True(!w.view().Fresh)
		key := newKey()
		is.Equal(a.claim(key).Kind, claims.Won)
		is.Equal(b.claim(key).Kind, claims.Undecided)
		is.Equal(c.claim(newKey()).Kind, claims.Won)
	})
}

// Guards against claims that are lost when members die, and against a restarted daemon that grants a key without
// knowing the claims from before its start.
func TestRestartedMemberCopiesClaims(t *testing.T) {
	simulate(t, func(is *is.I, w *world) {
		a, b, c := w.run("a"), w.run("b"), w.run("c")
		time.Sleep(settle)
		key := newKey()
		is.Equal(a.claim(key).Kind, claims.Won)
		w.kill(a)
		time.Sleep(settle)
		is.Equal(w.view().Members, []string{b.member, c.member})
		a = w.run("a")
		time.Sleep(settle)
		w.kill(b)
		time.Sleep(settle)
		w.kill(c)
		time.Sleep(settle)
		is.Equal(w.view().Members, []string{a.member})
		is.True(!w.view().Fresh)
		is.Equal(a.claim(key).Kind, claims.Undecided)
		is.Equal(a.claim(newKey()).Kind, claims.Won)
	})
}

// Guards against a zone that grants nothing any more after a proposer died between the seal and the record.
func TestProposerDiesAfterSeal(t *testing.T) {
	simulate(t, func(is *is.I, w *world) {
		daemons := []*daemon{w.run("a"), w.run("b"), w.run("c")}
		time.Sleep(settle)
		key := newKey()
		is.Equal(daemons[0].claim(key).Kind, claims.Won)
		before := w.view().Number
		proposer := ""
		w.intercept(func(*record.ClaimView) bool {
			w.intercept(nil)
			w.mu.Lock()
			proposer = w.state.Responsible(duty)
			d := w.daemons[daemonOf(proposer)]
			w.mu.Unlock()
			w.sever(d)
			return false
		})
		daemons = append(daemons, w.run("d"))
		time.Sleep(6 * time.Second)
		synctest.Wait()
		w.expire(proposer)
		time.Sleep(settle)
		is.True(w.view().Number > before)
		is.Equal(len(w.view().Members), 3)
		is.True(!w.view().Fresh)
		for _, d := range daemons {
			if d.member != proposer {
				is.Equal(d.claim(newKey()).Kind, claims.Won)
				is.Equal(d.claim(key).Kind, claims.Undecided)
			}
		}
	})
}

// Guards against a claim that is granted while the view is sealed and the log is down, and against a zone that stays
// without claims afterwards.
func TestLogIsDownWhileSealed(t *testing.T) {
	simulate(t, func(is *is.I, w *world) {
		a, b, c := w.run("a"), w.run("b"), w.run("c")
		time.Sleep(settle)
		key := newKey()
		is.Equal(a.claim(key).Kind, claims.Won)
		w.intercept(func(*record.ClaimView) bool { w.setDown(true); return true })
		w.kill(c)
		time.Sleep(settle)
		started := time.Now()
		paused := b.claim(newKey())
		is.Equal(paused.Kind, claims.Undecided)
		is.Equal(paused.Reason, claims.ErrNoMajority)
		is.True(time.Since(started) < 3*time.Second)
		time.Sleep(5 * time.Minute)
		w.intercept(nil)
		w.setDown(false)
		time.Sleep(settle)
		is.Equal(w.view().Members, []string{a.member, b.member})
		is.Equal(b.claim(newKey()).Kind, claims.Won)
		is.Equal(b.claim(key).Kind, claims.Undecided)
	})
}

// Guards against a daemon that was expired by mistake and forgets, as a new member, what it granted before; and
// against its former membership granting on.
func TestExpiredDaemonRejoins(t *testing.T) {
	simulate(t, func(is *is.I, w *world) {
		a := w.run("a")
		time.Sleep(settle)
		key, former := newKey(), a.member
		is.Equal(a.claim(key).Kind, claims.Won)
		w.expire(former)
		a.SetMember("")
		is.Equal(a.claim(newKey()).Kind, claims.Undecided)
		a.join()
		time.Sleep(settle)
		is.Equal(w.view().Members, []string{a.member})
		is.True(!w.view().Fresh)
		is.Equal(a.claim(key).Kind, claims.Undecided)
		is.Equal(a.claim(newKey()).Kind, claims.Won)
		is.True(a.voters.ForMember(former) == nil)
	})
}

// Guards against a fresh view while a silent member may still grant, and against a zone that never gets one.
func TestFreshViewWaitsForTheAuthority(t *testing.T) {
	simulate(t, func(is *is.I, w *world) {
		a := w.run("a")
		time.Sleep(settle)
		key := newKey()
		is.Equal(a.claim(key).Kind, claims.Won)
		w.kill(a)
		b := w.run("b")
		time.Sleep(75 * time.Minute)
		is.Equal(w.view().Members, []string{a.member})
		is.Equal(b.claim(newKey()).Kind, claims.Undecided)
		time.Sleep(5 * time.Minute)
		is.Equal(w.view().Members, []string{b.member})
		is.True(w.view().Fresh)
		b.Confirm(b.member, time.Since(w.start))
		is.Equal(b.claim(key).Reason, claims.ErrOld)
	})
}

// Guards against a zone that waits for the authority of a member that has left gracefully.
func TestGracefulLeave(t *testing.T) {
	simulate(t, func(is *is.I, w *world) {
		a := w.run("a")
		time.Sleep(settle)
		key := newKey()
		is.Equal(a.claim(key).Kind, claims.Won)
		a.Stop()
		is.Equal(a.claim(newKey()).Kind, claims.Undecided)
		w.apply(&record.Leave{Member: a.member})
		w.sever(a)
		b := w.run("b")
		time.Sleep(settle)
		is.Equal(w.view().Members, []string{b.member})
		is.Equal(b.claim(key).Reason, claims.ErrOld)
		time.Sleep(2 * time.Minute)
		is.Equal(b.claim(newKey()).Kind, claims.Won)
	})
}
