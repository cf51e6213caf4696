// Command review-standin-2 plays one case: it starts the store, the workers and the daemons, sends what clients send, and
// judges one rule by what clients, workers and the store have seen.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Bounds that the settings file and the sheets name.
const (
	finishTime = 14 * time.Second
	idleWindow = 3 * time.Second
)

var cases = map[string]func(*env){
	"long":   longTasks,
	"poison": hopelessSubmissions,
	"load":   loadOnNarrowLink,
	"saved":  longCheckpoints,
	"cut":    cutSubmit,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE RECORD")
		os.Exit(2)
	}
	e := newEnv(os.Args[2])
	time.AfterFunc(115*time.Second, func() { e.cannotRun("the time is up") })
	cases[os.Args[1]](e)
	e.cannotRun("the case has no verdict")
}

// verdict ends the program with the result.
func (e *env) verdict(broken bool, format string, args ...any) {
	e.note(format, args...)
	if broken {
		e.note("the rule is BROKEN")
		e.exit(1)
	}
	e.note("the rule held")
	e.exit(0)
}

// nothingRuns watches for 3 s whether a submission has nothing running, although there is capacity for it twice over and
// under half of the service's capacity is in use.
func (e *env) nothingRuns(id string, cpu, count int) bool {
	for until := time.Now().Add(idleWindow); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		used, total := e.inUse()
		room := 0
		for _, w := range e.workers {
			w.mu.Lock()
			free := w.cpu
			for _, r := range w.runs {
				free -= r.what.cpu
			}
			room += free / cpu
			w.mu.Unlock()
		}
		if e.activeOf(id) > 0 || 2*used >= total || room < 2*count {
			return false
		}
	}
	return true
}

// idle returns how many submissions, of count tasks each, are not completed and have nothing running for 3 s.
func (e *env) idle(ids []string, cpu, count int) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	n := 0
	for _, id := range ids {
		wg.Go(func() {
			if _, state := e.state(id); state != "completed" && e.nothingRuns(id, cpu, count) {
				mu.Lock()
				defer mu.Unlock()
				n++
			}
		})
	}
	wg.Wait()
	return n
}

func id(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }
