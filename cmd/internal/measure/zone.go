package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/node/daemon"
	"waxwingslip.example/node/operator/api"
	"waxwingslip.example/node/peer/devcert"
)

const (
	zoneName       = "east-a"
	slotsPerWorker = 24
	numServices    = 30
	startTimeout   = 45 * time.Second
	settleDuration = 4 * time.Second
)

// zone holds the processes of one measured zone.
type zone struct {
	size      size
	dir       string
	token     string
	processes []*process
	daemons   []*daemonProcess
}

type daemonProcess struct {
	*process
	addresses daemon.Addresses
}

// startZone starts the stand-ins and the daemons, publishes a document and waits until all long tasks run. On an error
// it may still return a zone, which the caller must close.
func startZone(ctx context.Context, o options, sz size) (*zone, error) {
	dir, err := os.MkdirTemp("", "waxwingslip-measure-")
	if err != nil {
		return nil, errors.Wrap(err, "make directory")
	}
	z := &zone{size: sz, dir: dir, token: uuid.NewString()}
	if err := z.writeFile("tokens", z.token+"\n"); err != nil {
		return z, err
	}
	var platform struct{ URL string }
	if _, err := z.startProcess("platform", &platform, o.binariesDir, "waxwingslip", "standin", "platform"); err != nil {
		return z, err
	}
	var ids []string
	for i := range sz.workers {
		ids = append(ids, fmt.Sprintf("%s-w%04d", zoneName, i+1))
	}
	var workers struct{ Workers map[string]string }
	if _, err := z.startProcess("workers", &workers, o.binariesDir, "waxwingslip", "standin", "worker", "-ids",
		strings.Join(ids, ","), "-zone", zoneName, "-platform", platform.URL,
		"-capacity", fmt.Sprintf("slots=%d,connections=512,milliCPU=64000,memoryMB=250000", slotsPerWorker)); err != nil {
		return z, err
	}
	authority, err := devcert.NewAuthority()
	if err != nil {
		return z, err
	}
	for i := range o.numDaemons {
		if err := z.startDaemon(authority, o.binariesDir, platform.URL, fmt.Sprintf("%s-%d", zoneName, i+1)); err != nil {
			return z, err
		}
	}
	if err := z.startLongTasks(ctx); err != nil {
		return z, err
	}
	return z, sleep(ctx, settleDuration)
}

func (z *zone) writeFile(name, text string) error {
	return errors.Wrapf(os.WriteFile(filepath.Join(z.dir, name), []byte(text), 0o600), "write %s", name)
}

func (z *zone) startDaemon(authority *devcert.Authority, binariesDir, platform, name string) error {
	files, err := authority.Write(z.dir, name)
	if err != nil {
		return err
	}
	var seeds []string
	for _, d := range z.daemons {
		seeds = append(seeds, "'"+d.addresses.Peers+"'")
	}
	const anyPort = "'127.0.0.1:0'"
	text := strings.Join([]string{
		"name: " + name, "environment: measure", "region: east", "zone: " + zoneName,
		"listen: {callers: " + anyPort + ", operators: " + anyPort + ", health: " + anyPort + ", peers: " + anyPort + "}",
		"platform: {logURL: '" + platform + "', directoryURL: '" + platform + "'}",
		"peers: {certificateFile: '" + files.Cert + "', keyFile: '" + files.Key + "', caFile: '" + files.CA +
			"', seeds: [" + strings.Join(seeds, ", ") + "]}",
		"operators: {tokenFile: '" + filepath.Join(z.dir, "tokens") + "'}",
	}, "\n")
	if err := z.writeFile(name+".yaml", text); err != nil {
		return err
	}
	d := &daemonProcess{}
	d.process, err = z.startProcess(name, &d.addresses, binariesDir, "waxwingslipd", "-settings",
		filepath.Join(z.dir, name+".yaml"))
	if err == nil {
		z.daemons = append(z.daemons, d)
	}
	return err
}

// taskCounts divides the tasks in the ratio of the target size: 8,600 service replicas to 14,000 batch tasks.
func (z *zone) taskCounts() (replicas, batch int) {
	total := z.size.workers * z.size.tasksPerWorker
	replicas = total * 8600 / 22600
	return replicas, total - replicas
}

// document returns the environment document of the zone.
func (z *zone) document() string {
	var b strings.Builder
	fmt.Fprintf(&b, `schema: 1
environment: measure
regions:
  - name: east
    zones:
      - name: %s
        workers: %d
        worker: {slots: %d, connections: 512, milliCPU: 64000, memoryMB: 250000}
teams:
  - name: demo
    quota: {slots: %d, connections: %d, milliCPU: %d, memoryMB: %d}
requests: {perCallerPerSecond: 1000, linkBytesPerSecond: 1000000}
services:
`, zoneName, z.size.workers, slotsPerWorker, z.size.workers*slotsPerWorker, z.size.workers*512, z.size.workers*64000,
		z.size.workers*250000)
	replicas, _ := z.taskCounts()
	for i := range numServices {
		count := replicas*(i+1)/numServices - replicas*i/numServices
		if count == 0 {
			continue
		}
		fmt.Fprintf(&b, "  - {name: s%d, team: demo, class: web%d, replicas: {%s: %d}, size: {slots: 1, connections: 8, milliCPU: 1000, memoryMB: 1000}, latencyTargetMs: 100, timeoutMs: 5000}\n",
			i, i, zoneName, count)
	}
	return b.String()
}

// client returns a client of the operators' listener of daemon i, modulo the number of daemons.
func (z *zone) client(i int) *api.Client {
	return api.NewClient("http://"+z.daemons[i%len(z.daemons)].addresses.Operators, z.token, http.DefaultClient)
}

// startLongTasks publishes the document, submits the long batch tasks and waits until all replicas and long batch tasks
// run.
func (z *zone) startLongTasks(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	cmd := api.PublishConfig{Command: uuid.New(), Document: z.document(), Author: "measure"}
	if err := retryUntilAccepted(ctx, func() (api.Answer, error) {
		return z.client(0).PublishConfig(ctx, cmd)
	}); err != nil {
		return errors.Wrap(err, "publish document")
	}
	_, batch := z.taskCounts()
	// At the target size, 14,000 batch tasks belong to some 500 unfinished jobs of about 30 tasks each.
	for i := 0; batch > 0; i++ {
		count := min(batch, 30)
		batch -= count
		if err := z.submitJob(ctx, fmt.Sprint("long-", i), count, "1h"); err != nil {
			return err
		}
	}
	total := z.size.workers * z.size.tasksPerWorker
	for {
		p, err := z.readProgress(ctx)
		if err == nil && p.bound == total && p.starts >= total {
			// More starts than tasks mean that runs were stopped and started again.
			if p.starts > total {
				fmt.Fprintf(os.Stderr, "size %dx%d: %+v\n", z.size.workers, z.size.tasksPerWorker, p)
			}
			return nil
		}
		if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return errors.Wrapf(err, "not all of %d tasks run: %+v", total, p)
		}
	}
}

// progress counts the tasks that are bound to workers and the actions of all daemons.
type progress struct {
	bound, starts, startErrors, refused, stops, preemptions, moves, contactErrors int
}

func (z *zone) readProgress(ctx context.Context) (p progress, err error) {
	for _, d := range z.daemons {
		var v vars
		if err := getJSON(ctx, "http://"+d.addresses.Health+"/debug/vars", &v); err != nil {
			return p, err
		}
		o := &v.Own
		p.bound = o.Running
		p.starts += int(o.Starts)
		p.startErrors += o.StartErrors
		p.refused += o.Refused
		p.stops += o.Stops
		p.preemptions += o.Preemptions
		p.moves += o.Moves
		p.contactErrors += o.ContactErrors
	}
	return p, nil
}

func (z *zone) submitJob(ctx context.Context, id string, tasks int, run string) error {
	cmd := api.SubmitJob{Command: uuid.New(), Job: record.JobSpec{
		ID: id, Team: "demo", Class: "batch", Priority: record.PriorityBatch, Tasks: tasks,
		Size: resource.Vector{Slots: 1, MilliCPU: 500, MemoryMB: 100}, Payload: "run=" + run,
	}}
	err := retryUntilAccepted(ctx, func() (api.Answer, error) { return z.client(0).SubmitJob(ctx, cmd) })
	return errors.Wrapf(err, "submit job %s", id)
}

// retryUntilAccepted repeats a command until it is accepted. A definite result other than that is an error.
func retryUntilAccepted(ctx context.Context, call func() (api.Answer, error)) error {
	for {
		answer, err := call()
		if err == nil && answer.Result == api.Accepted {
			return nil
		}
		if err == nil && answer.Result != api.Unknown {
			return errors.Errorf("%s: %s %v", answer.Result, answer.Reason, answer.Problems)
		}
		if sleepErr := sleep(ctx, 100*time.Millisecond); sleepErr != nil {
			return errors.Wrapf(sleepErr, "last error: %v", err)
		}
	}
}

// submitShortJobs submits one job per second, of startsPerSecond tasks that run 1 s each, until ctx is done.
func (z *zone) submitShortJobs(ctx context.Context, startsPerSecond int) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for i := 0; ; i++ {
		if err := z.submitJob(ctx, fmt.Sprint("short-", i), startsPerSecond, "1s"); err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// measureWindow samples every daemon over a window of the given length.
func (z *zone) measureWindow(ctx context.Context, length time.Duration) (samples []sample, err error) {
	readAll := func() (all []reading, err error) {
		for _, d := range z.daemons {
			r, err := takeReading(ctx, d.pid(), d.addresses.Health)
			if err != nil {
				return nil, errors.Wrap(err, d.name)
			}
			all = append(all, r)
		}
		return all, nil
	}
	before, err := readAll()
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, length); err != nil {
		return nil, err
	}
	after, err := readAll()
	if err != nil {
		return nil, err
	}
	n := float64(len(z.daemons))
	for i := range before {
		samples = append(samples, rateSample(before[i], after[i], float64(z.size.workers)/n,
			float64(z.size.workers*z.size.tasksPerWorker)/n))
	}
	return samples, nil
}
