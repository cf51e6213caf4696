package zone

import (
	"bytes"
	"compress/flate"
	"fmt"
	"runtime"
	"testing"

	"github.com/google/uuid"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// benchSizes lists the numbers of workers and of tasks per worker to measure, from which the costs per worker and per
// task follow. The target zone has 156 workers with 16 tasks each.
var benchSizes = []struct{ workers, tasks int }{{12, 16}, {48, 16}, {156, 4}, {156, 8}, {156, 16}}

// newBenchState returns a state with the given workers and bound tasks, in jobs of 40 tasks.
func newBenchState(tb testing.TB, workers, perWorker int) *State {
	s := New("luzon-a")
	apply := func(body record.Body) {
		if v := s.Apply(s.Offset+1, record.New(uuid.New(), body)); !v.Accepted {
			tb.Fatal(v.Reason)
		}
	}
	apply(&record.Join{Member: "e1", PeerAddress: "10.0.0.1:7103"})
	for shard := range ShardCount {
		apply(&record.Claim{Shard: shard, Epoch: 1, Member: "e1"})
	}
	size := resource.Vector{Slots: 1, MilliCPU: 2000, MemoryMB: 4000}
	for i := range workers {
		apply(&record.RegisterWorker{Owner: record.Owner{Member: "e1", Epoch: 1}, Worker: record.WorkerInfo{
			ID: workerID(i), Address: "10.0.1.1:7200", Rack: fmt.Sprint("r", i/8), Capacity: size.Times(24)}})
	}
	apply(&record.Policy{Version: 1, InService: true})
	for first := 0; first < workers*perWorker; first += 40 {
		n := min(40, workers*perWorker-first)
		id := fmt.Sprintf("recompute-20260301-%04d", first/40)
		apply(&record.Admit{Job: record.JobSpec{ID: id, Team: "tuneups", Class: "recompute", Priority: record.PriorityBatch, Tasks: n, Size: size}})
		for i := range n {
			apply(&record.Bind{Task: record.TaskID{Job: id, Index: i}, Epoch: 1, Worker: workerID((first + i) % workers)})
		}
	}
	return s
}

func workerID(i int) string { return fmt.Sprintf("luzon-a-w%04d", i) }

func forEachSize(b *testing.B, run func(b *testing.B, workers, tasks int)) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", n.workers, n.workers*n.tasks), func(b *testing.B) { run(b, n.workers, n.tasks) })
	}
}

// BenchmarkStateMemory reports the heap bytes retained by a state.
func BenchmarkStateMemory(b *testing.B) {
	forEachSize(b, func(b *testing.B, workers, tasks int) {
		var heapGrowth uint64
		for b.Loop() {
			before := heapBytes()
			s := newBenchState(b, workers, tasks)
			heapGrowth = heapBytes() - before
			runtime.KeepAlive(s)
		}
		b.ReportMetric(float64(heapGrowth), "B-held")
		b.ReportMetric(float64(heapGrowth)/float64(workers*tasks), "B-held/task")
	})
}

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

// BenchmarkEncodeState reports the encoding time and the encoded size, before and after compression.
func BenchmarkEncodeState(b *testing.B) {
	forEachSize(b, func(b *testing.B, workers, tasks int) {
		s := newBenchState(b, workers, tasks)
		var data []byte
		b.ReportAllocs()
		for b.Loop() {
			var err error
			if data, err = s.Encode(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "B-state")
		b.ReportMetric(float64(compressedSize(b, data)), "B-packed")
	})
}

// BenchmarkDecodeState measures restoring a state from its encoding.
func BenchmarkDecodeState(b *testing.B) {
	forEachSize(b, func(b *testing.B, workers, tasks int) {
		data, err := newBenchState(b, workers, tasks).Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		for b.Loop() {
			if _, err := Decode("luzon-a", data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkApplyTask measures applying the records of a job with one task: Admit, Bind, End and RemoveJob.
func BenchmarkApplyTask(b *testing.B) {
	forEachSize(b, func(b *testing.B, workers, tasks int) {
		s := newBenchState(b, workers, tasks)
		job := record.JobSpec{ID: "short", Team: "t", Class: "c", Priority: record.PriorityBatch, Tasks: 1, Size: resource.Vector{Slots: 1}}
		owner := record.Owner{Member: "e1", Epoch: 1}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			job.ID = fmt.Sprint("short-", i)
			run := record.Run{Task: record.TaskID{Job: job.ID}, Epoch: 1, Worker: workerID(i % workers)}
			for _, body := range []record.Body{&record.Admit{Job: job}, &record.Bind{Task: run.Task, Epoch: 1, Worker: run.Worker},
				&record.End{Owner: owner, Run: run, Outcome: record.OutcomeSucceeded}, &record.RemoveJob{Job: job.ID}} {
				if v := s.Apply(s.Offset+1, record.New(uuid.New(), body)); !v.Accepted {
					b.Fatal(v.Reason)
				}
			}
		}
	})
}
