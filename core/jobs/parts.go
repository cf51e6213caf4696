package jobs

import (
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Limits of the records of a job's progress, in bytes of their values. The store takes no record above 262,144 bytes.
const (
	// maxWholeBytes limits progress that is stored as one record, the only form that earlier builds read.
	maxWholeBytes = 128 << 10
	// partTasks is the number of tasks in one part of larger progress.
	partTasks = 32
	// maxInlineCheckpointBytes limits a checkpoint that is stored with its task. Longer ones are parts of their own.
	maxInlineCheckpointBytes = 1000
	// MaxCheckpointBytes limits a checkpoint that is kept. A task with a longer one keeps the one before.
	MaxCheckpointBytes = 128 << 10
	// MaxWorkerIDBytes limits the ids of workers, which are stored with tasks and in keys.
	MaxWorkerIDBytes = 200
	// MaxStoredBytes is more than the size of any record of a job's progress.
	MaxStoredBytes = 160 << 10
)

// Part is a record with a part of a job's progress: tasks of one occurrence, or one long checkpoint.
type Part struct {
	Name  string // unique in the job, without a slash
	Value []byte
}

// checkpointMark stands in the name of a part before the index of the task whose long checkpoint it holds.
const checkpointMark = "c"

func partName(occurrence int, mark string, index int) string {
	return strconv.Itoa(occurrence) + "." + mark + strconv.Itoa(index)
}

// EncodeStored encodes progress to be stored, as records of which none exceeds MaxStoredBytes, however many tasks and
// checkpoints the job has. Small progress is a head alone. Otherwise the parts must be stored before or with the head, so
// that a head without its parts is never read.
func (j *Job) EncodeStored() (head []byte, parts []Part, err error) {
	if !j.InParts || len(j.Occurrences) == 0 {
		whole := j.Progress
		whole.InParts = false
		if head, err = EncodeProgress(&whole); err != nil || len(head) <= maxWholeBytes || len(j.Occurrences) == 0 {
			return head, nil, err
		}
	}
	j.InParts = true
	stub := j.Progress
	stub.Occurrences = nil
	for _, o := range j.Occurrences {
		if parts, err = j.appendParts(parts, o); err != nil {
			return nil, nil, err
		}
		// Without its steps, earlier builds refuse the occurrence and set the job aside, instead of running it again.
		stub.Occurrences = append(stub.Occurrences, &Occurrence{Number: o.Number})
	}
	head, err = EncodeProgress(&stub)
	return head, parts, err
}

// appendParts appends the parts of an occurrence.
func (j *Job) appendParts(parts []Part, o *Occurrence) ([]Part, error) {
	tasks := slices.Concat(o.Steps...)
	first := 0 // index of the step's first task
	for step := range o.Steps {
		for i := range o.Steps[step] {
			t := &tasks[first+i]
			if len(t.Checkpoint) <= maxInlineCheckpointBytes {
				continue
			}
			checkpoint := t.Checkpoint
			t.Checkpoint = ""
			if len(checkpoint) > MaxCheckpointBytes || j.Spec.Steps[step].Gang && i > 0 {
				continue // members of a gang have the same one
			}
			value, err := cbor.Marshal(checkpoint)
			if err != nil {
				return nil, errors.Wrap(err, "encode checkpoint")
			}
			parts = append(parts, Part{partName(o.Number, checkpointMark, first+i), value})
		}
		first += len(o.Steps[step])
	}
	for start := 0; start < len(tasks); start += partTasks {
		value, err := cbor.Marshal(tasks[start:min(start+partTasks, len(tasks))])
		if err != nil {
			return nil, errors.Wrap(err, "encode tasks")
		}
		parts = append(parts, Part{partName(o.Number, "", start), value})
	}
	return parts, nil
}

// AddParts completes decoded progress from its parts, by their names, for a job of the given spec. Parts that it does not
// name are ignored: they are older, or newer and part of a change that was not stored whole.
func (p *Progress) AddParts(spec *Spec, parts map[string][]byte) error {
	if !p.InParts {
		return nil
	}
	for _, o := range p.Occurrences {
		if o == nil {
			return errors.New("an occurrence is missing")
		}
		tasks := make([]Task, 0, spec.Tasks())
		for start := 0; start < spec.Tasks(); start += partTasks {
			var part []Task
			value, ok := parts[partName(o.Number, "", start)]
			if !ok {
				return errors.Errorf("tasks %d and later of occurrence %d are missing", start, o.Number)
			}
			if err := cbor.Unmarshal(value, &part); err != nil {
				return errors.Wrapf(err, "decode tasks %d and later of occurrence %d", start, o.Number)
			}
			if want := min(partTasks, spec.Tasks()-start); len(part) != want {
				return errors.Errorf("tasks %d and later of occurrence %d: %d tasks, not %d", start, o.Number, len(part), want)
			}
			tasks = append(tasks, part...)
		}
		addCheckpoints(o.Number, tasks, parts)
		o.Steps = nil
		for i := range spec.Steps {
			n := spec.Steps[i].Count
			o.Steps = append(o.Steps, slices.Clone(tasks[:n]))
			tasks = tasks[n:]
		}
	}
	p.Begun = p.Begun || p.showsRun()
	return nil
}

// addCheckpoints adds long checkpoints to the tasks of an occurrence. A part that cannot be decoded is left out: its task
// starts over.
func addCheckpoints(occurrence int, tasks []Task, parts map[string][]byte) {
	prefix := strconv.Itoa(occurrence) + "." + checkpointMark
	for name, value := range parts {
		index, err := strconv.Atoi(strings.TrimPrefix(name, prefix))
		if !strings.HasPrefix(name, prefix) || err != nil || index < 0 || index >= len(tasks) {
			continue
		}
		var checkpoint string
		if t := &tasks[index]; t.Phase != Done && t.Checkpoint == "" && cbor.Unmarshal(value, &checkpoint) == nil {
			t.Checkpoint = checkpoint
		}
	}
}

// Reconcile draws the conclusions that were not stored with the changes that led to them, because the owner ended between
// two appends: a gang of which one member is done, a task without attempts left, an occurrence without unfinished tasks.
func (j *Job) Reconcile(nowMs int64) {
	for _, o := range j.Occurrences {
		for step := range o.Steps {
			for i := range o.Steps[step] {
				id, t := TaskID{Occurrence: o.Number, Step: step, Index: i}, &o.Steps[step][i]
				switch {
				case t.Phase == Done && j.Spec.Steps[step].Gang:
					j.completeGang(id, t.Run)
				case j.Outcome == Unfinished && t.Phase != Done && t.Failures > 0 && !j.Spec.Steps[step].LongRunning &&
					j.failures(id) >= j.Spec.MaxAttempts:
					j.finish(Failed, nowMs)
				}
			}
		}
	}
	j.removeFinished(nowMs)
}
