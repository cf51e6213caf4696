package record

import (
	"testing"

	"github.com/google/uuid"

	"waxwingslip.example/core/resource"
)

// targetBodies returns bodies with names of the lengths in examples/target, by kind.
func targetBodies() map[string]Body {
	owner := Owner{Member: "visayas-a-1-0196f0c2", Epoch: 12}
	run := Run{Task: TaskID{Job: "recompute-20260301-1234", Index: 17}, Epoch: 2, Worker: "visayas-a-w0101"}
	size := resource.Vector{Slots: 1, Connections: 4, MilliCPU: 2000, MemoryMB: 4000}
	job := JobSpec{ID: run.Task.Job, Team: "tuneups-017", Class: "recompute", Priority: PriorityBatch, Tasks: 40, Size: size,
		RunSeconds: 900, Payload: "schedule=2026-03-01", MaxAttempts: 3}
	return map[string]Body{
		"Join": &Join{Member: owner.Member, PeerAddress: "10.12.0.17:7103"}, "Heartbeat": &Heartbeat{Member: owner.Member},
		"Expire": &Expire{Member: owner.Member, LastHeartbeat: 1234567}, "Claim": &Claim{Shard: 7, Epoch: 12, Member: owner.Member},
		"RegisterWorker": &RegisterWorker{Owner: owner, Worker: WorkerInfo{ID: run.Worker, Address: "10.12.1.101:7200", Rack: "visayas-a-r13", Capacity: size.Times(18)}},
		"SetWorker":      &SetWorker{Owner: owner, Worker: run.Worker, State: WorkerLeaving},
		"Admit":          &Admit{Job: job}, "Adopt": &Adopt{Job: job, Index: 17, Epoch: 1, Checkpoint: "ckpt/recompute-20260301-1234/17/1"},
		"Bind": &Bind{Task: run.Task, Epoch: 2, Worker: run.Worker}, "Started": &Started{Owner: owner, Run: run, Address: "10.12.1.101:31017"},
		"End": &End{Owner: owner, Run: run, Outcome: OutcomeSucceeded}, "Stop": &Stop{Run: run, Reason: "guard"},
		"Evict":   &Evict{Owner: owner, Run: run, Checkpoint: "ckpt/recompute-20260301-1234/17/2", Reason: "guard"},
		"Lost":    &Lost{Owner: owner, Run: run, Basis: LostLeaseExpired},
		"Release": &Release{Task: run.Task, Epoch: 2, To: "luzon-b"}, "Forget": &RemoveJob{Job: run.Task.Job},
		"Submit": &Submit{Job: job, Zone: "visayas-a"}, "Finish": &Finish{Job: job.ID, Zone: "visayas-a", Succeeded: 40},
		"Transfer": &Transfer{Task: run.Task, Epoch: 2, From: "visayas-a", To: "luzon-b", Checkpoint: "ckpt/recompute-20260301-1234/17/2"},
	}
}

// BenchmarkRecordSize reports the encoded size of each kind of record and the time to encode and decode it.
func BenchmarkRecordSize(b *testing.B) {
	for name, body := range targetBodies() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var data []byte
			for b.Loop() {
				var err error
				if data, err = Encode(New(uuid.UUID{15: 1}, body)); err != nil {
					b.Fatal(err)
				}
				if _, err = Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/record")
		})
	}
}
