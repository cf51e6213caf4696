package packing

import (
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/pressure"
	"waxwingslip.example/core/resource"
)

// Weights of a rank, in millicores of free processor time.
const (
	// rackWeight exceeds every difference of free processor time: the wrong rack multiplies the run time.
	rackWeight = 10_000_000
	// excessWeight is for each whole utilization beyond what a serving image tolerates.
	excessWeight = 400_000
	// pressWeight is for each whole utilization that filling tasks add to a serving task within what it tolerates.
	pressWeight = 400_000
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
		s += w.unused() - w.fillingCPU - int64(pressWeight*f.press(w, r.Step))
		if r.Urgent { // others go only where there is no excess
			s -= int64(excessWeight * f.excess(w, r.Step))
		}
		return s
	case r.Step.TailTargetMs > 0:
		return s + w.affinity(r.Step.Image) - (w.Free() - need.MilliCPU)
	case r.Step.LongRunning:
		// Spreading keeps the loss by one worker small.
		return s + w.Free()
	}
	// A tight fit keeps large rooms whole for large tasks.
	return s - (w.Free() - need.MilliCPU)
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

// tolerates reports whether a worker has unused processor time for a filling task, and serving tasks that it does not
// disturb.
func (f *Fleet) tolerates(w *Worker, r *Request) bool {
	if w.Strained && !r.Urgent {
		return false
	}
	if w.fillingCPU > 0 && w.fillingCPU+r.Step.Size.MilliCPU > w.unused() {
		return false
	}
	return r.Urgent || f.excess(w, r.Step) == 0
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

// Numbers of workers on which a pair of images is tried at a time: one that was not seen, and one that seems to disturb.
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

// excess is what filling tasks, with one of the step more, add to the utilization of the serving tasks of a worker
// beyond what these tolerate.
func (f *Fleet) excess(w *Worker, step *jobs.Step) float64 {
	return w.sumOverServing(step, func(image string, shares map[string]float64) float64 {
		return f.pressure.Excess(image, shares, func(filling string) bool {
			return filling == f.trialsImage && w.filling[filling] == 0 && f.trials[image] >= f.maxTrials(image, filling)
		})
	})
}

// press is what filling tasks, with one of the step more, add to the utilization of the serving tasks of a worker. Many tasks
// that a serving task tolerates one by one disturb it together at the peak of its load.
func (f *Fleet) press(w *Worker, step *jobs.Step) float64 {
	return w.sumOverServing(step, f.pressure.Press)
}

// sumOverServing sums, over the serving tasks of the worker, what filling images with their shares do to an image. The shares
// include one task of the step more.
func (w *Worker) sumOverServing(step *jobs.Step, effect func(image string, shares map[string]float64) float64) float64 {
	if len(w.serving) == 0 {
		return 0
	}
	shares := w.sharesWith(step)
	total := 0.0
	for image, im := range w.serving {
		total += float64(im.tasks) * effect(image, shares)
	}
	return total
}

// sharesWith returns the shares of the worker that filling images use, with one task of the step more.
func (w *Worker) sharesWith(step *jobs.Step) map[string]float64 {
	size := float64(max(1, w.Size.MilliCPU))
	shares := make(map[string]float64, len(w.filling)+1)
	for image, cpu := range w.filling {
		shares[image] = float64(cpu) / size
	}
	shares[step.Image] += float64(step.Size.MilliCPU) / size
	return shares
}

// servingLoadPercent is the assumed use of a serving task's reserved processor time before it is measured.
// Serving tasks leave more than half of what they reserve on average.
const servingLoadPercent = 50

// unused estimates the processor time that tasks other than filling ones leave.
func (w *Worker) unused() int64 {
	return w.Size.MilliCPU - w.batchCPU - w.servingCPU*servingLoadPercent/100
}
