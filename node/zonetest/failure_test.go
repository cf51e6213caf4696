package zonetest

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/lease"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/fault"
)

// waitForRun waits until a job of one task runs and n has read which worker runs it, and returns that worker. If
// another daemon owns the worker, n reads this only after the start.
func (h *harness) waitForRun(n *node, job string) string {
	h.t.Helper()
	h.eventually(job+" runs", 30*time.Second, func() bool { return h.countRuns(job) > 0 && n.task(job, 0).Worker != "" })
	return n.task(job, 0).Worker
}

// Guards against the loss or duplication of a running task when the daemon that owns its worker is killed.
func TestOwnerDies(t *testing.T) {
	runInBubble(t, 3, func(h *harness) {
		is := is.New(h.t)
		id, owner, survivor := h.startPair("run=60s")
		defer survivor.kill()
		owner.kill()
		h.eventually("the other daemon owns the worker", 12*time.Second, func() bool { return ownerOf(id, survivor) != nil })
		h.eventually("job ends", 90*time.Second, func() bool {
			return survivor.task("job", 0).State == zone.TaskEnded || survivor.task("job", 0).Epoch == 0
		})
		is.Equal(h.countRuns("job"), 1) // the run continued under the new owner
		h.checkNoOverlap()
	})
}

// Guards against tasks of a killed worker that are lost, run twice, or are declared lost before the worker's lease
// has certainly expired.
func TestWorkerDies(t *testing.T) {
	runInBubble(t, 3, func(h *harness) {
		is := is.New(h.t)
		a := h.start("a")
		defer a.kill()
		a.publish(testDocument)
		a.submit("job", 1, "run=100s")
		id := h.waitForRun(a, "job")
		killedAt := time.Now()
		h.fleet.At(id + ":1").Kill()
		h.eventually("task is placed again", 40*time.Second, func() bool { return h.countRuns("job") == 2 })
		is.True(time.Since(killedAt) >= lease.WorkerLease-lease.RenewInterval)
		is.True(a.task("job", 0).Worker != id)
		h.checkNoOverlap()
	})
}

// Guards against a duplicate run when the owner is partitioned from the log and the new owner cannot reach the
// worker: the old owner continues to renew the lease, so the task must not be placed again.
func TestOldOwnerRenewsBehindPartition(t *testing.T) {
	runInBubble(t, 3, func(h *harness) {
		is := is.New(h.t)
		id, old, other := h.startPair("run=1h")
		defer old.kill()
		defer other.kill()
		old.client.logFaults.Set(fault.Setting{Down: true})
		other.client.workerFaults.Set(fault.Setting{Down: true})
		h.eventually("the other daemon owns the shard", 20*time.Second, func() bool { return ownerOf(id, other) != nil })
		time.Sleep(40 * time.Minute)
		is.Equal(h.countRuns("job"), 1)
		is.Equal(other.task("job", 0).Epoch, int64(1))
		h.checkNoOverlap()
	})
}

// Guards against a task that, after its worker and the owner are killed, never starts again, or starts again before
// the old owner's authority to renew has expired.
func TestOwnerAndWorkerDie(t *testing.T) {
	runInBubble(t, 3, func(h *harness) {
		is := is.New(h.t)
		id, owner, survivor := h.startPair("run=10h")
		defer survivor.kill()
		killedAt := time.Now()
		owner.kill()
		h.fleet.At(id + ":1").Kill()
		h.eventually("task is placed again", 90*time.Minute, func() bool { return h.countRuns("job") == 2 })
		is.True(time.Since(killedAt) >= lease.RenewalAuthority)
		h.checkNoOverlap()
	})
}

// Guards against a start command that is delayed in transit and takes effect after the zone was taken out of service.
func TestLateStartIsRefused(t *testing.T) {
	runInBubble(t, 1, func(h *harness) {
		is := is.New(h.t)
		a := h.start("a")
		defer a.kill()
		a.publish(testDocument)
		h.eventually("worker is registered", 30*time.Second, func() bool {
			known := false
			a.zone.View(func(s *zone.State) { known = s.Workers["w0"] != nil })
			return known
		})
		a.client.mu.Lock()
		a.client.startDelay = 8 * time.Second
		a.client.mu.Unlock()
		a.submit("job", 1, "run=60s")
		h.eventually("task is bound", 10*time.Second, func() bool { return a.task("job", 0).State == zone.TaskBound })
		a.publish(strings.Replace(testDocument, "      - name: z\n", "      - name: z\n        outOfService: true\n", 1))
		time.Sleep(time.Minute)
		is.Equal(h.countRuns("job"), 0)
	})
}

// Guards against starts in a zone that was taken out of service while a daemon could not read the log.
func TestNoStartWithoutFreshConfiguration(t *testing.T) {
	runInBubble(t, 2, func(h *harness) {
		is := is.New(h.t)
		a, c := h.start("a"), h.start("c")
		defer a.kill()
		defer c.kill()
		a.publish(testDocument)
		a.submit("first", 1, "run=2h")
		h.waitForRun(a, "first")
		// The task is bound but not started: start commands do not reach the workers for a while.
		a.client.workerFaults.Set(fault.Setting{Down: true, Operations: []string{"start"}})
		c.client.workerFaults.Set(fault.Setting{Down: true, Operations: []string{"start"}})
		a.submit("late", 1, "run=60s")
		h.eventually("task is bound", 10*time.Second, func() bool { return a.task("late", 0).State == zone.TaskBound })
		a.client.logFaults.Set(fault.Setting{Down: true})
		c.client.logFaults.Set(fault.Setting{Down: true})
		time.Sleep(lease.ControlFreshness + time.Second)
		a.client.workerFaults.Set(fault.Setting{})
		c.client.workerFaults.Set(fault.Setting{})
		time.Sleep(10 * time.Minute)
		is.Equal(h.countRuns("late"), 0)
		is.Equal(h.countRuns("first"), 1) // its lease was renewed throughout
		a.client.logFaults.Set(fault.Setting{})
		c.client.logFaults.Set(fault.Setting{})
		h.eventually("task starts after the outage", time.Minute, func() bool { return h.countRuns("late") == 1 })
		h.checkNoOverlap()
	})
}

// Guards against tasks that stop because their owner is killed while the log is down: no daemon can claim the shard
// then, so the long lease must last until the log is available again.
func TestOwnerDiesDuringLogOutage(t *testing.T) {
	runInBubble(t, 2, func(h *harness) {
		is := is.New(h.t)
		id, owner, survivor := h.startPair("run=3h")
		defer survivor.kill()
		owner.client.logFaults.Set(fault.Setting{Down: true})
		survivor.client.logFaults.Set(fault.Setting{Down: true})
		time.Sleep(time.Minute)
		owner.kill()
		time.Sleep(20 * time.Minute)
		survivor.client.logFaults.Set(fault.Setting{})
		h.eventually("the survivor owns the worker", time.Minute, func() bool { return ownerOf(id, survivor) != nil })
		time.Sleep(time.Minute)
		is.Equal(h.countRuns("job"), 1)
		is.Equal(survivor.task("job", 0).Epoch, int64(1))
		h.checkNoOverlap()
	})
}

// Guards against an eviction that is lost or repeated when the daemon that executes it is killed halfway.
func TestEvictionSurvivesOwner(t *testing.T) {
	runInBubble(t, 3, func(h *harness) {
		is := is.New(h.t)
		id, owner, survivor := h.startPair("run=10m checkpoint=10s")
		time.Sleep(time.Minute)
		defer survivor.kill()
		task := owner.task("job", 0)
		survivor.zone.Post(&record.Stop{
			Run: record.Run{Task: record.TaskID{Job: "job"}, Epoch: task.Epoch, Worker: id}, Reason: "test",
		})
		// The owner can stop the run, but not append the Evict record.
		owner.client.logFaults.Set(fault.Setting{Down: true, Operations: []string{"append"}})
		h.eventually("run is stopped", 20*time.Second, func() bool {
			for _, e := range h.fleet.History() {
				if !e.End.IsZero() {
					return true
				}
			}
			return false
		})
		owner.kill()
		h.eventually("task resumes", 40*time.Second, func() bool { return h.countRuns("job") == 2 })
		is.Equal(survivor.task("job", 0).Evictions, 1)
		is.True(survivor.task("job", 0).Checkpoint != "")
		time.Sleep(time.Minute)
		is.Equal(h.countRuns("job"), 2)
		h.checkNoOverlap()
	})
}

// Guards against a task that is also placed on another worker because the response to its start was lost.
func TestStartResponseLost(t *testing.T) {
	runInBubble(t, 3, func(h *harness) {
		is := is.New(h.t)
		a := h.start("a")
		defer a.kill()
		a.publish(testDocument)
		for _, w := range h.workers {
			w.Faults.Set(fault.Setting{LoseResponses: 2, Operations: []string{"start"}})
		}
		a.submit("job", 3, "run=30s")
		h.eventually("job finishes", 2*time.Minute, func() bool {
			done := false
			a.control.View(func(s *control.State) { done = s.Finished("job") != nil })
			return done
		})
		is.Equal(h.countRuns("job"), 3)
		h.checkNoOverlap()
	})
}

// Guards against a daemon whose membership expired during a partition and that then acts on its old ownership.
func TestExpiredDaemonRejoins(t *testing.T) {
	runInBubble(t, 3, func(h *harness) {
		is := is.New(h.t)
		a, c := h.start("a"), h.start("c")
		defer a.kill()
		defer c.kill()
		a.publish(testDocument)
		a.submit("job", 4, "run=20m")
		h.waitForRun(a, "job")
		previousMember := a.auth.Member()
		a.client.logFaults.Set(fault.Setting{Down: true})
		a.client.workerFaults.Set(fault.Setting{Down: true})
		time.Sleep(2 * time.Minute)
		a.client.logFaults.Set(fault.Setting{})
		a.client.workerFaults.Set(fault.Setting{})
		h.eventually("daemon joins under another id", 30*time.Second, func() bool {
			return a.auth.Member() != "" && a.auth.Member() != previousMember
		})
		time.Sleep(2 * time.Minute)
		is.Equal(h.countRuns("job"), 4)
		h.checkNoOverlap()
	})
}

// Guards against an old owner, partitioned from the log, that stops runs unknown to it because they were placed after
// it lost the shard.
func TestOldOwnerIsFenced(t *testing.T) {
	runInBubble(t, 1, func(h *harness) {
		is := is.New(h.t)
		a, c := h.start("a"), h.start("c")
		defer a.kill()
		defer c.kill()
		a.publish(testDocument)
		a.submit("first", 1, "run=2h")
		id := h.waitForRun(a, "first")
		old, other := orderByOwner(id, a, c)
		old.client.logFaults.Set(fault.Setting{Down: true})
		h.eventually("the other daemon owns the shard", 20*time.Second, func() bool { return ownerOf(id, other) != nil })
		other.submit("second", 1, "run=2h")
		h.eventually("second runs", 30*time.Second, func() bool { return h.countRuns("second") == 1 })
		time.Sleep(5 * time.Minute)
		for _, e := range h.fleet.History() {
			is.True(e.End.IsZero()) // nothing was stopped
		}
		h.checkNoOverlap()
	})
}

// Guards against tasks that hang after a worker restarted with its clock set back and was then killed: leases granted
// on the earlier clock must not delay the new placement.
func TestWorkerRestartsThenDies(t *testing.T) {
	runInBubble(t, 3, func(h *harness) {
		a := h.start("a")
		defer a.kill()
		a.publish(testDocument)
		a.submit("job", 1, "run=10h")
		id := h.waitForRun(a, "job")
		w := h.fleet.At(id + ":1")
		time.Sleep(24 * time.Hour / 100)
		w.Kill()
		w.Restart(1)
		h.eventually("task runs again", time.Minute, func() bool { return h.countRuns("job") == 2 })
		newWorker := h.fleet.At(a.task("job", 0).Worker + ":1")
		time.Sleep(20 * time.Second)
		newWorker.Kill()
		h.eventually("task runs a third time", time.Minute, func() bool { return h.countRuns("job") == 3 })
		h.checkNoOverlap()
	})
}

// Guards against pending tasks that a new member becomes responsible for and never plans.
func TestNewMemberPlansWaitingTasks(t *testing.T) {
	runInBubble(t, 1, func(h *harness) {
		is := is.New(h.t)
		a := h.start("a")
		defer a.kill()
		a.publish(testDocument)
		a.submit("first", 4, "run=1m")
		h.waitForRun(a, "first")
		a.submit("second", 12, "run=10s")
		h.eventually("second waits", 10*time.Second, func() bool { return a.task("second", 11).State == zone.TaskPending })
		c := h.start("c")
		defer c.kill()
		h.eventually("the new member joined", 10*time.Second, func() bool { return c.auth.Member() != "" })
		h.eventually("second finishes", 10*time.Minute, func() bool {
			done := false
			a.control.View(func(s *control.State) { done = s.Finished("second") != nil })
			return done
		})
		is.Equal(h.countRuns("second"), 12)
	})
}

// Guards against late failure detection after a short outage of the log: the long leases granted meanwhile must end
// with it, so that the loss of a worker afterwards is detected in seconds.
func TestWorkerDiesAfterShortOutage(t *testing.T) {
	runInBubble(t, 3, func(h *harness) {
		a := h.start("a")
		defer a.kill()
		a.publish(testDocument)
		a.submit("job", 1, "run=10h")
		id := h.waitForRun(a, "job")
		a.client.logFaults.Set(fault.Setting{Down: true})
		time.Sleep(30 * time.Second)
		a.client.logFaults.Set(fault.Setting{})
		time.Sleep(20 * time.Second)
		h.fleet.At(id + ":1").Kill()
		h.eventually("task runs again", time.Minute, func() bool { return h.countRuns("job") == 2 })
		h.checkNoOverlap()
	})
}

// Guards against urgent tasks that wait behind batch tasks: they must start within the target of 2.5 s, also when
// every slot of the zone is in use and a batch task has to be stopped first.
func TestUrgentWorkStartsInTime(t *testing.T) {
	const target = 2500 * time.Millisecond
	for name, batch := range map[string]int{"free zone": 1, "full zone": 12} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, 3, func(h *harness) {
				is := is.New(h.t)
				a, c := h.start("a"), h.start("c")
				defer a.kill()
				defer c.kill()
				a.publish(testDocument)
				a.submit("batch", batch, "run=1h checkpoint=5s")
				h.eventually("batch work runs", time.Minute, func() bool { return h.countRuns("batch") == batch })
				time.Sleep(30 * time.Second)
				submitted := time.Now()
				a.submitWith(record.PriorityUrgent, "urgent", 1, "run=10s")
				h.eventually("urgent work runs", time.Minute, func() bool { return h.countRuns("urgent") == 1 })
				for _, e := range h.fleet.History() {
					if e.Job == "urgent" {
						is.True(e.Begin.Sub(submitted) <= target)
					}
				}
				h.checkNoOverlap()
			})
		})
	}
}
