// Package zone implements the replicated state machine of one zone's stream.
//
// State is a pure function of the records in log order: every daemon of the zone accepts and rejects the
// same records. Reservations are made only by accepted Bind records and released only by accepted End,
// Evict and Lost records, so no interleaving of writers overcommits a worker.
package zone

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/rendezvous"
	"waxwingslip.example/core/resource"
)

// ShardCount is the number of shards of a zone. It must not change, since owner epochs are stored per shard.
const ShardCount = 16

// ShardOf returns the shard of a worker.
func ShardOf(worker string) int { return int(xxhash.Sum64String(worker) % ShardCount) }

// Limits of the state.
const (
	// maxRecentIDs limits the record ids kept for deduplication. A writer repeats a record only while it waits for
	// it, so the window needs to cover only seconds of the highest append rate.
	maxRecentIDs = 2048
	// maxRemovedJobs limits the removed jobs whose ids are kept, so that a daemon whose control state lags cannot
	// admit one of them again. At 1,200 jobs a day per zone this covers more than three days.
	maxRemovedJobs = 4096
	// maxCheckpointBytes limits a checkpoint reference, as in the control stream.
	maxCheckpointBytes = 4 << 10
	// MaxJobTasks limits the tasks of one job.
	MaxJobTasks = 20000
	// defaultMaxAttempts limits the failed runs of a task whose spec sets no limit.
	defaultMaxAttempts = 3
	// parkAfterFailedWorkers is the number of different workers with failed tasks at which a batch job is parked.
	parkAfterFailedWorkers = 3
)

// State is the state of one zone. It is not safe for concurrent use.
type State struct {
	// Zone is the name of the zone. It is set by New and is not part of the encoding.
	Zone string `cbor:"-"`

	Offset      int64                  `cbor:"1,keyasint"`
	Members     map[string]*Member     `cbor:"2,keyasint"`
	ShardOwners [ShardCount]ShardOwner `cbor:"3,keyasint"`
	Workers     map[string]*Worker     `cbor:"4,keyasint"`
	Jobs        map[string]*Job        `cbor:"5,keyasint"`
	Policy      record.Policy          `cbor:"6,keyasint"`
	View        record.ClaimView       `cbor:"7,keyasint"`
	Recent      [][]byte               `cbor:"8,keyasint"`
	Departures  map[string]Departure   `cbor:"9,keyasint"`

	// RemovedJobs holds the revision of each recently removed job, and RemovedOrder their ids, oldest first.
	RemovedJobs  map[string]int64 `cbor:"10,keyasint,omitempty"`
	RemovedOrder []string         `cbor:"11,keyasint,omitempty"`

	seen     map[uuid.UUID]struct{}
	onChange func(Change)
}

// Member is a daemon of the zone.
type Member struct {
	PeerAddress string `cbor:"1,keyasint"`
	// Joined and Heartbeat are offsets.
	Joined    int64 `cbor:"2,keyasint"`
	Heartbeat int64 `cbor:"3,keyasint"`
}

// Departure describes how a membership ended. It is kept while the claim view contains the member or the member
// is the previous owner of a shard.
type Departure struct {
	// Graceful is set if the member gave up all authority before it left.
	Graceful bool `cbor:"1,keyasint,omitempty"`
	// Heartbeat is the offset of the last heartbeat.
	Heartbeat int64 `cbor:"2,keyasint"`
}

// ShardOwner is the owner of a shard. Owner is empty if the shard has no owner.
type ShardOwner struct {
	Owner string `cbor:"1,keyasint,omitempty"`
	Epoch int64  `cbor:"2,keyasint"`
	// Previous is the previous owner, which may renew leases until it reads that it lost the shard.
	Previous string `cbor:"3,keyasint,omitempty"`
}

// Worker is a registered worker.
type Worker struct {
	Info     record.WorkerInfo  `cbor:"1,keyasint"`
	State    record.WorkerState `cbor:"2,keyasint,omitempty"`
	Reason   string             `cbor:"3,keyasint,omitempty"`
	Reserved resource.Vector    `cbor:"-"`
	// Tasks holds the tasks bound to the worker. It is derived from Jobs.
	Tasks map[record.TaskID]*Task `cbor:"-"`
	// HeldFor is the task for which a run on the worker was stopped. The hold is valid while that task is pending
	// under HeldEpoch.
	HeldFor   record.TaskID `cbor:"4,keyasint"`
	HeldEpoch int64         `cbor:"5,keyasint,omitempty"`
	// classes counts the bound tasks of each class. It is derived from Jobs.
	classes map[string]int
}

// Free returns the capacity that is not reserved.
func (w *Worker) Free() resource.Vector { return w.Info.Capacity.Sub(w.Reserved) }

// ClassCount returns the number of bound tasks of a class.
func (w *Worker) ClassCount(class string) int { return w.classes[class] }

// TaskState is the state of a task in the zone.
type TaskState uint8

// States of a task.
const (
	TaskPending  TaskState = 1
	TaskBound    TaskState = 2
	TaskEnded    TaskState = 3
	TaskReleased TaskState = 4
)

// String returns the state's name.
func (s TaskState) String() string {
	switch s {
	case TaskPending:
		return "pending"
	case TaskBound:
		return "bound"
	case TaskEnded:
		return "ended"
	case TaskReleased:
		return "released"
	}
	return "invalid"
}

// Job is a job with at least one task that is or was in the zone.
type Job struct {
	Spec      record.JobSpec `cbor:"1,keyasint"`
	Cancelled bool           `cbor:"2,keyasint,omitempty"`
	// Parked is the reason why no more tasks of the job are placed, empty if the job is not parked.
	Parked string        `cbor:"3,keyasint,omitempty"`
	Tasks  map[int]*Task `cbor:"4,keyasint"`
	// FailedOn lists the workers on which tasks of the job failed.
	FailedOn []string `cbor:"5,keyasint,omitempty"`
	// Unfinished counts pending and bound tasks. It is derived.
	Unfinished int `cbor:"-"`
}

// IsService reports whether the tasks are replicas of a service.
func (j *Job) IsService() bool { return j.Spec.Service != "" }

// Task is one task.
type Task struct {
	Job   *Job `cbor:"-"`
	Index int  `cbor:"1,keyasint"`
	// Epoch increases with every run; the task and the epoch identify a run.
	Epoch      int64          `cbor:"2,keyasint"`
	State      TaskState      `cbor:"3,keyasint"`
	Worker     string         `cbor:"4,keyasint,omitempty"`
	Checkpoint string         `cbor:"5,keyasint,omitempty"`
	Address    string         `cbor:"6,keyasint,omitempty"`
	Attempts   int            `cbor:"7,keyasint,omitempty"`
	Outcome    record.Outcome `cbor:"8,keyasint,omitempty"`
	Reason     string         `cbor:"9,keyasint,omitempty"`
	// ReleasedTo is the target zone of a released task.
	ReleasedTo string `cbor:"10,keyasint,omitempty"`
	// Size is what the bound run reserves; a new revision of a service may have another size.
	Size resource.Vector `cbor:"11,keyasint"`
	// Revision is the revision of the spec under which the task was bound.
	Revision int64 `cbor:"12,keyasint,omitempty"`
	// Class is the class of the bound run; a new revision of a service may have another one.
	Class string `cbor:"16,keyasint,omitempty"`
	// Evictions counts runs that were stopped before their end or lost.
	Evictions int `cbor:"13,keyasint,omitempty"`
	// Stopping is the reason why the bound run is to be stopped, empty if it is not.
	Stopping string `cbor:"15,keyasint,omitempty"`
	// StoppingFor is the pending task that needs the capacity of the run that is being stopped.
	StoppingFor      record.TaskID `cbor:"17,keyasint"`
	StoppingForEpoch int64         `cbor:"18,keyasint,omitempty"`
	// Changed is the offset of the record that last changed the task.
	Changed int64 `cbor:"14,keyasint"`
}

// ID returns the task's id.
func (t *Task) ID() record.TaskID { return record.TaskID{Job: t.Job.Spec.ID, Index: t.Index} }

// Run returns the identity of the bound run.
func (t *Task) Run() record.Run { return record.Run{Task: t.ID(), Epoch: t.Epoch, Worker: t.Worker} }

// Unwanted reports whether the task must not run any more, because its job was cancelled or its service was
// scaled down.
func (t *Task) Unwanted() bool {
	return t.Job.Cancelled || t.Job.IsService() && t.Index >= t.Job.Spec.Tasks
}

// ShouldStop reports whether the bound run should be stopped.
func (t *Task) ShouldStop() bool {
	return t.State == TaskBound && (t.Stopping != "" || t.Unwanted())
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// Kinds of changes.
const (
	ChangeMember ChangeKind = iota + 1
	ChangeShard
	ChangeWorker
	ChangeTask
	ChangeJob
	ChangePolicy
	ChangeView
	// ChangeReservations means that the reservations of a worker changed.
	ChangeReservations
)

// Change is one effect of a record.
type Change struct {
	Kind   ChangeKind
	Task   record.TaskID
	Job    string
	Worker string
	Shard  int
}

// New returns the empty state of a zone.
func New(zone string) *State {
	s := &State{
		Zone:       zone,
		Members:    map[string]*Member{},
		Workers:    map[string]*Worker{},
		Jobs:       map[string]*Job{},
		Departures: map[string]Departure{},

		RemovedJobs: map[string]int64{},
	}
	s.seen = map[uuid.UUID]struct{}{}
	return s
}

// OnChange sets the function that Apply calls for every change. The function must not call Apply.
func (s *State) OnChange(f func(Change)) { s.onChange = f }

func (s *State) notify(c Change) {
	if s.onChange != nil {
		s.onChange(c)
	}
}

func (s *State) markTaskChanged(t *Task) {
	t.Changed = s.Offset
	s.notify(Change{Kind: ChangeTask, Task: t.ID(), Job: t.Job.Spec.ID, Worker: t.Worker})
}

// ResponsibleMember returns the member responsible for a duty that only one daemon of the zone has to perform.
func (s *State) ResponsibleMember(duty string) string {
	return rendezvous.Pick(duty, s.MemberIDs())
}

// MemberIDs returns the sorted ids of the members.
func (s *State) MemberIDs() []string {
	ids := make([]string, 0, len(s.Members))
	for id := range s.Members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Task returns a task, or nil.
func (s *State) Task(id record.TaskID) *Task {
	j := s.Jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.Tasks[id.Index]
}

// OwnerOf returns the member that owns a worker's shard, and the owner epoch.
func (s *State) OwnerOf(worker string) (member string, epoch int64) {
	o := s.ShardOwners[ShardOf(worker)]
	return o.Owner, o.Epoch
}
