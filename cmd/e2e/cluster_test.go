package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"waxwingslip.example/external/directory"
	"waxwingslip.example/node/daemon"
	"waxwingslip.example/node/operator/api"
	"waxwingslip.example/node/peer/devcert"
	"waxwingslip.example/standin/platformd"
)

const (
	environmentName     = "e2e"
	daemonsPerZone      = 2
	workersPerZone      = 3
	workerCapacity      = "slots=8,connections=64,milliCPU=8000,memoryMB=16000"
	readyTimeout        = 40 * time.Second
	replicasPerZone     = 2
	commandTimeout      = 50 * time.Second
	operatorCallTimeout = 5 * time.Second
)

// regionByZone maps the zones of all tests to their regions.
var regionByZone = map[string]string{"east-a": "east", "east-b": "east", "west-a": "west"}

// cluster is an environment of daemons and stand-ins that run as processes.
type cluster struct {
	t           *testing.T
	dir         string
	zones       []string
	token       string
	tokenFile   string
	platformURL string
	// platformByZone holds another base URL of the platform for the daemons of a zone.
	platformByZone map[string]string
	authority      *devcert.Authority
	// workers holds the command address of each worker by id.
	workers map[string]string
	daemons []*daemonProcess
}

// daemonProcess is a daemon on an entry VM.
type daemonProcess struct {
	*process
	zone      string
	addresses daemon.Addresses
}

// startCluster starts the stand-ins and the daemons of the zones, publishes the document with the operators'
// command-line tool and waits until every daemon serves requests.
func startCluster(t *testing.T, zones ...string) *cluster {
	t.Helper()
	c := newCluster(t, zones...)
	c.startDaemons()
	return c
}

// newCluster starts the stand-ins.
func newCluster(t *testing.T, zones ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), zones: zones, token: uuid.NewString(), workers: map[string]string{},
		platformByZone: map[string]string{}}
	c.tokenFile = c.writeFile("tokens", c.token+"\n")
	var err error
	if c.authority, err = devcert.NewAuthority(); err != nil {
		t.Fatal(err)
	}
	var platform struct{ URL string }
	startProcess(t, c.dir, "platform", &platform, "waxwingslip", "standin", "platform")
	c.platformURL = platform.URL
	for _, z := range zones {
		c.startWorkers(z)
	}
	return c
}

// startDaemons starts the daemons, publishes the document and waits until every daemon serves requests.
func (c *cluster) startDaemons() {
	t := c.t
	t.Helper()
	for _, z := range c.zones {
		for i := range daemonsPerZone {
			c.startDaemon(fmt.Sprintf("%s-%d", z, i+1), z)
		}
	}
	if code, out := c.runCommand("config", "publish", "-base", "0", "-wait=false",
		c.writeFile("environment.yaml", c.document(""))); code != 0 {
		t.Fatalf("publish the first document: exit code %d\n%s", code, out)
	}
	for _, d := range c.daemons {
		c.waitServing(d)
	}
}

func (c *cluster) startWorkers(zone string) {
	c.t.Helper()
	var ids []string
	for i := range workersPerZone {
		ids = append(ids, fmt.Sprintf("%s-w%d", zone, i+1))
	}
	var out struct{ Workers map[string]string }
	startProcess(c.t, c.dir, "workers-"+zone, &out, "waxwingslip", "standin", "worker", "-ids", strings.Join(ids, ","),
		"-zone", zone, "-capacity", workerCapacity, "-platform", c.platformURL)
	for id, address := range out.Workers {
		c.workers[id] = address
	}
}

// startDaemon starts a daemon with the running ones as seeds, and adds it to the list of VMs.
func (c *cluster) startDaemon(name, zone string) *daemonProcess {
	c.t.Helper()
	files, err := c.authority.Write(c.dir, name)
	if err != nil {
		c.t.Fatal(err)
	}
	var seeds []string
	for _, d := range c.daemons {
		seeds = append(seeds, "'"+d.addresses.Peers+"'")
	}
	platform := c.platformURL
	if other := c.platformByZone[zone]; other != "" {
		platform = other
	}
	const anyPort = "'127.0.0.1:0'"
	path := c.writeFile(name+".yaml", strings.Join([]string{
		"name: " + name, "environment: " + environmentName, "region: " + regionByZone[zone], "zone: " + zone,
		"listen: {callers: " + anyPort + ", operators: " + anyPort + ", health: " + anyPort + ", peers: " + anyPort + "}",
		"platform: {logURL: '" + platform + "', directoryURL: '" + platform + "'}",
		"peers: {certificateFile: '" + files.Cert + "', keyFile: '" + files.Key + "', caFile: '" + files.CA +
			"', seeds: [" + strings.Join(seeds, ", ") + "]}",
		"operators: {tokenFile: '" + c.tokenFile + "'}",
	}, "\n"))
	d := &daemonProcess{zone: zone}
	d.process = startProcess(c.t, c.dir, name, &d.addresses, "waxwingslipd", "-settings", path)
	c.daemons = append(c.daemons, d)
	err = platformd.Register(c.t.Context(), c.platformURL, directory.VM{ID: name, Role: directory.RoleEntry, Zone: zone,
		Address: d.addresses.Peers, State: directory.StateLive})
	if err != nil {
		c.t.Fatal(err)
	}
	return d
}

// removeDaemon removes a daemon that has ended or is stopped from the daemons that the test uses.
func (c *cluster) removeDaemon(d *daemonProcess) {
	var remaining []*daemonProcess
	for _, other := range c.daemons {
		if other != d {
			remaining = append(remaining, other)
		}
	}
	c.daemons = remaining
}

// document returns the environment document with extra appended.
func (c *cluster) document(extra string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "schema: 1\nenvironment: %s\nregions:\n", environmentName)
	region, workers := "", workersPerZone*len(c.zones)
	var replicas []string
	for _, z := range c.zones {
		if r := regionByZone[z]; r != region {
			region = r
			fmt.Fprintf(&b, "  - name: %s\n    zones:\n", r)
		}
		fmt.Fprintf(&b, "      - name: %s\n        workers: %d\n"+
			"        worker: {slots: 8, connections: 64, milliCPU: 8000, memoryMB: 16000}\n", z, workersPerZone)
		replicas = append(replicas, fmt.Sprintf("%s: %d", z, replicasPerZone))
	}
	fmt.Fprintf(&b, `teams:
  - name: demo
    quota: {slots: %d, milliCPU: %d, memoryMB: %d}
services:
  - name: hello
    team: demo
    class: web
    replicas: {%s}
    size: {slots: 1, connections: 16, milliCPU: 1000, memoryMB: 1000}
    latencyTargetMs: 100
    timeoutMs: 5000
sharing:
  - class: web
    notWith: [web]
requests:
  perCallerPerSecond: 1000
  linkBytesPerSecond: 1000000
%s`, 8*workers, 8000*workers, 16000*workers, strings.Join(replicas, ", "), extra)
	return b.String()
}

func (c *cluster) writeFile(name, text string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// runCommand runs the operators' command-line tool against all daemons and returns its exit code and combined output.
func (c *cluster) runCommand(args ...string) (int, string) {
	var urls []string
	for _, d := range c.daemons {
		urls = append(urls, "http://"+d.addresses.Operators)
	}
	return c.runCommandAt(strings.Join(urls, ","), args...)
}

func (c *cluster) runCommandAt(daemons string, args ...string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binariesDir, "waxwingslip"),
		append([]string{"-daemon", daemons, "-token-file", c.tokenFile, "-author", "e2e", "-o", "json"}, args...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	_ = cmd.Run()
	return cmd.ProcessState.ExitCode(), out.String()
}

// operatorClient returns a client of one daemon's operators' listener.
func (c *cluster) operatorClient(d *daemonProcess) *api.Client {
	return api.NewClient("http://"+d.addresses.Operators, c.token,
		&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: operatorCallTimeout})
}

// firstDaemon returns the first daemon of a zone.
func (c *cluster) firstDaemon(zone string) *daemonProcess {
	for _, d := range c.daemons {
		if d.zone == zone {
			return d
		}
	}
	c.t.Fatalf("no daemon of zone %s", zone)
	return nil
}

// submitJob submits a batch job that may run in any zone with the operators' command-line tool.
func (c *cluster) submitJob(id string, tasks int, run time.Duration, args ...string) {
	c.t.Helper()
	c.submitJobIn(strings.Join(c.zones, ", "), id, tasks, run, args...)
}

// submitJobIn submits a batch job that may run in the given zones only.
func (c *cluster) submitJobIn(zones, id string, tasks int, run time.Duration, args ...string) {
	c.t.Helper()
	file := c.writeFile(id+".job.yaml", fmt.Sprintf("id: %s\nteam: demo\nclass: count\ntasks: %d\n"+
		"size: {slots: 1, milliCPU: 500, memoryMB: 100}\nmaxAttempts: 3\nzones: [%s]\npayload: run=%s\n", id, tasks, zones, run))
	if code, out := c.runCommand(append(append([]string{"job", "submit"}, args...), file)...); code != 0 {
		c.t.Fatalf("submit job %s: exit code %d\n%s", id, code, out)
	}
}

// jobStatus returns a job as reported by the first daemon that returns it.
func (c *cluster) jobStatus(id string) api.Job {
	for _, d := range c.daemons {
		if j, err := c.operatorClient(d).Job(c.t.Context(), id); err == nil {
			return j
		}
	}
	return api.Job{}
}

// waitFinished waits until a job has finished and all of its tasks have succeeded.
func (c *cluster) waitFinished(id string, timeout time.Duration) {
	c.t.Helper()
	var j api.Job
	defer func() {
		if c.t.Failed() {
			_, workers := c.runCommand("worker", "list")
			c.t.Logf("job %s: %+v\n%s\nexecutions: %+v", id, j, workers, runsOfJob(c.taskRuns(), id))
			for _, d := range c.daemons {
				c.t.Logf("metrics of %s: %s", d.name, fetchMetrics(d))
			}
		}
	}()
	eventually(c.t, timeout, "job "+id+" finished", func() bool {
		j = c.jobStatus(id)
		return j.State == api.JobFinished && j.Succeeded == j.Tasks
	})
}

// fetchMetrics returns the counters of a daemon.
func fetchMetrics(d *daemonProcess) string {
	var vars struct {
		Waxwingslip json.RawMessage `json:"waxwingslip"`
	}
	if err := getJSON("http://"+d.addresses.Health+"/debug/vars", &vars); err != nil {
		return err.Error()
	}
	return string(vars.Waxwingslip)
}

// waitServing waits until a daemon is ready, may start tasks and serves requests.
func (c *cluster) waitServing(d *daemonProcess) {
	c.t.Helper()
	eventually(c.t, readyTimeout, d.name+" serves requests", func() bool {
		status, err := c.operatorClient(d).Status(c.t.Context())
		return err == nil && status.MayStart && getOnce(d, "/ready").status == http.StatusOK
	})
}

// waitServingLocally waits until a daemon sends requests to endpoints of its own zone. Until its zone's replicas run,
// it uses those of other zones.
func (c *cluster) waitServingLocally(d *daemonProcess) {
	c.t.Helper()
	eventually(c.t, readyTimeout, d.name+" uses endpoints of its zone", func() bool {
		return strings.Contains(getOnce(d, "/local").echo.Replica, "@"+d.zone)
	})
}
