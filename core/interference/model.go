// Package interference estimates from lagging reports how much of each resource tasks use, how long they run, and how
// much tasks of one class slow down tasks of another.
//
// The package does no I/O and reads no clock. Memory is bounded by Options.
package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"waxwingslip.example/core/resource"
)

// Options bounds a Model.
type Options struct {
	// HalfLife is the time after which a report has half its weight.
	HalfLife time.Duration
	// MaxProfiles, MaxPairs and MaxBaselines limit the entries kept; the least recently updated are dropped.
	// One profile takes about 1 KB, one baseline 0.6 KB and one pair 0.1 KB.
	MaxProfiles, MaxPairs, MaxBaselines int
	// MinSamples is the weight of reports below which use and run time are unknown.
	MinSamples float32
}

// DefaultOptions returns bounds that keep a model below 10 MB.
func DefaultOptions() Options {
	return Options{HalfLife: 2 * time.Hour, MaxProfiles: 2048, MaxPairs: 16384, MaxBaselines: 1024, MinSamples: 8}
}

// Key identifies the tasks that share a profile.
type Key struct{ Team, Class string }

// profile holds the use and run times of the tasks of a key.
type profile struct {
	milliCPU, memoryMB, connections, runSeconds histogram
	updatedAt                                   time.Time
}

// Model holds learned profiles and effects. It is not safe for concurrent use.
type Model struct {
	opts      Options
	profiles  map[Key]*profile
	pairs     map[pairKey]*effect
	baselines map[baselineKey]*baseline
	// remote holds the state learned by other daemons, by member; it is not part of this daemon's digests.
	remote map[string]*remoteState
	export exportCursor
}

// New returns an empty model.
func New(o Options) *Model {
	return &Model{
		opts: o, profiles: map[Key]*profile{}, pairs: map[pairKey]*effect{},
		baselines: map[baselineKey]*baseline{}, remote: map[string]*remoteState{},
	}
}

// ObserveUse records the reported use of one run.
func (m *Model) ObserveUse(k Key, use resource.Vector, at time.Time) {
	p := m.profile(k, at)
	p.milliCPU.add(float64(use.MilliCPU), 1, at, m.opts.HalfLife)
	p.memoryMB.add(float64(use.MemoryMB), 1, at, m.opts.HalfLife)
	p.connections.add(float64(use.Connections), 1, at, m.opts.HalfLife)
}

// ObserveRun records the run time of a task that succeeded.
func (m *Model) ObserveRun(k Key, run time.Duration, at time.Time) {
	m.profile(k, at).runSeconds.add(run.Seconds(), 1, at, m.opts.HalfLife)
}

func (m *Model) profile(k Key, at time.Time) *profile {
	p := m.profiles[k]
	if p == nil {
		if len(m.profiles) >= m.opts.MaxProfiles {
			evictOldest(m.profiles, func(p *profile) time.Time { return p.updatedAt }, compareKeys)
		}
		p = &profile{}
		m.profiles[k] = p
	}
	p.updatedAt = at
	return p
}

// evictOldest removes the eighth of the entries that were updated longest ago, ties in the order of compare. Removing
// many entries with one sort keeps the cost of a new entry small when a map is full.
func evictOldest[K comparable, V any](entries map[K]V, updated func(V) time.Time, compare func(a, b K) int) {
	keys := slices.SortedFunc(maps.Keys(entries), func(a, b K) int {
		return cmp.Or(updated(entries[a]).Compare(updated(entries[b])), compare(a, b))
	})
	for _, k := range keys[:(len(keys)+7)/8] {
		delete(entries, k)
	}
}

// Quantiles of the use that are expected of a task: processors are shared and can be overcommitted for a while, memory
// cannot.
const (
	cpuQuantile         = 0.75
	memoryQuantile      = 0.95
	connectionsQuantile = 0.9
)

// ExpectedUse returns the expected use of one task, false with too few reports. Slots and accelerators are not set.
func (m *Model) ExpectedUse(team, class string) (resource.Vector, bool) {
	cpu, memory, connections, _ := m.combinedProfile(Key{team, class})
	if cpu.total < m.opts.MinSamples {
		return resource.Vector{}, false
	}
	return resource.Vector{
		MilliCPU:    int64(cpu.quantile(cpuQuantile)),
		MemoryMB:    int64(memory.quantile(memoryQuantile)),
		Connections: int64(connections.quantile(connectionsQuantile)),
	}, true
}

// RunTime returns a quantile of the run time of a task, false with too few reports.
func (m *Model) RunTime(team, class string, q float64) (time.Duration, bool) {
	_, _, _, run := m.combinedProfile(Key{team, class})
	if run.total < m.opts.MinSamples {
		return 0, false
	}
	return time.Duration(run.quantile(q) * float64(time.Second)), true
}

// combinedProfile returns the sums of this daemon's and the other daemons' histograms for a key.
func (m *Model) combinedProfile(k Key) (cpu, memory, connections, run histogram) {
	add := func(p *profile) {
		cpu.merge(&p.milliCPU)
		memory.merge(&p.memoryMB)
		connections.merge(&p.connections)
		run.merge(&p.runSeconds)
	}
	if p := m.profiles[k]; p != nil {
		add(p)
	}
	for _, r := range m.remote {
		if p := r.profiles[k]; p != nil {
			add(p)
		}
	}
	return cpu, memory, connections, run
}

// ObserveSample updates baselines and effects from a measurement of a victim. Samples that are not settled are ignored.
func (m *Model) ObserveSample(s Sample) {
	if !s.Settled || s.Value <= 0 || math.IsNaN(s.Value) || math.IsInf(s.Value, 0) {
		return
	}
	neighbourLoad := 0.0
	for _, n := range s.Neighbours {
		neighbourLoad += n.Load
	}
	b := m.baseline(baselineKey{s.Victim, loadBucket(s.Load)}, s.At)
	scaled := s.Value * valueScale
	b.all.add(scaled, 1, s.At, m.opts.HalfLife)
	if neighbourLoad <= maxAloneLoad {
		b.alone.add(scaled, 1, s.At, m.opts.HalfLife)
		return
	}
	if expected, ok := b.value(); ok {
		m.updateEffects(&s, expected/valueScale)
	}
}

// valueScale multiplies values in milliseconds, so that histograms resolve hundredths of a millisecond.
const valueScale = 100

func (m *Model) baseline(k baselineKey, at time.Time) *baseline {
	b := m.baselines[k]
	if b == nil {
		if len(m.baselines) >= m.opts.MaxBaselines {
			evictOldest(m.baselines, func(b *baseline) time.Time { return b.updatedAt }, compareBaselines)
		}
		b = &baseline{}
		m.baselines[k] = b
	}
	b.updatedAt = at
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Baseline returns the expected value of a victim without neighbours at a load, and the weight of its samples, 0 if
// nothing is known.
func (m *Model) Baseline(victim string, load float64) (value float64, samples float64) {
	b := m.baselines[baselineKey{victim, loadBucket(load)}]
	if b == nil {
		return 0, 0
	}
	v, ok := b.value()
	if !ok {
		return 0, 0
	}
	return v / valueScale, float64(max(b.alone.total, b.all.total/4))
}

// Slowdown returns the learned slowdown of a victim next to a neighbour that uses a whole worker: 0 is none, 1 is
// twice the time. The confidence is 0 if nothing is known, and approaches 1.
func (m *Model) Slowdown(victim, neighbour string) (slowdown, confidence float64) {
	mean, variance := m.combinedEffect(pairKey{victim, neighbour})
	return math.Expm1(min(mean, 4)), 1 - variance/priorVariance
}

// combinedEffect returns the mean of the estimates of all daemons, weighted by the precision (1/variance)
// that each has beyond the prior.
func (m *Model) combinedEffect(k pairKey) (mean, variance float64) {
	precision, sum := 0.0, 0.0
	add := func(e *effect) {
		// The part of the precision that comes from samples and not from the prior.
		w := max(0, 1/e.variance-1/priorVariance)
		precision += w
		sum += w * e.mean
	}
	if e := m.pairs[k]; e != nil {
		add(e)
	}
	for _, r := range m.remote {
		if e := r.pairs[k]; e != nil {
			add(e)
		}
	}
	if precision == 0 {
		return 0, priorVariance
	}
	return sum / precision, 1 / (precision + 1/priorVariance)
}
