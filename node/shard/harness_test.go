package shard_test

import (
	"context"
	"fmt"
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
	"waxwingslip.example/node/shard"
	"waxwingslip.example/node/shardlease"
	"waxwingslip.example/node/telemetry"
)

const (
	service = "pole"
	holdMax = 6 * time.Second
)

var registry = keyedlog.Partition{Topic: "keyed.servers"}

// world is a store, workers, and daemons that may own the one shard. Everything runs in simulated time.
type world struct {
	t       *testing.T
	store   *storefake.Store
	admin   keyedlog.Store
	fleet   *workerfake.Fleet
	begun   time.Time
	mu      sync.Mutex
	infos   map[string]jobworker.Info
	out     map[string]bool // zones out of service
	members []*member
	config  *jobqueue.Config
	advisor advisor.Advisor
}

// member is a daemon.
type member struct {
	name   string
	keeper *shardlease.Keeper
	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	shard  *shard.Shard
	skew   time.Duration // added to the member's clock
}

// run calls f in a world with workers of 10 cores and members.
func run(t *testing.T, workers, members int, outcome func(jobs.TaskID, int64) workerfake.Outcome, f func(w *world, is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, store: storefake.New(), fleet: workerfake.NewFleet(outcome), begun: time.Now().Add(-time.Hour),
			infos: map[string]jobworker.Info{}, out: map[string]bool{},
			config: &jobqueue.Config{Version: 1, Queues: []jobqueue.Queue{{Name: "q", Service: service}},
				Services: map[string]jobqueue.Service{service: {Name: service}}},
		}
		w.admin = w.store.As("operator")
		for i := range workers {
			w.addWorker(fmt.Sprintf("w%d", i))
		}
		for i := range members {
			w.addMember(fmt.Sprintf("d%d", i))
		}
		f(w, is.New(t))
		for _, m := range w.members {
			m.cancel()
		}
		w.store.SetFault(nil)
		w.fleet.SetFault(nil)
		for _, m := range w.members {
			m.done.Wait()
		}
		for _, v := range w.fleet.Violations() {
			t.Error(v)
		}
		time.Sleep(time.Minute) // timers of leases end
		synctest.Wait()
	})
}

func (w *world) now() time.Duration { return time.Since(w.begun) }

func (w *world) addWorker(id string) {
	w.addWorkerOf(id, service)
}

func (w *world) addWorkerOf(id, service string) {
	info := jobworker.Info{ID: id, Service: service, Address: id, Zone: "z" + id[len(id)-1:],
		Size: resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000}}
	w.mu.Lock()
	w.infos[id] = info
	w.mu.Unlock()
	w.fleet.Add(info, holdMax)
	w.register(id, []byte("up"))
}

func (w *world) newestConfig() *jobqueue.Config {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config
}

// publish puts a configuration in force.
func (w *world) publish(c *jobqueue.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config = c
}

// register writes or, with nil, drops a worker's entry.
func (w *world) register(id string, value []byte) {
	w.append(registry, keyedlog.Record{Key: id, Value: value})
}

func (w *world) append(p keyedlog.Partition, r keyedlog.Record) {
	if _, err := w.admin.Append(context.Background(), keyedlog.Append{Partition: p, Records: []keyedlog.Record{r}}); err != nil {
		w.t.Errorf("append: %v", err)
	}
}

func (w *world) addMember(name string) *member {
	m := &member{name: name}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	now := func() time.Duration {
		m.mu.Lock()
		defer m.mu.Unlock()
		return w.now() + m.skew
	}
	env := &shard.Environment{
		Store: w.store.As(name), Workers: w.fleet, Advisor: advice{w}, Config: w.newestConfig,
		Evacuated: func(zone string) bool { w.mu.Lock(); defer w.mu.Unlock(); return w.out[zone] },
		Region:    func(string) string { return "r" },
		DecodeWorker: func(id string, value []byte) (jobworker.Info, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			info := w.infos[id]
			info.Draining = string(value) != "up"
			if string(value) == "draining slowly" {
				info.LeavesIn = 10 * time.Second
			}
			return info, nil
		},
		Registry: registry, Assigned: func(int, jobworker.Info) bool { return true },
		Bounds: shard.Bounds{HoldMax: holdMax, KeepEnded: 2 * time.Minute, HarmAfter: 4 * time.Second},
		Now:    now, Wall: time.Now, Log: zerolog.New(zerolog.NewTestWriter(w.t)).With().Str("vm", name).Logger(),
		Counters: shard.NewCounters(telemetry.New(time.Now)),
	}
	index := len(w.members)
	m.keeper = shardlease.New(shardlease.Options{
		Store: env.Store, Self: shardlease.Owner{Name: name, Address: name, Lifetime: time.Now().UnixNano() + int64(index)},
		Now: now, Log: env.Log, Preference: func() int { return index },
		Lead: func(ctx context.Context, held *shardlease.Held) {
			lapse := time.Duration(0)
			if held.PreviousHeld > 0 {
				lapse = held.PreviousHeld + holdMax*102/100
			}
			s := shard.New(env, 0, held.Epoch, held, lapse)
			m.set(s)
			s.Run(ctx)
			m.set(nil)
		},
	})
	m.done.Go(func() { m.keeper.Run(ctx) })
	w.members = append(w.members, m)
	return m
}

func (m *member) set(s *shard.Shard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shard = s
}

func (m *member) owned() *shard.Shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shard
}

// owner returns the member that leads, after waiting for one.
func (w *world) owner() *member {
	w.t.Helper()
	for range 600 {
		for _, m := range w.members {
			if s := m.owned(); s != nil && s.Loaded() {
				return m
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatal("no member owns the shard after a minute")
	return nil
}

// submit stores a job of steps that wait for each other, with tasks of one core.
func (w *world) submit(id string, step jobs.Step, counts ...int) *jobs.Spec {
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
	w.accept(spec)
	return spec
}

// accept stores a job.
func (w *world) accept(spec *jobs.Spec) {
	value, err := cbor.Marshal(spec)
	if err != nil {
		w.t.Fatal(err)
	}
	w.append(keyedlog.Partition{Topic: shard.JobsTopic}, shard.AcceptRecord(spec.ID, value))
}

func (w *world) cancel(id string) {
	w.append(keyedlog.Partition{Topic: shard.JobsTopic}, shard.CancelRecord(id))
}

// state asks the owner, whoever that is.
func (w *world) state(id string) jobs.State {
	for _, m := range w.members {
		if s := m.owned(); s != nil && s.Loaded() {
			if state, err := s.State(context.Background(), id); err == nil {
				return state
			}
		}
	}
	return jobs.StateUnknown
}

// await waits until a job has a state.
func (w *world) await(id string, want jobs.State, limit time.Duration) {
	w.t.Helper()
	w.awaitThat(fmt.Sprintf("job %s is %v", id, want), limit, func() bool { return w.state(id) == want })
}

func (w *world) awaitThat(what string, limit time.Duration, f func() bool) {
	w.t.Helper()
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	w.t.Fatalf("not so after %v: %s", limit, what)
}

// lasting is the outcome of tasks that run until they are stopped.
func lasting(jobs.TaskID, int64) workerfake.Outcome {
	return workerfake.Outcome{Forever: true, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}
}

// disturbed is the outcome of lasting tasks: those of the job "serve" have a tail of 60 ms, all others use a core.
func disturbed(id jobs.TaskID, _ int64) workerfake.Outcome {
	o := lasting(id, 0)
	o.Figure = 1000
	if id.Job == "serve" {
		o.Figure = 60
	}
	return o
}

// pressed is the outcome of lasting tasks: those of the job "serve" have a tail of 8 ms, of 60 ms beside others that use a
// third of a core or more; all others use a core.
func pressed(id jobs.TaskID, _ int64) workerfake.Outcome {
	o := lasting(id, 0)
	o.Figure, o.Paced = 1000, id.Job != "serve"
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

// brief is the outcome of tasks that take a second.
func brief(jobs.TaskID, int64) workerfake.Outcome {
	return workerfake.Outcome{Duration: time.Second, Size: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}
}

func task(job string, index int) string { return jobs.TaskID{Job: job, Index: index}.String() }

// advice passes calls on to the advisor that a test sets.
type advice struct{ w *world }

func (a advice) Advise(ctx context.Context, step string, workers []string) (advisor.Answer, error) {
	return a.w.advisor.Advise(ctx, step, workers)
}
