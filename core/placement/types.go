// Package placement decides which worker runs which pending task.
//
// The package does no I/O and reads no clock: times and the random source are parameters. A plan is only a
// proposal. The zone's state machine checks every Bind again when it reads it from the log, so a plan
// made from an older view can be rejected but can never overcommit a worker.
package placement

import (
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// Run is a task that holds a reservation on a worker.
type Run struct {
	Task     record.TaskID
	Epoch    int64
	Team     string
	Class    string
	Service  string
	Priority record.Priority
	Size     resource.Vector
	// StartedAt is when the reservation was made, zero if unknown.
	StartedAt time.Time
	// CheckpointedAt is the time of the newest checkpoint, zero if there is none.
	CheckpointedAt time.Time
}

// Worker is the planner's input about one worker.
type Worker struct {
	ID       string
	Rack     string
	Capacity resource.Vector
	State    record.WorkerState
	// Probing marks a worker that was just released from quarantine: it takes one batch task at a time.
	Probing bool
	// Pressure is the observed contention in the range 0 to 1, for instance the mean stall share of its runs.
	Pressure float64
	Runs     []Run
}

// Pending is a task that waits for a worker.
type Pending struct {
	Task       record.TaskID
	Epoch      int64
	Job        *record.JobSpec
	Since      time.Time
	Attempts   int
	Checkpoint string
}

// Bind proposes to reserve resources of a worker for a pending task.
type Bind struct {
	Task   record.TaskID
	Epoch  int64
	Worker string
}

// Eviction proposes to checkpoint and stop a batch run so that For fits on Worker.
type Eviction struct {
	Worker string
	Task   record.TaskID
	Epoch  int64
	// For is the task that needs the resources.
	For record.TaskID
}

// Estimator supplies learned expectations. All methods are pure reads.
type Estimator interface {
	// ExpectedUse returns the expected use of one task, false if too little is known.
	ExpectedUse(team, class string) (resource.Vector, bool)
	// Slowdown returns the learned slowdown of a victim when a neighbour uses a whole worker's processors: 0 is
	// none, 1 means that the victim takes twice as long. The confidence is 0 if nothing is known, at most 1.
	Slowdown(victim, neighbour string) (slowdown, confidence float64)
}

// Weights balances the terms of the ranking. Each weight multiplies a term that is roughly in 0 to 1.
type Weights struct {
	// ServiceInterference weighs the expected slowdown of services, BatchInterference that of batch tasks.
	ServiceInterference, BatchInterference float64
	// Overuse weighs expected use near or beyond a worker's capacity.
	Overuse float64
	// Pressure weighs contention that the worker reports.
	Pressure float64
	// Fit weighs the capacity left after a batch task is placed, Pack that after a replica of a service.
	Fit, Pack float64
	// Accelerator weighs the blocking of free accelerators by tasks that need none.
	Accelerator float64
	// Spread weighs replicas of the same service in the same rack.
	Spread float64
	// BatchPrior and ServicePrior are the slowdowns that are assumed for neighbours of unknown effect.
	BatchPrior, ServicePrior float64
}

// Options configures a Planner.
type Options struct {
	Weights Weights
	// UrgentRetry and BatchRetry are the waits before a task that did not fit is tried again.
	UrgentRetry, BatchRetry time.Duration
	// AgeScale is the waiting time that outweighs a difference of 1 in dominant share between teams.
	AgeScale time.Duration
	// StarveAfter is the waiting time after which a batch task is starving: it is tried regularly before urgent work,
	// and a worker may be drained for it.
	StarveAfter time.Duration
	// BindTimeout and UrgentBindTimeout are how long a bind that is neither accepted nor rejected keeps its resources.
	// The latter is for urgent tasks and replicas of services.
	BindTimeout, UrgentBindTimeout time.Duration
	// HoldDuration is how long resources freed by evictions are kept for the task that needs them.
	HoldDuration time.Duration
	// MaxExamined limits the failed placements in one call of Plan.
	MaxExamined int
	// MaxPreemptions limits the tasks for which one call of Plan evicts others.
	MaxPreemptions int
	// RestartCost is the work that an eviction wastes besides the work since the last checkpoint.
	RestartCost time.Duration
}

// DefaultOptions returns the options that the daemons use.
func DefaultOptions() Options {
	return Options{
		Weights: Weights{
			ServiceInterference: 4, BatchInterference: 0.5, Overuse: 3, Pressure: 1, Fit: 0.3, Pack: 1, Accelerator: 1,
			Spread: 3,
			// Services vary less than batch work, and packing them together leaves other workers to batch work.
			BatchPrior: 0.3, ServicePrior: 0.03,
		},
		// Four tries fit into the urgent start limit of 2.5 s and leave 1.5 s for the log and the start.
		UrgentRetry: 250 * time.Millisecond,
		BatchRetry:  time.Second,
		AgeScale:    10 * time.Minute,
		StarveAfter: 10 * time.Minute,
		BindTimeout: 5 * time.Second,
		// After an unreported rejection there is time for a second bind within the urgent start limit.
		UrgentBindTimeout: 1250 * time.Millisecond,
		HoldDuration:      10 * time.Second,
		MaxExamined:       512,
		MaxPreemptions:    8,
		RestartCost:       30 * time.Second,
	}
}
