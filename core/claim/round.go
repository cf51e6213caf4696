package claim

// Decision is the state of a round.
type Decision uint8

// Decisions of a round. Won and Lost are final.
const (
	Pending Decision = 0
	// Won means that a majority granted the key; no other attempt can ever run it.
	Won Decision = 1
	// Lost means that the round counts no more grants; it must be withdrawn.
	Lost Decision = 2
)

// Round collects the grants of one attempt from the members of one view. A new round uses a new Attempt, so that
// grants that arrive late are never counted.
type Round struct {
	request  GrantRequest
	view     View
	counted  map[string]bool
	granted  int
	refused  int
	decision Decision
	verdicts map[Verdict]int
	held     *Entry
}

// NewRound starts a round. With block, the key is claimed only to prevent it from running.
func NewRound(view View, key Key, attempt Attempt, block bool) *Round {
	r := &Round{request: GrantRequest{View: view.Number, Key: key, Attempt: attempt, Block: block}, view: view,
		counted: map[string]bool{}, verdicts: map[Verdict]int{}}
	if len(view.Members) == 0 {
		r.decision = Lost
	}
	return r
}

// Request returns the request to send to each member of the view.
func (r *Round) Request() GrantRequest { return r.request }

// Decision returns the state of the round.
func (r *Round) Decision() Decision { return r.decision }

// CountResponse counts a member's response. Repeated responses and responses after the decision are ignored.
func (r *Round) CountResponse(member string, resp GrantResponse) {
	if !r.markCounted(member) {
		return
	}
	r.verdicts[resp.Verdict]++
	if resp.Verdict == Claimed && resp.Entry != nil && (r.held == nil || resp.Entry.State == StateFinished) {
		r.held = resp.Entry
	}
	if resp.Verdict == Granted && resp.View == r.view.Number {
		r.granted++
	} else {
		r.refused++
	}
	r.decide()
}

// CountFailure counts a member that could not be reached, or whose response was lost, as a refusal.
func (r *Round) CountFailure(member string) {
	if r.markCounted(member) {
		r.refused++
		r.decide()
	}
}

// Abandon ends a round that is still pending, for instance at the request's deadline.
func (r *Round) Abandon() {
	if r.decision == Pending {
		r.decision = Lost
	}
}

func (r *Round) markCounted(member string) bool {
	if r.decision != Pending || r.counted[member] || !r.view.Has(member) {
		return false
	}
	r.counted[member] = true
	return true
}

func (r *Round) decide() {
	switch {
	case r.granted >= r.view.Majority():
		r.decision = Won
	case len(r.view.Members)-r.refused < r.view.Majority(), r.held != nil && r.held.State == StateFinished:
		r.decision = Lost
	}
}

// Held returns the entry of another attempt that a member reported, preferably a finished one, or nil.
func (r *Round) Held() *Entry { return r.held }

// VerdictCount returns the number of members that gave the verdict.
func (r *Round) VerdictCount(v Verdict) int { return r.verdicts[v] }
