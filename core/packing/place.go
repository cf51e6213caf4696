package packing

import (
	"cmp"
	"slices"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
)

// requestClass separates requests that may fit on different workers.
type requestClass struct {
	service, label, fillingImage string
	urgent                       bool
}

func (r *Request) class() requestClass {
	c := requestClass{service: r.Service, label: r.Step.RequiredLabel, urgent: r.Urgent}
	if r.Step.Fills {
		c.fillingImage = r.Step.Image
	}
	return c
}

// BeginPass begins a series of placements between which no resources become free, and removes all holds.
func (f *Fleet) BeginPass() {
	f.unplaceable = map[requestClass]resource.Vector{}
	f.pass++
	for _, w := range f.sorted {
		w.heldForStep = ""
	}
}

// EndPass ends the series.
func (f *Fleet) EndPass() { f.unplaceable = nil }

// knownUnplaceable reports whether a request cannot be placed in this pass. Long-running steps are always searched,
// because a worker may be held for them.
func (f *Fleet) knownUnplaceable(r *Request, requested resource.Vector) bool {
	if f.unplaceable == nil || r.Step.LongRunning {
		return false
	}
	failed, ok := f.unplaceable[r.class()]
	return ok && failed.Fits(requested)
}

// recordUnplaceable records that a request could not be placed, if the only possible cause is a lack of resources or of
// serving tasks that tolerate it.
func (f *Fleet) recordUnplaceable(r *Request, requested resource.Vector) {
	if f.unplaceable != nil && !r.Step.LongRunning && !r.Step.Gang && r.Allowed == nil && r.Step.MaxPerWorker == 0 {
		f.unplaceable[r.class()] = requested
	}
}

// Request describes the placement of tasks of one step.
type Request struct {
	Step     *jobs.Step
	StepName string
	Service  string
	// Allowed restricts the workers; nil allows all.
	Allowed func(*Worker) bool
	// Avoid is the ID of a worker on which the task just failed; it is used only if no other worker fits.
	Avoid string
	// Urgent places a filling task even if it may disturb serving tasks.
	Urgent bool
}

// Place returns the best worker for one task, or nil if it fits on none now.
func (f *Fleet) Place(r *Request) *Worker {
	var best, fallback *Worker
	var bestScore int64
	need := r.Step.Reserved()
	requested := need
	if r.Step.Fills {
		requested.MilliCPU = r.Step.Size.MilliCPU // not reserved, but it decides which workers tolerate the task
	}
	if f.knownUnplaceable(r, requested) {
		return nil
	}
	if r.Step.Fills {
		f.countTrials(r.Step.Image)
	}
	for _, w := range f.sorted {
		if !feasible(w, r, need) || r.Step.Fills && !f.tolerates(w, r) {
			continue
		}
		if w.ID == r.Avoid {
			fallback = w
			continue
		}
		if score := f.score(w, r, need); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil {
		best = fallback
	}
	if best == nil {
		f.recordUnplaceable(r, requested)
	}
	return best
}

// Candidates returns the workers on which a task of the step fits now, by descending unreserved processor time.
func (f *Fleet) Candidates(r *Request) []*Worker {
	need := r.Step.Reserved()
	var list []*Worker
	for _, w := range f.sorted {
		if feasible(w, r, need) {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b *Worker) int { return cmp.Compare(b.Free(), a.Free()) })
	return list
}

// feasible reports whether a task of the request fits on a worker now.
func feasible(w *Worker, r *Request, need resource.Vector) bool {
	heldForOther := w.heldForStep != "" && w.heldForStep != r.StepName
	if heldForOther && r.Step.Fills {
		// It uses processor time that others leave, but memory that the held task needs.
		heldForOther = w.Reserved.MemoryMB+need.MemoryMB+w.heldMemoryMB > w.Size.MemoryMB
	}
	return !heldForOther && eligible(w, r) && w.Reserved.Add(need).Fits(w.Size)
}

// eligible reports whether a worker may run a task of the request, regardless of its free resources.
func eligible(w *Worker, r *Request) bool {
	return w.Open && w.Suits(r) && (r.Step.MaxPerWorker == 0 || w.steps[r.StepName] < r.Step.MaxPerWorker)
}

// Suits reports whether a worker is of a kind that may run tasks of the request, regardless of its state and its tasks.
func (w *Worker) Suits(r *Request) bool {
	if w.Service != r.Service {
		return false
	}
	if r.Step.RequiredLabel != "" && !slices.Contains(w.Labels, r.Step.RequiredLabel) {
		return false
	}
	return r.Allowed == nil || r.Allowed(w)
}

// Hold keeps a worker free of other reserved tasks, and of filling tasks that take the memory, for a task that fits
// nowhere now. Among the workers where the task fits once all batch and filling tasks, which run to completion, have
// ended, it chooses the one that lacks the least memory and then has the most unreserved processor time. Without a hold,
// short tasks take freed resources before there are enough for the task.
func (f *Fleet) Hold(r *Request) {
	var best *Worker
	need := r.Step.Reserved()
	for _, w := range f.sorted {
		if w.heldForStep != "" || !eligible(w, r) {
			continue
		}
		if w.Free()+w.shortReserved.MilliCPU < need.MilliCPU || w.Reserved.MemoryMB-w.shortReserved.MemoryMB+need.MemoryMB > w.Size.MemoryMB {
			continue
		}
		if best == nil || w.lackingMemory(need) < best.lackingMemory(need) ||
			w.lackingMemory(need) == best.lackingMemory(need) && w.Free() > best.Free() {
			best = w
		}
	}
	if best != nil {
		best.heldForStep, best.heldMemoryMB = r.StepName, need.MemoryMB
	}
}

// lackingMemory returns how much more memory the worker would have to have free for a task.
func (w *Worker) lackingMemory(need resource.Vector) int64 {
	return max(0, w.Reserved.MemoryMB+need.MemoryMB-w.Size.MemoryMB)
}
