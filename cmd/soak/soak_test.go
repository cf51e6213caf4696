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
	firstSeed = flag.Uint64("seed", 1, "first seed of the soak")
	seeds     = flag.Int("seeds", 1, "number of seeds")
	span      = flag.Duration("span", 8*time.Second, "time of faults for each seed")
	keepLogs  = flag.String("logs", "", "directory for the daemons' logs of seeds that fail")
)

const (
	// lastingPrefix begins the ids of jobs whose tasks run until they are cancelled.
	lastingPrefix = "f"
	daemons       = 4
	callers       = 6
	// settleTime is how long all accepted jobs may take after the last fault: leases lapse, an owner is found, and the
	// queue is worked off.
	settleTime = 30 * time.Second
)

// Guards against promises that break when faults overlap: no task runs twice at once or after its end was
// acknowledged, no accepted job is lost, no refused one runs, cancelled ones end.
func TestSoak(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

// submission is what a caller knows of a job.
type submission struct {
	id        string
	accepted  bool
	open      bool // an attempt had no answer that says what came of it
	cancelled bool
}

func soak(t *testing.T, seed uint64) {
	c := startCluster(t, seed, daemons)
	t.Cleanup(func() {
		if t.Failed() && *keepLogs != "" {
			saveLogs(t, c.dir, filepath.Join(*keepLogs, fmt.Sprintf("seed-%d", seed)))
		}
	})
	awaitReady(t, c)
	var stop atomic.Bool
	var work sync.WaitGroup
	results := make([][]*submission, callers)
	for k := range callers {
		work.Go(func() {
			for n := 0; !stop.Load(); n++ {
				results[k] = append(results[k], c.submit(seed, k, n))
			}
		})
	}
	for k := range 2 { // two series of faults overlap
		work.Go(func() {
			for n := k; !stop.Load(); n++ {
				t.Log(c.fault(n))
			}
		})
	}
	time.Sleep(*span)
	stop.Store(true)
	work.Wait()
	c.heal()
	check(t, c, results)
}

func awaitReady(t *testing.T, c *cluster) {
	for begun := time.Now(); time.Since(begun) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
		if status, _ := c.call(0, "GET", "/q/", ""); status == 200 {
			return
		}
	}
	t.Fatal("the daemons do not serve")
}

// submit hands a job in until an attempt is answered, and cancels some.
func (c *cluster) submit(seed uint64, caller, n int) *submission {
	digit := "0"
	if n%7 == 3 {
		digit = lastingPrefix
	}
	s := &submission{id: fmt.Sprintf("%s%03x%04x%08x", digit, caller, seed&0xffff, n)}
	step := `{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":150}`
	if digit == lastingPrefix {
		step = `{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100,"long_running":true}`
	}
	body := fmt.Sprintf(`{"spec":"x","steps":[%s]}`, step)
	for attempt := 0; attempt < 5 && !s.accepted; attempt++ {
		status, _ := c.call(caller+n+attempt, "POST", "/q/"+s.id, body)
		switch status {
		case 200:
			s.accepted = true
		case 429, 503:
			time.Sleep(50 * time.Millisecond)
		default:
			s.open = true
		}
	}
	if s.accepted && digit == lastingPrefix {
		for attempt := range 20 {
			status, _ := c.call(caller+attempt, "DELETE", "/q/"+s.id, "")
			if s.cancelled = status == 200 || status == 410; s.cancelled {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(30 * time.Millisecond)
	return s
}

// check waits until every job has ended and compares what callers and workers saw.
func check(t *testing.T, c *cluster, results [][]*submission) {
	accepted, ended := 0, time.Now().Add(settleTime)
	for _, list := range results {
		for _, s := range list {
			if !s.accepted {
				if !s.open && c.fleet.Starts(s.id+".0.0.0") > 0 {
					t.Errorf("job %s was refused and runs", s.id)
				}
				continue
			}
			accepted++
			want := "completed"
			if strings.HasPrefix(s.id, lastingPrefix) {
				if !s.cancelled {
					continue
				}
				want = "cancelled"
			}
			if state := c.awaitState(s.id, want, ended); !strings.Contains(state, want) {
				t.Errorf("job %s is %s, not %s", s.id, state, want)
			}
		}
	}
	for _, list := range results {
		for _, s := range list {
			if s.cancelled && c.fleet.Running(s.id+".0.0.0") > 0 {
				t.Errorf("job %s was cancelled and runs", s.id)
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

func (c *cluster) awaitState(id, want string, ended time.Time) string {
	for n := 0; ; n++ {
		status, body := c.call(n, "GET", "/q/"+id, "")
		if status == 200 && strings.Contains(body, want) || time.Now().After(ended) {
			return fmt.Sprintf("%d %s", status, strings.TrimSpace(body))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func saveLogs(t *testing.T, from, to string) {
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Log(err)
	}
}
