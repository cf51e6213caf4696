// Package fake implements an in-memory list of VMs that can be delayed, wrong and flapping.
package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/fault"
)

// OpList is the name of the operation for fault.Setting.Operations.
const OpList = "list"

// ErrRejected means that the list service rejected the call.
var ErrRejected = errors.New("list service rejected the call")

// Distortion describes how the list differs from the registered VMs. The zero value lists them unchanged.
type Distortion struct {
	// LateMs is the delay of the list in milliseconds.
	LateMs int64 `json:"lateMs,omitempty"`
	// Hidden holds the ids of VMs that are left out.
	Hidden []string `json:"hidden,omitempty"`
	// Extra VMs are listed in addition to the registered ones; they replace those with the same id.
	Extra []directory.VM `json:"extra,omitempty"`
	// Flapping holds the ids of VMs that are left out in every second period of FlapMs milliseconds.
	Flapping []string `json:"flapping,omitempty"`
	FlapMs   int64    `json:"flapMs,omitempty"`
}

// historyEntries limits how far back Distortion.LateMs reaches, in changes of the list.
const historyEntries = 1024

// Directory is an in-memory directory.Directory. It is safe for concurrent use.
type Directory struct {
	// Faults injects faults into the calls.
	Faults fault.Switch

	now       func() time.Time
	createdAt time.Time

	mu         sync.Mutex
	distortion Distortion
	// history holds the versions of the list in the order of the time from which they were valid.
	history []snapshot
}

type snapshot struct {
	validFrom time.Time
	vms       map[string]directory.VM
}

var _ directory.Directory = (*Directory)(nil)

// New returns an empty list. A nil clock means time.Now.
func New(now func() time.Time) *Directory {
	if now == nil {
		now = time.Now
	}
	return &Directory{now: now, createdAt: now(), history: []snapshot{{validFrom: now()}}}
}

// Put adds or replaces a VM.
func (d *Directory) Put(vm directory.VM) {
	d.update(func(vms map[string]directory.VM) { vms[vm.ID] = vm })
}

// Remove removes a VM.
func (d *Directory) Remove(id string) {
	d.update(func(vms map[string]directory.VM) { delete(vms, id) })
}

// SetState changes the state of a VM and reports whether the VM is registered.
func (d *Directory) SetState(id string, state directory.State) (known bool) {
	d.update(func(vms map[string]directory.VM) {
		var vm directory.VM
		if vm, known = vms[id]; known {
			vm.State = state
			vms[id] = vm
		}
	})
	return known
}

// Distort replaces the distortion of the list.
func (d *Directory) Distort(distortion Distortion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.distortion = distortion
}

func (d *Directory) update(apply func(map[string]directory.VM)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	vms := map[string]directory.VM{}
	for id, vm := range d.history[len(d.history)-1].vms {
		vms[id] = vm
	}
	apply(vms)
	d.history = append(d.history, snapshot{validFrom: d.now(), vms: vms})
	if len(d.history) > historyEntries {
		d.history = d.history[1:]
	}
}

// List implements directory.Directory. The version is a checksum of the returned list.
func (d *Directory) List(ctx context.Context, zone, version string) (directory.Listing, error) {
	if err := d.Faults.Before(ctx, OpList, ErrRejected); err != nil {
		return directory.Listing{}, errors.Wrap(err, "list VMs")
	}
	vms := d.distortedVMs(zone)
	listing := directory.Listing{Version: checksum(vms)}
	if listing.Version != version {
		listing.VMs = vms
	}
	if err := d.Faults.After(ctx, OpList); err != nil {
		return directory.Listing{}, errors.Wrap(err, "list VMs")
	}
	return listing, nil
}

// distortedVMs returns the VMs of the distorted list, sorted by id.
func (d *Directory) distortedVMs(zone string) []directory.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	distortion, now := d.distortion, d.now()
	merged := map[string]directory.VM{}
	for id, vm := range d.vmsAt(now.Add(-time.Duration(distortion.LateMs) * time.Millisecond)) {
		merged[id] = vm
	}
	for _, vm := range distortion.Extra {
		merged[vm.ID] = vm
	}
	for _, id := range distortion.Hidden {
		delete(merged, id)
	}
	if distortion.FlapMs > 0 && now.Sub(d.createdAt).Milliseconds()/distortion.FlapMs%2 == 1 {
		for _, id := range distortion.Flapping {
			delete(merged, id)
		}
	}
	vms := make([]directory.VM, 0, len(merged))
	for _, vm := range merged {
		if zone == "" || vm.Zone == zone {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b directory.VM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return vms
}

// vmsAt returns the list that was valid at time t. The caller holds mu.
func (d *Directory) vmsAt(t time.Time) map[string]directory.VM {
	for i := len(d.history) - 1; i >= 0; i-- {
		if !d.history[i].validFrom.After(t) {
			return d.history[i].vms
		}
	}
	return d.history[0].vms
}

func checksum(vms []directory.VM) string {
	h := fnv.New64a()
	// Encoding VMs cannot fail: they hold only strings and integers.
	_ = json.NewEncoder(h).Encode(vms)
	return fmt.Sprintf("%016x", h.Sum64())
}
