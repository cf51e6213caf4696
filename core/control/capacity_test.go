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

// compressedSize returns the size of an encoded state after the compression that snapshots use.
func compressedSize(tb testing.TB, state []byte) int {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		tb.Fatal(err)
	}
	_, _ = w.Write(state)
	_ = w.Close()
	return buf.Len()
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkStateMemory reports the heap bytes and the encoded size for different numbers of finished and active jobs.
func BenchmarkStateMemory(b *testing.B) {
	for _, n := range []struct{ finished, active int }{{0, 0}, {5_000, 0}, {20_000, 0}, {0, 250}, {0, 500}} {
		b.Run(fmt.Sprintf("finished=%d/active=%d", n.finished, n.active), func(b *testing.B) {
			var heapGrowth, size, compressed int
			for b.Loop() {
				before := heapBytes()
				s := newBenchState(b, n.finished, n.active)
				heapGrowth = int(heapBytes()) - int(before)
				data, err := s.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size, compressed = len(data), compressedSize(b, data)
			}
			b.ReportMetric(float64(heapGrowth), "B-held")
			b.ReportMetric(float64(size), "B-state")
			b.ReportMetric(float64(compressed), "B-packed")
		})
	}
}

// newBenchState returns a state with the target document and the given numbers of finished and active jobs, each
// with one task.
func newBenchState(b *testing.B, finished, active int) *State {
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

// BenchmarkApplyJob measures applying Submit and Finish of a job to a state with MaxFinished finished jobs.
func BenchmarkApplyJob(b *testing.B) {
	s := newBenchState(b, MaxFinished, 0)
	b.ReportAllocs()
	for i := MaxFinished; b.Loop(); i++ {
		j := targetJob(s, i)
		apply(b, s, j)
		apply(b, s, &record.Finish{Job: j.Job.ID, Zone: j.Zone, Succeeded: 1})
	}
}
