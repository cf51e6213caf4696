// Package scheduler reconciles the zone state with the control state: policy, replicas of services, jobs, moves
// between zones and placement. Each step compares the newest states, appends the missing records and relies on the
// state machines to reject what another daemon appended first.
package scheduler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/placement"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/node/recent"
	"waxwingslip.example/node/stream"
)

// Timing of the loop.
const (
	// planInterval is the maximum time between planning rounds. Changes of the states start one at once.
	planInterval = 100 * time.Millisecond
	// reconcileInterval is the time between comparisons of the whole state, which make up for lost records and
	// changes of members.
	reconcileInterval = 2 * time.Second
	// estimateInterval is the time between updates of the learned resource use and slowdowns.
	estimateInterval = 10 * time.Second
	// repostInterval is how long to wait for the effect of a record before it is posted again.
	repostInterval = 2 * time.Second
)

// ZoneReplica is the state of the zone and its journal.
type ZoneReplica interface {
	View(f func(s *zone.State))
	Post(body record.Body)
}

// ControlReplica is the state of the control stream and its journal.
type ControlReplica interface {
	View(f func(s *control.State))
	Post(body record.Body)
}

// Loads provides the free capacity of other zones.
type Loads interface {
	// UnreservedCPUShare returns the share of a zone's processors that is not reserved, 0 to 1, and false without
	// a recent report of the zone.
	UnreservedCPUShare(zone string) (float64, bool)
}

// Metrics counts events of the scheduler.
type Metrics interface {
	Count(name string)
}

// Config configures a Scheduler.
type Config struct {
	Zone    string
	State   ZoneReplica
	Control ControlReplica
	// Member returns the daemon's member id, or "" while it is not a member.
	Member func() string
	Loads  Loads
	// Estimator provides the learned resource use and slowdowns. It may be nil.
	Estimator placement.Estimator
	// Probing reports whether a worker is on probation after a quarantine. It may be nil.
	Probing func(worker string) bool
	Metrics Metrics
	Log     zerolog.Logger
	// Now reads the monotonic clock of the process.
	Now  func() time.Duration
	Rand *rand.Rand
}

// Scheduler reconciles the zone state on behalf of one daemon.
type Scheduler struct {
	cfg    Config
	posted *recent.Set

	// mu guards the fields below, which subscribers fill.
	mu             sync.Mutex
	batches        []stream.Batch
	pressure       map[string]pressure
	controlChanged bool

	wakeup chan struct{}

	// The fields below belong to the goroutine of Run.
	planner *placement.Planner
	// plannerMember is the member id for which the planner was built.
	plannerMember string
	// crashes holds the back-off of replicas that fail repeatedly.
	crashes map[record.TaskID]crashHistory
	// pendingSince holds when this daemon first saw each pending task.
	pendingSince map[record.TaskID]time.Time
	// boundRuns holds the bound run of each task and when this daemon first saw it.
	boundRuns     map[record.TaskID]boundRun
	lastReconcile time.Duration
	lastEstimates time.Duration
	drainLimiter  rateLimiter
	leaveLimiter  rateLimiter
	spillLimiter  rateLimiter
	seenRevisions map[string]seenRevision
}

// pressure is the contention of a worker, 0 to 1.
type pressure struct {
	value      float64
	reportedAt time.Duration
}

// pressureTTL is how long a pressure is valid. While there is any, the owner of the worker reports it every few
// seconds.
const pressureTTL = 30 * time.Second

// New returns a scheduler that is not running.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:           cfg,
		posted:        recent.NewSet(repostInterval),
		pressure:      map[string]pressure{},
		wakeup:        make(chan struct{}, 1),
		pendingSince:  map[record.TaskID]time.Time{},
		boundRuns:     map[record.TaskID]boundRun{},
		crashes:       map[record.TaskID]crashHistory{},
		seenRevisions: map[string]seenRevision{},
	}
}

// ApplyZoneBatch queues changes of the zone state for the next step.
func (s *Scheduler) ApplyZoneBatch(b stream.Batch) {
	s.mu.Lock()
	s.batches = append(s.batches, b)
	s.mu.Unlock()
	s.wake()
}

// ApplyControl makes the next step reconcile with a changed control state.
func (s *Scheduler) ApplyControl(stream.Batch) {
	s.mu.Lock()
	s.controlChanged = true
	s.mu.Unlock()
	s.wake()
}

func (s *Scheduler) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Run steps after each change of the states and each planInterval until ctx ends. Every step plans; one in each
// reconcileInterval, and each after a change of the control state or the members, also reconciles.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
		case <-ticker.C:
		}
		s.step()
	}
}

func (s *Scheduler) step() {
	s.mu.Lock()
	batches, controlChanged := s.batches, s.controlChanged
	s.batches, s.controlChanged = nil, false
	s.mu.Unlock()

	self := s.cfg.Member()
	s.updatePlanner(batches)
	if self == "" {
		return
	}
	now := s.cfg.Now()
	if controlChanged || now-s.lastReconcile >= reconcileInterval || membersChanged(batches) {
		s.lastReconcile = now
		s.reconcile(self)
	}
	s.requeueAfterBackoff(self)
	if s.cfg.Estimator != nil && now-s.lastEstimates >= estimateInterval {
		s.lastEstimates = now
		s.planner.Index().SetEstimator(s.cfg.Estimator)
	}
	s.plan()
	s.drainZone(self)
	s.drainWorkers(self)
	s.spillPending(self)
}

// reconcile compares the whole control state with the zone state and posts the missing records.
func (s *Scheduler) reconcile(self string) {
	var desired []desiredJob
	var policy *record.Policy
	var services []record.JobSpec
	ended := s.endedJobs(self)
	var finished []string
	s.cfg.Control.View(func(c *control.State) {
		desired = s.desiredJobs(c)
		finished = finishedJobs(c, ended)
		if c.Document() != nil {
			policy = zonePolicy(c.Document(), c.Version(), s.cfg.Zone)
			services = serviceSpecs(c.Document(), s.cfg.Zone)
		}
	})
	if policy == nil {
		return
	}
	s.cfg.State.View(func(z *zone.State) {
		s.syncPolicy(z, self, policy)
		s.syncServices(z, self, services, policy.Version)
		s.syncJobs(z, self, desired)
		s.removeJobs(finished)
	})
}

// post appends a record to the zone stream unless one with the same key was posted within repostInterval.
func (s *Scheduler) post(key string, body record.Body) {
	if s.posted.Add(key, s.cfg.Now()) {
		s.cfg.State.Post(body)
	}
}

// postControl appends a record to the control stream unless one with the same key was posted within repostInterval.
func (s *Scheduler) postControl(key string, body record.Body) {
	if s.posted.Add(key, s.cfg.Now()) {
		s.cfg.Control.Post(body)
	}
}
