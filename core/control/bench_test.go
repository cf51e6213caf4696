package control

import (
	"fmt"
	"os"
	"testing"

	"github.com/google/uuid"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
)

// targetState returns a state of the target size and its document: 500 unfinished jobs with 20,000 tasks in total
// and MaxFinished finished jobs.
func targetState(b *testing.B) (*State, []byte) {
	doc, err := os.ReadFile("../../examples/target/production.yaml")
	if err != nil {
		b.Fatal(err)
	}
	s := New(environment.Parse)
	apply := func(body record.Body) {
		if v := s.Apply(s.Offset()+1, record.New(uuid.New(), body)); !v.Accepted {
			b.Fatal(v.Reason)
		}
	}
	apply(&record.Configure{Document: doc})
	teams, zones := s.Document().Teams, s.Document().ZoneNames()
	submit := func(i, tasks int) *record.Submit {
		j := job(fmt.Sprint("recompute-20260301-", i), tasks)
		j.Job.Team, j.Zone = teams[i%len(teams)].Name, zones[i%len(zones)]
		return j
	}
	for i := range MaxFinished {
		j := submit(i, 1)
		apply(j)
		apply(&record.Finish{Job: j.Job.ID, Zone: j.Zone, Succeeded: 1})
	}
	for i := range 500 {
		apply(submit(MaxFinished+i, 40))
	}
	return s, doc
}

func BenchmarkDecodeSnapshot(b *testing.B) {
	s, _ := targetState(b)
	data, err := s.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(environment.Parse, data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncodeSnapshot(b *testing.B) {
	s, _ := targetState(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Encode(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplyConfigure(b *testing.B) {
	s, doc := targetState(b)
	b.ReportAllocs()
	for b.Loop() {
		rec := record.New(uuid.New(), &record.Configure{Base: s.Version(), Document: doc})
		if v := s.Apply(s.Offset()+1, rec); !v.Accepted {
			b.Fatal(v.Reason)
		}
	}
}
