package claims

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"waxwingslip.example/core/claim"
)

// zone simulates a zone's log and its daemons in one process. It implements Membership and Peers.
type zone struct {
	t           *testing.T
	mu          sync.Mutex
	voters      map[string]*Voter
	unreachable map[string]bool
	live        []string
	stopped     []string
	view        claim.View
	changed     chan struct{}
	stop        map[string]context.CancelFunc
	wait        sync.WaitGroup
}

func newZone(t *testing.T) *zone {
	return &zone{t: t, voters: map[string]*Voter{}, unreachable: map[string]bool{}, changed: make(chan struct{}),
		stop: map[string]context.CancelFunc{}}
}

// join starts a daemon with a ViewChanger.
func (z *zone) join(name string) *Coordinator {
	v := NewVoter(name, claim.DefaultLimits(), SystemClock())
	v.ConfirmHeartbeat(0)
	c := NewCoordinator(v, z)
	ctx, cancel := context.WithCancel(context.Background())
	z.mu.Lock()
	z.voters[name], z.stop[name] = v, cancel
	z.live = append(z.live, name)
	v.ApplyView(z.view)
	z.notify()
	z.mu.Unlock()
	z.wait.Go(func() { NewViewChanger(c, z).Run(ctx, func(err error) { z.t.Log(err) }) })
	return c
}

// kill stops a daemon, makes it unreachable and removes it from the live members.
func (z *zone) kill(name string, graceful bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.stop[name]()
	if graceful {
		z.voters[name].Stop()
		z.stopped = append(z.stopped, name)
	}
	z.unreachable[name] = true
	z.live = slices.DeleteFunc(z.live, func(s string) bool { return s == name })
	z.notify()
}

func (z *zone) close() {
	for _, stop := range z.stop {
		stop()
	}
	z.wait.Wait()
}

func (z *zone) notify() {
	close(z.changed)
	z.changed = make(chan struct{})
}

func (z *zone) Live() []string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return slices.Clone(z.live)
}

func (z *zone) Proposer() string {
	if live := slices.Sorted(slices.Values(z.Live())); len(live) > 0 {
		return live[0]
	}
	return ""
}

func (z *zone) Stopped([]string) []string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return slices.Clone(z.stopped)
}

func (z *zone) Changed() <-chan struct{} {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.changed
}

func (z *zone) Propose(_ context.Context, view claim.View) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	if view.Number != z.view.Number+1 {
		return errors.New("not the next view")
	}
	z.view = view
	for name, v := range z.voters {
		if !z.unreachable[name] {
			v.ApplyView(view)
		}
	}
	return nil
}

// reachableVoter returns the voter of a member, or an error if the member is unreachable.
func (z *zone) reachableVoter(member string) (*Voter, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.unreachable[member] {
		return nil, errors.Errorf("member %s is unreachable", member)
	}
	return z.voters[member], nil
}

func callVoter[Resp any](z *zone, member string, f func(*Voter) Resp) (resp Resp, err error) {
	v, err := z.reachableVoter(member)
	if err == nil {
		resp = f(v)
	}
	return resp, err
}

func (z *zone) Grant(_ context.Context, m string, r claim.GrantRequest) (claim.GrantResponse, error) {
	return callVoter(z, m, func(v *Voter) claim.GrantResponse { return v.Grant(r) })
}

func (z *zone) Withdraw(_ context.Context, m string, r claim.WithdrawRequest) error {
	_, err := callVoter(z, m, func(v *Voter) bool { v.Withdraw(r); return true })
	return err
}

func (z *zone) Finish(_ context.Context, m string, r claim.FinishRequest) error {
	_, err := callVoter(z, m, func(v *Voter) bool { v.Finish(r); return true })
	return err
}

func (z *zone) Lookup(_ context.Context, m string, r claim.LookupRequest) (claim.LookupResponse, error) {
	return callVoter(z, m, func(v *Voter) claim.LookupResponse { return v.Lookup(r) })
}

func (z *zone) Seal(_ context.Context, m string, r claim.SealRequest) (claim.SealResponse, error) {
	return callVoter(z, m, func(v *Voter) claim.SealResponse { return v.Seal(r) })
}

func (z *zone) Install(_ context.Context, m string, r claim.InstallRequest) (claim.InstallResponse, error) {
	return callVoter(z, m, func(v *Voter) claim.InstallResponse { return v.Install(r) })
}

// newKey returns a key with the time of the bubble's clock. uuid.NewV7 cannot be used: it never goes back in time, but
// each bubble starts at the same time.
func newKey() claim.Key {
	id := uuid.New()
	ms := time.Now().UnixMilli()
	for i := range 6 {
		id[5-i] = byte(ms >> (8 * i))
	}
	id[6] = 0x70 | id[6]&0x0f
	return claim.Key(id)
}

func (z *zone) current() claim.View {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.view
}

// Guards against claims that are lost when members fail or join, and against a zone whose view stays unusable.
func TestClaimsSurviveMemberChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.close()
		a, b, c := z.join("a"), z.join("b"), z.join("c")
		time.Sleep(10 * time.Second) // fake time
		is.Equal(len(z.current().Members), 3)
		held, done := newKey(), newKey()
		is.Equal(a.Claim(t.Context(), held).Kind, Won)
		won := a.Claim(t.Context(), done)
		is.Equal(won.Kind, Won)
		a.Finish(claim.Entry{Key: done, Attempt: won.Attempt, Outcome: claim.OutcomeAnswered, Status: 201})
		a.Wait()
		z.kill("a", false)
		time.Sleep(10 * time.Second)
		is.Equal(len(z.current().Members), 2)
		is.True(!z.current().Fresh)
		d := z.join("d")
		time.Sleep(10 * time.Second)
		z.kill("b", false)
		time.Sleep(10 * time.Second)
		is.Equal(z.current().Members, []string{"c", "d"})
		for _, coordinator := range []*Coordinator{c, d} {
			result := coordinator.Claim(t.Context(), done)
			is.Equal(result.Kind, Finished)
			is.Equal(result.Entry.Status, 201)
			is.Equal(coordinator.Claim(t.Context(), held).Kind, Undecided)
			is.Equal(coordinator.Claim(t.Context(), newKey()).Kind, Won)
		}
		b.Wait()
		c.Wait()
		d.Wait()
	})
}

// Guards against a zone that grants no claims any more after a proposer sealed the view and failed.
func TestSealedViewIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.close()
		_, b, c := z.join("a"), z.join("b"), z.join("c")
		time.Sleep(10 * time.Second)
		sealed := z.current().Number
		for _, member := range []string{"b", "c"} {
			resp, err := z.Seal(t.Context(), member, claim.SealRequest{View: sealed})
			is.NoErr(err)
			is.True(resp.Sealed)
		}
		is.Equal(c.Claim(t.Context(), newKey()).Kind, Undecided) // only c learns that the view is sealed
		time.Sleep(10 * time.Second)
		is.Equal(z.current().Number, sealed+1)
		is.Equal(b.Claim(t.Context(), newKey()).Kind, Won)
		b.Wait()
		c.Wait()
	})
}

// Guards against running the keys of a lost view again, and against a zone that never grants again after all members
// of its view have left.
func TestFreshViewRefusesEarlierKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.close()
		a := z.join("a")
		time.Sleep(10 * time.Second)
		key := newKey()
		is.Equal(a.Claim(t.Context(), key).Kind, Won)
		a.Wait()
		z.kill("a", true)
		b := z.join("b")
		time.Sleep(10 * time.Second)
		is.True(z.current().Fresh)
		is.Equal(b.Claim(t.Context(), key).Reason, ErrKeyTooOld)
		time.Sleep(2 * time.Minute)
		is.Equal(b.Claim(t.Context(), newKey()).Kind, Won)
		b.Wait()
	})
}

// Guards against racing attempts that block each other forever, and against two winners.
func TestRacingAttemptsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.close()
		coordinators := []*Coordinator{z.join("a"), z.join("b"), z.join("c"), z.join("d")}
		time.Sleep(10 * time.Second)
		for i := range 20 {
			key := newKey()
			kinds := make(chan Kind, len(coordinators))
			for _, c := range coordinators {
				go func() {
					result := c.Claim(t.Context(), key)
					if result.Kind == Won {
						c.Finish(claim.Entry{Key: key, Attempt: result.Attempt, Outcome: claim.OutcomeNotRun})
					}
					kinds <- result.Kind
				}()
			}
			count := map[Kind]int{}
			for range coordinators {
				count[<-kinds]++
			}
			is.Equal(fmt.Sprint(i, count), fmt.Sprint(i, map[Kind]int{Won: 1, Finished: 3}))
		}
		for _, c := range coordinators {
			c.Wait()
		}
	})
}
