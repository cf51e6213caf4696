// Package contention learns from reports and requests how tasks disturb each other on a VM, judges why services
// are slow, and protects services from their neighbours and the zone from workers that fail everything.
package contention

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/guard"
	"waxwingslip.example/core/interference"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/core/verdict"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/worker"
)

// interval is the time between looks at the workers; reports arrive as often.
const interval = 5 * time.Second

// Zone is the zone state and its journal.
type Zone interface {
	View(f func(s *zone.State))
	Post(body record.Body)
}

// Throttler limits the processor share of runs on owned workers.
type Throttler interface {
	Throttle(workerID string, key worker.RunKey, percent int64)
}

// Metrics counts what the guards do.
type Metrics interface {
	Count(name string)
}

// Config configures a Manager.
type Config struct {
	Zone Zone
	// Document returns the configuration in force, or nil.
	Document  func() *environment.Document
	Throttler Throttler
	// Member returns the daemon's member id, or "" while it is not a member.
	Member  func() string
	Metrics Metrics
	Log     zerolog.Logger
	Now     func() time.Time
}

// Manager holds what one daemon has learned. It is safe for concurrent use.
type Manager struct {
	cfg Config

	// mu guards the fields below.
	mu         sync.Mutex
	model      *interference.Model
	guard      *guard.Guard
	quarantine *guard.Quarantine
	reports    map[string]heard
	endpoints  map[worker.RunKey]*latencies
	// rates holds the requests per second of each endpoint in the last interval.
	rates    map[worker.RunKey]float64
	services map[string]*serviceWindows
	ended    map[worker.RunKey]time.Time
	// intervalStart is when the current interval of the endpoints began.
	intervalStart time.Time
}

// heard is the newest report of a worker with the neighbours of the one before.
type heard struct {
	report worker.Report
	// classes is what the zone state says about the runs. It is looked up before mu is taken: the planner asks
	// for estimates while it holds the zone state, so the zone state must not be read under mu.
	classes map[worker.RunKey]taskInfo
	at      time.Time
	// settled is true if the runs on the worker did not change since the report before.
	settled bool
}

// New returns a manager that has learned nothing.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:           cfg,
		model:         interference.New(interference.DefaultOptions()),
		guard:         guard.New(guard.DefaultOptions()),
		quarantine:    guard.NewQuarantine(guard.DefaultQuarantineOptions()),
		reports:       map[string]heard{},
		endpoints:     map[worker.RunKey]*latencies{},
		rates:         map[worker.RunKey]float64{},
		services:      map[string]*serviceWindows{},
		ended:         map[worker.RunKey]time.Time{},
		intervalStart: cfg.Now(),
	}
}

// Run looks at the workers until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.Step()
		}
	}
}

// Step ends an interval: it learns from it and acts on it.
func (m *Manager) Step() {
	doc := m.cfg.Document()
	if doc == nil {
		return
	}
	now := m.cfg.Now()
	views, owned, states := m.look(doc, now)
	m.mu.Lock()
	m.guard.SetBudget(float64(doc.Guards.EvictionsPerMinute) * owned)
	var actions []guard.Action
	if doc.Guards.Enabled {
		actions = m.guard.Step(now, views)
	}
	m.quarantine.Release(now)
	corrections := m.quarantineStates(states, now)
	m.nextInterval(now)
	m.forget(now)
	m.mu.Unlock()
	for _, a := range actions {
		m.carryOut(a)
	}
	for id, state := range corrections {
		m.setWorker(id, state, quarantineReasons[state])
	}
}

var quarantineReasons = map[record.WorkerState]string{
	record.WorkerUsable:      "quarantine is over",
	record.WorkerQuarantined: "tasks of several jobs failed",
}

// quarantineStates compares the quarantine with the zone's state of the owned workers and returns the states to set.
// A worker that an earlier owner quarantined is taken over. It must be called with mu held.
func (m *Manager) quarantineStates(states map[string]record.WorkerState, now time.Time) map[string]record.WorkerState {
	out := map[string]record.WorkerState{}
	for id, state := range states {
		switch {
		case state == record.WorkerQuarantined && m.quarantine.Probing(id):
			out[id] = record.WorkerUsable
		case state == record.WorkerQuarantined:
			m.quarantine.Restore(id, now)
		case state == record.WorkerUsable && m.quarantine.Held(id):
			out[id] = record.WorkerQuarantined
		}
	}
	return out
}

// nextInterval must be called with mu held.
func (m *Manager) nextInterval(now time.Time) {
	m.rates = make(map[worker.RunKey]float64, len(m.endpoints))
	for key, e := range m.endpoints {
		m.rates[key] = e.rate(now.Sub(m.intervalStart))
	}
	m.endpoints = map[worker.RunKey]*latencies{}
	m.intervalStart = now
}

// forget drops what is too old to matter. It must be called with mu held.
func (m *Manager) forget(now time.Time) {
	for id, h := range m.reports {
		if now.Sub(h.at) > 4*interval {
			delete(m.reports, id)
			m.guard.Forget(id)
		}
	}
	for key, at := range m.ended {
		if now.Sub(at) > time.Minute {
			delete(m.ended, key)
		}
	}
	for _, s := range m.services {
		s.rotate(now)
	}
}

func (m *Manager) carryOut(a guard.Action) {
	key := worker.RunKey{Job: a.Task.Job, Index: a.Task.Index, Epoch: a.Epoch}
	switch a.Kind {
	case guard.Throttle:
		m.cfg.Metrics.Count("guard_throttles")
		m.cfg.Throttler.Throttle(a.Worker, key, a.Percent)
	case guard.Move:
		m.cfg.Metrics.Count("guard_moves")
		m.cfg.Zone.Post(&record.Stop{
			Run: record.Run{Task: a.Task, Epoch: a.Epoch, Worker: a.Worker}, Reason: a.Reason,
		})
	}
	m.cfg.Log.Info().Str("step", "guard").Str("worker", a.Worker).Str("job", a.Task.Job).Int("index", a.Task.Index).
		Int64("percent", a.Percent).Bool("move", a.Kind == guard.Move).Str("reason", a.Reason).Msg("guard acted")
}

func (m *Manager) setWorker(id string, state record.WorkerState, reason string) {
	self := m.cfg.Member()
	var owner record.Owner
	m.cfg.Zone.View(func(s *zone.State) {
		member, epoch := s.OwnerOf(id)
		if w := s.Workers[id]; w != nil && member == self && w.State != state {
			owner = record.Owner{Member: member, Epoch: epoch}
		}
	})
	if owner.Member != "" {
		m.cfg.Zone.Post(&record.SetWorker{Owner: owner, Worker: id, State: state, Reason: reason})
	}
}

// Use implements placement.Estimator.
func (m *Manager) Use(team, class string) (resource.Vector, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.model.Use(team, class)
}

// Effect implements placement.Estimator.
func (m *Manager) Effect(victim, neighbour string) (slowdown, confidence float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.model.Effect(victim, neighbour)
}

// Probing reports whether a worker was released from quarantine and is not trusted yet.
func (m *Manager) Probing(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quarantine.Probing(id)
}

// Verdict returns the newest verdict on a service, false if it had no requests here.
func (m *Manager) Verdict(service string) (verdict.Verdict, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	if s == nil {
		return verdict.Verdict{}, false
	}
	return s.verdict(), true
}

// Digest returns a part of what this daemon learned, for other daemons of the zone.
func (m *Manager) Digest() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, err := m.model.Digest(m.cfg.Now(), digestEntries)
	if err != nil {
		return nil
	}
	return b
}

// digestEntries limits a digest; one that is sent each minute costs about 100 B/s.
const digestEntries = 32

// Absorb takes in a digest of another daemon of the zone.
func (m *Manager) Absorb(member string, digest []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.model.Absorb(member, digest); err != nil {
		m.cfg.Metrics.Count("contention_bad_digests")
	}
}
