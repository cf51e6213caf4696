package contention

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/core/verdict"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/worker"
	"waxwingslip.example/node/gateway"
	"waxwingslip.example/node/stream"
)

var owner = record.Owner{Member: "m", Epoch: 1}

// vm is one worker "w" of member "m" with a replica of service "s" and, once it is bound, a batch run. Its clock stands
// still between steps.
type vm struct {
	t       *testing.T
	state   *zone.State
	doc     *environment.Document
	now     time.Time
	manager *Manager
	// throttles holds the limits set on the batch run, posted the records.
	throttles []int64
	posted    []record.Body
}

func (v *vm) View(f func(*zone.State)) { f(v.state) }
func (v *vm) Throttle(_ string, _ worker.RunKey, limit int64) {
	v.throttles = append(v.throttles, limit)
}
func (*vm) Count(string) {}

func (v *vm) Post(b record.Body) {
	v.posted = append(v.posted, b)
	v.must(b)
}

func (v *vm) must(b record.Body) {
	v.t.Helper()
	if verdict := v.state.Apply(v.state.Offset+1, record.New(uuid.New(), b)); !verdict.Accepted {
		v.t.Fatalf("%T %+v: %s", b, b, verdict.Reason)
	}
}

func newVM(t *testing.T, guards environment.Guards) *vm {
	v := &vm{t: t, state: zone.New("a"), now: time.Unix(1_000_000, 0), doc: &environment.Document{
		Services: []environment.Service{{Name: "s", Class: "web", LatencyTargetMs: 50}}, Guards: guards,
	}}
	v.must(&record.Join{Member: "m"})
	for i := range zone.Shards {
		v.must(&record.Claim{Shard: i, Epoch: 1, Member: "m"})
	}
	v.must(&record.Policy{Version: 1, InService: true})
	v.must(&record.RegisterWorker{Owner: owner, Worker: record.WorkerInfo{ID: "w", Capacity: resource.Vector{Slots: 8, MilliCPU: 1000}}})
	v.bind(record.JobSpec{ID: record.ServiceJobID("s"), Class: "web", Service: "s", Tasks: 1, Size: resource.Vector{Slots: 1}})
	v.manager = New(Config{
		Zone: v, Document: func() *environment.Document { return v.doc }, Throttler: v, Member: func() string { return "m" },
		Metrics: v, Log: zerolog.Nop(), Now: func() time.Time { return v.now },
	})
	return v
}

func (v *vm) bind(spec record.JobSpec) {
	v.must(&record.Admit{Job: spec})
	v.must(&record.Bind{Task: record.TaskID{Job: spec.ID}, Epoch: 1, Worker: "w"})
}

// interval reports the runs, sends 100 requests with the given times and ends the interval.
func (v *vm) interval(split gateway.Split, stallPermille int64) {
	limit := int64(0)
	if n := len(v.throttles); n > 0 {
		limit = v.throttles[n-1]
	}
	r := worker.Report{Worker: "w", Capacity: resource.Vector{MilliCPU: 1000}}
	for id, t := range v.state.Workers["w"].Tasks {
		rs := worker.RunStatus{RunKey: worker.RunKey{Job: id.Job, Index: id.Index, Epoch: t.Epoch}, State: worker.RunRunning}
		if t.Job.IsService() {
			rs.StallPermille = stallPermille
		} else {
			rs.Usage, rs.ThrottlePercent = resource.Vector{MilliCPU: 500}, limit
		}
		r.Runs = append(r.Runs, rs)
	}
	v.manager.Report(r)
	for range 100 {
		v.manager.Observe(gateway.Observation{
			Service: "s", Endpoint: gateway.Endpoint{Worker: "w", Run: "service/s/0/1"}, Outcome: gateway.OutcomeAnswered, Split: split,
		})
	}
	v.now = v.now.Add(interval)
	v.manager.Step()
}

func endpointTime(ms int) gateway.Split {
	return gateway.Split{Endpoint: time.Duration(ms) * time.Millisecond}
}

// learnAlone lets the manager see the service without neighbours, and then binds a batch task next to it.
func (v *vm) learnAlone() {
	for range 20 {
		v.interval(endpointTime(10), 0)
	}
	v.bind(record.JobSpec{ID: "noisy", Class: "batch", Priority: record.PriorityBatch, Tasks: 1, Size: resource.Vector{Slots: 1}})
}

// slowedBy returns the time of the service next to a batch run with a limit in percent: throttling helps, but not enough.
func (v *vm) slowedBy() gateway.Split {
	if v.state.Task(record.TaskID{Job: "noisy"}).State != zone.TaskBound {
		return endpointTime(10)
	}
	ms := 120
	if n := len(v.throttles); n > 0 {
		ms = map[int64]int{100: 120, 50: 95, 25: 70}[v.throttles[n-1]]
	}
	return endpointTime(ms)
}

// Guards against a service that stays above its target next to the batch run that causes it, against a move before
// throttling was tried, and against more actions after the cause is gone.
func TestGuardMovesNoisyNeighbour(t *testing.T) {
	is := is.New(t)
	v := newVM(t, environment.Guards{Enabled: true, EvictionsPerMinute: 2})
	v.learnAlone()
	is.Equal(len(v.throttles)+len(v.posted), 0)
	noisy := v.state.Task(record.TaskID{Job: "noisy"})
	for range 60 {
		v.interval(v.slowedBy(), 500)
		if noisy.StopWanted() {
			got, ok := v.manager.Verdict("s")
			is.True(ok && got.Cause == verdict.Neighbours)
			v.must(&record.Evict{Owner: owner, Run: noisy.Run()})
		}
	}
	is.Equal(v.throttles, []int64{50, 25})
	is.Equal(len(v.posted), 1)
	stop, ok := v.posted[0].(*record.Stop)
	is.True(ok)
	is.Equal(stop.Run, record.Run{Task: record.TaskID{Job: "noisy"}, Epoch: 1, Worker: "w"})
}

// Guards against touching batch work that operators did not allow to be touched, or that is not the cause.
func TestGuardLeavesBatchAlone(t *testing.T) {
	slow := func(v *vm) gateway.Split { return v.slowedBy() }
	network := func(*vm) gateway.Split {
		return gateway.Split{Network: 200 * time.Millisecond, Endpoint: 10 * time.Millisecond}
	}
	on := environment.Guards{Enabled: true, EvictionsPerMinute: 2}
	for _, c := range []struct {
		name   string
		guards environment.Guards
		split  func(*vm) gateway.Split
		stall  int64
	}{
		{"guards are disabled", environment.Guards{EvictionsPerMinute: 2}, slow, 500},
		{"network is slow", on, network, 0},
		{"service meets its target", on, func(*vm) gateway.Split { return endpointTime(45) }, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := newVM(t, c.guards)
			v.learnAlone()
			for range 60 {
				v.interval(c.split(v), c.stall)
			}
			is.Equal(len(v.throttles), 0)
			is.Equal(len(v.posted), 0)
		})
	}
}

// ended tells the manager that the log shows the end of a run of a job on the worker.
func (v *vm) ended(by record.Owner, job string, outcome record.Outcome) {
	v.manager.ApplyZone(stream.Batch{Applied: []stream.Applied{{
		Record: record.New(uuid.New(), &record.End{
			Owner: by, Run: record.Run{Task: record.TaskID{Job: job}, Epoch: 1, Worker: "w"}, Outcome: outcome, Reason: "exit 1",
		}),
		Verdict: stream.Verdict{Accepted: true},
	}}})
}

func (v *vm) later(d time.Duration) record.WorkerState {
	v.now = v.now.Add(d)
	v.manager.Step()
	return v.state.Workers["w"].State
}

// Guards against a worker that fails everything and goes on getting tasks, one that never returns, and one that is
// trusted again before it has run anything.
func TestQuarantineAndItsEnd(t *testing.T) {
	is := is.New(t)
	v := newVM(t, environment.Guards{})
	fail := func(jobs ...string) {
		for _, job := range jobs {
			v.ended(owner, job, record.OutcomeFailed)
		}
	}
	fail("j1", "j2")
	is.Equal(v.later(0), record.WorkerUsable)
	fail("j3")
	is.Equal(v.later(0), record.WorkerQuarantined)
	is.Equal(v.later(5*time.Minute-time.Second), record.WorkerQuarantined)
	is.Equal(v.later(time.Second), record.WorkerUsable)
	is.True(v.manager.Probing("w"))

	fail("j4") // on probation one failure is enough, and the quarantine lasts twice as long
	is.Equal(v.later(10*time.Minute-time.Second), record.WorkerQuarantined)
	is.Equal(v.later(time.Second), record.WorkerUsable)
	for _, job := range []string{"j5", "j6"} {
		is.True(v.manager.Probing("w"))
		v.ended(owner, job, record.OutcomeSucceeded)
	}
	is.True(!v.manager.Probing("w"))
	is.Equal(len(v.posted), 4)
}

// Guards against a quarantine for failures that do not point to the worker, or that another owner counts.
func TestNoQuarantine(t *testing.T) {
	for name, each := range map[string]func(v *vm, i int){
		"one job fails": func(v *vm, _ int) { v.ended(owner, "j", record.OutcomeFailed) },
		"jobs succeed":  func(v *vm, i int) { v.ended(owner, strconv.Itoa(i), record.OutcomeSucceeded) },
		"another owner": func(v *vm, i int) {
			v.ended(record.Owner{Member: "n", Epoch: 1}, strconv.Itoa(i), record.OutcomeFailed)
		},
		"failures are seldom": func(v *vm, i int) {
			v.ended(owner, strconv.Itoa(i), record.OutcomeFailed)
			v.later(6 * time.Minute)
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := newVM(t, environment.Guards{})
			for i := range 10 {
				each(v, i)
			}
			is.New(t).Equal(len(v.posted), 0)
		})
	}
}
