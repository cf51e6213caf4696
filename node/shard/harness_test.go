package shard_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/advisor"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/jobworker"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/ledger"
	"waxwingslip.example/node/shard"
	"waxwingslip.example/node/shardlease"
	"waxwingslip.example/node/telemetry"
)

const (
	service        = "pole"
	maxWorkerLease = 6 * time.Second
)

var registry = keyedlog.Partition{Topic: "keyed.servers"}

// cluster is a store, workers, and daemons that may own a shard each. Everything runs in simulated time.
type cluster struct {
	t             *testing.T
	store         *storefake.Store
	operatorStore keyedlog.Store
	fleet         *workerfake.Fleet
	startedAt     time.Time
	mu            sync.Mutex
	infos         map[string]jobworker.Info
	zonesOut      map[string]bool // zones out of service
	daemons       []*daemon
	shards        int
	longestLease  time.Duration  // that workers accept
	home          map[string]int // home shards of workers and jobs, 0 for others
	config        *jobqueue.Config
	// configHook replaces the function that returns the configuration.
	configHook func() *jobqueue.Config
	advisor    advisor.Advisor
}

// daemon takes part in the ownership of a shard.
type daemon struct {
	name         string
	number       int // of the shard
	leaseManager *shardlease.Manager
	cancel       context.CancelFunc
	done         sync.WaitGroup
	mu           sync.Mutex
	shard        *shard.Shard
	skew         time.Duration // added to the daemon's clock
}

// runCluster calls f with a cluster of daemons and of workers with 10 cores each, and reports violations that the
// workers observed.
func runCluster(t *testing.T, workers, daemons int, outcome func(jobs.TaskID, int64) workerfake.Outcome,
	f func(c *cluster, is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, store: storefake.New(), fleet: workerfake.NewFleet(outcome), startedAt: time.Now().Add(-time.Hour),
			shards: 1, longestLease: maxWorkerLease, home: map[string]int{}, infos: map[string]jobworker.Info{}, zonesOut: map[string]bool{},
			config: &jobqueue.Config{Version: 1, Queues: []jobqueue.Queue{{Name: "q", Service: service}},
				Services: map[string]jobqueue.Service{service: {Name: service}}},
		}
		c.operatorStore = c.store.As("operator")
		c.store.LimitSizes("operator")
		for i := range workers {
			c.addWorker(fmt.Sprintf("w%d", i))
		}
		for i := range daemons {
			c.addDaemon(fmt.Sprintf("d%d", i))
		}
		f(c, is.New(t))
		for _, d := range c.daemons {
			d.cancel()
		}
		c.store.SetFault(nil)
		c.fleet.SetFault(nil)
		for _, d := range c.daemons {
			d.done.Wait()
		}
		for _, v := range c.fleet.Violations() {
			t.Error(v)
		}
		time.Sleep(time.Minute) // lets the timers of leases expire
		synctest.Wait()
	})
}

func (c *cluster) now() time.Duration { return time.Since(c.startedAt) }

func (c *cluster) addWorker(id string) {
	c.addServiceWorker(id, service)
}

func (c *cluster) addServiceWorker(id, service string) {
	c.fleet.Add(c.addEntry(jobworker.Info{ID: id, Service: service}), c.longestLease)
}

// addWorkerOn adds a worker on a VM.
func (c *cluster) addWorkerOn(id, vm string) {
	info := jobworker.Info{ID: id, Service: service, VM: vm}
	c.fleet.Add(c.addEntry(info), maxWorkerLease)
}

// addEntryOn adds an entry to the registry that names a worker on a VM, although there is no such worker.
func (c *cluster) addEntryOn(id, vm string) {
	c.addEntry(jobworker.Info{ID: id, Service: service, VM: vm})
}

// addEntry completes a worker's entry and adds it to the registry.
func (c *cluster) addEntry(info jobworker.Info) jobworker.Info {
	info.Address, info.Zone = info.ID, "z"+info.ID[len(info.ID)-1:]
	info.Size = resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000}
	c.mu.Lock()
	c.infos[info.ID] = info
	c.mu.Unlock()
	c.register(info.ID, []byte("up"))
	return info
}

// changeEntry changes a worker's entry in the registry.
func (c *cluster) changeEntry(id string, change func(*jobworker.Info)) {
	c.mu.Lock()
	info := c.infos[id]
	change(&info)
	c.infos[id] = info
	c.mu.Unlock()
	c.register(id, []byte("up"))
}

func (c *cluster) currentConfig() *jobqueue.Config {
	c.mu.Lock()
	hook, config := c.configHook, c.config
	c.mu.Unlock()
	if hook != nil {
		return hook()
	}
	return config
}

// publish puts a configuration into force.
func (c *cluster) publish(config *jobqueue.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = config
}

// register writes a worker's registry entry, or deletes it if the value is nil.
func (c *cluster) register(id string, value []byte) {
	c.append(registry, keyedlog.Record{Key: id, Value: value})
}

func (c *cluster) append(p keyedlog.Partition, r keyedlog.Record) {
	if _, err := c.operatorStore.Append(context.Background(), keyedlog.Append{Partition: p, Records: []keyedlog.Record{r}}); err != nil {
		c.t.Errorf("append: %v", err)
	}
}

func (c *cluster) homeShard(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.home[id]
}

// lend forwards a request for workers to the owner of a shard.
func (c *cluster) lend(_ context.Context, number int, n shard.Need) (shard.Loan, error) {
	c.mu.Lock()
	daemons := slices.Clone(c.daemons)
	c.mu.Unlock()
	for _, d := range daemons {
		if s := d.ownedShard(); d.number == number && s != nil && s.Loaded() {
			return s.Lend(n)
		}
	}
	return shard.Loan{}, shard.ErrStale
}

// jobState returns the state of a job by the owner of a shard.
func (c *cluster) jobState(ctx context.Context, number int, id string) (jobs.State, error) {
	c.mu.Lock()
	daemons := slices.Clone(c.daemons)
	c.mu.Unlock()
	for _, d := range daemons {
		if s := d.ownedShard(); d.number == number && s != nil && s.Loaded() {
			return s.State(ctx, id)
		}
	}
	return jobs.StateUnknown, shard.ErrStale
}

func (c *cluster) addDaemon(name string) *daemon { return c.addOwner(name, 0) }

// addOwner adds a daemon that takes part in the ownership of a shard.
func (c *cluster) addOwner(name string, number int) *daemon {
	d := &daemon{name: name, number: number}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	now := func() time.Duration {
		d.mu.Lock()
		defer d.mu.Unlock()
		return c.now() + d.skew
	}
	deps := &shard.Dependencies{
		Store: ledger.NewTimedStore(c.store.As(name)), Workers: c.fleet, Advisor: clusterAdvisor{c}, Config: c.currentConfig,
		ZoneOutOfService: func(zone string) bool { c.mu.Lock(); defer c.mu.Unlock(); return c.zonesOut[zone] },
		Region:           func(string) string { return "r" },
		DecodeWorker: func(id string, value []byte) (jobworker.Info, error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			info := c.infos[id]
			info.Draining = string(value) != "up"
			if string(value) == "draining slowly" {
				info.LeavesIn = 10 * time.Second
			}
			return info, nil
		},
		Registry: registry, Shards: func() int { return c.shards }, HomeShard: c.homeShard, Lend: c.lend, JobState: c.jobState,
		Limits: shard.Limits{MaxWorkerLease: maxWorkerLease, LongestWorkerLease: c.longestLease, EndedRetention: 2 * time.Minute,
			MaxObjectiveMiss: 4 * time.Second},
		Now: now, WallTime: time.Now, Log: zerolog.New(zerolog.NewTestWriter(c.t)).With().Str("vm", name).Logger(),
		Counters: shard.NewCounters(telemetry.New(time.Now)),
	}
	index := len(c.daemons)
	d.leaseManager = shardlease.New(shardlease.Options{
		Store: deps.Store, Shard: number, Self: shardlease.Owner{Name: name, Address: name, Lifetime: time.Now().UnixNano() + int64(index)},
		Now: now, Log: deps.Log, Preference: func() int { return index },
		Lead: func(ctx context.Context, ownership *shardlease.Ownership) {
			leases := shard.EarlierLeases{ByWorker: ownership.LeasesUntil}
			if ownership.PreviousRenewalsUntil > 0 {
				leases.All = ownership.PreviousRenewalsUntil + maxWorkerLease*102/100
			}
			leases.All = max(leases.All, ownership.OtherLeasesUntil)
			s := shard.New(deps, number, ownership.Epoch, ownership, leases)
			d.setShard(s)
			s.Run(ctx)
			ownership.SetReleasedLeases(s.LeaseExpiry())
			d.setShard(nil)
		},
	})
	d.done.Go(func() { d.leaseManager.Run(ctx) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons = append(c.daemons, d)
	return d
}

func (d *daemon) setShard(s *shard.Shard) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shard = s
}

func (d *daemon) ownedShard() *shard.Shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shard
}

// owner waits for a daemon to own and load the shard and returns it.
func (c *cluster) owner() *daemon {
	c.t.Helper()
	for range 600 {
		for _, d := range c.daemons {
			if s := d.ownedShard(); s != nil && s.Loaded() {
				return d
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatal("no daemon owns the shard after a minute")
	return nil
}

// submit stores a job whose steps run one after the other, with tasks of one core.
func (c *cluster) submit(id string, step jobs.Step, counts ...int) *jobs.Spec {
	spec := &jobs.Spec{ID: id, Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 1000,
		AcceptedMs: time.Now().UnixMilli()}
	step.Size = resource.Vector{MilliCPU: 1000, MemoryMB: 1000}
	for i, n := range counts {
		step.Count = n
		step.After = nil
		if i > 0 {
			step.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	c.accept(spec)
	return spec
}

// accept stores a job of shard 0.
func (c *cluster) accept(spec *jobs.Spec) { c.acceptIn(0, spec) }

// acceptIn stores a job of a shard.
func (c *cluster) acceptIn(number int, spec *jobs.Spec) {
	c.mu.Lock()
	c.home[spec.ID] = number
	c.mu.Unlock()
	value, err := cbor.Marshal(spec)
	if err != nil {
		c.t.Fatal(err)
	}
	c.append(keyedlog.Partition{Topic: shard.JobsTopic, Number: number}, shard.AcceptRecord(spec.ID, value))
}

func (c *cluster) cancel(id string) { c.cancelIn(0, id) }

func (c *cluster) cancelIn(number int, id string) {
	c.append(keyedlog.Partition{Topic: shard.JobsTopic, Number: number}, shard.CancelRecord(id))
}

// state returns the state of a job by the owner, whichever daemon that is.
func (c *cluster) state(id string) jobs.State {
	for _, d := range c.daemons {
		if s := d.ownedShard(); s != nil && s.Loaded() {
			if state, err := s.State(context.Background(), id); err == nil && state != jobs.StateUnknown {
				return state
			}
		}
	}
	return jobs.StateUnknown
}

// waitForState waits until a job has a state.
func (c *cluster) waitForState(id string, want jobs.State, limit time.Duration) {
	c.t.Helper()
	c.waitUntil(fmt.Sprintf("job %s is %v", id, want), limit, func() bool { return c.state(id) == want })
}

func (c *cluster) waitUntil(what string, limit time.Duration, f func() bool) {
	c.t.Helper()
	for startedAt := time.Now(); time.Since(startedAt) < limit; time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	c.t.Fatalf("condition not met after %v: %s", limit, what)
}

// endlessTask is the outcome of tasks that run until they are stopped.
func endlessTask(jobs.TaskID, int64) workerfake.Outcome {
	return workerfake.Outcome{UntilStopped: true, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}
}

// highTailTask is the outcome of endless tasks: those of the job "serve" have a tail latency of 60 ms, all others use a
// core.
func highTailTask(id jobs.TaskID, _ int64) workerfake.Outcome {
	o := endlessTask(id, 0)
	o.Measurement = 1000
	if id.Job == "serve" {
		o.Measurement = 60
	}
	return o
}

// loadDependentTail is the outcome of endless tasks: those of the job "serve" have a tail latency of 8 ms, or of 60 ms
// beside others that use more than 300 millicores; all others use a core.
func loadDependentTail(id jobs.TaskID, _ int64) workerfake.Outcome {
	o := endlessTask(id, 0)
	o.Measurement, o.Paced = 1000, id.Job != "serve"
	if id.Job == "serve" {
		o.Tail = func(millicores int64) int64 {
			if millicores > 300 {
				return 60
			}
			return 8
		}
	}
	return o
}

// oneSecondTask is the outcome of tasks that take a second.
func oneSecondTask(jobs.TaskID, int64) workerfake.Outcome {
	return workerfake.Outcome{Duration: time.Second, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}
}

func task(job string, index int) string { return jobs.TaskID{Job: job, Index: index}.String() }

// clusterAdvisor forwards calls to the advisor that a test sets.
type clusterAdvisor struct{ c *cluster }

func (a clusterAdvisor) Advise(ctx context.Context, step string, workers []string) (advisor.Response, error) {
	return a.c.advisor.Advise(ctx, step, workers)
}

// acceptSteps stores a job of the given steps, which do not depend on each other.
func (c *cluster) acceptSteps(id string, steps ...jobs.Step) {
	c.accept(&jobs.Spec{ID: id, Queue: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMs: 1000,
		AcceptedMs: time.Now().UnixMilli(), Steps: steps})
}

// setAppendsRefused makes the store refuse the appends of all daemons to the topic of progress, or take them again.
func (c *cluster) setAppendsRefused(refused bool) {
	c.store.SetFault(func(caller, method string, p keyedlog.Partition) storefake.Fault {
		return storefake.Fault{Refuse: refused && caller != "operator" && method == "append" && p.Topic == shard.ProgressTopic}
	})
}
