package jobs

import "slices"

// Move ends the job here, since it goes on in another shard, and reports whether it was unfinished and without bound tasks.
func (j *Job) Move(to int, nowMs int64) bool {
	if j.Outcome != Unfinished || j.AnyBound() {
		return false
	}
	j.finish(Moved, nowMs)
	j.Occurrences, j.Unreported, j.FailedGangRuns, j.MovedTo = nil, nil, nil, to
	return true
}

// AwaitsLateEnd reports whether a task that is not done had a run whose end may yet be reported.
func (j *Job) AwaitsLateEnd() bool {
	return slices.ContainsFunc(j.Unreported, func(r TaskRun) bool {
		t := j.Task(TaskID{Occurrence: r.Occurrence, Step: r.Step, Index: r.Index})
		return t != nil && t.Phase != Done
	})
}
