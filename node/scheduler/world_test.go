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

// controlReplica is a control state whose posted records take effect when the next step is over.
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

// zoneReplica is a zone state whose posted records take effect when the step that posted them is over.
type zoneReplica struct {
	state  *zone.State
	queue  []record.Body
	events []any
}

func (z *zoneReplica) View(f func(*zone.State)) { f(z.state) }
func (z *zoneReplica) Post(b record.Body)       { z.queue = append(z.queue, b) }

// rooms are the shares of free processors of the zones that are heard.
type rooms map[string]float64

func (r rooms) Room(zoneName string) (float64, bool) {
	share, heard := r[zoneName]
	return share, heard
}

// world is one zone with a single member "m", which owns all workers. It must be used in a synctest bubble.
type world struct {
	t       *testing.T
	zone    *zoneReplica
	control *controlReplica
	rooms   rooms
	sched   *Scheduler
	// accepted holds the records that took effect in the zone.
	accepted []record.Body
	// rejected counts the records without effect.
	rejected int
	// idle keeps runs as they are, as an owner does that cannot reach its workers.
	idle bool
	// startTime is how long replicas take until they serve, counted from their bind in boundAt.
	startTime time.Duration
	boundAt   map[record.Run]time.Time
}

func newWorld(t *testing.T, name string, c *controlReplica) *world {
	w := &world{t: t, control: c, zone: &zoneReplica{state: zone.New(name)}, rooms: rooms{}, boundAt: map[record.Run]time.Time{}}
	w.zone.state.OnChange(func(c zone.Change) { w.zone.events = append(w.zone.events, c) })
	started := time.Now()
	w.sched = New(Config{
		Zone: name, State: w.zone, Control: c, Member: func() string { return "m" }, Loads: w.rooms,
		Metrics: noMetrics{}, Now: func() time.Duration { return time.Since(started) }, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	w.must(&record.Join{Member: "m"})
	for i := range zone.Shards {
		w.must(&record.Claim{Shard: i, Epoch: 1, Member: "m"})
	}
	return w
}

var owner = record.Owner{Member: "m", Epoch: 1}

func (w *world) addWorker(id string, slots int64) {
	w.must(&record.RegisterWorker{Owner: owner, Worker: record.WorkerInfo{
		ID: id, Address: "127.0.0.1:1", Capacity: resource.Vector{Slots: slots},
	}})
}

// apply applies a record to the zone state and tells the scheduler.
func (w *world) apply(b record.Body) zone.Verdict {
	w.zone.events = nil
	rec := record.New(uuid.New(), b)
	v := w.zone.state.Apply(w.zone.state.Offset+1, rec)
	if v.Accepted {
		w.accepted = append(w.accepted, b)
	} else {
		w.rejected++
	}
	w.sched.ApplyZone(stream.Batch{Applied: []stream.Applied{{Offset: w.zone.state.Offset, Record: rec,
		Verdict: stream.Verdict{Accepted: v.Accepted, Reason: v.Reason, Events: w.zone.events}}}})
	return v
}

func (w *world) must(b record.Body) {
	w.t.Helper()
	if v := w.apply(b); !v.Accepted {
		w.t.Fatalf("%T %+v: %s", b, b, v.Reason)
	}
}

// order applies a record of an operator or team to the control state.
func (w *world) order(b record.Body) {
	w.t.Helper()
	if v := w.control.state.Apply(w.control.state.Offset()+1, record.New(uuid.New(), b)); !v.Accepted {
		w.t.Fatalf("%T %+v: %s", b, b, v.Reason)
	}
	w.sched.ApplyControl(stream.Batch{})
}

// publish replaces the document by one with zones a and b and team t, changed by edit.
func (w *world) publish(edit func(*environment.Document)) {
	w.t.Helper()
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
		w.t.Fatal(err)
	}
	w.order(&record.Configure{Base: w.control.state.Version(), Document: b})
}

func outOf(names ...string) func(*environment.Document) {
	return func(d *environment.Document) {
		for i := range d.Regions[0].Zones {
			for _, name := range names {
				z := &d.Regions[0].Zones[i]
				z.OutOfService = z.OutOfService || z.Name == name
			}
		}
	}
}

func inService(*environment.Document) {}

func batch(id string, tasks int) record.JobSpec {
	return record.JobSpec{ID: id, Team: "t", Class: "c", Priority: record.PriorityBatch, Tasks: tasks, Size: resource.Vector{Slots: 1}}
}

// run lets the zone work for d. check, if not nil, is called after each step.
func (w *world) run(d time.Duration, check func()) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(planInterval)
		w.step()
		if check != nil {
			check()
		}
	}
}

func (w *world) step() {
	w.sched.step()
	for _, b := range w.zone.queue {
		w.apply(b)
	}
	w.zone.queue = nil
	for _, b := range w.control.queue {
		w.control.state.Apply(w.control.state.Offset()+1, record.New(uuid.New(), b))
		w.sched.ApplyControl(stream.Batch{})
	}
	w.control.queue = nil
	if !w.idle {
		w.execute()
	}
}

// execute stops the runs that should stop and serves the new replicas of services, as the workers' owner does.
func (w *world) execute() {
	for _, t := range w.bound() {
		at, ok := w.boundAt[t.Run()]
		if !ok {
			at = time.Now()
			w.boundAt[t.Run()] = at
		}
		switch {
		case t.StopWanted():
			w.must(&record.Evict{Owner: owner, Run: t.Run(), Checkpoint: "cp"})
		case t.Job.IsService() && t.Address == "" && time.Since(at) >= w.startTime:
			w.must(&record.Started{Owner: owner, Run: t.Run(), Address: "127.0.0.1:2"})
		}
	}
}

func (w *world) bound() (out []*zone.Task) {
	for _, j := range w.zone.state.Jobs {
		for _, t := range j.Tasks {
			if t.State == zone.TaskBound {
				out = append(out, t)
			}
		}
	}
	return out
}

// succeed ends all bound batch runs.
func (w *world) succeed() {
	for _, t := range w.bound() {
		if !t.Job.IsService() {
			w.must(&record.End{Owner: owner, Run: t.Run(), Outcome: record.OutcomeSucceeded})
		}
	}
}

// count returns the number of accepted records of the type of T.
func count[T record.Body](w *world) (n int) {
	for _, b := range w.accepted {
		if _, ok := b.(T); ok {
			n++
		}
	}
	return n
}
