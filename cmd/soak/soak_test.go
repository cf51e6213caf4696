package soak

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	firstSeed     = flag.Uint64("seed", 1, "first seed of the soak")
	seedCount     = flag.Int("seeds", 1, "number of seeds")
	faultDuration = flag.Duration("span", 8*time.Second, "time of faults for each seed")
	keepLogs      = flag.String("logs", "", "directory for the daemons' logs of seeds that fail")
)

const (
	// longRunningPrefix is the first digit of the ids of jobs whose tasks run until they are cancelled.
	longRunningPrefix = "f"
	numDaemons        = 4
	numCallers        = 6
	// settleTimeout is the time that all accepted jobs may take to end after the last fault: leases expire, new owners
	// take over, and the queue is processed.
	settleTimeout = 30 * time.Second
)

// Guards against guarantees that fail when faults overlap: no task runs twice at the same time or after its end was
// acknowledged, no accepted job is lost, no refused job runs, and cancelled jobs end.
func TestSoak(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

// submission is the state of a job as its caller observed it.
type submission struct {
	id        string
	accepted  bool
	unknown   bool // an attempt had no definite result
	cancelled bool
}

func runSoak(t *testing.T, seed uint64) {
	c := startCluster(t, seed, numDaemons)
	t.Cleanup(func() {
		if t.Failed() && *keepLogs != "" {
			copyLogs(t, c.dir, filepath.Join(*keepLogs, fmt.Sprintf("seed-%d", seed)))
		}
	})
	waitReady(t, c)
	var stop atomic.Bool
	var running sync.WaitGroup
	results := make([][]*submission, numCallers)
	for i := range numCallers {
		running.Go(func() {
			for n := 0; !stop.Load(); n++ {
				results[i] = append(results[i], c.submitJob(seed, i, n))
			}
		})
	}
	for i := range 2 { // two concurrent series of faults
		running.Go(func() {
			for n := i; !stop.Load(); n++ {
				t.Log(c.injectFault(n))
			}
		})
	}
	time.Sleep(*faultDuration)
	stop.Store(true)
	running.Wait()
	c.clearFaults()
	checkResults(t, c, results)
}

func waitReady(t *testing.T, c *cluster) {
	status, text := 0, ""
	for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
		if status, text = c.callDaemon(0, "GET", "/q/", ""); status == 200 {
			return
		}
	}
	for _, d := range c.daemons {
		t.Logf("end of the log of %s:\n%s", d.name, c.logTail(d))
	}
	t.Fatalf("the daemons do not serve requests; the last answer was %d, %s", status, text)
}

// submitJob submits a job, with up to 5 attempts until one is accepted, and cancels it if it is a long-running one.
func (c *cluster) submitJob(seed uint64, caller, n int) *submission {
	prefix := "0"
	if n%7 == 3 {
		prefix = longRunningPrefix
	}
	sub := &submission{id: fmt.Sprintf("%s%03x%04x%08x", prefix, caller, seed&0xffff, n)}
	step := `{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":150}`
	if prefix == longRunningPrefix {
		step = `{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100,"long_running":true}`
	}
	body := fmt.Sprintf(`{"spec":"x","steps":[%s]}`, step)
	for attempt := 0; attempt < 5 && !sub.accepted; attempt++ {
		status, _ := c.callDaemon(caller+n+attempt, "POST", "/q/"+sub.id, body)
		switch status {
		case 200:
			sub.accepted = true
		case 429, 503:
			time.Sleep(50 * time.Millisecond)
		default:
			sub.unknown = true
		}
	}
	if sub.accepted && prefix == longRunningPrefix {
		for attempt := range 20 {
			status, _ := c.callDaemon(caller+attempt, "DELETE", "/q/"+sub.id, "")
			if sub.cancelled = status == 200 || status == 410; sub.cancelled {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(30 * time.Millisecond)
	return sub
}

// checkResults waits until every accepted job has ended and compares what callers and workers observed.
func checkResults(t *testing.T, c *cluster, results [][]*submission) {
	accepted, deadline := 0, time.Now().Add(settleTimeout)
	for _, subs := range results {
		for _, sub := range subs {
			if !sub.accepted {
				if !sub.unknown && c.fleet.Starts(sub.id+".0.0.0") > 0 {
					t.Errorf("job %s was refused but runs", sub.id)
				}
				continue
			}
			accepted++
			want := "completed"
			if strings.HasPrefix(sub.id, longRunningPrefix) {
				if !sub.cancelled {
					continue
				}
				want = "cancelled"
			}
			if state := c.waitState(sub.id, want, deadline); !strings.Contains(state, want) {
				t.Errorf("job %s is %s, not %s", sub.id, state, want)
			}
		}
	}
	for _, subs := range results {
		for _, sub := range subs {
			if sub.cancelled && c.fleet.Running(sub.id+".0.0.0") > 0 {
				t.Errorf("job %s was cancelled but runs", sub.id)
			}
		}
	}
	for _, v := range c.fleet.Violations() {
		t.Error(v)
	}
	t.Logf("%d jobs accepted", accepted)
	if accepted == 0 {
		t.Error("no job was accepted")
	}
}

func (c *cluster) waitState(id, want string, deadline time.Time) string {
	for n := 0; ; n++ {
		status, body := c.callDaemon(n, "GET", "/q/"+id, "")
		if status == 200 && strings.Contains(body, want) || time.Now().After(deadline) {
			return fmt.Sprintf("%d %s", status, strings.TrimSpace(body))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func copyLogs(t *testing.T, from, to string) {
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Log(err)
	}
}
