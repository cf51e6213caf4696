package shard_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
)

// Guards against a call of an owner to the store that has no time limit or is not repeated: the first call of each kind
// to each topic has no response.
func TestFirstCallsWithoutResponse(t *testing.T) {
	runCluster(t, 2, 0, oneSecondTask, func(c *cluster, is *is.I) {
		var mu sync.Mutex
		called := map[string]bool{}
		c.store.SetFault(func(caller, method string, p keyedlog.Partition) storefake.Fault {
			mu.Lock()
			defer mu.Unlock()
			key := method + " " + p.Topic
			first := caller != "operator" && !called[key]
			if first {
				called[key] = true
			}
			return storefake.Fault{Hang: first}
		})
		c.addDaemon("d0") // it makes its first calls at once
		c.submit("job", jobs.Step{}, 2)
		c.waitForState("job", jobs.StateCompleted, 30*time.Second)
		is.True(len(called) >= 8)
	})
}

// Guards against starts that are still sent to a worker which no longer responds: each one extends the lease that the owner
// counts, and long-running tasks there waited longer than the 9 s after which they count as lost (sweep of
// trentside-plans-grown at 30 VMs: 21 s).
func TestStartsDoNotExtendLeaseOfSilentWorker(t *testing.T) {
	runCluster(t, 1, 1, endlessTask, func(c *cluster, is *is.I) {
		c.owner()
		c.submit("lasting", jobs.Step{LongRunning: true}, 2)
		c.waitUntil("the tasks run", 2*time.Second, func() bool { return c.allRunning("lasting", 2) })
		c.cut("w0")
		c.submit("short", jobs.Step{}, 8) // more starts than the worker may have in flight
		time.Sleep(time.Second)
		c.addWorker("w1")
		c.waitUntil("the tasks run again", 8*time.Second, func() bool { return c.fleet.Starts(task("lasting", 1)) == 2 })
		c.waitUntil("the other tasks run", 2*time.Second, func() bool { return c.allRunning("short", 8) })
	})
}

// Guards against long-running tasks of a lost worker that wait for the leases of earlier owners although the worker's VM runs
// another one: the next owner has no entry of the lost worker (trentside-plans-grown, loss of a zone with its owner: 10 s).
func TestNextOwnerKnowsVMOfLostWorker(t *testing.T) {
	runCluster(t, 0, 2, endlessTask, func(c *cluster, is *is.I) {
		c.addWorkerOn("w0", "vm0")
		first := c.owner()
		c.submit("a", jobs.Step{LongRunning: true}, 2)
		c.waitUntil("the tasks run", 2*time.Second, func() bool { return c.allRunning("a", 2) })
		c.fleet.Crash("w0")
		c.register("w0", nil)
		first.cancel()
		time.Sleep(1500 * time.Millisecond)
		c.addWorkerOn("w1", "vm0")
		c.waitUntil("the tasks run again", 7*time.Second, func() bool { return c.allRunning("a", 2) })
	})
}
