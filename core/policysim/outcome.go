package policysim

import (
	"math"

	"waxwingslip.example/core/record"
)

// contention is the state of the shared parts of one worker.
type contention struct{ processors, bandwidth, cacheMiss float64 }

func (w *world) contention(m *machine) contention {
	perSlot := 8 / float64(w.sc.Slots)
	wave := 1.0
	if w.second%wavePeriod < waveSeconds {
		wave = waveFactor
	}
	c := contention{}
	cache := 0.0
	for _, r := range m.runs {
		limit := float64(r.throttle) / 100
		c.processors += r.cores * limit
		demand := r.class.bandwidth * perSlot * limit
		if r.class.noisy {
			demand *= wave
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

// serviceLoad is the factor of the load on services: zones that stay take over the load of one that left.
func (w *world) serviceLoad(z *zone) float64 {
	if !w.changing() || len(w.zones) == 1 {
		return 1
	}
	if z.out {
		return 0
	}
	return float64(len(w.zones)) / float64(len(w.zones)-1)
}

// latency is the ratio of a replica's latency to that alone at its usual load of 40%.
func (c contention) latency(r *run, load float64) float64 {
	own := (1 - 0.4) / (1 - min(0.4*load, 0.95))
	u := min(c.bandwidth, 0.97)
	v := own / (1 - u*u) * (1 + r.class.sensitivity*c.cacheMiss)
	if c.processors > 0.9 {
		v *= (c.processors / 0.9) * (c.processors / 0.9)
	}
	return v
}

// progress is the speed of a batch task.
func (c contention) progress(r *run) float64 {
	speed := float64(r.throttle) / 100 * (1 - 0.5*c.cacheMiss)
	return speed / max(1, c.processors) / max(1, c.bandwidth)
}

// advance lets one second pass on all workers.
func (w *world) advance() {
	for _, z := range w.zones {
		load := w.serviceLoad(z)
		for _, m := range z.workers {
			c := w.contention(m)
			w.work(m, c)
			w.measure(m, c, load)
			w.outOfMemory(m)
		}
	}
}

// work advances the batch tasks of a worker.
func (w *world) work(m *machine, c contention) {
	for i := len(m.runs) - 1; i >= 0; i-- {
		r := m.runs[i]
		if r.priority == record.PriorityService {
			continue
		}
		if r.restart > 0 {
			r.restart--
			continue
		}
		speed := c.progress(r)
		r.left -= speed
		r.unsaved += speed
		if w.second-r.saved >= checkpointSecs {
			r.saved, r.unsaved = w.second, 0
		}
		w.credit(r, speed)
		if r.left <= 0 {
			w.detach(r)
			w.policy.ended(w, r)
			if r.priority == record.PriorityBatch {
				w.batchNow--
			}
			w.result.Finished++
		}
	}
}

// credit counts work in core seconds; lost work is taken back by outOfMemory.
func (w *world) credit(r *run, seconds float64) {
	w.result.work += seconds * r.cores
	if w.changing() {
		w.result.changeWork += seconds * r.cores
	}
}

// measure draws one request of every replica and adds to the running report interval.
func (w *world) measure(m *machine, c contention, load float64) {
	if len(m.interval) != len(m.runs) || w.second%reportSecs == 0 {
		m.lagging, m.lagFrom = m.interval, w.second-reportSecs
		m.interval = make([]sample, len(m.runs))
	}
	for i, r := range m.runs {
		s := &m.interval[i]
		if s.run != r {
			*s = sample{run: r, settled: w.second-m.changed >= reportSecs}
		}
		s.speed = c.progress(r) / (float64(r.throttle) / 100)
		s.cores, s.memoryGB = r.cores*float64(r.throttle)/100, r.memoryGB
		if r.priority != record.PriorityService || load == 0 {
			continue
		}
		v := c.latency(r, load) * math.Exp(0.25*w.noise.NormFloat64())
		s.latency += v
		s.count++
		w.result.count(v)
	}
}

// outOfMemory ends the largest batch task of a worker whose true use exceeds its memory. The work since the
// last checkpoint is lost.
func (w *world) outOfMemory(m *machine) {
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
	w.credit(largest, -largest.unsaved)
	largest.left += largest.unsaved
	w.result.OutOfMemory++
	w.requeue(largest)
}
