package claim

import "time"

// Now is a reading of both clocks of a process.
type Now struct {
	// Monotonic never goes back; only differences count.
	Monotonic time.Duration
	// UnixMs is the wall clock in milliseconds, which may jump.
	UnixMs int64
}

// Times that all members of a zone agree on.
const (
	// Retention is how long claims are kept, counted from the key's time.
	Retention = 10 * time.Minute
	// Ahead is how far a key's time may be in the future.
	Ahead = 5 * time.Second
	// BlockAhead is the same for grants with Block. A fresh view refuses keys up to this time, because claims of
	// the previous view may be that far ahead.
	BlockAhead = time.Minute
	// Authority is how long a member grants after it sent its last confirmed heartbeat.
	Authority = 75 * time.Minute
	// ClockSkew is the assumed largest difference between the wall clocks of a zone's daemons. It only matters
	// for the floor of a fresh view.
	ClockSkew = 5 * time.Second
)

// Limits bound the memory of a Table.
type Limits struct {
	// MaxClaims limits the entries; ReserveClaims of them are kept for grants with Block.
	MaxClaims, ReserveClaims int
	// MaxBytes limits the estimated memory; answers are not kept beyond it.
	MaxBytes int64
}

// DefaultLimits take at most 20 MB of the 64 MB that a daemon has for control. Since every member holds every claim
// of its zone for the retention, they allow 150 new keys a second for each zone.
func DefaultLimits() Limits {
	return Limits{MaxClaims: 96 << 10, ReserveClaims: 8 << 10, MaxBytes: 20 << 20}
}

// Table holds the claims that one member has granted or was given. It is not safe for concurrent use.
type Table struct {
	member string
	limits Limits

	view View
	// sealed is the highest view in which this member will not grant any more.
	sealed int64
	// installed holds the numbers of views, from the current one on, whose claims were installed here.
	installed map[int64]bool
	// handover is the order in which the claims of view handoverView are handed over.
	handover     []Key
	handoverView int64

	entries map[Key]*Entry
	// expiry lists the keys by the second of their time.
	expiry map[int64][]Key
	bytes  int64
	// forgotten is the second for which claims were last dropped.
	forgotten int64
	// floor is the highest time of a key whose claims may have been forgotten.
	floor int64

	// heard is when the last confirmed heartbeat was sent; valid if hasHeard.
	heard    time.Duration
	hasHeard bool
	stopped  bool
}

// NewTable returns an empty table for a member. A restarted process is another member with an empty table.
func NewTable(member string, limits Limits) *Table {
	return &Table{member: member, limits: limits, installed: map[int64]bool{}, entries: map[Key]*Entry{},
		expiry: map[int64][]Key{}}
}

// ConfirmHeartbeat extends the authority to grant. sent is the monotonic time before the heartbeat was sent.
func (t *Table) ConfirmHeartbeat(sent time.Duration) {
	if !t.hasHeard || sent > t.heard {
		t.heard, t.hasHeard = sent, true
	}
}

// Stop ends all granting, before the member leaves gracefully.
func (t *Table) Stop() { t.stopped = true }

// Len returns the number of entries, and Bytes their estimated memory.
func (t *Table) Len() int { return len(t.entries) }

// Bytes returns the estimated memory of the entries.
func (t *Table) Bytes() int64 { return t.bytes }

// View returns the newest view that the member has read.
func (t *Table) View() View { return t.view }

// Sealed reports whether the member was sealed in the newest view that it has read.
func (t *Table) Sealed() bool { return t.view.Number > 0 && t.sealed >= t.view.Number }

// Grant answers a request for a grant.
func (t *Table) Grant(now Now, r GrantRequest) GrantAnswer {
	t.Forget(now)
	return t.decide(now, r)
}

func (t *Table) decide(now Now, r GrantRequest) GrantAnswer {
	refuse := func(v Verdict) GrantAnswer {
		return GrantAnswer{Verdict: v, View: t.view.Number, Sealed: t.sealed >= t.view.Number}
	}
	switch {
	case t.stopped || !t.hasHeard || now.Monotonic-t.heard > Authority:
		return refuse(NoAuthority)
	case r.Attempt == Attempt{} || !t.grantsIn(r.View):
		return refuse(WrongView)
	case t.isOld(now, r.Key):
		return refuse(Old)
	case t.isAhead(now, r):
		return refuse(Future)
	}
	held := t.entries[r.Key]
	if held != nil && (held.State == StateFinished || held.State == StateGranted && held.Attempt != r.Attempt) {
		entry := *held
		return GrantAnswer{Verdict: Claimed, View: t.view.Number, Entry: &entry}
	}
	if held != nil && held.State == StateWithdrawn && held.Attempt == r.Attempt {
		// The request was overtaken by the withdrawal of its own attempt.
		return refuse(WrongView)
	}
	if held == nil && !t.hasRoom(r.Block) {
		return refuse(Full)
	}
	t.put(Entry{Key: r.Key, Attempt: r.Attempt, State: StateGranted})
	return refuse(Granted)
}

func (t *Table) grantsIn(view int64) bool {
	return view == t.view.Number && view > t.sealed && t.view.Has(t.member) && t.installed[view]
}

func (t *Table) isOld(now Now, k Key) bool {
	return k.UnixMs() <= t.floor || k.UnixMs() < t.view.FloorUnixMs ||
		k.UnixMs() < now.UnixMs-Retention.Milliseconds()
}

func (t *Table) isAhead(now Now, r GrantRequest) bool {
	ahead := Ahead
	if r.Block {
		ahead = BlockAhead
	}
	return r.Key.UnixMs() > now.UnixMs+ahead.Milliseconds()
}

func (t *Table) hasRoom(block bool) bool {
	limit := t.limits.MaxClaims
	if !block {
		limit -= t.limits.ReserveClaims
	}
	return len(t.entries) < limit
}

// Withdraw removes the grant of an attempt, but of no other one. The attempt is remembered, so that a grant
// request that was overtaken is refused.
func (t *Table) Withdraw(now Now, r WithdrawRequest) {
	t.Forget(now)
	held := t.entries[r.Key]
	switch {
	case r.Attempt == Attempt{}:
	case held != nil && held.State == StateGranted && held.Attempt == r.Attempt,
		held == nil && t.hasRoom(false) && r.Key.UnixMs() > t.floor:
		t.put(Entry{Key: r.Key, Attempt: r.Attempt, State: StateWithdrawn})
	}
}

// Finish records the end of the attempt that won the key. The first end stays.
func (t *Table) Finish(now Now, r FinishRequest) {
	t.Forget(now)
	held := t.entries[r.Entry.Key]
	if held != nil && held.State == StateFinished {
		return
	}
	if held == nil && (!t.hasRoom(true) || t.isOld(now, r.Entry.Key)) {
		return
	}
	e := r.Entry
	e.State = StateFinished
	if len(e.Answer) > MaxAnswerBytes || t.bytes+e.bytes() > t.limits.MaxBytes {
		e.Answer = nil
	}
	t.put(e)
}

// Lookup returns what the member knows about a key.
func (t *Table) Lookup(r LookupRequest) LookupAnswer {
	held := t.entries[r.Key]
	if held == nil || held.State == StateWithdrawn {
		return LookupAnswer{}
	}
	entry := *held
	return LookupAnswer{Entry: &entry}
}

// put inserts or replaces an entry.
func (t *Table) put(e Entry) {
	if old := t.entries[e.Key]; old != nil {
		t.bytes -= old.bytes()
	} else {
		second := e.Key.UnixMs() / 1000
		t.expiry[second] = append(t.expiry[second], e.Key)
	}
	t.bytes += e.bytes()
	t.entries[e.Key] = &e
}

// Forget drops claims that are older than the retention, and raises the floor so that their keys stay refused
// even if the wall clock goes back.
func (t *Table) Forget(now Now) {
	limit := now.UnixMs - Retention.Milliseconds()
	if limit/1000 == t.forgotten {
		return
	}
	t.forgotten = limit / 1000
	for second, keys := range t.expiry {
		if (second+1)*1000 > limit {
			continue
		}
		for _, k := range keys {
			t.floor = max(t.floor, k.UnixMs())
			t.bytes -= t.entries[k].bytes()
			delete(t.entries, k)
		}
		delete(t.expiry, second)
	}
}
