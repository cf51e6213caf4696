// Package directory defines the interface to the platform's list of VMs, with its HTTP client and handler. The list is
// delayed and may be wrong; it is a hint and never proves that a VM has stopped.
package directory

import (
	"context"

	"waxwingslip.example/core/resource"
)

// Role is the purpose of a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// State is the state of a VM according to the platform.
type State string

// States of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	Zone string `json:"zone"`
	Rack string `json:"rack,omitempty"`
	// Address is the IP:port of the peer listener of an entry VM or of the command interface of a worker.
	Address  string          `json:"address"`
	State    State           `json:"state"`
	Capacity resource.Vector `json:"capacity"`
}

// Listing is one response of the list service.
type Listing struct {
	// Version changes whenever the list changes.
	Version string `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Directory is the list service.
type Directory interface {
	// List returns the VMs of a zone, or of all zones if zone is empty. If version is still current, it
	// returns a Listing with the same version and without VMs.
	List(ctx context.Context, zone, version string) (Listing, error)
}
