package policysim

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// latencyBuckets is the number of histogram buckets, which have a width of 0.5%.
const latencyBuckets = 2000

// Result is the outcome of one policy in one scenario.
type Result struct {
	Policy string
	// P99 and P999 are latencies of services as multiples of their time alone at usual load.
	P99, P999 float64
	// Throughput is batch work in core seconds per second and core of the environment.
	Throughput float64
	// ChangeWork is the throughput during the zone change, 0 without one.
	ChangeWork float64
	Evictions  int
	// OutOfMemory counts batch runs that were lost because a worker's memory was exceeded.
	OutOfMemory int
	Finished    int
	// UrgentP99 is the 99th percentile of the wait of urgent tasks in seconds.
	UrgentP99 float64

	work, changeWork float64
	histogram        [latencyBuckets]int
	total            int
	urgent           []float64
}

func (r *Result) count(latency float64) {
	r.histogram[min(max(int(math.Log(latency)*200)+400, 0), latencyBuckets-1)]++
	r.total++
}

func (r *Result) quantile(q float64) float64 {
	remaining := int(q * float64(r.total))
	for i, n := range r.histogram {
		if remaining -= n; remaining < 0 {
			return math.Exp((float64(i) - 399.5) / 200)
		}
	}
	return 0
}

// Run simulates one policy, named as in Policies.
func Run(sc Scenario, name string, seed uint64) Result {
	w := newWorld(sc, seed, newPolicy(name))
	for w.second = 0; w.second < sc.Seconds; w.second++ {
		w.updateZoneService()
		w.submitArrivals()
		w.policy.decide(w)
		w.step()
	}
	r := w.result
	cores := float64(sc.Cores) * float64(sc.Zones*sc.WorkersPerZone)
	r.Policy, r.P99, r.P999 = name, r.quantile(0.99), r.quantile(0.999)
	r.Throughput = r.work / cores / float64(sc.Seconds)
	r.ChangeWork = r.changeWork / cores / float64(sc.Seconds/3)
	if slices.Sort(r.urgent); len(r.urgent) > 0 {
		r.UrgentP99 = r.urgent[len(r.urgent)*99/100]
	}
	return r
}

// Mean runs a policy with each seed and returns the mean of the results.
func Mean(sc Scenario, name string, seeds []uint64) Result {
	var m Result
	n := float64(len(seeds))
	for _, seed := range seeds {
		r := Run(sc, name, seed)
		m.Policy = name
		m.P99 += r.P99 / n
		m.P999 += r.P999 / n
		m.Throughput += r.Throughput / n
		m.ChangeWork += r.ChangeWork / n
		m.UrgentP99 += r.UrgentP99 / n
		m.Evictions += r.Evictions
		m.OutOfMemory += r.OutOfMemory
		m.Finished += r.Finished
	}
	m.Evictions, m.OutOfMemory, m.Finished = m.Evictions/len(seeds), m.OutOfMemory/len(seeds), m.Finished/len(seeds)
	return m
}

// Policies returns the names of the compared policies. The first one is that of the daemons.
func Policies() []string {
	return []string{"waxwingslip", "no guards", "random", "first fit", "least loaded"}
}

func newPolicy(name string) policy {
	switch name {
	case "waxwingslip":
		return &plannerPolicy{guards: true}
	case "no guards":
		return &plannerPolicy{}
	}
	return newBaselinePolicies()[name]()
}

// score returns the weighted results relative to those of the random policy, in percent; higher is better.
func (r *Result) score(random *Result, throughput, change, tail float64) float64 {
	latency := (random.P99/r.P99 + random.P999/r.P999) / 2
	changed := 1.0
	if random.ChangeWork > 0 {
		changed = r.ChangeWork / random.ChangeWork
	}
	return 100 * (throughput*r.Throughput/random.Throughput + change*changed + tail*latency)
}

// Table formats the results of one scenario, with a score for the weights of each of the two users.
func Table(sc Scenario, results []Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d workers in %d zones, %d s\n", sc.Name, sc.Zones*sc.WorkersPerZone, sc.Zones, sc.Seconds)
	fmt.Fprintf(&b, "%-13s %6s %6s %7s %7s %6s %5s %6s %7s %7s %7s\n",
		"policy", "p99", "p99.9", "batch", "change", "evict", "oom", "done", "urgent", "Ambon", "Sacud.")
	random := results[slices.IndexFunc(results, func(r Result) bool { return r.Policy == "random" })]
	for _, r := range results {
		fmt.Fprintf(&b, "%-13s %6.2f %6.2f %7.4f %7.4f %6d %5d %6d %6.1fs %7.1f %7.1f\n",
			r.Policy, r.P99, r.P999, r.Throughput, r.ChangeWork, r.Evictions, r.OutOfMemory, r.Finished, r.UrgentP99,
			r.score(&random, 0.4, 0.4, 0.2), r.score(&random, 0.15, 0.15, 0.7))
	}
	return b.String()
}
