package quota_test

import (
	"testing"

	"github.com/matryer/is"

	"waxwingslip.example/core/quota"
	"waxwingslip.example/core/resource"
)

// Guards against starts under a limit that is not known, and against limits of components that have none.
func TestUnknownAndUnlimited(t *testing.T) {
	is := is.New(t)
	a := quota.New(0)
	is.Equal(a.Ask("j", 1, cpu(1)), quota.UsedUp) // no configuration
	a.SetLimit(resource.Vector{})
	is.Equal(a.Ask("j", 1, cpu(1)), quota.Fits) // no limit
	a.SetLimit(cpu(10))
	is.Equal(a.Ask("j", 1, cpu(1)), quota.Obtainable) // not read yet
	a.SetSynced(true)
	a.SetOwn(quota.Entry{Share: cpu(10)})
	is.Equal(a.Ask("j", 1, resource.Vector{MilliCPU: 10, MemoryMB: 1000}), quota.Fits)
	is.Equal(a.Ask("j", 1, cpu(11)), quota.UsedUp)
	a.SetUnknown()
	is.Equal(a.Ask("j", 1, cpu(1)), quota.UsedUp) // removed from the configuration
}

// Guards against a share that stays where nothing runs any more, and against an append for each short task.
func TestUnusedShareReturnsAfterThreeRounds(t *testing.T) {
	is := is.New(t)
	a := quota.New(0)
	a.SetLimit(cpu(10))
	a.SetSynced(true)
	a.Reserve(cpu(4), false)
	a.SetOwn(quota.Entry{Share: cpu(4)})
	_, changed, _ := a.Next()
	is.True(!changed)
	a.Release(cpu(4), false)
	for range 2 {
		_, changed, _ = a.Next()
		is.True(!changed) // may be needed again
	}
	e, changed, raises := a.Next()
	is.True(changed && !raises)
	is.Equal(e, quota.Entry{})
}

// BenchmarkAsk measures one decision, with the shares of 45 shards.
func BenchmarkAsk(b *testing.B) {
	a := quota.New(0)
	a.SetLimit(resource.Vector{MilliCPU: 100_000, MemoryMB: 100_000, Accelerators: 8})
	a.SetOwn(quota.Entry{Share: resource.Vector{MilliCPU: 4000, MemoryMB: 4000, Accelerators: 1}})
	for i := range 45 {
		a.Observe(i+1, quota.Entry{Share: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}, Lack: cpu(1000), SinceMs: int64(i)})
	}
	a.SetSynced(true)
	for name, size := range map[string]resource.Vector{"fits": cpu(1000), "not": cpu(5000)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				a.Ask("j", 0, size)
			}
		})
	}
}
