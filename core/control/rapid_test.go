package control

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

// drawBody returns a record that often, but not always, fits the state.
func drawBody(t *rapid.T, s *State) record.Body {
	id := fmt.Sprint("j", rapid.IntRange(0, 7).Draw(t, "job"))
	zone := rapid.SampledFrom([]string{"a", "b", "x"}).Draw(t, "zone")
	small := func(name string) int { return rapid.IntRange(-1, 4).Draw(t, name) }
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		base := s.Version() - int64(rapid.IntRange(0, 1).Draw(t, "old"))
		return &record.Configure{Base: base, Document: documentWith(int64(10+small("quota")), int64(20+small("quota")))}
	case 1, 2, 3:
		spec := job(id, small("tasks")).Job
		spec.Team = rapid.SampledFrom([]string{"t0", "t1", "x"}).Draw(t, "team")
		spec.Priority = record.Priority(rapid.IntRange(1, 2).Draw(t, "priority"))
		spec.Size = resource.Vector{Slots: int64(small("slots"))}
		return &record.Submit{Job: spec, Zone: zone}
	case 4:
		return &record.CancelJob{Job: id}
	case 5, 6:
		return &record.Finish{Job: id, Zone: zone, Succeeded: small("succeeded"), Failed: small("failed"), Reason: "r"}
	case 7:
		return &record.Transfer{Task: record.TaskID{Job: id, Index: small("index")}, Epoch: int64(small("epoch")), From: "a", To: zone}
	}
	return &record.AttestLost{Zone: zone, Worker: "w"}
}

// Guards against daemons whose states differ although they read the same entries, one of them by way of
// snapshots; against a configuration that reverts; and against use beyond the quota.
func TestDeterminism(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		replayed, restored := New(parseJSON), New(parseJSON)
		var last record.Record
		transfers := map[string]bool{}
		for offset := int64(1); offset < 60; offset++ {
			rec := record.New(uuid.UUID{byte(offset)}, drawBody(t, replayed))
			if offset > 1 && rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
				rec = last
			}
			last = rec
			version := replayed.Version()
			v := replayed.Apply(offset, rec)
			is.Equal(restored.Apply(offset, rec), v)
			is.True(replayed.Version() == version || replayed.Version() == offset)
			for _, e := range v.Events {
				checkEvent(is, replayed, e, transfers)
			}
			checkUse(is, replayed)
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

// checkUse compares the running sums with the jobs.
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

// fullState holds jobs with 20,000 tasks and 5,000 finished jobs.
func fullState(t testing.TB) *State {
	s := New(parseJSON)
	offset := int64(0)
	apply := func(b record.Body) {
		offset++
		if v := s.Apply(offset, record.New(uuid.New(), b)); !v.Accepted {
			t.Fatal(v.Reason)
		}
	}
	apply(&record.Configure{Document: documentWith(1 << 30)})
	for i := range 5000 {
		apply(job(fmt.Sprint("done", i), 1))
		apply(&record.Finish{Job: fmt.Sprint("done", i), Zone: "a", Succeeded: 1})
	}
	for i := range 500 {
		apply(job(fmt.Sprint("job", i), 40))
	}
	return s
}

func BenchmarkDecodeSnapshot(b *testing.B) {
	data, err := fullState(b).Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := Decode(parseJSON, data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplyConfigure(b *testing.B) {
	s, doc := fullState(b), documentWith(1<<30)
	for b.Loop() {
		if v := s.Apply(s.Offset()+1, record.New(uuid.New(), &record.Configure{Base: s.Version(), Document: doc})); !v.Accepted {
			b.Fatal(v.Reason)
		}
	}
}

// Guards against a snapshot from a broken or hostile writer that crashes its readers.
func FuzzDecode(f *testing.F) {
	s := New(parseJSON)
	s.Apply(1, record.New(uuid.New(), &record.Configure{Document: documentWith(4)}))
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
