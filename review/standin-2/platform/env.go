package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "huvo11a"
	hostName    = "nony24.example"
	prefix      = "/lohu930/"
)

// env is a deployment on loopback addresses: the store, workers, daemons as processes, and clients.
type env struct {
	begunAt time.Time
	dir     string
	store   *store
	workers []*worker
	daemons []*daemon

	mu         sync.Mutex
	out        *bufio.Writer
	behaviours map[string]behaviour // by ID.STEP
	startCount map[string]int       // by ID
	active     map[string]int
	trouble    bool
}

// limits are the figures of a machine.
type limits struct {
	cores    float64
	memoryMB int
	linkMbps float64 // 0 for no limit
	mayCut   bool    // the link to the store can be cut
}

type daemon struct {
	e                      *env
	name, zone             string
	callers, peers, ready  string
	settings, metrics, log string
	storeAddress           string
	link                   *cutLink
	process                *exec.Cmd
	exited                 chan struct{}
}

func newEnv(recordPath string) *env {
	f, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	e := &env{begunAt: time.Now(), dir: dir, store: newStore(), out: bufio.NewWriterSize(f, 1<<16), behaviours: map[string]behaviour{},
		startCount: map[string]int{}, active: map[string]int{},
		trouble: os.Getenv("TROUBLE") != "0"}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.cannotRun("store: %v", err)
	}
	e.store.address = l.Addr().String()
	go func() { _ = http.Serve(l, e.store.handler()) }()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		e.cannotRun("ended by a signal")
	}()
	return e
}

// log writes a line to the record.
func (e *env) log(line string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.out, "%9.3f  %s\n", time.Since(e.begunAt).Seconds(), line)
}

// note writes a line to the record and to standard output.
func (e *env) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	e.log(line)
	fmt.Printf("%9.3f  %s\n", time.Since(e.begunAt).Seconds(), line)
}

// exit ends all processes and the program.
func (e *env) exit(code int) {
	for _, d := range e.daemons {
		d.kill()
	}
	e.note("exit %d", code)
	e.mu.Lock()
	_ = e.out.Flush()
	e.mu.Unlock()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(e.dir)
	} else {
		fmt.Println("logs in", e.dir)
	}
	os.Exit(code)
}

func (e *env) cannotRun(format string, args ...any) {
	e.note("cannot run: "+format, args...)
	e.exit(2)
}

// publish writes a manifest with one queue.
func (e *env) publish(route map[string]any) {
	r := map[string]any{"name": "r-3hwrr6x", "host": hostName, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
		"target_duration_ms": 1000, "priority": 0, "service": serviceName, "max_attempts": 3, "stretch": 2.0, "allowed_regions": []string{}}
	for k, v := range route {
		r[k] = v
	}
	data, _ := json.Marshal(map[string]any{"version": 7, "routes": []any{r},
		"services": []any{map[string]any{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"cold_s": 0.0, "cold_per_s": 0.0, "admission_check": true, "standby": false}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	e.store.put("keyed.op", "config", data)
}

// takenPorts holds the ports that were given out.
var takenPorts = map[int]bool{}

// freePort returns a port that is free and was not given out before, 0 if there is none.
func freePort(network string) int {
	for range 100 {
		if p := anyPort(network); p != 0 && !takenPorts[p] {
			takenPorts[p] = true
			return p
		}
	}
	return 0
}

func anyPort(network string) int {
	if network == "udp" {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return 0
		}
		defer func() { _ = c.Close() }()
		return c.LocalAddr().(*net.UDPAddr).Port
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// settingsText has the fields of deploy/settings.yaml.template.
const settingsText = `name: %q
zone: %q
regions:
  luzon-a: "luzon"
  luzon-b: "luzon"
  visayas-a: "visayas"
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
  cores: %v
  memoryMB: %d
bounds:
  holdMaxMs: 6000
  statusSeconds: 120
  graceSeconds: 6
  harmMs: 4000
log:
  level: info
`

// addDaemon starts a daemon. It reaches the store through a link of the given bandwidth.
func (e *env) addDaemon(name, zone string, m limits) *daemon {
	local := func(network string) string { return fmt.Sprintf("127.0.0.1:%d", freePort(network)) }
	d := &daemon{e: e, name: name, zone: zone, callers: local("tcp"), ready: local("tcp"), peers: local("udp"), metrics: local("tcp"),
		storeAddress: e.store.address}
	if m.linkMbps > 0 {
		d.storeAddress = e.link(e.store.address, m.linkMbps)
	}
	if m.mayCut {
		d.link = e.cutLink(e.store.address)
		d.storeAddress = d.link.address
	}
	d.settings, d.log = filepath.Join(e.dir, name+".yaml"), filepath.Join(e.dir, name+".log")
	text := fmt.Sprintf(settingsText, name, zone, d.callers, d.ready, d.peers, d.metrics, d.storeAddress, m.cores, m.memoryMB)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		e.cannotRun("settings: %v", err)
	}
	e.daemons = append(e.daemons, d)
	d.start()
	return d
}

// start starts the daemon's process with the command of the deploy file.
func (d *daemon) start() {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.e.cannotRun("log: %v", err)
	}
	c := exec.Command("target/waxwingslipd", "-hosted")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAXWINGSLIP_BOOT=" + d.settings,
		"QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		d.e.cannotRun("daemon: %v", err)
	}
	exited := make(chan struct{})
	d.process, d.exited = c, exited
	d.e.log("daemon " + d.name + " starts")
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}()
}

func (d *daemon) kill() {
	if d.process != nil {
		_ = d.process.Process.Kill()
		<-d.exited
	}
}

// isReady asks as the platform does.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready, and on until 10 s have passed since the start.
func (e *env) awaitReady() {
	deadline := time.Now().Add(25 * time.Second)
	for _, d := range e.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				e.cannotRun("daemon %s is not ready", d.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	if left := 10*time.Second - time.Since(e.begunAt); left > 0 {
		time.Sleep(left)
	}
	e.note("all daemons are ready, traffic starts")
}

// step is a step of a submission, with what its tasks do.
type step struct {
	body map[string]any
	what behaviour
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// send sends a client's request to a daemon; status 0 stands for no answer.
func (e *env) send(d *daemon, method, id string, body []byte, timeout time.Duration) (int, string) {
	req, err := http.NewRequest(method, "http://"+d.callers+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	c := *client
	c.Timeout = timeout
	resp, err := c.Do(req)
	if err != nil {
		e.log(fmt.Sprintf("client %s %s to %s: no answer", method, id, d.name))
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		e.log(fmt.Sprintf("client %s %s to %s: answer cut off", method, id, d.name))
		return 0, err.Error()
	}
	text := strings.TrimSpace(string(data))
	e.log(fmt.Sprintf("client %s %s to %s: %d %s", method, id, d.name, resp.StatusCode, text))
	return resp.StatusCode, text
}

// define sets what the tasks of a submission do and returns the body of its request.
func (e *env) define(id, spec string, steps ...step) []byte {
	body := map[string]any{"spec": spec}
	var list []any
	e.mu.Lock()
	for i, s := range steps {
		e.behaviours[fmt.Sprintf("%s.%d", id, i)] = s.what
		list = append(list, s.body)
	}
	e.mu.Unlock()
	described, _ := json.Marshal(list)
	e.log(fmt.Sprintf("submission %s: spec of %d bytes, steps %s", id, len(spec), described))
	body["steps"] = list
	data, _ := json.Marshal(body)
	return data
}

// submit hands a submission in as clients do, with up to 4 repeats at the other daemons, and reports whether it was accepted.
func (e *env) submit(id string, body []byte) bool {
	for i := range 5 {
		status, _ := e.send(e.daemons[i%len(e.daemons)], http.MethodPost, id, body, 3*time.Second)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks all daemons for a submission's state, until one answers.
func (e *env) state(id string) (int, string) {
	status, text := 0, ""
	for _, d := range e.daemons {
		if status, text = e.send(d, http.MethodGet, id, nil, 3*time.Second); status == http.StatusOK || status == http.StatusGone {
			var v struct{ State string }
			_ = json.Unmarshal([]byte(text), &v)
			return status, v.State
		}
	}
	return status, text
}

// runsOf returns how many runs of a submission began.
func (e *env) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startCount[id]
}

// activeOf returns how many tasks of a submission run.
func (e *env) activeOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for task, a := range e.active {
		if strings.HasPrefix(task, id+".") && a > 0 {
			n++
		}
	}
	return n
}

// inUse returns the processor time in use and that of all workers, in thousandths of a core.
func (e *env) inUse() (used, total int) {
	for _, w := range e.workers {
		w.mu.Lock()
		total += w.cpu
		for _, r := range w.runs {
			used += r.what.cpu
		}
		w.mu.Unlock()
	}
	return used, total
}

// link returns the address of a proxy to an address. All connections share its bandwidth in each direction.
func (e *env) link(to string, mbps float64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.cannotRun("link: %v", err)
	}
	up, down := &shaper{rate: mbps * 125000}, &shaper{rate: mbps * 125000}
	go func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", to)
			if err != nil {
				_ = a.Close()
				continue
			}
			go up.pipe(b, a)
			go down.pipe(a, b)
		}
	}()
	return l.Addr().String()
}

// cutLink is a proxy that can hold back all bytes, in both directions, and pass them on later.
type cutLink struct {
	address string
	mu      sync.Mutex
	healed  chan struct{} // closed unless the link is cut
}

func (e *env) cutLink(to string) *cutLink {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.cannotRun("link: %v", err)
	}
	c := &cutLink{address: l.Addr().String(), healed: make(chan struct{})}
	close(c.healed)
	go func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				c.wait()
				b, err := net.Dial("tcp", to)
				if err != nil {
					_ = a.Close()
					return
				}
				go c.pipe(b.(*net.TCPConn), a.(*net.TCPConn))
				go c.pipe(a.(*net.TCPConn), b.(*net.TCPConn))
			}()
		}
	}()
	return c
}

func (c *cutLink) wait() {
	c.mu.Lock()
	healed := c.healed
	c.mu.Unlock()
	<-healed
}

func (c *cutLink) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healed = make(chan struct{})
}

func (c *cutLink) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.healed)
}

// pipe passes bytes and then the end of one direction on.
func (c *cutLink) pipe(to, from *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c.wait()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// shaper limits the bytes per second of several connections together.
type shaper struct {
	rate float64
	mu   sync.Mutex
	free time.Time
}

func (s *shaper) pipe(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 8<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			s.mu.Lock()
			if now := time.Now(); s.free.Before(now) {
				s.free = now
			}
			s.free = s.free.Add(time.Duration(float64(n) / s.rate * float64(time.Second)))
			at := s.free
			s.mu.Unlock()
			time.Sleep(time.Until(at))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
