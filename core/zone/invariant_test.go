package zone

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// drawBody draws a record that a current, stale or faulty daemon could append. Most records use the state's
// epochs, since records with other epochs are nearly always rejected.
func drawBody(t *rapid.T, s *State) record.Body {
	member := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "member")
	w := rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "worker")
	job := rapid.SampledFrom([]string{"j1", "j2", "service/s"}).Draw(t, "job")
	task := record.TaskID{Job: job, Index: rapid.IntRange(0, 2).Draw(t, "index")}
	epoch := s.ShardOwners[ShardOf(w)].Epoch + 1
	owner := record.Owner{Member: s.ShardOwners[ShardOf(w)].Owner, Epoch: epoch - 1}
	taskEpoch, runWorker := int64(1), w
	if existing := s.Task(task); existing != nil {
		taskEpoch = existing.Epoch
		if existing.Worker != "" {
			runWorker = existing.Worker
			owner.Member, owner.Epoch = s.OwnerOf(runWorker)
		}
	}
	if rapid.IntRange(0, 5).Draw(t, "outdated") == 0 {
		epoch = rapid.Int64Range(0, 4).Draw(t, "epoch")
		owner = record.Owner{Member: member, Epoch: epoch}
		taskEpoch = rapid.Int64Range(1, 5).Draw(t, "taskEpoch")
		runWorker = w
	}
	run := record.Run{Task: task, Epoch: taskEpoch, Worker: runWorker}
	switch rapid.IntRange(0, 22).Draw(t, "kind") {
	case 0:
		return &record.Join{Member: member}
	case 1:
		return &record.Leave{Member: member}
	case 2:
		return &record.Expire{Member: member, LastHeartbeat: rapid.Int64Range(1, 40).Draw(t, "heartbeat")}
	case 3, 4:
		return &record.Claim{Shard: ShardOf(w), Epoch: epoch, Member: member}
	case 5, 6:
		current, currentEpoch := s.OwnerOf(w)
		return &record.RegisterWorker{Owner: record.Owner{Member: current, Epoch: currentEpoch}, Worker: drawWorker(w)}
	case 7:
		return &record.SetWorker{Owner: owner, Worker: w, State: record.WorkerState(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(t, "state"))}
	case 8:
		return &record.Policy{
			Version:    s.Policy.Version + rapid.Int64Range(0, 2).Draw(t, "version"),
			InService:  rapid.IntRange(0, 3).Draw(t, "inService") > 0,
			Exclusions: []record.Exclusion{{A: "x", B: "y"}},
		}
	case 9, 10:
		return &record.Admit{Job: drawJob(t, job)}
	case 11:
		return &record.Adopt{Job: drawJob(t, job), Index: task.Index, Epoch: taskEpoch}
	case 12, 13, 14, 19, 20, 21, 22:
		return &record.Bind{Task: task, Epoch: taskEpoch, Worker: w}
	case 15:
		return &record.End{Owner: owner, Run: run, Outcome: record.Outcome(rapid.IntRange(1, 3).Draw(t, "outcome"))}
	case 16:
		return &record.Evict{Owner: owner, Run: run, Checkpoint: "c"}
	case 17:
		return &record.Lost{Owner: owner, Run: run, Basis: record.LostNotRunning}
	default:
		return rapid.SampledFrom([]record.Body{
			&record.Cancel{Job: job},
			&record.Release{Task: task, Epoch: taskEpoch, To: "other"},
			&record.RemoveWorker{Owner: owner, Worker: w},
			&record.ReleaseShard{Shard: ShardOf(w), Epoch: epoch, Member: member},
			&record.RemoveJob{Job: job},
			&record.Stop{Run: run},
		}).Draw(t, "other")
	}
}

func drawWorker(id string) record.WorkerInfo {
	return record.WorkerInfo{ID: id, Capacity: resource.Vector{Slots: 2, MilliCPU: 3000, MemoryMB: 10, Connections: 5, Accelerators: 1}}
}

func drawJob(t *rapid.T, id string) record.JobSpec {
	spec := record.JobSpec{
		ID: id, Class: "x", Tasks: rapid.IntRange(0, 3).Draw(t, "tasks"),
		Size: resource.Vector{
			Slots:        1,
			MilliCPU:     rapid.Int64Range(0, 3000).Draw(t, "milliCPU"),
			MemoryMB:     rapid.Int64Range(0, 12).Draw(t, "memoryMB"),
			Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
		},
	}
	switch id {
	case "j2":
		spec.Class = "y"
	case "service/s":
		spec.Service, spec.Revision = "s", rapid.Int64Range(1, 5).Draw(t, "revision")
	}
	return spec
}

// checkInvariants verifies the invariants that hold after every record.
func checkInvariants(t *rapid.T, s *State) {
	bound := map[string]resource.Vector{}
	for _, j := range s.Jobs {
		unfinished := 0
		for _, task := range j.Tasks {
			if task.State == TaskPending || task.State == TaskBound {
				unfinished++
			}
			if task.State == TaskBound {
				bound[task.Worker] = bound[task.Worker].Add(task.Size)
			}
		}
		if unfinished != j.Unfinished {
			t.Fatalf("job %s: %d unfinished tasks, counted %d", j.Spec.ID, unfinished, j.Unfinished)
		}
	}
	for id, w := range s.Workers {
		if w.Reserved != bound[id] {
			t.Fatalf("worker %s reserves %s, its tasks need %s", id, w.Reserved, bound[id])
		}
		if !w.Reserved.Fits(w.Info.Capacity) {
			t.Fatalf("worker %s is committed to %s beyond %s", id, w.Reserved, w.Info.Capacity)
		}
		if w.ClassCount("x") > 0 && w.ClassCount("y") > 0 {
			t.Fatalf("worker %s holds classes that exclude each other", id)
		}
	}
}

// setUpState applies the records after which the shards have owners and tasks can be bound.
func setUpState(t *rapid.T, s *State) {
	bodies := []record.Body{
		&record.Join{Member: "a"}, &record.Join{Member: "b"},
		&record.Policy{Version: 1, InService: true, Exclusions: []record.Exclusion{{A: "x", B: "y"}}},
	}
	for _, w := range []string{"w1", "w2", "w3"} {
		bodies = append(bodies,
			&record.Claim{Shard: ShardOf(w), Epoch: 1, Member: "a"},
			&record.RegisterWorker{Owner: record.Owner{Member: "a", Epoch: 1}, Worker: drawWorker(w)})
	}
	for i, b := range bodies {
		s.Apply(int64(i+1), record.New(uuid.UUID{15: byte(i + 1)}, b))
	}
	if len(s.Workers) != 3 {
		t.Fatalf("%d workers registered", len(s.Workers))
	}
}

// Guards against an order of records from current, stale or faulty writers that overcommits a worker, violates
// an exclusion, decreases a task's epoch or binds a task twice under one epoch.
func TestInvariantsHoldForAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("z")
		binds := map[string]bool{}
		epochs := map[record.TaskID]int64{}
		setUpState(t, s)
		for offset := s.Offset + 1; offset <= 200; offset++ {
			body := drawBody(t, s)
			v := s.Apply(offset, record.New(uuid.UUID{byte(offset), byte(offset >> 8)}, body))
			checkInvariants(t, s)
			if b, ok := body.(*record.Bind); ok && v.Accepted {
				key := fmt.Sprintf("%v/%d", b.Task, b.Epoch)
				if binds[key] {
					t.Fatalf("task %v was bound twice under epoch %d", b.Task, b.Epoch)
				}
				binds[key] = true
				if got := s.Task(b.Task).Epoch; got != b.Epoch {
					t.Fatalf("bind of %v under epoch %d was accepted for epoch %d", b.Task, b.Epoch, got)
				}
			}
			if b, ok := body.(*record.RemoveJob); ok && v.Accepted {
				for id := range epochs {
					if id.Job == b.Job {
						delete(epochs, id)
					}
				}
				binds = map[string]bool{}
			}
			for _, j := range s.Jobs {
				for _, task := range j.Tasks {
					if task.Epoch < epochs[task.ID()] {
						t.Fatalf("epoch of %v decreased from %d to %d", task.ID(), epochs[task.ID()], task.Epoch)
					}
					epochs[task.ID()] = task.Epoch
				}
			}
		}
	})
}

// Guards against a daemon that starts from a snapshot and then reaches different verdicts than one that replayed
// the whole stream.
func TestStateFromSnapshotEqualsReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		continuous, restored := New("z"), New("z")
		cut := rapid.Int64Range(1, 100).Draw(t, "cut")
		for offset := int64(1); offset <= 100; offset++ {
			id := uuid.UUID{byte(rapid.IntRange(1, 90).Draw(t, "id"))}
			r := record.New(id, drawBody(t, continuous))
			a, b := continuous.Apply(offset, r), restored.Apply(offset, r)
			if a != b {
				t.Fatalf("verdicts differ at %d: %+v and %+v", offset, a, b)
			}
			if offset == cut {
				data, err := restored.Encode()
				if err != nil {
					t.Fatal(err)
				}
				if restored, err = Decode("z", data); err != nil {
					t.Fatal(err)
				}
			}
		}
		x, errX := continuous.Encode()
		y, errY := restored.Encode()
		if errX != nil || errY != nil || !bytes.Equal(x, y) {
			t.Fatalf("states differ after a snapshot at %d", cut)
		}
	})
}

// Guards against a job that has ended and is admitted again by a daemon whose control state lags.
func TestRemovedJobIsNotAdmittedAgain(t *testing.T) {
	is := is.New(t)
	s := New("z")
	offset := int64(0)
	apply := func(b record.Body) Verdict {
		offset++
		return s.Apply(offset, record.New(uuid.New(), b))
	}
	job := record.JobSpec{ID: "j", Class: "x", Tasks: 1, Size: resource.Vector{Slots: 1}}
	is.True(apply(&record.Admit{Job: job}).Accepted)
	is.True(apply(&record.Cancel{Job: "j"}).Accepted)
	is.True(apply(&record.RemoveJob{Job: "j"}).Accepted)
	is.True(!apply(&record.Admit{Job: job}).Accepted)
	is.True(!apply(&record.Adopt{Job: job, Epoch: 9}).Accepted)
}

// Guards against a record that takes effect twice because its append was repeated after a lost response.
func TestRepeatedRecordHasNoEffect(t *testing.T) {
	is := is.New(t)
	s := New("z")
	r := record.New(uuid.New(), &record.Join{Member: "a"})
	is.True(s.Apply(1, r).Accepted)
	is.True(s.Apply(2, record.New(uuid.New(), &record.Leave{Member: "a"})).Accepted)
	v := s.Apply(3, r)
	is.True(v.Duplicate)
	is.Equal(len(s.Members), 0)
}

// Guards against a task that stays pending forever in a parked job: workers quarantined after the job was parked
// no longer count as failed workers, so the failure of a run that was still bound was retried.
func TestParkedJobIsNotRetried(t *testing.T) {
	is := is.New(t)
	s := New("z")
	offset := int64(0)
	apply := func(b record.Body) {
		t.Helper()
		offset++
		v := s.Apply(offset, record.New(uuid.New(), b))
		if !v.Accepted {
			t.Fatalf("%T rejected: %s", b, v.Reason)
		}
	}
	apply(&record.Join{Member: "a"})
	apply(&record.Policy{Version: 1, InService: true})
	owner := record.Owner{Member: "a", Epoch: 1}
	claimed := map[int]bool{}
	ids := []string{"w1", "w2", "w3", "w4"}
	for _, id := range ids {
		if !claimed[ShardOf(id)] {
			claimed[ShardOf(id)] = true
			apply(&record.Claim{Shard: ShardOf(id), Epoch: 1, Member: "a"})
		}
		apply(&record.RegisterWorker{Owner: owner, Worker: drawWorker(id)})
	}
	apply(&record.Admit{Job: record.JobSpec{ID: "j", Class: "x", Tasks: 4, MaxAttempts: 9, Size: resource.Vector{Slots: 1}}})
	run := func(i int) record.Run {
		return record.Run{Task: record.TaskID{Job: "j", Index: i}, Epoch: 1, Worker: ids[i]}
	}
	for i, id := range ids {
		apply(&record.Bind{Task: run(i).Task, Epoch: 1, Worker: id})
	}
	for i := range 3 {
		apply(&record.End{Owner: owner, Run: run(i), Outcome: record.OutcomeFailed})
	}
	is.True(s.Jobs["j"].Parked != "")
	for _, id := range ids[:2] {
		apply(&record.SetWorker{Owner: owner, Worker: id, State: record.WorkerQuarantined})
	}
	apply(&record.End{Owner: owner, Run: run(3), Outcome: record.OutcomeFailed})
	is.Equal(s.Jobs["j"].Unfinished, 0)
}
