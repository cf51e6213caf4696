package jobs

import (
	"slices"

	"github.com/pkg/errors"
)

// Phase is the execution phase of a task.
type Phase uint8

// The phases of a task.
const (
	// Waiting means that no run of the task can exist on any worker.
	Waiting Phase = iota
	// Bound means that a run may be starting, running or stopping on the task's worker.
	Bound
	// Done means that a run ended as done. The phase is final.
	Done
)

// Task is the progress of one task.
type Task struct {
	_     struct{} `cbor:",toarray"`
	Phase Phase
	// Run is the number of the newest run; 0 before the first.
	Run int64
	// Failures counts runs that ended as failed.
	Failures int
	// Worker is the worker to which the newest run is bound; empty unless the phase is Bound.
	Worker string
	// Checkpoint is the newest saved position; empty if there is none.
	Checkpoint string
}

// Occurrence is one execution of a job's steps.
type Occurrence struct {
	_      struct{} `cbor:",toarray"`
	Number int
	// Steps holds the tasks of each step.
	Steps [][]Task
}

// Outcome is how a job ended.
type Outcome uint8

// The outcomes of a job.
const (
	Unfinished Outcome = iota
	Completed
	Failed
	Cancelled
	// Moved jobs go on in another shard.
	Moved
)

// String names the outcome.
func (o Outcome) String() string {
	names := [...]string{"unfinished", "completed", "failed", "cancelled", "moved"}
	if int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// Progress is the stored state of a job that has begun or ended.
type Progress struct {
	Outcome Outcome `cbor:"1,keyasint,omitempty"`
	// EndedMs is the wall-clock time of the end.
	EndedMs int64 `cbor:"2,keyasint,omitempty"`
	// Next is the number of the occurrence that is created next.
	Next int `cbor:"3,keyasint,omitempty"`
	// Occurrences are those that began and have not ended.
	Occurrences []*Occurrence `cbor:"4,keyasint,omitempty"`
	// BegunOrBound is Begun for builds that do not know its key. Earlier ones set it once a task was bound, so that it proves
	// nothing. Only EncodeProgress and DecodeProgress use it.
	BegunOrBound bool `cbor:"5,keyasint,omitempty"`
	// Unreported lists runs that were taken to have ended although no worker reported their end, oldest first.
	Unreported []TaskRun `cbor:"6,keyasint,omitempty"`
	// MovedTo is the shard to which a job with the outcome Moved was moved, and MovedProgress its encoded progress before
	// that. MoveAnnounced is set once that shard can read the job.
	MovedTo       int    `cbor:"7,keyasint,omitempty"`
	MovedProgress []byte `cbor:"8,keyasint,omitempty"`
	MoveAnnounced bool   `cbor:"9,keyasint,omitempty"`
	// Begun is whether a worker has confirmed a run of any task.
	Begun bool `cbor:"10,keyasint,omitempty"`
	// MoveOffset is the offset at which the job was added to the commands of the shard MovedTo; 0 if it is not known.
	MoveOffset int64 `cbor:"11,keyasint,omitempty"`
	// InParts is set if the tasks are stored as parts, which AddParts adds.
	InParts bool `cbor:"12,keyasint,omitempty"`
	// SetAside is why nothing of the job runs any more, since the store never takes its progress; empty for other jobs.
	SetAside string `cbor:"13,keyasint,omitempty"`
	// FailedGangRuns has, for each gang with failures, the newest run of which one is counted; Index is 0. Several members may
	// fail in one run, which is one attempt of the gang. The failure is counted with the member that was the first to report it.
	FailedGangRuns []TaskRun `cbor:"14,keyasint,omitempty"`
}

// TaskRun identifies a run of a task of a job.
type TaskRun struct {
	_                       struct{} `cbor:",toarray"`
	Occurrence, Step, Index int
	Run                     int64
}

// maxUnreported limits Progress.Unreported; the oldest entries are dropped.
const maxUnreported = MaxTasks

// Job is a job with its progress. It is not safe for concurrent use.
type Job struct {
	Spec *Spec
	Progress
}

// New returns a job that has not begun.
func New(spec *Spec) *Job { return &Job{Spec: spec} }

// CreateDue creates occurrences that are due at the wall-clock time nowMs and reports whether there are any. While
// too many others run, a due occurrence is created only by a later call.
func (j *Job) CreateDue(nowMs int64) bool {
	created := false
	for j.Outcome == Unfinished && j.Next < j.Spec.Occurrences() && j.Spec.DueMs(j.Next) <= nowMs &&
		j.roomForOccurrence() {
		o := &Occurrence{Number: j.Next}
		for i := range j.Spec.Steps {
			o.Steps = append(o.Steps, make([]Task, j.Spec.Steps[i].Count))
		}
		j.Occurrences = append(j.Occurrences, o)
		j.Next++
		created = true
	}
	return created
}

// roomForOccurrence reports whether one more occurrence may run beside those that do.
func (j *Job) roomForOccurrence() bool {
	open := len(j.Occurrences)
	return open == 0 || open < maxOpenOccurrences && (open+1)*j.Spec.Tasks() <= maxOpenTasks
}

// Occurrence returns an occurrence that has begun and not ended, or nil.
func (j *Job) Occurrence(number int) *Occurrence {
	for _, o := range j.Occurrences {
		if o.Number == number {
			return o
		}
	}
	return nil
}

// Task returns the progress of a task, or nil if its occurrence has not begun or has ended.
func (j *Job) Task(id TaskID) *Task {
	o := j.Occurrence(id.Occurrence)
	if o == nil || id.Step >= len(o.Steps) || id.Index >= len(o.Steps[id.Step]) {
		return nil
	}
	return &o.Steps[id.Step][id.Index]
}

// Ready reports whether every step that the step waits for is done.
func (j *Job) Ready(o *Occurrence, step int) bool {
	for _, a := range j.Spec.Steps[step].After {
		if !stepDone(o.Steps[a]) {
			return false
		}
	}
	return true
}

func stepDone(tasks []Task) bool {
	for i := range tasks {
		if tasks[i].Phase != Done {
			return false
		}
	}
	return true
}

// Bind assigns the next run of a waiting task to a worker. Members of a gang pass the same run and get the same checkpoint.
func (j *Job) Bind(id TaskID, worker string, run int64) error {
	t := j.Task(id)
	if t == nil || t.Phase != Waiting || run <= t.Run || j.Outcome != Unfinished {
		return errors.Errorf("bind %s: run %d is not the next run of a waiting task", id, run)
	}
	t.Phase, t.Worker, t.Run = Bound, worker, run
	if j.Spec.Steps[id.Step].Gang {
		t.Checkpoint = gangCheckpoint(j.Occurrence(id.Occurrence).Steps[id.Step])
	}
	return nil
}

// gangCheckpoint returns the checkpoint from which a gang resumes. Progress that other builds stored may hold different ones.
func gangCheckpoint(tasks []Task) string {
	for i := range tasks {
		if tasks[i].Checkpoint != "" {
			return tasks[i].Checkpoint
		}
	}
	return ""
}

// SaveCheckpoint records a newer checkpoint of a task. That of one member of a gang holds for all of them, since they have
// to resume from the same. It has no effect on a task that is done: reports of its runs may come later. Nor has one of more
// than MaxCheckpointBytes: the task would resume from the checkpoint before.
func (j *Job) SaveCheckpoint(id TaskID, checkpoint string) {
	t := j.Task(id)
	if t == nil || t.Phase == Done || len(checkpoint) > MaxCheckpointBytes {
		return
	}
	if !j.Spec.Steps[id.Step].Gang {
		t.Checkpoint = checkpoint
		return
	}
	tasks := j.Occurrence(id.Occurrence).Steps[id.Step]
	for i := range tasks {
		tasks[i].Checkpoint = checkpoint
	}
}

// Begin records that a task runs or has run, and reports whether it is the first of the job. A binding is no proof: the
// worker may refuse the start.
func (j *Job) Begin() bool {
	first := !j.Begun
	j.Begun = true
	return first
}

// EndKind is how a run ended.
type EndKind uint8

// The kinds of ends.
const (
	EndDone EndKind = iota
	// EndFailed counts as an attempt.
	EndFailed
	// EndStopped and the kinds after it do not count as attempts.
	EndStopped
	// EndLeaseExpired means that the lease of the run's worker expired.
	EndLeaseExpired
	// EndGangMemberEnded means that another member of the run's gang ended.
	EndGangMemberEnded
	// EndGangIncomplete means that the run ended because other members of its gang did not join it.
	EndGangIncomplete
	// EndLost means that no end was reported, but the run has ended.
	EndLost
	// EndNotStarted means that the run was never started.
	EndNotStarted
)

// Ran reports whether only a run that was started can end so. A run can be stopped before its start arrives.
func (k EndKind) Ran() bool {
	switch k {
	case EndStopped, EndLost, EndNotStarted:
		return false
	}
	return true
}

// String names the kind.
func (k EndKind) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost", "not started"}[k]
}

// End records that a run ended and reports whether it was the task's current run. LateEnd records the ends of other
// runs.
func (j *Job) End(id TaskID, run int64, kind EndKind, checkpoint string, nowMs int64) bool {
	t := j.Task(id)
	if t == nil || t.Phase != Bound || t.Run != run {
		return false
	}
	if checkpoint != "" {
		j.SaveCheckpoint(id, checkpoint)
	}
	step := &j.Spec.Steps[id.Step]
	t.Phase, t.Worker = Waiting, ""
	j.Begun = j.Begun || kind.Ran()
	switch kind {
	case EndDone:
		if step.LongRunning {
			t.Checkpoint = ""
			break
		}
		if step.Gang {
			// The end of one member completes the whole gang.
			j.completeGang(id, run)
			break
		}
		t.Phase, t.Checkpoint = Done, ""
	case EndFailed:
		j.countFailure(id, run, nowMs)
	case EndLost:
		if j.gangRunFailed(id, run) {
			break // a failure that is reported late would not count
		}
		j.Unreported = append(j.Unreported, TaskRun{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index, Run: run})
		j.Unreported = j.Unreported[max(0, len(j.Unreported)-maxUnreported):]
	}
	j.removeFinished(nowMs)
	return true
}

// LateEnd records the end of a run that was taken to have ended before, and reports whether that changed the job. A task
// that was done in such a run is done; a newer run that is bound has to be stopped by the caller. A failure counts once.
func (j *Job) LateEnd(id TaskID, run int64, kind EndKind, nowMs int64) bool {
	t := j.Task(id)
	if t == nil || t.Phase == Done || run > t.Run || j.Outcome != Unfinished {
		return false
	}
	step := &j.Spec.Steps[id.Step]
	unreported := j.removeUnreported(id, run)
	switch {
	case step.LongRunning:
		return false
	case kind == EndDone && step.Gang:
		if j.anyBoundInStep(id) {
			return false
		}
		j.completeGang(id, t.Run)
	case kind == EndDone:
		t.Phase, t.Worker, t.Checkpoint = Done, "", ""
	case kind == EndFailed && unreported:
		j.countFailure(id, run, nowMs)
	default:
		return false
	}
	j.removeFinished(nowMs)
	return true
}

// removeUnreported removes a run from Unreported and reports whether it was listed.
func (j *Job) removeUnreported(id TaskID, run int64) bool {
	listed := TaskRun{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index, Run: run}
	n := len(j.Unreported)
	j.Unreported = slices.DeleteFunc(j.Unreported, func(r TaskRun) bool { return r == listed })
	return len(j.Unreported) < n
}

// completeGang marks all tasks of a gang as done in a run.
func (j *Job) completeGang(id TaskID, run int64) {
	tasks := j.Occurrence(id.Occurrence).Steps[id.Step]
	for i := range tasks {
		tasks[i] = Task{Phase: Done, Run: run}
	}
}

func (j *Job) anyBoundInStep(id TaskID) bool {
	return slices.ContainsFunc(j.Occurrence(id.Occurrence).Steps[id.Step], func(t Task) bool { return t.Phase == Bound })
}

// countFailure counts a failed run, that of a gang once, and ends the job if no attempt is left.
func (j *Job) countFailure(id TaskID, run, nowMs int64) {
	if j.Spec.Steps[id.Step].Gang {
		if j.gangRunFailed(id, run) {
			return
		}
		j.setGangRunFailed(id, run)
	}
	j.Task(id).Failures++
	if !j.Spec.Steps[id.Step].LongRunning && j.failures(id) >= j.Spec.MaxAttempts {
		j.finish(Failed, nowMs)
	}
}

// newestFailedGangRun returns the newest run of a gang of which a failure is counted, or nil.
func (j *Job) newestFailedGangRun(id TaskID) *TaskRun {
	for i := range j.FailedGangRuns {
		if r := &j.FailedGangRuns[i]; r.Occurrence == id.Occurrence && r.Step == id.Step {
			return r
		}
	}
	return nil
}

// gangRunFailed reports whether a failure of a gang's run is counted. Of earlier runs than the newest one that has failed, only
// those in Unreported are asked about, which are not counted.
func (j *Job) gangRunFailed(id TaskID, run int64) bool {
	newest := j.newestFailedGangRun(id)
	return newest != nil && newest.Run == run
}

// setGangRunFailed records that a failure of a gang's run is counted. Failures of other members that are reported late do not
// count any more.
func (j *Job) setGangRunFailed(id TaskID, run int64) {
	if newest := j.newestFailedGangRun(id); newest == nil {
		j.FailedGangRuns = append(j.FailedGangRuns, TaskRun{Occurrence: id.Occurrence, Step: id.Step, Run: run})
	} else {
		newest.Run = max(newest.Run, run)
	}
	j.Unreported = slices.DeleteFunc(j.Unreported, func(r TaskRun) bool {
		return r.Occurrence == id.Occurrence && r.Step == id.Step && r.Run == run
	})
}

// failures counts the failed runs of a task or, for a member of a gang, of the gang.
func (j *Job) failures(id TaskID) int {
	if !j.Spec.Steps[id.Step].Gang {
		return j.Task(id).Failures
	}
	n := 0
	for i := range j.Occurrence(id.Occurrence).Steps[id.Step] {
		n += j.Occurrence(id.Occurrence).Steps[id.Step][i].Failures
	}
	return n
}

// removeFinished removes occurrences that are done, and completes the job after the last one.
func (j *Job) removeFinished(nowMs int64) {
	if j.Outcome != Unfinished {
		return
	}
	remaining := j.Occurrences[:0]
	for _, o := range j.Occurrences {
		done := true
		for i := range o.Steps {
			done = done && stepDone(o.Steps[i])
		}
		if !done {
			remaining = append(remaining, o)
		}
	}
	j.Occurrences = remaining
	ended := func(r TaskRun) bool { return j.Occurrence(r.Occurrence) == nil }
	j.Unreported, j.FailedGangRuns = slices.DeleteFunc(j.Unreported, ended), slices.DeleteFunc(j.FailedGangRuns, ended)
	if len(remaining) == 0 && j.Next >= j.Spec.Occurrences() {
		j.finish(Completed, nowMs)
	}
}

// Cancel ends the job and reports whether it was unfinished. The caller has to stop bound runs.
func (j *Job) Cancel(nowMs int64) bool {
	if j.Outcome != Unfinished {
		return false
	}
	j.finish(Cancelled, nowMs)
	return true
}

func (j *Job) finish(o Outcome, nowMs int64) {
	j.Outcome, j.EndedMs = o, nowMs
}

// ForEachBound calls f for each task that may have a run on a worker.
func (j *Job) ForEachBound(f func(id TaskID, t *Task)) {
	for _, o := range j.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s] {
				if t := &o.Steps[s][i]; t.Phase == Bound {
					f(TaskID{j.Spec.ID, o.Number, s, i}, t)
				}
			}
		}
	}
}

// RemainingMs returns the estimated time of the longest chain of unfinished steps in the first occurrence.
func (j *Job) RemainingMs() int64 {
	if len(j.Occurrences) == 0 {
		return j.Spec.ChainMs()
	}
	o := j.Occurrences[0]
	ends := make([]int64, len(o.Steps))
	longest := int64(0)
	for i := range o.Steps {
		if stepDone(o.Steps[i]) {
			continue
		}
		start := int64(0)
		for _, a := range j.Spec.Steps[i].After {
			start = max(start, ends[a])
		}
		ends[i] = start + j.Spec.Steps[i].EstimateMs
		longest = max(longest, ends[i])
	}
	return longest
}

// AnyBound reports whether any task may have a run on a worker.
func (j *Job) AnyBound() bool {
	any := false
	j.ForEachBound(func(TaskID, *Task) { any = true })
	return any
}

// State is the state of a job as callers see it.
type State uint8

// The states of a job.
const (
	StateUnknown State = iota
	StatePending
	StateRunning
	StateCompleted
	StateFailed
	StateCancelled
)

// String names the state.
func (s State) String() string {
	return [...]string{"unknown", "pending", "running", "completed", "failed", "cancelled"}[s]
}

// State returns the state of the job as callers see it.
func (j *Job) State() State {
	switch {
	case j.Outcome == Completed:
		return StateCompleted
	case j.Outcome == Failed:
		return StateFailed
	case j.Outcome == Cancelled:
		return StateCancelled
	case j.Begun:
		return StateRunning
	}
	return StatePending
}
