package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/jobworker"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/platform"
	"waxwingslip.example/platform/platformtest"
)

const (
	maxLease   = 3 * time.Second
	numWorkers = 6
	// heartbeatInterval is the time between a worker's entries in the registry.
	heartbeatInterval = 500 * time.Millisecond
)

// cluster holds the store, the workers and the daemons.
type cluster struct {
	t      *testing.T
	rng    *rand.Rand
	store  *storefake.Store
	admin  keyedlog.Store
	fleet  *workerfake.Fleet
	binary string
	dir    string

	mu          sync.Mutex
	workerInfos map[string]jobworker.Info
	downWorkers map[string]bool
	daemons     []*daemon
}

// daemon is one daemon. After a crash or a restart it runs in a new process.
type daemon struct {
	name     string
	proxy    *proxy
	settings string
	callers  string

	// faultMu is held during a fault of the daemon's process, so that concurrent series of faults do not start the
	// daemon twice and leave one process running.
	faultMu sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

func buildDaemon(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "waxwingslipd")
	if out, err := exec.Command("go", "build", "-o", path, "waxwingslip.example/cmd/waxwingslipd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

func freePort(t *testing.T, network string) int {
	if network == "udp" {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.LocalAddr().(*net.UDPAddr).Port
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

const configManifest = `{"version":1,"routes":[{"name":"q","host":"jobs.example","path_prefix":"/q/","timeout_ms":3000,"target_duration_ms":500,"priority":0,"service":"pole","max_attempts":3,"stretch":2}],
"services":[{"name":"pole","admission_check":true}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144}}`

const settingsTemplate = `name: %q
zone: "z0"
regions:
  z0: "r"
listen:
  callers: "127.0.0.1:%d"
  readiness: "127.0.0.1:%d"
  peers: "127.0.0.1:%d"
  metrics: "127.0.0.1:%d"
store:
  address: %q
  partitions: 8
advice: ""
vm:
  cores: 0.5
  memoryMB: 284
bounds:
  holdMaxMs: 3000
  statusSeconds: 120
  graceSeconds: 3
  harmMs: 4000
log:
  level: info
`

// startCluster starts the store, the workers and daemonCount daemons.
func startCluster(t *testing.T, seed uint64, daemonCount int) *cluster {
	size := resource.Vector{MilliCPU: 1000, MemoryMB: 100}
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), store: storefake.New(), binary: buildDaemon(t), dir: t.TempDir(),
		fleet: workerfake.NewFleet(func(id jobs.TaskID, _ int64) workerfake.Outcome {
			return workerfake.Outcome{Duration: time.Duration(100+50*id.Index) * time.Millisecond, Size: size,
				UntilStopped: strings.HasPrefix(id.Job, longRunningPrefix)}
		}),
		workerInfos: map[string]jobworker.Info{}, downWorkers: map[string]bool{},
	}
	c.admin = c.store.As("operator")
	c.appendRecord("keyed.op", "config", []byte(configManifest))
	server := httptest.NewServer(platformtest.NewStore(c.store.As("daemon")))
	t.Cleanup(server.CloseClientConnections)
	for i := range numWorkers {
		c.startWorker(fmt.Sprintf("w%d", i))
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.sendHeartbeats(ctx)
	for i := range daemonCount {
		c.addDaemon(i, strings.TrimPrefix(server.URL, "http://"))
	}
	return c
}

func (c *cluster) appendRecord(topic, key string, value []byte) {
	if _, err := c.admin.Append(context.Background(), keyedlog.Append{Partition: keyedlog.Partition{Topic: topic},
		Records: []keyedlog.Record{{Key: key, Value: value}}}); err != nil {
		c.t.Error(err)
	}
}

func (c *cluster) startWorker(id string) {
	server := httptest.NewServer(platformtest.NewWorker(id, c.fleet))
	c.t.Cleanup(server.CloseClientConnections)
	info := jobworker.Info{ID: id, Service: "pole", Address: strings.TrimPrefix(server.URL, "http://"), Zone: "z0",
		Size: resource.Vector{MilliCPU: 8000, MemoryMB: 8000}}
	c.fleet.Add(info, maxLease)
	c.workerInfos[id] = info
}

// sendHeartbeats registers the workers that are up, and deletes those that have been down for three intervals, until
// ctx is done.
func (c *cluster) sendHeartbeats(ctx context.Context) {
	missed := map[string]int{}
	for ctx.Err() == nil {
		c.mu.Lock()
		for id, info := range c.workerInfos {
			if c.downWorkers[id] {
				if missed[id]++; missed[id] == 3 {
					c.appendRecord(platform.RegistryTopic, id, nil)
				}
				continue
			}
			missed[id] = 0
			c.appendRecord(platform.RegistryTopic, id, fmt.Appendf(nil,
				`{"service":"pole","address":%q,"zone":"z0","state":"ready","capacity":{"cpu":8000,"mem_mb":8000},"labels":["a","r1-1"]}`, info.Address))
		}
		c.mu.Unlock()
		time.Sleep(heartbeatInterval)
	}
}

func (c *cluster) addDaemon(i int, storeAddress string) {
	d := &daemon{name: fmt.Sprintf("d%d", i), proxy: newProxy(c.t, storeAddress)}
	callersPort := freePort(c.t, "tcp")
	d.callers = fmt.Sprintf("127.0.0.1:%d", callersPort)
	text := fmt.Sprintf(settingsTemplate, d.name, callersPort, freePort(c.t, "tcp"), freePort(c.t, "udp"),
		freePort(c.t, "tcp"), d.proxy.listener.Addr())
	d.settings = filepath.Join(c.dir, d.name+".yaml")
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.daemons = append(c.daemons, d)
	c.startDaemon(d)
	c.t.Cleanup(func() { c.killDaemon(d) })
}

// startDaemon starts the daemon's process. Its log is appended to a file next to its settings file.
func (c *cluster) startDaemon(d *daemon) {
	log, err := os.OpenFile(filepath.Join(c.dir, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Error(err)
		return
	}
	cmd := exec.Command(c.binary, "-hosted", "-settings", d.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		c.t.Error(err)
		return
	}
	exited := make(chan struct{})
	go func() { defer close(exited); _ = cmd.Wait(); _ = log.Close() }()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process, d.exited = cmd, exited
}

// logTail returns the end of the daemon's log.
func (c *cluster) logTail(d *daemon) string {
	const maxBytes = 4000
	data, err := os.ReadFile(filepath.Join(c.dir, d.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-maxBytes):])
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.process.Process.Signal(s) // it may have ended
}

// killDaemon kills the daemon's process and waits for its end.
func (c *cluster) killDaemon(d *daemon) {
	d.signal(syscall.SIGKILL)
	<-d.exited
}

// injectFault injects one random fault, clears it again and returns its description.
func (c *cluster) injectFault(n int) string {
	d := c.daemons[n%len(c.daemons)]
	c.mu.Lock()
	faultKind, duration := c.rng.IntN(8), time.Duration(300+c.rng.IntN(2200))*time.Millisecond
	mode, worker := proxyMode(1+c.rng.IntN(int(numModes)-1)), fmt.Sprintf("w%d", c.rng.IntN(numWorkers))
	c.mu.Unlock()
	description := ""
	if faultKind <= 2 {
		d.faultMu.Lock()
		defer d.faultMu.Unlock()
	}
	switch faultKind {
	case 0:
		description = "kill " + d.name
		c.killDaemon(d)
		time.Sleep(duration / 4)
		c.startDaemon(d)
	case 1:
		description = fmt.Sprintf("pause %s %v", d.name, duration)
		d.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		d.signal(syscall.SIGCONT)
	case 2:
		description = "restart " + d.name
		d.signal(syscall.SIGTERM)
		<-d.exited
		c.startDaemon(d)
	case 3, 4:
		description = fmt.Sprintf("store of %s in mode %d for %v", d.name, mode, duration)
		d.proxy.setMode(mode)
		time.Sleep(duration)
		d.proxy.setMode(forward)
	case 5:
		description = fmt.Sprintf("worker %s crashes for %v", worker, duration)
		c.setWorkerDown(worker, true)
		time.Sleep(duration)
		c.setWorkerDown(worker, false)
	case 6:
		description = fmt.Sprintf("commands to %s late for %v", worker, duration)
		c.fleet.SetFault(func(id, method string) workerfake.Fault {
			if id == worker && method != "hold" {
				return workerfake.Fault{Late: 1500 * time.Millisecond}
			}
			return workerfake.Fault{}
		})
		time.Sleep(duration)
		c.fleet.SetFault(nil)
	case 7:
		description = fmt.Sprintf("store loses responses for %v", duration)
		c.store.SetFault(func(caller, method string, _ keyedlog.Partition) storefake.Fault {
			return storefake.Fault{LoseResponse: caller == "daemon" && method == "append" && rand.IntN(3) == 0}
		})
		time.Sleep(duration)
		c.store.SetFault(nil)
	}
	return description
}

func (c *cluster) setWorkerDown(id string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.downWorkers[id] == down {
		return
	}
	c.downWorkers[id] = down
	if down {
		c.fleet.Crash(id)
	} else {
		c.fleet.Restart(id)
	}
}

// clearFaults clears all faults and resumes paused daemons and crashed workers.
func (c *cluster) clearFaults() {
	c.fleet.SetFault(nil)
	c.store.SetFault(nil)
	for _, d := range c.daemons {
		d.proxy.setMode(forward)
		d.signal(syscall.SIGCONT)
	}
	for id := range c.workerInfos {
		c.setWorkerDown(id, false)
	}
}

var httpClient = &http.Client{Timeout: 3 * time.Second}

// callDaemon sends a request to daemon n, modulo the number of daemons, and returns the status and the body. The status
// is 0 if there was no response.
func (c *cluster) callDaemon(n int, method, path, body string) (int, string) {
	d := c.daemons[n%len(c.daemons)]
	r, err := http.NewRequest(method, "http://"+d.callers+path, strings.NewReader(body))
	if err != nil {
		c.t.Error(err)
		return 0, ""
	}
	r.Host = "jobs.example"
	resp, err := httpClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body) // to the end, so that the connection is reused
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}
