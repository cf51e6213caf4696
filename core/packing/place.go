package packing

import (
	"cmp"
	"slices"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/resource"
)

// kind tells requests apart that may find different workers.
type kind struct {
	service, label, fillingImage string
	urgent                       bool
}

func (r *Request) kind() kind {
	k := kind{service: r.Service, label: r.Step.RequiredLabel, urgent: r.Urgent}
	if r.Step.Fills {
		k.fillingImage = r.Step.Image
	}
	return k
}

// BeginPass begins a series of placements between which no room becomes free.
func (f *Fleet) BeginPass() {
	f.noPlace = map[kind]resource.Vector{}
	for _, w := range f.order {
		w.heldFor = ""
	}
}

// EndPass ends the series.
func (f *Fleet) EndPass() { f.noPlace = nil }

// knownFull reports whether a request cannot find a place in this pass. Room may be held for a lasting step, which
// is therefore always searched.
func (f *Fleet) knownFull(r *Request, need resource.Vector) bool {
	if f.noPlace == nil || r.Step.LongRunning {
		return false
	}
	full, ok := f.noPlace[r.kind()]
	return ok && full.Fits(need)
}

// noteFull remembers that a request found no place, if that was for want of room or of serving tasks that tolerate it alone.
func (f *Fleet) noteFull(r *Request, need resource.Vector) {
	if f.noPlace != nil && !r.Step.LongRunning && !r.Step.Gang && r.Allowed == nil && r.Step.MaxPerWorker == 0 {
		f.noPlace[r.kind()] = need
	}
}

// Request asks for places of tasks of one step.
type Request struct {
	Step     *jobs.Step
	StepName string
	Service  string
	// Allowed limits the workers; nil allows all.
	Allowed func(*Worker) bool
	// Avoid names a worker on which the task just failed; it is taken only if no other one fits.
	Avoid string
	// Urgent places a filling task although it may disturb serving tasks.
	Urgent bool
}

// Place returns the best worker for one task, or nil if none has room now.
func (f *Fleet) Place(r *Request) *Worker {
	var best, second *Worker
	var bestScore int64
	need := r.Step.Reserved()
	searched := need
	if r.Step.Fills {
		searched.MilliCPU = r.Step.Size.MilliCPU // not reserved, but it decides which workers tolerate the task
	}
	if f.knownFull(r, searched) {
		return nil
	}
	if r.Step.Fills {
		f.countTrials(r.Step.Image)
	}
	for _, w := range f.order {
		if !feasible(w, r, need) || r.Step.Fills && !f.tolerates(w, r) {
			continue
		}
		if w.ID == r.Avoid {
			second = w
			continue
		}
		if score := f.score(w, r, need); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil {
		best = second
	}
	if best == nil {
		f.noteFull(r, searched)
	}
	return best
}

// Candidates returns the workers that could take a task of the step now, those with the most free processor time first.
func (f *Fleet) Candidates(r *Request) []*Worker {
	need := r.Step.Reserved()
	var list []*Worker
	for _, w := range f.order {
		if feasible(w, r, need) {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b *Worker) int { return cmp.Compare(b.Free(), a.Free()) })
	return list
}

// feasible reports whether a worker has room for a task of the request now.
func feasible(w *Worker, r *Request, need resource.Vector) bool {
	held := w.heldFor != "" && w.heldFor != r.StepName && !r.Step.Fills
	return !held && eligible(w, r) && w.Reserved.Add(need).Fits(w.Size)
}

// eligible reports whether a worker may run a task of the request, whatever room it has.
func eligible(w *Worker, r *Request) bool {
	if !w.Open || w.Service != r.Service {
		return false
	}
	if r.Step.MaxPerWorker > 0 && w.steps[r.StepName] >= r.Step.MaxPerWorker {
		return false
	}
	if r.Step.RequiredLabel != "" && !slices.Contains(w.Labels, r.Step.RequiredLabel) {
		return false
	}
	return r.Allowed == nil || r.Allowed(w)
}

// Hold keeps room free for a task that fits nowhere now, on the worker that needs the least more of it. Only room of
// tasks that end by themselves counts. Without it, short tasks take every room before it is large enough.
func (f *Fleet) Hold(r *Request) {
	var best *Worker
	need := r.Step.Reserved()
	for _, w := range f.order {
		if w.heldFor != "" || !eligible(w, r) {
			continue
		}
		if w.Free()+w.batchCPU < need.MilliCPU || w.Reserved.MemoryMB+need.MemoryMB > w.Size.MemoryMB {
			continue
		}
		if best == nil || w.Free() > best.Free() {
			best = w
		}
	}
	if best != nil {
		best.heldFor = r.StepName
	}
}
