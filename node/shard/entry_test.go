package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/jobworker"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/shard"
)

// restartAs restarts a worker under its id with a changed entry.
func (c *cluster) restartAs(id string, change func(*jobworker.Info)) {
	c.fleet.Crash(id)
	time.Sleep(time.Second)
	c.fleet.Restart(id)
	c.changeEntryAs(id, change)
}

// changeEntryAs changes the entry of a worker, which names its incarnation.
func (c *cluster) changeEntryAs(id string, change func(*jobworker.Info)) {
	c.changeEntry(id, func(info *jobworker.Info) {
		change(info)
		info.Incarnation = c.fleet.Incarnation(id)
	})
}

func labels(names ...string) func(*jobworker.Info) {
	return func(info *jobworker.Info) { info.Labels = names }
}

// Guards against a worker that restarts as another kind and is still used as the former one, and not as the new one.
func TestWorkerRestartsAsAnotherKind(t *testing.T) {
	runCluster(t, 2, 1, endlessTask, func(c *cluster, is *is.I) {
		c.changeEntryAs("w0", labels("a"))
		c.changeEntryAs("w1", labels("a"))
		c.owner()
		c.submit("before", jobs.Step{LongRunning: true, RequiredLabel: "a"}, 4)
		c.waitUntil("the tasks run", 5*time.Second, func() bool { return c.allRunning("before", 4) })
		c.restartAs("w0", labels("b"))
		time.Sleep(2 * time.Second)
		c.submit("b", jobs.Step{LongRunning: true, RequiredLabel: "b"}, 3)
		c.submit("a", jobs.Step{LongRunning: true, RequiredLabel: "a"}, 4)
		c.waitUntil("the tasks of each kind run", 15*time.Second, func() bool {
			return c.allRunning("before", 4) && c.allRunning("a", 4) && c.allRunning("b", 3)
		})
		is.Equal(c.fleet.Runs("w0"), 3)
		is.Equal(c.fleet.Runs("w1"), 8)
	})
}

// Guards against a start on a worker whose entry changed after the task was bound to it.
func TestStartAfterEntryChanged(t *testing.T) {
	for name, change := range map[string]func(*jobworker.Info){
		"label":   labels("b"),
		"service": func(info *jobworker.Info) { info.Service = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 1, 1, endlessTask, func(c *cluster, is *is.I) {
				c.changeEntry("w0", labels("a"))
				c.owner()
				time.Sleep(2 * time.Second)
				// The binding is stored after the change is read.
				c.store.SetFault(func(caller, method string, p keyedlog.Partition) storefake.Fault {
					return storefake.Fault{Hang: method == "append" && p.Topic == shard.ProgressTopic}
				})
				c.submit("a", jobs.Step{RequiredLabel: "a"}, 1)
				time.Sleep(50 * time.Millisecond)
				c.changeEntry("w0", change)
				time.Sleep(time.Second)
				c.store.SetFault(nil)
				time.Sleep(5 * time.Second)
				is.Equal(c.fleet.Starts(task("a", 0)), 0)
				c.changeEntry("w0", func(info *jobworker.Info) { info.Service, info.Labels = service, []string{"a"} })
				c.waitUntil("the task runs", 5*time.Second, func() bool { return c.allRunning("a", 1) })
			})
		})
	}
}

// Guards against starts on a worker that has started again as another kind, between its first report and its new entry.
func TestStartsWaitForEntryOfNewIncarnation(t *testing.T) {
	runCluster(t, 1, 1, endlessTask, func(c *cluster, is *is.I) {
		c.changeEntryAs("w0", labels("a"))
		c.owner()
		c.submit("before", jobs.Step{LongRunning: true, RequiredLabel: "a"}, 2)
		c.waitUntil("the tasks run", 5*time.Second, func() bool { return c.allRunning("before", 2) })
		c.fleet.Crash("w0")
		time.Sleep(time.Second)
		c.fleet.Restart("w0")
		time.Sleep(2 * time.Second)
		is.Equal(c.fleet.Runs("w0"), 0)
		c.changeEntryAs("w0", labels("a", "b"))
		c.waitUntil("the tasks run again", 5*time.Second, func() bool { return c.allRunning("before", 2) })
	})
}

// Guards against advice on the former kind of a worker: a job that only the new kind may run was never started.
func TestAdviceEndsWithTheKind(t *testing.T) {
	runCluster(t, 2, 1, oneSecondTask, func(c *cluster, is *is.I) {
		tickets := &ticketAdvisor{expiresAt: map[string]time.Time{}}
		c.advisor = tickets
		c.publish(&jobqueue.Config{Version: 2, Services: c.currentConfig().Services, Queues: []jobqueue.Queue{{Name: "q", Service: service,
			Advice: &jobqueue.Advice{PerCall: 40 * time.Millisecond, Validity: ticketValidity}}}})
		c.fleet.SetTickets(tickets.accepts)
		c.owner()
		c.submit("job", jobs.Step{}, 1)
		time.Sleep(3 * time.Second) // both workers count as unsuitable
		tickets.mu.Lock()
		tickets.allowedWorker = "w1"
		tickets.mu.Unlock()
		c.restartAs("w1", labels("b"))
		c.waitForState("job", jobs.StateCompleted, 15*time.Second)
	})
}

// Guards against a start at the address of a worker's new entry before the new incarnation has reported: its lease would
// end by the clock of the former one.
func TestStartsWaitForReportOfNewIncarnation(t *testing.T) {
	runCluster(t, 1, 1, endlessTask, func(c *cluster, is *is.I) {
		c.owner()
		time.Sleep(2 * time.Second)
		c.fleet.SetFault(func(_, method string) workerfake.Fault { return workerfake.Fault{Hang: method == "hold"} })
		time.Sleep(50 * time.Millisecond)
		c.fleet.Crash("w0")
		c.fleet.Restart("w0")
		c.changeEntry("w0", func(info *jobworker.Info) { info.Incarnation = 99 })
		time.Sleep(420 * time.Millisecond) // the entry is read
		c.submit("job", jobs.Step{}, 1)
		time.Sleep(400 * time.Millisecond) // the renewal under way has no response yet
		is.Equal(c.fleet.Starts(task("job", 0)), 0)
		c.fleet.SetFault(nil)
		c.waitUntil("the task runs", 5*time.Second, func() bool { return c.allRunning("job", 1) })
	})
}
