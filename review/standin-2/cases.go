package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// front is a machine of the sheet of Ambon Mistworks.
var front = limits{cores: 0.16, memoryMB: 284}

// threeDaemons starts a daemon in each zone.
func (e *env) threeDaemons(m limits) {
	for _, z := range []string{"luzon-a", "luzon-b", "visayas-a"} {
		e.addDaemon("front-"+z+"-1", z, m)
	}
}

// fleet adds n workers of 64 cores and 250 GB.
func (e *env) fleet(n int) {
	zones := []string{"luzon-a", "luzon-b", "visayas-a"}
	for i := range n {
		e.addWorker(fmt.Sprintf("i-7f3a91%02x", i), zones[i%3], 64000, 250000, "a", fmt.Sprintf("r%d-%d", i%3+1, i/24+1))
	}
}

// shortStep is a step of tasks that take a second.
func shortStep(count, cpu int) step {
	return step{map[string]any{"count": count, "cpu": cpu, "mem_mb": 1000, "estimate_ms": 1000},
		behaviour{cpu: cpu, mem: 1000, work: time.Second}}
}

// lastingStep is a step of tasks that last.
func lastingStep(count, cpu int, more map[string]any) step {
	body := map[string]any{"count": count, "cpu": cpu, "mem_mb": 4000, "estimate_ms": 400, "long_running": true}
	for k, v := range more {
		body[k] = v
	}
	return step{body, behaviour{cpu: cpu, mem: 4000, startup: 400 * time.Millisecond}}
}

// mustSubmit hands a submission in.
func (e *env) mustSubmit(n int, steps ...step) string {
	if !e.submit(id(n), e.define(id(n), "(text)", steps...)) {
		e.cannotRun("submission %s was not accepted", id(n))
	}
	return id(n)
}

// longTasks: for 3 s, a twentieth of the submissions take ten times as long as estimated.
func longTasks(e *env) {
	e.publish(nil)
	e.fleet(4)
	e.threeDaemons(front)
	e.awaitReady()
	estimate := 300_000
	if e.trouble {
		estimate = 30_000
	}
	var short []string
	for i := range 40 {
		if i == 10 || i == 30 {
			e.mustSubmit(100+i, step{map[string]any{"count": 4, "cpu": 7000, "mem_mb": 13000, "estimate_ms": estimate, "max_per_server": 1},
				behaviour{cpu: 7000, mem: 13000, work: 300 * time.Second}})
		} else {
			short = append(short, e.mustSubmit(100+i, shortStep(6, 2000)))
		}
		time.Sleep(75 * time.Millisecond)
	}
	for i := range 20 {
		time.Sleep(300 * time.Millisecond)
		short = append(short, e.mustSubmit(200+i, shortStep(6, 2000)))
	}
	e.note("the traffic ends")
	time.Sleep(finishTime)
	lost := e.idle(short, 2000, 6)
	e.verdict(lost > 0, "%d of %d short submissions have nothing running for 3 s, 14 s after the traffic", lost, len(short))
}

// hopelessSubmissions: for 3 s, a twentieth of the submissions can never be done; a lasting one comes after them.
func hopelessSubmissions(e *env) {
	e.publish(nil)
	e.fleet(4)
	e.threeDaemons(front)
	e.awaitReady()
	for i := range 20 {
		s := shortStep(6, 4000)
		if i == 10 && e.trouble {
			s = step{map[string]any{"count": 32, "cpu": 14000, "mem_mb": 26000, "estimate_ms": 2700, "required_label": "nowhere"},
				behaviour{cpu: 14000, mem: 26000, work: 2700 * time.Millisecond}}
		}
		e.mustSubmit(100+i, s)
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	lasting := e.mustSubmit(1, lastingStep(6, 13000, nil))
	e.note("the traffic ends")
	time.Sleep(30 * time.Second)
	_, state := e.state(lasting)
	broken := e.nothingRuns(lasting, 13000, 6)
	e.verdict(broken, "30 s after the traffic, the lasting submission is shown as %q: %d runs began, %d tasks run", state, e.runsOf(lasting), e.activeOf(lasting))
}

// largeShortTasks: short tasks that take more than half of a worker, and lasting submissions after them.
func largeShortTasks(e *env) {
	e.publish(nil)
	e.fleet(4)
	e.threeDaemons(front)
	e.awaitReady()
	cpu := 4000
	if e.trouble {
		cpu = 40000
	}
	e.mustSubmit(1, shortStep(4, cpu))
	time.Sleep(5 * time.Second)
	first := e.mustSubmit(2, lastingStep(4, 25000, map[string]any{"max_per_server": 1}))
	for i := 0; e.activeOf(first) < 4; i++ {
		if i > 400 {
			e.cannotRun("the first lasting submission does not run")
		}
		time.Sleep(100 * time.Millisecond)
	}
	second := e.mustSubmit(3, lastingStep(2, 5000, nil))
	e.note("the traffic ends")
	time.Sleep(30 * time.Second)
	_, state := e.state(second)
	broken := e.nothingRuns(second, 5000, 2)
	e.verdict(broken, "second lasting submission %s (%s), 30 s after the traffic: %d runs began", second, state, e.runsOf(second))
}

// loadOnNarrowLink: the process that owns the jobs is killed, with many jobs in the store and links of 10 Mbit/s.
func loadOnNarrowLink(e *env) {
	e.publish(nil)
	e.fleet(6)
	e.threeDaemons(limits{cores: 0.4, memoryMB: 284, linkMbps: 10})
	e.awaitReady()
	const count, perSecond = 1300, 31
	spec := strings.Repeat("x", 4000)
	var wg sync.WaitGroup
	next := make(chan int)
	var mu sync.Mutex
	var accepted []string
	for range 24 {
		wg.Go(func() {
			for n := range next {
				if e.submit(id(n), e.define(id(n), spec, shortStep(1, 1000))) {
					mu.Lock()
					accepted = append(accepted, id(n))
					mu.Unlock()
				}
			}
		})
	}
	begun := time.Now()
	for n := range count {
		next <- n
		time.Sleep(time.Until(begun.Add(time.Duration(n) * time.Second / perSecond)))
	}
	close(next)
	wg.Wait()
	e.note("%d submissions were accepted", len(accepted))
	time.Sleep(2 * time.Second)
	if e.trouble {
		owner := e.owner()
		if owner == nil {
			e.cannotRun("no daemon owns the jobs")
		}
		owner.kill()
		e.note("the process of %s is killed", owner.name)
		time.Sleep(1200 * time.Millisecond)
		owner.start()
	}
	e.note("the traffic ends")
	time.Sleep(finishTime)
	asked, answered := 0, 0
	for i := 0; i < len(accepted); i += len(accepted) / 40 {
		wg.Go(func() {
			status, _ := e.state(accepted[i])
			mu.Lock()
			defer mu.Unlock()
			if asked++; status == http.StatusOK {
				answered++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	e.verdict(answered < asked, "14 s after the traffic, %d of %d accepted submissions are known and answered", answered, asked)
}

// owner returns the daemon that the newest record of the first shard's owner names.
func (e *env) owner() *daemon {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	value := string(e.store.part("keyed.owner", "0").newest["owner"].value)
	for _, d := range e.daemons {
		if strings.Contains(value, d.name) {
			return d
		}
	}
	return nil
}

// longCheckpoints: a submission of many tasks, which save values of 64 digits.
func longCheckpoints(e *env) {
	e.publish(nil)
	e.fleet(48)
	e.threeDaemons(front)
	e.awaitReady()
	digits := 16
	if e.trouble {
		digits = 64
	}
	saved := func(task string, worked time.Duration) string {
		if worked < time.Second {
			return ""
		}
		v := fmt.Sprintf("%x", worked.Milliseconds()/1000) + strings.Map(func(r rune) rune {
			if r == '.' {
				return -1
			}
			return r
		}, task)
		return (v + strings.Repeat("0", 64))[:digits]
	}
	large := e.mustSubmit(1, step{map[string]any{"count": 3900, "cpu": 300, "mem_mb": 1000, "estimate_ms": 80000, "checkpointing": true},
		behaviour{cpu: 300, mem: 1000, work: 80 * time.Second, checkpoint: saved}},
		step{map[string]any{"count": 20, "cpu": 300, "mem_mb": 1000, "estimate_ms": 8000}, behaviour{cpu: 300, mem: 1000, work: 8 * time.Second}})
	time.Sleep(15 * time.Second)
	e.note("%d tasks of the large submission run", e.activeOf(large))
	var short []string
	for i := range 5 {
		short = append(short, e.mustSubmit(10+i, shortStep(2, 500)))
		time.Sleep(500 * time.Millisecond)
	}
	e.note("the traffic ends")
	time.Sleep(finishTime)
	lost := e.idle(short, 500, 2)
	e.store.mu.Lock()
	refused := e.store.tooLarge
	e.store.mu.Unlock()
	e.verdict(lost > 0, "%d of %d short submissions have nothing running for 3 s, 14 s after the traffic; the store refused %d records over record_bytes", lost, len(short), refused)
}

// drainDuringStarts: a worker in another region drains while the tasks of a submission are started there.
func drainDuringStarts(e *env) {
	e.publish(nil)
	e.fleet(2)
	for _, w := range e.workers {
		w.delay = 20 * time.Millisecond
	}
	e.threeDaemons(front)
	e.awaitReady()
	large := e.mustSubmit(1, step{map[string]any{"count": 600, "cpu": 100, "mem_mb": 100, "estimate_ms": 20000},
		behaviour{cpu: 100, mem: 100, work: 20 * time.Second}})
	var on *worker
	for i := 0; on == nil && i < 100; i++ {
		time.Sleep(20 * time.Millisecond)
		for _, w := range e.workers {
			w.mu.Lock()
			if len(w.runs) > 10 {
				on = w
			}
			w.mu.Unlock()
		}
	}
	if on == nil {
		e.cannotRun("no task runs")
	}
	var at time.Time
	if e.trouble {
		at = on.drain()
	}
	time.Sleep(15 * time.Second)
	late, last := 0, time.Duration(0)
	e.mu.Lock()
	for task, starts := range e.starts {
		for _, s := range starts {
			if strings.HasPrefix(task, large) && e.trouble && s.worker == on.id && s.at.After(at.Add(drainTime)) {
				late++
				last = max(last, s.at.Sub(at))
			}
		}
	}
	e.mu.Unlock()
	e.verdict(late > 0, "%d tasks were started on the draining worker later than drain_ms, the last %v after the store accepted the report", late, last)
}

// moveLasting: short tasks need the only worker of a kind, which another shard holds and on which lasting tasks run.
func moveLasting(e *env) {
	e.publish(nil)
	zones := []string{"luzon-a", "luzon-b", "visayas-a"}
	for i := range 48 {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		e.addWorker(fmt.Sprintf("i-7f3a91%02x", i), zones[i%3], 64000, 250000, kind, fmt.Sprintf("r%d-%d", i%3+1, i/24+1))
	}
	e.threeDaemons(limits{cores: 0.069, memoryMB: 160})
	e.awaitReady()
	var lasting []string
	for i := range 4 {
		s := lastingStep(48, 1000, map[string]any{"may_miss": 1})
		s.what.startup = time.Second
		lasting = append(lasting, e.mustSubmit(1+i, s))
	}
	time.Sleep(12 * time.Second)
	for _, id := range lasting {
		e.note("%d tasks of %s run", e.activeOf(id), id)
	}
	if e.trouble {
		for i := range 8 {
			e.mustSubmit(10+i, step{map[string]any{"count": 2, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 1000, "required_label": "b"},
				behaviour{cpu: 1000, mem: 1000, work: time.Second}})
		}
	}
	time.Sleep(30 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	broken, stops := 0, 0
	for _, end := range e.ends {
		if !strings.HasPrefix(end.task, lasting[0][:12]+"000") || end.how != "stopped" || len(lasting) == 0 {
			continue
		}
		stops++
		away := 0
		for _, other := range e.ends {
			if other.task == end.task || other.how != "stopped" || other.task[:16] != end.task[:16] || other.at.After(end.at) {
				continue
			}
			back := false
			for _, s := range e.starts[other.task] {
				back = back || s.at.After(other.at) && s.at.Add(time.Second).Before(end.at)
			}
			if !back {
				away++
			}
		}
		if away >= 1 {
			broken++
		}
	}
	e.mu.Unlock()
	e.note("%d lasting tasks were stopped, %d while another of the step was away", stops, broken)
	e.mu.Lock()
	b := broken > 0
	e.mu.Unlock()
	e.verdict(b, "may_miss is 1")
	e.mu.Lock()
}

// cutSubmit: the daemon that owns the jobs is cut off from the store with a submission in hand, and the client cancels it at
// another daemon.
func cutSubmit(e *env) {
	e.publish(nil)
	e.fleet(4)
	e.threeDaemons(limits{cores: 0.16, memoryMB: 284, mayCut: true})
	e.awaitReady()
	owner := e.owner()
	if owner == nil {
		e.cannotRun("no daemon owns the jobs")
	}
	other := e.daemons[0]
	if other == owner {
		other = e.daemons[1]
	}
	body := e.define(id(1), "(text)", lastingStep(2, 1000, nil))
	if e.trouble {
		owner.link.cut()
		e.note("%s is cut off from the store", owner.name)
	}
	begun := time.Now()
	status, _ := e.send(owner, http.MethodPost, id(1), body, 3*time.Second)
	e.note("POST %s: %d", id(1), status)
	acknowledged := false
	for range 5 {
		status, _ = e.send(other, http.MethodDelete, id(1), nil, 3*time.Second)
		e.note("DELETE %s: %d", id(1), status)
		if acknowledged = status >= 200 && status < 300 || status == http.StatusGone; acknowledged {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	at := time.Now()
	if !acknowledged {
		e.cannotRun("the cancelling was not acknowledged")
	}
	if e.trouble {
		time.Sleep(time.Until(begun.Add(5500 * time.Millisecond)))
		owner.link.heal()
		e.note("%s reaches the store again", owner.name)
	}
	time.Sleep(20 * time.Second)
	_, state := e.state(id(1))
	e.verdict(e.activeOf(id(1)) > 0, "%.0f s after its cancelling was acknowledged, the submission is shown as %q and %d of its tasks run", time.Since(at).Seconds(),
		state, e.activeOf(id(1)))
}
