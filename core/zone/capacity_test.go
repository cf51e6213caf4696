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

// sizes are the workers and the tasks per worker at which the slopes are measured; 156 and 16 are the target's.
var sizes = []struct{ workers, tasks int }{{12, 16}, {48, 16}, {156, 4}, {156, 8}, {156, 16}}

// stateOf holds workers with bound tasks in jobs of 40 tasks.
func stateOf(tb testing.TB, workers, perWorker int) *State {
	s := New("luzon-a")
	apply := func(body record.Body) {
		if v := s.Apply(s.Offset+1, record.New(uuid.New(), body)); !v.Accepted {
			tb.Fatal(v.Reason)
		}
	}
	apply(&record.Join{Member: "e1", PeerAddress: "10.0.0.1:7103"})
	for shard := range Shards {
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

func eachSize(b *testing.B, run func(b *testing.B, workers, tasks int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", n.workers, n.workers*n.tasks), func(b *testing.B) { run(b, n.workers, n.tasks) })
	}
}

// BenchmarkStateMemory reports the bytes of heap that a state holds.
func BenchmarkStateMemory(b *testing.B) {
	eachSize(b, func(b *testing.B, workers, tasks int) {
		var held uint64
		for b.Loop() {
			before := heap()
			s := stateOf(b, workers, tasks)
			held = heap() - before
			runtime.KeepAlive(s)
		}
		b.ReportMetric(float64(held), "B-held")
		b.ReportMetric(float64(held)/float64(workers*tasks), "B-held/task")
	})
}

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

// BenchmarkEncodeState reports the time and bytes of a state before compression.
func BenchmarkEncodeState(b *testing.B) {
	eachSize(b, func(b *testing.B, workers, tasks int) {
		s := stateOf(b, workers, tasks)
		var data []byte
		b.ReportAllocs()
		for b.Loop() {
			var err error
			if data, err = s.Encode(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "B-state")
		b.ReportMetric(float64(packed(b, data)), "B-packed")
	})
}

// BenchmarkDecodeState measures the restoration from a snapshot.
func BenchmarkDecodeState(b *testing.B) {
	eachSize(b, func(b *testing.B, workers, tasks int) {
		data, err := stateOf(b, workers, tasks).Encode()
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

// BenchmarkApplyTask measures the records of a short task: Admit, Bind, End and Forget of a job with one task.
func BenchmarkApplyTask(b *testing.B) {
	eachSize(b, func(b *testing.B, workers, tasks int) {
		s := stateOf(b, workers, tasks)
		job := record.JobSpec{ID: "short", Team: "t", Class: "c", Priority: record.PriorityBatch, Tasks: 1, Size: resource.Vector{Slots: 1}}
		owner := record.Owner{Member: "e1", Epoch: 1}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			job.ID = fmt.Sprint("short-", i)
			run := record.Run{Task: record.TaskID{Job: job.ID}, Epoch: 1, Worker: workerID(i % workers)}
			for _, body := range []record.Body{&record.Admit{Job: job}, &record.Bind{Task: run.Task, Epoch: 1, Worker: run.Worker},
				&record.End{Owner: owner, Run: run, Outcome: record.OutcomeSucceeded}, &record.Forget{Job: job.ID}} {
				if v := s.Apply(s.Offset+1, record.New(uuid.New(), body)); !v.Accepted {
					b.Fatal(v.Reason)
				}
			}
		}
	})
}
