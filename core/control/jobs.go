package control

import (
	"fmt"
	"slices"

	"waxwingslip.example/core/record"
)

func (s *State) applySubmit(b *record.Submit) Verdict {
	if v, repeated := s.checkRepeated(b); repeated {
		return v
	}
	if reason := invalidSpec(&b.Job); reason != "" {
		return rejected("job %q: %s", truncate(b.Job.ID, MaxNameBytes), reason)
	}
	if reason := s.rejectReason(b); reason != "" {
		return rejected("job %q: %s", b.Job.ID, reason)
	}
	j := &Job{Spec: b.Job, Zone: b.Zone, State: JobWaiting, Submitted: s.offset}
	s.jobs[j.Spec.ID] = j
	t := s.team(j.Spec.Team)
	t.enqueue(j)
	s.activateWaiting(t)
	return accepted
}

// checkRepeated returns the verdict on a Submit whose job id exists: a repeat of the first Submit is accepted
// without effect, and another definition is rejected.
func (s *State) checkRepeated(b *record.Submit) (Verdict, bool) {
	var firstDigest uint64
	if j := s.jobs[b.Job.ID]; j != nil {
		firstDigest = submitDigest(j.Spec, j.Zone)
	} else if f := s.finished[b.Job.ID]; f != nil {
		firstDigest = f.Digest
	} else {
		return Verdict{}, false
	}
	if firstDigest != submitDigest(b.Job, b.Zone) {
		return rejected("job %q exists with another definition", b.Job.ID), true
	}
	return accepted, true
}

// invalidSpec returns why a spec is invalid under any configuration, or "".
func invalidSpec(j *record.JobSpec) string {
	for _, name := range append([]string{j.ID, j.Team, j.Class}, j.Zones...) {
		if name == "" || len(name) > MaxNameBytes {
			return fmt.Sprintf("id, team, class and zones must have 1 to %d bytes", MaxNameBytes)
		}
	}
	size := j.Size
	switch {
	case j.Service != "" || j.Priority != record.PriorityBatch && j.Priority != record.PriorityUrgent:
		return "only batch and urgent jobs can be submitted"
	case j.Tasks < 1 || j.Tasks > MaxJobTasks:
		return fmt.Sprintf("has %d tasks, allowed are 1 to %d", j.Tasks, MaxJobTasks)
	case !size.Valid() || size.Slots < 1:
		return fmt.Sprintf("size %s must have at least one slot and no negative amount", size)
	case max(size.Slots, size.Connections, size.MilliCPU, size.MemoryMB, size.Accelerators) > maxAmount:
		return fmt.Sprintf("size %s is too large", size)
	case j.Revision != 0 || j.RunSeconds < 0 || j.MaxAttempts < 0:
		return "revision must be 0, runSeconds and maxAttempts must not be negative"
	case len(j.Zones) > maxZones:
		return fmt.Sprintf("names %d zones, allowed are %d", len(j.Zones), maxZones)
	case len(j.Payload) > MaxPayloadBytes:
		return fmt.Sprintf("payload has %d bytes, allowed are %d", len(j.Payload), MaxPayloadBytes)
	}
	return ""
}

// rejectReason returns why the job cannot be accepted under the current configuration, or "".
func (s *State) rejectReason(b *record.Submit) string {
	if s.document == nil {
		return "there is no configuration yet"
	}
	if !s.hasTeam(b.Job.Team) {
		return fmt.Sprintf("team %q is not in the configuration", b.Job.Team)
	}
	for _, zone := range b.Job.Zones {
		if !s.hasZone(zone) {
			return fmt.Sprintf("zone %q is not in the configuration", zone)
		}
	}
	_, zone, ok := s.document.FindZone(b.Zone)
	if !ok {
		return fmt.Sprintf("zone %q is not in the configuration", b.Zone)
	}
	if len(b.Job.Zones) > 0 && !slices.Contains(b.Job.Zones, b.Zone) {
		return fmt.Sprintf("zone %q is not among the job's zones", b.Zone)
	}
	if limit := b.Job.Size.Limiting(zone.Worker); limit != "" {
		return fmt.Sprintf("a task (%s) needs more %s than the largest worker of zone %q (%s)", b.Job.Size, limit, b.Zone, zone.Worker)
	}
	t := s.team(b.Job.Team)
	use := b.Job.Size.Times(int64(b.Job.Tasks))
	if limit := use.Limiting(t.quota); limit != "" {
		return fmt.Sprintf("all tasks together (%s) need more %s than the quota of team %q (%s)", use, limit, b.Job.Team, t.quota)
	}
	if t.waiting >= MaxWaiting {
		return fmt.Sprintf("team %q has %d waiting jobs, more are not accepted", b.Job.Team, t.waiting)
	}
	return ""
}

// applyCancelJob finishes a waiting job immediately. It marks an active job as cancelled, and the zones end its tasks.
func (s *State) applyCancelJob(b *record.CancelJob) Verdict {
	j := s.jobs[b.Job]
	switch {
	case j == nil && s.finished[b.Job] != nil:
		return rejected("job %q has finished", b.Job)
	case j == nil:
		return rejected("job %q is not known", truncate(b.Job, MaxNameBytes))
	case j.Cancelled:
		return rejected("job %q is already cancelled", b.Job)
	}
	j.Cancelled = true
	if j.State == JobActive {
		s.emit(Event{Kind: EventJobCancelled, Job: b.Job})
		return accepted
	}
	t := s.teams[j.Spec.Team]
	t.waiting--
	s.moveToFinished(j, Counts{Cancelled: j.Spec.Tasks})
	s.activateWaiting(t)
	return accepted
}

// applyFinish counts the tasks that ended in one zone. The counts are totals of the zone, which keeps the job
// until EventJobFinished, so a repeated report changes nothing and a task that returned to the zone is counted.
// The quota is freed when the counts of all zones add up to all tasks of the job.
func (s *State) applyFinish(b *record.Finish) Verdict {
	j := s.jobs[b.Job]
	counts := Counts{Succeeded: b.Succeeded, Failed: b.Failed, Cancelled: b.Cancelled}
	switch {
	case j == nil && s.finished[b.Job] != nil:
		return rejected("job %q has finished", b.Job)
	case j == nil || j.State != JobActive:
		return rejected("job %q is not active", truncate(b.Job, MaxNameBytes))
	case b.Zone == "" || len(b.Zone) > MaxNameBytes:
		return rejected("zone must have 1 to %d bytes", MaxNameBytes)
	case min(b.Succeeded, b.Failed, b.Cancelled) < 0 || max(b.Succeeded, b.Failed, b.Cancelled) > j.Spec.Tasks:
		return rejected("counts of job %q must be 0 to %d", b.Job, j.Spec.Tasks)
	case counts.Total() <= j.Ended[b.Zone].Total():
		return rejected("zone %q reported %d ended tasks of job %q before", b.Zone, j.Ended[b.Zone].Total(), b.Job)
	}
	if total := j.EndedTotal().Total() - j.Ended[b.Zone].Total() + counts.Total(); total > j.Spec.Tasks {
		return rejected("job %q has %d tasks, but %d would have ended", b.Job, j.Spec.Tasks, total)
	}
	if j.Ended == nil {
		j.Ended = map[string]Counts{}
	}
	j.Ended[b.Zone] = counts
	if b.Reason != "" {
		j.Reason = truncate(b.Reason, maxReasonBytes)
	}
	total := j.EndedTotal()
	if total.Total() < j.Spec.Tasks {
		return accepted
	}
	t := s.teams[j.Spec.Team]
	t.use = t.use.Sub(j.Use())
	s.moveToFinished(j, total)
	s.activateWaiting(t)
	return accepted
}

// moveToFinished removes the job's definition and records how it ended.
func (s *State) moveToFinished(j *Job, counts Counts) {
	delete(s.jobs, j.Spec.ID)
	s.addFinished(&Finished{
		ID: j.Spec.ID, Team: j.Spec.Team, Offset: s.offset, Counts: counts, Reason: j.Reason,
		Digest: submitDigest(j.Spec, j.Zone),
	})
	s.emit(Event{Kind: EventJobFinished, Job: j.Spec.ID})
}

func (s *State) addFinished(f *Finished) {
	s.finished[f.ID] = f
	s.finishedOrder = append(s.finishedOrder, f)
	if len(s.finishedOrder) > MaxFinished {
		delete(s.finished, s.finishedOrder[0].ID)
		s.finishedOrder[0] = nil
		s.finishedOrder = s.finishedOrder[1:]
	}
}
