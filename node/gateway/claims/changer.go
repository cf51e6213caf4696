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
	// Live returns the members that should grant claims.
	Live() []string
	// Stopped returns those of the given members that cannot grant any more: they have left gracefully, or this
	// daemon read their last heartbeat more than claim.Authority ago (with 1% for clock drift) and has since
	// read the log to its end.
	Stopped(members []string) []string
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Propose appends a ClaimView record. It returns before the record is read back.
	Propose(ctx context.Context, view claim.View) error
}

// Changer keeps the view of the zone equal to its live members.
type Changer struct {
	voter       *Voter
	peers       Peers
	members     Membership
	needView    <-chan struct{}
	checkEvery  time.Duration
	settleAfter time.Duration
	// sealedView is the view that was reported as sealed at sealedAt; used by Run only.
	sealedView int64
	sealedAt   time.Time
}

// NewChanger returns a changer that works with the coordinator's voter and peers.
func NewChanger(c *Coordinator, members Membership) *Changer {
	return &Changer{voter: c.voter, peers: c.peers, members: members, needView: c.needView,
		checkEvery: time.Second, settleAfter: 2 * time.Second}
}

// Run changes the view when needed, until ctx is done. onError is called for each change that failed.
func (ch *Changer) Run(ctx context.Context, onError func(error)) {
	ticker := time.NewTicker(ch.checkEvery)
	defer ticker.Stop()
	for {
		changed := ch.members.Changed()
		if ch.mustPropose() {
			if err := ch.change(ctx); err != nil && ctx.Err() == nil {
				onError(err)
			} else if !ch.awaitView(ctx, ch.voter.View().Number) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			// A change may come right after the check; the ticker then retries.
		case <-ch.needView:
			if number := ch.voter.View().Number; ch.sealedView != number {
				ch.sealedView, ch.sealedAt = number, time.Now()
			}
		case <-ticker.C:
		}
	}
}

// sealedPatience is how long other members wait for the first one to replace a sealed view: the first one may not
// have heard that it is sealed.
const sealedPatience = 3 * time.Second

// mustPropose reports whether a new view is needed and this daemon is the one that proposes it: the first of the
// live members. Racing proposals are safe, because the log decides.
func (ch *Changer) mustPropose() bool {
	view := ch.voter.View()
	live := slices.Sorted(slices.Values(ch.members.Live()))
	if !slices.Contains(live, ch.voter.member) {
		return false
	}
	sealed := ch.sealedView != 0 && ch.sealedView == view.Number
	if live[0] == ch.voter.member {
		return sealed || !slices.Equal(live, slices.Sorted(slices.Values(view.Members)))
	}
	return sealed && time.Since(ch.sealedAt) > sealedPatience
}

// awaitView waits for the proposed view to be read, so that the same change is not proposed again meanwhile.
func (ch *Changer) awaitView(ctx context.Context, old int64) bool {
	deadline := time.Now().Add(ch.settleAfter)
	for ch.voter.View().Number == old && time.Now().Before(deadline) {
		if !pause(ctx, 20*time.Millisecond) {
			return false
		}
	}
	return ctx.Err() == nil
}

// change runs one change of the view.
func (ch *Changer) change(ctx context.Context) error {
	old := ch.voter.View()
	change, err := claim.NewChange(old, ch.members.Live())
	if err != nil {
		return err
	}
	if err := ch.seal(ctx, old, change); err != nil {
		return err
	}
	if ready, _ := change.Ready(); !ready {
		for _, member := range ch.members.Stopped(old.Members) {
			change.Stopped(member)
		}
	}
	pages, err := change.Prepare(ch.voter.clock())
	if err != nil {
		return err
	}
	if err := ch.install(ctx, change, pages); err != nil {
		return err
	}
	view, err := change.View()
	if err != nil {
		return err
	}
	return errors.Wrapf(ch.members.Propose(ctx, view), "propose claim view %d", view.Number)
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
