package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"waxwingslip.example/core/claim"
)

// Timeouts and delays of the coordinator.
const (
	// callTimeout limits one call to one member.
	callTimeout = time.Second
	// claimTimeout is how long a claim waits for a usable view or for a majority.
	claimTimeout = 2 * time.Second
	// holderTimeout is how long a repeat waits for the end of the attempt that holds the key.
	holderTimeout = 30 * time.Second
	// retryDelay is the mean delay between two rounds; it has random jitter, so that racing attempts diverge.
	retryDelay = 40 * time.Millisecond
)

// Kind is the kind of result of a claim.
type Kind uint8

// Results of a claim.
const (
	// Won means that this attempt, and no other, may send the request.
	Won Kind = 1
	// Finished means that an earlier attempt has ended; Result.Entry has its outcome.
	Finished Kind = 2
	// Blocked means that no attempt with this key, this one included, will ever send the request.
	Blocked Kind = 3
	// Undecided means that this attempt sent nothing, but that others may have sent the request or may still send it.
	Undecided Kind = 4
)

// Result is the result of a claim.
type Result struct {
	Kind Kind
	// Attempt holds the key if Kind is Won or Blocked.
	Attempt claim.Attempt
	// Entry is set if Kind is Finished.
	Entry claim.Entry
	// Reason explains Blocked and Undecided.
	Reason error
}

// Reasons of results that are not Won.
var (
	ErrHeld           = errors.New("another attempt with this key has not ended")
	ErrKeyTooOld      = errors.New("the key is older than the time for which claims are kept")
	ErrKeyTooFarAhead = errors.New("the key's time is in the future")
	ErrTableFull      = errors.New("no memory for another claim")
	ErrNoMajority     = errors.New("no majority of the zone's members grants the key")
)

// Coordinator claims keys for the requests of this daemon. It is safe for concurrent use.
type Coordinator struct {
	voters *Voters
	peers  Peers
	// newAttempt returns a new attempt id; each round uses one.
	newAttempt func() claim.Attempt
	background sync.WaitGroup
	// sealedViews receives the number of a view that a member reported as sealed.
	sealedViews chan int64
}

// NewCoordinator returns a coordinator that calls its own voter directly and the others through peers.
func NewCoordinator(voter *Voter, peers Peers) *Coordinator {
	return NewCoordinatorForVoters(&Voters{current: voter}, peers)
}

// NewCoordinatorForVoters is like NewCoordinator, but for a daemon whose membership may change.
func NewCoordinatorForVoters(voters *Voters, peers Peers) *Coordinator {
	return &Coordinator{voters: voters, peers: localFirst{voters, peers},
		newAttempt:  func() claim.Attempt { return claim.Attempt(uuid.New()) },
		sealedViews: make(chan int64, 1)}
}

// Wait waits until no message is in flight. Call it after the last claim has ended.
func (c *Coordinator) Wait() { c.background.Wait() }

// Claim claims a key. It returns when the key is decided, ctx is done or a timeout has passed.
func (c *Coordinator) Claim(ctx context.Context, key claim.Key) Result {
	started := time.Now()
	block := key.UnixMs() > c.voters.Current().clock().UnixMs+claim.MaxKeyAhead.Milliseconds()
	blockReason := ErrKeyTooFarAhead
	for {
		round := c.runRound(ctx, key, block)
		if round.Decision() == claim.Won {
			result := Result{Kind: Won, Attempt: round.Request().Attempt}
			if block {
				result.Kind, result.Reason = Blocked, blockReason
			}
			return result
		}
		if result, decided := c.resultOfLostRound(ctx, round, key, started, block); decided {
			return result
		}
		if !block && round.VerdictCount(claim.KeyTooFarAhead)+round.VerdictCount(claim.TableFull) > 0 {
			if block = true; round.VerdictCount(claim.TableFull) > 0 {
				blockReason = ErrTableFull
			}
		}
		if time.Since(started) > holderTimeout || !sleep(ctx, retryDelay) {
			return Result{Kind: Undecided, Reason: ErrNoMajority}
		}
	}
}

// resultOfLostRound returns the claim's result after a lost round. It returns false if another round must be tried.
func (c *Coordinator) resultOfLostRound(ctx context.Context, round *claim.Round, key claim.Key, started time.Time,
	block bool) (Result, bool) {
	held := round.Held()
	switch {
	case held != nil && held.State == claim.StateFinished:
		return Result{Kind: Finished, Entry: *held}, true
	case held != nil:
		return c.waitForHolder(ctx, key, started)
	case round.VerdictCount(claim.KeyTooOld) > 0:
		return Result{Kind: Undecided, Reason: ErrKeyTooOld}, true
	case block && round.VerdictCount(claim.TableFull) > 0:
		return Result{Kind: Undecided, Reason: ErrTableFull}, true
	case block && round.VerdictCount(claim.KeyTooFarAhead) > 0:
		return Result{Kind: Undecided, Reason: ErrKeyTooFarAhead}, true
	case time.Since(started) > claimTimeout || ctx.Err() != nil:
		return Result{Kind: Undecided, Reason: ErrNoMajority}, true
	}
	return Result{}, false
}

// waitForHolder waits until the attempt that holds the key has ended. It returns false if no member has the attempt any
// more, so that another round is tried.
func (c *Coordinator) waitForHolder(ctx context.Context, key claim.Key, started time.Time) (Result, bool) {
	for wait := 10 * time.Millisecond; ; wait = min(2*wait, 250*time.Millisecond) {
		if !sleep(ctx, wait) || time.Since(started) > holderTimeout {
			return Result{Kind: Undecided, Reason: ErrHeld}, true
		}
		switch entry, err := c.lookUp(ctx, key); {
		case err != nil:
			return Result{Kind: Undecided, Reason: err}, true
		case entry == nil:
			return Result{}, false
		case entry.State == claim.StateFinished:
			return Result{Kind: Finished, Entry: *entry}, true
		}
	}
}

// lookUp queries all members for a key and returns a finished entry, else any entry, else nil.
func (c *Coordinator) lookUp(ctx context.Context, key claim.Key) (*claim.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	members := c.voters.Current().View().Members
	responses := make(chan claim.LookupResponse, len(members))
	for _, member := range members {
		c.background.Go(func() {
			resp, err := c.peers.Lookup(ctx, member, claim.LookupRequest{Key: key})
			if err != nil {
				resp.Entry = nil // another round is safe, whatever entry this member has
			}
			responses <- resp
		})
	}
	var found *claim.Entry
	for range members {
		select {
		case resp := <-responses:
			if resp.Entry != nil && (found == nil || resp.Entry.State == claim.StateFinished) {
				found = resp.Entry
			}
			if found != nil && found.State == claim.StateFinished {
				return found, nil
			}
		case <-ctx.Done():
			return nil, errors.Wrap(ErrHeld, "look up claim")
		}
	}
	return found, nil
}

// memberResponse is one member's response to a grant request; err is set if there is none.
type memberResponse struct {
	member string
	resp   claim.GrantResponse
	err    error
}

// runRound requests a grant from all members at once and returns when the round is decided. Calls that are then still
// in flight continue; their responses are not counted, and their grants are withdrawn if the round was lost.
func (c *Coordinator) runRound(ctx context.Context, key claim.Key, block bool) *claim.Round {
	view := c.voters.Current().View()
	round := claim.NewRound(view, key, c.newAttempt(), block)
	responses := make(chan memberResponse, len(view.Members))
	decided := make(chan struct{})
	defer close(decided)
	for _, member := range view.Members {
		c.background.Go(func() {
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			resp, err := c.peers.Grant(callCtx, member, round.Request())
			cancel()
			responses <- memberResponse{member, resp, err}
			<-decided
			if round.Decision() == claim.Lost && (err != nil || resp.Verdict == claim.Granted) {
				c.withdraw(member, round)
			}
		})
	}
	for round.Decision() == claim.Pending {
		select {
		case r := <-responses:
			c.countResponse(round, r)
		case <-ctx.Done():
			round.Abandon()
		}
	}
	return round
}

// withdraw removes a grant of a lost round. It is called after the member's response, because a grant that is processed
// after its withdrawal stays. If the message is lost, repeats of the key are undecided until it is too old, which is
// safe.
func (c *Coordinator) withdraw(member string, round *claim.Round) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r := claim.WithdrawRequest{Key: round.Request().Key, Attempt: round.Request().Attempt}
	_ = c.peers.Withdraw(ctx, member, r)
}

func (c *Coordinator) countResponse(round *claim.Round, r memberResponse) {
	if r.err != nil {
		round.CountFailure(r.member)
		return
	}
	if r.resp.Sealed {
		c.signalSealed(r.resp.View)
	}
	round.CountResponse(r.member, r.resp)
}

// signalSealed notifies the ViewChanger that a view was sealed.
func (c *Coordinator) signalSealed(view int64) {
	select {
	case c.sealedViews <- view:
	default:
	}
}

// Finish sends the outcome of the attempt that won a key to all members.
func (c *Coordinator) Finish(entry claim.Entry) {
	entry.State = claim.StateFinished
	c.broadcast(func(ctx context.Context, member string) error {
		return c.peers.Finish(ctx, member, claim.FinishRequest{Entry: entry})
	})
}

// broadcast sends a message to all members of the view without waiting for the responses.
func (c *Coordinator) broadcast(send func(ctx context.Context, member string) error) {
	for _, member := range c.voters.Current().View().Members {
		c.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_ = send(ctx, member)
		})
	}
}

// sleep waits for a random time of 0.5 to 1.5 times d. It returns false if ctx is done before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
