package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

// Sizes of the large submission, with and without the disruption.
const (
	largeTasks = 4000
	smallTasks = 400
)

func spec(s taskSpec) string {
	data, _ := json.Marshal(s)
	return string(data)
}

// largeSubmission hands in one large submission and, while its tasks run and after they ended, small ones. All that are
// accepted have to run.
func largeSubmission(e *environment, trouble bool) (bool, error) {
	checkpoint := func(task string, workMs int64) string {
		sum := sha256.Sum256([]byte(fmt.Sprint(task, "/", workMs)))
		return hex.EncodeToString(sum[:])
	}
	if err := e.start(10, func(n int) string { return fmt.Sprintf("i-94e29849%02x", n) }, checkpoint); err != nil {
		return false, err
	}
	tasks := smallTasks
	if trouble {
		tasks = largeTasks
	}
	large := taskSpec{WorkMs: 9000, SpreadMs: 3000, CPU: 100, MemMB: 64, Checkpointing: true}
	if err := e.submit(jobID(0), map[string]any{"spec": spec(large), "steps": []map[string]any{{"count": tasks, "cpu": large.CPU,
		"mem_mb": large.MemMB, "estimate_ms": 10000, "checkpointing": true}}}); err != nil {
		return false, err
	}
	ids, err := e.submitSmall(1, 8)
	if err != nil {
		return false, err
	}
	time.Sleep(finishTime)
	starts, done, active := e.rec.counts(jobID(0))
	e.rec.printf("large submission: %d runs started, %d done, %d active; %d appends refused for their size", starts, done, active,
		e.store.refused.Load())
	return e.allDone(ids) && e.state(jobID(0)) == "completed", nil
}
