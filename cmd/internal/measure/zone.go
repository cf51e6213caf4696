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
	zoneName     = "east-a"
	slots        = 24
	services     = 30
	startTimeout = 45 * time.Second
	settleTime   = 4 * time.Second
)

// zone is the processes of one measured zone.
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

// startZone starts everything, publishes a document and waits until all long tasks run. The zone is returned with an
// error too, so that it can be closed.
func startZone(ctx context.Context, o options, s size) (*zone, error) {
	dir, err := os.MkdirTemp("", "waxwingslip-measure-")
	if err != nil {
		return nil, errors.Wrap(err, "make directory")
	}
	z := &zone{size: s, dir: dir, token: uuid.NewString()}
	if err := z.write("tokens", z.token+"\n"); err != nil {
		return z, err
	}
	var platform struct{ URL string }
	if _, err := z.start("platform", &platform, o.binaries, "waxwingslip", "standin", "platform"); err != nil {
		return z, err
	}
	var ids []string
	for i := range s.workers {
		ids = append(ids, fmt.Sprintf("%s-w%04d", zoneName, i+1))
	}
	var workers struct{ Workers map[string]string }
	if _, err := z.start("workers", &workers, o.binaries, "waxwingslip", "standin", "worker", "-ids",
		strings.Join(ids, ","), "-zone", zoneName, "-platform", platform.URL,
		"-capacity", fmt.Sprintf("slots=%d,connections=512,milliCPU=64000,memoryMB=250000", slots)); err != nil {
		return z, err
	}
	authority, err := devcert.NewAuthority()
	if err != nil {
		return z, err
	}
	for i := range o.daemons {
		if err := z.startDaemon(authority, o.binaries, platform.URL, fmt.Sprintf("%s-%d", zoneName, i+1)); err != nil {
			return z, err
		}
	}
	if err := z.fill(ctx); err != nil {
		return z, err
	}
	return z, pause(ctx, settleTime)
}

func (z *zone) write(name, text string) error {
	return errors.Wrapf(os.WriteFile(filepath.Join(z.dir, name), []byte(text), 0o600), "write %s", name)
}

func (z *zone) startDaemon(a *devcert.Authority, binaries, platform, name string) error {
	files, err := a.Write(z.dir, name)
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
	if err := z.write(name+".yaml", text); err != nil {
		return err
	}
	d := &daemonProcess{}
	d.process, err = z.start(name, &d.addresses, binaries, "waxwingslipd", "-settings", filepath.Join(z.dir, name+".yaml"))
	if err == nil {
		z.daemons = append(z.daemons, d)
	}
	return err
}

// counts divides the tasks as at the target size: 8,600 replicas of services to 14,000 batch tasks.
func (z *zone) counts() (replicas, batch int) {
	all := z.size.workers * z.size.tasksPerWorker
	replicas = all * 8600 / 22600
	return replicas, all - replicas
}

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
`, zoneName, z.size.workers, slots, z.size.workers*slots, z.size.workers*512, z.size.workers*64000, z.size.workers*250000)
	replicas, _ := z.counts()
	for i := range services {
		n := replicas*(i+1)/services - replicas*i/services
		if n == 0 {
			continue
		}
		fmt.Fprintf(&b, "  - {name: s%d, team: demo, class: web%d, replicas: {%s: %d}, size: {slots: 1, connections: 8, milliCPU: 1000, memoryMB: 1000}, latencyTargetMs: 100, timeoutMs: 5000}\n",
			i, i, zoneName, n)
	}
	return b.String()
}

func (z *zone) client(i int) *api.Client {
	return api.NewClient("http://"+z.daemons[i%len(z.daemons)].addresses.Operators, z.token, http.DefaultClient)
}

// fill publishes the document, submits the long batch tasks and waits until every long task runs.
func (z *zone) fill(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	cmd := api.PublishConfig{Command: uuid.New(), Document: z.document(), Author: "measure"}
	if err := until(ctx, func() (api.Answer, error) { return z.client(0).PublishConfig(ctx, cmd) }); err != nil {
		return errors.Wrap(err, "publish document")
	}
	_, batch := z.counts()
	// At the target size 14,000 batch tasks belong to some 500 unfinished jobs of about 30 tasks.
	for i := 0; batch > 0; i++ {
		n := min(batch, 30)
		batch -= n
		if err := z.submit(ctx, fmt.Sprint("long-", i), n, "1h"); err != nil {
			return err
		}
	}
	all := z.size.workers * z.size.tasksPerWorker
	for {
		p, err := z.progress(ctx)
		if err == nil && p.bound == all && p.starts >= all {
			// Starts beyond the number of tasks are runs that were stopped and started again.
			if p.starts > all {
				fmt.Fprintf(os.Stderr, "size %dx%d: %+v\n", z.size.workers, z.size.tasksPerWorker, p)
			}
			return nil
		}
		if err := pause(ctx, 200*time.Millisecond); err != nil {
			return errors.Wrapf(err, "%d tasks do not all run: %+v", all, p)
		}
	}
}

// progress tells how many tasks are bound to workers and what the daemons did for that.
type progress struct {
	bound, starts, startErrors, refused, stops, preemptions, moves, contactErrors int
}

func (z *zone) progress(ctx context.Context) (p progress, err error) {
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

func (z *zone) submit(ctx context.Context, id string, tasks int, run string) error {
	cmd := api.SubmitJob{Command: uuid.New(), Job: record.JobSpec{
		ID: id, Team: "demo", Class: "batch", Priority: record.PriorityBatch, Tasks: tasks,
		Size: resource.Vector{Slots: 1, MilliCPU: 500, MemoryMB: 100}, Payload: "run=" + run,
	}}
	err := until(ctx, func() (api.Answer, error) { return z.client(0).SubmitJob(ctx, cmd) })
	return errors.Wrapf(err, "submit job %s", id)
}

// until repeats a command until its outcome is known.
func until(ctx context.Context, call func() (api.Answer, error)) error {
	for {
		answer, err := call()
		if err == nil && answer.Result == api.Accepted {
			return nil
		}
		if err == nil && answer.Result != api.Unknown {
			return errors.Errorf("%s: %s %v", answer.Result, answer.Reason, answer.Problems)
		}
		if pauseErr := pause(ctx, 100*time.Millisecond); pauseErr != nil {
			return errors.Wrapf(pauseErr, "last error: %v", err)
		}
	}
}

// load submits one job a second until ctx ends.
func (z *zone) load(ctx context.Context, startsPerSecond int) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for i := 0; ; i++ {
		if err := z.submit(ctx, fmt.Sprint("short-", i), startsPerSecond, "1s"); err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// window measures all daemons over a time.
func (z *zone) window(ctx context.Context, d time.Duration) (out []sample, err error) {
	readAll := func() (all []reading, err error) {
		for _, d := range z.daemons {
			r, err := read(ctx, d.pid(), d.addresses.Health)
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
	if err := pause(ctx, d); err != nil {
		return nil, err
	}
	after, err := readAll()
	if err != nil {
		return nil, err
	}
	n := float64(len(z.daemons))
	for i := range before {
		out = append(out, between(before[i], after[i], float64(z.size.workers)/n, float64(z.size.workers*z.size.tasksPerWorker)/n))
	}
	return out, nil
}
