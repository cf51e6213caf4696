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

// servingLoadPercent is the assumed use of a serving task's reserved processor time before it is measured.
// Serving tasks leave more than half of what they reserve on average.
const servingLoadPercent = 50

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
	tasks int
	// serving counts the serving tasks of each image, and filling sums the processor time of filling ones.
	serving map[string]*servingImage
	filling map[string]int64
	// penalty grows with recent failures and lowers the worker's rank.
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
	i, _ := slices.BinarySearchFunc(f.order, w.ID, func(a *Worker, id string) int {
		if a.ID < id {
			return -1
		}
		if a.ID > id {
			return 1
		}
		return 0
	})
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

// Workers returns the workers in a fixed order.
func (f *Fleet) Workers() []*Worker { return f.order }

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
	w.tasks += int(n)
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

// noteFull remembers that a request found no place, if that was for want of room or company alone.
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
		searched.MilliCPU = r.Step.Size.MilliCPU // not reserved, but it decides where the task is borne
	}
	if f.knownFull(r, searched) {
		return nil
	}
	if r.Step.Fills {
		f.countTrials(r.Step.Image)
	}
	for _, w := range f.order {
		if !feasible(w, r, need) || r.Step.Fills && !f.bears(w, r) {
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

func feasible(w *Worker, r *Request, need resource.Vector) bool {
	if !w.Open || w.Service != r.Service || w.heldFor != "" && w.heldFor != r.StepName && !r.Step.Fills {
		return false
	}
	if !w.Reserved.Add(need).Fits(w.Size) {
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
		if w.heldFor != "" || !w.Open || w.Service != r.Service || r.Allowed != nil && !r.Allowed(w) ||
			r.Step.RequiredLabel != "" && !slices.Contains(w.Labels, r.Step.RequiredLabel) ||
			r.Step.MaxPerWorker > 0 && w.steps[r.StepName] >= r.Step.MaxPerWorker {
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

// Weights of a rank, in millicores of free processor time.
const (
	// rackWeight exceeds every difference of free processor time: the wrong rack multiplies the run time.
	rackWeight = 10_000_000
	// pressureWeight is for each whole utilization beyond what a serving image bears.
	pressureWeight = 400_000
	// imageWeight is for each serving task of another image on the worker. Serving tasks of one image together
	// leave more workers on which a filling image disturbs nobody.
	imageWeight = 30_000
	// vacantWeight keeps workers without serving tasks free as long as others of the image have room.
	vacantWeight = 20_000
)

func (f *Fleet) score(w *Worker, r *Request, need resource.Vector) int64 {
	s := -w.Penalty
	if r.Step.DataRack != "" && w.Rack == r.Step.DataRack {
		s += rackWeight
	}
	switch {
	case r.Step.Fills:
		return s + w.unused() - w.fillingCPU - int64(pressureWeight*f.press(w, r.Step))
	case r.Step.TailTargetMs > 0:
		return s + w.affinity(r.Step.Image) - (w.Size.MilliCPU - w.Reserved.MilliCPU - need.MilliCPU)
	case r.Step.LongRunning:
		// Spreading keeps the loss by one worker small.
		return s + w.Size.MilliCPU - w.Reserved.MilliCPU
	}
	// A tight fit keeps large rooms whole for large tasks.
	return s - (w.Size.MilliCPU - w.Reserved.MilliCPU - need.MilliCPU)
}

// affinity ranks a worker for a serving task by the images that serve there.
func (w *Worker) affinity(image string) int64 {
	if len(w.serving) == 0 {
		return -vacantWeight
	}
	others := 0
	for name, im := range w.serving {
		if name != image {
			others += im.tasks
		}
	}
	return -imageWeight * int64(others)
}

// bears reports whether a worker has unused processor time for a filling task, and serving tasks that it does not
// disturb.
func (f *Fleet) bears(w *Worker, r *Request) bool {
	if w.Strained && !r.Urgent {
		return false
	}
	if w.fillingCPU > 0 && w.fillingCPU+r.Step.Size.MilliCPU > w.unused() {
		return false
	}
	return r.Urgent || f.press(w, r.Step) == 0
}

// Disturbs reports whether filling tasks of a step are known to disturb a serving task of a worker.
func (f *Fleet) Disturbs(id string, step *jobs.Step) bool {
	w := f.workers[id]
	if w == nil || !step.Fills {
		return false
	}
	for image := range w.serving {
		if f.pressure.Disturbs(pressure.Pair{Serving: image, Filling: step.Image}) {
			return true
		}
	}
	return false
}

// maxTrials is the number of workers on which a pair of images is tried at a time.
const maxTrials = 3

// countTrials notes where a filling image runs.
func (f *Fleet) countTrials(filling string) {
	f.trialsImage, f.trials = filling, map[string]int{}
	for _, w := range f.order {
		if w.filling[filling] == 0 {
			continue
		}
		for image := range w.serving {
			f.trials[image]++
		}
	}
}

// press is what filling tasks, with one of the step more, add to the utilization of the serving tasks of a worker
// beyond what these bear.
func (f *Fleet) press(w *Worker, step *jobs.Step) float64 {
	if len(w.serving) == 0 {
		return 0
	}
	size := float64(max(1, w.Size.MilliCPU))
	shares := make(map[string]float64, len(w.filling)+1)
	for image, cpu := range w.filling {
		shares[image] = float64(cpu) / size
	}
	shares[step.Image] += float64(step.Size.MilliCPU) / size
	total := 0.0
	for image, im := range w.serving {
		total += float64(im.tasks) * f.pressure.Press(image, shares, func(filling string) bool {
			return filling == f.trialsImage && w.filling[filling] == 0 && f.trials[image] >= maxTrials
		})
	}
	return total
}

// unused estimates the processor time that tasks other than filling ones leave.
func (w *Worker) unused() int64 {
	return w.Size.MilliCPU - w.batchCPU - w.servingCPU*servingLoadPercent/100
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

// Free returns the processor time that is not reserved.
func (w *Worker) Free() int64 { return w.Size.MilliCPU - w.Reserved.MilliCPU }

// Tasks returns the number of tasks for which room is reserved.
func (w *Worker) Tasks() int { return w.tasks }
