package claim

import "time"

// ClockReading is a reading of both clocks of a process.
type ClockReading struct {
	// Monotonic never goes back; only differences are meaningful.
	Monotonic time.Duration
	// UnixMs is the wall clock in milliseconds, which may jump.
	UnixMs int64
}

// Durations that must be the same for all members of a zone.
const (
	// Retention is how long claims are kept, counted from the key's time.
	Retention = 10 * time.Minute
	// MaxKeyAhead is how far a key's time may be in the future.
	MaxKeyAhead = 5 * time.Second
	// MaxBlockAhead is the same limit for grants with Block. A fresh view refuses keys up to this time, because claims
	// of the previous view may be that far ahead.
	MaxBlockAhead = time.Minute
	// Authority is how long a member may grant after it sent its last confirmed heartbeat.
	Authority = 75 * time.Minute
	// ClockSkew is the assumed maximum difference between the wall clocks of a zone's daemons.
	// It affects only the floor of a fresh view.
	ClockSkew = 5 * time.Second
)

// Limits bound the memory of a Table.
type Limits struct {
	// MaxClaims limits the entries; ReserveClaims of them are reserved for grants with Block.
	MaxClaims, ReserveClaims int
	// MaxBytes limits the estimated memory; answers that would exceed it are not stored.
	MaxBytes int64
}

// DefaultLimits returns limits that use at most 20 MB of the 64 MB that a daemon has for control. Since every member
// holds every claim of its zone for the retention, they allow 150 new keys per second and zone.
func DefaultLimits() Limits {
	return Limits{MaxClaims: 96 << 10, ReserveClaims: 8 << 10, MaxBytes: 20 << 20}
}

// Table holds the claims that one member has granted or installed. It is not safe for concurrent use.
type Table struct {
	member string
	limits Limits

	view View
	// sealed is the highest view in which this member no longer grants.
	sealed int64
	// installed holds the numbers of views, from the current one on, whose claims are installed.
	installed map[int64]bool
	// handover lists the keys of the claims to hand over when view handoverView is sealed, in page order.
	handover     []Key
	handoverView int64

	entries map[Key]*Entry
	// expiry lists the keys by the Unix second of their timestamps.
	expiry map[int64][]Key
	bytes  int64
	// lastExpirySecond is the Unix second for which claims were last dropped.
	lastExpirySecond int64
	// floor is the highest time of a key whose claims may have been dropped.
	floor int64

	// lastHeartbeat is when the last confirmed heartbeat was sent, valid if hasHeartbeat.
	lastHeartbeat time.Duration
	hasHeartbeat  bool
	stopped       bool
}

// NewTable returns an empty table for a member. A restarted process is a new member with an empty table.
func NewTable(member string, limits Limits) *Table {
	return &Table{member: member, limits: limits, installed: map[int64]bool{}, entries: map[Key]*Entry{},
		expiry: map[int64][]Key{}}
}

// ConfirmHeartbeat extends the authority to grant. sent is the monotonic time before the heartbeat was sent.
func (t *Table) ConfirmHeartbeat(sent time.Duration) {
	if !t.hasHeartbeat || sent > t.lastHeartbeat {
		t.lastHeartbeat, t.hasHeartbeat = sent, true
	}
}

// Stop ends all granting. It must be called before the member leaves gracefully.
func (t *Table) Stop() { t.stopped = true }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Bytes returns the estimated memory of the entries.
func (t *Table) Bytes() int64 { return t.bytes }

// View returns the newest view that the member has read.
func (t *Table) View() View { return t.view }

// Sealed reports whether the member was sealed in the newest view that it has read.
func (t *Table) Sealed() bool { return t.view.Number > 0 && t.sealed >= t.view.Number }

// Grant answers a request for a grant.
func (t *Table) Grant(now ClockReading, r GrantRequest) GrantResponse {
	t.DropExpired(now)
	return t.decide(now, r)
}

func (t *Table) decide(now ClockReading, r GrantRequest) GrantResponse {
	refuse := func(v Verdict) GrantResponse {
		return GrantResponse{Verdict: v, View: t.view.Number, Sealed: t.sealed >= t.view.Number}
	}
	switch {
	case t.stopped || !t.hasHeartbeat || now.Monotonic-t.lastHeartbeat > Authority:
		return refuse(NoAuthority)
	case r.Attempt == Attempt{} || !t.grantsIn(r.View):
		return refuse(WrongView)
	case t.isTooOld(now, r.Key):
		return refuse(KeyTooOld)
	case t.isTooFarAhead(now, r):
		return refuse(KeyTooFarAhead)
	}
	held := t.entries[r.Key]
	if held != nil && (held.State == StateFinished || held.State == StateGranted && held.Attempt != r.Attempt) {
		entry := *held
		return GrantResponse{Verdict: Claimed, View: t.view.Number, Entry: &entry}
	}
	if held != nil && held.State == StateWithdrawn && held.Attempt == r.Attempt {
		// The withdrawal of the same attempt arrived before this request.
		return refuse(WrongView)
	}
	if held == nil && !t.hasCapacity(r.Block) {
		return refuse(TableFull)
	}
	t.put(Entry{Key: r.Key, Attempt: r.Attempt, State: StateGranted})
	return refuse(Granted)
}

func (t *Table) grantsIn(view int64) bool {
	return view == t.view.Number && view > t.sealed && t.view.Has(t.member) && t.installed[view]
}

func (t *Table) isTooOld(now ClockReading, k Key) bool {
	return k.UnixMs() <= t.floor || k.UnixMs() < t.view.FloorUnixMs ||
		k.UnixMs() < now.UnixMs-Retention.Milliseconds()
}

func (t *Table) isTooFarAhead(now ClockReading, r GrantRequest) bool {
	maxAhead := MaxKeyAhead
	if r.Block {
		maxAhead = MaxBlockAhead
	}
	return r.Key.UnixMs() > now.UnixMs+maxAhead.Milliseconds()
}

func (t *Table) hasCapacity(block bool) bool {
	limit := t.limits.MaxClaims
	if !block {
		limit -= t.limits.ReserveClaims
	}
	return len(t.entries) < limit
}

// Withdraw removes the grant of an attempt, but of no other one. The attempt is recorded as withdrawn, so that its
// grant request is refused if it arrives after the withdrawal.
func (t *Table) Withdraw(now ClockReading, r WithdrawRequest) {
	t.DropExpired(now)
	held := t.entries[r.Key]
	switch {
	case r.Attempt == Attempt{}:
	case held != nil && held.State == StateGranted && held.Attempt == r.Attempt,
		held == nil && t.hasCapacity(false) && r.Key.UnixMs() > t.floor:
		t.put(Entry{Key: r.Key, Attempt: r.Attempt, State: StateWithdrawn})
	}
}

// Finish records the outcome of the attempt that won the key. Only the first outcome is stored.
func (t *Table) Finish(now ClockReading, r FinishRequest) {
	t.DropExpired(now)
	held := t.entries[r.Entry.Key]
	if held != nil && held.State == StateFinished {
		return
	}
	if held == nil && (!t.hasCapacity(true) || t.isTooOld(now, r.Entry.Key)) {
		return
	}
	e := r.Entry
	e.State = StateFinished
	if len(e.Answer) > MaxAnswerBytes || t.bytes+e.bytes() > t.limits.MaxBytes {
		e.Answer = nil
	}
	t.put(e)
}

// Lookup returns the member's granted or finished claim on a key.
func (t *Table) Lookup(r LookupRequest) LookupResponse {
	held := t.entries[r.Key]
	if held == nil || held.State == StateWithdrawn {
		return LookupResponse{}
	}
	entry := *held
	return LookupResponse{Entry: &entry}
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

// DropExpired drops claims that are older than the retention, and raises the floor so that their keys are still
// refused if the wall clock goes back.
func (t *Table) DropExpired(now ClockReading) {
	limit := now.UnixMs - Retention.Milliseconds()
	if limit/1000 == t.lastExpirySecond {
		return
	}
	t.lastExpirySecond = limit / 1000
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
