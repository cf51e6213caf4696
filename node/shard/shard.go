// Package shard runs the jobs of one shard while this daemon owns it: it reads the jobs that callers submitted,
// binds their tasks to the shard's workers, starts and stops the runs and records their results.
//
// A binding is stored before its start is sent, and the end of a run before it is acknowledged to the worker. A new
// owner therefore finds every run that may exist, and it sends each worker its higher epoch before it starts anything.
//
// Serving tasks have a latency objective. Filling tasks use the capacity beside them; their pace, a percentage of full
// speed, is lowered where they raise that latency. Short tasks are those that neither run long nor fill.
package shard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"waxwingslip.example/core/fairshare"
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

// Topics of jobs. Each shard uses the partition with its number.
const (
	// JobsTopic holds the commands of callers: accepted and cancelled jobs. Every daemon appends to it.
	JobsTopic = "keyed.jobs"
	// ProgressTopic holds the progress of jobs. Only the shard's owner appends to it.
	ProgressTopic = "keyed.progress"
)

// Key prefixes in JobsTopic; the job's id follows. takenPrefix is another one.
const (
	acceptedPrefix  = "a/"
	cancelledPrefix = "c/"
)

// Authority limits what an owner may do at the moment.
type Authority interface {
	// MayStart reports whether runs may be started.
	MayStart() bool
	// MayRenew reports whether workers' leases may be renewed and queries answered.
	MayRenew() bool
	// FenceNumber returns the highest fence number that the owner may use at the moment. It is at least the epoch, rises
	// with each renewal of the ownership, and stays below the epoch of every later owner.
	FenceNumber() int64
}

// Limits are the platform's limits that the shard keeps to.
type Limits struct {
	// MaxWorkerLease is the longest lease that an owner grants.
	MaxWorkerLease time.Duration
	// LongestWorkerLease is the longest lease that workers accept; they shorten longer ones.
	LongestWorkerLease time.Duration
	// MaxObjectiveMiss is how long filling tasks may keep a serving task over its objective.
	MaxObjectiveMiss time.Duration
	// EndedRetention is the retention of an ended job's state.
	EndedRetention time.Duration
}

// Dependencies holds the dependencies that all shards of a daemon share.
type Dependencies struct {
	Store   *ledger.TimedStore
	Workers jobworker.Client
	// Advisor decides which workers may run the steps of some queues; nil if there is none.
	Advisor advisor.Advisor
	// Config returns the newest configuration, or nil.
	Config func() *jobqueue.Config
	// ZoneOutOfService reports whether an availability zone is out of service.
	ZoneOutOfService func(zone string) bool
	// Region returns the region of an availability zone.
	Region func(zone string) string
	// DecodeWorker decodes an entry of the worker registry.
	DecodeWorker func(id string, value []byte) (jobworker.Info, error)
	Registry     keyedlog.Partition
	// Shards returns the number of shards of the environment.
	Shards func() int
	// HomeShard returns the shard that holds a worker, or runs a job, until it is moved to another.
	HomeShard func(id string) int
	// JobState returns the state of a job by the owner of a shard, see Shard.State.
	JobState func(ctx context.Context, shard int, id string) (jobs.State, error)
	// Lend asks the owner of another shard for workers, see Shard.Lend.
	Lend     func(ctx context.Context, shard int, n Need) (Loan, error)
	Limits   Limits
	Now      func() time.Duration // monotonic, includes time in system suspend
	WallTime func() time.Time
	Log      zerolog.Logger
	Counters *Counters
}

// jobEntry is a job with the state that is not part of its progress.
type jobEntry struct {
	job *jobs.Job
	// storedState is the newest stored state, the only one that callers see.
	storedState jobs.State
	// mayHaveReady is set if some task may be ready to be bound, and mayHaveRestarts if one that has run before may be.
	mayHaveReady, mayHaveRestarts bool
	// waitsForQuota is set if the limit of the job's account kept a task from being bound in the newest plan.
	waitsForQuota bool
	// sizesCounted is set once the sizes of the job's short tasks count towards the mean size of its service.
	sizesCounted bool
	// unrunnableLogged is set once it was logged that no worker can run one of the job's steps.
	unrunnableLogged bool
	// dueMs is the time by which the job should end; it orders the jobs of a plan.
	dueMs int64
	// criticalPathMs is the estimated time of the longest chain of steps.
	criticalPathMs int64
	longRunning    bool
	lateness       lateness // at the newest plan
	// exceedsWeight marks a job that its client account sent in excess of its weight.
	exceedsWeight bool
	// cancelRequested is set once a cancellation was read, and cancelPassedOn once this owner passes it on to the shard to
	// which the job moved.
	cancelRequested, cancelPassedOn bool
	// cancelledFirst is set for a job whose cancellation was read before its acceptance.
	cancelledFirst bool
	// hidden is set for a job that was cancelled before it was accepted. Callers were told that there is no such job.
	hidden bool
	// setAside is why nothing of the job is planned or recorded any more; empty for other jobs.
	setAside string
	// storedParts holds the hashes of the stored parts of the job's progress by name. movingParts holds the
	// parts with which the job moves away, until its new shard can read them.
	storedParts map[string]uint64
	movingParts []jobs.Part
	// retryAt is the earliest time at which a failed task may run again, and avoid the worker that it failed on.
	retryAt map[jobs.TaskID]time.Duration
	avoid   map[jobs.TaskID]string
	// stallMoves counts how often tasks were moved because they stood still.
	stallMoves map[jobs.TaskID]int
}

// stage is the progress of a run's start or stop.
type stage uint8

const (
	committing stage = iota // the binding is not stored yet
	starting                // the start is in flight
	running                 // the worker has confirmed the start, or a previous owner may have sent it
	stopping                // a stop is in flight
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
	// respondedAt is when the worker responded to the start or stop of the stage.
	respondedAt time.Duration
	boundAt     time.Duration
	percent     int
	progressAt  time.Duration
	// percentReported is set once the worker has reported a percentage, and slowestPoint is the longest time that a percentage
	// point has taken since; 0 before the first change.
	percentReported bool
	slowestPoint    time.Duration
	// inherited is set for a run that an earlier owner started.
	inherited   bool
	measurement int64 // jobworker.Run.Measurement of the newest report
	// pace is the newest percentage sent to the worker, or unknownPace.
	pace int
	// pacedAt is when a pace was last sent; zero before the first.
	pacedAt time.Duration
	// overTargetSince is when a serving task's tail latency rose above its objective; zero while it is not above.
	overTargetSince time.Duration
	// slowSince is when the pace fell below slowPacePercent; zero while it is not below.
	slowSince time.Duration
	// startAttempts is how often this owner has sent the start, 0 for a run of an earlier owner. listed is set once a report
	// lists the run.
	startAttempts int
	listed        bool
	// checkpoint is the newest one that the worker reported.
	checkpoint string
	// account is the client account whose limit the run counts towards; empty for none.
	account string
}

// unknownPace marks a run whose pace the previous owner may have changed.
const unknownPace = -1

// Shard is the state of an owned shard.
type Shard struct {
	number int
	epoch  int64
	deps   *Dependencies
	auth   Authority
	log    zerolog.Logger
	ctx    context.Context // ends when the shard is lost
	cancel context.CancelFunc
	// earlierLeases is when the leases granted by earlier owners have certainly expired.
	earlierLeases EarlierLeases

	jobsFollower *ledger.Follower
	writer       *ledger.Writer

	isLoaded atomic.Bool
	// holdsEarlyCancels is set while earlyCancels is not empty.
	holdsEarlyCancels atomic.Bool

	// mu is held during calls of the functions in deps. These must not wait for a lock that is held during calls
	// of the shard.
	mu      sync.Mutex
	loaded  bool
	jobs    map[string]*jobEntry
	workers map[string]*worker
	fleet   *packing.Fleet
	runs    map[string]*run // by the task's name
	// entries holds the registry's entries of the workers of all shards.
	entries map[string]jobworker.Info
	// taken holds the newest record of each worker that was moved to this shard, and moved the newest move of each worker
	// from this shard. unstoredMoves holds the ids of workers whose moves are not stored yet.
	taken         map[string]holding
	moved         map[string]move
	unstoredMoves map[string]struct{}
	// settled holds the settled incarnations of workers by their ids. unstoredSettled holds the ids of those that are not
	// stored yet.
	settled         map[string]settledIncarnation
	unstoredSettled map[string]struct{}
	// usedFences holds the newest fence numbers of workers that were removed.
	usedFences map[string]int64
	// absentSince is since when workers with a settled incarnation have been gone.
	absentSince map[string]time.Duration
	// arrived holds the progress with which jobs were moved to this shard, by the job's id.
	arrived progressReader
	// earlyCancels holds the cancellations of jobs that were not known, by the job's id and the record's key.
	earlyCancels map[string]map[string]*heldEarlyCancel
	// shortages holds the steps with tasks that could not be placed in the newest plan, by name. plans counts the plans.
	shortages map[string]*shortage
	plans     int
	// moveTargets holds, by the id of the worker for which it leaves its own, the newest filling task that moves there.
	moveTargets map[string]*run
	// runsByWorker indexes runs by the worker's id.
	runsByWorker map[string]map[string]*run
	pressure     *pressure.Model
	// learnedStoredAt is when the learned state of the pressure model was last stored.
	learnedStoredAt time.Duration
	// advice holds the advisor's decisions on steps that need tickets, by the step's name.
	advice              map[string]*advice
	adviceCallsInFlight int
	quotas              quotas
	// placements lists the new bindings of the job being planned, for its log line.
	placements []string
	// meter counts the jobs of client accounts, and unmetered holds those that it has not counted yet.
	meter     *fairshare.Meter
	unmetered []*jobEntry
	// demand is the recent demand of short tasks by service.
	demand map[string]demand
	// publishedDemand and publishedUnrunnable are this shard's parts of the gauges.
	publishedDemand     int64
	publishedUnrunnable int
	// dirty holds the ids of jobs with unstored progress, and onStored the callbacks to run once it is stored.
	dirty    map[string]struct{}
	onStored []func()
	// deletedJobs are jobs whose records have yet to be deleted.
	deletedJobs []deletedJob
	// progressTombstones are the keys in ProgressTopic that are left to delete, once the other records of their jobs are
	// deleted.
	progressTombstones []string

	// sweptAt is when the newest sweep began. stalledAt is the end of the newest period in which this daemon did not
	// run, or was too slow to read the responses of workers.
	sweptAt, stalledAt time.Duration
	// lateStartAt is when a worker last responded to a late start.
	lateStartAt time.Duration

	commitSignal chan struct{}
	planSignal   chan struct{}
	// quotaSignal is sent when tasks wait for the limits of accounts.
	quotaSignal chan struct{}
	background  sync.WaitGroup
}

// objectiveMissReserve covers the time until a report first shows a missed objective, until the next report, and a call
// to the worker.
const objectiveMissReserve = reportWait + objectiveMissedReportWait + 650*time.Millisecond

// New returns a shard without jobs; Run loads them.
func New(deps *Dependencies, number int, epoch int64, auth Authority, earlierLeases EarlierLeases) *Shard {
	s := &Shard{
		number: number, epoch: epoch, deps: deps, auth: auth, earlierLeases: earlierLeases,
		log:  deps.Log.With().Int("shard", number).Int64("epoch", epoch).Logger(),
		jobs: map[string]*jobEntry{}, workers: map[string]*worker{},
		pressure: pressure.NewModel(deps.Limits.MaxObjectiveMiss - objectiveMissReserve),
		runs:     map[string]*run{}, runsByWorker: map[string]map[string]*run{}, demand: map[string]demand{},
		entries: map[string]jobworker.Info{}, taken: map[string]holding{}, moved: map[string]move{},
		settled: map[string]settledIncarnation{}, unstoredSettled: map[string]struct{}{}, usedFences: map[string]int64{}, absentSince: map[string]time.Duration{},
		unstoredMoves: map[string]struct{}{}, arrived: progressReader{}, earlyCancels: map[string]map[string]*heldEarlyCancel{}, shortages: map[string]*shortage{},
		advice: map[string]*advice{}, moveTargets: map[string]*run{}, dirty: map[string]struct{}{},
		meter: fairshare.NewMeter(), commitSignal: make(chan struct{}, 1), planSignal: make(chan struct{}, 1),
		quotaSignal: make(chan struct{}, 1), quotas: quotas{accounts: map[string]*accountQuota{}, waiting: map[string]int{}},
	}
	s.fleet = packing.NewFleet(s.pressure)
	s.jobsFollower = ledger.NewFollower(deps.Store, keyedlog.Partition{Topic: JobsTopic, Number: number}, s.applyCommands)
	s.writer = ledger.NewWriter(deps.Store, keyedlog.Partition{Topic: ProgressTopic, Number: number}, "owner", epoch)
	return s
}

// Intervals of the shard's loops.
const (
	// jobsPollWait plus ledger.ReadMargin is how long an unresponsive connection can hide accepted jobs, which must be
	// visible within 3 s.
	jobsPollWait = 1500 * time.Millisecond
	// registryPollInterval is the time between reads of the worker registry. A draining worker can be given work for
	// at most 2.5 s.
	registryPollInterval = 400 * time.Millisecond
	// sweepInterval is the time between checks for expired leases, due occurrences and ended jobs.
	sweepInterval = 200 * time.Millisecond
	// stallThreshold is the delay of a sweep above which the daemon counts as stalled. Workers that it could not reach
	// meanwhile are asked once more before their runs count as lost.
	stallThreshold = 500 * time.Millisecond
	// planDebounce lets events that arrive together share one plan.
	planDebounce = 4 * time.Millisecond
)

// Run loads the shard and runs its jobs until the context ends or the shard is lost.
func (s *Shard) Run(ctx context.Context) {
	s.ctx, s.cancel = context.WithCancel(ctx)
	defer s.cancel()
	loaded := false
	if err := s.contain("load", func() { loaded = s.load() }); err != nil || !loaded {
		return
	}
	var loops sync.WaitGroup
	loops.Go(func() {
		s.jobsFollower.Run(s.ctx, jobsPollWait, 0, ledger.LogDependency(s.log, "jobs topic"))
	})
	registry := ledger.NewFollower(s.deps.Store, s.deps.Registry, s.applyRegistry)
	loops.Go(func() { registry.Run(s.ctx, 0, registryPollInterval, ledger.LogDependency(s.log, "worker registry")) })
	for step, loop := range map[string]func(){"commit": s.commitLoop, "plan": s.planLoop, "sweep": s.sweepLoop, "share": s.shareLoop,
		"borrow": s.borrowLoop, "moved jobs": s.movedLoop, "quota": s.quotaLoop} {
		loops.Go(func() {
			if s.contain(step, loop) != nil {
				s.cancel()
			}
		})
	}
	loops.Wait()
	s.background.Wait()
	s.locked("count what waits", func() { s.countQuotaWaits(0); s.publishDemand(0, 0) })
}

// addRun registers a run and reserves its capacity. The caller holds mu.
func (s *Shard) addRun(r *run) {
	s.runs[r.name] = r
	workerRuns := s.runsByWorker[r.workerID]
	if workerRuns == nil {
		workerRuns = map[string]*run{}
		s.runsByWorker[r.workerID] = workerRuns
	}
	workerRuns[r.name] = r
	s.reserveQuota(r)
	s.fleet.Reserve(r.workerID, r.step, r.stepName)
}

// removeRun removes a run and releases its capacity. The caller holds mu.
func (s *Shard) removeRun(r *run) {
	delete(s.runs, r.name)
	delete(s.runsByWorker[r.workerID], r.name)
	if len(s.runsByWorker[r.workerID]) == 0 {
		delete(s.runsByWorker, r.workerID)
	}
	s.releaseQuota(r)
	s.fleet.Release(r.workerID, r.step, r.stepName)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sweepLoop periodically does the work that becomes due with time.
func (s *Shard) sweepLoop() {
	for {
		ctxtime.Sleep(s.ctx, sweepInterval)
		if s.ctx.Err() != nil {
			return
		}
		s.locked("sweep", s.sweep)
		signal(s.planSignal)
	}
}

// sweep does the work that is due. The caller holds mu.
func (s *Shard) sweep() {
	now := s.deps.Now()
	if s.sweptAt > 0 && now-s.sweptAt > sweepInterval+stallThreshold {
		s.stalledAt = now
	}
	s.sweptAt = now
	s.expireWorkerLeases(now)
	s.drainWorkers(now)
	s.emptyPromised(now)
	s.createDueOccurrences()
	s.pruneEndedJobs()
	s.pruneSettled(now)
	s.pruneEarlyCancels(now)
	s.pruneAdvice()
}

// createDueOccurrences creates the occurrences of scheduled jobs that are due. The caller holds mu.
func (s *Shard) createDueOccurrences() {
	wall := s.deps.WallTime().UnixMilli()
	for _, e := range s.jobs {
		s.forJob("create due occurrences", e, func() {
			if e.job.CreateDue(wall) {
				e.mayHaveReady = true
			}
		})
	}
}

// pruneEndedJobs removes jobs without runs that ended longer than the retention ago. The caller holds mu.
func (s *Shard) pruneEndedJobs() {
	limit := s.deps.WallTime().Add(-s.deps.Limits.EndedRetention).UnixMilli()
	for id, e := range s.jobs {
		if e.job.Outcome == jobs.Unfinished || e.job.Outcome == jobs.Moved || e.job.EndedMs > limit || e.job.AnyBound() {
			continue
		}
		s.removeJob(id)
	}
}

// removeJob removes a job and its records. The caller holds mu.
func (s *Shard) removeJob(id string) {
	d := deletedJob{id: id, progressKeys: []string{id}}
	if e := s.jobs[id]; e != nil {
		for name := range e.storedParts {
			d.progressKeys = append(d.progressKeys, partKey(id, name))
		}
	}
	if a := s.arrived[id]; a != nil {
		for name := range a.parts {
			d.arrivedKeys = append(d.arrivedKeys, arrivedPrefix+id+"/"+name)
		}
	}
	delete(s.jobs, id)
	delete(s.dirty, id)
	delete(s.arrived, id)
	s.deletedJobs = append(s.deletedJobs, d)
	signal(s.commitSignal)
}
