package claims

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"waxwingslip.example/core/claim"
)

// Membership tells a Changer about the zone's members by log order. Its methods are safe for concurrent use.
type Membership interface {
	// Live returns the members that should grant claims, none while they are not known for certain.
	Live() []string
	// Proposer returns the live member that proposes views. Racing proposals are safe, because the log decides.
	Proposer() string
	// Stopped returns those of the given members that cannot grant any more: they have left gracefully, or this
	// daemon read their last heartbeat more than claim.Authority ago (with 1% for clock drift) and has since
	// read the log to its end.
	Stopped(members []string) []string
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Propose appends a ClaimView record. The record may be read back after it has returned.
	Propose(ctx context.Context, view claim.View) error
}

// Changer keeps the view of the zone equal to its live members.
type Changer struct {
	voters      *Voters
	peers       Peers
	members     Membership
	sealedViews <-chan int64
	checkEvery  time.Duration
	settleAfter time.Duration
	// takeOverAfter is how long a view may be due until other members than the proposer propose it as well.
	takeOverAfter time.Duration

	// The fields below belong to Run.
	// sealed is the newest view that a member said was sealed, dueSince when the next view became due.
	sealed   int64
	dueSince time.Time
}

// NewChanger returns a changer that works with the coordinator's voters and peers.
func NewChanger(c *Coordinator, members Membership) *Changer {
	return &Changer{voters: c.voters, peers: c.peers, members: members, sealedViews: c.sealedViews,
		checkEvery: time.Second, settleAfter: 2 * time.Second, takeOverAfter: 5 * time.Second}
}

// Run changes the view when needed, until ctx is done. onError is called for each change that failed.
func (ch *Changer) Run(ctx context.Context, onError func(error)) {
	ticker := time.NewTicker(ch.checkEvery)
	defer ticker.Stop()
	for {
		changed := ch.members.Changed()
		if ch.mustPropose() {
			old := ch.voters.Current().View().Number
			proposed, err := ch.change(ctx)
			if err != nil && ctx.Err() == nil {
				onError(err)
			}
			if proposed && !ch.awaitView(ctx, old) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			// A change may come right after the check; the ticker then retries.
		case view := <-ch.sealedViews:
			ch.sealed = max(ch.sealed, view)
		case <-ticker.C:
		}
	}
}

// mustPropose reports whether a new view is needed and this daemon is to propose it. The members of a sealed view
// grant nothing, so it needs a successor even if its proposer died and nothing else has changed.
func (ch *Changer) mustPropose() bool {
	live, voter := ch.live(), ch.voters.Current()
	view := voter.View()
	if !slices.Contains(live, voter.member) || !ch.isSealed(voter) && slices.Equal(live, sorted(view.Members)) {
		ch.dueSince = time.Time{}
		return false
	}
	if ch.dueSince.IsZero() {
		ch.dueSince = time.Now()
	}
	return ch.members.Proposer() == voter.member || time.Since(ch.dueSince) >= ch.takeOverAfter
}

func (ch *Changer) live() []string { return sorted(ch.members.Live()) }

func sorted(s []string) []string { return slices.Sorted(slices.Values(s)) }

func (ch *Changer) isSealed(v *Voter) bool {
	number := v.View().Number
	return v.Sealed() || number > 0 && ch.sealed >= number
}

// awaitView waits for the proposed view to be read, so that the same change is not proposed again meanwhile.
func (ch *Changer) awaitView(ctx context.Context, old int64) bool {
	deadline := time.Now().Add(ch.settleAfter)
	for ch.voters.Current().View().Number == old && time.Now().Before(deadline) {
		if !pause(ctx, 20*time.Millisecond) {
			return false
		}
	}
	return ctx.Err() == nil
}

// change runs one change of the view and reports whether it proposed one.
func (ch *Changer) change(ctx context.Context) (proposed bool, err error) {
	voter := ch.voters.Current()
	old := voter.View()
	members := ch.reachable(ctx, old.Number+1)
	if slices.Equal(members, sorted(old.Members)) && !ch.isSealed(voter) {
		return false, nil
	}
	change, err := claim.NewChange(old, members)
	if err != nil {
		return false, err
	}
	if err := ch.seal(ctx, old, change); err != nil {
		return false, err
	}
	if ready, _ := change.Ready(); !ready {
		for _, member := range ch.members.Stopped(old.Members) {
			change.Stopped(member)
		}
	}
	pages, err := change.Prepare(voter.clock())
	if err != nil {
		return false, err
	}
	if err := ch.install(ctx, change, pages); err != nil {
		return false, err
	}
	view, err := change.View()
	if err != nil {
		return false, err
	}
	return true, errors.Wrapf(ch.members.Propose(ctx, view), "propose claim view %d", view.Number)
}

// reachable returns the live members that answer. A member that is alive by the log but does not answer must be
// left out: its install would fail after the old view was sealed, and nothing would grant until it is expired.
func (ch *Changer) reachable(ctx context.Context, view int64) []string {
	live := ch.live()
	answered := make([]bool, len(live))
	var wait sync.WaitGroup
	for i, member := range live {
		wait.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// An empty page has no effect.
			_, err := ch.peers.Install(callCtx, member, claim.InstallRequest{View: view})
			answered[i] = err == nil
		})
	}
	wait.Wait()
	var members []string
	for i, member := range live {
		if answered[i] {
			members = append(members, member)
		}
	}
	return members
}

// seal seals the old view at all members that can be reached. mu guards change.
func (ch *Changer) seal(ctx context.Context, old claim.View, change *claim.Change) error {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var failed error
	for _, member := range old.Members {
		wait.Go(func() {
			if err := ch.sealMember(ctx, old, change, member, &mu); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = err
			}
		})
	}
	wait.Wait()
	return failed
}

// sealMember fetches all pages of one member. A member that cannot be asked is not sealed, which is no error.
func (ch *Changer) sealMember(ctx context.Context, old claim.View, change *claim.Change, member string,
	mu *sync.Mutex) error {
	for from := 0; ; {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		a, err := ch.peers.Seal(callCtx, member, claim.SealRequest{View: old.Number, From: from})
		cancel()
		if err != nil {
			return nil
		}
		mu.Lock()
		err = change.Sealed(member, a)
		mu.Unlock()
		if err != nil || a.Next <= from || !a.Sealed {
			return err
		}
		from = a.Next
	}
}

// install gives the claims to all members of the next view, one after the other.
func (ch *Changer) install(ctx context.Context, change *claim.Change, pages []claim.InstallRequest) error {
	for _, member := range change.Members() {
		for _, page := range pages {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			a, err := ch.peers.Install(callCtx, member, page)
			cancel()
			if err != nil {
				return errors.Wrapf(err, "install claims at member %s", member)
			}
			if !a.Installed {
				return errors.Errorf("install claims at member %s: no memory", member)
			}
		}
		change.Installed(member)
	}
	return nil
}
