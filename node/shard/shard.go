// Package shard runs the jobs of one shard while this daemon owns it: it reads the jobs that callers submitted,
// binds their tasks to the shard's workers, gives the orders and records what came of them.
//
// A binding is stored before its start is sent, and an end before it is acknowledged to the worker. A new owner
// therefore finds every run that may exist, and tells each worker its higher epoch before it starts anything.
package shard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/packing"
	"waxwingslip.example/core/pressure"
	"waxwingslip.example/external/advisor"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/jobworker"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ctxtime"
	"waxwingslip.example/node/ledger"
)

// Topics of jobs; each shard has the partition of its number.
const (
	// JobsTopic holds what callers commanded: accepted and cancelled jobs. Every daemon appends to it.
	JobsTopic = "keyed.jobs"
	// ProgressTopic holds the progress of jobs. Only the shard's owner appends to it.
	ProgressTopic = "keyed.progress"
)

// Prefixes of keys in JobsTopic, before a job's id.
const (
	acceptedPrefix  = "a/"
	cancelledPrefix = "c/"
)

// Authority tells what an owner may do now.
type Authority interface {
	MayOrder() bool
	MayHold() bool
}

// Bounds are the platform's figures that the shard keeps to.
type Bounds struct {
	// HoldMax is the longest lease of a worker.
	HoldMax time.Duration
	// HarmAfter is how long a serving task may miss its objective because of filling tasks.
	HarmAfter time.Duration
	// KeepEnded is how long the state of an ended job is kept.
	KeepEnded time.Duration
}

// Environment is what every shard of a daemon shares.
type Environment struct {
	Store   keyedlog.Store
	Workers jobworker.Client
	// Advisor knows which workers may run the steps of some queues; nil if there is none.
	Advisor advisor.Advisor
	// Config returns the newest configuration, or nil.
	Config func() *jobqueue.Config
	// Evacuated reports whether an availability zone is out of service.
	Evacuated func(zone string) bool
	// Region returns the region of an availability zone.
	Region func(zone string) string
	// DecodeWorker reads an entry of the workers' registry.
	DecodeWorker func(id string, value []byte) (jobworker.Info, error)
	Registry     keyedlog.Partition
	// Assigned reports whether a worker belongs to the shard.
	Assigned func(shard int, w jobworker.Info) bool
	Bounds   Bounds
	Now      func() time.Duration // counts suspension
	Wall     func() time.Time
	Log      zerolog.Logger
	Counters *Counters
}

// entry is a job and what is known of it beside its progress.
type entry struct {
	job *jobs.Job
	// shown is the stored state; callers see no other.
	shown jobs.State
	// open tells that some task may be ready to be bound.
	open bool
	// dueAt is when the job's objective is reached, for the order of planning.
	dueMs int64
	// chainMs is the estimated time of the longest chain of steps.
	chainMs  int64
	lasting  bool
	prospect prospect // at the newest plan
	// cancelled tells that a cancelling was read.
	cancelled bool
	// retryAt holds tasks back that ended badly a moment ago.
	retryAt map[jobs.TaskID]time.Duration
	avoid   map[jobs.TaskID]string
}

// stage is how far the order for a run is.
type stage uint8

const (
	committing stage = iota // the binding is not stored yet
	starting                // the start is under way
	running                 // the worker has confirmed the start, or a predecessor gave it
	stopping                // a stop is under way
	stopped                 // the worker has confirmed the stop
)

// run is a run that may exist. A task has at most one.
type run struct {
	id       jobs.TaskID
	name     string
	number   int64
	workerID string
	step     *jobs.Step
	stepName string
	stage    stage
	// answeredAt is when the worker answered the start or the stop of the stage.
	answeredAt time.Duration
	boundAt    time.Duration
	percent    int
	progressAt time.Duration
	figure     int64
	// pace is the percentage that the worker was told last, or unknownPace.
	pace int
	// overSince is when the tail of a serving task rose over its objective; zero if it is not over it.
	overSince time.Duration
	// slowSince is when the pace became too slow to stay; zero if it is not.
	slowSince time.Duration
	// checkpoint is the newest that the worker reported.
	checkpoint string
}

// unknownPace is the pace of a run that the previous owner may have paced.
const unknownPace = -1

// Shard is the state of an owned shard.
type Shard struct {
	number int
	epoch  int64
	env    *Environment
	auth   Authority
	log    zerolog.Logger
	ctx    context.Context // ends when the shard is lost
	cancel context.CancelFunc
	// orphanLapse is when leases given by the previous owner have certainly lapsed.
	orphanLapse time.Duration

	jobsFollower *ledger.Follower
	writer       *ledger.Writer

	isLoaded atomic.Bool

	// mu is held while functions of the environment are called; these must not wait for a lock under which the
	// shard is called.
	mu      sync.Mutex
	loaded  bool
	jobs    map[string]*entry
	workers map[string]*worker
	fleet   *packing.Fleet
	runs    map[string]*run // by the task's name
	// runsOn holds the same runs by worker.
	runsOn   map[string]map[string]*run
	pressure *pressure.Model
	// learnedAt is when what the model knows was stored last.
	learnedAt time.Duration
	// advice holds what is known of the workers for steps that need tickets, by the step's name.
	advice         map[string]*advice
	adviceUnderWay int
	// bound lists the places given to the job that is planned, for its log line.
	bound []string
	// demand is what short tasks of each service needed lately.
	demand map[string]demand
	// dirty holds the ids of jobs whose progress is not stored, and stored what follows when it is.
	dirty  map[string]struct{}
	stored []func()
	// dropped are jobs whose records are to be dropped.
	dropped []string
	// tombstones are jobs of which only the progress is left to drop.
	tombstones []string

	commitSignal chan struct{}
	planSignal   chan struct{}
	orders       sync.WaitGroup
}

// harmReserve covers the time until a report first shows the harm, until the next one, and an order's way.
const harmReserve = holdWait + strainedWait + 650*time.Millisecond

// New returns a shard that Run fills.
func New(env *Environment, number int, epoch int64, auth Authority, orphanLapse time.Duration) *Shard {
	s := &Shard{
		number: number, epoch: epoch, env: env, auth: auth, orphanLapse: orphanLapse,
		log:  env.Log.With().Int("shard", number).Int64("epoch", epoch).Logger(),
		jobs: map[string]*entry{}, workers: map[string]*worker{}, pressure: pressure.NewModel(env.Bounds.HarmAfter - harmReserve),
		runs: map[string]*run{}, runsOn: map[string]map[string]*run{}, demand: map[string]demand{}, advice: map[string]*advice{}, dirty: map[string]struct{}{},
		commitSignal: make(chan struct{}, 1), planSignal: make(chan struct{}, 1),
	}
	s.fleet = packing.NewFleet(s.pressure)
	s.jobsFollower = ledger.NewFollower(env.Store, keyedlog.Partition{Topic: JobsTopic, Number: number}, s.applyCommands)
	s.writer = ledger.NewWriter(env.Store, keyedlog.Partition{Topic: ProgressTopic, Number: number}, "owner", epoch)
	return s
}

// Waits of the shard's loops.
const (
	// jobsWait and ledger.ReadMargin together bound for how long a silent connection hides accepted jobs, which have to
	// show after 3 s.
	jobsWait = 1500 * time.Millisecond
	// registryPause is the time between reads of the workers' registry; the bound on work for a draining
	// worker is 2.5 s.
	registryPause = 400 * time.Millisecond
	// sweepInterval is the time between looks for lapsed leases, due occurrences and ended jobs.
	sweepInterval = 200 * time.Millisecond
	// planPause lets events that come together share one plan.
	planPause = 4 * time.Millisecond
)

// Run loads the shard and works until the context ends.
func (s *Shard) Run(ctx context.Context) {
	s.ctx, s.cancel = context.WithCancel(ctx)
	defer s.cancel()
	if !s.load() {
		return
	}
	var loops sync.WaitGroup
	loops.Go(func() {
		s.jobsFollower.Run(s.ctx, jobsWait, 0, ledger.LogDependency(s.log, "jobs topic"))
	})
	registry := ledger.NewFollower(s.env.Store, s.env.Registry, s.applyRegistry)
	loops.Go(func() { registry.Run(s.ctx, 0, registryPause, ledger.LogDependency(s.log, "worker registry")) })
	loops.Go(s.commitLoop)
	loops.Go(s.planLoop)
	loops.Go(s.sweepLoop)
	loops.Wait()
	s.orders.Wait()
}

// addRun notes a run and reserves its room. The caller holds mu.
func (s *Shard) addRun(r *run) {
	s.runs[r.name] = r
	on := s.runsOn[r.workerID]
	if on == nil {
		on = map[string]*run{}
		s.runsOn[r.workerID] = on
	}
	on[r.name] = r
	s.fleet.Reserve(r.workerID, r.step, r.stepName)
}

// removeRun forgets a run and frees its room. The caller holds mu.
func (s *Shard) removeRun(r *run) {
	delete(s.runs, r.name)
	delete(s.runsOn[r.workerID], r.name)
	if len(s.runsOn[r.workerID]) == 0 {
		delete(s.runsOn, r.workerID)
	}
	s.fleet.Release(r.workerID, r.step, r.stepName)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sweepLoop does what becomes due by time.
func (s *Shard) sweepLoop() {
	for {
		ctxtime.Sleep(s.ctx, sweepInterval)
		if s.ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		now := s.env.Now()
		s.lapseWorkers(now)
		s.leaveDraining(now)
		s.createDue()
		s.dropEnded()
		s.dropAdvice()
		s.mu.Unlock()
		signal(s.planSignal)
	}
}

// createDue creates occurrences whose time has come. The caller holds mu.
func (s *Shard) createDue() {
	wall := s.env.Wall().UnixMilli()
	for _, e := range s.jobs {
		if e.job.CreateDue(wall) {
			e.open = true
		}
	}
}

// dropEnded forgets jobs that ended long ago and whose runs are gone. The caller holds mu.
func (s *Shard) dropEnded() {
	limit := s.env.Wall().Add(-s.env.Bounds.KeepEnded).UnixMilli()
	for id, e := range s.jobs {
		if e.job.Outcome == jobs.Unfinished || e.job.EndedMs > limit || e.job.AnyBound() {
			continue
		}
		delete(s.jobs, id)
		delete(s.dirty, id)
		s.dropped = append(s.dropped, id)
	}
	if len(s.dropped) > 0 {
		signal(s.commitSignal)
	}
}
