package claims

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"waxwingslip.example/core/claim"
)

// Membership provides a ViewChanger with the zone's members as read from the log. Its methods are safe for concurrent
// use.
type Membership interface {
	// Live returns the members that should grant claims, or none while they are not known for certain.
	Live() []string
	// Proposer returns the live member that proposes views. Concurrent proposals are safe, because the log accepts one.
	Proposer() string
	// Stopped returns those of the given members that can no longer grant: they have left gracefully, or this
	// daemon read their last heartbeat more than claim.Authority ago (plus 1% for clock drift) and has since
	// read the log to its end.
	Stopped(members []string) []string
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Propose appends a ClaimView record. It may return before the record is read back.
	Propose(ctx context.Context, view claim.View) error
}

// ViewChanger keeps the members of the zone's claim view equal to the zone's live members.
type ViewChanger struct {
	voters        *Voters
	peers         Peers
	members       Membership
	sealedViews   <-chan int64
	checkInterval time.Duration
	// viewTimeout is how long a proposed view is awaited.
	viewTimeout time.Duration
	// takeOverDelay is how long a new view may be due before members other than the proposer propose it, too.
	takeOverDelay time.Duration

	// The fields below are used by Run only.
	// newestSealed is the newest view that a member reported as sealed, dueSince the time when a new view became due.
	newestSealed int64
	dueSince     time.Time
}

// NewViewChanger returns a ViewChanger that uses the coordinator's voters and peers.
func NewViewChanger(c *Coordinator, members Membership) *ViewChanger {
	return &ViewChanger{voters: c.voters, peers: c.peers, members: members, sealedViews: c.sealedViews,
		checkInterval: time.Second, viewTimeout: 2 * time.Second, takeOverDelay: 5 * time.Second}
}

// Run changes the view when necessary, until ctx is done. It calls onError for each change that failed.
func (ch *ViewChanger) Run(ctx context.Context, onError func(error)) {
	ticker := time.NewTicker(ch.checkInterval)
	defer ticker.Stop()
	for {
		changed := ch.members.Changed()
		if ch.shouldPropose() {
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
			// If a change follows right after the check, the ticker retries.
		case view := <-ch.sealedViews:
			ch.newestSealed = max(ch.newestSealed, view)
		case <-ticker.C:
		}
	}
}

// shouldPropose reports whether a new view is necessary and this daemon should propose it. The members of a sealed view
// grant nothing, so it needs a successor even if its proposer failed and nothing else has changed.
func (ch *ViewChanger) shouldPropose() bool {
	live, voter := ch.liveMembers(), ch.voters.Current()
	view := voter.View()
	if !slices.Contains(live, voter.member) || !ch.isSealed(voter) && slices.Equal(live, sorted(view.Members)) {
		ch.dueSince = time.Time{}
		return false
	}
	if ch.dueSince.IsZero() {
		ch.dueSince = time.Now()
	}
	return ch.members.Proposer() == voter.member || time.Since(ch.dueSince) >= ch.takeOverDelay
}

func (ch *ViewChanger) liveMembers() []string { return sorted(ch.members.Live()) }

func sorted(s []string) []string { return slices.Sorted(slices.Values(s)) }

func (ch *ViewChanger) isSealed(v *Voter) bool {
	number := v.View().Number
	return v.Sealed() || number > 0 && ch.newestSealed >= number
}

// awaitView waits until the proposed view is read, so that the same change is not proposed again meanwhile.
func (ch *ViewChanger) awaitView(ctx context.Context, old int64) bool {
	deadline := time.Now().Add(ch.viewTimeout)
	for ch.voters.Current().View().Number == old && time.Now().Before(deadline) {
		if !sleep(ctx, 20*time.Millisecond) {
			return false
		}
	}
	return ctx.Err() == nil
}

// change tries to change the view and reports whether it proposed a new one.
func (ch *ViewChanger) change(ctx context.Context) (proposed bool, err error) {
	voter := ch.voters.Current()
	old := voter.View()
	members := ch.reachableMembers(ctx, old.Number+1)
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

// reachableMembers returns the live members that answer. A member that is live according to the log but does not answer
// must be left out: its install would fail after the old view was sealed, and no member would grant until it expires.
func (ch *ViewChanger) reachableMembers(ctx context.Context, view int64) []string {
	live := ch.liveMembers()
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

// seal seals the old view at all reachable members. mu guards change.
func (ch *ViewChanger) seal(ctx context.Context, old claim.View, change *claim.Change) error {
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

// sealMember seals the old view at one member and fetches all pages of its claims. A member that is unreachable is not
// sealed, which is not an error.
func (ch *ViewChanger) sealMember(ctx context.Context, old claim.View, change *claim.Change, member string,
	mu *sync.Mutex) error {
	for from := 0; ; {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := ch.peers.Seal(callCtx, member, claim.SealRequest{View: old.Number, From: from})
		cancel()
		if err != nil {
			return nil
		}
		mu.Lock()
		err = change.Sealed(member, resp)
		mu.Unlock()
		if err != nil || resp.Next <= from || !resp.Sealed {
			return err
		}
		from = resp.Next
	}
}

// install sends the claims to all members of the next view, one after the other.
func (ch *ViewChanger) install(ctx context.Context, change *claim.Change, pages []claim.InstallRequest) error {
	for _, member := range change.Members() {
		for _, page := range pages {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			resp, err := ch.peers.Install(callCtx, member, page)
			cancel()
			if err != nil {
				return errors.Wrapf(err, "install claims at member %s", member)
			}
			if !resp.Installed {
				return errors.Errorf("install claims at member %s: no memory", member)
			}
		}
		change.Installed(member)
	}
	return nil
}
