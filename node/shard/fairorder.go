package shard

import (
	"cmp"
	"slices"
	"strings"

	"waxwingslip.example/core/fairshare"
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/jobqueue"
)

// orderJobs puts the waiting jobs of a plan into the order in which they are offered capacity: by urgency, or by the fair
// share of client accounts if any of them belongs to one. The caller holds mu.
func (s *Shard) orderJobs(waiting []*jobEntry, config *jobqueue.Config, wallMs int64) []*jobEntry {
	s.meterJobs(config)
	if !ofAccounts(waiting, config) {
		slices.SortFunc(waiting, compareUrgency)
		return waiting
	}
	ordered := make([]*jobEntry, 0, len(waiting))
	for _, i := range fairshare.Order(candidates(waiting), weights(config), s.runningByFlow(), wallMs) {
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
	jobs := candidates(ordered)
	fairshare.Offer(jobs, weights(config), s.runningByFlow(), wallMs, func(i int) int64 {
		if plan(ordered[i]) == 0 {
			return 0
		}
		return jobs[i].Work - ordered[i].waitingWork()
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

func candidates(waiting []*jobEntry) []fairshare.Job {
	candidates := make([]fairshare.Job, len(waiting))
	for i, e := range waiting {
		candidates[i] = fairshare.Job{Flow: e.flow(), ID: e.job.Spec.ID, AcceptedMs: e.job.Spec.AcceptedMs, DueMs: e.dueMs,
			Lateness: int(e.lateness), VeryLate: e.lateness == veryLate, Exceeds: e.exceedsWeight, Work: e.waitingWork()}
	}
	return candidates
}

// meterJobs counts the jobs read since the last plan against the weights of their accounts. A shard is owed its part of the
// jobs that an account may send to the environment. The caller holds mu.
func (s *Shard) meterJobs(config *jobqueue.Config) {
	slices.SortFunc(s.unmetered, func(a, b *jobEntry) int {
		return cmp.Or(cmp.Compare(a.job.Spec.AcceptedMs, b.job.Spec.AcceptedMs), strings.Compare(a.job.Spec.ID, b.job.Spec.ID))
	})
	shards := float64(max(s.deps.Shards(), 1))
	for _, e := range s.unmetered {
		if a := config.Accounts.Account(e.job.Spec.Account); a != nil {
			e.exceedsWeight = s.meter.Exceeds(a.Name, e.job.Spec.AcceptedMs, a.Weight/shards)
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

// waitingWork returns the capacity that the job's waiting tasks take.
func (e *jobEntry) waitingWork() int64 {
	work := int64(0)
	for _, o := range e.job.Occurrences {
		for step := range o.Steps {
			if !e.job.Ready(o, step) {
				continue
			}
			size := taskWork(&e.job.Spec.Steps[step])
			for i := range o.Steps[step] {
				if o.Steps[step][i].Phase == jobs.Waiting {
					work += size
				}
			}
		}
	}
	return work
}

// runningByFlow returns the capacity that flows use. The caller holds mu.
func (s *Shard) runningByFlow() map[fairshare.Flow]int64 {
	running := map[fairshare.Flow]int64{}
	for _, r := range s.runs {
		if e := s.jobs[r.id.Job]; e != nil {
			running[e.flow()] += taskWork(r.step)
		}
	}
	return running
}

// taskWork returns the capacity that a task of a step counts for. Filling tasks reserve no CPU and hardly count.
func taskWork(step *jobs.Step) int64 { return max(step.Reserved().MilliCPU, 1) }
