package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// lateWrite is how long after their calls the writes take effect.
	lateWrite = 4 * time.Second
	// calmAfter covers the late writes, the 4 s until the core is stable, and the 3.9 s in which a cancelled submission has
	// to be gone, twice over.
	calmAfter = 20 * time.Second
	// backgroundInterval is the time between small submissions meanwhile.
	backgroundInterval = 150 * time.Millisecond
)

// cancelUnknown hands in a submission that lasts while answers of the store are lost, cancels it when that gets no answer,
// and looks whether it runs all the same.
func cancelUnknown(e *environment, trouble bool) (bool, error) {
	if err := e.start(10, func(n int) string { return fmt.Sprintf("i-94e29849%02x", n) }, nil); err != nil {
		return false, err
	}
	e.rec.printRuns = 2000
	id := jobID(0xabc)
	small := taskSpec{WorkMs: 300, CPU: 200, MemMB: 64}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(backgroundInterval):
			}
			_, _ = e.post(jobID(0x2000+n), map[string]any{"spec": spec(small), "steps": []map[string]any{{"count": 1, "cpu": small.CPU,
				"mem_mb": small.MemMB, "estimate_ms": small.WorkMs}}}, e.daemons[n%len(e.daemons)])
		}
	}()
	time.Sleep(2 * time.Second)
	if trouble {
		e.rec.printf("from here on answers of the store to writes of %s are lost", id)
		e.store.setLate("a/"+id, lateWrite)
	}
	lasting := taskSpec{Lasts: true, CPU: 500, MemMB: 256}
	body, err := json.Marshal(map[string]any{"spec": spec(lasting), "steps": []map[string]any{{"count": 1, "cpu": lasting.CPU,
		"mem_mb": lasting.MemMB, "long_running": true}}})
	if err != nil {
		return false, err
	}
	status, text := e.call(e.daemons[0], http.MethodPost, id, body)
	e.rec.printf("client posts %s to %s: %d %s", id, e.daemons[0].name, status, text)
	lost, calls := e.store.endLate()
	if trouble {
		e.rec.printf("%d of %d writes were not answered; answers are no longer lost", lost, calls)
		if status == http.StatusOK {
			return false, fmt.Errorf("the submission was accepted although its writes were lost")
		}
		if calls*35 < lost*100 {
			return false, fmt.Errorf("more than 35 of 100 writes were lost")
		}
	}
	status, text = e.call(e.daemons[1], http.MethodDelete, id, nil)
	e.rec.printf("client cancels %s at %s: %d %s", id, e.daemons[1].name, status, text)
	if status != http.StatusOK && status != http.StatusGone {
		return false, fmt.Errorf("the cancelling was not acknowledged")
	}
	time.Sleep(calmAfter)
	starts, _, active := e.rec.counts(id)
	e.rec.printf("%v after the acknowledgement %d runs of %s were started, %d are active", calmAfter, starts, id, active)
	e.state(id)
	return active == 0, nil
}
