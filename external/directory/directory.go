// Package directory is the interface to the platform's list of VMs. The list lags behind reality and may be
// wrong; it is a hint and never proves that something stopped.
package directory

import (
	"context"

	"waxwingslip.example/core/resource"
)

// Role says what a VM is for.
type Role string

// Roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// State is what the platform believes about a VM.
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
	// Address is IP:port: of the peer listener for an entry VM, of the command interface for a worker.
	Address  string          `json:"address"`
	State    State           `json:"state"`
	Capacity resource.Vector `json:"capacity"`
}

// Listing is one answer of the list service.
type Listing struct {
	// Version changes whenever the list changes.
	Version string `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Directory is the list service.
type Directory interface {
	// List returns the VMs of a zone, or of all zones if zone is empty. If the version is unchanged, it
	// returns a Listing without VMs and the same version.
	List(ctx context.Context, zone, version string) (Listing, error)
}
