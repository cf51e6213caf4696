// Package interference learns from lagging reports how much tasks really use, how long they run, and how much
// tasks of one class slow down tasks of another.
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
	// MinSamples is the weight of reports below which nothing is said about use or run time.
	MinSamples float32
}

// DefaultOptions returns bounds that keep a model below 10 MB.
func DefaultOptions() Options {
	return Options{HalfLife: 2 * time.Hour, MaxProfiles: 2048, MaxPairs: 16384, MaxBaselines: 1024, MinSamples: 8}
}

// Key names the tasks that share a profile.
type Key struct{ Team, Class string }

// profile holds what is known about the tasks of a key.
type profile struct {
	milliCPU, memoryMB, connections, runSeconds histogram
	at                                          time.Time
}

// Model holds learned profiles and effects. It is not safe for concurrent use.
type Model struct {
	opts      Options
	profiles  map[Key]*profile
	pairs     map[pairKey]*effect
	baselines map[baselineKey]*baseline
	// remote holds what other daemons learned, by member; it never enters this daemon's own digests.
	remote map[string]*remote
	export exportCursor
}

// New returns an empty model.
func New(o Options) *Model {
	return &Model{
		opts: o, profiles: map[Key]*profile{}, pairs: map[pairKey]*effect{},
		baselines: map[baselineKey]*baseline{}, remote: map[string]*remote{},
	}
}

// ObserveUse counts the reported use of one run.
func (m *Model) ObserveUse(k Key, use resource.Vector, at time.Time) {
	p := m.profile(k, at)
	p.milliCPU.add(float64(use.MilliCPU), 1, at, m.opts.HalfLife)
	p.memoryMB.add(float64(use.MemoryMB), 1, at, m.opts.HalfLife)
	p.connections.add(float64(use.Connections), 1, at, m.opts.HalfLife)
}

// ObserveRun counts the run time of a task that succeeded.
func (m *Model) ObserveRun(k Key, run time.Duration, at time.Time) {
	m.profile(k, at).runSeconds.add(run.Seconds(), 1, at, m.opts.HalfLife)
}

func (m *Model) profile(k Key, at time.Time) *profile {
	p := m.profiles[k]
	if p == nil {
		if len(m.profiles) >= m.opts.MaxProfiles {
			dropOldest(m.profiles, func(p *profile) time.Time { return p.at }, compareKeys)
		}
		p = &profile{}
		m.profiles[k] = p
	}
	p.at = at
	return p
}

// dropOldest removes the eighth of the entries that were updated longest ago, ties in the order of compare. One
// sort for many entries keeps the cost of a new entry small when a map is full.
func dropOldest[K comparable, V any](entries map[K]V, updated func(V) time.Time, compare func(a, b K) int) {
	keys := slices.SortedFunc(maps.Keys(entries), func(a, b K) int {
		return cmp.Or(updated(entries[a]).Compare(updated(entries[b])), compare(a, b))
	})
	for _, k := range keys[:(len(keys)+7)/8] {
		delete(entries, k)
	}
}

// Quantile of the use that stands for a task: processors are shared and may be exceeded for a while, memory
// may not.
const (
	cpuQuantile    = 0.75
	memoryQuantile = 0.95
	countQuantile  = 0.9
)

// Use returns the use to expect of one task, false if too little is known. It has no slots and accelerators.
func (m *Model) Use(team, class string) (resource.Vector, bool) {
	cpu, memory, connections, _ := m.combined(Key{team, class})
	if cpu.total < m.opts.MinSamples {
		return resource.Vector{}, false
	}
	return resource.Vector{
		MilliCPU:    int64(cpu.quantile(cpuQuantile)),
		MemoryMB:    int64(memory.quantile(memoryQuantile)),
		Connections: int64(connections.quantile(countQuantile)),
	}, true
}

// RunTime returns a quantile of the run time of a task, false if too little is known.
func (m *Model) RunTime(team, class string, q float64) (time.Duration, bool) {
	_, _, _, run := m.combined(Key{team, class})
	if run.total < m.opts.MinSamples {
		return 0, false
	}
	return time.Duration(run.quantile(q) * float64(time.Second)), true
}

// combined adds what other daemons know about a key to this daemon's histograms.
func (m *Model) combined(k Key) (cpu, memory, connections, run histogram) {
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

// ObserveSample learns from a measurement of a victim. Samples with changed neighbours are dropped.
func (m *Model) ObserveSample(s Sample) {
	if !s.Settled || s.Value <= 0 || math.IsNaN(s.Value) || math.IsInf(s.Value, 0) {
		return
	}
	load := 0.0
	for _, n := range s.Neighbours {
		load += n.Load
	}
	b := m.baseline(baselineKey{s.Victim, loadRange(s.Load)}, s.At)
	scaled := s.Value * valueScale
	b.all.add(scaled, 1, s.At, m.opts.HalfLife)
	if load <= aloneLoad {
		b.alone.add(scaled, 1, s.At, m.opts.HalfLife)
		return
	}
	if expected, ok := b.value(); ok {
		m.learn(&s, expected/valueScale)
	}
}

// valueScale lets histograms resolve values from a hundredth of a millisecond.
const valueScale = 100

func (m *Model) baseline(k baselineKey, at time.Time) *baseline {
	b := m.baselines[k]
	if b == nil {
		if len(m.baselines) >= m.opts.MaxBaselines {
			dropOldest(m.baselines, func(b *baseline) time.Time { return b.at }, compareBaselines)
		}
		b = &baseline{}
		m.baselines[k] = b
	}
	b.at = at
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Baseline returns the value to expect of a victim without neighbours at a load, and the weight of the
// samples behind it; the weight is 0 if nothing is known.
func (m *Model) Baseline(victim string, load float64) (value float64, samples float64) {
	b := m.baselines[baselineKey{victim, loadRange(load)}]
	if b == nil {
		return 0, 0
	}
	v, ok := b.value()
	if !ok {
		return 0, 0
	}
	return v / valueScale, float64(max(b.alone.total, b.all.total/4))
}

// Effect returns the learned slowdown of a victim next to a neighbour that uses a whole worker: 0 is none, 1 is
// twice the time. The confidence is 0 if nothing is known, and approaches 1.
func (m *Model) Effect(victim, neighbour string) (slowdown, confidence float64) {
	mean, variance := m.combinedEffect(pairKey{victim, neighbour})
	return math.Expm1(min(mean, 4)), 1 - variance/priorVariance
}

// combinedEffect weighs the estimates of all daemons by their certainty.
func (m *Model) combinedEffect(k pairKey) (mean, variance float64) {
	information, sum := 0.0, 0.0
	add := func(e *effect) {
		// The part of the certainty that comes from samples and not from the prior.
		w := max(0, 1/e.variance-1/priorVariance)
		information += w
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
	if information == 0 {
		return 0, priorVariance
	}
	return sum / information, 1 / (information + 1/priorVariance)
}
