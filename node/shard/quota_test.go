package shard_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/jobqueue"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/shard"
)

// tenant has characters that have a meaning in keys.
const tenant = "te/nant %2F\x00é"

// limit puts a configuration into force in which an account may have a number of cores in use; 0 is no limit, and a negative
// number removes the account.
func (c *cluster) limit(cores int64) {
	before := c.currentConfig()
	rows := []account.Row{{Name: "other", Limit: resource.Vector{MilliCPU: 1000}}}
	if cores >= 0 {
		rows = append(rows, account.Row{Name: tenant, Limit: resource.Vector{MilliCPU: cores * 1000}})
	}
	set, err := account.New(rows)
	if err != nil {
		c.t.Fatal(err)
	}
	c.publish(&jobqueue.Config{Version: before.Version + 1, Queues: before.Queues, Services: before.Services, Accounts: set})
}

// submitFor stores a job of the account in a shard, with tasks of one core.
func (c *cluster) submitFor(number int, id string, step jobs.Step) {
	if step.Size == (resource.Vector{}) {
		step.Size = resource.Vector{MilliCPU: 1000, MemoryMB: 100}
	}
	c.acceptIn(number, &jobs.Spec{ID: id, Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 1000, Account: tenant,
		AcceptedMs: time.Now().UnixMilli(), Steps: []jobs.Step{step}})
}

// runs returns the number of active runs on all workers.
func (c *cluster) runs() int {
	c.mu.Lock()
	ids := make([]string, 0, len(c.infos))
	for id := range c.infos {
		ids = append(ids, id)
	}
	c.mu.Unlock()
	n := 0
	for _, id := range ids {
		n += c.fleet.Runs(id)
	}
	return n
}

// watchRuns reports each increase of the number of active runs to above a limit, until the function that it returns is
// called.
func (c *cluster) watchRuns(limit func() int) (stop func()) {
	done := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		before := 0
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			n := c.runs()
			if l := limit(); n > l && n > before {
				c.t.Errorf("after %v: %d runs, limit %d", c.now()-time.Hour, n, l)
			}
			before = n
		}
	})
	return func() { close(done); watcher.Wait() }
}

func always(n int) func() int { return func() int { return n } }

func (c *cluster) waitForJobs(ids []string, limit time.Duration) {
	c.t.Helper()
	for _, id := range ids {
		c.waitForState(id, jobs.StateCompleted, limit)
	}
}

// Guards against an account above its limit while the shards' owners are replaced, released or cut off from the store, and
// against work that does not go on after that.
func TestAccountStaysWithinLimitWhileOwnersChange(t *testing.T) {
	runShards(t, 3, oneSecondTask, func(c *cluster, is *is.I) {
		c.limit(8)
		stop := c.watchRuns(always(8))
		var ids []string
		submit := func() {
			for number := range 2 {
				ids = append(ids, fmt.Sprintf("job%d", len(ids)))
				c.submitFor(number, ids[len(ids)-1], jobs.Step{Count: 7})
			}
		}
		submit()
		time.Sleep(1500 * time.Millisecond)
		for i := range 2 {
			submit()
			owner := c.ownerOf(i)
			c.store.SetFault(func(caller, _ string, _ keyedlog.Partition) storefake.Fault {
				return storefake.Fault{Hang: caller == owner.name}
			})
			time.Sleep(3 * time.Second)
			submit()
			c.store.SetFault(nil)
			c.ownerOf(i).cancel()
			time.Sleep(2 * time.Second)
		}
		c.waitForJobs(ids, time.Minute)
		stop()
	})
}

// Guards against capacity that is counted as free although runs on workers out of reach may still use it.
func TestRunsOutOfReachCount(t *testing.T) {
	runShards(t, 2, endlessTask, func(c *cluster, is *is.I) {
		c.limit(6)
		stop := c.watchRuns(always(6))
		c.submitFor(0, "a", jobs.Step{Count: 4, LongRunning: true})
		c.submitFor(1, "b", jobs.Step{Count: 4, LongRunning: true})
		c.waitUntil("the limit is used", 5*time.Second, func() bool { return c.runs() == 6 })
		c.fleet.SetFault(func(worker, _ string) workerfake.Fault {
			return workerfake.Fault{Hang: strings.HasSuffix(worker, "0")} // the workers of a zone
		})
		time.Sleep(3 * time.Second)
		c.ownerOf(0).cancel()
		time.Sleep(12 * time.Second)
		is.Equal(c.runs(), 6) // on the other workers
		c.fleet.SetFault(nil)
		time.Sleep(5 * time.Second)
		is.Equal(c.runs(), 6)
		stop()
	})
}

// Guards against starts above a limit that was lowered, and capacity that stays idle after it was raised.
func TestLimitChanges(t *testing.T) {
	runShards(t, 3, oneSecondTask, func(c *cluster, is *is.I) {
		var limit atomic.Int64
		set := func(before, now int64) {
			limit.Store(max(before, now))
			c.limit(now)
			time.Sleep(1500 * time.Millisecond)
			limit.Store(now)
			time.Sleep(3 * time.Second)
			is.True(int64(c.runs()) >= now*3/4)
		}
		limit.Store(20)
		stop := c.watchRuns(func() int { return int(limit.Load()) })
		for i := range 2 {
			c.submitFor(i, fmt.Sprintf("job%d", i), jobs.Step{Count: 400})
		}
		set(20, 20)
		set(20, 5)
		set(5, 12)
		set(12, 3)
		c.limit(-1) // without the account, nothing starts
		time.Sleep(2500 * time.Millisecond)
		is.Equal(c.runs(), 0)
		set(3, 9)
		c.cancelIn(0, "job0")
		c.cancelIn(1, "job1")
		time.Sleep(time.Second)
		stop()
	})
}

// Guards against shares that are lost or used twice while the store does not take or return shares, and against work that
// does not go on when it does again.
func TestQuotaTopicOutOfReach(t *testing.T) {
	for name, fault := range map[string]storefake.Fault{
		"refused":       {Refuse: true},
		"response lost": {LoseResponse: true},
		"late":          {Late: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runShards(t, 3, oneSecondTask, func(c *cluster, is *is.I) {
				c.limit(8)
				stop := c.watchRuns(always(8))
				c.submitFor(0, "a", jobs.Step{Count: 30})
				c.waitUntil("the limit is used", 5*time.Second, func() bool { return c.runs() == 8 })
				c.store.SetFault(func(_, method string, p keyedlog.Partition) storefake.Fault {
					if p.Topic == shard.QuotaTopic && method == "append" {
						return fault
					}
					return storefake.Fault{}
				})
				c.submitFor(1, "b", jobs.Step{Count: 30})
				time.Sleep(5 * time.Second)
				c.store.SetFault(nil)
				c.waitForJobs([]string{"a", "b"}, 30*time.Second)
				stop()
			})
		})
	}
}

// Guards against two shards that raise their shares at the same time, and a share that is used while its return is being
// stored. Appends take long, so that they overlap.
func TestSlowAppendsOfShares(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			runShards(t, 3, func(id jobs.TaskID, _ int64) workerfake.Outcome {
				o := oneSecondTask(id, 0)
				o.Duration = time.Duration(50+37*len(id.Job)*(id.Index+1)) * time.Millisecond
				return o
			}, func(c *cluster, is *is.I) {
				rng := rand.New(rand.NewPCG(seed, 31))
				c.limit(4)
				c.store.SetFault(func(_, method string, p keyedlog.Partition) storefake.Fault {
					if p.Topic == shard.QuotaTopic && method == "append" {
						return storefake.Fault{Delay: 150 * time.Millisecond}
					}
					return storefake.Fault{}
				})
				stop := c.watchRuns(always(4))
				var ids []string
				for range 60 {
					ids = append(ids, fmt.Sprintf("job%d", len(ids)))
					c.submitFor(rng.IntN(2), ids[len(ids)-1], jobs.Step{Count: 1 + rng.IntN(4)})
					time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
				}
				c.waitForJobs(ids, 20*time.Second)
				stop()
			})
		})
	}
}

// Guards against a return of a former owner that takes effect late, after the next owner has begun to use the share.
func TestReturnOfFormerOwnerIsFenced(t *testing.T) {
	outcome := func(id jobs.TaskID, run int64) workerfake.Outcome {
		if id.Job == "a" {
			return oneSecondTask(id, run)
		}
		return endlessTask(id, run)
	}
	runShards(t, 2, outcome, func(c *cluster, is *is.I) {
		c.limit(6)
		stop := c.watchRuns(always(6))
		former := c.ownerOf(0)
		var late atomic.Int32
		c.submitFor(0, "a", jobs.Step{Count: 6})
		c.waitUntil("a runs", 3*time.Second, func() bool { return c.runs() == 6 })
		c.store.SetFault(func(caller, method string, p keyedlog.Partition) storefake.Fault {
			if p.Topic == shard.QuotaTopic && method == "append" && caller == former.name {
				late.Add(1)
				return storefake.Fault{Late: 4 * time.Second}
			}
			return storefake.Fault{}
		})
		c.waitUntil("the share is being returned", 5*time.Second, func() bool { return late.Load() > 0 })
		former.cancel()
		c.submitFor(0, "b", jobs.Step{Count: 6, LongRunning: true})
		c.waitUntil("b runs", 3*time.Second, func() bool { return c.runs() == 6 })
		time.Sleep(5 * time.Second)
		c.submitFor(1, "c", jobs.Step{Count: 6, LongRunning: true})
		time.Sleep(3 * time.Second)
		is.Equal(c.runs(), 6)
		stop()
	})
}

// Guards against owners whose rounds coincide, so that the raise of one makes those of all others fail again and again.
func TestOwnersInStep(t *testing.T) {
	runCluster(t, 0, 0, endlessTask, func(c *cluster, is *is.I) {
		c.shards = 30
		for number := range c.shards {
			c.addKind(fmt.Sprintf("w%d", number), number, "a")
			c.addOwner(fmt.Sprintf("d%d", number), number)
		}
		for number := range c.shards {
			c.ownerOf(number)
		}
		c.store.SetFault(func(_, _ string, p keyedlog.Partition) storefake.Fault {
			if p.Topic == shard.QuotaTopic {
				return storefake.Fault{Delay: 5 * time.Millisecond}
			}
			return storefake.Fault{}
		})
		c.limit(60)
		time.Sleep(time.Second)
		stop := c.watchRuns(always(60))
		for number := range c.shards {
			c.submitFor(number, fmt.Sprintf("job%d", number), jobs.Step{Count: 3})
		}
		c.waitUntil("the limit is used", 2*time.Second, func() bool { return c.runs() == 60 })
		stop()
	})
}

// Guards against a share that stays with a shard after its work has ended, and a shard that waits longer than 2 s for it.
func TestShareFollowsWork(t *testing.T) {
	runShards(t, 2, oneSecondTask, func(c *cluster, is *is.I) {
		c.limit(6)
		time.Sleep(time.Second)
		for i := range 4 {
			id := fmt.Sprintf("job%d", i)
			c.submitFor(i%2, id, jobs.Step{Count: 6})
			c.waitUntil(id+" runs", 2*time.Second, func() bool { return c.runs() == 6 })
			c.waitForState(id, jobs.StateCompleted, 3*time.Second)
		}
		time.Sleep(1500 * time.Millisecond)
		is.Equal(len(c.newest(shard.QuotaTopic)), 0) // nothing is held
	})
}

// Guards against two shards that each hold a part of what the gangs of both need, and a gang that can never be placed and
// blocks others.
func TestGangsOfTwoShards(t *testing.T) {
	runShards(t, 2, oneSecondTask, func(c *cluster, is *is.I) {
		c.limit(6)
		stop := c.watchRuns(always(6))
		c.submitFor(0, "never", jobs.Step{Count: 7, Gang: true})
		c.submitFor(0, "small0", jobs.Step{Count: 3})
		c.submitFor(1, "small1", jobs.Step{Count: 3})
		time.Sleep(500 * time.Millisecond)
		c.submitFor(0, "gang0", jobs.Step{Count: 6, Gang: true})
		c.submitFor(1, "gang1", jobs.Step{Count: 6, Gang: true})
		c.waitForJobs([]string{"small0", "small1", "gang0", "gang1"}, 10*time.Second)
		is.Equal(c.state("never"), jobs.StatePending)
		stop()
	})
}

// newest returns the newest records of all keys of partition 0 of a topic.
func (c *cluster) newest(topic string) []keyedlog.Record {
	page, err := c.operatorStore.Newest(context.Background(), keyedlog.Partition{Topic: topic}, "")
	if err != nil {
		c.t.Fatal(err)
	}
	return page.Records
}

// Guards against workers and jobs that move to another shard because of tasks that only wait for a limit.
func TestWaitForQuotaIsNoShortage(t *testing.T) {
	runShards(t, 1, endlessTask, func(c *cluster, is *is.I) {
		c.limit(2)
		c.submitFor(0, "a", jobs.Step{Count: 5, LongRunning: true})
		c.submitFor(1, "b", jobs.Step{Count: 5})
		time.Sleep(10 * time.Second)
		is.Equal(c.runs(), 2)
		for _, r := range c.newest(shard.JobsTopic) {
			is.True(strings.HasPrefix(r.Key, "a/")) // no worker was moved here
		}
	})
}

// Guards against calls to the store for accounts without limits, more appends than 5 a second of an owner, and against jobs
// of accounts that start before their limit is known.
func TestQuotaCalls(t *testing.T) {
	runShards(t, 2, oneSecondTask, func(c *cluster, is *is.I) {
		var calls, appends atomic.Int32
		c.store.SetFault(func(caller, method string, p keyedlog.Partition) storefake.Fault {
			if p.Topic == shard.QuotaTopic && caller != "operator" {
				calls.Add(1)
				if method == "append" && caller == c.ownerOf(0).name {
					appends.Add(1)
				}
			}
			return storefake.Fault{}
		})
		c.submitFor(0, "a", jobs.Step{Count: 2})
		c.submitIn(0, "b", jobs.Step{Count: 2})
		c.waitForState("b", jobs.StateCompleted, 3*time.Second)
		c.waitForState("a", jobs.StateCompleted, 3*time.Second) // the configuration knows no accounts
		is.Equal(calls.Load(), int32(0))
		c.limit(-1) // it knows accounts, but not that of the jobs
		c.submitFor(0, "unknown", jobs.Step{Count: 2})
		time.Sleep(3 * time.Second)
		is.Equal(c.state("unknown"), jobs.StatePending)
		appends.Store(0)
		c.limit(3)
		for i := range 20 {
			c.submitFor(i%2, fmt.Sprintf("job%d", i), jobs.Step{Count: 3})
		}
		time.Sleep(10 * time.Second)
		is.True(appends.Load() > 0)
		is.True(appends.Load() <= 51) // and one that fences
		c.waitForJobs([]string{"unknown", "job19"}, time.Minute)
	})
}
