package scheduler

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/node/stream"
)

// controlReplica is a control state whose posted records are applied at the end of the step.
type controlReplica struct {
	state *control.State
	queue []record.Body
}

func newControl() *controlReplica {
	return &controlReplica{state: control.New(func(b []byte) (*environment.Document, error) {
		var d environment.Document
		err := json.Unmarshal(b, &d)
		return &d, err
	})}
}

func (c *controlReplica) View(f func(*control.State)) { f(c.state) }
func (c *controlReplica) Post(b record.Body)          { c.queue = append(c.queue, b) }

// zoneReplica is a zone state whose posted records are applied at the end of the step that posted them.
type zoneReplica struct {
	state  *zone.State
	queue  []record.Body
	events []any
}

func (z *zoneReplica) View(f func(*zone.State)) { f(z.state) }
func (z *zoneReplica) Post(b record.Body)       { z.queue = append(z.queue, b) }

// freeShares holds the share of free processors of each zone that reports one.
type freeShares map[string]float64

func (s freeShares) UnreservedCPUShare(zoneName string) (float64, bool) {
	share, known := s[zoneName]
	return share, known
}

// harness runs one zone whose single member "m" owns all workers. It must be used in a synctest bubble.
type harness struct {
	t          *testing.T
	zone       *zoneReplica
	control    *controlReplica
	freeShares freeShares
	sched      *Scheduler
	// accepted holds the records that the zone state accepted.
	accepted []record.Body
	// rejected counts the records that the zone state rejected.
	rejected int
	// ownerStopped leaves all runs unchanged, like an owner that cannot reach its workers.
	ownerStopped bool
	// startupTime is the time from the bind of a replica, in boundAt, until it serves.
	startupTime time.Duration
	boundAt     map[record.Run]time.Time
}

func newHarness(t *testing.T, name string, c *controlReplica) *harness {
	h := &harness{
		t: t, control: c, zone: &zoneReplica{state: zone.New(name)}, freeShares: freeShares{},
		boundAt: map[record.Run]time.Time{},
	}
	h.zone.state.OnChange(func(c zone.Change) { h.zone.events = append(h.zone.events, c) })
	started := time.Now()
	h.sched = New(Config{
		Zone: name, State: h.zone, Control: c, Member: func() string { return "m" }, Loads: h.freeShares,
		Metrics: noMetrics{}, Now: func() time.Duration { return time.Since(started) }, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	h.mustApply(&record.Join{Member: "m"})
	for i := range zone.ShardCount {
		h.mustApply(&record.Claim{Shard: i, Epoch: 1, Member: "m"})
	}
	return h
}

var owner = record.Owner{Member: "m", Epoch: 1}

func (h *harness) addWorker(id string, slots int64) {
	h.mustApply(&record.RegisterWorker{Owner: owner, Worker: record.WorkerInfo{
		ID: id, Address: "127.0.0.1:1", Capacity: resource.Vector{Slots: slots},
	}})
}

// apply applies a record to the zone state and notifies the scheduler.
func (h *harness) apply(b record.Body) zone.Verdict {
	h.zone.events = nil
	rec := record.New(uuid.New(), b)
	v := h.zone.state.Apply(h.zone.state.Offset+1, rec)
	if v.Accepted {
		h.accepted = append(h.accepted, b)
	} else {
		h.rejected++
	}
	h.sched.ApplyZoneBatch(stream.Batch{Applied: []stream.Applied{{Offset: h.zone.state.Offset, Record: rec,
		Verdict: stream.Verdict{Accepted: v.Accepted, Reason: v.Reason, Events: h.zone.events}}}})
	return v
}

func (h *harness) mustApply(b record.Body) {
	h.t.Helper()
	if v := h.apply(b); !v.Accepted {
		h.t.Fatalf("%T %+v: %s", b, b, v.Reason)
	}
}

// applyControl applies a record of an operator or team to the control state and notifies the scheduler.
func (h *harness) applyControl(b record.Body) {
	h.t.Helper()
	if v := h.control.state.Apply(h.control.state.Offset()+1, record.New(uuid.New(), b)); !v.Accepted {
		h.t.Fatalf("%T %+v: %s", b, b, v.Reason)
	}
	h.sched.ApplyControl(stream.Batch{})
}

// publish replaces the document by one with zones a and b and team t, modified by edit.
func (h *harness) publish(edit func(*environment.Document)) {
	h.t.Helper()
	d := environment.Document{
		Environment: "trial",
		Regions: []environment.Region{{Name: "r", Zones: []environment.Zone{
			{Name: "a", Worker: resource.Vector{Slots: 100}}, {Name: "b", Worker: resource.Vector{Slots: 100}},
		}}},
		Teams: []environment.Team{{Name: "t", Quota: resource.Vector{Slots: 1000}}},
	}
	edit(&d)
	b, err := json.Marshal(d)
	if err != nil {
		h.t.Fatal(err)
	}
	h.applyControl(&record.Configure{Base: h.control.state.Version(), Document: b})
}

func withOutOfService(names ...string) func(*environment.Document) {
	return func(d *environment.Document) {
		for i := range d.Regions[0].Zones {
			for _, name := range names {
				z := &d.Regions[0].Zones[i]
				z.OutOfService = z.OutOfService || z.Name == name
			}
		}
	}
}

func allInService(*environment.Document) {}

func batchJob(id string, tasks int) record.JobSpec {
	return record.JobSpec{
		ID: id, Team: "t", Class: "c", Priority: record.PriorityBatch, Tasks: tasks, Size: resource.Vector{Slots: 1},
	}
}

// run steps the zone for d. check, if not nil, is called after each step.
func (h *harness) run(d time.Duration, check func()) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(planInterval)
		h.step()
		if check != nil {
			check()
		}
	}
}

func (h *harness) step() {
	h.sched.step()
	for _, b := range h.zone.queue {
		h.apply(b)
	}
	h.zone.queue = nil
	for _, b := range h.control.queue {
		h.control.state.Apply(h.control.state.Offset()+1, record.New(uuid.New(), b))
		h.sched.ApplyControl(stream.Batch{})
	}
	h.control.queue = nil
	if !h.ownerStopped {
		h.execute()
	}
}

// execute stops the runs that should stop and starts the new replicas of services, as the owner of the workers does.
func (h *harness) execute() {
	for _, t := range h.bound() {
		at, ok := h.boundAt[t.Run()]
		if !ok {
			at = time.Now()
			h.boundAt[t.Run()] = at
		}
		switch {
		case t.ShouldStop():
			h.mustApply(&record.Evict{Owner: owner, Run: t.Run(), Checkpoint: "cp"})
		case t.Job.IsService() && t.Address == "" && time.Since(at) >= h.startupTime:
			h.mustApply(&record.Started{Owner: owner, Run: t.Run(), Address: "127.0.0.1:2"})
		}
	}
}

func (h *harness) bound() (out []*zone.Task) {
	for _, j := range h.zone.state.Jobs {
		for _, t := range j.Tasks {
			if t.State == zone.TaskBound {
				out = append(out, t)
			}
		}
	}
	return out
}

// succeed ends all bound batch runs as succeeded.
func (h *harness) succeed() {
	for _, t := range h.bound() {
		if !t.Job.IsService() {
			h.mustApply(&record.End{Owner: owner, Run: t.Run(), Outcome: record.OutcomeSucceeded})
		}
	}
}

// count returns the number of accepted records of the type of T.
func count[T record.Body](h *harness) (n int) {
	for _, b := range h.accepted {
		if _, ok := b.(T); ok {
			n++
		}
	}
	return n
}
