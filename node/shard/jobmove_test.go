package shard_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
)

// runOccupied calls f with a cluster of two shards, of which shard 1 holds the only worker of kind b, x9, with a long-running
// task of that kind, so that it cannot move. Tasks of jobs whose names begin with "lasting" are endless.
func runOccupied(t *testing.T, f func(c *cluster, is *is.I)) {
	outcome := func(id jobs.TaskID, n int64) workerfake.Outcome {
		if strings.HasPrefix(id.Job, "lasting") {
			return endlessTask(id, n)
		}
		return oneSecondTask(id, n)
	}
	runShards(t, 2, outcome, func(c *cluster, is *is.I) {
		c.addKind("x9", 1, "b")
		time.Sleep(time.Second)
		c.submitIn(1, "lasting", jobs.Step{Count: 1, LongRunning: true, RequiredLabel: "b"})
		c.waitUntil("the long-running task runs", 5*time.Second, func() bool { return c.allRunning("lasting", 1) })
		f(c, is)
	})
}

// twoSteps returns a job whose first step runs on kind a and whose second step needs kind b.
func twoSteps(id string) *jobs.Spec {
	size := resource.Vector{MilliCPU: 1000, MemoryMB: 1000}
	return &jobs.Spec{ID: id, Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 1000,
		AcceptedMs: time.Now().UnixMilli(), Steps: []jobs.Step{{Count: 2, Size: size, RequiredLabel: "a"},
			{Count: 2, Size: size, RequiredLabel: "b", After: []int{0}}}}
}

// Guards against jobs that never run because the only worker that may run them is in use in another shard, also if it has
// room, and against steps that run again after their job moved.
func TestJobMovesToAnOccupiedWorker(t *testing.T) {
	runOccupied(t, func(c *cluster, is *is.I) {
		c.acceptIn(0, twoSteps("job"))
		c.waitForState("job", jobs.StateCompleted, 20*time.Second)
		for step := range 2 {
			for index := range 2 {
				is.Equal(c.fleet.Starts(jobs.TaskID{Job: "job", Step: step, Index: index}.String()), 1)
			}
		}
		is.True(c.allRunning("lasting", 1))
		is.Equal(c.fleet.Starts(task("lasting", 0)), 1)

		// The home shard passes the state and the cancellation on, also under other owners.
		c.submitIn(0, "lasting1", jobs.Step{Count: 1, LongRunning: true, RequiredLabel: "b"})
		c.waitUntil("the moved job runs", 20*time.Second, func() bool { return c.allRunning("lasting1", 1) })
		for number := range 2 {
			d := c.ownerOf(number)
			d.cancel()
			d.done.Wait()
		}
		c.waitForState("lasting1", jobs.StateRunning, 10*time.Second)
		is.Equal(c.fleet.Starts(task("lasting1", 0)), 1)
		c.cancelIn(0, "lasting1")
		c.waitForState("lasting1", jobs.StateCancelled, 5*time.Second)
		c.waitUntil("its task is gone", 5*time.Second, func() bool { return c.fleet.Running(task("lasting1", 0)) == 0 })

		time.Sleep(4 * time.Minute) // longer than ended jobs are kept
		is.Equal(c.state("job"), jobs.StateUnknown)
		is.Equal(c.state("lasting1"), jobs.StateUnknown)
		for _, topic := range []string{"keyed.jobs", "keyed.progress"} {
			for number := range 2 {
				page, err := c.operatorStore.Newest(t.Context(), keyedlog.Partition{Topic: topic, Number: number}, "")
				is.NoErr(err)
				for _, r := range page.Records {
					is.True(!strings.Contains(r.Key, "job") && !strings.Contains(r.Key, "lasting1")) // no record is left
				}
			}
		}
	})
}

// Guards against an owner that announces a move long after it has lost the shard: the job would run again in the other
// shard, which has forgotten it meanwhile.
func TestCutOffOwnerAnnouncesNothing(t *testing.T) {
	for i := range 12 {
		t.Run(fmt.Sprintf("%d", i), func(t *testing.T) {
			runOccupied(t, func(c *cluster, is *is.I) {
				var mu sync.Mutex
				cut, over := "", false
				c.store.SetFault(func(caller, method string, p keyedlog.Partition) storefake.Fault {
					mu.Lock()
					defer mu.Unlock()
					if cut == "" && method == "append" && p == (keyedlog.Partition{Topic: "keyed.jobs", Number: 1}) && caller != "operator" {
						cut = caller
					}
					return storefake.Fault{Hang: caller == cut && !over}
				})
				c.fleet.SetFault(func(id, _ string) workerfake.Fault { // the workers cannot tell it of its successor either
					mu.Lock()
					defer mu.Unlock()
					return workerfake.Fault{Hang: id[0] == 'w' && cut != "" && !over}
				})
				c.acceptIn(0, twoSteps("job"))
				first := c.ownerOf(0)
				c.waitUntil("the job is completed", 30*time.Second, func() bool {
					for _, d := range c.daemons {
						if s := d.ownedShard(); d != first && d.number == 0 && s != nil && s.Loaded() {
							state, err := s.State(t.Context(), "job")
							return err == nil && state == jobs.StateCompleted
						}
					}
					return false
				})
				time.Sleep(5*time.Minute + time.Duration(i)*300*time.Millisecond)
				mu.Lock()
				over = true
				mu.Unlock()
				time.Sleep(20 * time.Second)
				for step := range 2 {
					is.Equal(c.fleet.Starts(jobs.TaskID{Job: "job", Step: step}.String()), 1)
				}
			})
		})
	}
}

// Guards against jobs that run twice or never when they move while owners change and calls to the store fail.
func TestMovesOfJobsBesideFaults(t *testing.T) {
	for seed := range uint64(moveSeeds) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			runOccupied(t, func(c *cluster, is *is.I) {
				rng := rand.New(rand.NewPCG(seed, 28))
				stopFaults := c.injectStoreFaults(rand.New(rand.NewPCG(seed, 29)))
				const count = 8
				for i := range count {
					c.acceptIn(rng.IntN(2), twoSteps(fmt.Sprintf("job%d", i)))
					time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
					if rng.IntN(2) == 0 {
						d := c.ownerOf(rng.IntN(2))
						d.cancel()
						d.done.Wait()
						c.addOwner(d.name, d.number)
					}
				}
				stopFaults()
				for i := range count {
					c.waitForState(fmt.Sprintf("job%d", i), jobs.StateCompleted, time.Minute)
				}
				is.True(c.allRunning("lasting", 1))
			})
		})
	}
}

// Guards against jobs that wait for a full shard although another one is idle, because the workers there run long-running
// tasks and cannot move (ambon-mist-large trouble-1, small twin).
func TestJobMovesToAnIdleShard(t *testing.T) {
	outcome := func(id jobs.TaskID, n int64) workerfake.Outcome {
		if strings.HasPrefix(id.Job, "lasting") {
			return endlessTask(id, n)
		}
		return oneSecondTask(id, n)
	}
	for name, idle := range map[string]bool{"idle": true, "full as well": false} {
		t.Run(name, func(t *testing.T) {
			runShards(t, 1, outcome, func(c *cluster, is *is.I) {
				c.submitIn(1, "lasting1", jobs.Step{Count: 1, LongRunning: true})
				c.waitUntil("the long-running task runs", 10*time.Second, func() bool { return c.allRunning("lasting1", 1) })
				c.submitIn(0, "lasting0", jobs.Step{Count: 10})
				c.waitUntil("shard 0 is full", 10*time.Second, func() bool { return c.allRunning("lasting0", 10) })
				if !idle {
					c.submitIn(1, "lasting2", jobs.Step{Count: 20})
					time.Sleep(2 * time.Second)
				}
				c.acceptIn(0, &jobs.Spec{ID: "job", Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 1000,
					AcceptedMs: time.Now().UnixMilli(), Steps: []jobs.Step{
						{Count: 3, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}},
						{Count: 2, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}, After: []int{0}}}})
				if !idle {
					time.Sleep(10 * time.Second)
					is.Equal(c.fleet.Starts(task("job", 0)), 0)
					page, err := c.operatorStore.Newest(t.Context(), keyedlog.Partition{Topic: "keyed.jobs", Number: 1}, "")
					is.NoErr(err)
					for _, r := range page.Records {
						is.True(!strings.HasSuffix(r.Key, "/job")) // it waits where it is
					}
					return
				}
				c.waitForState("job", jobs.StateCompleted, 8*time.Second)
				for i := range 3 {
					is.Equal(c.fleet.Starts(task("job", i)), 1)
				}
			})
		})
	}
}
