package shard

import (
	"testing"

	"github.com/matryer/is"

	"waxwingslip.example/core/fairshare"
	"waxwingslip.example/core/resource"
)

// Guards against a share that leaves out a resource, and against one that divides by the size of a pool without it.
func TestDominantShare(t *testing.T) {
	total := resource.Vector{MilliCPU: 1000, MemoryMB: 2000, Accelerators: 4}
	for name, c := range map[string]struct {
		used, total resource.Vector
		want        int64
	}{
		"processor time": {resource.Vector{MilliCPU: 500, MemoryMB: 500, Accelerators: 1}, total, wholePool / 2},
		"memory":         {resource.Vector{MilliCPU: 100, MemoryMB: 500}, total, wholePool / 4},
		"accelerators":   {resource.Vector{MilliCPU: 100, MemoryMB: 500, Accelerators: 3}, total, wholePool / 4 * 3},
		"none there":     {resource.Vector{Accelerators: 3}, resource.Vector{MilliCPU: 1000}, 0},
		"no workers":     {resource.Vector{MilliCPU: 100, Slots: 2}, resource.Vector{}, 2},
		"only tasks":     {resource.Vector{Slots: 3}, total, 3},
		"huge":           {resource.Vector{MilliCPU: 1 << 62}, total, maxPools * wholePool},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(dominantShare(c.used, c.total), c.want)
		})
	}
}

// Guards against an account that is charged for each of its tasks' largest parts: tasks with much processor time and tasks
// with much memory fill a pool together.
func TestUseOfMixedTasks(t *testing.T) {
	is := is.New(t)
	flow := fairshare.Flow{Account: "a", Pool: fairshare.Pool{Service: "s"}}
	u := &accountUse{byFlow: map[fairshare.Flow]resource.Vector{flow: {MilliCPU: 500, MemoryMB: 100}},
		totals: map[string]resource.Vector{"s": {MilliCPU: 1000, MemoryMB: 1000}}}
	is.Equal(u.add(flow, resource.Vector{MemoryMB: 400}), int64(0))
	is.Equal(u.add(flow, resource.Vector{MemoryMB: 100}), int64(wholePool/10))
	is.Equal(u.shares()[flow], int64(wholePool/10*6))
}
