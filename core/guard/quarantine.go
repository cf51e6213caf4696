package guard

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"waxwingslip.example/core/resource"
)

// QuarantineOptions tunes a Quarantine.
type QuarantineOptions struct {
	// Window is how long a failure counts.
	Window time.Duration
	// Jobs is how many different jobs must fail on a worker, Workers on how many different workers a job must
	// fail.
	Jobs, Workers int
	// Hold is the first duration of a quarantine. It doubles with each relapse up to MaxHold.
	Hold, MaxHold time.Duration
	// Probes is the number of tasks that must succeed before a released worker is trusted.
	Probes int
}

// DefaultQuarantineOptions returns the options that the daemons use.
func DefaultQuarantineOptions() QuarantineOptions {
	return QuarantineOptions{Window: 10 * time.Minute, Jobs: 3, Workers: 3, Hold: 5 * time.Minute, MaxHold: time.Hour, Probes: 2}
}

// workerRecord is what is remembered about a worker's failures.
type workerRecord struct {
	failures map[string]time.Time // job -> last failure
	until    time.Time            // end of the quarantine
	held     bool
	probes   int // successes still needed; above 0 the worker is on probation
	hold     time.Duration
}

// Quarantine finds workers that fail everything and jobs that fail everywhere. It is not safe for concurrent
// use.
type Quarantine struct {
	opts    QuarantineOptions
	workers map[string]*workerRecord
	// jobs maps a job to the workers on which it failed, with the time of the last failure.
	jobs   map[string]map[string]time.Time
	parked map[string]string
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine(o QuarantineOptions) *Quarantine {
	return &Quarantine{opts: o, workers: map[string]*workerRecord{}, jobs: map[string]map[string]time.Time{}, parked: map[string]string{}}
}

// Effect is what a failure leads to.
type Effect struct {
	// QuarantineWorker and ParkJob give the reason, empty if nothing is to be done.
	QuarantineWorker, ParkJob string
}

// Failed counts the failure of a task. Failures of parked jobs do not count against workers, and failures on
// quarantined workers or on probation do not count against jobs, so that one bad part cannot condemn the others.
func (q *Quarantine) Failed(worker, job, reason string, now time.Time) Effect {
	var out Effect
	w := q.worker(worker)
	suspicious := w.held || w.probes > 0
	if _, bad := q.parked[job]; !bad {
		w.failures[job] = now
		expire(w.failures, now, q.opts.Window)
	}
	if !w.held && (len(w.failures) >= q.opts.Jobs || w.probes > 0 && len(w.failures) > 0) {
		q.hold(w, now)
		out.QuarantineWorker = fmt.Sprintf("tasks of %d jobs failed within %s, last: %s", q.opts.Jobs, q.opts.Window, reason)
		if suspicious {
			out.QuarantineWorker = "a task failed after the release from quarantine: " + reason
		}
	}
	if suspicious || q.parked[job] != "" {
		return out
	}
	if q.jobs[job] == nil {
		q.jobs[job] = map[string]time.Time{}
	}
	q.jobs[job][worker] = now
	if len(q.jobs[job]) >= q.opts.Workers {
		out.ParkJob = fmt.Sprintf("tasks failed on %d workers (%v), last: %s", len(q.jobs[job]), slices.Sorted(maps.Keys(q.jobs[job])), reason)
		q.park(job, out.ParkJob)
	}
	return out
}

// park takes a job's failures back from the workers that were not quarantined: the job was the cause.
func (q *Quarantine) park(job, reason string) {
	for worker := range q.jobs[job] {
		if w := q.workers[worker]; w != nil && !w.held {
			delete(w.failures, job)
		}
	}
	delete(q.jobs, job)
	q.parked[job] = reason
}

func (q *Quarantine) hold(w *workerRecord, now time.Time) {
	w.hold = min(max(2*w.hold, q.opts.Hold), q.opts.MaxHold)
	w.held, w.until, w.probes = true, now.Add(w.hold), 0
	clear(w.failures)
}

// Succeeded counts a success, which counts for a worker on probation.
func (q *Quarantine) Succeeded(worker string) {
	w := q.workers[worker]
	if w == nil || w.held || w.probes == 0 {
		return
	}
	if w.probes--; w.probes == 0 {
		delete(q.workers, worker)
	}
}

// Release returns the quarantined workers whose time is over. They are on probation: the caller makes them
// usable, and placement gives them one batch task at a time while Probing is true.
func (q *Quarantine) Release(now time.Time) []string {
	var out []string
	for id, w := range q.workers {
		if w.held && !now.Before(w.until) {
			w.held, w.probes = false, q.opts.Probes
			out = append(out, id)
		}
		if !w.held && w.probes == 0 {
			if expire(w.failures, now, q.opts.Window); len(w.failures) == 0 {
				delete(q.workers, id)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Restore takes over a worker that the zone's state already shows as quarantined, for instance after a change
// of its owner.
func (q *Quarantine) Restore(worker string, now time.Time) {
	if w := q.worker(worker); !w.held {
		q.hold(w, now)
	}
}

// Held reports whether a worker is in quarantine.
func (q *Quarantine) Held(worker string) bool {
	w, ok := q.workers[worker]
	return ok && w.held
}

// Probing reports whether a worker is on probation.
func (q *Quarantine) Probing(worker string) bool {
	w := q.workers[worker]
	return w != nil && !w.held && w.probes > 0
}

// Parked returns why a job is parked, empty if it is not.
func (q *Quarantine) Parked(job string) string { return q.parked[job] }

// ForgetJob drops what is remembered about a job that ended or that an operator released.
func (q *Quarantine) ForgetJob(job string) {
	delete(q.jobs, job)
	delete(q.parked, job)
}

func (q *Quarantine) worker(id string) *workerRecord {
	w := q.workers[id]
	if w == nil {
		w = &workerRecord{failures: map[string]time.Time{}}
		q.workers[id] = w
	}
	return w
}

func expire(times map[string]time.Time, now time.Time, window time.Duration) {
	maps.DeleteFunc(times, func(_ string, at time.Time) bool { return now.Sub(at) > window })
}

// CanEverRun returns an error text if a task is larger than every worker, empty otherwise. Capacities are
// those of the largest worker of each zone in which the job may run.
func CanEverRun(size resource.Vector, capacities []resource.Vector) string {
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
