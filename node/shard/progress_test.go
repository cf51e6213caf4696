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
	"waxwingslip.example/node/shard"
)

// tinyTask is a task of which 100 run on a worker.
var tinyTask = resource.Vector{MilliCPU: 100, MemoryMB: 10}

// longCheckpoints returns the outcome of tasks with checkpoints of a length each 200 ms. Tasks of the job "short" take
// half a second, others 2 to 5 s, and those of jobs whose names begin with "lasting" run until they are stopped.
func longCheckpoints(bytes int) func(jobs.TaskID, int64) workerfake.Outcome {
	return func(id jobs.TaskID, _ int64) workerfake.Outcome {
		o := workerfake.Outcome{Duration: time.Duration(2+id.Index%4) * time.Second, Size: tinyTask, CheckpointEvery: 200 * time.Millisecond, CheckpointBytes: bytes}
		switch {
		case id.Job == "short":
			o.Duration, o.CheckpointEvery = 500*time.Millisecond, 0
		case strings.HasPrefix(id.Job, "lasting"):
			o.UntilStopped = true
		}
		return o
	}
}

// Guards against progress that outgrows a record of the store: its append was repeated for ever, and nothing of the shard
// was stored any more, whichever daemon owned it.
func TestLongCheckpointsHoldUpNothing(t *testing.T) {
	for name, c := range map[string]struct{ tasks, bytes int }{
		"many of 500 bytes":        {700, 500},
		"few of 60 KB":             {8, 60_000},
		"one longer than a record": {1, 300_000},
		"gang":                     {300, 2000},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 10, 2, longCheckpoints(c.bytes), func(c1 *cluster, is *is.I) {
				d := c1.owner()
				c1.acceptSteps("wide", jobs.Step{Count: c.tasks, Size: tinyTask, Checkpointing: true, Gang: name == "gang"},
					jobs.Step{Count: 2, Size: tinyTask, Checkpointing: true})
				time.Sleep(3500 * time.Millisecond) // some tasks have ended, others have saved checkpoints
				c1.acceptSteps("short", jobs.Step{Count: 3, Size: tinyTask})
				c1.waitForState("short", jobs.StateCompleted, 2*time.Second)
				d.cancel() // the next owner reads the progress
				d.done.Wait()
				c1.waitForState("wide", jobs.StateCompleted, 10*time.Second)
				for i := range c.tasks {
					is.Equal(c1.fleet.Starts(task("wide", i)), 1)
				}
				c1.acceptSteps("short2", jobs.Step{Count: 3, Size: tinyTask})
				c1.waitForState("short2", jobs.StateCompleted, 6*time.Second)
				time.Sleep(3 * time.Minute) // longer than ended jobs are kept
				c1.expectNoRecords("wide")
			})
		})
	}
}

// expectNoRecords checks that no record of a job is left.
func (c *cluster) expectNoRecords(job string) {
	c.t.Helper()
	for _, topic := range []string{"keyed.jobs", "keyed.progress"} {
		for number := range c.shards {
			for after, more := "", true; more; {
				page, err := c.operatorStore.Newest(c.t.Context(), keyedlog.Partition{Topic: topic, Number: number}, after)
				if err != nil {
					c.t.Fatal(err)
				}
				for _, r := range page.Records {
					if strings.Contains(r.Key, job) {
						c.t.Errorf("record %q of topic %s is left", r.Key, topic)
					}
				}
				after, more = page.Next, page.Next != ""
			}
		}
	}
}

// Guards against tasks of a large job that start over, or run twice, after their worker was lost or the owner was killed
// between two appends of a change.
func TestLargeJobResumesFromCheckpoints(t *testing.T) {
	runCluster(t, 4, 2, longCheckpoints(3000), func(c *cluster, is *is.I) {
		d := c.owner()
		c.acceptSteps("lasting", jobs.Step{Count: 200, Size: tinyTask, Checkpointing: true, LongRunning: true})
		c.waitUntil("all tasks run", 10*time.Second, func() bool { return c.allRunning("lasting", 200) })
		time.Sleep(2 * time.Second)
		d.cancel()
		d.done.Wait()
		time.Sleep(4 * time.Second)
		for _, id := range []string{"w0", "w1"} {
			c.fleet.Crash(id)
			c.register(id, nil)
		}
		c.waitUntil("all tasks run again", 40*time.Second, func() bool { return c.allRunning("lasting", 200) })
		for i := range 200 {
			if name := task("lasting", i); c.fleet.Starts(name) > 1 {
				is.True(strings.HasPrefix(c.fleet.ResumedFrom(name), name+"#"))
			}
		}
		c.cancel("lasting")
		c.waitForState("lasting", jobs.StateCancelled, 3*time.Second)
	})
}

// Guards against one record that the store never takes and that holds up everything else of the shard, and against tasks
// of its job that run again although their ends were acknowledged.
func TestRejectedProgressIsSetAsideAlone(t *testing.T) {
	runCluster(t, 2, 2, longCheckpoints(10), func(c *cluster, is *is.I) {
		d := c.owner()
		c.acceptSteps("bad", jobs.Step{Count: 3, Size: tinyTask})
		c.waitUntil("its tasks run", 3*time.Second, func() bool { return c.allRunning("bad", 3) })
		c.store.Reject(func(_ string, r keyedlog.Record) bool {
			return r.Key == "bad" && len(r.Value) > 0 && !strings.Contains(string(r.Value), "does not take")
		})
		time.Sleep(5 * time.Second) // its tasks end
		c.acceptSteps("short", jobs.Step{Count: 3, Size: tinyTask})
		c.waitForState("short", jobs.StateCompleted, 2*time.Second)
		is.Equal(c.state("bad"), jobs.StateCompleted) // the ends are known; the store has taken the reason instead
		c.store.Reject(nil)
		d.cancel()
		d.done.Wait()
		c.acceptSteps("short2", jobs.Step{Count: 3, Size: tinyTask})
		c.waitForState("short2", jobs.StateCompleted, 10*time.Second)
		for i := range 3 {
			is.Equal(c.fleet.Starts(task("bad", i)), 1)
		}
	})
}

// Guards against a job whose start is sent although the store never takes the binding: the next owner would start it again.
func TestRejectedBindingIsNotStarted(t *testing.T) {
	runCluster(t, 2, 2, longCheckpoints(10), func(c *cluster, is *is.I) {
		d := c.owner()
		c.store.Reject(func(_ string, r keyedlog.Record) bool {
			return r.Key == "bad" && !strings.Contains(string(r.Value), "does not take")
		})
		c.acceptSteps("bad", jobs.Step{Count: 3, Size: tinyTask})
		c.acceptSteps("short", jobs.Step{Count: 3, Size: tinyTask})
		c.waitForState("short", jobs.StateCompleted, 3*time.Second)
		is.Equal(c.fleet.Starts(task("bad", 0)), 0)
		is.Equal(c.state("bad"), jobs.StatePending)
		d.cancel()
		d.done.Wait()
		time.Sleep(8 * time.Second)
		c.owner()
		is.Equal(c.state("bad"), jobs.StatePending)
		c.cancel("bad")
		c.waitForState("bad", jobs.StateCancelled, 5*time.Second)
	})
}

// Guards against a refusal that can pass and that counts as one for good: the job would be set aside for nothing.
func TestRefusedProgressIsRepeated(t *testing.T) {
	runCluster(t, 2, 1, longCheckpoints(10), func(c *cluster, is *is.I) {
		c.owner()
		c.setAppendsRefused(true)
		c.acceptSteps("short", jobs.Step{Count: 3, Size: tinyTask})
		time.Sleep(2 * time.Second)
		c.setAppendsRefused(false)
		c.waitForState("short", jobs.StateCompleted, 5*time.Second)
	})
}

// Guards against entries whose ids make keys that the store never takes.
func TestWorkerWithEndlessIDIsIgnored(t *testing.T) {
	runCluster(t, 2, 1, longCheckpoints(10), func(c *cluster, is *is.I) {
		c.owner()
		c.addWorker(strings.Repeat("w", 254) + "0")
		time.Sleep(2 * time.Second)
		c.acceptSteps("short", jobs.Step{Count: 3, Size: tinyTask})
		c.waitForState("short", jobs.StateCompleted, 3*time.Second)
	})
}

// Guards against a large job that cannot move to the shard with the only workers for it, and against tasks that start over
// there.
func TestLargeJobMoves(t *testing.T) {
	runShards(t, 1, longCheckpoints(3000), func(c *cluster, is *is.I) {
		c.addKind("y0", 0, "b")
		c.addKind("x9", 1, "b")
		time.Sleep(time.Second)
		c.acceptLabelled(1, "lasting9", 1)
		c.acceptLabelled(0, "lasting", 95)
		c.waitUntil("all tasks run", 10*time.Second, func() bool { return c.allRunning("lasting", 95) && c.allRunning("lasting9", 1) })
		time.Sleep(2 * time.Second)
		c.fleet.Crash("y0")
		c.register("y0", nil)
		c.waitUntil("all tasks run in the other shard", 3*time.Minute, func() bool { return c.allRunning("lasting", 95) })
		for i := range 95 {
			name := task("lasting", i)
			is.Equal(c.fleet.Starts(name), 2)
			is.True(strings.HasPrefix(c.fleet.ResumedFrom(name), name+"#"))
		}
		for number := range 2 {
			d := c.ownerOf(number)
			d.cancel()
			d.done.Wait()
		}
		c.waitForState("lasting", jobs.StateRunning, 10*time.Second)
		c.cancelIn(0, "lasting")
		c.waitForState("lasting", jobs.StateCancelled, 10*time.Second)
		time.Sleep(4 * time.Minute) // longer than ended jobs are kept
		c.expectNoRecords("lasting/")
		is.True(c.allRunning("lasting9", 1))
	})
}

// acceptLabelled stores a job of long-running tasks that need a worker of kind b.
func (c *cluster) acceptLabelled(number int, id string, count int) {
	c.acceptIn(number, &jobs.Spec{ID: id, Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 1000,
		AcceptedMs: time.Now().UnixMilli(), Steps: []jobs.Step{{Count: count, Size: tinyTask, LongRunning: true, Checkpointing: true, RequiredLabel: "b"}}})
}

// Guards against tasks of a large job that run twice, or never, because its owner is cut off between two appends of a
// change: the parts of its progress may then come from different changes.
func TestLargeJobWhoseOwnersAreCutOff(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, 6, 3, longCheckpoints(900), func(c *cluster, is *is.I) {
				rng := rand.New(rand.NewPCG(seed, 1))
				c.owner()
				c.acceptSteps("wide", jobs.Step{Count: 500, Size: tinyTask, Checkpointing: true},
					jobs.Step{Count: 300, Size: tinyTask, Checkpointing: true, After: []int{0}})
				for range 3 {
					time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
					c.cutOffOwner(rng.IntN(3))
				}
				c.waitForState("wide", jobs.StateCompleted, 2*time.Minute)
			})
		})
	}
}

// cutOffOwner lets the present owner make some more appends of progress, and then none for 12 s.
func (c *cluster) cutOffOwner(appends int) {
	owner, until := c.owner().name, time.Now().Add(12*time.Second)
	var mu sync.Mutex
	c.store.SetFault(func(caller, method string, p keyedlog.Partition) storefake.Fault {
		mu.Lock()
		defer mu.Unlock()
		if caller != owner || time.Now().After(until) {
			return storefake.Fault{}
		}
		if method == "append" && p.Topic == shard.ProgressTopic {
			appends--
		}
		return storefake.Fault{Hang: appends < 0}
	})
	time.Sleep(time.Until(until))
}

// Guards against an owner that never loads its shard because the list of the jobs takes longer than one attempt may: no
// accepted job is known any more.
func TestOwnerLoadsManyJobsOverSlowLink(t *testing.T) {
	runCluster(t, 4, 2, longCheckpoints(10), func(c *cluster, is *is.I) {
		d := c.owner()
		for i := range 300 {
			c.accept(&jobs.Spec{ID: fmt.Sprint("job", i), Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 1000,
				Payload: strings.Repeat("p", jobs.MaxSpecBytes), AcceptedMs: time.Now().UnixMilli(), Steps: []jobs.Step{{Count: 1, Size: tinyTask}}})
		}
		link := storefake.NewLink(150_000) // bytes a second: eight seconds for the jobs
		c.store.SetFault(func(caller, method string, p keyedlog.Partition) storefake.Fault {
			if method == "newest" && p.Topic == shard.JobsTopic {
				return storefake.Fault{Link: link}
			}
			return storefake.Fault{}
		})
		d.cancel()
		d.done.Wait()
		c.waitUntil("all jobs are known", 30*time.Second, func() bool {
			return c.state("job0") != jobs.StateUnknown && c.state("job299") != jobs.StateUnknown
		})
	})
}

// Guards against the deletion of one ended job that the store never takes, and with which the records of other ended jobs stay stored
// for ever.
func TestRejectedDeletionIsLeftOutAlone(t *testing.T) {
	runCluster(t, 2, 1, longCheckpoints(10), func(c *cluster, is *is.I) {
		c.owner()
		c.store.Reject(func(caller string, r keyedlog.Record) bool {
			return caller != "operator" && r.Value == nil && strings.Contains(r.Key, "refused")
		})
		ids := []string{"refused"}
		for i := range 6 {
			ids = append(ids, fmt.Sprint("usual", i))
		}
		for _, id := range ids {
			c.acceptSteps(id, jobs.Step{Count: 1, Size: tinyTask})
		}
		c.waitForJobs(ids, 10*time.Second)
		time.Sleep(3 * time.Minute) // longer than ended jobs are kept
		c.expectNoRecords("usual")
	})
}
