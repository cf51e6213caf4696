package shard_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
)

// Guards against starts above a limit, and work that does not go on, in random sequences of faults of the store and of
// workers, replaced owners and changes of the limit.
func TestLimitUnderRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 77))
			outcome := func(id jobs.TaskID, _ int64) workerfake.Outcome {
				o := oneSecondTask(id, 0)
				o.Duration = time.Duration(200+(len(id.Job)*7+id.Index*13)%40*50) * time.Millisecond
				return o
			}
			runShards(t, 3, outcome, func(c *cluster, is *is.I) {
				var mu sync.Mutex
				limits := []struct {
					n  int
					at time.Duration
				}{{8, 0}}
				bound := func() int {
					mu.Lock()
					defer mu.Unlock()
					b := limits[len(limits)-1].n
					for i, l := range limits {
						if i+1 < len(limits) && c.now()-limits[i+1].at < 2*time.Second {
							b = max(b, l.n)
						}
					}
					return b
				}
				c.limit(8)
				time.Sleep(time.Second)
				stop := c.watchRuns(bound)
				var ids []string
				for i := range 40 {
					id := fmt.Sprintf("job%d", len(ids))
					ids = append(ids, id)
					step := jobs.Step{Count: 1 + rng.IntN(8)}
					if rng.IntN(6) == 0 {
						step.Count, step.Gang = 1+rng.IntN(4), true
					}
					c.submitFor(rng.IntN(2), id, step)
					switch rng.IntN(9) {
					case 0:
						number := rng.IntN(2)
						c.ownerOf(number).cancel()
						c.addOwner(fmt.Sprintf("n%d", i), number)
					case 1, 2:
						victim, kind := c.daemons[rng.IntN(len(c.daemons))].name, rng.IntN(4)
						late := time.Duration(rng.IntN(6000)) * time.Millisecond
						c.store.SetFault(func(caller, method string, _ keyedlog.Partition) storefake.Fault {
							if caller == "operator" || kind > 0 && caller != victim {
								return storefake.Fault{}
							}
							switch kind {
							case 0:
								return storefake.Fault{Delay: 100 * time.Millisecond}
							case 1:
								return storefake.Fault{Hang: true}
							case 2:
								return storefake.Fault{LoseResponse: true}
							}
							if method == "append" {
								return storefake.Fault{Late: late}
							}
							return storefake.Fault{}
						})
					case 3:
						zone := fmt.Sprint(rng.IntN(3))
						c.fleet.SetFault(func(worker, _ string) workerfake.Fault {
							return workerfake.Fault{Hang: worker[len(worker)-1:] == zone}
						})
					case 4:
						n := 4 + rng.IntN(8)
						mu.Lock()
						limits = append(limits, struct {
							n  int
							at time.Duration
						}{n, c.now()})
						mu.Unlock()
						c.limit(int64(n))
					default:
						c.store.SetFault(nil)
						c.fleet.SetFault(nil)
					}
					time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				}
				c.store.SetFault(nil)
				c.fleet.SetFault(nil)
				deadline := time.Now().Add(90 * time.Second)
				for _, id := range ids {
					for c.state(id) != jobs.StateCompleted && time.Now().Before(deadline) {
						time.Sleep(50 * time.Millisecond)
					}
					if s := c.state(id); s != jobs.StateCompleted {
						c.t.Errorf("job %s is %v", id, s)
					}
				}
				stop()
			})
		})
	}
}
