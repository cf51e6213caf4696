package quota_test

import (
	"testing"

	"github.com/matryer/is"

	"waxwingslip.example/core/quota"
	"waxwingslip.example/core/resource"
)

// Guards against tasks without accelerators that wait forever because long-running tasks of another shard use more
// accelerators than a limit that has fallen.
func TestExcessOfAnotherComponentBlocksNothing(t *testing.T) {
	is := is.New(t)
	a := quota.New(0)
	a.SetLimit(resource.Vector{MilliCPU: 10_000, Accelerators: 2})
	gpus := resource.Vector{MilliCPU: 4000, Accelerators: 4}
	a.Observe(1, quota.Entry{Share: gpus, Lasting: gpus})
	a.SetSynced(true)
	a.BeginPlan()
	is.Equal(a.Ask("job", 1, cpu(1000)), quota.Obtainable)
	a.Wait("job", 1, cpu(1000), cpu(3000))
	a.EndPlan()
	e, _, raises := a.Next()
	is.True(raises)
	is.Equal(e.Share, cpu(3000))
}

// Guards against a record with components that limits do not count, which would keep all shards from raising their shares.
func TestComponentsThatAreNotCountedBlockNothing(t *testing.T) {
	is := is.New(t)
	a := quota.New(0)
	a.SetLimit(cpu(10_000))
	a.Observe(1, quota.Entry{Share: resource.Vector{Slots: 1}})
	a.SetSynced(true)
	a.BeginPlan()
	a.Wait("job", 1, cpu(1000), cpu(3000))
	a.EndPlan()
	_, _, raises := a.Next()
	is.True(raises)
}

// Guards against a panic, and a raise that contains accelerators, where waiting tasks need some beside the oldest job and the
// limit for them is exceeded.
func TestPartLeavesOutExceededComponent(t *testing.T) {
	is := is.New(t)
	a := quota.New(0)
	a.SetLimit(resource.Vector{MilliCPU: 10_000, Accelerators: 2})
	a.Observe(1, quota.Entry{Share: resource.Vector{MilliCPU: 4000, Accelerators: 4}})
	a.SetSynced(true)
	a.BeginPlan()
	a.Wait("old", 1, cpu(1000), cpu(9000))
	gpu := resource.Vector{MilliCPU: 1000, Accelerators: 1}
	a.Wait("young", 2, gpu, gpu)
	a.EndPlan()
	e, _, _ := a.Next()
	is.Equal(e.Share, cpu(6000))
}
