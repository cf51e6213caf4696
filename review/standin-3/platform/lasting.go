package main

import (
	"fmt"
	"time"
)

const (
	lastingWorkers = 4
	// largeCPU and smallCPU are the processor time of the short task, with and without the disruption.
	largeCPU = 40_000
	smallCPU = 4_000
	// spreadTime is how long the first lasting submission has to take its place.
	spreadTime = 40 * time.Second
)

// lastingBesideShort runs one short task and a lasting submission with a task on each worker, and then hands in a small lasting
// submission, for which there is room many times over.
func lastingBesideShort(e *environment, trouble bool) (bool, error) {
	if err := e.start(lastingWorkers, func(n int) string { return fmt.Sprintf("i-94e29849%02x", n) }, nil); err != nil {
		return false, err
	}
	short := taskSpec{WorkMs: 1000, CPU: smallCPU, MemMB: 1000}
	if trouble {
		short.CPU = largeCPU
	}
	if err := e.submit(jobID(1), map[string]any{"spec": spec(short), "steps": []map[string]any{{"count": 1, "cpu": short.CPU,
		"mem_mb": short.MemMB, "estimate_ms": short.WorkMs}}}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if state := e.state(jobID(1)); state != "completed" {
		return false, fmt.Errorf("the short submission is %s", state)
	}
	spread := taskSpec{Lasts: true, CPU: 25_000, MemMB: 20_000}
	if err := e.submit(jobID(2), map[string]any{"spec": spec(spread), "steps": []map[string]any{{"count": lastingWorkers, "cpu": spread.CPU,
		"mem_mb": spread.MemMB, "long_running": true, "max_per_server": 1}}}); err != nil {
		return false, err
	}
	for limit := time.Now().Add(spreadTime); ; time.Sleep(500 * time.Millisecond) {
		_, _, active := e.rec.counts(jobID(2))
		if active == lastingWorkers {
			break
		}
		if time.Now().After(limit) {
			return false, fmt.Errorf("%d tasks of the first lasting submission run", active)
		}
	}
	last := taskSpec{Lasts: true, CPU: 5_000, MemMB: 4_000}
	if err := e.submit(jobID(3), map[string]any{"spec": spec(last), "steps": []map[string]any{{"count": 2, "cpu": last.CPU,
		"mem_mb": last.MemMB, "long_running": true}}}); err != nil {
		return false, err
	}
	time.Sleep(finishTime + 13*time.Second)
	starts, _, active := e.rec.counts(jobID(3))
	e.rec.printf("submission %s, 30 s after it was accepted: %s, %d runs started, %d active; %d of %d cores are reserved", jobID(3),
		e.state(jobID(3)), starts, active, lastingWorkers*spread.CPU/1000, lastingWorkers*capacityCPU/1000)
	return active == 2, nil
}
