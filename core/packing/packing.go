// Package packing chooses workers for the tasks of jobs. It tracks the resources reserved on every worker and does no
// I/O.
//
// It is designed for loads in which long-running serving tasks hold most of the reserved resources, short steps need
// theirs at once, and filling (best-effort) tasks use the processor time that the others leave idle.
package packing

import (
	"cmp"
	"slices"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/pressure"
	"waxwingslip.example/core/resource"
)

// Kind is what a worker's entry in the registry says of it. It changes as a whole.
type Kind struct {
	Service string
	Zone    string
	Rack    string
	Labels  []string
	Size    resource.Vector
}

// Worker is the scheduling state of a worker.
type Worker struct {
	ID string
	Kind
	// Open is whether the worker accepts new tasks.
	Open bool
	// ObjectiveMissed is whether a serving task misses its objective; only urgent filling tasks are added then.
	ObjectiveMissed bool

	// heldForStep names the step for whose large task the worker accepts no other reserved tasks; empty for none.
	heldForStep string
	// heldMemoryMB is the memory of that task.
	heldMemoryMB int64
	// Reserved sums the resources of all tasks that run, start, stop or may still arrive.
	Reserved resource.Vector
	// shortReserved is the part of Reserved that batch and filling tasks take, which run to completion.
	shortReserved resource.Vector
	// servingCPU and fillingCPU are the requested millicores of these kinds of task.
	servingCPU, fillingCPU int64
	// steps counts the tasks of each step of an occurrence, by step name.
	steps map[string]int
	// serving counts the serving tasks of each image, and filling sums the millicores of filling ones.
	serving map[string]*servingImage
	filling map[string]int64
	// Penalty grows with recent failures and lowers the worker's rank.
	Penalty int64
	// generation counts the changes of the worker's reservations.
	generation int
	// utilization holds the newest results for a filling image in a pass.
	utilization utilizationCache
}

// utilizationCache holds what one more filling task of an image and size adds to the utilization of a worker's serving
// tasks. The tasks of a step, and of other steps with the image, are alike, and nothing is learned during a pass.
type utilizationCache struct {
	pass, generation int
	image            string
	milliCPU         int64
	excess, added    float64
	// trials is the version of the trial counts on which excess depends; 0 if it depends on none.
	trials int
	// hasExcess and hasAdded tell which results are there.
	hasExcess, hasAdded bool
}

// servingImage summarizes the serving tasks of one image on a worker.
type servingImage struct {
	tasks    int
	targetMs float64
}

// Fleet is the set of workers of one shard. It is not safe for concurrent use.
type Fleet struct {
	workers map[string]*Worker
	sorted  []*Worker // by ID, so that placements do not depend on map order
	// pressure predicts which images disturb each other.
	pressure *pressure.Model
	// unplaceable holds, during a pass, the sizes that could not be placed. No resources become free in a pass, so a
	// request of the same class for as much or more cannot be placed either; under overload most searches end here.
	unplaceable map[requestClass]resource.Vector
	// trialWorkers counts, for trialImage (the filling image being placed), the workers shared with each serving image.
	trialWorkers map[string]int
	trialImage   string
	// trialVersion counts the changes of trialWorkers, and trialsStale is set once they are outdated.
	trialVersion int
	trialsStale  bool
	// pass counts the passes.
	pass int
}

// NewFleet returns an empty fleet.
func NewFleet(m *pressure.Model) *Fleet { return &Fleet{workers: map[string]*Worker{}, pressure: m} }

// Add adds a worker without tasks.
func (f *Fleet) Add(w *Worker) {
	w.steps = map[string]int{}
	w.serving, w.filling = map[string]*servingImage{}, map[string]int64{}
	f.workers[w.ID] = w
	i, _ := slices.BinarySearchFunc(f.sorted, w.ID, func(a *Worker, id string) int { return cmp.Compare(a.ID, id) })
	f.sorted = slices.Insert(f.sorted, i, w)
	f.trialsStale = true
}

// Remove removes a worker.
func (f *Fleet) Remove(id string) {
	if w := f.workers[id]; w != nil {
		delete(f.workers, id)
		f.sorted = slices.DeleteFunc(f.sorted, func(o *Worker) bool { return o == w })
		f.trialsStale = true
	}
}

// SetKind replaces the kind of a worker, whose entry has changed. Its tasks keep their reservations; a hold for a task
// ends, since the worker may no longer suit it.
func (f *Fleet) SetKind(id string, k Kind) {
	if w := f.workers[id]; w != nil {
		w.Kind = k
		w.heldForStep = ""
		w.generation++
		f.trialsStale = true
	}
}

// Worker returns a worker by ID, or nil.
func (f *Fleet) Worker(id string) *Worker { return f.workers[id] }

// Reserve reserves resources of a worker for a task.
func (f *Fleet) Reserve(id string, step *jobs.Step, stepName string) {
	f.adjustReservation(id, step, stepName, 1)
}

// Release releases the resources of a task.
func (f *Fleet) Release(id string, step *jobs.Step, stepName string) {
	f.adjustReservation(id, step, stepName, -1)
}

func (f *Fleet) adjustReservation(id string, step *jobs.Step, stepName string, sign int64) {
	w := f.workers[id]
	if w == nil {
		return
	}
	w.generation++
	w.Reserved = w.Reserved.Add(step.Reserved().Times(sign))
	if !step.LongRunning {
		w.shortReserved = w.shortReserved.Add(step.Reserved().Times(sign))
	}
	switch {
	case step.Fills:
		w.fillingCPU += sign * step.Size.MilliCPU
		w.filling[step.Image] += sign * step.Size.MilliCPU
		f.trialsStale = f.trialsStale || step.Image == f.trialImage
	case step.LongRunning:
		w.servingCPU += sign * step.Size.MilliCPU
		w.adjustServing(step, int(sign))
		f.trialsStale = true
	}
	if w.steps[stepName] += int(sign); w.steps[stepName] == 0 {
		delete(w.steps, stepName)
	}
	if w.filling[step.Image] == 0 {
		delete(w.filling, step.Image)
	}
}

func (w *Worker) adjustServing(step *jobs.Step, delta int) {
	if step.TailTargetMs == 0 {
		return
	}
	entry := w.serving[step.Image]
	if entry == nil {
		entry = &servingImage{targetMs: float64(step.TailTargetMs)}
		w.serving[step.Image] = entry
	}
	entry.targetMs = min(entry.targetMs, float64(step.TailTargetMs))
	if entry.tasks += delta; entry.tasks == 0 {
		delete(w.serving, step.Image)
	}
}

// CPUTotals sums the millicores of a service's open workers.
type CPUTotals struct{ Size, Free, Batch int64 }

// CPUTotals returns the total, the unreserved and the batch processor time of a service's open workers. Batch tasks run
// to completion.
func (f *Fleet) CPUTotals(service string) CPUTotals {
	var r CPUTotals
	for _, w := range f.sorted {
		if w.Service == service && w.Open {
			r.Size += w.Size.MilliCPU
			r.Free += w.Free()
			r.Batch += w.shortReserved.MilliCPU
		}
	}
	return r
}

// TotalSize sums the sizes of a service's open workers.
func (f *Fleet) TotalSize(service string) resource.Vector {
	var total resource.Vector
	for _, w := range f.sorted {
		if w.Service == service && w.Open {
			total = total.Add(w.Size)
		}
	}
	return total
}

// minChunkDivisor divides a worker's size into the smallest free chunk that is of use to large short tasks.
const minChunkDivisor = 6

// UsableCPU sums the unreserved processor time of a service's open workers in whole chunks of the given size, at least
// the smallest useful chunk of the worker.
func (f *Fleet) UsableCPU(service string, chunkMilliCPU int64) int64 {
	total := int64(0)
	for _, w := range f.sorted {
		if w.Service == service && w.Open {
			total += w.Free() - w.Free()%max(chunkMilliCPU, w.Size.MilliCPU/minChunkDivisor, 1)
		}
	}
	return total
}

// Free returns the unreserved processor time in millicores.
func (w *Worker) Free() int64 { return w.Size.MilliCPU - w.Reserved.MilliCPU }
