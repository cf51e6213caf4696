package control

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// drawBody draws a record that is usually, but not always, valid in the state. SampledFrom draws uniformly, whereas
// IntRange prefers small numbers, with which almost every record would be rejected.
func drawBody(t *rapid.T, s *State) record.Body {
	pick := func(name string, from ...int) int { return rapid.SampledFrom(from).Draw(t, name) }
	id := fmt.Sprint("j", pick("job", 0, 1, 2, 3, 4, 5, 6, 7, 8, 9))
	zone := rapid.SampledFrom([]string{"a", "a", "b", "b", "b", "x"}).Draw(t, "zone")
	tasks := 1
	if j := s.Job(id); j != nil {
		tasks = j.Spec.Tasks
	}
	kind := pick("kind", 0, 1, 1, 1, 1, 2, 2, 3, 3, 3, 4, 4, 5)
	if s.Version() == 0 {
		kind = 0
	}
	switch kind {
	case 0:
		base := s.Version() - int64(pick("old", 0, 0, 0, 1))
		quotas := [][]int64{{6, 20}, {8, 8}, {10}, {0, 30}, {12, 12}}[pick("quotas", 0, 1, 2, 3, 4)]
		return &record.Configure{Base: base, Document: documentWithQuotas(quotas...)}
	case 1:
		spec := job(id, pick("tasks", 0, 1, 2, 3, 4)).Job
		spec.Team = fmt.Sprint("t", pick("team", 0, 0, 1, 1, 2))
		spec.Priority = record.Priority(pick("priority", 1, 2))
		spec.Size = resource.Vector{Slots: int64(pick("slots", 1, 2, 3, 5))}
		return &record.Submit{Job: spec, Zone: zone}
	case 2:
		return &record.CancelJob{Job: id}
	case 3:
		return &record.Finish{Job: id, Zone: zone, Succeeded: pick("succeeded", tasks, tasks, tasks-1, 1), Failed: pick("failed", 0, 0, 1), Reason: "r"}
	case 4:
		return &record.Transfer{Task: record.TaskID{Job: id, Index: pick("index", 0, 1, 9)}, Epoch: int64(pick("epoch", 1, 2, 3)), From: "a", To: zone}
	}
	return &record.AttestLost{Zone: zone, Worker: fmt.Sprint("w", pick("worker", 0, 1))}
}

// Guards against states that differ after the same entries, one of them restored from snapshots; against a
// configuration that reverts to an older version; and against use beyond the quota.
func TestDeterminism(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		replayed, restored := New(parseJSON), New(parseJSON)
		var last record.Record
		transfers := map[string]bool{}
		for offset := int64(1); offset < 80; offset++ {
			rec := record.New(uuid.UUID{byte(offset)}, drawBody(t, replayed))
			if offset > 1 && rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
				rec = last
			}
			last = rec
			version := replayed.Version()
			pending := waitingJobs(replayed)
			v := replayed.Apply(offset, rec)
			is.Equal(restored.Apply(offset, rec), v)
			is.True(replayed.Version() == version || replayed.Version() == offset)
			for _, e := range v.Events {
				checkEvent(is, replayed, e, transfers)
			}
			checkUse(is, replayed)
			checkOrder(is, replayed, pending)
			b, err := replayed.Encode()
			is.NoErr(err)
			other, err := restored.Encode()
			is.NoErr(err)
			is.True(bytes.Equal(b, other))
			if rapid.Bool().Draw(t, "restart") {
				restored, err = Decode(parseJSON, b)
				is.NoErr(err)
			}
		}
	})
}

func checkEvent(is *is.I, s *State, e Event, transfers map[string]bool) {
	switch e.Kind {
	case EventJobActivated:
		use, quota, _ := s.TeamUse(s.Job(e.Job).Spec.Team)
		is.True(use.Fits(quota))
	case EventJobFinished:
		is.Equal(s.Job(e.Job), nil)
	case EventTransferred:
		key := fmt.Sprint(s.Job(e.Job).Submitted, e.Index, e.Epoch)
		is.True(!transfers[key])
		transfers[key] = true
	}
}

func waitingJobs(s *State) (out []*Job) {
	for _, j := range s.Jobs() {
		if j.State == JobWaiting {
			out = append(out, j)
		}
	}
	return out
}

// checkOrder verifies that the jobs that waited before became active in queue order: by priority, then by
// submission, and without overtaking a job that fits the quota but not yet the free part of it.
func checkOrder(is *is.I, s *State, before []*Job) {
	slices.SortStableFunc(before, func(a, b *Job) int { return int(b.Spec.Priority) - int(a.Spec.Priority) })
	blocked := map[string]bool{}
	for _, j := range before {
		if s.Job(j.Spec.ID) != j {
			continue // cancelled
		}
		_, quota, _ := s.TeamUse(j.Spec.Team)
		switch {
		case j.State == JobActive:
			is.True(!blocked[j.Spec.Team])
		case j.Use().Fits(quota):
			blocked[j.Spec.Team] = true
		}
	}
	first := map[string]bool{}
	for _, j := range waitingJobs(s) {
		use, quota, _ := s.TeamUse(j.Spec.Team)
		if j.Use().Fits(quota) && !first[j.Spec.Team] && !urgentJobWaits(s, j, quota) {
			first[j.Spec.Team] = true
			is.True(!j.Use().Fits(quota.Sub(use)))
		}
	}
}

// urgentJobWaits reports whether a waiting urgent job of the team precedes the batch job j.
func urgentJobWaits(s *State, j *Job, quota resource.Vector) bool {
	return j.Spec.Priority == record.PriorityBatch && slices.ContainsFunc(waitingJobs(s), func(o *Job) bool {
		return o.Spec.Team == j.Spec.Team && o.Spec.Priority == record.PriorityUrgent && o.Use().Fits(quota)
	})
}

// checkUse compares the quota use and waiting count of each team with its jobs.
func checkUse(is *is.I, s *State) {
	use, waiting := map[string]resource.Vector{}, map[string]int{}
	for _, j := range s.Jobs() {
		if j.State == JobActive {
			use[j.Spec.Team] = use[j.Spec.Team].Add(j.Use())
		} else {
			waiting[j.Spec.Team]++
			is.True(!j.Cancelled)
		}
	}
	for name, t := range s.teams {
		is.Equal(t.use, use[name])
		is.Equal(t.waiting, waiting[name])
	}
}

// Guards against a corrupt or malicious snapshot that crashes its readers.
func FuzzDecode(f *testing.F) {
	s := New(parseJSON)
	s.Apply(1, record.New(uuid.New(), &record.Configure{Document: documentWithQuotas(4)}))
	s.Apply(2, record.New(uuid.New(), job("j", 3)))
	s.Apply(3, record.New(uuid.New(), job("k", 3)))
	s.Apply(4, record.New(uuid.New(), &record.Transfer{Task: record.TaskID{Job: "j"}, Epoch: 1, From: "a", To: "b"}))
	good, err := s.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(parseJSON, data)
		if err != nil {
			return
		}
		b, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(parseJSON, b)
		if err != nil {
			t.Fatal(err)
		}
		if c, err := again.Encode(); err != nil || !bytes.Equal(b, c) {
			t.Fatal("encoding changed", err)
		}
		s.Apply(s.Offset()+1, record.New(uuid.New(), &record.Finish{Job: "j", Zone: "a", Succeeded: 3}))
	})
}
