package shard_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/jobworker"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
)

// runShards calls f with a cluster of two shards, of which each has the given number of workers of kind a and two daemons.
// The workers of shard 1 are named x0, x1, and so on.
func runShards(t *testing.T, workers int, outcome func(jobs.TaskID, int64) workerfake.Outcome, f func(c *cluster, is *is.I)) {
	runCluster(t, 0, 0, outcome, func(c *cluster, is *is.I) {
		c.shards = 2
		for i := range workers {
			c.addKind(fmt.Sprintf("w%d", i), 0, "a")
			c.addKind(fmt.Sprintf("x%d", i), 1, "a")
		}
		for number := range 2 {
			c.addOwner(fmt.Sprintf("d%d", number), number)
			c.addOwner(fmt.Sprintf("e%d", number), number)
		}
		c.ownerOf(0)
		c.ownerOf(1)
		f(c, is)
	})
}

// addKind adds a worker of a kind to a shard.
func (c *cluster) addKind(id string, number int, kind string) {
	c.mu.Lock()
	c.home[id] = number
	c.mu.Unlock()
	c.addWorker(id)
	c.changeEntry(id, labels(kind))
}

// ownerOf waits for a daemon to own and load a shard and returns it.
func (c *cluster) ownerOf(number int) *daemon {
	c.t.Helper()
	var owner *daemon
	c.waitUntil(fmt.Sprintf("shard %d has an owner", number), time.Minute, func() bool {
		for _, d := range c.daemons {
			if s := d.ownedShard(); d.number == number && s != nil && s.Loaded() {
				owner = d
			}
		}
		return owner != nil
	})
	return owner
}

// submitIn stores a job of one step in a shard.
func (c *cluster) submitIn(number int, id string, step jobs.Step) {
	if step.Size == (resource.Vector{}) {
		step.Size = resource.Vector{MilliCPU: 1000, MemoryMB: 1000}
	}
	c.acceptIn(number, &jobs.Spec{ID: id, Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 1000,
		AcceptedMs: time.Now().UnixMilli(), Steps: []jobs.Step{step}})
}

// injectStoreFaults makes some calls of the owners to the store fail, until the function that it returns is called.
func (c *cluster) injectStoreFaults(rng *rand.Rand) (stop func()) {
	var mu sync.Mutex
	c.store.SetFault(func(caller, _ string, _ keyedlog.Partition) storefake.Fault {
		mu.Lock()
		defer mu.Unlock()
		if caller == "operator" {
			return storefake.Fault{}
		}
		switch rng.IntN(40) {
		case 0:
			return storefake.Fault{LoseResponse: true}
		case 1:
			return storefake.Fault{Late: time.Duration(rng.IntN(2500)) * time.Millisecond}
		case 2:
			return storefake.Fault{Hang: true}
		}
		return storefake.Fault{}
	})
	return func() { c.store.SetFault(nil) }
}

// Guards against jobs that never run because their shard lost its last worker of a kind, while another shard has one
// (review of ambon-mist).
func TestJobsUseTheLastWorkerOfAKind(t *testing.T) {
	runShards(t, 2, oneSecondTask, func(c *cluster, is *is.I) {
		c.addKind("w9", 0, "b")
		c.addKind("x9", 1, "b")
		time.Sleep(time.Second)
		c.fleet.Crash("w9")
		time.Sleep(10 * time.Second)
		for i := range 4 {
			c.submitIn(i%2, fmt.Sprintf("job%d", i), jobs.Step{Count: 2, RequiredLabel: "b"})
		}
		for i := range 4 {
			c.waitForState(fmt.Sprintf("job%d", i), jobs.StateCompleted, 30*time.Second)
			is.Equal(c.fleet.Starts(task(fmt.Sprintf("job%d", i), 0)), 1)
		}
	})
}

// Guards against a step with more tasks than its shard has workers for, one each, that never runs as a whole although the
// fleet has enough (ambon-mist-large scale-1, small twin).
func TestStepLargerThanItsShard(t *testing.T) {
	for name, step := range map[string]jobs.Step{
		"long-running": {Count: 6, MaxPerWorker: 1, LongRunning: true},
		"gang":         {Count: 6, MaxPerWorker: 1, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			runShards(t, 4, endlessTask, func(c *cluster, is *is.I) {
				time.Sleep(2 * time.Second)
				c.submitIn(0, "job", step)
				c.waitUntil("all tasks run", 10*time.Second, func() bool { return c.allRunning("job", 6) })
			})
		})
	}
}

// Guards against a shard whose jobs wait for ever for a worker that another shard uses all the time.
func TestShardsTakeTurnsWithAWorker(t *testing.T) {
	runShards(t, 1, oneSecondTask, func(c *cluster, is *is.I) {
		c.addKind("x9", 1, "b")
		time.Sleep(time.Second)
		whole := jobs.Step{Count: 10, RequiredLabel: "b", Size: resource.Vector{MilliCPU: 10_000, MemoryMB: 1000}}
		c.submitIn(0, "job0", whole)
		c.submitIn(1, "job1", whole)
		began := func(job string) bool { return c.fleet.Starts(task(job, 0)) > 0 }
		c.waitUntil("both jobs have begun", 15*time.Second, func() bool { return began("job0") && began("job1") })
		c.waitForState("job0", jobs.StateCompleted, time.Minute)
		c.waitForState("job1", jobs.StateCompleted, time.Minute)
	})
}

// Guards against a worker that cannot move because of long-running tasks that fit on others as well.
func TestLongRunningTasksLeaveAPromisedWorker(t *testing.T) {
	runShards(t, 2, endlessTask, func(c *cluster, is *is.I) {
		c.addKind("x9", 1, "b")
		time.Sleep(2 * time.Second)
		c.submitIn(1, "lasting", jobs.Step{Count: 6, LongRunning: true, MaxPerWorker: 2})
		c.waitUntil("the long-running tasks run", 5*time.Second, func() bool { return c.allRunning("lasting", 6) })
		is.Equal(c.fleet.Runs("x9"), 2)
		c.addKind("x2", 1, "a")
		c.submitIn(0, "job", jobs.Step{Count: 1, RequiredLabel: "b"})
		c.waitUntil("the job runs", 15*time.Second, func() bool { return c.allRunning("job", 1) })
		c.waitUntil("the long-running tasks run again", 5*time.Second, func() bool { return c.allRunning("lasting", 6) })
		is.Equal(c.fleet.Runs("x2"), 2)
	})
}

// Guards against a long-running task that failed and does not run again, since no worker of its shard may take it and the
// other shard is busy.
func TestFailedTaskRunsOnAWorkerOfABusyShard(t *testing.T) {
	outcome := func(id jobs.TaskID, n int64) workerfake.Outcome {
		switch {
		case id.Job == "wide":
			return endlessTask(id, n)
		case id.Job[0] == 'b':
			return workerfake.Outcome{Duration: 1500 * time.Millisecond, Size: resource.Vector{MilliCPU: 8000, MemoryMB: 1000}}
		}
		return oneSecondTask(id, n)
	}
	runShards(t, 3, outcome, func(c *cluster, is *is.I) {
		time.Sleep(2 * time.Second)
		c.submitIn(0, "wide", jobs.Step{Count: 3, MaxPerWorker: 1, LongRunning: true})
		c.waitUntil("its tasks run", 5*time.Second, func() bool { return c.allRunning("wide", 3) })
		for i := range 20 { // keeps all workers of the other shard busy
			c.submitIn(1, fmt.Sprintf("b%d", i), jobs.Step{Count: 4, Size: resource.Vector{MilliCPU: 8000, MemoryMB: 1000}})
		}
		time.Sleep(time.Second)
		c.fleet.Crash("w0")
		c.waitUntil("its tasks run again", 16*time.Second, func() bool { return c.allRunning("wide", 3) })
	})
}

// Guards against a mostly idle shard that lends nothing because each of its workers has a short task most of the time.
func TestBusyWorkersOfIdleShardAreLent(t *testing.T) {
	outcome := func(id jobs.TaskID, n int64) workerfake.Outcome {
		if id.Job == "wide" {
			return endlessTask(id, n)
		}
		return oneSecondTask(id, n)
	}
	runShards(t, 4, outcome, func(c *cluster, is *is.I) {
		time.Sleep(2 * time.Second)
		for i := range 60 {
			c.submitIn(1, fmt.Sprintf("short%d", i), jobs.Step{Count: 4, MaxPerWorker: 1})
			if i == 20 {
				c.submitIn(0, "wide", jobs.Step{Count: 5, MaxPerWorker: 1, LongRunning: true})
			}
			if c.allRunning("wide", 5) {
				return
			}
			time.Sleep(400 * time.Millisecond)
		}
		t.Error("a task does not run although the other shard is mostly idle")
	})
}

// Guards against a shard that lends workers, for lack of capacity elsewhere, although it is busy itself.
func TestBusyShardKeepsItsWorkers(t *testing.T) {
	runShards(t, 4, endlessTask, func(c *cluster, is *is.I) {
		time.Sleep(2 * time.Second)
		c.submitIn(1, "busy", jobs.Step{Count: 3, MaxPerWorker: 1, LongRunning: true, Size: resource.Vector{MilliCPU: 7000, MemoryMB: 1000}})
		c.waitUntil("the tasks run", 5*time.Second, func() bool { return c.allRunning("busy", 3) })
		c.submitIn(0, "job", jobs.Step{Count: 5, MaxPerWorker: 1, LongRunning: true})
		time.Sleep(10 * time.Second)
		running := 0
		for i := range 5 {
			running += c.fleet.Running(task("job", i))
		}
		is.Equal(running, 4)
	})
}

// Guards against a worker that two shards use at a time, or that none uses any more, and against jobs that run twice or
// never, when workers move while owners change and calls to the store and to workers fail.
func TestMovesOfWorkersBesideFaults(t *testing.T) {
	for seed := range uint64(moveSeeds) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			runShards(t, 2, oneSecondTask, func(c *cluster, is *is.I) {
				c.addKind("w9", 0, "b")
				rng := rand.New(rand.NewPCG(seed, 26))
				stopFaults := c.injectStoreFaults(rand.New(rand.NewPCG(seed, 27)))
				const count = 12
				name := func(i int) string { return fmt.Sprintf("job%d", i) }
				for i := range count {
					c.submitIn(rng.IntN(2), name(i), jobs.Step{Count: 2, RequiredLabel: "b",
						Size: resource.Vector{MilliCPU: 1000 + rng.Int64N(7000), MemoryMB: 1000}})
					time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
					switch rng.IntN(4) {
					case 0: // an owner ends without releasing its shard, and starts again
						d := c.ownerOf(rng.IntN(2))
						d.cancel()
						d.done.Wait()
						c.addOwner(d.name, d.number)
					case 1:
						d := c.ownerOf(rng.IntN(2))
						d.leaseManager.HandOver("")
						d.leaseManager.Drain()
						c.addOwner(d.name+"x", d.number)
					case 2:
						c.fleet.Crash("w9")
						time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
						c.fleet.Restart("w9")
						c.changeEntryAs("w9", func(*jobworker.Info) {})
					}
				}
				stopFaults()
				for i := range count {
					c.waitForState(name(i), jobs.StateCompleted, time.Minute)
				}
				for number := range 2 { // each shard still gets the worker
					c.submitIn(number, fmt.Sprintf("last%d", number), jobs.Step{Count: 1, RequiredLabel: "b"})
					c.waitForState(fmt.Sprintf("last%d", number), jobs.StateCompleted, 30*time.Second)
				}
			})
		})
	}
}

// moveSeeds is the number of seeds of TestMovesOfWorkersBesideFaults.
const moveSeeds = 20

// Guards against an owner that takes workers and jobs around while it cannot reach its own workers: the fault is likely to be
// its own link, and the moves add load to it (ambon-mist-large trouble-1 seed 14, small twin).
func TestOwnerThatReachesNoWorkersBorrowsNone(t *testing.T) {
	runShards(t, 3, oneSecondTask, func(c *cluster, is *is.I) {
		time.Sleep(2 * time.Second)
		c.fleet.SetFault(func(id, _ string) workerfake.Fault { return workerfake.Fault{Hang: id[0] == 'w'} })
		c.submitIn(0, "job", jobs.Step{Count: 4, RequiredLabel: "a"})
		time.Sleep(15 * time.Second)
		for i := range 4 {
			is.Equal(c.fleet.Starts(task("job", i)), 0)
		}
		c.fleet.SetFault(nil)
		c.waitForState("job", jobs.StateCompleted, 15*time.Second)
	})
}

// Guards against long-running tasks of a lost worker that wait in a full shard beside one with room, on whose workers other
// long-running tasks run: no worker there becomes idle (trentside-plans-grown, loss of a zone: 28 tasks never ran again).
func TestRestartedTasksRunInShardWithoutIdleWorkers(t *testing.T) {
	runShards(t, 3, endlessTask, func(c *cluster, is *is.I) {
		c.submitIn(0, "full", jobs.Step{Count: 24, LongRunning: true})
		c.waitUntil("the tasks run", 20*time.Second, func() bool { return c.allRunning("full", 24) })
		for i := range 3 { // one job on each worker
			c.setZonesOut(func(zone int) bool { return zone != i })
			job := fmt.Sprintf("spread%d", i)
			c.submitIn(1, job, jobs.Step{Count: 2, LongRunning: true})
			c.waitUntil("its tasks run", 20*time.Second, func() bool { return c.allRunning(job, 2) })
		}
		c.setZonesOut(func(int) bool { return false })
		c.fleet.Crash("w0")
		c.register("w0", nil)
		c.waitUntil("all tasks run again", 12*time.Second, func() bool { return c.allRunning("full", 24) })
		for i := range 3 {
			job := fmt.Sprintf("spread%d", i)
			c.waitUntil("moved tasks run", 3*time.Second, func() bool { return c.allRunning(job, 2) })
		}
	})
}

// setZonesOut takes the zones of the first three workers of each shard out of service.
func (c *cluster) setZonesOut(out func(zone int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range 3 {
		c.zonesOut[fmt.Sprintf("z%d", i)] = out(i)
	}
}
