package worker_test

import (
	"context"
	"expvar"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/traffic"
	"waxwingslip.example/external/worker"
	"waxwingslip.example/external/worker/fake"
)

// BenchmarkRenewWire measures the bytes that one renewal and its report take on the wire, HTTP headers included.
func BenchmarkRenewWire(b *testing.B) {
	for _, runs := range []int{0, 4, 8, 16, 32} {
		b.Run(fmt.Sprint("runs=", runs), func(b *testing.B) {
			var sent, received expvar.Int
			w := fake.New(fake.Options{ID: "luzon-a-w0042", Capacity: resource.Vector{Slots: 40, Connections: 64, MilliCPU: 64000, MemoryMB: 250000}, Now: time.Now})
			srv := httptest.NewServer(worker.NewHandler(w))
			defer srv.Close()
			client := worker.NewMeteredHTTPClient(&traffic.Meter{Sent: &sent, Received: &received})
			defer client.Close()
			address, ctx := strings.TrimPrefix(srv.URL, "http://"), context.Background()
			report, err := client.Report(ctx, address)
			if err != nil {
				b.Fatal(err)
			}
			fence := worker.Fence{Incarnation: report.Incarnation, OwnerEpoch: 12, NotAfterMs: report.NowMs + 600_000}
			renew := worker.RenewRequest{Fence: fence, LeaseUntilMs: report.NowMs + 600_000}
			if _, err := client.Renew(ctx, address, renew); err != nil {
				b.Fatal(err)
			}
			for i := range runs {
				start := worker.StartRequest{Fence: fence, RunKey: worker.RunKey{Job: fmt.Sprintf("recompute-20260301-%04d", 37*i), Index: i, Epoch: 1},
					Class: "recompute", Size: resource.Vector{Slots: 1, MilliCPU: int64(1000 + 10*i), MemoryMB: int64(1000 + 17*i)}, Payload: "run=1h"}
				if err := client.Start(ctx, address, start); err != nil {
					b.Fatal(err)
				}
			}
			firstSent, firstReceived := sent.Value(), received.Value()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.Renew(ctx, address, renew); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(sent.Value()-firstSent)/float64(b.N), "B-sent")
			b.ReportMetric(float64(received.Value()-firstReceived)/float64(b.N), "B-received")
		})
	}
}
