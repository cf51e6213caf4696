// Package endpoints maintains the endpoints of the services of the daemon's own zone, derived from the zone state and
// the VM list.
package endpoints

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/node/gateway"
	"waxwingslip.example/node/stream"
)

// ZoneView provides read access to the zone state.
type ZoneView interface {
	View(f func(s *zone.State))
}

// Table implements gateway.EndpointSource.
type Table struct {
	zone ZoneView

	// mu serialises rebuilds and guards leaving.
	mu      sync.Mutex
	leaving map[string]bool
	current atomic.Pointer[snapshot]
}

// snapshot is immutable once it is published. changed is closed when the next one is published.
type snapshot struct {
	services map[string][]gateway.Endpoint
	changed  chan struct{}
}

// New returns an empty table.
func New(zone ZoneView) *Table {
	t := &Table{zone: zone, leaving: map[string]bool{}}
	t.current.Store(&snapshot{changed: make(chan struct{})})
	return t
}

// Endpoints implements gateway.EndpointSource.
func (t *Table) Endpoints(service string) []gateway.Endpoint {
	return t.current.Load().services[service]
}

// Changed implements gateway.EndpointSource.
func (t *Table) Changed() <-chan struct{} { return t.current.Load().changed }

// Apply rebuilds the table if the batch may change endpoints. It is a subscriber of the zone's follower.
func (t *Table) Apply(b stream.Batch) {
	if b.Restored || slices.ContainsFunc(b.Applied, affectsEndpoints) {
		t.rebuild()
	}
}

func affectsEndpoints(a stream.Applied) bool {
	return slices.ContainsFunc(a.Verdict.Events, func(e any) bool {
		c, ok := e.(zone.Change)
		if !ok {
			return false
		}
		isTask := c.Kind == zone.ChangeTask && len(c.Job) > len(serviceJobPrefix) &&
			c.Job[:len(serviceJobPrefix)] == serviceJobPrefix
		return isTask || c.Kind == zone.ChangeWorker || c.Kind == zone.ChangeJob
	})
}

var serviceJobPrefix = record.ServiceJobID("")

// SetLeaving sets the workers that are leaving according to the VM list, and rebuilds the table.
func (t *Table) SetLeaving(workers map[string]bool) {
	t.mu.Lock()
	t.leaving = workers
	t.mu.Unlock()
	t.rebuild()
}

func (t *Table) rebuild() {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := &snapshot{services: map[string][]gateway.Endpoint{}, changed: make(chan struct{})}
	t.zone.View(func(s *zone.State) {
		for _, j := range s.Jobs {
			if j.IsService() {
				next.services[j.Spec.Service] = t.endpointsOf(s, j)
			}
		}
	})
	old := t.current.Swap(next)
	close(old.changed)
}

// endpointsOf returns the endpoints of a service's job, sorted by run. The caller holds mu and the zone state's lock.
func (t *Table) endpointsOf(s *zone.State, j *zone.Job) []gateway.Endpoint {
	var list []gateway.Endpoint
	for _, task := range j.Tasks {
		if task.State != zone.TaskBound || task.Address == "" {
			continue
		}
		w := s.Workers[task.Worker]
		list = append(list, gateway.Endpoint{
			Address: task.Address,
			Worker:  task.Worker,
			Run:     j.Spec.ID + "/" + strconv.Itoa(task.Index) + "/" + strconv.FormatInt(task.Epoch, 10),
			Leaving: task.ShouldStop() || t.leaving[task.Worker] || w.State == record.WorkerLeaving ||
				w.State == record.WorkerUnreachable,
		})
	}
	slices.SortFunc(list, func(a, b gateway.Endpoint) int {
		if a.Run < b.Run {
			return -1
		}
		return 1
	})
	return list
}
