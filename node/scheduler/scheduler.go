// Package scheduler runs the duties that turn the control state into the zone state: policy, replicas of
// services, jobs, moves between zones and placement. Each duty looks at the newest state, appends the records
// that are missing and relies on the state machines to drop what another daemon appended first.
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
	// planInterval is the time between planning rounds while tasks wait.
	planInterval = 100 * time.Millisecond
	// repairInterval is the time between looks at the whole state, which repair what a lost record or a change
	// of members left undone.
	repairInterval = 2 * time.Second
	// learnInterval is the time between readings of the learned sizes and effects.
	learnInterval = 10 * time.Second
	// repostAfter is how long a record's effect is waited for before it is posted again.
	repostAfter = 2 * time.Second
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

// Loads tells how loaded other zones are.
type Loads interface {
	// Room returns the share of a zone's processors that is not reserved, 0 to 1, and false if the zone was not
	// heard recently.
	Room(zone string) (float64, bool)
}

// Metrics counts what the scheduler does.
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
	// Estimator gives learned sizes and effects. It may be nil.
	Estimator placement.Estimator
	// Probing reports whether a worker was just released from quarantine. It may be nil.
	Probing func(worker string) bool
	Metrics Metrics
	Log     zerolog.Logger
	// Now reads the monotonic clock of the process.
	Now  func() time.Duration
	Rand *rand.Rand
}

// Scheduler runs the duties of one daemon.
type Scheduler struct {
	cfg    Config
	posted *recent.Set

	// mu guards the fields below, which subscribers fill.
	mu       sync.Mutex
	batches  []stream.Batch
	pressure map[string]pressure
	control  bool

	wakeup chan struct{}

	// The fields below belong to the goroutine of Run.
	planner *placement.Planner
	// builtFor is the member id for which the planner was built.
	builtFor string
	// crashes delays the restart of replicas that fail again and again.
	crashes map[record.TaskID]crash
	since   map[record.TaskID]time.Time
	// bound holds when this daemon first saw the bound run of a task, by task and epoch.
	bound      map[record.TaskID]boundRun
	lastRepair time.Duration
	lastLearn  time.Duration
	drain      pacer
	leaving    pacer
	spill      pacer
	admitted   map[string]admission
}

// pressure is the contention of a worker, 0 to 1.
type pressure struct {
	value float64
	at    time.Duration
}

// pressureKept is how long a pressure counts; its owner tells it every few seconds while there is any.
const pressureKept = 30 * time.Second

// New returns a scheduler that is not running.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:      cfg,
		posted:   recent.NewSet(repostAfter),
		pressure: map[string]pressure{},
		wakeup:   make(chan struct{}, 1),
		since:    map[record.TaskID]time.Time{},
		bound:    map[record.TaskID]boundRun{},
		crashes:  map[record.TaskID]crash{},
		admitted: map[string]admission{},
	}
}

// ApplyZone receives changes of the zone state.
func (s *Scheduler) ApplyZone(b stream.Batch) {
	s.mu.Lock()
	s.batches = append(s.batches, b)
	s.mu.Unlock()
	s.wake()
}

// ApplyControl receives changes of the control state.
func (s *Scheduler) ApplyControl(stream.Batch) {
	s.mu.Lock()
	s.control = true
	s.mu.Unlock()
	s.wake()
}

func (s *Scheduler) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Run does the duties until ctx ends.
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
	batches, controlChanged := s.batches, s.control
	s.batches, s.control = nil, false
	s.mu.Unlock()

	self := s.cfg.Member()
	s.feed(batches)
	if self == "" {
		return
	}
	now := s.cfg.Now()
	if controlChanged || now-s.lastRepair >= repairInterval || membersChanged(batches) {
		s.lastRepair = now
		s.repair(self)
	}
	s.feedDelayed(self)
	if s.cfg.Estimator != nil && now-s.lastLearn >= learnInterval {
		s.lastLearn = now
		s.planner.Index().SetEstimator(s.cfg.Estimator)
	}
	s.plan()
	s.drainZone(self)
	s.drainWorkers(self)
	s.spillPending(self)
}

// repair compares the whole control state with the zone state.
func (s *Scheduler) repair(self string) {
	var wanted []job
	var policy *record.Policy
	var services []record.JobSpec
	ended := s.endedHere(self)
	var finished []string
	s.cfg.Control.View(func(c *control.State) {
		wanted = s.collectJobs(c)
		finished = finishedOf(c, ended)
		if c.Document() != nil {
			policy = policyOf(c.Document(), c.Version(), s.cfg.Zone)
			services = servicesOf(c.Document(), s.cfg.Zone)
		}
	})
	if policy == nil {
		return
	}
	s.cfg.State.View(func(z *zone.State) {
		s.syncPolicy(z, self, policy)
		s.syncServices(z, self, services, policy.Version)
		s.syncJobs(z, self, wanted)
		s.forgetJobs(finished)
	})
}

// post appends a record to the zone stream unless the same was done a moment ago.
func (s *Scheduler) post(purpose string, body record.Body) {
	if s.posted.Add(purpose, s.cfg.Now()) {
		s.cfg.State.Post(body)
	}
}

// postControl appends a record to the control stream unless the same was done a moment ago.
func (s *Scheduler) postControl(purpose string, body record.Body) {
	if s.posted.Add(purpose, s.cfg.Now()) {
		s.cfg.Control.Post(body)
	}
}
