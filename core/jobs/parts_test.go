package jobs

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// recordLimit is the most that the store takes in one record, in bytes.
const recordLimit = 262_144

// storedCopy returns the job as the next owner reads it, without the parts of the given names.
func storedCopy(t *testing.T, j *Job, head []byte, parts []Part, lost ...string) (*Job, error) {
	t.Helper()
	p, err := DecodeProgress(head)
	if err != nil {
		t.Fatal(err)
	}
	byName := map[string][]byte{}
	for _, part := range parts {
		byName[part.Name] = part.Value
	}
	for _, name := range lost {
		delete(byName, name)
	}
	read := New(j.Spec)
	read.Progress = *p
	err = read.AddParts(j.Spec, byName)
	return read, err
}

// newWideJob returns a job whose tasks are all bound and have checkpoints of a length.
func newWideJob(tasks, checkpointBytes int, gang bool) *Job {
	j := New(&Spec{ID: "a", MaxAttempts: 3, Steps: []Step{{Count: tasks - 20, Gang: gang}, {Count: 20}}})
	j.CreateDue(0)
	for step := range j.Occurrences[0].Steps {
		for i := range j.Occurrences[0].Steps[step] {
			t := &j.Occurrences[0].Steps[step][i]
			t.Phase, t.Run, t.Worker = Bound, 1_000_000, strings.Repeat("w", MaxWorkerIDBytes)
			t.Checkpoint = strings.Repeat("c", checkpointBytes)
		}
	}
	return j
}

// Guards against records that the store never takes: a job's progress grows with the number of its tasks and the length of
// their checkpoints, and everything of its shard waits behind such a record.
func TestStoredRecordsAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		tasks, checkpointBytes int
		gang, keeps            bool
	}{
		"no checkpoints":                    {MaxTasks, 0, false, true},
		"many of 64 digits":                 {MaxTasks, 64, false, true},
		"many, the longest kept with tasks": {MaxTasks, maxInlineCheckpointBytes, false, true},
		"many with records of their own":    {500, 5000, false, true},
		"few of 50 KB":                      {30, 50_000, false, true},
		"the longest that are kept":         {21, MaxCheckpointBytes, false, true},
		"longer than a record":              {21, 1 << 20, false, false},
		"gang with long ones":               {1000, 50_000, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := newWideJob(c.tasks, c.checkpointBytes, c.gang)
			head, parts, err := j.EncodeStored()
			is.NoErr(err)
			is.True(len(head) <= MaxStoredBytes)
			for _, p := range parts {
				is.True(len(p.Value) <= MaxStoredBytes)
			}
			is.True(MaxStoredBytes+MaxNameBytes < recordLimit)
			read, err := storedCopy(t, j, head, parts)
			is.NoErr(err)
			is.NoErr(read.Validate(j.Spec))
			for step, tasks := range j.Occurrences[0].Steps {
				for i, want := range tasks {
					if !c.keeps || c.gang && step == 0 && i > 0 {
						want.Checkpoint = "" // a gang resumes from the first one that is there
					}
					is.Equal(read.Occurrences[0].Steps[step][i], want)
				}
			}
		})
	}
}

// Guards against checkpoints that replace a shorter one although they cannot be stored: the task would start over.
func TestTooLongCheckpointKeepsTheOneBefore(t *testing.T) {
	is := is.New(t)
	j := New(&Spec{ID: "a", MaxAttempts: 3, Steps: []Step{{Count: 1}}})
	j.CreateDue(0)
	id := TaskID{Job: "a"}
	is.NoErr(j.Bind(id, "w", 1))
	j.SaveCheckpoint(id, "short")
	j.SaveCheckpoint(id, strings.Repeat("c", MaxCheckpointBytes+1))
	is.Equal(j.Task(id).Checkpoint, "short")
	is.True(j.End(id, 1, EndStopped, strings.Repeat("c", MaxCheckpointBytes+1), 0))
	is.Equal(j.Task(id).Checkpoint, "short")
}

// Guards against a change of one task that stores the whole job again.
func TestChangeStoresWhatChanged(t *testing.T) {
	is := is.New(t)
	j := newWideJob(MaxTasks, 64, false)
	_, before, err := j.EncodeStored()
	is.NoErr(err)
	j.End(TaskID{Job: "a", Index: 1000}, 1_000_000, EndDone, "", 0)
	_, after, err := j.EncodeStored()
	is.NoErr(err)
	changed := 0
	for i := range after {
		if string(after[i].Value) != string(before[i].Value) {
			changed++
		}
	}
	is.Equal(changed, 1)
}

// Guards against records of earlier builds, of one piece, that cannot be read any more, and against jobs that earlier
// builds would start over because they don't know parts.
func TestEarlierBuildsAndParts(t *testing.T) {
	is := is.New(t)
	j := newWideJob(MaxTasks, 10, false)
	old, err := EncodeProgress(&j.Progress)
	is.NoErr(err)
	is.True(len(old) > maxWholeBytes)
	read, err := storedCopy(t, j, old, nil)
	is.NoErr(err)
	is.NoErr(read.Validate(j.Spec))
	is.Equal(read.Occurrences[0].Steps[0][5], j.Occurrences[0].Steps[0][5])

	head, parts, err := j.EncodeStored()
	is.NoErr(err)
	is.True(len(parts) > 0)
	p, err := DecodeProgress(head)
	is.NoErr(err)
	is.True(p.Validate(j.Spec) != nil) // earlier builds set the job aside

	j = newWideJob(40, 10, false)
	head, parts, err = j.EncodeStored()
	is.NoErr(err)
	is.Equal(len(parts), 0)
	p, err = DecodeProgress(head)
	is.NoErr(err)
	is.NoErr(p.Validate(j.Spec)) // they read smaller jobs
}

// Guards against tasks that run again because a part of the job is missing, and against ended jobs that keep their parts.
func TestMissingPart(t *testing.T) {
	is := is.New(t)
	j := newWideJob(MaxTasks, 64, false)
	head, parts, err := j.EncodeStored()
	is.NoErr(err)
	_, err = storedCopy(t, j, head, parts, parts[len(parts)-1].Name)
	is.True(err != nil)
	j.Cancel(1)
	j.Occurrences = nil
	head, parts, err = j.EncodeStored()
	is.NoErr(err)
	is.Equal(len(parts), 0)
	read, err := storedCopy(t, j, head, nil)
	is.NoErr(err)
	is.Equal(read.State(), StateCancelled)
}

// Guards against jobs that never end because the owner was killed between two appends of one change: parts are stored
// before the head.
func TestPartsNewerThanHead(t *testing.T) {
	newJob := func(step Step) *Job {
		step.Count = MaxTasks
		j := New(&Spec{ID: "a", MaxAttempts: 1, Steps: []Step{step}})
		j.CreateDue(0)
		for i := range MaxTasks {
			_ = j.Bind(TaskID{Job: "a", Index: i}, strings.Repeat("w", 64), 1)
		}
		return j
	}
	t.Run("completed", func(t *testing.T) {
		is := is.New(t)
		j := newJob(Step{})
		head, _, err := j.EncodeStored()
		is.NoErr(err)
		for i := range j.Occurrences[0].Steps[0] {
			j.Occurrences[0].Steps[0][i] = Task{Phase: Done, Run: 1}
		}
		_, parts, err := j.EncodeStored()
		is.NoErr(err)
		read, err := storedCopy(t, j, head, parts)
		is.NoErr(err)
		read.Reconcile(7)
		is.Equal(read.State(), StateCompleted)
	})
	t.Run("failed", func(t *testing.T) {
		is := is.New(t)
		j := newJob(Step{})
		head, _, err := j.EncodeStored()
		is.NoErr(err)
		j.Occurrences[0].Steps[0][3] = Task{Run: 1, Failures: 1}
		_, parts, err := j.EncodeStored()
		is.NoErr(err)
		read, err := storedCopy(t, j, head, parts)
		is.NoErr(err)
		read.Reconcile(7)
		is.Equal(read.State(), StateFailed)
	})
	t.Run("gang done in part", func(t *testing.T) {
		is := is.New(t)
		j := newJob(Step{Gang: true})
		head, before, err := j.EncodeStored()
		is.NoErr(err)
		for i := range j.Occurrences[0].Steps[0] {
			j.Occurrences[0].Steps[0][i] = Task{Phase: Done, Run: 1}
		}
		_, after, err := j.EncodeStored()
		is.NoErr(err)
		read, err := storedCopy(t, j, head, append(after[:1:1], before[1:]...))
		is.NoErr(err)
		read.Reconcile(7)
		is.Equal(read.State(), StateCompleted)
	})
}

// FuzzAddParts guards against parts, as other builds or a damaged store hold them, that end the daemon.
func FuzzAddParts(f *testing.F) {
	j := newWideJob(60, 2000, false)
	j.InParts = true
	head, parts, err := j.EncodeStored()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(head, parts[0].Name, parts[0].Value)
	f.Add(head, parts[len(parts)-1].Name, parts[len(parts)-1].Value)
	f.Add(head, "0.c-1", []byte{0x60})
	f.Fuzz(func(t *testing.T, head []byte, name string, value []byte) {
		p, err := DecodeProgress(head)
		if err != nil {
			return
		}
		byName := map[string][]byte{name: value}
		for _, part := range parts[1:] {
			byName[part.Name] = part.Value
		}
		if p.AddParts(j.Spec, byName) == nil && p.Validate(j.Spec) == nil {
			read := New(j.Spec)
			read.Progress = *p
			read.Reconcile(0)
			_, _, _ = read.EncodeStored()
		}
	})
}
