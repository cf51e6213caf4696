package packing

import (
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/pressure"
	"waxwingslip.example/core/resource"
)

// Weights of the score, in millicores of free processor time.
const (
	// rackWeight exceeds every difference in free processor time, because the wrong rack multiplies the run time.
	rackWeight = 10_000_000
	// excessWeight applies per unit of utilization (1 is a full worker) beyond what a serving image tolerates.
	excessWeight = 400_000
	// utilizationWeight applies per unit of utilization that filling tasks add to a serving task, even if tolerated.
	utilizationWeight = 400_000
	// otherImageWeight applies per serving task of another image on the worker. Grouping serving tasks by image
	// leaves more workers on which a filling image disturbs no serving task.
	otherImageWeight = 30_000
	// emptyWorkerWeight keeps workers without serving tasks free as long as the task fits beside others of its image.
	emptyWorkerWeight = 20_000
)

func (f *Fleet) score(w *Worker, r *Request, need resource.Vector) int64 {
	s := -w.Penalty
	if r.Step.DataRack != "" && w.Rack == r.Step.DataRack {
		s += rackWeight
	}
	switch {
	case r.Step.Fills:
		s += w.unusedCPU() - w.fillingCPU - int64(utilizationWeight*f.addedUtilization(w, r.Step))
		if r.Urgent { // others are placed only where there is no excess
			s -= int64(excessWeight * f.excessUtilization(w, r.Step))
		}
		return s
	case r.Step.TailTargetMs > 0:
		return s + w.servingAffinity(r.Step.Image) - (w.Free() - need.MilliCPU)
	case r.Step.LongRunning:
		// Spreading limits the loss when one worker fails.
		return s + w.Free()
	}
	// A tight fit keeps large free chunks for large tasks.
	return s - (w.Free() - need.MilliCPU)
}

// servingAffinity scores a worker for a serving task by the images that it already serves.
func (w *Worker) servingAffinity(image string) int64 {
	if len(w.serving) == 0 {
		return -emptyWorkerWeight
	}
	others := 0
	for name, im := range w.serving {
		if name != image {
			others += im.tasks
		}
	}
	return -otherImageWeight * int64(others)
}

// tolerates reports whether a worker has unused processor time for a filling task and only serving tasks that the task
// does not disturb. A first filling task needs no unused time.
func (f *Fleet) tolerates(w *Worker, r *Request) bool {
	if w.ObjectiveMissed && !r.Urgent {
		return false
	}
	if w.fillingCPU > 0 && w.fillingCPU+r.Step.Size.MilliCPU > w.unusedCPU() {
		return false
	}
	return r.Urgent || f.excessUtilization(w, r.Step) == 0
}

// Disturbs reports whether filling tasks of a step are known to disturb a serving task on a worker.
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

// Numbers of workers on which a pair of images is tried at a time: first a pair without enough observations, second one
// that seems to disturb.
const (
	maxFirstTrials  = 3
	maxSecondTrials = 1
)

func (f *Fleet) maxTrials(serving, filling string) int {
	if f.pressure.Seen(pressure.Pair{Serving: serving, Filling: filling}) {
		return maxSecondTrials
	}
	return maxFirstTrials
}

// countTrials counts the workers that a filling image shares with each serving image.
func (f *Fleet) countTrials(filling string) {
	if f.trialImage == filling && !f.trialsStale {
		return
	}
	f.trialVersion++
	f.trialsStale = false
	f.trialImage, f.trialWorkers = filling, map[string]int{}
	for _, w := range f.sorted {
		if w.filling[filling] == 0 {
			continue
		}
		for image := range w.serving {
			f.trialWorkers[image]++
		}
	}
}

// excessUtilization returns what the filling tasks of a worker, including one more of the step, add to the utilization
// of its serving tasks beyond what these tolerate.
func (f *Fleet) excessUtilization(w *Worker, step *jobs.Step) float64 {
	c := f.cacheFor(w, step)
	if c.hasExcess && (c.trials == 0 || c.trials == f.trialVersion) {
		return c.excess
	}
	c.trials = 0
	c.excess = w.sumOverServing(step, func(image string, shares map[string]float64) float64 {
		return f.pressure.ExcessUtilization(image, shares, func(filling string) bool {
			c.trials = f.trialVersion
			return filling == f.trialImage && w.filling[filling] == 0 && f.trialWorkers[image] >= f.maxTrials(image, filling)
		})
	})
	c.hasExcess = true
	return c.excess
}

// cacheFor returns the worker's cache, emptied unless its results are for a task of the step in this pass.
func (f *Fleet) cacheFor(w *Worker, step *jobs.Step) *utilizationCache {
	c := &w.utilization
	inPass := f.unplaceable != nil
	if !inPass || c.pass != f.pass || c.generation != w.generation || c.image != step.Image || c.milliCPU != step.Size.MilliCPU {
		*c = utilizationCache{pass: f.pass, generation: w.generation, image: step.Image, milliCPU: step.Size.MilliCPU}
	}
	return c
}

// addedUtilization returns what the filling tasks of a worker, including one more of the step, add to the utilization
// of its serving tasks. Many tasks that a serving task tolerates one by one disturb it together at the peak of its
// load.
func (f *Fleet) addedUtilization(w *Worker, step *jobs.Step) float64 {
	c := f.cacheFor(w, step)
	if !c.hasAdded {
		c.added, c.hasAdded = w.sumOverServing(step, f.pressure.AddedUtilization), true
	}
	return c.added
}

// sumOverServing sums, over the serving tasks of the worker, the effect of the filling images on the task's image. The
// shares of the filling images include one more task of the step.
func (w *Worker) sumOverServing(step *jobs.Step, effect func(image string, shares map[string]float64) float64) float64 {
	if len(w.serving) == 0 {
		return 0
	}
	shares := w.fillingSharesWith(step)
	total := 0.0
	for image, im := range w.serving {
		total += float64(im.tasks) * effect(image, shares)
	}
	return total
}

// fillingSharesWith returns the share of the worker that each filling image uses, including one more task of the step.
func (w *Worker) fillingSharesWith(step *jobs.Step) map[string]float64 {
	size := float64(max(1, w.Size.MilliCPU))
	shares := make(map[string]float64, len(w.filling)+1)
	for image, cpu := range w.filling {
		shares[image] = float64(cpu) / size
	}
	shares[step.Image] += float64(step.Size.MilliCPU) / size
	return shares
}

// servingLoadPercent is the use that is assumed of a serving task's reserved processor time. On average, serving tasks
// leave more than half of what they reserve unused.
const servingLoadPercent = 50

// unusedCPU estimates the millicores that tasks other than filling ones leave unused.
func (w *Worker) unusedCPU() int64 {
	return w.Size.MilliCPU - w.shortReserved.MilliCPU - w.servingCPU*servingLoadPercent/100
}
