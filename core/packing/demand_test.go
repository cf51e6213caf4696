package packing

import (
	"testing"

	"github.com/matryer/is"

	"waxwingslip.example/core/resource"
)

// Guards against capacity that is kept for tasks that no worker can run, and against more of it than the workers of a kind
// have.
func TestDemandCountsWhatCanRun(t *testing.T) {
	const all = 32
	for name, test := range map[string]struct {
		change   func(*Request)
		cores    int64
		runnable bool
	}{
		"fits":                             {func(*Request) {}, 4 * 4 * 14, true}, // four on each worker
		"label of no worker":               {func(r *Request) { r.Step.RequiredLabel = "none" }, 0, false},
		"label of one worker":              {func(r *Request) { r.Step.RequiredLabel = "one" }, 4 * 14, true},
		"more cores than a worker has":     {func(r *Request) { r.Step.Size.MilliCPU = 65_000 }, 0, false},
		"more memory than a worker has":    {func(r *Request) { r.Step.Size.MemoryMB = 100_001 }, 0, false},
		"half of the memory of a worker":   {func(r *Request) { r.Step.Size.MemoryMB = 50_000 }, 8 * 14, true},
		"accelerators that no worker has":  {func(r *Request) { r.Step.Size.Accelerators = 1 }, 0, false},
		"one on each worker":               {func(r *Request) { r.Step.MaxPerWorker = 1 }, 4 * 14, true},
		"other service":                    {func(r *Request) { r.Service = "other" }, 0, false},
		"no worker in the queue's regions": {func(r *Request) { r.Allowed = func(*Worker) bool { return false } }, 0, false},
		"gang larger than the fleet":       {func(r *Request) { r.Step.Gang = true }, 0, false},
		"gang with one member a worker":    {func(r *Request) { r.Step.Gang, r.Step.MaxPerWorker = true, 1 }, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(4, 64)
			f.Worker("w002").Labels = []string{"one"}
			step := newStep(14_000)
			step.Count, step.Size.MemoryMB = all, 1000
			r := newRequest(step, "a")
			test.change(r)
			milliCPU, runnable := f.NewDemand().Add(r, all)
			is.Equal(runnable, test.runnable)
			is.Equal(milliCPU, test.cores*1000)
		})
	}
}

// Guards against many jobs of which each fits, and that together count for more than their workers have.
func TestDemandOfManyJobsStaysWithinWorkers(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(4, 64)
	f.Worker("w000").Labels = []string{"one"}
	f.Reserve("w000", newStep(30_000), "running")
	labelled, large, anywhere := newStep(14_000), newStep(1000), newStep(14_000)
	labelled.RequiredLabel, labelled.Count = "one", 8
	large.Size.MemoryMB, large.Count = 90_000, 8
	anywhere.Count = 8
	d := f.NewDemand()
	total := int64(0)
	for range 20 {
		n, _ := d.Add(newRequest(labelled, "labelled"), 8)
		total += n
	}
	is.Equal(total, int64(34_000)) // what the running task leaves of the worker
	total = 0
	for range 20 {
		n, _ := d.Add(newRequest(large, "large"), 8)
		total += n
	}
	is.True(total <= 8000)
	for range 200 {
		n, _ := d.Add(newRequest(anywhere, "anywhere"), 8)
		total += n
	}
	is.True(total <= 3*64_000)
}

// Guards against demand of tasks for which long-running ones leave no room, and against an answer that outlives the fleet.
func TestDemandFollowsWorkers(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1, 64)
	lasting, short := newStep(25_000), newStep(40_000)
	lasting.LongRunning = true
	f.Reserve("w000", lasting, "lasting")
	_, runnable := f.NewDemand().Add(newRequest(short, "a"), 1)
	is.True(!runnable)
	is.True(!f.Worker("w000").HasRoomFor(40_000))
	f.Add(&Worker{ID: "w001", Open: true, Kind: Kind{Service: "s", Size: resource.Vector{MilliCPU: 64_000, MemoryMB: 100_000}}})
	milliCPU, runnable := f.NewDemand().Add(newRequest(short, "a"), 1)
	is.True(runnable)
	is.Equal(milliCPU, int64(40_000))
	f.Worker("w001").Open = false
	_, runnable = f.NewDemand().Add(newRequest(short, "a"), 1)
	is.True(!runnable)
}
