package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a zone whose messages are delivered in any order, late, twice or never.
type model struct {
	t       *rapid.T
	now     Now
	tables  map[string]*Table
	silent  map[string]time.Duration // members cut off from the log or dead, with their last heartbeat's time
	left    map[string]bool
	next    int
	log     []View
	net     []func()
	keys    []Key
	won     []*modelAttempt
	change  *Change
	pages   []InstallRequest
	ran     map[Key]int
	notRun  map[Key]bool
	attempt byte
}

type modelAttempt struct {
	key   Key
	id    Attempt
	round *Round
	lost  bool
}

func (m *model) send(f func()) { m.net = append(m.net, f) }

func (m *model) join() {
	m.next++
	name := fmt.Sprintf("m%d", m.next)
	m.tables[name] = NewTable(name, Limits{MaxClaims: 6, ReserveClaims: 2, MaxBytes: 4096})
	m.tables[name].ConfirmHeartbeat(m.now.Monotonic)
}

// members returns the members by log order; those cut off still grant to claimants that reach them.
func (m *model) members() []string {
	var names []string
	for name := range m.tables {
		if _, silent := m.silent[name]; !silent {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (m *model) anyMember() string { return rapid.SampledFrom(m.members()).Draw(m.t, "member") }

// start begins an attempt from any view, also one that is no longer current.
func (m *model) start(block bool) {
	if len(m.log) == 0 || len(m.net) > 60 {
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
				answer := table.Grant(m.now, a.round.Request())
				m.send(func() { m.answer(a, name, answer) })
			}
		})
	}
}

// contend races two attempts with one key, and perhaps a change of the view or the end of a member.
func (m *model) contend() {
	if len(m.log) == 0 || len(m.net) > 60 {
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

func (m *model) answer(a *modelAttempt, member string, answer GrantAnswer) {
	before := a.round.Decision()
	a.round.Answer(member, answer)
	if before != Won && a.round.Decision() == Won {
		m.won = append(m.won, a)
	}
	if a.round.Decision() == Lost && !a.lost {
		a.lost = true
		m.withdraw(a)
		if held := a.round.Held(); held != nil && held.State == StateFinished && held.Outcome == OutcomeNotRun {
			m.sayNotRun(a.key)
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

func (m *model) sayNotRun(k Key) {
	m.notRun[k] = true
	m.check()
}

// act lets the winner of a key run it, or give up without sending.
func (m *model) act() {
	if len(m.won) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.won)-1).Draw(m.t, "winner")
	a := m.won[i]
	m.won = slices.Delete(m.won, i, i+1)
	entry := Entry{Key: a.key, Attempt: a.id, Outcome: OutcomeAnswered}
	if a.round.request.Block || rapid.Bool().Draw(m.t, "gives up") {
		entry.Outcome = OutcomeNotRun
		m.sayNotRun(a.key)
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
			m.t.Fatalf("key %v was said not to run, and ran", k)
		}
	}
}

func (m *model) deliver() {
	if len(m.net) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.net)-1).Draw(m.t, "message")
	f := m.net[i]
	switch rapid.IntRange(0, 9).Draw(m.t, "fate") {
	case 0: // lost
	case 1: // delivered now and again later
		f()
		return
	default:
		f()
	}
	m.net = slices.Delete(m.net, i, i+1)
}

func (m *model) flush() {
	for n := rapid.IntRange(1, 40).Draw(m.t, "messages"); n > 0 && len(m.net) > 0; n-- {
		m.deliver()
	}
}

func (m *model) drain() {
	for len(m.net) > 0 {
		f := m.net[0]
		m.net = m.net[1:]
		f()
	}
}

func (m *model) crash() {
	name := m.anyMember()
	m.silent[name] = m.tables[name].heard
	switch rapid.IntRange(0, 2).Draw(m.t, "end") {
	case 0:
		m.tables[name].Stop()
		m.left[name] = true
	case 1:
		delete(m.tables, name)
	}
	m.join()
}

// propose starts a change with the claims of some of the members.
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
		at, silent := m.silent[name]
		if m.left[name] || silent && m.now.Monotonic-at > Authority {
			change.Stopped(name)
		}
		m.send(func() { m.seal(change, old.Number, name, 0) })
	}
}

func (m *model) seal(change *Change, view int64, name string, from int) {
	_, silent := m.silent[name]
	if table := m.tables[name]; table != nil && !silent {
		answer := table.Seal(m.now, SealRequest{View: view, From: from})
		m.send(func() {
			if change.prepared || change.Sealed(name, answer) != nil {
				return
			}
			if answer.Next > 0 {
				m.seal(change, view, name, answer.Next)
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
		m.tables[m.anyMember()].ReadView(m.log[len(m.log)-1])
	}
}

func (m *model) wait() {
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

// settle completes a change of the view without faults, so that generated cases often have a usable view.
func (m *model) settle() {
	m.propose()
	m.drain()
	m.install()
	m.drain()
	m.record()
	if len(m.log) > 0 {
		for _, name := range m.members() {
			m.tables[name].ReadView(m.log[len(m.log)-1])
		}
	}
}

// Guards against a key that runs twice or after it was said not to run: any order, loss and repetition of
// messages, member restarts, racing and half-done view changes, full tables, and clock steps past retention and
// authority.
func TestKeyRunsAtMostOnce(t *testing.T) {
	wins, runs, fresh := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{t: rt, now: Now{UnixMs: 1_700_000_000_000}, tables: map[string]*Table{},
			silent: map[string]time.Duration{}, left: map[string]bool{}, ran: map[Key]int{}, notRun: map[Key]bool{}}
		for range rapid.IntRange(1, 5).Draw(rt, "members") {
			m.join()
		}
		for i, ahead := range []int64{0, 3000, 40_000} {
			m.keys = append(m.keys, keyAt(m.now.UnixMs+ahead, byte(i)))
		}
		m.settle()
		rt.Repeat(map[string]func(*rapid.T){
			"start": func(*rapid.T) { m.start(false) }, "start again": func(*rapid.T) { m.start(false) },
			"block": func(*rapid.T) { m.start(true) }, "act": func(*rapid.T) { m.act() },
			"act again": func(*rapid.T) { m.act() }, "start third": func(*rapid.T) { m.start(false) },
			"flush again": func(*rapid.T) { m.flush() },
			"deliver":     func(*rapid.T) { m.deliver() }, "flush": func(*rapid.T) { m.flush() },
			"crash": func(*rapid.T) { m.crash() }, "propose": func(*rapid.T) { m.propose() },
			"install": func(*rapid.T) { m.install() }, "record": func(*rapid.T) { m.record() },
			"read": func(*rapid.T) { m.read() }, "wait": func(*rapid.T) { m.wait() },
			"contend": func(*rapid.T) { m.contend() }, "contend again": func(*rapid.T) { m.contend() },
			"settle": func(*rapid.T) { m.settle() }, "": func(*rapid.T) { m.check() },
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
		t.Fatal("no case ran a key: the model reaches nothing")
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
