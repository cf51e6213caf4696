package packing

import "waxwingslip.example/core/resource"

// Demand sums the processor time that short tasks could use at once on the open workers. Tasks that no worker can run,
// whatever else ends, add nothing to it: capacity that is kept free is of no use to them. Neither are more tasks than the
// workers of their kind have room for.
//
// It is computed anew for each plan, since workers come and go.
type Demand struct {
	fleet *Fleet
	// claimed holds what the tasks take of each worker, in the order of Fleet.sorted. It starts with the short tasks that run.
	claimed []resource.Vector
}

// NewDemand returns the demand of the short tasks that run.
func (f *Fleet) NewDemand() *Demand {
	d := &Demand{fleet: f, claimed: make([]resource.Vector, len(f.sorted))}
	for i, w := range f.sorted {
		d.claimed[i] = w.shortReserved
	}
	return d
}

// Add adds n waiting tasks of a step and returns by how many millicores the demand rises, and whether the open workers can
// run such tasks at all beside the long-running ones. The members of a gang have to run at the same time.
func (d *Demand) Add(r *Request, n int) (milliCPU int64, runnable bool) {
	if r.Step.Gang && d.fleet.room(r, n) < n {
		return 0, false
	}
	need := r.Step.Reserved()
	for i, w := range d.fleet.sorted {
		room := w.roomBesideServing(r)
		if room == 0 {
			continue
		}
		runnable = true
		if n == 0 {
			break
		}
		free := w.Size.Sub(d.claimed[i])
		k := min(n, room, tasksToFill(free, need))
		if k == 0 {
			continue
		}
		n -= k
		added := need.Times(int64(k))
		milliCPU += min(added.MilliCPU, free.MilliCPU)
		d.claimed[i] = d.claimed[i].Add(added)
	}
	return milliCPU, runnable
}

// Runnable reports whether the open workers can run a task of a request, or a whole gang, beside their long-running tasks.
func (f *Fleet) Runnable(r *Request) bool {
	n := 1
	if r.Step.Gang {
		n = r.Step.Count
	}
	return f.room(r, n) == n
}

// room returns for how many tasks of a request, at most n, the open workers have room beside long-running tasks.
func (f *Fleet) room(r *Request, n int) int {
	total := 0
	for _, w := range f.sorted {
		if total += w.roomBesideServing(r); total >= n {
			return n
		}
	}
	return total
}

// roomBesideServing returns for how many tasks of a request the worker has room once all short tasks have ended; 0 if it is
// not open.
func (w *Worker) roomBesideServing(r *Request) int {
	if !w.Open || !w.Suits(r) {
		return 0
	}
	return roomIn(w.Size.Sub(w.Reserved).Add(w.shortReserved), r.Step)
}

// tasksToFill returns how many tasks of a size use up what is free of any resource; the last one may do so in part.
func tasksToFill(free, need resource.Vector) int {
	n := int64(1 << 30)
	for _, c := range [...]struct{ free, need int64 }{{free.MilliCPU, need.MilliCPU}, {free.MemoryMB, need.MemoryMB},
		{free.Accelerators, need.Accelerators}} {
		if c.need > 0 {
			n = min(n, (max(c.free, 0)+c.need-1)/c.need)
		}
	}
	return int(n)
}

// HasRoomFor reports whether a worker could run a short task of a size, in millicores, beside its long-running tasks.
func (w *Worker) HasRoomFor(milliCPU int64) bool {
	return w.Free()+w.shortReserved.MilliCPU >= milliCPU
}
