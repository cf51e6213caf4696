package zonetest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/logstore"
	storefake "waxwingslip.example/external/logstore/fake"
	"waxwingslip.example/external/worker"
	workerfake "waxwingslip.example/external/worker/fake"
	"waxwingslip.example/node/authority"
	"waxwingslip.example/node/executor"
	"waxwingslip.example/node/ownership"
	"waxwingslip.example/node/replica"
	"waxwingslip.example/node/scheduler"
	"waxwingslip.example/node/stream"
)

const (
	environmentName = "test"
	zoneName        = "z"
)

const testDocument = `schema: 1
environment: test
regions:
  - name: r
    zones:
      - name: z
        workers: 3
        worker: {slots: 4, connections: 8, milliCPU: 4000, memoryMB: 4000}
      - name: y
        workers: 3
        worker: {slots: 4, connections: 8, milliCPU: 4000, memoryMB: 4000}
teams:
  - name: t
    quota: {slots: 24, milliCPU: 24000, memoryMB: 24000}
`

// harness runs one zone with fakes of its platform.
type harness struct {
	t       *testing.T
	store   *storefake.Store
	fleet   *workerfake.Fleet
	workers []*workerfake.Worker
	vms     []directory.VM
	started time.Time
}

func newHarness(t *testing.T, workers int) *harness {
	h := &harness{t: t, store: storefake.New(time.Now), fleet: workerfake.NewFleet(), started: time.Now()}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		capacity := resource.Vector{Slots: 4, Connections: 8, MilliCPU: 4000, MemoryMB: 4000}
		w := workerfake.New(workerfake.Options{ID: id, Capacity: capacity, ClockStartMs: int64(i) * 1_000_000})
		h.fleet.Add(id+":1", w)
		h.workers = append(h.workers, w)
		h.vms = append(h.vms, directory.VM{
			ID: id, Role: directory.RoleWorker, Zone: zoneName, Rack: "r1", Address: id + ":1", State: directory.StateLive,
		})
	}
	return h
}

// node is the part of a daemon that runs the zone.
type node struct {
	h       *harness
	name    string
	client  *faultyClient
	zone    *replica.Zone
	control *replica.Control
	auth    *authority.Authority
	pool    *executor.Pool
	stop    context.CancelFunc
	loops   sync.WaitGroup
}

// faultyClient is a daemon's client of the log and of the workers, with injectable faults and delays.
type faultyClient struct {
	logstore.Store
	worker.Client

	logFaults fault.Switch
	// workerFaults applies to this daemon's calls to all workers.
	workerFaults fault.Switch
	// startDelay delays start commands in transit, after the daemon has checked its authority.
	mu         sync.Mutex
	startDelay time.Duration
}

// Append implements logstore.Store.
func (c *faultyClient) Append(ctx context.Context, name string, payloads [][]byte) (int64, error) {
	if err := c.logFaults.Before(ctx, "append", nil); err != nil {
		return 0, err
	}
	return c.Store.Append(ctx, name, payloads)
}

// Read implements logstore.Store.
func (c *faultyClient) Read(
	ctx context.Context, name string, from int64, limit int, wait time.Duration,
) (logstore.Page, error) {
	if err := c.logFaults.Before(ctx, "read", nil); err != nil {
		return logstore.Page{}, err
	}
	page, err := c.Store.Read(ctx, name, from, limit, wait)
	if err == nil {
		err = c.logFaults.Before(ctx, "read", nil) // a fault that starts during the long poll loses the response
	}
	return page, err
}

// Start implements worker.Client.
func (c *faultyClient) Start(ctx context.Context, address string, req worker.StartRequest) error {
	c.mu.Lock()
	delay := c.startDelay
	c.mu.Unlock()
	if delay > 0 {
		// The command is still in transit when the sender's deadline has passed.
		ctx = context.WithoutCancel(ctx)
		time.Sleep(delay)
	}
	if err := c.workerFaults.Before(ctx, "start", nil); err != nil {
		return err
	}
	return c.Client.Start(ctx, address, req)
}

// Renew implements worker.Client.
func (c *faultyClient) Renew(ctx context.Context, address string, req worker.RenewRequest) (worker.Report, error) {
	if err := c.workerFaults.Before(ctx, "renew", nil); err != nil {
		return worker.Report{}, err
	}
	return c.Client.Renew(ctx, address, req)
}

// Report implements worker.Client.
func (c *faultyClient) Report(ctx context.Context, address string) (worker.Report, error) {
	if err := c.workerFaults.Before(ctx, "report", nil); err != nil {
		return worker.Report{}, err
	}
	return c.Client.Report(ctx, address)
}

type discardMetrics struct{}

// Count implements the metrics of the packages under test.
func (discardMetrics) Count(string) {}

type noLoads struct{}

// UnreservedCPUShare implements scheduler.Loads.
func (noLoads) UnreservedCPUShare(string) (float64, bool) { return 0, false }

// start starts a daemon's part of the zone.
func (h *harness) start(name string) *node {
	n := &node{h: h, name: name, client: &faultyClient{Store: h.store, Client: h.fleet}}
	now := func() time.Duration { return time.Since(h.started) }
	n.zone = replica.NewZone(n.client, zoneName,
		stream.FollowerOptions{Stream: replica.ZoneStream(environmentName, zoneName)}, stream.AppenderOptions{})
	n.control = replica.NewControl(n.client, environment.Parse,
		stream.FollowerOptions{Stream: replica.ControlStream(environmentName), Wait: 500 * time.Millisecond}, stream.AppenderOptions{})
	n.auth = authority.New(zoneName, n.zone, n.control, now)
	n.pool = executor.NewPool(executor.Config{
		Client: n.client, Journal: n.zone, Zone: n.zone, Authority: n.auth, Metrics: discardMetrics{},
		Log: zerolog.Nop(), Now: now,
	})
	sched := scheduler.New(scheduler.Config{
		Zone: zoneName, State: n.zone, Control: n.control, Member: n.auth.Member, Loads: noLoads{}, Metrics: discardMetrics{},
		Log: zerolog.Nop(), Now: now, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	current := func() bool {
		asOf := n.zone.Follower.CurrentAsOf()
		return !asOf.IsZero() && time.Since(asOf) < 3*time.Second
	}
	owner := ownership.NewRunner(ownership.RunnerConfig{
		Name: name, PeerAddress: name + ":1", Zone: n.zone, ZoneCurrent: current, Now: now,
		SetMember: n.auth.SetMember, OnHeartbeatRead: n.auth.ConfirmHeartbeat, Log: zerolog.Nop(),
	})
	ctx, stop := context.WithCancel(h.t.Context())
	n.stop = stop
	n.pool.SetListing(h.vms)
	n.zone.Follower.Subscribe(func(batch stream.Batch) {
		n.zone.View(n.auth.Observe)
		n.pool.Sync(ctx)
		for _, w := range h.workers {
			n.pool.Wake(w.ID())
		}
		sched.ApplyZoneBatch(batch)
	})
	n.control.Follower.Subscribe(sched.ApplyControl)
	for _, loop := range []func(context.Context){
		func(ctx context.Context) { _ = n.zone.Follower.Run(ctx) },
		func(ctx context.Context) { _ = n.zone.Appender.Run(ctx) },
		func(ctx context.Context) { _ = n.control.Follower.Run(ctx) },
		func(ctx context.Context) { _ = n.control.Appender.Run(ctx) },
		owner.Run, sched.Run,
	} {
		n.loops.Go(func() { loop(ctx) })
	}
	return n
}

// kill stops a daemon without an orderly shutdown.
func (n *node) kill() {
	n.stop()
	n.pool.Stop()
	n.loops.Wait()
}

// publish submits a document as the new configuration.
func (n *node) publish(text string) {
	n.h.t.Helper()
	base := int64(0)
	n.control.View(func(s *control.State) { base = s.Version() })
	ctx, cancel := context.WithTimeout(n.h.t.Context(), time.Minute)
	defer cancel()
	res, err := n.control.Submit(ctx, &record.Configure{Base: base, Document: []byte(text)})
	if err != nil || !res.Accepted {
		n.h.t.Fatalf("publish: %v %+v", err, res)
	}
}

// submit submits a batch job.
func (n *node) submit(id string, tasks int, payload string) {
	n.h.t.Helper()
	n.submitWith(record.PriorityBatch, id, tasks, payload)
}

func (n *node) submitWith(priority record.Priority, id string, tasks int, payload string) {
	n.h.t.Helper()
	ctx, cancel := context.WithTimeout(n.h.t.Context(), time.Minute)
	defer cancel()
	res, err := n.control.Submit(ctx, &record.Submit{Zone: zoneName, Job: record.JobSpec{
		ID: id, Team: "t", Class: "c", Priority: priority, Tasks: tasks, Payload: payload,
		Size: resource.Vector{Slots: 1, MilliCPU: 1000, MemoryMB: 100},
	}})
	if err != nil || !res.Accepted {
		n.h.t.Fatalf("submit: %v %+v", err, res)
	}
}

// task returns a copy of a task's state.
func (n *node) task(job string, index int) (out zone.Task) {
	n.zone.View(func(s *zone.State) {
		if t := s.Task(record.TaskID{Job: job, Index: index}); t != nil {
			out = *t
		}
	})
	return out
}

// ownerOf returns the node that owns a worker, or nil.
func ownerOf(workerID string, nodes ...*node) *node {
	for _, n := range nodes {
		var owner string
		n.zone.View(func(s *zone.State) { owner, _ = s.OwnerOf(workerID) })
		if owner != "" && owner == n.auth.Member() {
			return n
		}
	}
	return nil
}

// startPair starts two daemons and a job of one task. It returns the worker that runs the task, the daemon that owns
// the worker and the other daemon.
func (h *harness) startPair(payload string) (workerID string, owner, other *node) {
	h.t.Helper()
	a, c := h.start("a"), h.start("c")
	a.publish(testDocument)
	a.submit("job", 1, payload)
	workerID = h.waitForRun(a, "job")
	owner, other = orderByOwner(workerID, a, c)
	return workerID, owner, other
}

// orderByOwner returns both nodes, the owner of the worker first.
func orderByOwner(workerID string, a, c *node) (owner, other *node) {
	if ownerOf(workerID, a, c) == c {
		return c, a
	}
	return a, c
}

// eventually advances simulated time until the condition holds.
func (h *harness) eventually(what string, within time.Duration, check func() bool) {
	h.t.Helper()
	deadline := time.Now().Add(within)
	for !check() {
		if time.Now().After(deadline) {
			h.t.Fatalf("condition not met within %s: %s", within, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// countRuns returns the number of executions of a job's tasks that were started, on all workers.
func (h *harness) countRuns(job string) (n int) {
	for _, e := range h.fleet.History() {
		if e.Job == job {
			n++
		}
	}
	return n
}

// checkNoOverlap fails the test if two executions of a task ever overlapped in time.
func (h *harness) checkNoOverlap() {
	h.t.Helper()
	for _, w := range h.workers {
		w.CatchUp()
	}
	if bad := workerfake.Overlaps(h.fleet.History()); len(bad) > 0 {
		h.t.Fatalf("executions of a task overlap: %v", bad)
	}
}

// runInBubble runs f with one zone in a synctest bubble.
func runInBubble(t *testing.T, workers int, f func(h *harness)) {
	synctest.Test(t, func(t *testing.T) { f(newHarness(t, workers)) })
}
