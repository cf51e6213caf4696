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

// maxStartDelay is the longest time after the last fresh read of the control stream at which a task may still start
// (docs/design.md, section 5.4), plus half a second for clock differences and the test's own time readings.
const maxStartDelay = lease.ControlFreshness + lease.StartNotAfter + 500*time.Millisecond

// setLogFault sets the fault of the log.
func (c *cluster) setLogFault(s fault.Setting) {
	c.t.Helper()
	if err := platformd.SendAdminRequest(c.t.Context(), http.MethodPut, c.platformURL+"/admin/faults/log", s); err != nil {
		c.t.Fatal(err)
	}
}

// setWorkerCondition sets the condition of a worker.
func (c *cluster) setWorkerCondition(worker string, cond fake.Condition) {
	c.t.Helper()
	err := platformd.SendAdminRequest(c.t.Context(), http.MethodPut, "http://"+c.workers[worker]+"/admin/condition", cond)
	if err != nil {
		c.t.Fatal(err)
	}
}

// holdsThroughout polls check for duration and fails the test if it returns false.
func holdsThroughout(t *testing.T, duration time.Duration, condition string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !check() {
			t.Fatalf("did not hold: %s", condition)
		}
	}
}

// startedBetween describes the executions that began between from and to, in one zone unless zone is empty.
func startedBetween(all []fake.Execution, zone string, from, to time.Time) (out []string) {
	for _, e := range all {
		if e.Begin.After(from) && e.Begin.Before(to) && (zone == "" || zoneOf(e.Worker) == zone) {
			out = append(out, fmt.Sprintf("%s/%d epoch %d on %s at %s", e.Job, e.Index, e.Epoch, e.Worker, e.Begin))
		}
	}
	return out
}

// runsPerTask counts the executions of each task of a job.
func runsPerTask(all []fake.Execution, job string) map[int]int {
	n := map[int]int{}
	for _, e := range runsOfJob(all, job) {
		n[e.Index]++
	}
	return n
}

// checkRunOnce fails the test unless each task of a job was executed exactly once.
func (c *cluster) checkRunOnce(job string, tasks int) {
	c.t.Helper()
	runs := runsPerTask(c.taskRuns(), job)
	if len(runs) != tasks {
		c.t.Errorf("job %s: %d tasks were executed, want %d", job, len(runs), tasks)
	}
	for index, n := range runs {
		if n != 1 {
			c.t.Errorf("task %s/%d was executed %d times", job, index, n)
		}
	}
}

// waitRunCount waits until n runs of a job's tasks have started.
func (c *cluster) waitRunCount(job string, n int) {
	c.t.Helper()
	eventually(c.t, readyTimeout, fmt.Sprintf("%d runs of %s", n, job), func() bool {
		return len(runsOfJob(c.taskRuns(), job)) >= n
	})
}

// waitOnlyMember waits until a daemon is the only member of its zone and owns all shards.
func (c *cluster) waitOnlyMember(d *daemonProcess) {
	c.t.Helper()
	eventually(c.t, readyTimeout, d.name+" is the only member", func() bool {
		s, err := c.operatorClient(d).Status(c.t.Context())
		return err == nil && len(s.Members) == 1 && len(s.Shards) > 0 && len(s.Shards) == s.Members[0].Shards
	})
}

// waitMembers waits until a daemon reports n members of its zone.
func (c *cluster) waitMembers(d *daemonProcess, n int) {
	c.t.Helper()
	eventually(c.t, readyTimeout, fmt.Sprintf("%d members", n), func() bool {
		s, err := c.operatorClient(d).Status(c.t.Context())
		return err == nil && len(s.Members) == n
	})
}

// fetchStatus returns the status of a daemon, and false if the daemon does not return it.
func (c *cluster) fetchStatus(d *daemonProcess) (api.Status, bool) {
	s, err := c.operatorClient(d).Status(c.t.Context())
	return s, err == nil
}

// setVMState changes the state of a worker in the list of VMs only.
func (c *cluster) setVMState(worker string, state directory.State) {
	c.t.Helper()
	client := directory.NewHTTPClient(c.platformURL)
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
		if err := platformd.Register(c.t.Context(), c.platformURL, vm); err != nil {
			c.t.Fatal(err)
		}
		return
	}
	c.t.Fatalf("the list of VMs has no %s", worker)
}

// workerOfReplica returns the worker in a replica's name, after the last "@".
func workerOfReplica(replica string) string { return replica[strings.LastIndex(replica, "@")+1:] }
