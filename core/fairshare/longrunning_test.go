package fairshare

import (
	"fmt"
	"testing"
)

// Guards against a long-running job that never starts because the same account's short jobs, whose use is compared
// separately, always come first.
func TestLongRunningJobHasATurnBesideShortJobs(t *testing.T) {
	for name, order := range map[string]orderFunc{"fair": Order, "urgency": byUrgency} {
		t.Run(name, func(t *testing.T) {
			p := newPool(7000, map[string]float64{"a": 1, "b": 1})
			p.order = order
			long := func(i int) *playedJob {
				j := &playedJob{durationMs: 1e9, Job: Job{Flow: Flow{Account: "a", Pool: Pool{LongRunning: true}}, ID: fmt.Sprint("long", i),
					AcceptedMs: notAgedTurnMs, DueMs: notAgedTurnMs + 2e9, Work: 1000}}
				p.waiting = append(p.waiting, j)
				return j
			}
			for i := range 4 {
				long(i)
			}
			p.step(notAgedTurnMs)
			var late *playedJob
			n := 0
			for now := int64(notAgedTurnMs + 100); now < notAgedTurnMs+300_000; now += 100 {
				for len(p.waiting) < 30 {
					for _, account := range []string{"a", "b"} {
						n++
						p.waiting = append(p.waiting, &playedJob{durationMs: 500 + int64(n%7)*100, Job: Job{Flow: Flow{Account: account},
							ID: fmt.Sprint(n), Work: 1000, AcceptedMs: now, DueMs: now + 60_000}})
					}
				}
				if late == nil && now > notAgedTurnMs+2000 {
					late = long(4)
					// The pool counts it as on time for 20 s, in which it is more urgent than all others.
					late.durationMs, late.DueMs = 100, now+20_000
				}
				p.step(now)
			}
			if late.startedMs == 0 {
				t.Error("the long-running job did not start within 298 s")
			}
		})
	}
}
