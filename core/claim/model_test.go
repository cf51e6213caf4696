package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model simulates a zone whose messages can be reordered, delayed, duplicated or lost.
type model struct {
	t            *rapid.T
	now          ClockReading
	tables       map[string]*Table
	disconnected map[string]time.Duration // members cut off from the log or crashed, with their last heartbeat's time
	stopped      map[string]bool
	next         int
	log          []View
	inFlight     []func()
	keys         []Key
	won          []*modelAttempt
	change       *Change
	pages        []InstallRequest
	ran          map[Key]int
	notRun       map[Key]bool
	attempt      byte
}

type modelAttempt struct {
	key   Key
	id    Attempt
	round *Round
	lost  bool
}

func (m *model) send(f func()) { m.inFlight = append(m.inFlight, f) }

func (m *model) addMember() {
	m.next++
	name := fmt.Sprintf("m%d", m.next)
	m.tables[name] = NewTable(name, Limits{MaxClaims: 6, ReserveClaims: 2, MaxBytes: 4096})
	m.tables[name].ConfirmHeartbeat(m.now.Monotonic)
}

// members returns the sorted names of the members that read the log. Disconnected members still grant to claimants
// that reach them.
func (m *model) members() []string {
	var names []string
	for name := range m.tables {
		if _, disconnected := m.disconnected[name]; !disconnected {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (m *model) drawMember() string { return rapid.SampledFrom(m.members()).Draw(m.t, "member") }

// start begins an attempt in the current view or the one before it.
func (m *model) start(block bool) {
	if len(m.log) == 0 || len(m.inFlight) > 60 {
		return
	}
	view := m.log[len(m.log)-1-rapid.IntRange(0, min(1, len(m.log)-1)).Draw(m.t, "viewAge")]
	key := rapid.SampledFrom(m.keys).Draw(m.t, "key")
	m.startKey(view, key, block)
}

func (m *model) startKey(view View, key Key, block bool) {
	m.attempt++
	a := &modelAttempt{key: key, id: Attempt{m.attempt}}
	a.round = NewRound(view, a.key, a.id, block)
	for _, name := range view.Members {
		m.send(func() {
			if table := m.tables[name]; table != nil {
				resp := table.Grant(m.now, a.round.Request())
				m.send(func() { m.countResponse(a, name, resp) })
			}
		})
	}
}

// raceAttempts starts several attempts with one key around a view change and, in some cases, a member's end.
func (m *model) raceAttempts() {
	if len(m.log) == 0 || len(m.inFlight) > 60 {
		return
	}
	view := m.log[len(m.log)-1]
	key := rapid.SampledFrom(m.keys).Draw(m.t, "key")
	m.startKey(view, key, false)
	m.flush()
	if rapid.Bool().Draw(m.t, "member ends") {
		m.crash()
	}
	m.propose()
	m.flush()
	m.install()
	m.startKey(view, key, false)
	m.flush()
	m.record()
	m.read()
	m.startKey(m.log[len(m.log)-1], key, false)
}

func (m *model) countResponse(a *modelAttempt, member string, resp GrantResponse) {
	before := a.round.Decision()
	a.round.CountResponse(member, resp)
	if before != Won && a.round.Decision() == Won {
		m.won = append(m.won, a)
	}
	if a.round.Decision() == Lost && !a.lost {
		a.lost = true
		m.withdraw(a)
		if held := a.round.Held(); held != nil && held.State == StateFinished && held.Outcome == OutcomeNotRun {
			m.reportNotRun(a.key)
		}
	}
}

func (m *model) withdraw(a *modelAttempt) {
	for _, name := range a.round.view.Members {
		m.send(func() {
			if table := m.tables[name]; table != nil {
				table.Withdraw(m.now, WithdrawRequest{Key: a.key, Attempt: a.id})
			}
		})
	}
}

func (m *model) reportNotRun(k Key) {
	m.notRun[k] = true
	m.check()
}

// resolveWinner makes a winning attempt run its key, or give up without sending.
func (m *model) resolveWinner() {
	if len(m.won) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.won)-1).Draw(m.t, "winner")
	a := m.won[i]
	m.won = slices.Delete(m.won, i, i+1)
	entry := Entry{Key: a.key, Attempt: a.id, Outcome: OutcomeAnswered}
	if a.round.request.Block || rapid.Bool().Draw(m.t, "gives up") {
		entry.Outcome = OutcomeNotRun
		m.reportNotRun(a.key)
	} else {
		m.ran[a.key]++
	}
	m.check()
	if rapid.Bool().Draw(m.t, "dies before finish") {
		return
	}
	for _, name := range m.members() {
		m.send(func() {
			if table := m.tables[name]; table != nil {
				table.Finish(m.now, FinishRequest{Entry: entry})
			}
		})
	}
}

func (m *model) check() {
	for k, n := range m.ran {
		if n > 1 {
			m.t.Fatalf("key %v ran %d times", k, n)
		}
		if n > 0 && m.notRun[k] {
			m.t.Fatalf("key %v was reported as not run, but ran", k)
		}
	}
}

func (m *model) deliver() {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "message")
	f := m.inFlight[i]
	switch rapid.IntRange(0, 9).Draw(m.t, "fate") {
	case 0: // lost
	case 1: // delivered now and again later
		f()
		return
	default:
		f()
	}
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
}

func (m *model) flush() {
	for n := rapid.IntRange(1, 40).Draw(m.t, "messages"); n > 0 && len(m.inFlight) > 0; n-- {
		m.deliver()
	}
}

func (m *model) drain() {
	for len(m.inFlight) > 0 {
		f := m.inFlight[0]
		m.inFlight = m.inFlight[1:]
		f()
	}
}

func (m *model) crash() {
	name := m.drawMember()
	m.disconnected[name] = m.tables[name].lastHeartbeat
	switch rapid.IntRange(0, 2).Draw(m.t, "end") {
	case 0:
		m.tables[name].Stop()
		m.stopped[name] = true
	case 1:
		delete(m.tables, name)
	}
	m.addMember()
}

// propose starts a view change and sends seal requests to the members of the old view.
func (m *model) propose() {
	old := View{}
	if len(m.log) > 0 {
		old = m.log[len(m.log)-1]
	}
	change, err := NewChange(old, m.members())
	if err != nil {
		m.t.Fatal(err)
	}
	m.change, m.pages = change, nil
	for _, name := range old.Members {
		at, disconnected := m.disconnected[name]
		if m.stopped[name] || disconnected && m.now.Monotonic-at > Authority {
			change.Stopped(name)
		}
		m.send(func() { m.seal(change, old.Number, name, 0) })
	}
}

func (m *model) seal(change *Change, view int64, name string, from int) {
	_, disconnected := m.disconnected[name]
	if table := m.tables[name]; table != nil && !disconnected {
		resp := table.Seal(m.now, SealRequest{View: view, From: from})
		m.send(func() {
			if change.prepared || change.Sealed(name, resp) != nil {
				return
			}
			if resp.Next > 0 {
				m.seal(change, view, name, resp.Next)
			}
		})
	}
}

func (m *model) install() {
	if m.change == nil || m.pages != nil {
		return
	}
	change := m.change
	pages, err := change.Prepare(m.now)
	if err != nil {
		return
	}
	m.pages = pages
	for _, name := range change.Members() {
		m.send(func() {
			table := m.tables[name]
			if table == nil {
				return
			}
			for _, page := range pages {
				if !table.Install(m.now, page).Installed {
					return
				}
			}
			m.send(func() { change.Installed(name) })
		})
	}
}

func (m *model) record() {
	if m.change == nil {
		return
	}
	view, err := m.change.View()
	if err != nil || view.Number != int64(len(m.log)+1) {
		return
	}
	m.log = append(m.log, view)
}

func (m *model) read() {
	if len(m.log) > 0 {
		m.tables[m.drawMember()].ApplyView(m.log[len(m.log)-1])
	}
}

func (m *model) advanceClock() {
	step := rapid.SampledFrom([]time.Duration{time.Second, time.Second, 2 * time.Second, 2 * time.Second,
		30 * time.Second, 80 * time.Minute}).
		Draw(m.t, "wait")
	m.now.Monotonic += step
	m.now.UnixMs += step.Milliseconds()
	for _, name := range m.members() {
		if rapid.IntRange(0, 9).Draw(m.t, "heartbeat") > 0 {
			m.tables[name].ConfirmHeartbeat(m.now.Monotonic)
		}
	}
}

// completeChange runs a view change without faults, so that generated cases often have a usable view.
func (m *model) completeChange() {
	m.propose()
	m.drain()
	m.install()
	m.drain()
	m.record()
	if len(m.log) > 0 {
		for _, name := range m.members() {
			m.tables[name].ApplyView(m.log[len(m.log)-1])
		}
	}
}

// Guards against a key that runs twice or after it was reported as not run, under reordered, lost and repeated
// messages, member restarts, concurrent and incomplete view changes, full tables, and clock steps past retention
// and authority.
func TestKeyRunsAtMostOnce(t *testing.T) {
	wins, runs, fresh := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{t: rt, now: ClockReading{UnixMs: 1_700_000_000_000}, tables: map[string]*Table{},
			disconnected: map[string]time.Duration{}, stopped: map[string]bool{}, ran: map[Key]int{}, notRun: map[Key]bool{}}
		for range rapid.IntRange(1, 5).Draw(rt, "members") {
			m.addMember()
		}
		for i, ahead := range []int64{0, 3000, 40_000} {
			m.keys = append(m.keys, keyAt(m.now.UnixMs+ahead, byte(i)))
		}
		m.completeChange()
		rt.Repeat(map[string]func(*rapid.T){
			"start": func(*rapid.T) { m.start(false) }, "start again": func(*rapid.T) { m.start(false) },
			"block": func(*rapid.T) { m.start(true) }, "act": func(*rapid.T) { m.resolveWinner() },
			"act again": func(*rapid.T) { m.resolveWinner() }, "start third": func(*rapid.T) { m.start(false) },
			"flush again": func(*rapid.T) { m.flush() },
			"deliver":     func(*rapid.T) { m.deliver() }, "flush": func(*rapid.T) { m.flush() },
			"crash": func(*rapid.T) { m.crash() }, "propose": func(*rapid.T) { m.propose() },
			"install": func(*rapid.T) { m.install() }, "record": func(*rapid.T) { m.record() },
			"read": func(*rapid.T) { m.read() }, "wait": func(*rapid.T) { m.advanceClock() },
			"contend": func(*rapid.T) { m.raceAttempts() }, "contend again": func(*rapid.T) { m.raceAttempts() },
			"settle": func(*rapid.T) { m.completeChange() }, "": func(*rapid.T) { m.check() },
		})
		wins += len(m.won)
		runs += len(m.ran)
		for _, v := range m.log {
			if v.Fresh {
				fresh++
			}
		}
	})
	t.Logf("keys run %d, wins pending at the end %d, fresh views %d", runs, wins, fresh)
	if runs == 0 {
		t.Fatal("no case ran a key: the model covers nothing")
	}
}

func keyAt(unixMs int64, tail byte) Key {
	var k Key
	for i := range 6 {
		k[5-i] = byte(unixMs >> (8 * i))
	}
	k[6], k[8], k[15] = 0x70, 0x80, tail
	return k
}
