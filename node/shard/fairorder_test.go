package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/jobqueue"
)

// submitAs stores a job of one task that an account sent. Only after a minute is it late.
func (c *cluster) submitAs(name, id string) {
	c.accept(&jobs.Spec{ID: id, Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 60_000, Account: name,
		AcceptedMs: time.Now().UnixMilli(), Steps: []jobs.Step{{Count: 1, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}}})
}

// started returns how many of the first n jobs with a prefix have started.
func (c *cluster) started(prefix string, n int) int {
	started := 0
	for i := range n {
		started += c.fleet.Starts(task(fmt.Sprint(prefix, i), 0))
	}
	return started
}

// publishAccounts puts a configuration with two accounts into force.
func (c *cluster) publishAccounts(is *is.I, hotWeight, calmWeight float64) {
	accounts, err := account.New([]account.Row{{Name: "hot", Keys: []string{"h"}, Weight: hotWeight},
		{Name: "calm", Keys: []string{"c"}, Weight: calmWeight}})
	is.NoErr(err)
	c.publish(&jobqueue.Config{Version: 2, Queues: []jobqueue.Queue{{Name: "q", Service: service}},
		Services: map[string]jobqueue.Service{service: {Name: service}}, Accounts: accounts})
}

// Guards against jobs of an account within its weight that wait behind all those that another account has sent before, also
// after a change of the owner, and against jobs in excess that do not run on the capacity that is left.
func TestAccountsShareCapacity(t *testing.T) {
	const hot, calm = 80, 10
	runCluster(t, 1, 2, oneSecondTask, func(c *cluster, is *is.I) {
		c.publishAccounts(is, 2, 2)
		first := c.owner()
		for i := range hot {
			c.submitAs("hot", fmt.Sprint("h", i))
		}
		time.Sleep(300 * time.Millisecond)
		for i := range calm {
			c.submitAs("calm", fmt.Sprint("a", i))
		}
		c.waitUntil("the calm account's jobs run", 2500*time.Millisecond, func() bool { return c.started("a", calm) == calm })
		is.True(c.started("h", hot) <= 20)
		first.cancel()
		first.done.Wait()
		c.waitUntil("another daemon owns the shard", 4*time.Second, func() bool { return c.owner() != first })
		for i := range calm {
			c.submitAs("calm", fmt.Sprint("b", i))
		}
		c.waitUntil("the calm account's next jobs run", 3*time.Second, func() bool { return c.started("b", calm) == calm })
		is.True(c.started("h", hot) <= 50)
		c.waitUntil("all jobs in excess run", 9*time.Second, func() bool { return c.started("h", hot) == hot })
	})
}

// Guards against a new owner that takes jobs in excess of a large account's weight for owed ones: they left a small account
// one task at a time.
func TestNextOwnerKnowsExcess(t *testing.T) {
	runCluster(t, 1, 2, oneSecondTask, func(c *cluster, is *is.I) {
		const hot, calm = 90, 3
		c.publishAccounts(is, 1, 0.1)
		first := c.owner()
		for i := range hot {
			c.submitAs("hot", fmt.Sprint("h", i))
		}
		c.waitUntil("the owed jobs run", 5*time.Second, func() bool { return c.started("h", hot) >= 20 })
		first.cancel()
		first.done.Wait()
		c.waitUntil("another daemon starts tasks", 6*time.Second, func() bool { return c.started("h", hot) >= 30 })
		for i := range calm {
			c.submitAs("calm", fmt.Sprint("a", i))
		}
		c.waitUntil("the calm account's jobs run", 1500*time.Millisecond, func() bool { return c.started("a", calm) == calm })
		is.True(c.started("h", hot) <= 50)
	})
}
