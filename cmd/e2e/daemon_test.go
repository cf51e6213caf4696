package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
)

// Invariants 2, 3, 4 and 7 under SIGSTOP of a daemon beyond its expiry, while it owns workers and has starts in flight:
// its shards move, and after SIGCONT it neither starts a task late nor starts one twice, and joins again.
func TestDaemonFrozen(t *testing.T) {
	is := is.New(t)
	const tasks = 20
	c := startCluster(t, "east-a")
	victim, other := c.daemons[0], c.daemons[1]
	for round := range 2 {
		job := fmt.Sprintf("frozen-%d", round)
		c.submitJob(job, tasks, 4*time.Second)
		c.waitRunCount(job, 1+round*tasks/2)
		victim.signal(t, syscall.SIGSTOP)
		c.removeDaemon(victim)
		stopCallers := startKeyedCallers(c)
		c.waitOnlyMember(other)
		victim.signal(t, syscall.SIGCONT)
		stopCallers()
		c.waitFinished(job, 40*time.Second)
		c.checkRunOnce(job, tasks)
		c.waitMembers(other, 2)
		c.waitServing(victim)
		c.daemons = append(c.daemons, victim)
	}
	is.True(getOnce(victim, "/after").answered())
	c.checkNoOverlap()
}

// startKeyedCallers sends requests through the remaining daemons until the returned function is called, which checks
// their results. Every second caller sends non-idempotent requests with keys.
func startKeyedCallers(c *cluster) (stop func()) {
	s := c.startStream(4, true)
	return func() {
		c.t.Helper()
		results := s.stop()
		if unknown := c.checkResults(results); unknown > 2 {
			c.t.Errorf("%d keyed requests ended as unknown, but at most 2 were in flight at the stopped daemon", unknown)
		}
	}
}

// Invariant 9 under SIGTERM: a daemon that shuts down answers every request in flight, exits with 0 and hands over its
// workers without a second run of their tasks.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	const slowRequests, tasks = 24, 12
	c := startCluster(t, "east-a")
	c.submitJob("handed-over", tasks, 8*time.Second)
	c.waitRunCount("handed-over", tasks)
	victim := c.daemons[0]
	replies := make([]reply, slowRequests)
	var callers sync.WaitGroup
	for i := range slowRequests {
		callers.Go(func() {
			method, key := http.MethodGet, ""
			if i%2 == 0 {
				method, key = http.MethodPost, uuid.Must(uuid.NewV7()).String()
			}
			replies[i] = sendRequest(victim, method, fmt.Sprintf("/slow/%d?delay=4s", i), key, "")
		})
	}
	eventually(t, 10*time.Second, "slow requests at their endpoints",
		func() bool { return c.countExecutions("/slow/") == slowRequests })
	victim.signal(t, syscall.SIGTERM)
	c.removeDaemon(victim)
	callers.Wait()
	for i, r := range replies {
		if !r.answered() {
			t.Errorf("request %d was cut off: %d %s %s", i, r.status, r.outcome, r.text)
		}
	}
	is.Equal(victim.waitExit(t, 40*time.Second), 0)
	c.waitOnlyMember(c.daemons[0])
	c.waitFinished("handed-over", 40*time.Second)
	c.checkRunOnce("handed-over", tasks)
	c.checkNoOverlap()
}

// countExecutions counts the executed requests whose path contains part.
func (c *cluster) countExecutions(part string) (n int) {
	for _, e := range c.requestExecutions() {
		if strings.Contains(e.Path, part) {
			n++
		}
	}
	return n
}

// Invariants 7 and 9 under SIGTERM of a daemon that serves requests for daemons of another zone: the requests that were
// forwarded to it are answered, and each is executed once.
func TestGracefulStopWithForwarded(t *testing.T) {
	is := is.New(t)
	const slowRequests = 16
	c := startCluster(t, "east-a", "west-a")
	origin, victim := c.firstDaemon("east-a"), c.firstDaemon("west-a")
	c.waitServingLocally(victim)
	replies, keys := make([]reply, slowRequests), make([]string, slowRequests)
	var callers sync.WaitGroup
	for i := range slowRequests {
		keys[i] = uuid.Must(uuid.NewV7()).String()
		callers.Go(func() {
			replies[i] = sendRequest(origin, http.MethodPost, "/forwarded/"+keys[i]+"?delay=4s", "west-a/"+keys[i], "")
		})
	}
	eventually(t, 10*time.Second, "slow requests at their endpoints",
		func() bool { return c.countExecutions("/forwarded/") == slowRequests })
	victim.signal(t, syscall.SIGTERM)
	c.removeDaemon(victim)
	callers.Wait()
	served := 0
	for i, r := range replies {
		if !r.answered() {
			t.Errorf("request %d was cut off: %d %s %s", i, r.status, r.outcome, r.text)
		}
		is.Equal(c.executionCount(keys[i]), 1)
		if strings.Contains(r.echo.Replica, "@west-a") {
			served++
		}
	}
	is.Equal(served, slowRequests)
	is.Equal(victim.waitExit(t, 40*time.Second), 0)
}
