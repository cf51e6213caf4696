package shard

import (
	"cmp"
	"slices"
	"strings"

	"waxwingslip.example/core/fairshare"
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/packing"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/jobqueue"
)

// orderJobs puts the waiting jobs of a plan into the order in which they are offered capacity: by urgency, or by the fair
// share of client accounts if any of them belongs to one. The caller holds mu.
func (s *Shard) orderJobs(waiting []*jobEntry, config *jobqueue.Config, wallMs int64) []*jobEntry {
	s.meterJobs(config, wallMs)
	if !ofAccounts(waiting, config) {
		slices.SortFunc(waiting, compareUrgency)
		return waiting
	}
	ordered := make([]*jobEntry, 0, len(waiting))
	use := s.accountUse()
	candidates, _ := use.candidates(waiting)
	for _, i := range fairshare.Order(candidates, weights(config), use.shares(), wallMs) {
		ordered = append(ordered, waiting[i])
	}
	return ordered
}

// offerJobs calls plan, which returns the number of tasks that it bound, with each of the ordered jobs of a plan. Jobs of
// accounts are ordered again by what the jobs before them took: those that no worker can run count for nothing. The caller
// holds mu.
func (s *Shard) offerJobs(ordered []*jobEntry, config *jobqueue.Config, wallMs int64, plan func(e *jobEntry) int) {
	if !ofAccounts(ordered, config) {
		for _, e := range ordered {
			plan(e)
		}
		return
	}
	use := s.accountUse()
	candidates, demands := use.candidates(ordered)
	fairshare.Offer(candidates, weights(config), use.shares(), wallMs, func(i int) int64 {
		if plan(ordered[i]) == 0 {
			return 0
		}
		return use.add(candidates[i].Flow, demands[i].Sub(ordered[i].waitingDemand()))
	})
}

// ofAccounts reports whether any of the jobs belongs to an account of the configuration.
func ofAccounts(waiting []*jobEntry, config *jobqueue.Config) bool {
	return slices.ContainsFunc(waiting, func(e *jobEntry) bool { return config.Accounts.Account(e.job.Spec.Account) != nil })
}

// weights returns the function that returns an account's weight and whether the configuration defines the account.
func weights(config *jobqueue.Config) func(name string) (float64, bool) {
	return func(name string) (float64, bool) {
		if a := config.Accounts.Account(name); a != nil {
			return a.Weight, true
		}
		return 0, false
	}
}

// meterJobs counts the jobs read since the last plan against the weights of their accounts. A shard is owed its part of the
// jobs that an account may send to the environment. The caller holds mu.
func (s *Shard) meterJobs(config *jobqueue.Config, wallMs int64) {
	slices.SortFunc(s.unmetered, func(a, b *jobEntry) int {
		return cmp.Or(cmp.Compare(a.job.Spec.AcceptedMs, b.job.Spec.AcceptedMs), strings.Compare(a.job.Spec.ID, b.job.Spec.ID))
	})
	shards := float64(max(s.deps.Shards(), 1))
	for _, e := range s.unmetered {
		if a := config.Accounts.Account(e.job.Spec.Account); a != nil {
			e.exceedsWeight = s.meter.Exceeds(a.Name, e.job.Spec.AcceptedMs, a.Weight/shards, wallMs)
		}
	}
	s.unmetered = nil
}

// flow returns the flow of the job's tasks.
func (e *jobEntry) flow() fairshare.Flow {
	spec := e.job.Spec
	return fairshare.Flow{Account: spec.Account, Priority: spec.Priority,
		Pool: fairshare.Pool{Service: spec.Service, LongRunning: e.longRunning}}
}

// waitingDemand returns the resources that the job's waiting tasks reserve.
func (e *jobEntry) waitingDemand() resource.Vector {
	var demand resource.Vector
	for _, o := range e.job.Occurrences {
		for step := range o.Steps {
			if !e.job.Ready(o, step) {
				continue
			}
			tasks := int64(0)
			for i := range o.Steps[step] {
				if o.Steps[step][i].Phase == jobs.Waiting {
					tasks++
				}
			}
			demand = demand.Add(taskDemand(&e.job.Spec.Steps[step]).Times(tasks))
		}
	}
	return demand
}

// taskDemand returns the resources that a task of a step reserves, with one slot, so that slots count tasks.
func taskDemand(step *jobs.Step) resource.Vector {
	demand := step.Reserved()
	demand.Slots = 1
	return demand
}

// accountUse is what flows use of the pools' capacity.
type accountUse struct {
	byFlow map[fairshare.Flow]resource.Vector
	// totals are the sizes of pools by service.
	totals map[string]resource.Vector
	fleet  *packing.Fleet
}

// accountUse returns what runs use. The caller holds mu.
func (s *Shard) accountUse() *accountUse {
	u := &accountUse{byFlow: map[fairshare.Flow]resource.Vector{}, totals: map[string]resource.Vector{}, fleet: s.fleet}
	for _, r := range s.runs {
		if e := s.jobs[r.id.Job]; e != nil {
			u.byFlow[e.flow()] = u.byFlow[e.flow()].Add(taskDemand(r.step))
		}
	}
	return u
}

// candidates returns the waiting jobs as the fair order sees them, and the resources that each of them waits for.
func (u *accountUse) candidates(waiting []*jobEntry) ([]fairshare.Job, []resource.Vector) {
	candidates, demands := make([]fairshare.Job, len(waiting)), make([]resource.Vector, len(waiting))
	for i, e := range waiting {
		demands[i] = e.waitingDemand()
		candidates[i] = fairshare.Job{Flow: e.flow(), ID: e.job.Spec.ID, AcceptedMs: e.job.Spec.AcceptedMs, DueMs: e.dueMs,
			Lateness: int(e.lateness), VeryLate: e.lateness == veryLate, Exceeds: e.exceedsWeight,
			Work: dominantShare(demands[i], u.total(e.job.Spec.Service))}
	}
	return candidates, demands
}

// shares returns the dominant shares of the flows.
func (u *accountUse) shares() map[fairshare.Flow]int64 {
	shares := make(map[fairshare.Flow]int64, len(u.byFlow))
	for flow, used := range u.byFlow {
		shares[flow] = dominantShare(used, u.total(flow.Pool.Service))
	}
	return shares
}

// add adds to what a flow uses and returns by how much its dominant share grows.
func (u *accountUse) add(flow fairshare.Flow, taken resource.Vector) int64 {
	before, total := u.byFlow[flow], u.total(flow.Pool.Service)
	after := before.Add(taken)
	u.byFlow[flow] = after
	return dominantShare(after, total) - dominantShare(before, total)
}

// total returns the size of a service's open workers.
func (u *accountUse) total(service string) resource.Vector {
	total, known := u.totals[service]
	if !known {
		total = u.fleet.TotalSize(service)
		u.totals[service] = total
	}
	return total
}

const (
	// wholePool is the share of a flow that uses all of a resource of its pool.
	wholePool = 1_000_000_000
	// maxPools bounds shares, so that sums of them do not overflow: demand may exceed the size of a pool by any factor.
	maxPools = 1000
)

// dominantShare returns the largest part of a pool's total over processor time, memory and accelerators. Each task counts
// for one unit more, so that filling tasks, which reserve no processor time, count where they reserve nothing else.
func dominantShare(used, total resource.Vector) int64 {
	part := max(partOf(used.MilliCPU, total.MilliCPU), partOf(used.MemoryMB, total.MemoryMB),
		partOf(used.Accelerators, total.Accelerators))
	return int64(min(part, maxPools)*wholePool) + used.Slots
}

// partOf returns the part that an amount is of a total, or 0 if the pool doesn't have the resource.
func partOf(amount, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(amount) / float64(total)
}
