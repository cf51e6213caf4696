package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"waxwingslip.example/node/shardlease"
)

// owner returns the newest record of the owner of shard 0, or nil.
func (c *testCase) owner() *shardlease.Owner {
	page, err := c.store.As("case").Newest(context.Background(), ownerPartition, "")
	if err != nil || len(page.Records) == 0 {
		return nil
	}
	var o shardlease.Owner
	if cbor.Unmarshal(page.Records[0].Value, &o) != nil {
		return nil
	}
	return &o
}

func (c *testCase) daemonNamed(name string) *daemon {
	for _, d := range c.daemons {
		if d.name == name {
			return d
		}
	}
	panic("no daemon " + name)
}

// twice cuts the owner's zone off, with a worker in it, and restarts the next owner soon after it has claimed the shard.
func twice(c *testCase) bool {
	c.addDaemons(3)
	inside := c.fleet.add("i-1f00000001", "luzon-a", "a", "r1-1", 64000)
	c.startAll()
	var first *shardlease.Owner
	c.await("the shard has an owner", 15*time.Second, func() bool { first = c.owner(); return first != nil })
	j := &job{id: "5c0e7a21d94b36f8", steps: []step{{count: 4, cpu: 4000, memMB: 8000, work: 400 * time.Millisecond, long: true}}}
	if !c.submit(j) {
		panic(errNotRun("the job is not accepted"))
	}
	c.await("all tasks run", 10*time.Second, func() bool { return len(c.fleet.runsOf(j.id)) == 4 })
	// The second worker is in another zone; the tasks run on the first.
	c.fleet.add("i-1f00000002", "luzon-b", "a", "r2-1", 64000)
	time.Sleep(4 * time.Second)
	if c.trouble {
		c.rec.say("the zone of %s and worker %s is cut off for 12 s", first.Name, inside.id)
		cut := c.daemonNamed(first.Name)
		cut.path.closed.Store(true)
		c.fleet.mu.Lock()
		for _, w := range c.fleet.workers {
			w.reachable = func(fence int64) bool { return (fence <= first.Epoch) == (w == inside) }
		}
		c.fleet.mu.Unlock()
		time.AfterFunc(12*time.Second, func() {
			c.rec.say("the zone is reached again")
			cut.path.closed.Store(false)
			c.fleet.mu.Lock()
			for _, w := range c.fleet.workers {
				w.reachable = nil
			}
			c.fleet.mu.Unlock()
		})
		var second *shardlease.Owner
		c.await("another daemon owns the shard", 10*time.Second, func() bool {
			second = c.owner()
			return second != nil && second.Epoch > first.Epoch
		})
		time.Sleep(300 * time.Millisecond)
		d := c.daemonNamed(second.Name)
		c.rec.say("the process of %s is killed and started again", d.name)
		d.signal(syscall.SIGKILL)
		time.Sleep(300 * time.Millisecond)
		if err := d.start(); err != nil {
			panic(err)
		}
	}
	time.Sleep(16 * time.Second)
	broken := false
	runs := c.fleet.runsOf(j.id)
	for i := range runs {
		for k := range i {
			a, b := &runs[k], &runs[i]
			if a.task != b.task || a.to != 0 && a.to <= b.from {
				continue
			}
			broken = true
			until := "now"
			if a.to != 0 {
				until = fmt.Sprintf("%.3f", a.to.Seconds())
			}
			c.rec.say("TWICE: %s runs as %d on %s until %s and as %d on %s from %.3f", a.task, a.number, a.w.id, until, b.number,
				b.w.id, b.from.Seconds())
		}
	}
	return broken
}

// silentStart kills all daemons while the store leaves calls unanswered, and asks for service long after that.
func silentStart(c *testCase) bool {
	c.addDaemons(3)
	c.fleet.add("i-1f00000001", "luzon-a", "a", "r1-1", 64000)
	c.fleet.add("i-1f00000002", "luzon-b", "a", "r2-1", 64000)
	c.startAll()
	before := &job{id: "5c0e7a21d94b36f8", steps: []step{{count: 4, cpu: 4000, memMB: 8000, work: 400 * time.Millisecond, long: true}}}
	if !c.submit(before) {
		panic(errNotRun("the job is not accepted"))
	}
	c.await("all tasks run", 10*time.Second, func() bool { return len(c.fleet.runsOf(before.id)) == 4 })
	if c.trouble {
		c.rec.say("the store leaves calls unanswered for under 4.5 s")
		for _, d := range c.daemons {
			d.path.closed.Store(true)
		}
		time.Sleep(time.Second)
		c.rec.say("the processes of all daemons are killed and start again")
		c.killAll()
		time.Sleep(500 * time.Millisecond)
		for _, d := range c.daemons {
			if err := d.start(); err != nil {
				panic(err)
			}
		}
		time.Sleep(2900 * time.Millisecond)
		for _, d := range c.daemons {
			d.path.closed.Store(false)
		}
		c.rec.say("the store answers again")
	}
	time.Sleep(30 * time.Second)
	// recovery_s is 12, finish_s is 14.
	ready := 0
	for _, d := range c.daemons {
		if d.ready() {
			ready++
		}
	}
	c.rec.say("30 s later %d of 3 daemons are ready", ready)
	asked, answered := 0, 0
	for range 5 {
		for _, d := range c.daemons {
			asked++
			if status, state := c.state(d, before.id); status == http.StatusOK && state == "running" {
				answered++
			}
		}
		time.Sleep(time.Second)
	}
	after := &job{id: "5c0e7a21d94b36f9", steps: []step{{count: 1, cpu: 4000, memMB: 8000, work: 400 * time.Millisecond}}}
	accepted := c.submit(after)
	running := 0
	for _, r := range c.fleet.runsOf(before.id) {
		if r.to == 0 {
			running++
		}
	}
	c.logTails(3)
	c.rec.say("LOST: %d of %d questions for the accepted job are answered; %d of its 4 tasks run", answered, asked, running)
	c.rec.say("RECOVER: a new job is accepted: %v", accepted)
	return answered == 0 && running == 0 || !accepted
}

// Workers of the kind that few are of. The first belongs to shard 1, the other to shard 0.
const (
	rareA = "i-2b00000001"
	rareB = "i-2b00000005"
)

// lostKind takes one of two workers of a kind away for good, and hands in jobs that need the kind.
func lostKind(c *testCase) bool {
	c.addDaemons(3)
	for i := range 98 {
		c.fleet.add(fmt.Sprintf("i-1f%08d", i), "luzon-a", "a", fmt.Sprintf("r1-%d", i/8), 64000)
	}
	c.fleet.add(rareA, "luzon-a", "b", "r1-10", 64000)
	gone := c.fleet.add(rareB, "luzon-b", "b", "r2-10", 64000)
	c.startAll()
	time.Sleep(3 * time.Second)
	if c.trouble {
		c.rec.say("worker %s is lost for good; %s of the same kind is up", rareB, rareA)
		gone.crash()
		time.Sleep(15 * time.Second)
	}
	var list []*job
	for i := range 8 {
		j := &job{id: fmt.Sprintf("5c0e7a21d94b36f%d", i), steps: []step{{count: 1, cpu: 2000, memMB: 1000,
			work: 500 * time.Millisecond, label: "b"}}}
		if !c.submit(j) {
			panic(errNotRun("the job is not accepted"))
		}
		list = append(list, j)
	}
	time.Sleep(30 * time.Second)
	lost := 0
	for i, j := range list {
		_, state := c.state(c.daemons[i%len(c.daemons)], j.id)
		if len(c.fleet.runsOf(j.id)) == 0 {
			lost++
			c.rec.say("LOST: %s was accepted 30 s ago, has no run and is %s; %s is up and runs nothing", j.id, state, rareA)
		}
	}
	return lost > 0
}

// newKind restarts a worker as one of another kind under its id, and hands in a job that needs the new kind.
func newKind(c *testCase) bool {
	c.addDaemons(3)
	for i := range 7 {
		c.fleet.add(fmt.Sprintf("i-1f0000000%d", i+1), "luzon-a", "a", "r1-1", 64000)
	}
	kind := "a"
	if !c.trouble {
		kind = "b"
	}
	w := c.fleet.add("i-1f00000008", "luzon-b", kind, "r2-1", 64000)
	c.startAll()
	time.Sleep(3 * time.Second)
	if c.trouble {
		c.rec.say("worker %s crashes and starts again under its id, as kind b", w.id)
		w.crash()
		time.Sleep(2 * time.Second)
		w.kind = "b"
		w.start()
	}
	time.Sleep(10 * time.Second)
	needsB := &job{id: "5c0e7a21d94b36f8", steps: []step{{count: 1, cpu: 4000, memMB: 8000, work: 500 * time.Millisecond, label: "b"}}}
	needsA := &job{id: "5c0e7a21d94b36f9", steps: []step{{count: 16, cpu: 4000, memMB: 8000, work: 500 * time.Millisecond,
		label: "a", maxPerWorker: 2}}}
	if !c.submit(needsB) || !c.submit(needsA) {
		panic(errNotRun("a job is not accepted"))
	}
	time.Sleep(30 * time.Second)
	broken := false
	_, state := c.state(c.daemons[0], needsB.id)
	if len(c.fleet.runsOf(needsB.id)) == 0 {
		broken = true
		c.rec.say("LOST: %s needs kind b, was accepted 30 s ago, has no run and is %s; %s is of kind b and up", needsB.id, state, w.id)
	}
	for _, r := range c.fleet.runsOf(needsA.id) {
		if r.w.kind != "a" {
			broken = true
			c.rec.say("ROUTE: %s needs kind a and is started on %s of kind %s", r.task, r.w.id, r.w.kind)
		}
	}
	return broken
}

// waitingDelay is visible_ms and 2 s: submissions that were accepted longer ago count as waiting until they begin.
const waitingDelay = 5 * time.Second

// waiting lets the only worker with room reject starts for a while, and asks how many jobs wait.
func waiting(c *testCase) bool {
	c.addDaemons(3)
	for i := range 12 {
		c.fleet.add(fmt.Sprintf("i-1f000000%02d", i), "luzon-a", "a", "r1-1", 64000)
	}
	c.startAll()
	time.Sleep(3 * time.Second)
	full := &job{id: "5c0e7a21d94b36f8", steps: []step{{count: 11, cpu: 60000, memMB: 8000, work: 100 * time.Second, maxPerWorker: 1}}}
	if !c.submit(full) {
		panic(errNotRun("the job is not accepted"))
	}
	c.await("eleven of twelve workers are full", 10*time.Second, func() bool { return len(c.fleet.runsOf(full.id)) == 11 })
	c.fleet.mu.Lock()
	var free *worker
	for _, w := range c.fleet.workers {
		if len(w.runs) == 0 {
			free = w
		}
	}
	free.refusing = c.trouble
	c.fleet.mu.Unlock()
	if c.trouble {
		c.rec.say("worker %s rejects starts for 6.4 s", free.id)
		time.AfterFunc(6400*time.Millisecond, func() {
			c.fleet.mu.Lock()
			defer c.fleet.mu.Unlock()
			free.refusing = false
			c.rec.say("worker %s takes starts again", free.id)
		})
	}
	var list []*job
	accepted := map[string]time.Time{}
	for i := range 12 {
		j := &job{id: fmt.Sprintf("000000000000000%x", i), steps: []step{{count: 1, cpu: 60000, memMB: 1000, work: 2 * time.Second}}}
		if !c.submit(j) {
			panic(errNotRun("the job is not accepted"))
		}
		list, accepted[j.id] = append(list, j), time.Now()
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	broken := false
	for range 3 {
		for _, d := range c.daemons {
			notBegun := 0 // of those that the rule counts
			for _, j := range list {
				if len(c.fleet.runsOf(j.id)) == 0 && time.Since(accepted[j.id]) > waitingDelay {
					notBegun++
				}
			}
			status, body := c.call(d, http.MethodGet, "", nil)
			var v struct{ Waiting int }
			if status != http.StatusOK || json.Unmarshal([]byte(body), &v) != nil {
				continue
			}
			c.rec.say("%s says that %d jobs wait; %d have not begun %v after they were accepted", d.name, v.Waiting, notBegun,
				waitingDelay)
			if 2*v.Waiting < notBegun {
				broken = true
				c.rec.say("MIXED: that is under half of them")
			}
		}
		time.Sleep(2 * time.Second)
	}
	for _, j := range list {
		_, state := c.state(c.daemons[0], j.id)
		c.rec.say("%s is shown as %s and has had %d runs", j.id, state, len(c.fleet.runsOf(j.id)))
	}
	return broken
}
