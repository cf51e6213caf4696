// Package control implements the replicated state machine of the control stream: configuration versions, batch
// jobs, team quotas, transfers of tasks between zones and attested losses. The state depends only on the records
// and their offsets, so all daemons that have read the same entries have the same state.
package control

import (
	"cmp"
	"slices"

	"github.com/google/uuid"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// Limits of the state. They decide which records are accepted, so all daemons must use the same values.
const (
	// MaxJobTasks limits the tasks of one job.
	MaxJobTasks = 20_000
	// MaxPayloadBytes limits the payload of one job.
	MaxPayloadBytes = 16 << 10
	// MaxNameBytes limits ids and names.
	MaxNameBytes = 128
	// MaxCheckpointBytes limits a checkpoint reference.
	MaxCheckpointBytes = 4 << 10
	// MaxWaiting limits the waiting jobs of one team.
	MaxWaiting = 5_000
	// MaxFinished limits the finished jobs that are kept, so that a repeated Submit of one of them does not run it
	// again. At 11,000 jobs a day this covers almost two days.
	MaxFinished = 20_000
	// MaxRecentIDs limits the record ids kept for deduplication. At the target load with three records per job this
	// covers about an hour and a half.
	MaxRecentIDs = 2_000
	// MaxAttested limits the attested losses that are kept.
	MaxAttested = 256
	// maxVerdictReasonBytes limits the reason kept for each recent record.
	maxVerdictReasonBytes = 200
	// maxReasonBytes limits reasons that come from records.
	maxReasonBytes = 512
	// maxZones limits the allowed zones in a job spec.
	maxZones = 64
	// maxAmount limits each component of a size, so that sums over all tasks of a job cannot overflow.
	maxAmount = 1 << 40
)

// ParseFunc parses and validates a document. Equal bytes must give equal results in every daemon.
type ParseFunc func(document []byte) (*environment.Document, error)

// JobState is the state of an unfinished job.
type JobState uint8

// States of an unfinished job.
const (
	// JobWaiting means that the job waits for its team's quota.
	JobWaiting JobState = 1
	// JobActive means that the job is charged to its team and may be admitted by its zone.
	JobActive JobState = 2
)

// String returns the state's name.
func (s JobState) String() string {
	switch s {
	case JobWaiting:
		return "waiting"
	case JobActive:
		return "active"
	}
	return "invalid"
}

// Counts holds the number of ended tasks by outcome.
type Counts struct {
	_         struct{} `cbor:",toarray"`
	Succeeded int
	Failed    int
	Cancelled int
}

// Total returns the number of ended tasks.
func (c Counts) Total() int { return c.Succeeded + c.Failed + c.Cancelled }

func (c Counts) add(o Counts) Counts {
	return Counts{Succeeded: c.Succeeded + o.Succeeded, Failed: c.Failed + o.Failed, Cancelled: c.Cancelled + o.Cancelled}
}

// Transfer is the latest transfer of a task between zones.
type Transfer struct {
	_          struct{} `cbor:",toarray"`
	Epoch      int64
	From       string
	To         string
	Checkpoint string
}

// Job is an unfinished batch job. Readers must not change it.
type Job struct {
	Spec record.JobSpec `cbor:"1,keyasint"`
	// Zone is the zone that admits the job first.
	Zone  string   `cbor:"2,keyasint"`
	State JobState `cbor:"3,keyasint"`
	// Submitted is the offset of the job's Submit record; it orders the queue.
	Submitted int64 `cbor:"4,keyasint"`
	// Activated is the offset of the record that made the job active, 0 while it waits.
	Activated int64 `cbor:"5,keyasint,omitempty"`
	Cancelled bool  `cbor:"6,keyasint,omitempty"`
	// Ended counts the ended tasks by zone.
	Ended map[string]Counts `cbor:"7,keyasint,omitempty"`
	// Transfers holds the latest transfer of each transferred task, by task index.
	Transfers map[int]Transfer `cbor:"8,keyasint,omitempty"`
	// Reason is why the job was parked or failed, if a zone reported a reason.
	Reason string `cbor:"9,keyasint,omitempty"`
}

// Use returns the resources charged to the team while the job is active.
func (j *Job) Use() resource.Vector { return j.Spec.Size.Times(int64(j.Spec.Tasks)) }

// EndedTotal returns the counts of ended tasks over all zones.
func (j *Job) EndedTotal() Counts {
	var sum Counts
	for _, c := range j.Ended {
		sum = sum.add(c)
	}
	return sum
}

// Finished is a job whose tasks have all ended.
type Finished struct {
	ID   string `cbor:"1,keyasint"`
	Team string `cbor:"2,keyasint"`
	// Offset is the offset of the record that finished the job.
	Offset int64  `cbor:"3,keyasint"`
	Counts Counts `cbor:"4,keyasint"`
	Reason string `cbor:"5,keyasint,omitempty"`
	// Digest is a hash of the spec and the first zone. It distinguishes a repeated Submit from another job with the
	// same id.
	Digest uint64 `cbor:"6,keyasint"`
}

// Attestation is an operator's statement that a VM is gone and runs nothing.
type Attestation struct {
	_      struct{} `cbor:",toarray"`
	Zone   string
	Worker string
	Author string
	// Offset is the offset of the AttestLost record.
	Offset int64
}

// StoredVerdict is the stored verdict on a recent record. An operator who did not receive the response repeats the
// command with the same record id and gets this verdict.
type StoredVerdict struct {
	_        struct{} `cbor:",toarray"`
	Offset   int64
	Accepted bool
	Reason   string
}

// team is the quota accounting of a team, derived from the jobs and the document.
type team struct {
	quota resource.Vector
	use   resource.Vector
	// queues hold waiting jobs in order of submission; jobs that no longer wait are skipped when they reach
	// the front. Index 0 is urgent, 1 is batch.
	queues  [2][]*Job
	waiting int
}

// State is the state of the control stream. It is not safe for concurrent use.
type State struct {
	parse  ParseFunc
	offset int64

	version       int64
	author        string
	documentBytes []byte
	document      *environment.Document

	jobs     map[string]*Job
	teams    map[string]*team
	finished map[string]*Finished
	// finishedOrder lists the finished jobs, oldest first.
	finishedOrder  []*Finished
	storedVerdicts map[uuid.UUID]StoredVerdict
	recent         []uuid.UUID // the ids in storedVerdicts, oldest first
	attested       []Attestation

	events []Event // collected by the Apply in progress
}

// New returns the state of an empty stream.
func New(parse ParseFunc) *State {
	return &State{
		parse: parse, jobs: map[string]*Job{}, teams: map[string]*team{},
		finished: map[string]*Finished{}, storedVerdicts: map[uuid.UUID]StoredVerdict{},
	}
}

// Offset returns the offset of the last applied record.
func (s *State) Offset() int64 { return s.offset }

// Version returns the version of the accepted document, 0 if there is none.
func (s *State) Version() int64 { return s.version }

// Document returns the accepted document or nil. Readers must not change it.
func (s *State) Document() *environment.Document { return s.document }

// DocumentBytes returns the accepted document as it was published. Readers must not change it.
func (s *State) DocumentBytes() []byte { return s.documentBytes }

// Author returns who published the accepted document.
func (s *State) Author() string { return s.author }

// Job returns an unfinished job or nil.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// Finished returns a finished job that is still kept, or nil.
func (s *State) Finished(id string) *Finished { return s.finished[id] }

// FinishedJobs returns the finished jobs that are kept, oldest first. Readers must not change the slice.
func (s *State) FinishedJobs() []*Finished { return s.finishedOrder }

// Attested returns the attestations that are kept, oldest first. Readers must not change the slice.
func (s *State) Attested() []Attestation { return s.attested }

// StoredVerdict returns the verdict on a record if it is one of the last MaxRecentIDs.
func (s *State) StoredVerdict(id uuid.UUID) (StoredVerdict, bool) {
	v, ok := s.storedVerdicts[id]
	return v, ok
}

// Jobs returns the unfinished jobs in order of submission.
func (s *State) Jobs() []*Job {
	out := make([]*Job, 0, len(s.jobs))
	for _, j := range s.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	return out
}

// TeamUse returns the resources charged to a team, its quota and the number of its waiting jobs.
func (s *State) TeamUse(name string) (use, quota resource.Vector, waiting int) {
	if t := s.teams[name]; t != nil {
		return t.use, t.quota, t.waiting
	}
	return use, quota, 0
}

// WaitReason returns why a job waits, or "" if it does not.
func (s *State) WaitReason(j *Job) string {
	if j.State != JobWaiting {
		return ""
	}
	t := s.teams[j.Spec.Team]
	if limit := j.Use().Limiting(t.quota); limit != "" {
		return "needs more " + limit + " than the team's whole quota"
	}
	if limit := j.Use().Limiting(t.quota.Sub(t.use)); limit != "" {
		return "team's quota of " + limit + " is in use"
	}
	return "behind an earlier job of the team"
}
