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

// BenchmarkClaims reports the memory of a member's claims and the encoded size of the messages of one claim.
func BenchmarkClaims(b *testing.B) {
	now := claim.Now{Monotonic: time.Hour, UnixMs: 1_700_000_000_000}
	for _, n := range []struct{ claims, answer int }{{1_000, 0}, {10_000, 0}, {50_000, 0}, {10_000, 300}} {
		b.Run(fmt.Sprintf("claims=%d/answer=%dB", n.claims, n.answer), func(b *testing.B) {
			var held uint64
			var wire int
			for b.Loop() {
				before := heap()
				t := claim.NewTable("m", claim.DefaultLimits())
				t.ConfirmHeartbeat(now.Monotonic)
				t.Install(now, claim.InstallRequest{View: 1, Last: true})
				t.ReadView(claim.View{Number: 1, Members: []string{"m"}})
				for i := range n.claims {
					r := claim.GrantRequest{View: 1, Key: key(now.UnixMs, i), Attempt: claim.Attempt(key(now.UnixMs, i+1))}
					answer := t.Grant(now, r)
					if answer.Verdict != claim.Granted {
						b.Fatal(answer.Verdict)
					}
					finish := claim.FinishRequest{Entry: claim.Entry{Key: r.Key, Attempt: r.Attempt, State: claim.StateFinished,
						Outcome: claim.OutcomeAnswered, Status: 200, Answer: make([]byte, n.answer)}}
					t.Finish(now, finish)
					if i == 0 {
						wire = encoded(b, r) + encoded(b, answer) + encoded(b, finish)
					}
				}
				held = heap() - before
				runtime.KeepAlive(t)
			}
			b.ReportMetric(float64(held)/float64(n.claims), "B-held/claim")
			b.ReportMetric(float64(wire), "B-wire/claim")
		})
	}
}

// key returns a UUIDv7.
func key(unixMs int64, i int) (k claim.Key) {
	binary.BigEndian.PutUint64(k[:], uint64(unixMs)<<16|0x7000)
	binary.BigEndian.PutUint64(k[8:], 1<<63|uint64(i))
	return k
}

func encoded(b *testing.B, v any) int {
	data, err := cbor.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
