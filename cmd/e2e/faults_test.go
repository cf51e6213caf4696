package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingslip.example/core/lease"
	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/worker/fake"
	"waxwingslip.example/node/operator/api"
	"waxwingslip.example/standin/platformd"
)

// startLimit is how long after the last fresh read of the control stream a task may still start (design, section 5.4),
// with half a second for clocks and for the test's own reading of the time.
const startLimit = lease.ControlFreshness + lease.StartNotAfter + 500*time.Millisecond

// fault sets the faults of the log.
func (c *cluster) fault(s fault.Setting) {
	c.t.Helper()
	if err := platformd.Admin(c.t.Context(), http.MethodPut, c.platform+"/admin/faults/log", s); err != nil {
		c.t.Fatal(err)
	}
}

// condition sets the condition of a worker.
func (c *cluster) condition(worker string, cond fake.Condition) {
	c.t.Helper()
	err := platformd.Admin(c.t.Context(), http.MethodPut, "http://"+c.workers[worker]+"/admin/condition", cond)
	if err != nil {
		c.t.Fatal(err)
	}
}

// holds checks a condition over a time during which it must not fail.
func holds(t *testing.T, span time.Duration, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !check() {
			t.Fatalf("did not hold: %s", what)
		}
	}
}

// startedBetween returns the executions of batch tasks that began in a span, in a zone unless it is empty.
func startedBetween(all []fake.Execution, zone string, from, to time.Time) (out []string) {
	for _, e := range all {
		if e.Begin.After(from) && e.Begin.Before(to) && (zone == "" || zoneOf(e.Worker) == zone) {
			out = append(out, fmt.Sprintf("%s/%d epoch %d on %s at %s", e.Job, e.Index, e.Epoch, e.Worker, e.Begin))
		}
	}
	return out
}

// perTask counts the executions of each task of a job.
func perTask(all []fake.Execution, job string) map[int]int {
	n := map[int]int{}
	for _, e := range runsOf(all, job) {
		n[e.Index]++
	}
	return n
}

// checkOnce fails the test unless each task of a job was executed exactly once.
func (c *cluster) checkOnce(job string, tasks int) {
	c.t.Helper()
	runs := perTask(c.history(), job)
	if len(runs) != tasks {
		c.t.Errorf("job %s: %d tasks were executed, want %d", job, len(runs), tasks)
	}
	for index, n := range runs {
		if n != 1 {
			c.t.Errorf("task %s/%d was executed %d times", job, index, n)
		}
	}
}

// waitRuns waits until so many tasks of a job were started.
func (c *cluster) waitRuns(job string, n int) {
	c.t.Helper()
	eventually(c.t, readyTimeout, fmt.Sprintf("%d runs of %s", n, job), func() bool {
		return len(runsOf(c.history(), job)) >= n
	})
}

// waitSole waits until a daemon is the only member of its zone and owns all shards.
func (c *cluster) waitSole(d *entry) {
	c.t.Helper()
	eventually(c.t, readyTimeout, d.name+" is the only member", func() bool {
		s, err := c.operator(d).Status(c.t.Context())
		return err == nil && len(s.Members) == 1 && len(s.Shards) > 0 && len(s.Shards) == s.Members[0].Shards
	})
}

// waitMembers waits until a daemon sees so many members.
func (c *cluster) waitMembers(d *entry, n int) {
	c.t.Helper()
	eventually(c.t, readyTimeout, fmt.Sprintf("%d members", n), func() bool {
		s, err := c.operator(d).Status(c.t.Context())
		return err == nil && len(s.Members) == n
	})
}

// status returns the status of a daemon.
func (c *cluster) status(d *entry) (api.Status, bool) {
	s, err := c.operator(d).Status(c.t.Context())
	return s, err == nil
}

// setVM changes the state of a worker in the list of VMs only.
func (c *cluster) setVM(worker string, state directory.State) {
	c.t.Helper()
	client := directory.NewHTTPClient(c.platform)
	defer client.Close()
	list, err := client.List(c.t.Context(), zoneOf(worker), "")
	if err != nil {
		c.t.Fatal(err)
	}
	for _, vm := range list.VMs {
		if vm.ID != worker {
			continue
		}
		vm.State = state
		if err := platformd.Register(c.t.Context(), c.platform, vm); err != nil {
			c.t.Fatal(err)
		}
		return
	}
	c.t.Fatalf("the list of VMs has no %s", worker)
}

// workerOf returns the worker that an endpoint's name ends with.
func workerOf(replica string) string { return replica[strings.LastIndex(replica, "@")+1:] }
