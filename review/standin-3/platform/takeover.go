package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// smallLinkRate is 10 Mbit/s in bytes per second.
	smallLinkRate = 1.25e6
	// takeoverRate and takeoverCount are the submissions of 4,000 bytes: 26 a second.
	takeoverRate  = 26
	takeoverCount = 1200
)

// takeover hands in submissions with specs of the full length, kills the process of the owner, and hands in small ones.
func takeover(e *environment, trouble bool) (bool, error) {
	e.linkRate, e.cores, e.memoryMB = smallLinkRate, 0.11, 184
	if err := e.start(10, func(n int) string { return fmt.Sprintf("i-94e29849%02x", n) }, nil); err != nil {
		return false, err
	}
	e.rec.printRuns = 50
	text := spec(taskSpec{WorkMs: 200, CPU: 500, MemMB: 128})
	text += strings.Repeat(" ", 4000-len(text))
	start := time.Now()
	accepted := 0
	for n := range takeoverCount {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / takeoverRate)))
		ok, err := e.post(jobID(0x1000+n), map[string]any{"spec": text, "steps": []map[string]any{{"count": 1, "cpu": 500, "mem_mb": 128,
			"estimate_ms": 200}}}, e.daemons[n%len(e.daemons)])
		if err != nil {
			return false, err
		}
		if ok {
			accepted++
		}
	}
	starts, done, _ := e.rec.counts("5c0e7a21d94b1")
	e.rec.printf("%d submissions of 4,000 bytes accepted; %d runs started, %d done", accepted, starts, done)
	if trouble {
		owner, err := e.owner(0)
		if err != nil {
			return false, err
		}
		e.rec.printf("the process of %s, the owner, is killed and started again after 0.5 s", owner)
		if err := e.restart(owner, 500*time.Millisecond); err != nil {
			return false, err
		}
	}
	ids, err := e.submitSmall(1, 4)
	if err != nil {
		return false, err
	}
	time.Sleep(finishTime)
	return e.allDone(ids), nil
}
