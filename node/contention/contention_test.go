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

// testVM is one worker "w" of member "m" with a replica of service "s" and, once it is bound, a batch run. Its clock
// advances only between intervals.
type testVM struct {
	t       *testing.T
	state   *zone.State
	doc     *environment.Document
	now     time.Time
	manager *Manager
	// throttles holds the limits set on the batch run, posted the records posted by the manager.
	throttles []int64
	posted    []record.Body
}

func (v *testVM) View(f func(*zone.State)) { f(v.state) }
func (v *testVM) Throttle(_ string, _ worker.RunKey, limit int64) {
	v.throttles = append(v.throttles, limit)
}
func (*testVM) Count(string) {}

func (v *testVM) Post(b record.Body) {
	v.posted = append(v.posted, b)
	v.mustApply(b)
}

func (v *testVM) mustApply(b record.Body) {
	v.t.Helper()
	if verdict := v.state.Apply(v.state.Offset+1, record.New(uuid.New(), b)); !verdict.Accepted {
		v.t.Fatalf("%T %+v: %s", b, b, verdict.Reason)
	}
}

func newTestVM(t *testing.T, guards environment.Guards) *testVM {
	v := &testVM{t: t, state: zone.New("a"), now: time.Unix(1_000_000, 0), doc: &environment.Document{
		Services: []environment.Service{{Name: "s", Class: "web", LatencyTargetMs: 50}}, Guards: guards,
	}}
	v.mustApply(&record.Join{Member: "m"})
	for i := range zone.ShardCount {
		v.mustApply(&record.Claim{Shard: i, Epoch: 1, Member: "m"})
	}
	v.mustApply(&record.Policy{Version: 1, InService: true})
	v.mustApply(&record.RegisterWorker{Owner: owner, Worker: record.WorkerInfo{
		ID: "w", Capacity: resource.Vector{Slots: 8, MilliCPU: 1000},
	}})
	v.bind(record.JobSpec{
		ID: record.ServiceJobID("s"), Class: "web", Service: "s", Tasks: 1, Size: resource.Vector{Slots: 1},
	})
	v.manager = New(Config{
		Zone: v, Document: func() *environment.Document { return v.doc }, Throttler: v, Member: func() string { return "m" },
		Metrics: v, Log: zerolog.Nop(), Now: func() time.Time { return v.now },
	})
	return v
}

func (v *testVM) bind(spec record.JobSpec) {
	v.mustApply(&record.Admit{Job: spec})
	v.mustApply(&record.Bind{Task: record.TaskID{Job: spec.ID}, Epoch: 1, Worker: "w"})
}

// runInterval reports the runs, sends 100 requests with the given times and ends the interval.
func (v *testVM) runInterval(breakdown gateway.TimeBreakdown, stallPermille int64) {
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
	v.manager.AddReport(r)
	for range 100 {
		v.manager.Observe(gateway.Observation{
			Service: "s", Endpoint: gateway.Endpoint{Worker: "w", Run: "service/s/0/1"},
			Outcome: gateway.OutcomeAnswered, TimeBreakdown: breakdown,
		})
	}
	v.now = v.now.Add(stepInterval)
	v.manager.Step()
}

func endpointTime(ms int) gateway.TimeBreakdown {
	return gateway.TimeBreakdown{Endpoint: time.Duration(ms) * time.Millisecond}
}

// learnBaseline runs the service without neighbours and then binds a batch task to the same worker.
func (v *testVM) learnBaseline() {
	for range 20 {
		v.runInterval(endpointTime(10), 0)
	}
	v.bind(record.JobSpec{
		ID: "noisy", Class: "batch", Priority: record.PriorityBatch, Tasks: 1, Size: resource.Vector{Slots: 1},
	})
}

// slowedTime returns the time of a request next to the batch run, if bound, under its limit in percent. Throttling
// reduces the time, but not enough.
func (v *testVM) slowedTime() gateway.TimeBreakdown {
	if v.state.Task(record.TaskID{Job: "noisy"}).State != zone.TaskBound {
		return endpointTime(10)
	}
	ms := 120
	if n := len(v.throttles); n > 0 {
		ms = map[int64]int{100: 120, 50: 95, 25: 70}[v.throttles[n-1]]
	}
	return endpointTime(ms)
}

// Guards against a service that stays above its target next to the batch run that slows it down, against a move before
// throttling was tried, and against further actions after the batch run is gone.
func TestGuardMovesNoisyNeighbour(t *testing.T) {
	is := is.New(t)
	v := newTestVM(t, environment.Guards{Enabled: true, EvictionsPerMinute: 2})
	v.learnBaseline()
	is.Equal(len(v.throttles)+len(v.posted), 0)
	noisy := v.state.Task(record.TaskID{Job: "noisy"})
	for range 60 {
		v.runInterval(v.slowedTime(), 500)
		if noisy.ShouldStop() {
			got, ok := v.manager.Verdict("s")
			is.True(ok && got.Cause == verdict.Neighbours)
			v.mustApply(&record.Evict{Owner: owner, Run: noisy.Run()})
		}
	}
	is.Equal(v.throttles, []int64{50, 25})
	is.Equal(len(v.posted), 1)
	stop, ok := v.posted[0].(*record.Stop)
	is.True(ok)
	is.Equal(stop.Run, record.Run{Task: record.TaskID{Job: "noisy"}, Epoch: 1, Worker: "w"})
}

// Guards against throttling or moving batch tasks while the guards are disabled or when batch tasks are not the cause.
func TestGuardTakesNoAction(t *testing.T) {
	slow := func(v *testVM) gateway.TimeBreakdown { return v.slowedTime() }
	network := func(*testVM) gateway.TimeBreakdown {
		return gateway.TimeBreakdown{Network: 200 * time.Millisecond, Endpoint: 10 * time.Millisecond}
	}
	on := environment.Guards{Enabled: true, EvictionsPerMinute: 2}
	for _, c := range []struct {
		name      string
		guards    environment.Guards
		breakdown func(*testVM) gateway.TimeBreakdown
		stall     int64
	}{
		{"guards are disabled", environment.Guards{EvictionsPerMinute: 2}, slow, 500},
		{"network is slow", on, network, 0},
		{"service meets its target", on, func(*testVM) gateway.TimeBreakdown { return endpointTime(45) }, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := newTestVM(t, c.guards)
			v.learnBaseline()
			for range 60 {
				v.runInterval(c.breakdown(v), c.stall)
			}
			is.Equal(len(v.throttles), 0)
			is.Equal(len(v.posted), 0)
		})
	}
}

// applyEnd delivers the end of a run of a job on the worker to the manager, as read from the log.
func (v *testVM) applyEnd(by record.Owner, job string, outcome record.Outcome) {
	v.manager.ApplyZoneBatch(stream.Batch{Applied: []stream.Applied{{
		Record: record.New(uuid.New(), &record.End{
			Owner: by, Run: record.Run{Task: record.TaskID{Job: job}, Epoch: 1, Worker: "w"}, Outcome: outcome, Reason: "exit 1",
		}),
		Verdict: stream.Verdict{Accepted: true},
	}}})
}

// stateAfter advances the clock, steps the manager and returns the state of the worker.
func (v *testVM) stateAfter(d time.Duration) record.WorkerState {
	v.now = v.now.Add(d)
	v.manager.Step()
	return v.state.Workers["w"].State
}

// Guards against a worker on which all tasks fail and that still gets tasks, against a quarantine that never ends, and
// against a worker that leaves probation before it has run any task.
func TestQuarantineAndItsEnd(t *testing.T) {
	is := is.New(t)
	v := newTestVM(t, environment.Guards{})
	fail := func(jobs ...string) {
		for _, job := range jobs {
			v.applyEnd(owner, job, record.OutcomeFailed)
		}
	}
	fail("j1", "j2")
	is.Equal(v.stateAfter(0), record.WorkerUsable)
	fail("j3")
	is.Equal(v.stateAfter(0), record.WorkerQuarantined)
	is.Equal(v.stateAfter(5*time.Minute-time.Second), record.WorkerQuarantined)
	is.Equal(v.stateAfter(time.Second), record.WorkerUsable)
	is.True(v.manager.Probing("w"))

	fail("j4") // on probation one failure is enough, and the quarantine lasts twice as long
	is.Equal(v.stateAfter(10*time.Minute-time.Second), record.WorkerQuarantined)
	is.Equal(v.stateAfter(time.Second), record.WorkerUsable)
	for _, job := range []string{"j5", "j6"} {
		is.True(v.manager.Probing("w"))
		v.applyEnd(owner, job, record.OutcomeSucceeded)
	}
	is.True(!v.manager.Probing("w"))
	is.Equal(len(v.posted), 4)
}

// Guards against a quarantine for failures that are not caused by the worker or that another owner counts.
func TestNoQuarantine(t *testing.T) {
	for name, each := range map[string]func(v *testVM, i int){
		"one job fails": func(v *testVM, _ int) { v.applyEnd(owner, "j", record.OutcomeFailed) },
		"jobs succeed":  func(v *testVM, i int) { v.applyEnd(owner, strconv.Itoa(i), record.OutcomeSucceeded) },
		"another owner": func(v *testVM, i int) {
			v.applyEnd(record.Owner{Member: "n", Epoch: 1}, strconv.Itoa(i), record.OutcomeFailed)
		},
		"failures are seldom": func(v *testVM, i int) {
			v.applyEnd(owner, strconv.Itoa(i), record.OutcomeFailed)
			v.stateAfter(6 * time.Minute)
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := newTestVM(t, environment.Guards{})
			for i := range 10 {
				each(v, i)
			}
			is.New(t).Equal(len(v.posted), 0)
		})
	}
}
