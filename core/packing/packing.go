// Package packing chooses workers for the tasks of jobs. It knows what is reserved on every worker and does no
// I/O.
//
// It answers loads in which long-running serving tasks hold most of the reserved room, short steps need theirs
// at once, and filling tasks use the processor time that the others leave.
package packing

import (
	"cmp"
	"slices"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/pressure"
	"waxwingslip.example/core/resource"
)

// Worker is what packing knows of a worker.
type Worker struct {
	ID      string
	Service string
	Zone    string
	Rack    string
	Labels  []string
	Size    resource.Vector
	// Open tells that the worker takes new tasks.
	Open bool
	// Strained tells that a serving task misses its objective, so that no filling task is added.
	Strained bool

	// heldFor names the step for whose large task the worker takes no other reserved tasks; empty for none.
	heldFor string
	// Reserved is the room of everything that runs, starts, stops or may still arrive.
	Reserved resource.Vector
	// servingCPU, batchCPU and fillingCPU split the requested processor time by kind of task.
	servingCPU, batchCPU, fillingCPU int64
	// steps counts the tasks of each step of an occurrence.
	steps map[string]int
	// serving counts the serving tasks of each image, and filling sums the processor time of filling ones.
	serving map[string]*servingImage
	filling map[string]int64
	// Penalty grows with recent failures and lowers the worker's rank.
	Penalty int64
}

// servingImage is what serves on a worker under one image.
type servingImage struct {
	tasks    int
	targetMs float64
}

// Fleet is the set of workers of one shard. It is not safe for concurrent use.
type Fleet struct {
	workers map[string]*Worker
	order   []*Worker // by id, so that a plan does not depend on map order
	// pressure tells which images disturb each other.
	pressure *pressure.Model
	// noPlace holds, during a pass, what found no place. Room only shrinks in a pass, so whatever needs as much or more
	// of the same kind finds none either; under overload most searches end here.
	noPlace map[kind]resource.Vector
	// trials counts, for the filling image that is placed now, the workers where it is beside each serving image.
	trials      map[string]int
	trialsImage string
}

// NewFleet returns an empty fleet.
func NewFleet(m *pressure.Model) *Fleet { return &Fleet{workers: map[string]*Worker{}, pressure: m} }

// Add adds a worker.
func (f *Fleet) Add(w *Worker) {
	w.steps = map[string]int{}
	w.serving, w.filling = map[string]*servingImage{}, map[string]int64{}
	f.workers[w.ID] = w
	i, _ := slices.BinarySearchFunc(f.order, w.ID, func(a *Worker, id string) int { return cmp.Compare(a.ID, id) })
	f.order = slices.Insert(f.order, i, w)
}

// Remove forgets a worker.
func (f *Fleet) Remove(id string) {
	if w := f.workers[id]; w != nil {
		delete(f.workers, id)
		f.order = slices.DeleteFunc(f.order, func(o *Worker) bool { return o == w })
	}
}

// Worker returns a worker, or nil.
func (f *Fleet) Worker(id string) *Worker { return f.workers[id] }

// Reserve takes room for a task.
func (f *Fleet) Reserve(id string, step *jobs.Step, stepName string) { f.change(id, step, stepName, 1) }

// Release returns the room of a task.
func (f *Fleet) Release(id string, step *jobs.Step, stepName string) {
	f.change(id, step, stepName, -1)
}

func (f *Fleet) change(id string, step *jobs.Step, stepName string, n int64) {
	w := f.workers[id]
	if w == nil {
		return
	}
	w.Reserved = w.Reserved.Add(step.Reserved().Times(n))
	switch {
	case step.Fills:
		w.fillingCPU += n * step.Size.MilliCPU
		w.filling[step.Image] += n * step.Size.MilliCPU
	case step.LongRunning:
		w.servingCPU += n * step.Size.MilliCPU
		w.changeServing(step, int(n))
	default:
		w.batchCPU += n * step.Size.MilliCPU
	}
	if w.steps[stepName] += int(n); w.steps[stepName] == 0 {
		delete(w.steps, stepName)
	}
	if w.filling[step.Image] == 0 {
		delete(w.filling, step.Image)
	}
}

func (w *Worker) changeServing(step *jobs.Step, n int) {
	if step.TailTargetMs == 0 {
		return
	}
	im := w.serving[step.Image]
	if im == nil {
		im = &servingImage{targetMs: float64(step.TailTargetMs)}
		w.serving[step.Image] = im
	}
	im.targetMs = min(im.targetMs, float64(step.TailTargetMs))
	if im.tasks += n; im.tasks == 0 {
		delete(w.serving, step.Image)
	}
}

// Room is the processor time of a service's workers.
type Room struct{ Size, Free, Batch int64 }

// Room sums the free processor time and that of tasks that end by themselves over the open workers of a
// service.
func (f *Fleet) Room(service string) Room {
	var r Room
	for _, w := range f.order {
		if w.Service == service && w.Open {
			r.Size += w.Size.MilliCPU
			r.Free += w.Free()
			r.Batch += w.batchCPU
		}
	}
	return r
}

// pieceShare of a worker is the least piece in which room is of use to large short tasks.
const pieceShare = 6

// Usable sums the free processor time of a service's open workers in whole pieces of a size, and no smaller ones than a
// part of a worker.
func (f *Fleet) Usable(service string, piece int64) int64 {
	total := int64(0)
	for _, w := range f.order {
		if w.Service == service && w.Open {
			total += w.Free() - w.Free()%max(piece, w.Size.MilliCPU/pieceShare, 1)
		}
	}
	return total
}

// Free returns the processor time that is not reserved.
func (w *Worker) Free() int64 { return w.Size.MilliCPU - w.Reserved.MilliCPU }
