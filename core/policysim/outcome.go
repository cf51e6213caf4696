package policysim

import (
	"math"

	"waxwingslip.example/core/record"
)

// contention is the utilisation of the shared resources of one worker.
type contention struct{ processors, bandwidth, cacheMiss float64 }

func (w *world) contention(m *workerState) contention {
	perSlot := 8 / float64(w.sc.Slots)
	burst := 1.0
	if w.second%burstPeriodSeconds < burstSeconds {
		burst = burstFactor
	}
	c := contention{}
	cache := 0.0
	for _, r := range m.runs {
		limit := float64(r.throttle) / 100
		c.processors += r.cores * limit
		demand := r.class.bandwidth * perSlot * limit
		if r.class.noisy {
			demand *= burst
		}
		c.bandwidth += demand
		cache += r.class.cache * perSlot
	}
	c.processors /= float64(w.sc.Cores)
	if cache > 1 {
		c.cacheMiss = (cache - 1) / cache
	}
	return c
}

// serviceLoad returns the load on services relative to the usual one. The load of a zone out of service is distributed
// over the others.
func (w *world) serviceLoad(z *zone) float64 {
	if !w.zoneChangeActive() || len(w.zones) == 1 {
		return 1
	}
	if z.outOfService {
		return 0
	}
	return float64(len(w.zones)) / float64(len(w.zones)-1)
}

// latency returns the ratio of a replica's latency to that alone at its usual load of 40%.
func (c contention) latency(r *run, load float64) float64 {
	own := (1 - 0.4) / (1 - min(0.4*load, 0.95))
	u := min(c.bandwidth, 0.97)
	v := own / (1 - u*u) * (1 + r.class.sensitivity*c.cacheMiss)
	if c.processors > 0.9 {
		v *= (c.processors / 0.9) * (c.processors / 0.9)
	}
	return v
}

// progress returns the speed of a batch task, 1 without contention.
func (c contention) progress(r *run) float64 {
	speed := float64(r.throttle) / 100 * (1 - 0.5*c.cacheMiss)
	return speed / max(1, c.processors) / max(1, c.bandwidth)
}

// step simulates one second on all workers.
func (w *world) step() {
	for _, z := range w.zones {
		load := w.serviceLoad(z)
		for _, m := range z.workers {
			c := w.contention(m)
			w.advanceBatch(m, c)
			w.measure(m, c, load)
			w.outOfMemory(m)
		}
	}
}

// advanceBatch advances the batch tasks of a worker by one second.
func (w *world) advanceBatch(m *workerState, c contention) {
	for i := len(m.runs) - 1; i >= 0; i-- {
		r := m.runs[i]
		if r.priority == record.PriorityService {
			continue
		}
		if r.restartRemaining > 0 {
			r.restartRemaining--
			continue
		}
		speed := c.progress(r)
		r.remaining -= speed
		r.uncheckpointed += speed
		if w.second-r.checkpointedAt >= checkpointSeconds {
			r.checkpointedAt, r.uncheckpointed = w.second, 0
		}
		w.creditWork(r, speed)
		if r.remaining <= 0 {
			w.detach(r)
			w.policy.taskEnded(w, r)
			if r.priority == record.PriorityBatch {
				w.activeBatch--
			}
			w.result.Finished++
		}
	}
}

// creditWork adds core seconds of work to the result; outOfMemory subtracts lost work.
func (w *world) creditWork(r *run, seconds float64) {
	w.result.work += seconds * r.cores
	if w.zoneChangeActive() {
		w.result.changeWork += seconds * r.cores
	}
}

// measure draws the latency of one request of every replica and adds to the samples of the current interval.
func (w *world) measure(m *workerState, c contention, load float64) {
	if len(m.interval) != len(m.runs) || w.second%reportSeconds == 0 {
		m.lagging, m.laggingFrom = m.interval, w.second-reportSeconds
		m.interval = make([]sample, len(m.runs))
	}
	for i, r := range m.runs {
		s := &m.interval[i]
		if s.run != r {
			*s = sample{run: r, settled: w.second-m.changedAt >= reportSeconds}
		}
		s.speed = c.progress(r) / (float64(r.throttle) / 100)
		s.cores, s.memoryGB = r.cores*float64(r.throttle)/100, r.memoryGB
		if r.priority != record.PriorityService || load == 0 {
			continue
		}
		v := c.latency(r, load) * math.Exp(0.25*w.latencyRand.NormFloat64())
		s.latency += v
		s.count++
		w.result.count(v)
	}
}

// outOfMemory ends the largest batch task of a worker whose true use exceeds its memory. The work since the
// last checkpoint is lost.
func (w *world) outOfMemory(m *workerState) {
	total := 0.0
	var largest *run
	for _, r := range m.runs {
		total += r.memoryGB
		if r.priority == record.PriorityBatch && (largest == nil || r.memoryGB > largest.memoryGB) {
			largest = r
		}
	}
	if total <= float64(w.sc.MemoryGB) || largest == nil {
		return
	}
	w.creditWork(largest, -largest.uncheckpointed)
	largest.remaining += largest.uncheckpointed
	w.result.OutOfMemory++
	w.requeue(largest)
}
