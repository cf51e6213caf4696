package jobs

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newSpec(steps ...Step) *Spec {
	return &Spec{ID: "j", Steps: steps, MaxAttempts: 2, AcceptedMs: 1000}
}

func newBegunJob(s *Spec) *Job {
	j := New(s)
	j.CreateDue(s.DueMs(s.Occurrences() - 1))
	return j
}

func taskID(occurrence, step, index int) TaskID {
	return TaskID{Job: "j", Occurrence: occurrence, Step: step, Index: index}
}

// Guards against interleavings of binds and ends, including late and repeated ones, after which a task runs again
// though it is done, a run number repeats, a step starts too early, a job ends wrongly, or stored progress decodes
// differently.
func TestAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSpec(Step{Count: 2}, Step{Count: 2, After: []int{0}}, Step{Count: 1, After: []int{0, 1}})
		j := newBegunJob(s)
		newestRun := map[TaskID]int64{}
		done := map[TaskID]bool{}
		failures := map[TaskID]int{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			task := taskID(0, rapid.IntRange(0, 2).Draw(t, "step"), 0)
			task.Index = rapid.IntRange(0, s.Steps[task.Step].Count-1).Draw(t, "index")
			run := rapid.Int64Range(1, 8).Draw(t, "run")
			if rapid.Bool().Draw(t, "bind") {
				o := j.Occurrence(0)
				if o == nil || !j.Ready(o, task.Step) {
					continue // only ready steps are bound
				}
				for _, dependency := range s.Steps[task.Step].After {
					for i := range s.Steps[dependency].Count {
						if !done[taskID(0, dependency, i)] {
							t.Fatalf("step %d is ready before %v ended", task.Step, taskID(0, dependency, i))
						}
					}
				}
				if err := j.Bind(task, "w", run); err == nil {
					if run <= newestRun[task] || done[task] || j.Outcome != Unfinished {
						t.Fatalf("run %d of %v is bound after run %d", run, task, newestRun[task])
					}
					newestRun[task] = run
				}
				continue
			}
			kind := EndKind(rapid.IntRange(int(EndDone), int(EndLost)).Draw(t, "kind"))
			outcomeBefore := j.Outcome
			if rapid.Bool().Draw(t, "late") {
				if run < newestRun[task] && !done[task] && kind == EndDone && j.LateEnd(task, run, kind, 2000) {
					done[task] = true
					checkRoundTrip(t, j)
				}
				continue
			}
			if !j.End(task, run, kind, "", 2000) {
				continue
			}
			if run != newestRun[task] || done[task] {
				t.Fatalf("end of run %d of %v was accepted", run, task)
			}
			done[task] = kind == EndDone
			if kind == EndFailed {
				failures[task]++
			}
			if outcomeBefore == Unfinished && j.Outcome == Failed && failures[task] < s.MaxAttempts {
				t.Fatalf("failed after %d attempts", failures[task])
			}
			checkRoundTrip(t, j)
		}
		if j.Outcome == Completed && len(done) < 5 {
			t.Fatalf("completed with %d tasks done", len(done))
		}
	})
}

// checkRoundTrip encodes and decodes the progress and compares the job's states.
func checkRoundTrip(t *rapid.T, j *Job) {
	data, err := cbor.Marshal(&j.Progress)
	if err != nil {
		t.Fatal(err)
	}
	decoded := &Job{Spec: j.Spec}
	if err := cbor.Unmarshal(data, &decoded.Progress); err != nil {
		t.Fatal(err)
	}
	if decoded.State() != j.State() || decoded.RemainingMs() != j.RemainingMs() || decoded.AnyBound() != j.AnyBound() {
		t.Fatalf("decoded as %v, was %v", decoded.State(), j.State())
	}
}

// Guards against gang members that count separately: the end of one ends the gang, and attempts are those of the gang.
func TestGang(t *testing.T) {
	is := is.New(t)
	j := newBegunJob(newSpec(Step{Count: 2, Gang: true}))
	bind := func(run int64) {
		is.NoErr(j.Bind(taskID(0, 0, 0), "w0", run))
		is.NoErr(j.Bind(taskID(0, 0, 1), "w1", run))
	}
	bind(1)
	is.True(j.End(taskID(0, 0, 0), 1, EndFailed, "", 0))
	is.True(j.End(taskID(0, 0, 1), 1, EndGangMemberEnded, "c", 0))
	is.Equal(j.State(), StateRunning)
	bind(2)
	is.True(j.End(taskID(0, 0, 1), 2, EndDone, "", 0))
	is.Equal(j.State(), StateCompleted)

	j = newBegunJob(newSpec(Step{Count: 2, Gang: true}))
	for run := int64(1); run <= 2; run++ {
		bind(run)
		is.True(j.End(taskID(0, 0, int(run-1)), run, EndFailed, "", 0))
		j.End(taskID(0, 0, int(2-run)), run, EndGangMemberEnded, "", 0)
	}
	is.Equal(j.State(), StateFailed) // a different member failed in each of the gang's two attempts
}

// Guards against members of a gang that resume from different checkpoints, and a report of a run whose job is done.
func TestGangCheckpoint(t *testing.T) {
	is := is.New(t)
	j := newBegunJob(newSpec(Step{Count: 3, Gang: true}))
	bind := func(run int64) {
		for i := range 3 {
			is.NoErr(j.Bind(taskID(0, 0, i), "w", run))
		}
	}
	expect := func(checkpoint string) {
		for i := range 3 {
			is.Equal(j.Task(taskID(0, 0, i)).Checkpoint, checkpoint)
		}
	}
	bind(1)
	j.SaveCheckpoint(taskID(0, 0, 1), "a")
	j.SaveCheckpoint(taskID(0, 0, 2), "b")
	expect("b")
	for i, saved := range []string{"c", "", "d"} {
		is.True(j.End(taskID(0, 0, i), 1, EndStopped, saved, 0))
	}
	expect("d")
	j.Task(taskID(0, 0, 0)).Checkpoint = "of another build"
	bind(2)
	expect("of another build")
	is.True(j.End(taskID(0, 0, 0), 2, EndDone, "", 0))
	j.SaveCheckpoint(taskID(0, 0, 1), "late") // the job is done
	is.Equal(j.Task(taskID(0, 0, 1)), nil)
}

// Guards against occurrences that begin early, are skipped, or end the job before the last one.
func TestOccurrences(t *testing.T) {
	is := is.New(t)
	s := newSpec(Step{Count: 1})
	s.Repeat, s.FirstRunMs, s.IntervalMs = 3, 5000, 1000
	j := New(s)
	is.True(!j.CreateDue(4999))
	is.True(j.CreateDue(6000)) // two are due
	is.Equal(len(j.Occurrences), 2)
	is.True(!j.CreateDue(6999))
	for k := range 2 {
		is.NoErr(j.Bind(taskID(k, 0, 0), "w", 1))
		is.True(j.End(taskID(k, 0, 0), 1, EndDone, "", 0))
	}
	is.Equal(j.State(), StateRunning)
	is.True(j.CreateDue(7000))
	is.NoErr(j.Bind(taskID(2, 0, 0), "w", 1))
	is.True(j.End(taskID(2, 0, 0), 1, EndDone, "", 0))
	is.Equal(j.State(), StateCompleted)
}

// Guards against long-running tasks that are not restarted, and lost checkpoints.
func TestLongRunningTaskAndCheckpoint(t *testing.T) {
	is := is.New(t)
	j := newBegunJob(newSpec(Step{Count: 1, LongRunning: true}))
	for run := int64(1); run < 6; run++ {
		is.NoErr(j.Bind(taskID(0, 0, 0), "w", run))
		is.True(j.End(taskID(0, 0, 0), run, EndFailed, "", 0))
		is.Equal(j.State(), StateRunning)
	}
	j = newBegunJob(newSpec(Step{Count: 1, Checkpointing: true}))
	is.NoErr(j.Bind(taskID(0, 0, 0), "w", 1))
	is.True(j.End(taskID(0, 0, 0), 1, EndStopped, "c1", 0))
	is.NoErr(j.Bind(taskID(0, 0, 0), "w", 2))
	is.True(j.End(taskID(0, 0, 0), 2, EndLost, "", 0))
	is.Equal(j.Task(taskID(0, 0, 0)).Checkpoint, "c1")
}

// Guards against task names that do not parse to the same task.
func TestTaskNames(t *testing.T) {
	is := is.New(t)
	want := TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 3, Step: 1, Index: 17}
	is.Equal(want.String(), "5c0e7a21d94b36f8.3.1.17")
	is.Equal(want.StepName(), "5c0e7a21d94b36f8.3.1")
	got, err := ParseTaskID(want.String())
	is.NoErr(err)
	is.Equal(got, want)
	for _, invalid := range []string{"", "a.1.2", "a.1.2.x", "a.1.2.-3", "a.1.2.3.4"} {
		if _, err := ParseTaskID(invalid); err == nil {
			t.Errorf("%q is parsed as a task name", invalid)
		}
	}
}

// Guards against a job that moves while tasks may run, or while a late end could still show that a task is done, and against
// one that never moves because a run of a task that is done now was never reported.
func TestMove(t *testing.T) {
	is := is.New(t)
	j := newBegunJob(newSpec(Step{Count: 1}, Step{Count: 1, After: []int{0}}))
	is.NoErr(j.Bind(taskID(0, 0, 0), "w", 1))
	is.True(!j.Move(3, 5))
	is.True(j.End(taskID(0, 0, 0), 1, EndLost, "", 0))
	is.True(j.AwaitsLateEnd())
	is.NoErr(j.Bind(taskID(0, 0, 0), "w", 2))
	is.True(j.End(taskID(0, 0, 0), 2, EndDone, "", 0))
	is.True(!j.AwaitsLateEnd())
	is.True(j.Move(3, 5))
	is.Equal(j.State(), StateRunning) // until the other shard tells
	is.NoErr(j.Progress.Validate(j.Spec))
	is.True(!j.Cancel(6))
	is.True(!j.CreateDue(7))
	is.True(!j.Move(4, 8))
	is.Equal(j.MovedTo, 3)
}
