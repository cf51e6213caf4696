package main

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// gangWait is how long a member of a gang waits for the others.
const gangWait = 3 * time.Second

// gang is one run of a gang: its members work from the moment when all are present, and end together.
type gang struct {
	size    int
	members map[string]*worker // by task
	begun   bool
	fails   bool // some member was started on a failing worker
}

// gangs holds the runs of gangs on all workers, by step and run.
type gangs struct {
	mu  sync.Mutex
	all map[string]*gang
}

var gangRuns = gangs{all: map[string]*gang{}}

func gangKey(task string, run int64) string {
	return task[:strings.LastIndexByte(task, '.')] + "/" + strconv.FormatInt(run, 10)
}

// join adds a member that a worker has started, and that fails if the worker does so. Its caller holds the worker's mu, so it
// ends no run itself.
func (g *gangs) join(w *worker, task string, run int64, s taskSpec, fails bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(task, run)
	r := g.all[key]
	if r == nil {
		r = &gang{size: s.Gang, members: map[string]*worker{}}
		g.all[key] = r
		time.AfterFunc(gangWait, func() { g.endIf(key, run, func() bool { return !r.begun }, "alone", "alone") })
	}
	r.members[task] = w
	r.fails = r.fails || fails
	if len(r.members) < r.size || r.begun {
		return
	}
	r.begun = true
	after, how := time.Duration(s.WorkMs)*time.Millisecond, "done"
	if r.fails {
		after, how = failAfter, "broken"
	}
	time.AfterFunc(after, func() { g.endIf(key, run, func() bool { return true }, how, "failed") })
}

// endIf ends all members of a run of a gang if the condition holds: those that were started on failing workers as onFailing,
// the others as how.
func (g *gangs) endIf(key string, run int64, condition func() bool, how, onFailing string) {
	g.mu.Lock()
	r := g.all[key]
	if r == nil || !condition() {
		g.mu.Unlock()
		return
	}
	delete(g.all, key)
	g.mu.Unlock()
	for task, w := range r.members {
		w.mu.Lock()
		if a := w.runs[task]; a != nil && a.number == run {
			if a.fails {
				w.end(task, onFailing)
			} else {
				w.end(task, how)
			}
		}
		w.mu.Unlock()
	}
}

// leave ends the other members of a run of which one has ended.
func (g *gangs) leave(task string, run int64) {
	g.endIf(gangKey(task, run), run, func() bool { return true }, "broken", "broken")
}
