// Command review-stand plays the cases of the review: it starts the daemon's program as separate processes beside
// stand-ins of the platform's store, the workers and the clients, on loopback addresses and the real clock.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	storefake "waxwingslip.example/external/keyedlog/fake"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// testCase is one case with everything that it started.
type testCase struct {
	rec     *recorder
	store   *storefake.Store
	fleet   *fleet
	daemons []*daemon
	dir     string
	// trouble is whether the disruption is played.
	trouble bool
	stop    chan struct{}
}

// errNotRun says why a case could not run.
type errNotRun string

func main() {
	cases := map[string]func(*testCase) bool{
		"twice": twice, "silent-start": silentStart, "lost-kind": lostKind, "new-kind": newKind, "waiting": waiting,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case and returns the exit code.
func play(run func(*testCase) bool, record string) (code int) {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c := &testCase{rec: rec, store: storefake.New(), dir: dir, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	c.fleet = newFleet(rec, c.store)
	c.endEarly()
	defer func() {
		c.endDaemons()
		if e := recover(); e != nil {
			c.logTails(5)
			rec.say("the case could not run: %v", e)
			code = exitNotRun
		}
		close(c.stop)
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs are in", dir)
		}
	}()
	rec.say("disruption: %v", c.trouble)
	go c.fleet.play(c.stop)
	c.publish()
	if run(c) {
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// maxDuration is how long a case may take.
const maxDuration = 115 * time.Second

// endEarly ends everything when the case is interrupted or takes too long.
func (c *testCase) endEarly() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-c.stop:
			return
		case <-interrupted:
		case <-time.After(maxDuration):
		}
		c.rec.say("the case was ended early")
		c.endDaemons()
		_ = os.RemoveAll(c.dir)
		os.Exit(exitNotRun)
	}()
}

// endDaemons kills the daemons that run.
func (c *testCase) endDaemons() {
	for _, d := range c.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Kill()
			<-d.ended
		}
	}
}

// publish writes the manifest.
func (c *testCase) publish() {
	manifest, err := json.Marshal(map[string]any{"version": 7,
		"routes": []map[string]any{{"name": "r-3hwrr6x", "host": queueHost, "path_prefix": queuePrefix, "kind": "non_idempotent",
			"timeout_ms": 3000, "target_duration_ms": 1000, "priority": 0, "service": serviceName, "max_attempts": 3, "stretch": 2.0,
			"allowed_regions": []string{}}},
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1",
			"tls": false, "cold_s": 0.0, "cold_per_s": 0.0, "admission_check": true, "standby": false}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	if err != nil {
		panic(err)
	}
	put(c.store, opPartition, "config", manifest)
}

// addDaemons prepares daemons, one in each zone in turn.
func (c *testCase) addDaemons(n int) {
	for i := range n {
		zone := [...]string{"luzon-a", "luzon-b", "visayas-a"}[i%3]
		d, err := newDaemon(c, fmt.Sprintf("front-%s-%d", zone, 1+i/3), zone)
		if err != nil {
			panic(err)
		}
		c.daemons = append(c.daemons, d)
	}
}

// startAll starts the daemons and waits until all are ready.
func (c *testCase) startAll() {
	for _, d := range c.daemons {
		if err := d.start(); err != nil {
			panic(err)
		}
	}
	c.await("all daemons are ready", 25*time.Second, func() bool {
		for _, d := range c.daemons {
			if !d.ready() {
				return false
			}
		}
		return true
	})
}

// await waits for a condition without which the case cannot go on.
func (c *testCase) await(what string, limit time.Duration, cond func() bool) {
	if !c.within(what, limit, cond) {
		panic(errNotRun("not within " + limit.String() + ": " + what))
	}
}

// within waits for a condition and reports whether it came.
func (c *testCase) within(what string, limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			c.rec.say("%s", what)
			return true
		}
	}
	return false
}

// killAll kills the processes of all daemons.
func (c *testCase) killAll() {
	for _, d := range c.daemons {
		_ = d.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, d := range c.daemons {
		<-d.ended
		d.rec.add(d.name, "was killed")
	}
}

// logTails copies the last lines of the daemons' logs to the record.
func (c *testCase) logTails(n int) {
	for _, d := range c.daemons {
		for _, line := range d.tail(n) {
			c.rec.add(d.name, "log: %s", line)
		}
	}
}
