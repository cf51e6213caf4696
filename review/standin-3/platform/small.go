package main

import (
	"encoding/json"
	"sync"
	"time"
)

// finishTime passes after the end of the traffic: submissions are asked for after 14 s, and must not have waited for 3 s
// more although there is room for them.
const finishTime = 17 * time.Second

// Small submissions: two tasks, one submission every 2.5 s.
const (
	smallInterval = 2500 * time.Millisecond
	smallCount    = 2
)

// submitSmall hands in small submissions with the ids of the numbers from first on, and returns these ids.
func (e *environment) submitSmall(first, n int) ([]string, error) {
	small := taskSpec{WorkMs: 500, CPU: 1000, MemMB: 256}
	var ids []string
	start := time.Now()
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * smallInterval)))
		id := jobID(first + i)
		if err := e.submit(id, map[string]any{"spec": spec(small), "steps": []map[string]any{{"count": smallCount,
			"cpu": small.CPU, "mem_mb": small.MemMB, "estimate_ms": small.WorkMs}}}); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// allDone asks for small submissions at the same time and reports whether all are completed and each task was done once.
func (e *environment) allDone(ids []string) bool {
	states := make([]string, len(ids))
	var asked sync.WaitGroup
	for i, id := range ids {
		asked.Go(func() { states[i] = e.state(id) })
	}
	asked.Wait()
	held := true
	for i, id := range ids {
		starts, done, active := e.rec.counts(id)
		e.rec.printf("submission %s: %s, %d runs started, %d done, %d active", id, states[i], starts, done, active)
		held = held && states[i] == "completed" && done == smallCount
	}
	return held
}

// spec returns the spec of a submission whose tasks behave as given.
func spec(s taskSpec) string {
	data, _ := json.Marshal(s) // it holds only numbers and flags
	return string(data)
}
