// Package contention learns from reports and requests how tasks interfere with each other on a VM and diagnoses why
// services are slow. It protects services from their neighbours, and the zone from workers on which all tasks fail.
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

// stepInterval is the time between evaluations of the workers; reports arrive at the same interval.
const stepInterval = 5 * time.Second

// Zone is the zone state and its journal.
type Zone interface {
	View(f func(s *zone.State))
	Post(body record.Body)
}

// Throttler limits the processor share of runs on owned workers.
type Throttler interface {
	Throttle(workerID string, key worker.RunKey, percent int64)
}

// Metrics counts events of the guards.
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

// Manager holds the interference model and the guards of one daemon. It is safe for concurrent use.
type Manager struct {
	cfg Config

	// mu guards the fields below.
	mu         sync.Mutex
	model      *interference.Model
	guard      *guard.Guard
	quarantine *guard.Quarantine
	reports    map[string]workerReport
	endpoints  map[worker.RunKey]*endpointLatencies
	// requestRates holds the requests per second of each endpoint in the last interval.
	requestRates map[worker.RunKey]float64
	services     map[string]*serviceWindows
	// endedRuns holds the succeeded runs whose duration was learned recently, so that each is learned once.
	endedRuns map[worker.RunKey]time.Time
	// intervalStart is when the current interval began.
	intervalStart time.Time
}

// workerReport is the newest report of a worker.
type workerReport struct {
	report worker.Report
	// tasks describes the runs by the zone state. It is looked up before mu is taken: the planner calls ExpectedUse and
	// Slowdown while it holds the lock of the zone state, so the zone state must not be read under mu.
	tasks      map[worker.RunKey]taskInfo
	receivedAt time.Time
	// unchanged is true if the worker has the same runs in the same states as in the previous report.
	unchanged bool
}

// New returns a manager with an empty model.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:           cfg,
		model:         interference.New(interference.DefaultOptions()),
		guard:         guard.New(guard.DefaultOptions()),
		quarantine:    guard.NewQuarantine(guard.DefaultQuarantineOptions()),
		reports:       map[string]workerReport{},
		endpoints:     map[worker.RunKey]*endpointLatencies{},
		requestRates:  map[worker.RunKey]float64{},
		services:      map[string]*serviceWindows{},
		endedRuns:     map[worker.RunKey]time.Time{},
		intervalStart: cfg.Now(),
	}
}

// Run calls Step each stepInterval until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
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

// Step ends an interval: it updates the model and runs the guards.
func (m *Manager) Step() {
	doc := m.cfg.Document()
	if doc == nil {
		return
	}
	now := m.cfg.Now()
	views, ownedShare, ownedStates := m.collectViews(doc, now)
	m.mu.Lock()
	m.guard.SetBudget(float64(doc.Guards.EvictionsPerMinute) * ownedShare)
	var actions []guard.Action
	if doc.Guards.Enabled {
		actions = m.guard.Step(now, views)
	}
	m.quarantine.Release(now)
	corrections := m.stateCorrections(ownedStates, now)
	m.startInterval(now)
	m.removeExpired(now)
	m.mu.Unlock()
	for _, a := range actions {
		m.executeAction(a)
	}
	for id, state := range corrections {
		m.setWorkerState(id, state, quarantineReasons[state])
	}
}

var quarantineReasons = map[record.WorkerState]string{
	record.WorkerUsable:      "quarantine is over",
	record.WorkerQuarantined: "tasks of several jobs failed",
}

// stateCorrections compares the quarantine with the zone state of the owned workers and returns the states to set. It
// restores the quarantine of workers that an earlier owner quarantined. The caller holds mu.
func (m *Manager) stateCorrections(states map[string]record.WorkerState, now time.Time) map[string]record.WorkerState {
	out := map[string]record.WorkerState{}
	for id, state := range states {
		switch {
		case state == record.WorkerQuarantined && m.quarantine.Probing(id):
			out[id] = record.WorkerUsable
		case state == record.WorkerQuarantined:
			m.quarantine.Restore(id, now)
		case state == record.WorkerUsable && m.quarantine.IsQuarantined(id):
			out[id] = record.WorkerQuarantined
		}
	}
	return out
}

// startInterval resets the latencies of the endpoints for a new interval. The caller holds mu.
func (m *Manager) startInterval(now time.Time) {
	m.requestRates = make(map[worker.RunKey]float64, len(m.endpoints))
	for key, e := range m.endpoints {
		m.requestRates[key] = e.requestRate(now.Sub(m.intervalStart))
	}
	m.endpoints = map[worker.RunKey]*endpointLatencies{}
	m.intervalStart = now
}

// removeExpired removes old reports and ended runs, and rotates the windows of services. The caller holds mu.
func (m *Manager) removeExpired(now time.Time) {
	for id, latest := range m.reports {
		if now.Sub(latest.receivedAt) > 4*stepInterval {
			delete(m.reports, id)
			m.guard.RemoveWorker(id)
		}
	}
	for key, at := range m.endedRuns {
		if now.Sub(at) > time.Minute {
			delete(m.endedRuns, key)
		}
	}
	for _, s := range m.services {
		s.rotate(now)
	}
}

func (m *Manager) executeAction(a guard.Action) {
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
		Int64("percent", a.Percent).Bool("move", a.Kind == guard.Move).Str("reason", a.Reason).
		Msg("guard changed the throttle of a batch task or moved it")
}

func (m *Manager) setWorkerState(id string, state record.WorkerState, reason string) {
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

// ExpectedUse implements placement.Estimator.
func (m *Manager) ExpectedUse(team, class string) (resource.Vector, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.model.ExpectedUse(team, class)
}

// Slowdown implements placement.Estimator.
func (m *Manager) Slowdown(victim, neighbour string) (slowdown, confidence float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.model.Slowdown(victim, neighbour)
}

// Probing reports whether a worker was released from quarantine and is still on probation.
func (m *Manager) Probing(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quarantine.Probing(id)
}

// Verdict returns the newest verdict on a service, or false if this daemon had no requests for it.
func (m *Manager) Verdict(service string) (verdict.Verdict, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	if s == nil {
		return verdict.Verdict{}, false
	}
	return s.verdict(), true
}

// Digest returns an encoded part of the model for other daemons of the zone, or nil if encoding fails.
func (m *Manager) Digest() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, err := m.model.Digest(m.cfg.Now(), maxDigestEntries)
	if err != nil {
		return nil
	}
	return b
}

// maxDigestEntries limits the size of a digest. Sent once a minute, a digest of this size costs about 100 B/s.
const maxDigestEntries = 32

// MergeDigest merges a digest of another daemon of the zone into the model.
func (m *Manager) MergeDigest(member string, digest []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.model.MergeDigest(member, digest); err != nil {
		m.cfg.Metrics.Count("contention_bad_digests")
	}
}
