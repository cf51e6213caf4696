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

// Invariants 2, 3, 4 and 7 under SIGSTOP of a daemon beyond its expiry, while it owns workers and has starts under way:
// its shards move, and when it wakes up it neither starts a task late nor doubles one. It joins again.
func TestDaemonFrozen(t *testing.T) {
	is := is.New(t)
	const tasks = 20
	c := startCluster(t, "east-a")
	victim, other := c.daemons[0], c.daemons[1]
	for round := range 2 {
		job := fmt.Sprintf("frozen-%d", round)
		c.submit(job, tasks, 4*time.Second)
		c.waitRuns(job, 1+round*tasks/2)
		victim.signal(t, syscall.SIGSTOP)
		c.forget(victim)
		during := startCallersDuring(c)
		c.waitSole(other)
		victim.signal(t, syscall.SIGCONT)
		during()
		c.waitFinished(job, 40*time.Second)
		c.checkOnce(job, tasks)
		c.waitMembers(other, 2)
		c.waitServing(victim)
		c.daemons = append(c.daemons, victim)
	}
	is.True(getOnce(victim, "/after").answered())
	c.checkNoOverlap()
}

// startCallersDuring sends requests through the daemons that are left until the returned function is called, which
// checks their results. Every second caller sends non-idempotent requests with keys.
func startCallersDuring(c *cluster) (stop func()) {
	s := c.startStream(4, true)
	return func() {
		c.t.Helper()
		results := s.stop()
		if unknown := c.checkResults(results); unknown > 2 {
			c.t.Errorf("%d keyed requests ended as unknown, but at most 2 were in flight at the stopped daemon", unknown)
		}
	}
}

// Invariant 9 under SIGTERM: a daemon that shuts down answers every request in flight, exits with 0 and hands its
// workers over without a second run of their tasks.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	const slow, tasks = 24, 12
	c := startCluster(t, "east-a")
	c.submit("handed-over", tasks, 8*time.Second)
	c.waitRuns("handed-over", tasks)
	victim := c.daemons[0]
	replies := make([]reply, slow)
	var callers sync.WaitGroup
	for i := range slow {
		callers.Go(func() {
			method, key := http.MethodGet, ""
			if i%2 == 0 {
				method, key = http.MethodPost, uuid.Must(uuid.NewV7()).String()
			}
			replies[i] = attempt(victim, method, fmt.Sprintf("/slow/%d?delay=4s", i), key, "")
		})
	}
	eventually(t, 10*time.Second, "slow requests at their endpoints", func() bool { return c.executionsBelow("/slow/") == slow })
	victim.signal(t, syscall.SIGTERM)
	c.forget(victim)
	callers.Wait()
	for i, r := range replies {
		if !r.answered() {
			t.Errorf("request %d was cut off: %d %s %s", i, r.status, r.outcome, r.text)
		}
	}
	is.Equal(victim.waitExit(t, 40*time.Second), 0)
	c.waitSole(c.daemons[0])
	c.waitFinished("handed-over", 40*time.Second)
	c.checkOnce("handed-over", tasks)
	c.checkNoOverlap()
}

// executionsBelow counts the executed requests whose path contains a text.
func (c *cluster) executionsBelow(part string) (n int) {
	for _, e := range c.journal() {
		if strings.Contains(e.Path, part) {
			n++
		}
	}
	return n
}

// Invariants 7 and 9 under SIGTERM of a daemon that serves requests for daemons of another zone: the requests that were
// forwarded to it are answered, each after one execution.
func TestGracefulStopWithForwarded(t *testing.T) {
	is := is.New(t)
	const slow = 16
	c := startCluster(t, "east-a", "west-a")
	entry, victim := c.first("east-a"), c.first("west-a")
	c.waitServingLocally(victim)
	replies, keys := make([]reply, slow), make([]string, slow)
	var callers sync.WaitGroup
	for i := range slow {
		keys[i] = uuid.Must(uuid.NewV7()).String()
		callers.Go(func() {
			replies[i] = attempt(entry, http.MethodPost, "/forwarded/"+keys[i]+"?delay=4s", "west-a/"+keys[i], "")
		})
	}
	eventually(t, 10*time.Second, "slow requests at their endpoints", func() bool { return c.executionsBelow("/forwarded/") == slow })
	victim.signal(t, syscall.SIGTERM)
	c.forget(victim)
	callers.Wait()
	served := 0
	for i, r := range replies {
		if !r.answered() {
			t.Errorf("request %d was cut off: %d %s %s", i, r.status, r.outcome, r.text)
		}
		is.Equal(c.executions(keys[i]), 1)
		if strings.Contains(r.echo.Replica, "@west-a") {
			served++
		}
	}
	is.Equal(served, slow)
	is.Equal(victim.waitExit(t, 40*time.Second), 0)
}
