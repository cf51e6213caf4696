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

// running waits until a job of one task runs and the daemon n has read where, which it reads after the start when
// another daemon owns the worker. It returns the worker.
func (b *bench) running(n *node, job string) string {
	b.t.Helper()
	b.eventually(job+" runs", 30*time.Second, func() bool { return b.runsOf(job) > 0 && n.task(job, 0).Worker != "" })
	return n.task(job, 0).Worker
}

// Guards against a daemon's death that loses or doubles a running task.
func TestOwnerDies(t *testing.T) {
	inBubble(t, 3, func(b *bench) {
		is := is.New(b.t)
		id, owner, survivor := b.pair("run=60s")
		defer survivor.kill()
		owner.kill()
		b.eventually("the other daemon owns the worker", 12*time.Second, func() bool { return ownerOf(id, survivor) != nil })
		b.eventually("job ends", 90*time.Second, func() bool {
			return survivor.task("job", 0).State == zone.TaskEnded || survivor.task("job", 0).Epoch == 0
		})
		is.Equal(b.runsOf("job"), 1) // the run went on under the new owner
		b.checkNoOverlap()
	})
}

// Guards against a worker's death that loses its tasks, runs them twice, or declares them lost before the
// worker's lease has certainly lapsed.
func TestWorkerDies(t *testing.T) {
	inBubble(t, 3, func(b *bench) {
		is := is.New(b.t)
		a := b.start("a")
		defer a.kill()
		a.publish(document)
		a.submit("job", 1, "run=100s")
		id := b.running(a, "job")
		died := time.Now()
		b.fleet.At(id + ":1").Kill()
		b.eventually("task is placed again", 40*time.Second, func() bool { return b.runsOf("job") == 2 })
		is.True(time.Since(died) >= lease.WorkerLease-lease.RenewInterval)
		is.True(a.task("job", 0).Worker != id)
		b.checkNoOverlap()
	})
}

// Guards against a double run when the owner is cut off from the log and a worker cannot be reached by the new
// owner: the old owner goes on renewing, so the task must stay where it is.
func TestOldOwnerRenewsBehindPartition(t *testing.T) {
	inBubble(t, 3, func(b *bench) {
		is := is.New(b.t)
		id, old, other := b.pair("run=1h")
		defer old.kill()
		defer other.kill()
		old.link.logCut.Set(fault.Setting{Down: true})
		other.link.workersCut.Set(fault.Setting{Down: true})
		b.eventually("the other daemon owns the shard", 20*time.Second, func() bool { return ownerOf(id, other) != nil })
		time.Sleep(40 * time.Minute)
		is.Equal(b.runsOf("job"), 1)
		is.Equal(other.task("job", 0).Epoch, int64(1))
		b.checkNoOverlap()
	})
}

// Guards against the task of a lost daemon and a lost worker that waits for ever, or that starts again before
// the old owner's authority has passed.
func TestOwnerAndWorkerDie(t *testing.T) {
	inBubble(t, 3, func(b *bench) {
		is := is.New(b.t)
		id, owner, survivor := b.pair("run=10h")
		defer survivor.kill()
		died := time.Now()
		owner.kill()
		b.fleet.At(id + ":1").Kill()
		b.eventually("task is placed again", 90*time.Minute, func() bool { return b.runsOf("job") == 2 })
		is.True(time.Since(died) >= lease.RenewalAuthority)
		b.checkNoOverlap()
	})
}

// Guards against a start that was held up on its way and takes effect after the zone was taken out of service.
func TestLateStartIsRefused(t *testing.T) {
	inBubble(t, 1, func(b *bench) {
		is := is.New(b.t)
		a := b.start("a")
		defer a.kill()
		a.publish(document)
		b.eventually("worker is registered", 30*time.Second, func() bool {
			known := false
			a.zone.View(func(s *zone.State) { known = s.Workers["w0"] != nil })
			return known
		})
		a.link.mu.Lock()
		a.link.holdStarts = 8 * time.Second
		a.link.mu.Unlock()
		a.submit("job", 1, "run=60s")
		b.eventually("task is bound", 10*time.Second, func() bool { return a.task("job", 0).State == zone.TaskBound })
		a.publish(strings.Replace(document, "      - name: z\n", "      - name: z\n        outOfService: true\n", 1))
		time.Sleep(time.Minute)
		is.Equal(b.runsOf("job"), 0)
	})
}

// Guards against starts in a zone that was taken out of service while a daemon could not read the log.
func TestNoStartWithoutFreshConfiguration(t *testing.T) {
	inBubble(t, 2, func(b *bench) {
		is := is.New(b.t)
		a, c := b.start("a"), b.start("c")
		defer a.kill()
		defer c.kill()
		a.publish(document)
		a.submit("first", 1, "run=2h")
		b.running(a, "first")
		// Bound but not started: the workers cannot be reached by their owners for a moment.
		a.link.workersCut.Set(fault.Setting{Down: true, Operations: []string{"start"}})
		c.link.workersCut.Set(fault.Setting{Down: true, Operations: []string{"start"}})
		a.submit("late", 1, "run=60s")
		b.eventually("task is bound", 10*time.Second, func() bool { return a.task("late", 0).State == zone.TaskBound })
		a.link.logCut.Set(fault.Setting{Down: true})
		c.link.logCut.Set(fault.Setting{Down: true})
		time.Sleep(lease.ControlFreshness + time.Second)
		a.link.workersCut.Set(fault.Setting{})
		c.link.workersCut.Set(fault.Setting{})
		time.Sleep(10 * time.Minute)
		is.Equal(b.runsOf("late"), 0)
		is.Equal(b.runsOf("first"), 1) // its lease was renewed throughout
		a.link.logCut.Set(fault.Setting{})
		c.link.logCut.Set(fault.Setting{})
		b.eventually("task starts when the log is back", time.Minute, func() bool { return b.runsOf("late") == 1 })
		b.checkNoOverlap()
	})
}

// Guards against tasks that stop because their owner dies while the log is down: nobody can claim the shard then,
// so the long lease must carry them until the log is back.
func TestOwnerDiesDuringLogOutage(t *testing.T) {
	inBubble(t, 2, func(b *bench) {
		is := is.New(b.t)
		id, owner, survivor := b.pair("run=3h")
		defer survivor.kill()
		owner.link.logCut.Set(fault.Setting{Down: true})
		survivor.link.logCut.Set(fault.Setting{Down: true})
		time.Sleep(time.Minute)
		owner.kill()
		time.Sleep(20 * time.Minute)
		survivor.link.logCut.Set(fault.Setting{})
		b.eventually("the survivor owns the worker", time.Minute, func() bool { return ownerOf(id, survivor) != nil })
		time.Sleep(time.Minute)
		is.Equal(b.runsOf("job"), 1)
		is.Equal(survivor.task("job", 0).Epoch, int64(1))
		b.checkNoOverlap()
	})
}

// Guards against an eviction that is lost or done twice when the daemon that carries it out dies in between.
func TestEvictionSurvivesOwner(t *testing.T) {
	inBubble(t, 3, func(b *bench) {
		is := is.New(b.t)
		id, owner, survivor := b.pair("run=10m checkpoint=10s")
		time.Sleep(time.Minute)
		defer survivor.kill()
		task := owner.task("job", 0)
		survivor.zone.Post(&record.Stop{
			Run: record.Run{Task: record.TaskID{Job: "job"}, Epoch: task.Epoch, Worker: id}, Reason: "test",
		})
		// The owner may stop the run, but the Evict record that it appends is lost with it.
		owner.link.logCut.Set(fault.Setting{Down: true, Operations: []string{"append"}})
		b.eventually("run is stopped", 20*time.Second, func() bool {
			for _, e := range b.fleet.History() {
				if !e.End.IsZero() {
					return true
				}
			}
			return false
		})
		owner.kill()
		b.eventually("task resumes", 40*time.Second, func() bool { return b.runsOf("job") == 2 })
		is.Equal(survivor.task("job", 0).Evictions, 1)
		is.True(survivor.task("job", 0).Checkpoint != "")
		time.Sleep(time.Minute)
		is.Equal(b.runsOf("job"), 2)
		b.checkNoOverlap()
	})
}

// Guards against a start whose answer was lost and that is then placed on another worker as well.
func TestStartAnswerLost(t *testing.T) {
	inBubble(t, 3, func(b *bench) {
		is := is.New(b.t)
		a := b.start("a")
		defer a.kill()
		a.publish(document)
		for _, w := range b.workers {
			w.Faults.Set(fault.Setting{LoseAnswers: 2, Operations: []string{"start"}})
		}
		a.submit("job", 3, "run=30s")
		b.eventually("job finishes", 2*time.Minute, func() bool {
			done := false
			a.control.View(func(s *control.State) { done = s.Finished("job") != nil })
			return done
		})
		is.Equal(b.runsOf("job"), 3)
		b.checkNoOverlap()
	})
}

// Guards against a daemon that was expired while it was cut off and that acts on its old ownership afterwards.
func TestExpiredDaemonRejoins(t *testing.T) {
	inBubble(t, 3, func(b *bench) {
		is := is.New(b.t)
		a, c := b.start("a"), b.start("c")
		defer a.kill()
		defer c.kill()
		a.publish(document)
		a.submit("job", 4, "run=20m")
		b.running(a, "job")
		before := a.auth.Member()
		a.link.logCut.Set(fault.Setting{Down: true})
		a.link.workersCut.Set(fault.Setting{Down: true})
		time.Sleep(2 * time.Minute)
		a.link.logCut.Set(fault.Setting{})
		a.link.workersCut.Set(fault.Setting{})
		b.eventually("daemon joins under another id", 30*time.Second, func() bool {
			return a.auth.Member() != "" && a.auth.Member() != before
		})
		time.Sleep(2 * time.Minute)
		is.Equal(b.runsOf("job"), 4)
		b.checkNoOverlap()
	})
}

// Guards against an old owner, cut off from the log, that stops runs which it does not know because they were
// placed after it lost the shard.
func TestOldOwnerIsFenced(t *testing.T) {
	inBubble(t, 1, func(b *bench) {
		is := is.New(b.t)
		a, c := b.start("a"), b.start("c")
		defer a.kill()
		defer c.kill()
		a.publish(document)
		a.submit("first", 1, "run=2h")
		id := b.running(a, "first")
		old, other := byOwner(id, a, c)
		old.link.logCut.Set(fault.Setting{Down: true})
		b.eventually("the other daemon owns the shard", 20*time.Second, func() bool { return ownerOf(id, other) != nil })
		other.submit("second", 1, "run=2h")
		b.eventually("second runs", 30*time.Second, func() bool { return b.runsOf("second") == 1 })
		time.Sleep(5 * time.Minute)
		for _, e := range b.fleet.History() {
			is.True(e.End.IsZero()) // nothing was stopped
		}
		b.checkNoOverlap()
	})
}

// Guards against tasks that hang after a worker restarted, with its clock set back, and then died: the leases granted on
// the earlier clock must not be waited for.
func TestWorkerRestartsThenDies(t *testing.T) {
	inBubble(t, 3, func(b *bench) {
		a := b.start("a")
		defer a.kill()
		a.publish(document)
		a.submit("job", 1, "run=10h")
		id := b.running(a, "job")
		w := b.fleet.At(id + ":1")
		time.Sleep(24 * time.Hour / 100)
		w.Kill()
		w.Restart(1)
		b.eventually("task runs again", time.Minute, func() bool { return b.runsOf("job") == 2 })
		again := b.fleet.At(a.task("job", 0).Worker + ":1")
		time.Sleep(20 * time.Second)
		again.Kill()
		b.eventually("task runs a third time", time.Minute, func() bool { return b.runsOf("job") == 3 })
		b.checkNoOverlap()
	})
}

// Guards against waiting tasks that a new member becomes responsible for and never plans.
func TestNewMemberPlansWaitingTasks(t *testing.T) {
	inBubble(t, 1, func(b *bench) {
		is := is.New(b.t)
		a := b.start("a")
		defer a.kill()
		a.publish(document)
		a.submit("first", 4, "run=1m")
		b.running(a, "first")
		a.submit("second", 12, "run=10s")
		b.eventually("second waits", 10*time.Second, func() bool { return a.task("second", 11).State == zone.TaskPending })
		c := b.start("c")
		defer c.kill()
		b.eventually("the new member joined", 10*time.Second, func() bool { return c.auth.Member() != "" })
		b.eventually("second finishes", 10*time.Minute, func() bool {
			done := false
			a.control.View(func(s *control.State) { done = s.Finished("second") != nil })
			return done
		})
		is.Equal(b.runsOf("second"), 12)
	})
}

// Guards against a short outage of the log that blinds the zone: the long leases granted meanwhile must end with it, so
// that a worker that dies afterwards is noticed in seconds.
func TestWorkerDiesAfterShortOutage(t *testing.T) {
	inBubble(t, 3, func(b *bench) {
		a := b.start("a")
		defer a.kill()
		a.publish(document)
		a.submit("job", 1, "run=10h")
		id := b.running(a, "job")
		a.link.logCut.Set(fault.Setting{Down: true})
		time.Sleep(30 * time.Second)
		a.link.logCut.Set(fault.Setting{})
		time.Sleep(20 * time.Second)
		b.fleet.At(id + ":1").Kill()
		b.eventually("task runs again", time.Minute, func() bool { return b.runsOf("job") == 2 })
		b.checkNoOverlap()
	})
}

// Guards against urgent work that waits behind batch work: it starts within the target of 2.5 s, also when every slot of
// the zone is taken and a batch task has to be stopped first.
func TestUrgentWorkStartsInTime(t *testing.T) {
	const target = 2500 * time.Millisecond
	for name, batch := range map[string]int{"free zone": 1, "full zone": 12} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 3, func(b *bench) {
				is := is.New(b.t)
				a, c := b.start("a"), b.start("c")
				defer a.kill()
				defer c.kill()
				a.publish(document)
				a.submit("batch", batch, "run=1h checkpoint=5s")
				b.eventually("batch work runs", time.Minute, func() bool { return b.runsOf("batch") == batch })
				time.Sleep(30 * time.Second)
				submitted := time.Now()
				a.submitWith(record.PriorityUrgent, "urgent", 1, "run=10s")
				b.eventually("urgent work runs", time.Minute, func() bool { return b.runsOf("urgent") == 1 })
				for _, e := range b.fleet.History() {
					if e.Job == "urgent" {
						is.True(e.Begin.Sub(submitted) <= target)
					}
				}
				b.checkNoOverlap()
			})
		})
	}
}
