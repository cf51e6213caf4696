// Package fake is an in-memory list of VMs that can be late, wrong and flapping.
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

// ErrRejected is the list service's definite rejection.
var ErrRejected = errors.New("list service rejected the call")

// Distortion makes the list differ from reality. The zero value lists what is there.
type Distortion struct {
	// LateMs shows the list as it was so many milliseconds ago.
	LateMs int64 `json:"lateMs,omitempty"`
	// Hidden VMs are left out.
	Hidden []string `json:"hidden,omitempty"`
	// Extra VMs are listed although they were not registered, or instead of what was registered.
	Extra []directory.VM `json:"extra,omitempty"`
	// Flapping VMs are left out in every second period of FlapMs milliseconds.
	Flapping []string `json:"flapping,omitempty"`
	FlapMs   int64    `json:"flapMs,omitempty"`
}

// historyEntries bounds how far back Distortion.LateMs reaches, counted in changes.
const historyEntries = 1024

// Directory is a directory.Directory in memory. It is safe for concurrent use.
type Directory struct {
	// Faults makes the service misbehave.
	Faults fault.Switch

	now     func() time.Time
	started time.Time

	mu         sync.Mutex
	distortion Distortion
	// history holds the lists by the time from which they were true, oldest first.
	history []edition
}

type edition struct {
	since time.Time
	vms   map[string]directory.VM
}

var _ directory.Directory = (*Directory)(nil)

// New returns an empty list. A nil clock means time.Now.
func New(now func() time.Time) *Directory {
	if now == nil {
		now = time.Now
	}
	return &Directory{now: now, started: now(), history: []edition{{since: now()}}}
}

// Put adds or replaces a VM.
func (d *Directory) Put(vm directory.VM) {
	d.change(func(vms map[string]directory.VM) { vms[vm.ID] = vm })
}

// Remove drops a VM.
func (d *Directory) Remove(id string) {
	d.change(func(vms map[string]directory.VM) { delete(vms, id) })
}

// SetState changes the state of a VM and reports whether the VM is known.
func (d *Directory) SetState(id string, state directory.State) (known bool) {
	d.change(func(vms map[string]directory.VM) {
		var vm directory.VM
		if vm, known = vms[id]; known {
			vm.State = state
			vms[id] = vm
		}
	})
	return known
}

// Distort makes the list differ from reality from now on.
func (d *Directory) Distort(x Distortion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.distortion = x
}

func (d *Directory) change(f func(map[string]directory.VM)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	vms := map[string]directory.VM{}
	for id, vm := range d.history[len(d.history)-1].vms {
		vms[id] = vm
	}
	f(vms)
	d.history = append(d.history, edition{since: d.now(), vms: vms})
	if len(d.history) > historyEntries {
		d.history = d.history[1:]
	}
}

// List implements directory.Directory. The version is a checksum of the list that is shown.
func (d *Directory) List(ctx context.Context, zone, version string) (directory.Listing, error) {
	if err := d.Faults.Before(ctx, OpList, ErrRejected); err != nil {
		return directory.Listing{}, errors.Wrap(err, "list VMs")
	}
	vms := d.shown(zone)
	listing := directory.Listing{Version: checksum(vms)}
	if listing.Version != version {
		listing.VMs = vms
	}
	if err := d.Faults.After(ctx, OpList); err != nil {
		return directory.Listing{}, errors.Wrap(err, "list VMs")
	}
	return listing, nil
}

// shown returns the distorted list in the order of ids.
func (d *Directory) shown(zone string) []directory.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	x, now := d.distortion, d.now()
	merged := map[string]directory.VM{}
	for id, vm := range d.at(now.Add(-time.Duration(x.LateMs) * time.Millisecond)) {
		merged[id] = vm
	}
	for _, vm := range x.Extra {
		merged[vm.ID] = vm
	}
	for _, id := range x.Hidden {
		delete(merged, id)
	}
	if x.FlapMs > 0 && now.Sub(d.started).Milliseconds()/x.FlapMs%2 == 1 {
		for _, id := range x.Flapping {
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

// at returns the list that was true at time t. The caller holds mu.
func (d *Directory) at(t time.Time) map[string]directory.VM {
	for i := len(d.history) - 1; i >= 0; i-- {
		if !d.history[i].since.After(t) {
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
