package guard

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"waxwingslip.example/core/resource"
)

// QuarantineOptions configures a Quarantine.
type QuarantineOptions struct {
	// Window is how long a failure counts.
	Window time.Duration
	// MinFailedJobs is the number of different jobs that must fail on a worker for its quarantine,
	// MinFailedWorkers the number of different workers on which a job must fail to be parked.
	MinFailedJobs, MinFailedWorkers int
	// BaseDuration is the first duration of a quarantine. It doubles with each relapse up to MaxDuration.
	BaseDuration, MaxDuration time.Duration
	// Probes is the number of tasks that must succeed on a released worker before its probation ends.
	Probes int
}

// DefaultQuarantineOptions returns the options that the daemons use.
func DefaultQuarantineOptions() QuarantineOptions {
	return QuarantineOptions{Window: 10 * time.Minute, MinFailedJobs: 3, MinFailedWorkers: 3,
		BaseDuration: 5 * time.Minute, MaxDuration: time.Hour, Probes: 2}
}

// workerHistory is the failure history of a worker.
type workerHistory struct {
	failures    map[string]time.Time // job -> last failure
	until       time.Time            // end of the quarantine
	quarantined bool
	probes      int // successes still needed; above 0 the worker is on probation
	duration    time.Duration
}

// Quarantine finds workers on which tasks of several jobs fail, and jobs that fail on several workers. It is not safe
// for concurrent use.
type Quarantine struct {
	opts    QuarantineOptions
	workers map[string]*workerHistory
	// jobs maps a job to the workers on which it failed, with the time of the last failure.
	jobs map[string]map[string]time.Time
	// parked maps a parked job to the reason.
	parked map[string]string
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine(o QuarantineOptions) *Quarantine {
	return &Quarantine{opts: o, workers: map[string]*workerHistory{}, jobs: map[string]map[string]time.Time{},
		parked: map[string]string{}}
}

// Outcome is the result of a counted failure.
type Outcome struct {
	// QuarantineWorker and ParkJob are the reasons to quarantine the worker and to park the job, empty for neither.
	QuarantineWorker, ParkJob string
}

// RecordFailure counts the failure of a task. Failures of parked jobs do not count against workers, and failures on
// workers in quarantine or on probation do not count against jobs, so that a faulty job does not quarantine healthy
// workers and a faulty worker does not park healthy jobs.
func (q *Quarantine) RecordFailure(worker, job, reason string, now time.Time) Outcome {
	var out Outcome
	w := q.history(worker)
	restricted := w.quarantined || w.probes > 0
	if _, parked := q.parked[job]; !parked {
		w.failures[job] = now
		removeExpired(w.failures, now, q.opts.Window)
	}
	if !w.quarantined && (len(w.failures) >= q.opts.MinFailedJobs || w.probes > 0 && len(w.failures) > 0) {
		q.quarantine(w, now)
		out.QuarantineWorker = fmt.Sprintf("tasks of %d jobs failed within %s, last: %s", q.opts.MinFailedJobs,
			q.opts.Window, reason)
		if restricted {
			out.QuarantineWorker = "a task failed after the release from quarantine: " + reason
		}
	}
	if restricted || q.parked[job] != "" {
		return out
	}
	if q.jobs[job] == nil {
		q.jobs[job] = map[string]time.Time{}
	}
	q.jobs[job][worker] = now
	if len(q.jobs[job]) >= q.opts.MinFailedWorkers {
		out.ParkJob = fmt.Sprintf("tasks failed on %d workers (%v), last: %s", len(q.jobs[job]), slices.Sorted(maps.Keys(q.jobs[job])), reason)
		q.park(job, out.ParkJob)
	}
	return out
}

// park parks a job and removes its failures from the workers that are not quarantined, because the job was the cause.
func (q *Quarantine) park(job, reason string) {
	for worker := range q.jobs[job] {
		if w := q.workers[worker]; w != nil && !w.quarantined {
			delete(w.failures, job)
		}
	}
	delete(q.jobs, job)
	q.parked[job] = reason
}

// quarantine starts a quarantine, twice as long as the previous one but within BaseDuration and MaxDuration.
func (q *Quarantine) quarantine(w *workerHistory, now time.Time) {
	w.duration = min(max(2*w.duration, q.opts.BaseDuration), q.opts.MaxDuration)
	w.quarantined, w.until, w.probes = true, now.Add(w.duration), 0
	clear(w.failures)
}

// RecordSuccess counts a success towards the end of a probation. It has no effect on other workers.
func (q *Quarantine) RecordSuccess(worker string) {
	w := q.workers[worker]
	if w == nil || w.quarantined || w.probes == 0 {
		return
	}
	if w.probes--; w.probes == 0 {
		delete(q.workers, worker)
	}
}

// Release ends expired quarantines and returns their workers, which are now on probation: the caller makes them
// usable, and placement gives them one batch task at a time while Probing is true.
func (q *Quarantine) Release(now time.Time) []string {
	var out []string
	for id, w := range q.workers {
		if w.quarantined && !now.Before(w.until) {
			w.quarantined, w.probes = false, q.opts.Probes
			out = append(out, id)
		}
		if !w.quarantined && w.probes == 0 {
			if removeExpired(w.failures, now, q.opts.Window); len(w.failures) == 0 {
				delete(q.workers, id)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Restore starts the quarantine of a worker that is quarantined in the zone's state, for instance after a change of
// its owner.
func (q *Quarantine) Restore(worker string, now time.Time) {
	if w := q.history(worker); !w.quarantined {
		q.quarantine(w, now)
	}
}

// IsQuarantined reports whether a worker is in quarantine.
func (q *Quarantine) IsQuarantined(worker string) bool {
	w, ok := q.workers[worker]
	return ok && w.quarantined
}

// Probing reports whether a worker is on probation.
func (q *Quarantine) Probing(worker string) bool {
	w := q.workers[worker]
	return w != nil && !w.quarantined && w.probes > 0
}

// Parked returns the reason why a job is parked, empty if it is not.
func (q *Quarantine) Parked(job string) string { return q.parked[job] }

// RemoveJob removes the state of a job that ended or that an operator released.
func (q *Quarantine) RemoveJob(job string) {
	delete(q.jobs, job)
	delete(q.parked, job)
}

// history returns the history of a worker, new if there is none.
func (q *Quarantine) history(id string) *workerHistory {
	w := q.workers[id]
	if w == nil {
		w = &workerHistory{failures: map[string]time.Time{}}
		q.workers[id] = w
	}
	return w
}

func removeExpired(times map[string]time.Time, now time.Time, window time.Duration) {
	maps.DeleteFunc(times, func(_ string, at time.Time) bool { return now.Sub(at) > window })
}

// UnplaceableReason returns why no worker is large enough for a task, empty if one is. Capacities are those of the
// largest worker of each zone in which the job may run.
func UnplaceableReason(size resource.Vector, capacities []resource.Vector) string {
	limiting := ""
	for _, c := range capacities {
		if limiting = size.Limiting(c); limiting == "" {
			return ""
		}
	}
	if limiting == "" {
		return "no zone in which the job may run"
	}
	return fmt.Sprintf("a task needs more %s than any worker has: %s", limiting, size)
}
