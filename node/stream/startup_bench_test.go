package stream_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/uuid"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/logstore/fake"
	"waxwingslip.example/node/replica"
	"waxwingslip.example/node/stream"
)

// targetZone is one of nine zones at the target size: 156 workers and 2,520 running tasks.
func targetZone() (bodies []record.Body) {
	const workers, jobs, tasks = 156, 63, 40
	add := func(b record.Body) { bodies = append(bodies, b) }
	add(&record.Join{Member: "e1", PeerAddress: "10.0.0.1:7103"})
	for shard := range zone.ShardCount {
		add(&record.Claim{Shard: shard, Epoch: 1, Member: "e1"})
	}
	size := resource.Vector{Slots: 1, MilliCPU: 2000, MemoryMB: 4000}
	for i := range workers {
		add(&record.RegisterWorker{Owner: record.Owner{Member: "e1", Epoch: 1}, Worker: record.WorkerInfo{
			ID: fmt.Sprintf("luzon-a-w%04d", i), Address: "10.0.1.1:7200", Rack: fmt.Sprint("r", i/8), Capacity: size.Times(20),
		}})
	}
	add(&record.Policy{Version: 1, InService: true})
	for j := range jobs {
		id := fmt.Sprint("recompute-20260301-", j)
		add(&record.Admit{Job: record.JobSpec{ID: id, Team: "t", Class: "c", Priority: 1, Tasks: tasks, Size: size}})
		for i := range tasks {
			w := fmt.Sprintf("luzon-a-w%04d", (j*tasks+i)%workers)
			add(&record.Bind{Task: record.TaskID{Job: id, Index: i}, Epoch: 1, Worker: w})
		}
	}
	return bodies
}

func appendAll(b *testing.B, store *fake.Store, name string, bodies []record.Body) {
	for _, body := range bodies {
		payload, err := record.Encode(record.New(uuid.New(), body))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := store.Append(b.Context(), name, [][]byte{payload}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkColdStart rebuilds a zone from a snapshot and the 2,000 records that follow it.
func BenchmarkColdStart(b *testing.B) {
	const name = "target.zone.luzon-a"
	store := fake.New(nil)
	appendAll(b, store, name, targetZone())
	open := func(ctx context.Context) *replica.Zone {
		z := replica.NewZone(store, "luzon-a", stream.FollowerOptions{Stream: name}, stream.AppenderOptions{})
		go func() { _ = z.Follower.Run(ctx) }()
		go func() { _ = z.Appender.Run(ctx) }()
		for !z.Follower.Ready() || z.Follower.CurrentAsOf().IsZero() {
			if err := z.Follower.AwaitCurrent(ctx, z.Follower.CurrentAsOf()); err != nil {
				b.Fatal(err)
			}
		}
		return z
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	z := open(ctx)
	covers := z.Follower.Next() - 1
	if err := stream.NewSnapshotter(z.Follower, z.Appender, stream.SnapshotterOptions{}).Write(ctx); err != nil {
		b.Fatal(err)
	}
	store.ExpireBefore(name, covers+1)
	var later []record.Body
	for i := range stream.DefaultSnapshotRecords {
		run := record.Run{Task: record.TaskID{Job: fmt.Sprint("recompute-20260301-", i/40), Index: i % 40}, Epoch: 1, Worker: fmt.Sprintf("luzon-a-w%04d", i%156)}
		later = append(later, &record.End{Owner: record.Owner{Member: "e1", Epoch: 1}, Run: run, Outcome: record.OutcomeSucceeded})
	}
	appendAll(b, store, name, later)
	_, packed, err := z.Follower.Export()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithCancel(b.Context())
		open(ctx)
		cancel()
	}
	b.ReportMetric(float64(len(packed)), "snapshot-B")
}
