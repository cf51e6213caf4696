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
