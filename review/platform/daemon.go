package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// daemon is one entry VM with the role of the deploy file.
type daemon struct {
	name, zone, callers, readiness string
	settings                       string
	path                           *storePath
	rec                            *recorder
	logPath                        string
	cmd                            *exec.Cmd
	ended                          chan struct{}
}

const zones = `regions:
  luzon-a: "luzon"
  visayas-a: "visayas"
  luzon-b: "luzon"
`

// Ports below those that the system gives to outgoing connections. Each process begins elsewhere, so that cases that run
// side by side hardly ever meet, and takes no port twice.
const (
	firstPort  = 12000
	portRanges = 60
	rangePorts = 300
)

var lastPort atomic.Int64

func init() { lastPort.Store(int64(firstPort + rand.IntN(portRanges)*rangePorts)) }

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() string {
	for range portRanges * rangePorts {
		address := fmt.Sprintf("127.0.0.1:%d", lastPort.Add(1))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		l.Close()
		if err == nil {
			u.Close()
			return address
		}
	}
	panic(errNotRun("no port is free"))
}

func newDaemon(c *testCase, name, zone string) (*daemon, error) {
	path, err := newStorePath(c.rec, c.store, name)
	if err != nil {
		return nil, err
	}
	d := &daemon{name: name, zone: zone, callers: freeAddress(), readiness: freeAddress(), path: path, rec: c.rec,
		settings: filepath.Join(c.dir, name+".yaml"), logPath: filepath.Join(c.dir, name+".log")}
	// The bounds are those of the site ambon-mist.
	text := fmt.Sprintf(`name: "%s"
zone: "%s"
%slisten:
  callers: "%s"
  readiness: "%s"
  peers: "%s"
  metrics: "%s"
store:
  address: "%s"
  partitions: 8
advice: ""
vm:
  cores: 0.16
  memoryMB: 284
bounds:
  holdMaxMs: 6000
  statusSeconds: 120
  graceSeconds: 6
  harmMs: 4000
log:
  level: info
`, name, zone, zones, d.callers, d.readiness, freeAddress(), freeAddress(), path.address)
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

// start runs the command of the deploy file.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command("target/waxwingslipd", "-hosted")
	d.cmd.Env = append(os.Environ(), "WAXWINGSLIP_BOOT="+d.settings, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.ended = ended
	go func() {
		_ = d.cmd.Wait()
		log.Close()
		close(ended)
	}()
	d.rec.add(d.name, "started, process %d", d.cmd.Process.Pid)
	return nil
}

// signal sends a signal and, unless the process goes on, waits for its end.
func (d *daemon) signal(s syscall.Signal) {
	if d.cmd == nil {
		return
	}
	d.rec.add(d.name, "gets %v", s)
	_ = d.cmd.Process.Signal(s)
	select {
	case <-d.ended:
	case <-time.After(8 * time.Second):
		_ = d.cmd.Process.Kill()
		<-d.ended
	}
}

// ready asks the readiness address.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.readiness + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// tail returns the last lines of the daemon's log.
func (d *daemon) tail(n int) []string {
	data, err := os.ReadFile(d.logPath)
	if err != nil {
		return nil
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[max(0, len(lines)-n):]
}
