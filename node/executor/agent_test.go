package executor

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"waxwingslip.example/core/lease"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/worker"
	"waxwingslip.example/external/worker/fake"
)

// rig is an agent's surroundings: a zone state that applies what is posted, and one worker that counts calls.
type rig struct {
	worker.Client
	fake *fake.Worker

	mu    sync.Mutex // guards the fields below
	state *zone.State
	calls map[string]int
}

func (r *rig) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[name]++
}

func (r *rig) of(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[name]
}

func (r *rig) Count(string) {}

func (r *rig) Member() string                              { return "e1" }
func (r *rig) MayStart() bool                              { return true }
func (r *rig) RenewUntil(time.Duration) time.Duration      { return lease.WorkerLease }
func (r *rig) PreviousOwnerLapsed(int, time.Duration) bool { return false }

func (r *rig) View(f func(*zone.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
}

func (r *rig) Post(body record.Body) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Apply(r.state.Offset+1, record.New(uuid.New(), body))
}

func (r *rig) Report(ctx context.Context, _ string) (worker.Report, error) { return r.fake.Report(ctx) }

func (r *rig) Renew(ctx context.Context, _ string, q worker.RenewRequest) (worker.Report, error) {
	r.count("renew")
	return r.fake.Renew(ctx, q)
}

func (r *rig) Start(ctx context.Context, _ string, q worker.StartRequest) error {
	r.count("start")
	return r.fake.Start(ctx, q)
}

func (r *rig) Stop(ctx context.Context, _ string, q worker.StopRequest) (worker.RunStatus, error) {
	r.count("stop")
	return r.fake.Stop(ctx, q)
}

func (r *rig) Ack(ctx context.Context, _ string, q worker.AckRequest) error {
	r.count("ack")
	return r.fake.Ack(ctx, q)
}

const workerID = "w1"

// runAgent runs an agent of a worker with twenty slots, then check, within a bubble.
func runAgent(t *testing.T, check func(is *is.I, r *rig, p *Pool)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		size := resource.Vector{Slots: 20}
		r := &rig{state: zone.New("z"), calls: map[string]int{},
			fake: fake.New(fake.Options{ID: workerID, Capacity: size, Now: time.Now, ClockStartMs: 5000})}
		shard := zone.ShardOf(workerID)
		for _, b := range []record.Body{&record.Join{Member: "e1"}, &record.Claim{Shard: shard, Epoch: 1, Member: "e1"},
			&record.RegisterWorker{Owner: record.Owner{Member: "e1", Epoch: 1}, Worker: record.WorkerInfo{ID: workerID, Address: "a", Capacity: size}},
			&record.Policy{Version: 1, InService: true}} {
			r.Post(b)
		}
		started := time.Now()
		p := NewPool(Config{Client: r, Journal: r, Zone: r, Authority: r, Metrics: r, Now: func() time.Duration { return time.Since(started) }})
		p.SetListing([]directory.VM{{ID: workerID, Role: directory.RoleWorker, Address: "a", State: directory.StateLive}})
		p.Sync(t.Context())
		defer p.Stop()
		synctest.Wait()
		check(is, r, p)
	})
}

// bind binds a new task of a job of its own to the worker and wakes the agent.
func (r *rig) bind(p *Pool, n int, run string) {
	id := fmt.Sprint("j", n)
	r.Post(&record.Admit{Job: record.JobSpec{ID: id, Team: "t", Class: "c", Priority: record.PriorityBatch, Tasks: 1,
		Size: resource.Vector{Slots: 1}, Payload: "run=" + run}})
	r.Post(&record.Bind{Task: record.TaskID{Job: id}, Epoch: 1, Worker: workerID})
	p.Wake(workerID)
	synctest.Wait()
}

// Guards against a renewal with its report for every start, and against wake-ups that put off the next renewal until
// the lease lapses.
func TestStartsNeedNoRenewal(t *testing.T) {
	runAgent(t, func(is *is.I, r *rig, p *Pool) {
		is.Equal(r.of("renew"), 1)
		const starts = 18
		for i := range starts {
			r.bind(p, i, "1h")
			time.Sleep(time.Second)
		}
		is.Equal(r.of("start"), starts)
		is.Equal(r.of("renew"), 1+(starts-1)/5)
		is.Equal(r.of("stop"), 0)
	})
}

// Guards against an end that is never seen, and against an acknowledgement that is repeated with every wake-up.
func TestEndIsSeenAtTheNextRenewal(t *testing.T) {
	runAgent(t, func(is *is.I, r *rig, p *Pool) {
		r.bind(p, 1, "1s")
		time.Sleep(lease.RenewInterval + time.Second)
		synctest.Wait()
		r.View(func(s *zone.State) { is.Equal(s.Task(record.TaskID{Job: "j1"}).Outcome, record.OutcomeSucceeded) })
		r.bind(p, 2, "1h")
		r.bind(p, 3, "1h")
		is.Equal(r.of("ack"), 1)
		is.Equal(r.of("start"), 3)
	})
}

// Guards against a stop that waits for the next renewal, or whose effect is not read afterwards.
func TestStopIsSentAtOnce(t *testing.T) {
	runAgent(t, func(is *is.I, r *rig, p *Pool) {
		r.bind(p, 1, "1h")
		run := record.Run{Task: record.TaskID{Job: "j1"}, Epoch: 1, Worker: workerID}
		r.Post(&record.Stop{Run: run, Reason: "test"})
		p.Wake(workerID)
		synctest.Wait()
		is.Equal(r.of("stop"), 1)
		time.Sleep(followUp)
		synctest.Wait()
		r.View(func(s *zone.State) { is.Equal(s.Task(run.Task).Evictions, 1) })
	})
}

// Guards against agents that nobody waits for: the reader of the log may still call Sync while the pool is stopped.
func TestNoAgentsAfterStop(t *testing.T) {
	runAgent(t, func(is *is.I, _ *rig, p *Pool) {
		is.Equal(p.Size(), 1)
		p.Stop()
		p.Sync(t.Context())
		is.Equal(p.Size(), 0)
	})
}
