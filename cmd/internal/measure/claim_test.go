package main

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"waxwingslip.example/core/claim"
)

// BenchmarkClaims reports the heap memory per claim in a member's table, and the encoded size of one claim's messages.
func BenchmarkClaims(b *testing.B) {
	now := claim.ClockReading{Monotonic: time.Hour, UnixMs: 1_700_000_000_000}
	for _, bench := range []struct{ claims, answer int }{{1_000, 0}, {10_000, 0}, {50_000, 0}, {10_000, 300}} {
		b.Run(fmt.Sprintf("claims=%d/answer=%dB", bench.claims, bench.answer), func(b *testing.B) {
			var heldBytes uint64
			var wireBytes int
			for b.Loop() {
				before := heapBytes()
				t := claim.NewTable("m", claim.DefaultLimits())
				t.ConfirmHeartbeat(now.Monotonic)
				t.Install(now, claim.InstallRequest{View: 1, Last: true})
				t.ApplyView(claim.View{Number: 1, Members: []string{"m"}})
				for i := range bench.claims {
					r := claim.GrantRequest{View: 1, Key: claimKey(now.UnixMs, i), Attempt: claim.Attempt(claimKey(now.UnixMs, i+1))}
					resp := t.Grant(now, r)
					if resp.Verdict != claim.Granted {
						b.Fatal(resp.Verdict)
					}
					finish := claim.FinishRequest{Entry: claim.Entry{Key: r.Key, Attempt: r.Attempt, State: claim.StateFinished,
						Outcome: claim.OutcomeAnswered, Status: 200, Answer: make([]byte, bench.answer)}}
					t.Finish(now, finish)
					if i == 0 {
						wireBytes = encodedSize(b, r) + encodedSize(b, resp) + encodedSize(b, finish)
					}
				}
				heldBytes = heapBytes() - before
				runtime.KeepAlive(t)
			}
			b.ReportMetric(float64(heldBytes)/float64(bench.claims), "B-held/claim")
			b.ReportMetric(float64(wireBytes), "B-wire/claim")
		})
	}
}

// claimKey returns a UUIDv7 with the given time and the random part i.
func claimKey(unixMs int64, i int) (k claim.Key) {
	binary.BigEndian.PutUint64(k[:], uint64(unixMs)<<16|0x7000)
	binary.BigEndian.PutUint64(k[8:], 1<<63|uint64(i))
	return k
}

// encodedSize returns the number of bytes of v in CBOR.
func encodedSize(b *testing.B, v any) int {
	data, err := cbor.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
