// Package resource defines the amounts that tasks request and workers offer.
package resource

import "fmt"

// Vector is an amount of every resource that a worker offers. The zero value is empty.
type Vector struct {
	// Slots counts task positions; every task takes at least one.
	Slots int64 `cbor:"1,keyasint,omitempty" yaml:"slots,omitempty" json:"slots"`
	// Connections counts concurrent client connections of service tasks.
	Connections int64 `cbor:"2,keyasint,omitempty" yaml:"connections,omitempty" json:"connections"`
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `cbor:"3,keyasint,omitempty" yaml:"milliCPU,omitempty" json:"milliCPU"`
	// MemoryMB is memory in units of 1,000,000 bytes.
	MemoryMB int64 `cbor:"4,keyasint,omitempty" yaml:"memoryMB,omitempty" json:"memoryMB"`
	// Accelerators counts whole accelerators.
	Accelerators int64 `cbor:"5,keyasint,omitempty" yaml:"accelerators,omitempty" json:"accelerators"`
}

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	v.Slots += o.Slots
	v.Connections += o.Connections
	v.MilliCPU += o.MilliCPU
	v.MemoryMB += o.MemoryMB
	v.Accelerators += o.Accelerators
	return v
}

// Sub returns v - o; components may become negative.
func (v Vector) Sub(o Vector) Vector {
	return v.Add(o.Times(-1))
}

// Times returns v scaled by n.
func (v Vector) Times(n int64) Vector {
	v.Slots *= n
	v.Connections *= n
	v.MilliCPU *= n
	v.MemoryMB *= n
	v.Accelerators *= n
	return v
}

// Fits reports whether v is at most o in every component.
func (v Vector) Fits(o Vector) bool {
	return v.Slots <= o.Slots &&
		v.Connections <= o.Connections &&
		v.MilliCPU <= o.MilliCPU &&
		v.MemoryMB <= o.MemoryMB &&
		v.Accelerators <= o.Accelerators
}

// Valid reports whether no component is negative.
func (v Vector) Valid() bool {
	return Vector{}.Fits(v)
}

// IsZero reports whether every component is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// Limiting names the first component of v that exceeds o, or "" if v fits.
func (v Vector) Limiting(o Vector) string {
	switch {
	case v.Slots > o.Slots:
		return "slots"
	case v.Connections > o.Connections:
		return "connections"
	case v.MilliCPU > o.MilliCPU:
		return "milliCPU"
	case v.MemoryMB > o.MemoryMB:
		return "memoryMB"
	case v.Accelerators > o.Accelerators:
		return "accelerators"
	}
	return ""
}

// String formats v for logs and tables.
func (v Vector) String() string {
	return fmt.Sprintf("slots=%d connections=%d milliCPU=%d memoryMB=%d accelerators=%d",
		v.Slots, v.Connections, v.MilliCPU, v.MemoryMB, v.Accelerators)
}
