package shard_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/shard"
)

// storeProgress stores progress of a job as an owner of epoch 0 does.
func (c *cluster) storeProgress(id string, value []byte) {
	c.append(keyedlog.Partition{Topic: shard.ProgressTopic}, keyedlog.Record{Key: id, Value: value})
}

func encode(is *is.I, v any) []byte {
	data, err := cbor.Marshal(v)
	is.NoErr(err)
	return data
}

// Guards against stored records, written by another build, that end each owner in turn. The other jobs of the shard go
// on, and callers still see the jobs that are set aside.
func TestOddRecordsAreSetAside(t *testing.T) {
	runCluster(t, 1, 0, oneSecondTask, func(c *cluster, is *is.I) {
		const huge = 4611686018427387905
		size := resource.Vector{MilliCPU: 1000, MemoryMB: 1000}
		accept := func(id string, s jobs.Spec) {
			s.ID, s.Queue, s.Service, s.MaxAttempts, s.AcceptedMs = id, "q", service, 1, time.Now().UnixMilli()
			c.accept(&s)
		}
		accept("overflow", jobs.Spec{Steps: []jobs.Step{{Count: huge, Size: size}, {Count: huge, Size: size}}})
		accept("occurrences", jobs.Spec{Repeat: 1 << 40, Steps: []jobs.Step{{Count: 1, Size: size}}})
		c.append(keyedlog.Partition{Topic: shard.JobsTopic}, shard.AcceptRecord("garbage", []byte{0xff, 0x00}))
		for id, progress := range map[string][]byte{
			"nil":   encode(is, &jobs.Progress{Next: 1, Begun: true, Occurrences: []*jobs.Occurrence{nil}}),
			"steps": encode(is, &jobs.Progress{Next: 1, Occurrences: []*jobs.Occurrence{{Steps: [][]jobs.Task{{{Phase: jobs.Bound, Run: 1, Worker: "w0"}}, {}, {}}}}}),
			"bytes": {0xff},
		} {
			accept(id, jobs.Spec{Steps: []jobs.Step{{Count: 1, Size: size}, {Count: 1, Size: size, After: []int{0}}}})
			c.storeProgress(id, progress)
		}
		c.addDaemon("d0")
		c.addDaemon("d1")
		set := []string{"overflow", "occurrences", "garbage", "nil", "steps", "bytes"}
		for _, job := range []string{"first", "second"} {
			owner := c.owner()
			c.submit(job, jobs.Step{}, 2)
			c.waitForState(job, jobs.StateCompleted, 10*time.Second)
			for _, id := range set {
				is.Equal(c.state(id), jobs.StatePending)
				is.Equal(c.fleet.Starts(task(id, 0)), 0) // what ran before is not known
			}
			owner.cancel()
			owner.done.Wait()
			if job == "first" {
				c.waitUntil("another daemon owns the shard", 5*time.Second, func() bool { return c.owner() != owner })
			}
		}
	})
}

// Guards against a job that cannot be cancelled because it is set aside.
func TestJobSetAsideIsCancelled(t *testing.T) {
	runCluster(t, 1, 1, oneSecondTask, func(c *cluster, is *is.I) {
		c.owner()
		c.append(keyedlog.Partition{Topic: shard.JobsTopic}, shard.AcceptRecord("garbage", []byte{0xff, 0x00}))
		c.waitForState("garbage", jobs.StatePending, 2*time.Second)
		c.cancel("garbage")
		c.waitForState("garbage", jobs.StateCancelled, 2*time.Second)
	})
}

// Guards against an unexpected error in planning that ends the daemon, or keeps the shard without an owner.
func TestUnexpectedErrorGivesUpShard(t *testing.T) {
	runCluster(t, 1, 2, oneSecondTask, func(c *cluster, is *is.I) {
		first := c.owner()
		config, panics := c.config, 1
		c.configHook = func() *jobqueue.Config {
			if panics > 0 {
				panics--
				panic("odd configuration")
			}
			return config
		}
		c.submit("a", jobs.Step{}, 2)
		c.waitUntil("the shard was given up", 3*time.Second, func() bool { return first.ownedShard() == nil })
		c.waitForState("a", jobs.StateCompleted, 10*time.Second)
	})
}

// Guards against odd records of moves of workers and jobs that end an owner or keep other jobs from running.
func TestOddRecordsOfMoves(t *testing.T) {
	runCluster(t, 2, 0, oneSecondTask, func(c *cluster, is *is.I) {
		jt := keyedlog.Partition{Topic: shard.JobsTopic}
		for _, k := range []string{"w/", "w/x", "w/x/", "w/x/abc", "w/w0/-1", "w/w0/1", "p/", "p/nobody", "p/w", "w//1"} {
			c.append(jt, keyedlog.Record{Key: k, Value: []byte{0xff, 0x01}})
			c.append(jt, keyedlog.Record{Key: k, Value: encode(is, map[int]int64{1: -5, 2: -7})})
			c.append(jt, keyedlog.Record{Key: k, Value: encode(is, map[int]int64{1: 1 << 62, 2: 1 << 62})})
		}
		for _, k := range []string{"m/", "m/zz", "m/y", "m/w9"} {
			c.storeProgress(k, []byte{0xff})
			if k != "m/" {
				c.storeProgress(k, encode(is, map[int]int64{1: -4, 3: 9999, 4: -3}))
			}
		}
		c.accept(&jobs.Spec{ID: "gone", Queue: "q", Service: service, MaxAttempts: 1, AcceptedMs: time.Now().UnixMilli(),
			Steps: []jobs.Step{{Count: 1, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}}})
		c.storeProgress("gone", encode(is, &jobs.Progress{Outcome: jobs.Moved, MovedTo: 99}))
		c.addDaemon("d0")
		c.addDaemon("d1")
		for _, job := range []string{"first", "second"} {
			owner := c.owner()
			c.submit(job, jobs.Step{}, 2)
			c.waitForState(job, jobs.StateCompleted, 10*time.Second)
			owner.cancel()
			owner.done.Wait()
			if job == "first" {
				c.waitUntil("another daemon owns the shard", 5*time.Second, func() bool { return c.owner() != owner })
			}
		}
	})
}
