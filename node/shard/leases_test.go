package shard_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
)

// Guards against tasks of lost workers that wait as long as owners change, because each owner waited anew for the leases
// of earlier ones (review of ambon-mist: lost at 22.5 s, four owners until 36.6 s, run again at 44 s).
func TestTasksOfLostWorkerRunWhileOwnersChange(t *testing.T) {
	for name, lose := range map[string]func(c *cluster){
		"worker crashes": func(c *cluster) { c.fleet.Crash("w0") },
		"worker crashes and leaves the registry": func(c *cluster) {
			c.fleet.Crash("w0")
			c.register("w0", nil)
		},
		"worker is cut off": func(c *cluster) {
			c.fleet.SetFault(func(id, _ string) workerfake.Fault { return workerfake.Fault{Hang: id == "w0"} })
		},
	} {
		for _, before := range []time.Duration{500 * time.Millisecond, 3 * time.Second} { // until the first release
			t.Run(fmt.Sprintf("%s, %v", name, before), func(t *testing.T) {
				runCluster(t, 3, 4, endlessTask, func(c *cluster, is *is.I) {
					c.submit("a", jobs.Step{LongRunning: true, MaxPerWorker: 2}, 4)
					c.waitUntil("all tasks run", 2*time.Second, func() bool { return c.allRunning("a", 4) })
					is.True(c.fleet.Runs("w0") > 0)
					lose(c)
					lostAt := time.Now()
					time.Sleep(before)
					for range 3 {
						owner := c.owner()
						owner.leaseManager.Drain()
						c.waitUntil("another daemon owns the shard", 3*time.Second, func() bool { return c.owner() != owner })
						time.Sleep(1500 * time.Millisecond)
					}
					// The first owner that cannot reach the worker waits for its lease, those after it only for the rest.
					limit := before + maxWorkerLease + 2*time.Second
					c.waitUntil("all tasks run", limit-time.Since(lostAt), func() bool { return c.allRunning("a", 4) })
				})
			})
		}
	}
}

// Guards against tasks that run twice because an owner takes the leases of a worker as expired that it or an earlier owner
// has renewed: workers are out of reach for some time or lose calls, while owners release the shard, end or are cut off
// from the store within seconds.
func TestLeasesBesideChangesOfOwner(t *testing.T) {
	for seed := range uint64(leaseSeeds) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			runCluster(t, 4, 4, endlessTask, func(c *cluster, is *is.I) {
				rng := rand.New(rand.NewPCG(seed, 41))
				c.submit("a", jobs.Step{LongRunning: true, MaxPerWorker: 3}, 6)
				for range 12 {
					w := fmt.Sprintf("w%d", rng.IntN(4))
					f := []workerfake.Fault{{NotConnected: true}, {Hang: true}, {LoseResponse: true},
						{Late: time.Duration(rng.IntN(1500)) * time.Millisecond}, {}}[rng.IntN(5)]
					c.fleet.SetFault(func(id, _ string) workerfake.Fault {
						if id == w {
							return f
						}
						return workerfake.Fault{}
					})
					if rng.IntN(4) == 0 {
						c.fleet.Crash(w)
						time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
						c.fleet.Restart(w)
					}
					time.Sleep(time.Duration(rng.IntN(3500)) * time.Millisecond)
					c.changeOwner(rng)
				}
				c.fleet.SetFault(nil)
				c.store.SetFault(nil)
				c.waitUntil("all tasks run", time.Minute, func() bool { return c.allRunning("a", 6) })
			})
		})
	}
}

// leaseSeeds is the number of seeds of TestLeasesBesideChangesOfOwner.
const leaseSeeds = 20

// changeOwner lets the owner release the shard, end, or lose the store, and starts another daemon.
func (c *cluster) changeOwner(rng *rand.Rand) {
	c.t.Helper()
	owner := c.owner()
	switch rng.IntN(3) {
	case 0:
		owner.leaseManager.Drain()
		c.addDaemon(owner.name + "x")
	case 1: // ends without a release, and starts again
		owner.cancel()
		owner.done.Wait()
		c.addDaemon(owner.name)
	case 2:
		c.store.SetFault(func(caller, _ string, _ keyedlog.Partition) storefake.Fault {
			return storefake.Fault{Hang: caller == owner.name}
		})
	}
}
