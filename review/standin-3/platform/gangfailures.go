package main

import (
	"fmt"
	"time"
)

const (
	// gangWorkers is the number of workers, on each of which one member runs; three of them fail what they start.
	gangWorkers    = 20
	failingWorkers = 3
	// failTime is how long they do so: until the first run of the gang has been started.
	failTime = 500 * time.Millisecond
)

// gangFailures hands in a gang of which one run fails, by the fault of several workers at the same moment. The queue allows
// three attempts.
func gangFailures(e *environment, trouble bool) (bool, error) {
	if err := e.start(gangWorkers, func(n int) string { return fmt.Sprintf("i-94e29849%02x", n) }, nil); err != nil {
		return false, err
	}
	if trouble {
		for _, w := range e.workers[:failingWorkers] {
			w.mu.Lock()
			w.failsUntil = time.Now().Add(failTime)
			w.mu.Unlock()
		}
		e.rec.printf("%d of %d workers fail all that they start for %v", failingWorkers, gangWorkers, failTime)
	}
	s := taskSpec{WorkMs: 3000, CPU: 2000, MemMB: 1000, Gang: gangWorkers}
	if err := e.submit(jobID(1), map[string]any{"spec": spec(s), "steps": []map[string]any{{"count": gangWorkers, "cpu": s.CPU,
		"mem_mb": s.MemMB, "estimate_ms": s.WorkMs, "gang": true, "max_per_server": 1}}}); err != nil {
		return false, err
	}
	time.Sleep(finishTime)
	starts, done, active := e.rec.counts(jobID(1))
	state := e.state(jobID(1))
	e.rec.printf("submission %s: %s, %d runs of tasks started, so %d of the gang; %d done, %d active", jobID(1), state, starts,
		starts/gangWorkers, done, active)
	return state == "completed", nil
}
