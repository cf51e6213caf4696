package resource

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a component that Fits or Limiting ignores.
func TestEveryComponentLimits(t *testing.T) {
	capacity := Vector{Slots: 1, Connections: 1, MilliCPU: 1, MemoryMB: 1, Accelerators: 1}
	cases := map[string]Vector{
		"slots":        {Slots: 2},
		"connections":  {Connections: 2},
		"milliCPU":     {MilliCPU: 2},
		"memoryMB":     {MemoryMB: 2},
		"accelerators": {Accelerators: 2},
	}
	for name, v := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(!v.Fits(capacity))
			is.Equal(v.Limiting(capacity), name)
			is.True(v.Sub(v).IsZero())
		})
	}
}
