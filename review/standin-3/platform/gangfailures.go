package main

import (
	"fmt"
	"time"
)

const (
	// gangWorkers is the number of workers, on each of which one member runs; three of them fail what they start.
	gangWorkers    = 20
	failingWorkers = 3
	// maxFailTime limits the time for which they do so, which is until the first run of the gang has been started.
	maxFailTime = 6 * time.Second
)

// gangFailures hands in a gang of which one run fails, by the fault of several workers at the same moment. The queue allows
// three attempts.
func gangFailures(e *environment, trouble bool) (bool, error) {
	if err := e.start(gangWorkers, func(n int) string { return fmt.Sprintf("i-94e29849%02x", n) }, nil); err != nil {
		return false, err
	}
	if trouble {
		e.setFailing(true)
		e.rec.printf("%d of %d workers fail all that they start", failingWorkers, gangWorkers)
	}
	s := taskSpec{WorkMs: 3000, CPU: 2000, MemMB: 1000, Gang: gangWorkers}
	if err := e.submit(jobID(1), map[string]any{"spec": spec(s), "steps": []map[string]any{{"count": gangWorkers, "cpu": s.CPU,
		"mem_mb": s.MemMB, "estimate_ms": s.WorkMs, "gang": true, "max_per_server": 1}}}); err != nil {
		return false, err
	}
	if trouble {
		limit := time.Now().Add(maxFailTime)
		for starts := 0; starts < gangWorkers; starts, _, _ = e.rec.counts(jobID(1)) {
			if time.Now().After(limit) {
				return false, fmt.Errorf("%d members of the gang were started in time", starts)
			}
			time.Sleep(10 * time.Millisecond)
		}
		e.setFailing(false)
		e.rec.printf("all workers are sound again")
	}
	time.Sleep(finishTime)
	starts, done, active := e.rec.counts(jobID(1))
	state := e.state(jobID(1))
	e.rec.printf("submission %s: %s, %d runs of tasks started, so %d of the gang; %d done, %d active", jobID(1), state, starts,
		starts/gangWorkers, done, active)
	return state == "completed", nil
}

func (e *environment) setFailing(fails bool) {
	for _, w := range e.workers[:failingWorkers] {
		w.mu.Lock()
		w.fails = fails
		w.mu.Unlock()
	}
}
