package placement

import (
	"testing"

	"github.com/matryer/is"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// noisyClassEstimator reports that one class slows all its neighbours down.
type noisyClassEstimator struct{}

func (noisyClassEstimator) ExpectedUse(team, class string) (resource.Vector, bool) {
	return resource.Vector{MilliCPU: 1000, MemoryMB: 1000}, true
}

func (noisyClassEstimator) Slowdown(victim, neighbour string) (slowdown, confidence float64) {
	if neighbour == "noisy" {
		return 3, 1
	}
	return 0, 1
}

// Guards against a noisy task beside a service, a task on a worker whose accelerators others need, replicas of
// a service in one rack, and learned sizes below the declared ones that lower a reservation.
func TestRankingPrefersTheRightWorker(t *testing.T) {
	size := resource.Vector{Slots: 1, MilliCPU: 1000, MemoryMB: 1000}
	whole := resource.Vector{Slots: 8, MilliCPU: 8000, MemoryMB: 8000}
	accelerated := whole
	accelerated.Accelerators = 4
	service := Run{Task: record.TaskID{Job: "s"}, Class: "web", Service: "s", Priority: record.PriorityService, Size: size}
	quiet := Run{Task: record.TaskID{Job: "q"}, Class: "quiet", Priority: record.PriorityBatch, Size: size}
	cases := map[string]struct {
		workers []Worker
		job     record.JobSpec
		want    string
	}{
		"noisy away from service": {
			[]Worker{{ID: "service", Capacity: whole, Runs: []Run{service}}, {ID: "batch", Capacity: whole, Runs: []Run{quiet}}},
			record.JobSpec{Class: "noisy", Priority: record.PriorityBatch, Size: size}, "batch",
		},
		"accelerators are kept": {
			[]Worker{{ID: "accelerated", Capacity: accelerated, Runs: []Run{quiet}}, {ID: "plain", Capacity: whole}},
			record.JobSpec{Class: "quiet", Priority: record.PriorityBatch, Size: size}, "plain",
		},
		"replicas go to other racks": {
			[]Worker{{ID: "a1", Rack: "a", Capacity: whole, Runs: []Run{service}}, {ID: "a2", Rack: "a", Capacity: whole}, {ID: "b1", Rack: "b", Capacity: whole}},
			record.JobSpec{Class: "web", Service: "s", Priority: record.PriorityService, Size: size}, "b1",
		},
		"pressure is avoided": {
			[]Worker{{ID: "pressed", Capacity: whole, Pressure: 0.5}, {ID: "calm", Capacity: whole}},
			record.JobSpec{Class: "quiet", Priority: record.PriorityBatch, Size: size}, "calm",
		},
		"declared size is reserved": {
			[]Worker{{ID: "small", Capacity: size}, {ID: "large", Capacity: whole}},
			record.JobSpec{Class: "quiet", Priority: record.PriorityBatch, Size: size.Times(4)}, "large",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.job.ID = "job"
			p := newZone(c.workers, []Pending{{Task: record.TaskID{Job: "job"}, Job: &c.job, Since: start}}, nil)
			p.Index().SetEstimator(noisyClassEstimator{})
			is.Equal(p.Plan(start, newRand(), 1).Binds, []Bind{{Task: record.TaskID{Job: "job"}, Worker: c.want}})
		})
	}
}
