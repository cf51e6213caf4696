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

// harness provides an agent with a zone state that applies posted records, and with one fake worker that counts calls.
type harness struct {
	worker.Client
	fake *fake.Worker

	mu    sync.Mutex // guards the fields below
	state *zone.State
	calls map[string]int
}

func (h *harness) countCall(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls[name]++
}

func (h *harness) callCount(name string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls[name]
}

func (h *harness) Count(string) {}

func (h *harness) Member() string                                { return "e1" }
func (h *harness) MayStart() bool                                { return true }
func (h *harness) RenewUntil(time.Duration) time.Duration        { return lease.WorkerLease }
func (h *harness) PreviousLeasesExpired(int, time.Duration) bool { return false }

func (h *harness) View(f func(*zone.State)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.state)
}

func (h *harness) Post(body record.Body) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Apply(h.state.Offset+1, record.New(uuid.New(), body))
}

func (h *harness) Report(ctx context.Context, _ string) (worker.Report, error) {
	return h.fake.Report(ctx)
}

func (h *harness) Renew(ctx context.Context, _ string, q worker.RenewRequest) (worker.Report, error) {
	h.countCall("renew")
	return h.fake.Renew(ctx, q)
}

func (h *harness) Start(ctx context.Context, _ string, q worker.StartRequest) error {
	h.countCall("start")
	return h.fake.Start(ctx, q)
}

func (h *harness) Stop(ctx context.Context, _ string, q worker.StopRequest) (worker.RunStatus, error) {
	h.countCall("stop")
	return h.fake.Stop(ctx, q)
}

func (h *harness) Ack(ctx context.Context, _ string, q worker.AckRequest) error {
	h.countCall("ack")
	return h.fake.Ack(ctx, q)
}

const workerID = "w1"

// runAgent runs check with the agent of a worker with twenty slots in a synctest bubble.
func runAgent(t *testing.T, check func(is *is.I, h *harness, p *Pool)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		size := resource.Vector{Slots: 20}
		h := &harness{state: zone.New("z"), calls: map[string]int{},
			fake: fake.New(fake.Options{ID: workerID, Capacity: size, Now: time.Now, ClockStartMs: 5000})}
		shard := zone.ShardOf(workerID)
		for _, b := range []record.Body{&record.Join{Member: "e1"}, &record.Claim{Shard: shard, Epoch: 1, Member: "e1"},
			&record.RegisterWorker{Owner: record.Owner{Member: "e1", Epoch: 1},
				Worker: record.WorkerInfo{ID: workerID, Address: "a", Capacity: size}},
			&record.Policy{Version: 1, InService: true}} {
			h.Post(b)
		}
		started := time.Now()
		p := NewPool(Config{Client: h, Journal: h, Zone: h, Authority: h, Metrics: h,
			Now: func() time.Duration { return time.Since(started) }})
		p.SetListing([]directory.VM{{ID: workerID, Role: directory.RoleWorker, Address: "a", State: directory.StateLive}})
		p.Sync(t.Context())
		defer p.Stop()
		synctest.Wait()
		check(is, h, p)
	})
}

// bind admits a job with one task, binds the task to the worker and wakes the agent.
func (h *harness) bind(p *Pool, n int, run string) {
	id := fmt.Sprint("j", n)
	h.Post(&record.Admit{Job: record.JobSpec{ID: id, Team: "t", Class: "c", Priority: record.PriorityBatch, Tasks: 1,
		Size: resource.Vector{Slots: 1}, Payload: "run=" + run}})
	h.Post(&record.Bind{Task: record.TaskID{Job: id}, Epoch: 1, Worker: workerID})
	p.Wake(workerID)
	synctest.Wait()
}

// Guards against a renewal with its report for every start, and against wake-ups that postpone the next renewal until
// the lease expires.
func TestStartsNeedNoRenewal(t *testing.T) {
	runAgent(t, func(is *is.I, h *harness, p *Pool) {
		is.Equal(h.callCount("renew"), 1)
		const starts = 18
		for i := range starts {
			h.bind(p, i, "1h")
			time.Sleep(time.Second)
		}
		is.Equal(h.callCount("start"), starts)
		is.Equal(h.callCount("renew"), 1+(starts-1)/5)
		is.Equal(h.callCount("stop"), 0)
	})
}

// Guards against the end of a run that is never recorded, and against an acknowledgement repeated on every wake-up.
func TestEndIsRecordedAtNextRenewal(t *testing.T) {
	runAgent(t, func(is *is.I, h *harness, p *Pool) {
		h.bind(p, 1, "1s")
		time.Sleep(lease.RenewInterval + time.Second)
		synctest.Wait()
		h.View(func(s *zone.State) { is.Equal(s.Task(record.TaskID{Job: "j1"}).Outcome, record.OutcomeSucceeded) })
		h.bind(p, 2, "1h")
		h.bind(p, 3, "1h")
		is.Equal(h.callCount("ack"), 1)
		is.Equal(h.callCount("start"), 3)
	})
}

// Guards against a stop that waits for the next renewal, or that is not followed by a new report.
func TestStopIsSentAtOnce(t *testing.T) {
	runAgent(t, func(is *is.I, h *harness, p *Pool) {
		h.bind(p, 1, "1h")
		run := record.Run{Task: record.TaskID{Job: "j1"}, Epoch: 1, Worker: workerID}
		h.Post(&record.Stop{Run: run, Reason: "test"})
		p.Wake(workerID)
		synctest.Wait()
		is.Equal(h.callCount("stop"), 1)
		time.Sleep(followUpDelay)
		synctest.Wait()
		h.View(func(s *zone.State) { is.Equal(s.Task(run.Task).Evictions, 1) })
	})
}

// Guards against agents that outlive the pool: the reader of the log may still call Sync while the pool is stopped.
func TestNoAgentsAfterStop(t *testing.T) {
	runAgent(t, func(is *is.I, _ *harness, p *Pool) {
		is.Equal(p.Size(), 1)
		p.Stop()
		p.Sync(t.Context())
		is.Equal(p.Size(), 0)
	})
}
