package packing

import (
	"cmp"
	"slices"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
)

// Fitting returns the workers that may run tasks of a request once they have no others, open or not.
func (f *Fleet) Fitting(r *Request) []*Worker {
	var list []*Worker
	for _, w := range f.sorted {
		if w.holds(r) {
			list = append(list, w)
		}
	}
	return list
}

// Spare returns the workers without tasks that may run tasks of a request, open or not. Workers that are held for a task
// are left out.
func (f *Fleet) Spare(r *Request) []*Worker {
	var list []*Worker
	for _, w := range f.sorted {
		if w.Idle() && w.heldForStep == "" && w.holds(r) {
			list = append(list, w)
		}
	}
	return list
}

// Busy returns the workers with tasks that may run tasks of a request once those have ended, open or not. Workers with
// less processor time reserved by long-running tasks come first.
func (f *Fleet) Busy(r *Request) []*Worker {
	var list []*Worker
	for _, w := range f.sorted {
		if !w.Idle() && w.holds(r) {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b *Worker) int { return cmp.Compare(a.servingCPU, b.servingCPU) })
	return list
}

// holds reports whether a worker is of the right kind and large enough for a task of a request.
func (w *Worker) holds(r *Request) bool { return w.Suits(r) && r.Step.Reserved().Fits(w.Size) }

// Idle reports whether no task runs, starts or stops on the worker.
func (w *Worker) Idle() bool { return len(w.steps) == 0 }

// Room returns how many tasks of a step the worker has room for once it is idle.
func (w *Worker) Room(step *jobs.Step) int { return roomIn(w.Size, step) }

// roomIn returns how many tasks of a step one worker may run within a capacity.
func roomIn(capacity resource.Vector, step *jobs.Step) int {
	need, n := step.Reserved(), max(step.Count, 1)
	if need.MilliCPU > 0 {
		n = min(n, int(capacity.MilliCPU/need.MilliCPU))
	}
	if need.MemoryMB > 0 {
		n = min(n, int(capacity.MemoryMB/need.MemoryMB))
	}
	if need.Accelerators > 0 {
		n = min(n, int(capacity.Accelerators/need.Accelerators))
	}
	if step.MaxPerWorker > 0 {
		n = min(n, step.MaxPerWorker)
	}
	return max(n, 0)
}

// ServiceTotals returns the number of a service's open workers and the sums of their processor time.
func (f *Fleet) ServiceTotals(service string) (workers int, t CPUTotals) {
	for _, w := range f.sorted {
		if w.Service == service && w.Open {
			workers++
		}
	}
	return workers, f.CPUTotals(service)
}
