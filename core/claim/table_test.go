package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	testNow  = ClockReading{Monotonic: time.Hour, UnixMs: 1_700_000_000_000}
	testView = View{Number: 1, Members: []string{"m"}}
)

func readyTable() *Table {
	t := NewTable("m", Limits{MaxClaims: 3, ReserveClaims: 1, MaxBytes: 1000})
	t.ConfirmHeartbeat(testNow.Monotonic)
	t.Install(testNow, InstallRequest{View: 1, Last: true})
	t.ApplyView(testView)
	return t
}

// Guards against a member that grants a key when it must refuse.
func TestGrantVerdicts(t *testing.T) {
	key, other := keyAt(testNow.UnixMs, 1), keyAt(testNow.UnixMs, 2)
	grant := func(table *Table, k Key, a byte) {
		table.Grant(testNow, GrantRequest{View: 1, Key: k, Attempt: Attempt{a}})
	}
	cases := []struct {
		name    string
		prepare func(*Table)
		now     ClockReading
		key     Key
		block   bool
		want    Verdict
	}{
		{"free", func(*Table) {}, testNow, key, false, Granted},
		{"same attempt again", func(t *Table) { grant(t, key, 9) }, testNow, key, false, Granted},
		{"other attempt", func(t *Table) { grant(t, key, 1) }, testNow, key, false, Claimed},
		{"withdrawn by its attempt", func(t *Table) {
			grant(t, key, 1)
			t.Withdraw(testNow, WithdrawRequest{Key: key, Attempt: Attempt{1}})
		}, testNow, key, false, Granted},
		{"withdrawn by another attempt", func(t *Table) {
			grant(t, key, 1)
			t.Withdraw(testNow, WithdrawRequest{Key: key, Attempt: Attempt{2}})
		}, testNow, key, false, Claimed},
		{"own withdrawal came first", func(t *Table) { t.Withdraw(testNow, WithdrawRequest{Key: key, Attempt: Attempt{9}}) },
			testNow, key, false, WrongView},
		{"leaving", func(t *Table) { t.Stop() }, testNow, key, false, NoAuthority},
		{"heartbeat too old", func(*Table) {}, ClockReading{testNow.Monotonic + Authority + 1, testNow.UnixMs},
			key, false, NoAuthority},
		{"sealed", func(t *Table) { t.Seal(testNow, SealRequest{View: 1}) }, testNow, key, false, WrongView},
		{"newer view", func(t *Table) { t.ApplyView(View{Number: 2, Members: []string{"m"}}) },
			testNow, key, false, WrongView},
		{"not installed", func(t *Table) { delete(t.installed, 1) }, testNow, key, false, WrongView},
		{"past retention", func(*Table) {}, testNow, keyAt(testNow.UnixMs-600_001, 1), false, KeyTooOld},
		{"forgotten, then the clock goes back", func(t *Table) {
			grant(t, key, 1)
			t.DropExpired(ClockReading{testNow.Monotonic, testNow.UnixMs + 700_000})
		}, testNow, key, false, KeyTooOld},
		{"below the floor of an install", func(t *Table) { t.Install(testNow, InstallRequest{FloorUnixMs: key.UnixMs()}) },
			testNow, key, false, KeyTooOld},
		{"ahead", func(*Table) {}, testNow, keyAt(testNow.UnixMs+5001, 1), false, KeyTooFarAhead},
		{"ahead, block", func(*Table) {}, testNow, keyAt(testNow.UnixMs+5001, 1), true, Granted},
		{"far ahead, block", func(*Table) {}, testNow, keyAt(testNow.UnixMs+60_001, 1), true, KeyTooFarAhead},
		{"full", func(t *Table) { grant(t, other, 1); grant(t, keyAt(testNow.UnixMs, 3), 1) },
			testNow, key, false, TableFull},
		{"full, block from the reserve", func(t *Table) { grant(t, other, 1); grant(t, keyAt(testNow.UnixMs, 3), 1) },
			testNow, key, true, Granted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := readyTable()
			c.prepare(table)
			got := table.Grant(c.now, GrantRequest{View: 1, Key: c.key, Attempt: Attempt{9}, Block: c.block})
			is.New(t).Equal(got.Verdict, c.want)
		})
	}
}

// Guards against a merged claim that one of its two attempts can withdraw, and against losing a finished claim.
func TestMergeBlocksBoth(t *testing.T) {
	is := is.New(t)
	granted := func(a byte) Entry { return Entry{Attempt: Attempt{a}, State: StateGranted} }
	finished := Entry{Attempt: Attempt{1}, State: StateFinished, Outcome: OutcomeAnswered, Status: 201}
	is.Equal(merge(granted(1), granted(2)), granted(0))
	is.Equal(merge(granted(0), granted(2)), granted(0))
	is.Equal(merge(granted(1), granted(1)), granted(1))
	is.Equal(merge(granted(2), finished), finished)
	is.Equal(merge(finished, granted(2)), finished)
	withdrawn := Entry{Attempt: Attempt{1}, State: StateWithdrawn}
	is.Equal(merge(withdrawn, granted(1)), granted(1))
}

// Guards against exceeding the memory limit: the outcome of a claim is kept, its answer is not.
func TestAnswerOverMemoryLimitIsDropped(t *testing.T) {
	is := is.New(t)
	table := readyTable()
	for i := range byte(2) {
		e := Entry{Key: keyAt(testNow.UnixMs, i), Attempt: Attempt{i}, Outcome: OutcomeAnswered, Answer: make([]byte, 500)}
		table.Finish(testNow, FinishRequest{Entry: e})
	}
	is.True(table.Bytes() <= 1000)
	is.Equal(len(table.Lookup(LookupRequest{Key: keyAt(testNow.UnixMs, 0)}).Entry.Answer), 500)
	is.Equal(table.Lookup(LookupRequest{Key: keyAt(testNow.UnixMs, 1)}).Entry.Outcome, OutcomeAnswered)
	is.Equal(len(table.Lookup(LookupRequest{Key: keyAt(testNow.UnixMs, 1)}).Entry.Answer), 0)
}

// Guards against keys that two daemons parse or assign to a zone differently.
func TestParseKey(t *testing.T) {
	is := is.New(t)
	const id = "018bcfe5-6800-7000-8000-000000000001"
	zone, key, err := ParseKey("lima-a/" + id)
	is.NoErr(err)
	is.Equal(zone, "lima-a")
	is.Equal(key.String(), id)
	is.Equal(key.UnixMs(), int64(1_700_000_000_000))
	is.Equal(HomeZone(key, []string{"a", "b", "c"}), HomeZone(key, []string{"c", "a", "b"}))
	for _, bad := range []string{"", id[1:], "/" + id, "a/b/" + id, "{" + id + "}", "018bcfe5-6800-4000-8000-000000000001"} {
		_, _, err := ParseKey(bad)
		is.True(err != nil)
	}
}
