package shard_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/shard"
)

// limitEach puts a configuration into force in which each account may have a number of cores in use.
func (c *cluster) limitEach(cores int64, accounts ...string) {
	before := c.currentConfig()
	var rows []account.Row
	for _, name := range accounts {
		rows = append(rows, account.Row{Name: name, Limit: resource.Vector{MilliCPU: cores * 1000}})
	}
	set, err := account.New(rows)
	if err != nil {
		c.t.Fatal(err)
	}
	c.publish(&jobqueue.Config{Version: before.Version + 1, Queues: before.Queues, Services: before.Services, Accounts: set})
}

// submitTasksAs stores a job of an account in a shard, with tasks of one core.
func (c *cluster) submitTasksAs(account string, number int, id string, tasks int) {
	c.acceptIn(number, &jobs.Spec{ID: id, Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 1000, Account: account,
		AcceptedMs: time.Now().UnixMilli(), Steps: []jobs.Step{{Count: tasks, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 100}}}})
}

// Guards against an account whose name is too long for a key of the store, and whose shares, appended again for ever, keep those
// of all accounts of the shard from being stored.
func TestLongAccountNameHoldsUpNothing(t *testing.T) {
	for _, long := range []string{strings.Repeat("x", 243), strings.Repeat("x", 244), strings.Repeat("x", 251), strings.Repeat("x", 254),
		strings.Repeat("é", 60), strings.Repeat("/", 5000)} {
		t.Run(fmt.Sprint(len(long)), func(t *testing.T) {
			runShards(t, 2, oneSecondTask, func(c *cluster, is *is.I) {
				c.limitEach(6, long, tenant)
				stop := c.watchRuns(always(12))
				for i := range 2 {
					c.submitTasksAs(long, i, fmt.Sprint("long", i), 7)
				}
				time.Sleep(500 * time.Millisecond)
				for i := range 2 {
					c.submitTasksAs(tenant, i, fmt.Sprint("usual", i), 7)
				}
				for i := range 2 {
					c.waitForState(fmt.Sprint("usual", i), jobs.StateCompleted, 8*time.Second)
					c.waitForState(fmt.Sprint("long", i), jobs.StateCompleted, 8*time.Second)
				}
				stop()
				owner := c.ownerOf(0) // the next one reads the shares
				owner.cancel()
				owner.done.Wait()
				stop = c.watchRuns(always(6))
				for i := range 2 {
					c.submitTasksAs(long, i, fmt.Sprint("again", i), 7)
				}
				for i := range 2 {
					c.waitForState(fmt.Sprint("again", i), jobs.StateCompleted, 12*time.Second)
				}
				stop()
			})
		})
	}
}

// Guards against shares that the store never takes, whatever the reason, and that keep those of other accounts from being stored.
func TestRejectedShareIsLeftOutAlone(t *testing.T) {
	runShards(t, 2, oneSecondTask, func(c *cluster, is *is.I) {
		accounts := []string{tenant, "refused"}
		for i := range 10 {
			accounts = append(accounts, fmt.Sprint("usual", i))
		}
		c.limitEach(4, accounts...)
		c.store.Reject(func(_ string, r keyedlog.Record) bool { return strings.HasPrefix(r.Key, "refused/") })
		for i, name := range accounts {
			c.submitTasksAs(name, i%2, "job-"+name, 2)
		}
		for _, name := range accounts {
			if name != "refused" {
				c.waitForState("job-"+name, jobs.StateCompleted, 15*time.Second)
			}
		}
		is.Equal(c.state("job-refused"), jobs.StatePending)
		c.store.Reject(nil)
		for number := range 2 { // the next owners try again
			owner := c.ownerOf(number)
			owner.cancel()
			owner.done.Wait()
		}
		c.waitForState("job-refused", jobs.StateCompleted, 15*time.Second)
	})
}

// Guards against shares of removed accounts with long names that stay stored for ever.
func TestShareOfRemovedAccountWithLongNameIsDeleted(t *testing.T) {
	for _, name := range []string{"usual", strings.Repeat("x", 250), strings.Repeat("é", 60)} {
		t.Run(fmt.Sprint(len(name)), func(t *testing.T) { testShareOfRemovedAccount(t, name) })
	}
}

func testShareOfRemovedAccount(t *testing.T, account string) {
	runShards(t, 2, oneSecondTask, func(c *cluster, is *is.I) {
		c.limitEach(6, account)
		c.submitTasksAs(account, 0, "job", 6)
		shares := func() (n int) {
			page, err := c.operatorStore.Newest(t.Context(), keyedlog.Partition{Topic: shard.QuotaTopic}, "")
			is.NoErr(err)
			return len(page.Records)
		}
		c.waitUntil("a share is stored", 3*time.Second, func() bool { return shares() > 0 })
		owner := c.ownerOf(0)
		owner.cancel()
		owner.done.Wait()
		c.limitEach(6, tenant) // before the next owner has read a configuration with the account
		c.submitTasksAs(tenant, 0, "other", 1)
		c.waitForState("other", jobs.StateCompleted, 10*time.Second)
		c.waitUntil("no share of the account is left", 10*time.Second, func() bool { return shares() == 0 })
	})
}
