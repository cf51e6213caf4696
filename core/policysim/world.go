// Package policysim compares placement policies in a seeded simulation of workers. It is used by benchmarks only.
//
// The simulation deliberately uses another model than the policy, which assumes that each neighbour class adds a fixed
// amount to the logarithm of a victim's latency. Here all runs of a worker share its memory bandwidth and its cache:
// the latency of a service is its base time, times 1/(1-u^2) for queueing at the bandwidth utilisation u of all runs,
// times 1 + sensitivity x the share of the working sets that exceeds the cache, times the square of a processor
// overload. Effects thus depend on all runs of a worker together and have thresholds.
package policysim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// Scenario is the size and load of one comparison.
type Scenario struct {
	Name                   string
	Zones, WorkersPerZone  int
	Cores, MemoryGB, Slots int64
	// Services and Batch are the numbers of service and batch tasks per worker.
	Services, Batch float64
	// UrgentPerWorker is the number of urgent tasks that arrive per worker and second.
	UrgentPerWorker float64
	Seconds         int
	// ZoneChange takes the first zone out of service for the middle third of the time.
	ZoneChange bool
}

// Scenarios returns the two current environments, one zone of the target size, and the whole target size.
func Scenarios() []Scenario {
	ambon := Scenario{Name: "Ambon", Zones: 3, WorkersPerZone: 16, Cores: 64, MemoryGB: 250, Slots: 8,
		Services: 2.5, Batch: 5, UrgentPerWorker: 0.006, Seconds: 3600, ZoneChange: true}
	sacudidores := ambon
	sacudidores.Name, sacudidores.WorkersPerZone, sacudidores.Cores, sacudidores.MemoryGB = "Sacudidores", 22, 32, 125
	sacudidores.Services, sacudidores.Batch = 3.5, 3.5
	target := Scenario{Name: "zone of 156", Zones: 1, WorkersPerZone: 156, Cores: 64, MemoryGB: 250, Slots: 20,
		Services: 6.14, Batch: 10, UrgentPerWorker: 0.006, Seconds: 1800}
	whole := target
	whole.Name, whole.Zones, whole.ZoneChange, whole.Seconds = "whole", 9, true, 900
	return []Scenario{ambon, sacudidores, target, whole}
}

// class is the true behaviour of a class, which is hidden from the policies.
type class struct {
	name, team string
	service    bool
	// cores and memory are the mean true use of one task, relative to an equal share of the worker for each slot.
	cores, memory float64
	// bandwidth and cache are the demands of one task as a share of a worker with eight slots.
	bandwidth, cache float64
	sensitivity      float64 // of the latency to cache misses
	noisy            bool    // has bursts of bandwidth demand
	declared         float64 // ratio of declared to mean true use
	seconds          float64 // mean run time
}

const (
	serviceClasses, batchClasses = 8, 24
	// burstFactor multiplies the bandwidth of noisy classes during the first burstSeconds of every
	// burstPeriodSeconds.
	burstFactor, burstSeconds, burstPeriodSeconds = 2.5, 150, 600
	// targetFactor is the latency target as a multiple of the latency of a service alone at its usual load.
	targetFactor      = 2.5
	checkpointSeconds = 60
	restartSeconds    = 10
)

func makeClasses(rng *rand.Rand) (services, batch []*class) {
	uniform := func(a, b float64) float64 { return a + (b-a)*rng.Float64() }
	for i := range serviceClasses {
		services = append(services, &class{
			name: fmt.Sprintf("service-%d", i), team: fmt.Sprintf("team-%d", i), service: true, cores: uniform(0.4, 0.9),
			memory: uniform(0.4, 0.8), bandwidth: 0.02, cache: uniform(0.03, 0.08), sensitivity: uniform(0.5, 4), declared: uniform(0.9, 1.3),
		})
	}
	for i := range batchClasses {
		c := &class{
			name: fmt.Sprintf("batch-%d", i), team: fmt.Sprintf("team-%d", i%11), cores: uniform(0.5, 1.3), memory: uniform(0.3, 1.1),
			bandwidth: uniform(0.01, 0.06), cache: uniform(0.02, 0.2), seconds: uniform(60, 600),
			declared: math.Exp(uniform(-0.7, 0.7)), // up to a factor of two too small or too large
		}
		if i%5 == 0 {
			c.noisy, c.bandwidth, c.cache = true, uniform(0.12, 0.25), uniform(0.2, 0.5)
		}
		batch = append(batch, c)
	}
	return services, batch
}

// run is a task, pending or on a worker.
type run struct {
	id       record.TaskID
	epoch    int64
	class    *class
	spec     *record.JobSpec
	priority record.Priority
	size     resource.Vector
	cores    float64 // true use
	memoryGB float64
	// remaining and uncheckpointed are seconds of work; uncheckpointed work is lost when the worker runs out of memory.
	remaining, uncheckpointed float64
	restartRemaining          float64 // seconds until the run makes progress
	throttle                  int64   // percent
	pendingSince              int     // second at which it became pending
	startedAt                 int
	checkpointedAt            int // second of the last checkpoint
	zone, worker              int // worker is -1 while pending
}

// workerState is the state of a worker.
type workerState struct {
	id, rack  string
	runs      []*run
	reserved  resource.Vector
	changedAt int // second of the last change of its runs
	// interval holds the samples of the current report interval, lagging those of the previous one, which starts at
	// second laggingFrom.
	interval    []sample
	lagging     []sample
	laggingFrom int
}

// sample is the part of a report about one run.
type sample struct {
	run      *run
	latency  float64 // sum of count latencies, as ratios to that alone at usual load
	count    float64
	cores    float64
	memoryGB float64
	speed    float64 // of a batch task, excluding its throttling
	settled  bool
}

// world is the state of one simulation run.
type world struct {
	sc          Scenario
	capacity    resource.Vector
	services    []*class
	batch       []*class
	zones       []*zone
	arrivalRand *rand.Rand // of submissions, which are equal for all policies
	latencyRand *rand.Rand
	second      int
	nextJob     int
	activeBatch int
	result      Result
	policy      policy
}

// zone is a set of workers with its pending tasks.
type zone struct {
	index        int
	outOfService bool
	workers      []*workerState
	pending      []*run // only those not yet passed to the policy
}

var epochStart = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

func (w *world) now() time.Time { return epochStart.Add(time.Duration(w.second) * time.Second) }

func newWorld(sc Scenario, seed uint64, p policy) *world {
	w := &world{sc: sc, policy: p, arrivalRand: rand.New(rand.NewPCG(seed, 1)),
		latencyRand: rand.New(rand.NewPCG(seed, 2))}
	w.capacity = resource.Vector{Slots: sc.Slots, Connections: 64, MilliCPU: sc.Cores * 1000, MemoryMB: sc.MemoryGB * 1000}
	w.services, w.batch = makeClasses(rand.New(rand.NewPCG(seed, 3)))
	for z := range sc.Zones {
		zn := &zone{index: z}
		for i := range sc.WorkersPerZone {
			zn.workers = append(zn.workers, &workerState{id: fmt.Sprintf("z%d-w%d", z, i), rack: fmt.Sprintf("z%d-r%d", z, i/8)})
		}
		w.zones = append(w.zones, zn)
	}
	p.start(w)
	for z := range sc.Zones {
		for i := range int(sc.Services * float64(sc.WorkersPerZone)) {
			w.submit(z, w.services[i%serviceClasses], record.PriorityService, i)
		}
	}
	return w
}

// submit makes a task pending.
func (w *world) submit(zone int, c *class, p record.Priority, index int) {
	slot := float64(w.sc.Slots)
	r := &run{class: c, priority: p, throttle: 100, pendingSince: w.second, zone: zone, worker: -1, epoch: 1}
	variation := math.Exp(0.2 * w.arrivalRand.NormFloat64())
	r.cores = c.cores * float64(w.sc.Cores) / slot * variation
	r.memoryGB = c.memory * float64(w.sc.MemoryGB) / slot * variation
	r.size = resource.Vector{
		Slots: 1, MilliCPU: int64(1000 * c.declared * c.cores * float64(w.sc.Cores) / slot),
		MemoryMB: int64(1000 * c.declared * c.memory * float64(w.sc.MemoryGB) / slot),
	}
	r.id = record.TaskID{Job: fmt.Sprintf("job-%d", w.nextJob), Index: 0}
	r.remaining = c.seconds * math.Exp(0.5*w.arrivalRand.NormFloat64())
	r.spec = &record.JobSpec{ID: r.id.Job, Team: c.team, Class: c.name, Priority: p, Size: r.size, Tasks: 1}
	switch p {
	case record.PriorityService:
		r.spec.Service, r.remaining = c.name, math.Inf(1)
		r.id.Job = record.ServiceJobID(c.name)
		r.id.Index, r.spec.ID = 10000*zone+index, r.id.Job // unique over all zones
	case record.PriorityUrgent:
		r.remaining = 20
	}
	w.nextJob++
	w.zones[zone].pending = append(w.zones[zone].pending, r)
}

// submitArrivals keeps the number of batch tasks constant and adds urgent ones.
func (w *world) submitArrivals() {
	workers := w.sc.Zones * w.sc.WorkersPerZone
	for w.activeBatch < int(w.sc.Batch*float64(workers)) {
		w.activeBatch++
		w.submit(w.randomZoneInService(), w.batch[w.arrivalRand.IntN(len(w.batch))], record.PriorityBatch, 0)
	}
	mean := w.sc.UrgentPerWorker * float64(workers)
	for mean > 0 && w.arrivalRand.Float64() < mean {
		w.submit(w.randomZoneInService(), w.batch[1+5*w.arrivalRand.IntN(4)], record.PriorityUrgent, 0)
		mean--
	}
}

func (w *world) randomZoneInService() int {
	z := w.arrivalRand.IntN(len(w.zones))
	for w.zones[z].outOfService {
		z = (z + 1) % len(w.zones)
	}
	return z
}

// updateZoneService takes the first zone out of service and later puts it back. While it is out of service, its batch
// tasks move away at a bounded rate.
func (w *world) updateZoneService() {
	if !w.sc.ZoneChange {
		return
	}
	z := w.zones[0]
	if out := w.zoneChangeActive(); out != z.outOfService {
		z.outOfService = out
		w.policy.zoneChanged(w, z)
	}
	if !z.outOfService {
		return
	}
	evictable := 1 + len(z.workers)/20
	for _, m := range z.workers {
		for i := len(m.runs) - 1; i >= 0 && evictable > 0; i-- {
			if r := m.runs[i]; r.priority != record.PriorityService {
				w.evict(r)
				evictable--
			}
		}
	}
	for _, r := range w.policy.drain(w, z) {
		r.zone = w.randomZoneInService()
		w.zones[r.zone].pending = append(w.zones[r.zone].pending, r)
	}
}

// zoneChangeActive reports whether the first zone is out of service.
func (w *world) zoneChangeActive() bool {
	return w.sc.ZoneChange && w.second >= w.sc.Seconds/3 && w.second < 2*w.sc.Seconds/3
}

// placeRun places a pending task on a worker. It panics if the policy overcommits the worker.
func (w *world) placeRun(r *run, worker int) {
	m := w.zones[r.zone].workers[worker]
	m.reserved = m.reserved.Add(r.size)
	if !m.reserved.Fits(w.capacity) || w.zones[r.zone].outOfService {
		panic(fmt.Sprintf("policysim: %s at second %d: %s of %s, zone out %v, run %+v, %d runs",
			m.id, w.second, m.reserved, w.capacity, w.zones[r.zone].outOfService, r, len(m.runs)))
	}
	m.runs = append(m.runs, r)
	m.changedAt = w.second
	r.worker, r.startedAt, r.checkpointedAt, r.restartRemaining = worker, w.second, w.second, restartSeconds
	if r.priority == record.PriorityUrgent && r.epoch == 1 {
		w.result.urgent = append(w.result.urgent, float64(w.second-r.pendingSince))
	}
}

// detach removes a run from its worker.
func (w *world) detach(r *run) {
	m := w.zones[r.zone].workers[r.worker]
	for i, o := range m.runs {
		if o == r {
			m.runs = append(m.runs[:i], m.runs[i+1:]...)
			break
		}
	}
	m.reserved = m.reserved.Sub(r.size)
	m.changedAt = w.second
	r.worker = -1
	w.policy.workerChanged(w, r.zone, m)
}

// evict stops a run after a checkpoint and makes it pending again.
func (w *world) evict(r *run) {
	w.result.Evictions++
	w.requeue(r)
}

// requeue makes a run pending again from its last checkpoint.
func (w *world) requeue(r *run) {
	w.detach(r)
	r.epoch++
	r.throttle, r.pendingSince, r.uncheckpointed = 100, w.second, 0
	w.zones[r.zone].pending = append(w.zones[r.zone].pending, r)
}
