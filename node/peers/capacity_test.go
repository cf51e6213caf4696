package peers

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"waxwingslip.example/core/resource"
)

// BenchmarkHelloSize reports the encoded bytes of a Hello with the pressure of some workers.
func BenchmarkHelloSize(b *testing.B) {
	for _, n := range []struct{ known, pressure int }{{0, 0}, {8, 0}, {8, 13}, {8, 52}} {
		b.Run(fmt.Sprintf("known=%d/pressure=%d", n.known, n.pressure), func(b *testing.B) {
			total := resource.Vector{Slots: 2808, Connections: 9984, MilliCPU: 9984000, MemoryMB: 39000000, Accelerators: 200}
			h := Hello{Contact: Contact{Zone: "visayas-a", Address: "10.12.0.17:7103"}, Daemon: "visayas-a-1", ConfigVersion: 1234567,
				ControlNext: 1234890, Member: "visayas-a-1-0196f0c2", Load: ZoneLoad{ConfigVersion: 1234567, Members: 3, Workers: 156,
					Usable: 155, ServiceTasks: 955, BatchTasks: 1555, PendingTasks: 300, Capacity: total, Reserved: total}}
			for i := range n.known {
				h.Contacts = append(h.Contacts, Contact{Zone: "visayas-a", Address: fmt.Sprintf("10.12.0.1%d:7103", i)})
			}
			for i := range n.pressure {
				if h.Pressure == nil {
					h.Pressure = map[string]int64{}
				}
				h.Pressure[fmt.Sprintf("visayas-a-w%04d", i)] = int64(30 + i)
			}
			var data []byte
			b.ReportAllocs()
			for b.Loop() {
				var err error
				if data, err = cbor.Marshal(h); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/hello")
		})
	}
}
