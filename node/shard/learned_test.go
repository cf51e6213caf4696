package shard_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/pressure"
	"waxwingslip.example/core/resource"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/shard"
)

// storedLearned returns the newest record of what was learned about images, and the number of its pairs.
func (c *cluster) storedLearned() (r keyedlog.Record, pairs int) {
	c.t.Helper()
	page, err := c.operatorStore.Newest(c.t.Context(), keyedlog.Partition{Topic: shard.ProgressTopic}, "")
	if err != nil {
		c.t.Fatal(err)
	}
	for _, r = range page.Records {
		if r.Key != "learned" {
			continue
		}
		var learned pressure.Learned
		if err := cbor.Unmarshal(r.Value, &learned); err != nil {
			c.t.Fatal(err)
		}
		for _, image := range learned.Images {
			pairs += len(image.Pairs)
		}
		return r, pairs
	}
	return keyedlog.Record{}, 0
}

// Guards against learned images that outgrow a record of the store: either the shard stored nothing any more, and each accepted
// job stayed pending, or nothing newer was stored of the images, so that the next owner did not know them.
func TestManyLearnedImagesHoldUpNothing(t *testing.T) {
	for name, images := range map[string]struct{ serving, filling, nameBytes, minPairs int }{
		"many":       {serving: 120, filling: 40, nameBytes: 60, minPairs: 600},
		"long names": {serving: 40, filling: 40, nameBytes: 250, minPairs: 200},
	} {
		t.Run(name, func(t *testing.T) {
			suffix := strings.Repeat("n", images.nameBytes)
			outcome := func(id jobs.TaskID, _ int64) workerfake.Outcome {
				o := workerfake.Outcome{Size: tinyTask, UntilStopped: true, Measurement: 10}
				if strings.HasPrefix(id.Job, "short") {
					o = workerfake.Outcome{Size: tinyTask, Duration: 500 * time.Millisecond}
				}
				return o
			}
			runCluster(t, 5, 2, outcome, func(c *cluster, is *is.I) {
				d := c.owner()
				var serving []string
				for i := range images.serving {
					id := fmt.Sprint("serving", i)
					serving = append(serving, id)
					c.acceptSteps(id, jobs.Step{Count: 1, Size: tinyTask, LongRunning: true, TailTargetMs: 50, Image: fmt.Sprint("s", i, suffix)})
				}
				c.waitUntil("serving tasks run", 30*time.Second, func() bool {
					for _, id := range serving {
						if !c.allRunning(id, 1) {
							return false
						}
					}
					return true
				})
				for i := range images.filling {
					c.acceptSteps(fmt.Sprint("filling", i), jobs.Step{Count: 5, MaxPerWorker: 1, Size: resource.Vector{MilliCPU: 50, MemoryMB: 10},
						Fills: true, Image: fmt.Sprint("f", i, suffix)})
				}
				runShort := func(id string, limit time.Duration) {
					c.acceptSteps(id, jobs.Step{Count: 3, Size: tinyTask})
					c.waitForState(id, jobs.StateCompleted, limit)
				}
				for i := range 5 {
					time.Sleep(4 * time.Second)
					runShort(fmt.Sprint("short", i), 3*time.Second)
				}
				before, pairs := c.storedLearned()
				is.True(pairs >= images.minPairs)
				time.Sleep(4 * time.Second)
				runShort("short-again", 3*time.Second)
				newer, _ := c.storedLearned()
				is.True(newer.Offset > before.Offset) // what is learned goes on to be stored

				for _, id := range serving { // so that the next owner learns nothing by itself
					c.cancel(id)
				}
				time.Sleep(2 * time.Second)
				d.cancel()
				d.done.Wait()
				last, pairs := c.storedLearned()
				c.owner()
				time.Sleep(4 * time.Second)
				runShort("short-after", 6*time.Second)
				restored, restoredPairs := c.storedLearned()
				is.True(restored.Offset > last.Offset)
				is.Equal(restoredPairs, pairs)
			})
		})
	}
}

// Guards against a refusal of what was learned about images, whatever its reason, after which a shard is given up, or appends the
// same record for ever, instead of going on without it.
func TestRejectedLearnedImagesHoldUpNothing(t *testing.T) {
	runCluster(t, 1, 2, highTailTask, func(c *cluster, is *is.I) {
		first := c.owner()
		rejected := 0
		c.store.Reject(func(_ string, r keyedlog.Record) bool {
			if r.Key == "learned" {
				rejected++
			}
			return r.Key == "learned"
		})
		c.submit("serve", jobs.Step{LongRunning: true, Image: "s", TailTargetMs: 20}, 1)
		c.submit("fill", jobs.Step{Fills: true, Image: "f"}, 1)
		for i := range 3 {
			time.Sleep(4 * time.Second)
			id := fmt.Sprint("short", i)
			c.submit(id, jobs.Step{}, 1)
			c.waitUntil("the short task runs", 2*time.Second, func() bool { return c.fleet.Running(task(id, 0)) == 1 })
		}
		is.True(rejected >= 3) // each record by itself, beside those of jobs
		is.True(c.owner() == first)
	})
}
