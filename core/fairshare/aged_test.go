package fairshare

import (
	"fmt"
	"testing"
)

// Guards against work in excess that never has a turn because capacity becomes free at the same time of every period.
func TestAgedJobsHaveTurnsBesideRegularTasks(t *testing.T) {
	for _, offset := range []int64{0, 500, 1000, 1500} {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			p := newPool(2000, map[string]float64{"a": 1, "b": 1})
			excess := &playedJob{durationMs: 2000, Job: Job{Flow: Flow{Account: "b"}, ID: "excess", Exceeds: true, Work: 1000,
				AcceptedMs: 0, DueMs: 1000}}
			n := 0
			for now := agedTurnStartMs + offset; now < agedTurnStartMs+offset+300_000; now += 100 {
				for len(p.waiting) < 10 {
					n++
					p.waiting = append(p.waiting, &playedJob{durationMs: 2000, Job: Job{Flow: Flow{Account: "a"}, ID: fmt.Sprint(n), Work: 1000,
						AcceptedMs: now, DueMs: now + 60_000}})
				}
				if now == agedTurnStartMs+offset+10_000 {
					excess.AcceptedMs, excess.DueMs = now, now+1000
					p.waiting = append(p.waiting, excess)
				}
				p.step(now)
			}
			if excess.startedMs == 0 {
				t.Error("the job in excess did not start within 290 s")
			}
		})
	}
}
