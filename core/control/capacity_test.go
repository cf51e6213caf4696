package control

import (
	"bytes"
	"compress/flate"
	"fmt"
	"os"
	"runtime"
	"testing"

	"github.com/google/uuid"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
)

// packed returns the size of a state as snapshots compress it.
func packed(tb testing.TB, state []byte) int {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		tb.Fatal(err)
	}
	_, _ = w.Write(state)
	_ = w.Close()
	return buf.Len()
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkStateMemory reports the bytes of heap and of encoding for each finished job and for each unfinished one.
func BenchmarkStateMemory(b *testing.B) {
	for _, n := range []struct{ finished, active int }{{0, 0}, {5_000, 0}, {20_000, 0}, {0, 250}, {0, 500}} {
		b.Run(fmt.Sprintf("finished=%d/active=%d", n.finished, n.active), func(b *testing.B) {
			var held, size, small int
			for b.Loop() {
				before := heap()
				s := filled(b, n.finished, n.active)
				held = int(heap()) - int(before)
				data, err := s.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size, small = len(data), packed(b, data)
			}
			b.ReportMetric(float64(held), "B-held")
			b.ReportMetric(float64(size), "B-state")
			b.ReportMetric(float64(small), "B-packed")
		})
	}
}

// filled holds the document of the target size, finished jobs and active ones of one task each.
func filled(b *testing.B, finished, active int) *State {
	doc, err := os.ReadFile("../../examples/target/production.yaml")
	if err != nil {
		b.Fatal(err)
	}
	s := New(environment.Parse)
	apply(b, s, &record.Configure{Document: doc})
	for i := range finished + active {
		j := targetJob(s, i)
		apply(b, s, j)
		if i < finished {
			apply(b, s, &record.Finish{Job: j.Job.ID, Zone: j.Zone, Succeeded: 1})
		}
	}
	return s
}

func targetJob(s *State, i int) *record.Submit {
	j := job(fmt.Sprint("recompute-20260301-", i), 1)
	teams, zones := s.Document().Teams, s.Document().ZoneNames()
	j.Job.Team, j.Zone = teams[i%len(teams)].Name, zones[i%len(zones)]
	return j
}

func apply(b *testing.B, s *State, body record.Body) {
	if v := s.Apply(s.Offset()+1, record.New(uuid.New(), body)); !v.Accepted {
		b.Fatal(v.Reason)
	}
}

// BenchmarkApplyJob measures Submit and Finish of a job while as many finished jobs are kept as at most.
func BenchmarkApplyJob(b *testing.B) {
	s := filled(b, FinishedKept, 0)
	b.ReportAllocs()
	for i := FinishedKept; b.Loop(); i++ {
		j := targetJob(s, i)
		apply(b, s, j)
		apply(b, s, &record.Finish{Job: j.Job.ID, Zone: j.Zone, Succeeded: 1})
	}
}
