// Command review-standin-3 plays the cases of the third review: it serves the platform's store and workers on loopback
// addresses, starts the project's daemons as processes, acts as the clients, and judges what these have seen.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"waxwingslip.example/external/keyedlog"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays a case and reports whether the rule held.
type caseFunc func(e *environment, trouble bool) (held bool, err error)

var cases = map[string]caseFunc{"many-images": manyImages, "lasting-beside-short": lastingBesideShort,
	"gang-failures": gangFailures}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-standin-3 CASE DAEMON RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func play(name, daemon, record string, trouble bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.printf("case %s, trouble %v", name, trouble)
	e, err := newEnvironment(daemon, rec)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return exitNotRun
	}
	defer e.close()
	held, err := run(e, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		return exitNotRun
	case !held:
		rec.printf("RULE BROKEN")
		return exitBroken
	}
	rec.printf("rule held")
	return exitHeld
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	starts map[string]int // runs started, by task
	done   map[string]int // runs ended as done, by task
	active map[string]int
	// printRuns limits the lines on runs; the counts go on.
	printRuns int
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{start: time.Now(), file: f, starts: map[string]int{}, done: map[string]int{}, active: map[string]int{},
		printRuns: 400}, err
}

func (r *recorder) close() { _ = r.file.Close() }

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line writes a line. The caller holds mu.
func (r *recorder) line(format string, args ...any) {
	text := fmt.Sprintf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(text)
	_, _ = os.Stdout.WriteString(text)
}

func (r *recorder) runStarted(task string, run int64, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	r.active[task]++
	if r.printRuns > 0 {
		r.printRuns--
		r.line("worker %s starts %s run %d", worker, task, run)
	}
}

func (r *recorder) runEnded(task string, run int64, worker, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[task]--
	if how == "done" {
		r.done[task]++
	}
	if r.printRuns > 0 {
		r.printRuns--
		r.line("worker %s ends %s run %d: %s", worker, task, run, how)
	}
}

// counts returns how many runs of a submission were started, were done, and are active.
func (r *recorder) counts(id string) (starts, done, active int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, n := range r.starts {
		if len(task) > len(id) && task[:len(id)] == id {
			starts, done, active = starts+n, done+r.done[task], active+r.active[task]
		}
	}
	return starts, done, active
}

// environment is a small deployment on loopback.
type environment struct {
	rec     *recorder
	store   *storeServer
	http    *http.Server
	address string // of the store
	dir     string
	daemon  string
	daemons []*process
	workers []*worker
	stop    context.CancelFunc
	ctx     context.Context
}

// process is a daemon.
type process struct {
	name     string
	callers  string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

func newEnvironment(daemon string, rec *recorder) (*environment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &environment{rec: rec, store: newStoreServer(rec), address: l.Addr().String(), dir: dir, daemon: daemon, ctx: ctx, stop: stop}
	e.http = &http.Server{Handler: e.store}
	go func() { _ = e.http.Serve(l) }() // ends with the case
	return e, nil
}

// close ends the processes that the case started.
func (e *environment) close() {
	e.stop()
	for _, d := range e.daemons {
		_ = d.cmd.Process.Kill()
		<-d.done
	}
	for _, w := range e.workers {
		_ = w.server.Close()
	}
	_ = e.http.Close()
	_ = os.RemoveAll(e.dir)
}

func (e *environment) put(topic, key string, value []byte) error {
	_, err := e.store.fake.As("platform").Append(e.ctx, keyedlog.Append{Partition: keyedlog.Partition{Topic: topic},
		Records: []keyedlog.Record{{Key: key, Value: value}}})
	return err
}

// addWorker starts a worker that registers itself.
func (e *environment) addWorker(id, zone string, n int, checkpointOf func(string, int64) string) error {
	w, err := newWorker(id, zone, fmt.Sprintf("m-%04x", n), fmt.Sprintf("r%d-1", n/8+1), e.rec, checkpointOf)
	if err != nil {
		return err
	}
	e.workers = append(e.workers, w)
	const heartbeat = 1500 * time.Millisecond
	if err := e.put("keyed.servers", id, w.entry()); err != nil {
		return err
	}
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				_ = e.put("keyed.servers", id, w.entry())
			case <-e.ctx.Done():
				return
			}
		}
	}()
	return nil
}

// Manifest with one queue.
const (
	host   = "nony24.example"
	prefix = "/lohu930/"
)

func (e *environment) publishManifest(version int) error {
	return e.put("keyed.op", "config", []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":%q,"path_prefix":%q,
"kind":"non_idempotent","timeout_ms":3000,"target_duration_ms":500,"priority":0,"service":"svc","max_attempts":3,"stretch":1.5,
"allowed_regions":[]}],"services":[{"name":"svc","admission_check":true,"standby":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, host, prefix)))
}

// Ports of the daemons. They lie below those that the system gives to outgoing connections, which could take a port between
// the look at it and the start of the daemon.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// freePorts returns n addresses on which nothing listens.
func freePorts(n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for try := 0; len(out) < n; try++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			if try > 20*n {
				return nil, err
			}
			continue
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// startDaemon starts a daemon with settings as the template of the deploy file renders them.
func (e *environment) startDaemon(name, zone string) error {
	ports, err := freePorts(4)
	if err != nil {
		return err
	}
	settings := fmt.Sprintf(`name: %q
zone: %q
regions:
  luzon-a: "luzon"
  visayas-a: "visayas"
  luzon-b: "luzon"
listen:
  callers: %q
  readiness: %q
  peers: %q
  metrics: %q
store:
  address: %q
  partitions: 8
advice: ""
vm:
  cores: 0.16
  memoryMB: 284
bounds:
  holdMaxMs: %d
  statusSeconds: 120
  graceSeconds: 6
  harmMs: 4000
log:
  level: info
`, name, zone, ports[0], ports[1], ports[2], ports[3], e.address, holdMaxMs)
	path := filepath.Join(e.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	p := &process{name: name, callers: ports[0], settings: path}
	if err := e.run(p); err != nil {
		return err
	}
	e.daemons = append(e.daemons, p)
	return nil
}

// run starts the process of a daemon.
func (e *environment) run(p *process) error {
	log, err := os.OpenFile(filepath.Join(e.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(e.daemon, "-hosted")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.dir, "WAXWINGSLIP_BOOT=" + p.settings,
		"QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // killed by the case
		_ = log.Close()
		close(done)
	}()
	return nil
}

// start starts workers and daemons and waits until all daemons take submissions.
func (e *environment) start(workers int, workerID func(int) string, checkpointOf func(string, int64) string) error {
	zones := []string{"luzon-a", "visayas-a", "luzon-b"}
	for n := range workers {
		if err := e.addWorker(workerID(n), zones[n%len(zones)], n, checkpointOf); err != nil {
			return err
		}
	}
	if err := e.publishManifest(1); err != nil {
		return err
	}
	for n, zone := range zones {
		if err := e.startDaemon(fmt.Sprintf("front-%s-%d", zone, n+1), zone); err != nil {
			return err
		}
	}
	limit := time.Now().Add(25 * time.Second)
	for _, d := range e.daemons {
		for {
			status, _ := e.call(d, http.MethodGet, "", nil)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(limit) {
				return fmt.Errorf("%s does not take requests, newest status %d", d.name, status)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	e.rec.printf("%d workers and %d daemons are ready", len(e.workers), len(e.daemons))
	return nil
}

var client = &http.Client{Timeout: 3 * time.Second}

// call sends a client's request to a daemon. The status is 0 without a response.
func (e *environment) call(d *process, method, path string, body []byte) (int, string) {
	req, err := http.NewRequestWithContext(e.ctx, method, "http://"+d.callers+prefix+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(bytes.TrimSpace(data))
}

// submit hands a submission in, at one daemon after the other until one accepts it.
func (e *environment) submit(id string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	for try := range 6 {
		d := e.daemons[try%len(e.daemons)]
		status, text := e.call(d, http.MethodPost, id, data)
		e.rec.printf("client posts %s (%d bytes) to %s: %d %s", id, len(data), d.name, status, text)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("submission %s was not accepted", id)
}

// state asks for the state of a submission.
func (e *environment) state(id string) string {
	for try := range 4 {
		d := e.daemons[try%len(e.daemons)]
		status, text := e.call(d, http.MethodGet, id, nil)
		if status == http.StatusOK {
			var v struct{ State string }
			if json.Unmarshal([]byte(text), &v) == nil {
				e.rec.printf("client asks %s for %s: %s", d.name, id, v.State)
				return v.State
			}
		}
		e.rec.printf("client asks %s for %s: %d %s", d.name, id, status, text)
		time.Sleep(300 * time.Millisecond)
	}
	return "no answer"
}

func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }
