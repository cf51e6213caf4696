package e2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"waxwingslip.example/external/fault"
)

var mixedSeed = flag.Uint64("mixed-seed", 1, "seed of the order of failures in TestMixedFailures")

// Invariants 2, 3, 5, 7 and 10 under a sequence of failures while batch jobs and requests run: daemons are killed and
// replaced or stopped for a while, the log is down, slow or loses responses, a zone is taken out of service and put
// back, and documents are published. Every job finishes and every request without a key is answered.
func TestMixedFailures(t *testing.T) {
	t.Logf("seed %d", *mixedSeed)
	rng := rand.New(rand.NewPCG(*mixedSeed, 1))
	c := startCluster(t, "east-a", "east-b")
	steps := []func(round int){
		func(int) { c.replaceDaemon(c.daemons[rng.IntN(len(c.daemons))]) },
		func(int) { c.pauseDaemon(c.daemons[rng.IntN(len(c.daemons))]) },
		func(int) { c.injectLogFault(fault.Setting{Down: true}) },
		func(int) { c.injectLogFault(fault.Setting{DelayMs: 300, ResponseDelayMs: 300}) },
		func(int) { c.setLogFault(fault.Setting{LoseResponses: 6, Operations: []string{"append"}}) },
		func(int) { c.setZoneService("out"); c.setZoneService("in") },
		func(round int) { c.publishCurrent(fmt.Sprintf("# round %d\n", round)) },
	}
	s := c.startStream(4, true)
	var jobs []string
	const tasks = 8
	for round, step := range rng.Perm(len(steps)) {
		jobs = append(jobs, fmt.Sprintf("mixed-%d", round))
		c.submitJob(jobs[round], tasks, time.Duration(1+rng.IntN(4))*time.Second)
		c.waitRunCount(jobs[round], 1)
		steps[step](round)
	}
	for _, d := range c.daemons {
		c.waitServing(d)
	}
	for _, j := range jobs {
		c.waitFinished(j, 40*time.Second)
	}
	c.checkResults(s.stop())
	c.checkNoOverlap()
}

// replaceDaemon kills a daemon and starts another one with its name. Callers continue to use the address of the old one
// and get no response there.
func (c *cluster) replaceDaemon(d *daemonProcess) {
	c.t.Helper()
	d.kill(c.t)
	c.removeDaemon(d)
	c.waitServing(c.startDaemon(d.name, d.zone))
}

// pauseDaemon stops a daemon until it has expired as a member, resumes it and waits until it serves.
func (c *cluster) pauseDaemon(d *daemonProcess) {
	c.t.Helper()
	d.signal(c.t, syscall.SIGSTOP)
	c.removeDaemon(d)
	c.waitMembers(c.firstDaemon(d.zone), daemonsPerZone-1)
	d.signal(c.t, syscall.SIGCONT)
	c.daemons = append(c.daemons, d)
	c.waitServing(d)
}

// injectLogFault sets a fault of the log for 5 s and checks that requests are answered.
func (c *cluster) injectLogFault(f fault.Setting) {
	c.t.Helper()
	c.setLogFault(f)
	holdsThroughout(c.t, 5*time.Second, "requests are answered",
		func() bool { return getOnce(c.daemons[0], "/disturbed").answered() })
	c.setLogFault(fault.Setting{})
}

// setZoneService takes zone east-b out of service or puts it back, by direction "out" or "in".
func (c *cluster) setZoneService(direction string) {
	c.t.Helper()
	if code, out := c.runCommand("zone", direction, "-timeout", "40s", "east-b"); code != 0 {
		c.t.Fatalf("zone %s: exit code %d\n%s", direction, code, out)
	}
}
