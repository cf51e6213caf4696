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

const document = `schema: 1
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

// bench is one zone with its platform.
type bench struct {
	t       *testing.T
	store   *storefake.Store
	fleet   *workerfake.Fleet
	workers []*workerfake.Worker
	vms     []directory.VM
	started time.Time
}

func newBench(t *testing.T, workers int) *bench {
	b := &bench{t: t, store: storefake.New(time.Now), fleet: workerfake.NewFleet(), started: time.Now()}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		capacity := resource.Vector{Slots: 4, Connections: 8, MilliCPU: 4000, MemoryMB: 4000}
		w := workerfake.New(workerfake.Options{ID: id, Capacity: capacity, ClockStartMs: int64(i) * 1_000_000})
		b.fleet.Add(id+":1", w)
		b.workers = append(b.workers, w)
		b.vms = append(b.vms, directory.VM{
			ID: id, Role: directory.RoleWorker, Zone: zoneName, Rack: "r1", Address: id + ":1", State: directory.StateLive,
		})
	}
	return b
}

// node is the part of one daemon that runs the zone.
type node struct {
	b       *bench
	name    string
	link    *link
	zone    *replica.Zone
	control *replica.Control
	auth    *authority.Authority
	pool    *executor.Pool
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// link is a daemon's connection to the log and to the workers; it can be cut or hold back what is sent.
type link struct {
	logstore.Store
	worker.Client

	logCut fault.Switch
	// workersCut makes all workers unreachable for this daemon.
	workersCut fault.Switch
	// holdStarts delays starts on their way, after the daemon checked its authority.
	mu         sync.Mutex
	holdStarts time.Duration
}

// Append implements logstore.Store.
func (l *link) Append(ctx context.Context, name string, payloads [][]byte) (int64, error) {
	if err := l.logCut.Before(ctx, "append", nil); err != nil {
		return 0, err
	}
	return l.Store.Append(ctx, name, payloads)
}

// Read implements logstore.Store.
func (l *link) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (logstore.Page, error) {
	if err := l.logCut.Before(ctx, "read", nil); err != nil {
		return logstore.Page{}, err
	}
	page, err := l.Store.Read(ctx, name, from, limit, wait)
	if err == nil {
		err = l.logCut.Before(ctx, "read", nil) // a cut during the long poll loses the answer
	}
	return page, err
}

// Start implements worker.Client.
func (l *link) Start(ctx context.Context, address string, req worker.StartRequest) error {
	l.mu.Lock()
	hold := l.holdStarts
	l.mu.Unlock()
	if hold > 0 {
		// The packet is still under way when the sender has given up.
		ctx = context.WithoutCancel(ctx)
		time.Sleep(hold)
	}
	if err := l.workersCut.Before(ctx, "start", nil); err != nil {
		return err
	}
	return l.Client.Start(ctx, address, req)
}

// Renew implements worker.Client.
func (l *link) Renew(ctx context.Context, address string, req worker.RenewRequest) (worker.Report, error) {
	if err := l.workersCut.Before(ctx, "renew", nil); err != nil {
		return worker.Report{}, err
	}
	return l.Client.Renew(ctx, address, req)
}

// Report implements worker.Client.
func (l *link) Report(ctx context.Context, address string) (worker.Report, error) {
	if err := l.workersCut.Before(ctx, "report", nil); err != nil {
		return worker.Report{}, err
	}
	return l.Client.Report(ctx, address)
}

type discard struct{}

// Count implements the metrics of the parts.
func (discard) Count(string) {}

type noLoads struct{}

// Room implements scheduler.Loads.
func (noLoads) Room(string) (float64, bool) { return 0, false }

// start runs a daemon's parts.
func (b *bench) start(name string) *node {
	n := &node{b: b, name: name, link: &link{Store: b.store, Client: b.fleet}}
	now := func() time.Duration { return time.Since(b.started) }
	n.zone = replica.NewZone(n.link, zoneName,
		stream.FollowerOptions{Stream: replica.ZoneStream(environmentName, zoneName)}, stream.AppenderOptions{})
	n.control = replica.NewControl(n.link, environment.Parse,
		stream.FollowerOptions{Stream: replica.ControlStream(environmentName), Wait: 500 * time.Millisecond}, stream.AppenderOptions{})
	n.auth = authority.New(zoneName, n.zone, n.control, now)
	n.pool = executor.NewPool(executor.Config{
		Client: n.link, Journal: n.zone, Zone: n.zone, Authority: n.auth, Metrics: discard{}, Log: zerolog.Nop(), Now: now,
	})
	sched := scheduler.New(scheduler.Config{
		Zone: zoneName, State: n.zone, Control: n.control, Member: n.auth.Member, Loads: noLoads{}, Metrics: discard{},
		Log: zerolog.Nop(), Now: now, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	current := func() bool {
		asOf := n.zone.Follower.CurrentAsOf()
		return !asOf.IsZero() && time.Since(asOf) < 3*time.Second
	}
	owner := ownership.NewRunner(ownership.RunnerConfig{
		Name: name, PeerAddress: name + ":1", Zone: n.zone, Current: current, Now: now,
		SetMember: n.auth.SetMember, Confirm: n.auth.Confirm, Log: zerolog.Nop(),
	})
	ctx, stop := context.WithCancel(b.t.Context())
	n.stop = stop
	n.pool.SetListing(b.vms)
	n.zone.Follower.Subscribe(func(batch stream.Batch) {
		n.zone.View(n.auth.Observe)
		n.pool.Sync(ctx)
		for _, w := range b.workers {
			n.pool.Wake(w.ID())
		}
		sched.ApplyZone(batch)
	})
	n.control.Follower.Subscribe(sched.ApplyControl)
	for _, loop := range []func(context.Context){
		func(ctx context.Context) { _ = n.zone.Follower.Run(ctx) },
		func(ctx context.Context) { _ = n.zone.Appender.Run(ctx) },
		func(ctx context.Context) { _ = n.control.Follower.Run(ctx) },
		func(ctx context.Context) { _ = n.control.Appender.Run(ctx) },
		owner.Run, sched.Run,
	} {
		n.done.Go(func() { loop(ctx) })
	}
	return n
}

// kill ends a daemon without any farewell.
func (n *node) kill() {
	n.stop()
	n.pool.Stop()
	n.done.Wait()
}

// publish makes a document the configuration.
func (n *node) publish(text string) {
	n.b.t.Helper()
	base := int64(0)
	n.control.View(func(s *control.State) { base = s.Version() })
	ctx, cancel := context.WithTimeout(n.b.t.Context(), time.Minute)
	defer cancel()
	res, err := n.control.Submit(ctx, &record.Configure{Base: base, Document: []byte(text)})
	if err != nil || !res.Accepted {
		n.b.t.Fatalf("publish: %v %+v", err, res)
	}
}

// submit enters a batch job.
func (n *node) submit(id string, tasks int, payload string) {
	n.b.t.Helper()
	n.submitWith(record.PriorityBatch, id, tasks, payload)
}

func (n *node) submitWith(priority record.Priority, id string, tasks int, payload string) {
	n.b.t.Helper()
	ctx, cancel := context.WithTimeout(n.b.t.Context(), time.Minute)
	defer cancel()
	res, err := n.control.Submit(ctx, &record.Submit{Zone: zoneName, Job: record.JobSpec{
		ID: id, Team: "t", Class: "c", Priority: priority, Tasks: tasks, Payload: payload,
		Size: resource.Vector{Slots: 1, MilliCPU: 1000, MemoryMB: 100},
	}})
	if err != nil || !res.Accepted {
		n.b.t.Fatalf("submit: %v %+v", err, res)
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

// pair starts two daemons and a job of one task, and returns the worker that runs it and its owner first.
func (b *bench) pair(payload string) (workerID string, owner, other *node) {
	b.t.Helper()
	a, c := b.start("a"), b.start("c")
	a.publish(document)
	a.submit("job", 1, payload)
	workerID = b.running(a, "job")
	owner, other = byOwner(workerID, a, c)
	return workerID, owner, other
}

// byOwner returns the owner of a worker first.
func byOwner(workerID string, a, c *node) (owner, other *node) {
	if ownerOf(workerID, a, c) == c {
		return c, a
	}
	return a, c
}

// eventually advances simulated time until the condition holds.
func (b *bench) eventually(what string, within time.Duration, check func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(within)
	for !check() {
		if time.Now().After(deadline) {
			b.t.Fatalf("not reached within %s: %s", within, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// runsOf counts the executions of a task that began, on all workers.
func (b *bench) runsOf(job string) (n int) {
	for _, e := range b.fleet.History() {
		if e.Job == job {
			n++
		}
	}
	return n
}

// checkNoOverlap fails if a task ever ran in two places at once.
func (b *bench) checkNoOverlap() {
	b.t.Helper()
	for _, w := range b.workers {
		w.CatchUp()
	}
	if bad := workerfake.Overlaps(b.fleet.History()); len(bad) > 0 {
		b.t.Fatalf("tasks ran in two places: %v", bad)
	}
}

// inBubble runs a test with one zone in simulated time.
func inBubble(t *testing.T, workers int, f func(b *bench)) {
	synctest.Test(t, func(t *testing.T) { f(newBench(t, workers)) })
}
