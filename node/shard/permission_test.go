package shard_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
)

// suspend moves a daemon's clock on, as a suspension of its VM does.
func (d *daemon) suspend(period time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.skew += period
}

// Guards against an owner that was suspended while a start had no answer, and repeats the start after another daemon may
// own the shard.
func TestSuspendedOwnerDoesNotRepeatStart(t *testing.T) {
	runCluster(t, 1, 1, oneSecondTask, func(c *cluster, is *is.I) {
		owner := c.owner()
		var starts, late atomic.Int32
		var suspended atomic.Bool
		c.fleet.SetFault(func(_, method string) workerfake.Fault {
			if method != "start" {
				return workerfake.Fault{}
			}
			if suspended.Load() {
				late.Add(1)
			}
			return workerfake.Fault{Hang: starts.Add(1) == 1}
		})
		c.submit("a", jobs.Step{}, 1)
		c.waitUntil("the start is sent", time.Second, func() bool { return starts.Load() == 1 })
		c.store.SetFault(func(string, string, keyedlog.Partition) storefake.Fault {
			return storefake.Fault{Hang: suspended.Load()} // the right to start is not renewed
		})
		suspended.Store(true)
		owner.suspend(5 * time.Second)
		time.Sleep(950 * time.Millisecond) // the first attempt times out meanwhile
		suspended.Store(false)
		is.Equal(late.Load(), int32(0))
		c.waitForState("a", jobs.StateCompleted, 20*time.Second)
	})
}

// Guards against a next owner that uses a worker which had left before.
func TestNextOwnerDoesNotUseWorkerThatLeft(t *testing.T) {
	runCluster(t, 2, 2, oneSecondTask, func(c *cluster, is *is.I) {
		first := c.owner()
		c.register("w0", nil)
		time.Sleep(time.Second)
		first.cancel()
		first.done.Wait()
		c.waitUntil("another daemon owns the shard", 5*time.Second, func() bool { return c.owner() != first })
		var used atomic.Bool
		c.fleet.SetFault(func(id, method string) workerfake.Fault {
			if id == "w0" && method == "start" {
				used.Store(true)
			}
			return workerfake.Fault{}
		})
		c.submit("a", jobs.Step{}, 8)
		c.waitForState("a", jobs.StateCompleted, 10*time.Second)
		is.True(!used.Load())
	})
}
