package scheduler

import (
	"slices"
	"strconv"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/rendezvous"
	"waxwingslip.example/core/zone"
)

// desiredJob is the part of an active job in the control state that concerns this zone.
type desiredJob struct {
	spec          record.JobSpec
	submittedHere bool
	cancelled     bool
	// reported holds the ended tasks that this zone has reported to the control state.
	reported control.Counts
	// transfers holds the newest transfer of each moved task.
	transfers map[int]control.Transfer
	// zones lists the other zones of the document that can run the job.
	zones []string
}

func (s *Scheduler) desiredJobs(c *control.State) []desiredJob {
	var out []desiredJob
	for _, j := range c.Jobs() {
		if j.State != control.JobActive {
			continue
		}
		out = append(out, desiredJob{
			zones: s.otherZones(c.Document(), &j.Spec), spec: j.Spec, submittedHere: j.Zone == s.cfg.Zone,
			cancelled: j.Cancelled, reported: j.Ended[s.cfg.Zone], transfers: copyTransfers(j.Transfers),
		})
	}
	return out
}

func (s *Scheduler) otherZones(d *environment.Document, spec *record.JobSpec) (out []string) {
	for _, name := range d.ZoneNames() {
		if name != s.cfg.Zone && canRunIn(d, spec, name) {
			out = append(out, name)
		}
	}
	return out
}

func copyTransfers(in map[int]control.Transfer) map[int]control.Transfer {
	if len(in) == 0 {
		return nil
	}
	out := make(map[int]control.Transfer, len(in))
	for i, t := range in {
		out[i] = t
	}
	return out
}

// syncJobs brings the jobs of this zone, for which this daemon is responsible, in line with the control state.
func (s *Scheduler) syncJobs(z *zone.State, self string, desired []desiredJob) {
	for i := range desired {
		want := &desired[i]
		if z.ResponsibleMember(want.spec.ID) == self {
			s.syncJob(z, want)
		}
	}
}

// endedJobs lists the jobs under this daemon's responsibility that have no unfinished task in the zone.
func (s *Scheduler) endedJobs(self string) (out []string) {
	s.cfg.State.View(func(z *zone.State) {
		for id, j := range z.Jobs {
			if !j.IsService() && j.Unfinished == 0 && z.ResponsibleMember(id) == self {
				out = append(out, id)
			}
		}
	})
	return out
}

// finishedJobs returns the jobs that the control state lists as finished. A job that is missing there may be new to a
// lagging control state, so the outcomes of its tasks must be kept.
func finishedJobs(c *control.State, ids []string) (out []string) {
	for _, id := range ids {
		if c.Finished(id) != nil {
			out = append(out, id)
		}
	}
	return out
}

func (s *Scheduler) removeJobs(ids []string) {
	for _, id := range ids {
		s.post("forget/"+id, &record.RemoveJob{Job: id})
	}
}

func (s *Scheduler) syncJob(z *zone.State, want *desiredJob) {
	j := z.Jobs[want.spec.ID]
	s.adoptTasks(j, want)
	if j == nil {
		if want.submittedHere {
			s.post("admit/"+want.spec.ID, &record.Admit{Job: want.spec})
		}
		return
	}
	if want.cancelled && !j.Cancelled {
		s.post("cancel/"+want.spec.ID, &record.Cancel{Job: want.spec.ID})
	}
	s.transferTasks(j, want)
	s.reportEnded(j, want)
}

// adoptTasks adds the tasks whose newest transfer targets this zone, unless the zone has them under a later epoch.
func (s *Scheduler) adoptTasks(j *zone.Job, want *desiredJob) {
	for index, t := range want.transfers {
		if t.To != s.cfg.Zone {
			continue
		}
		if j != nil && j.Tasks[index] != nil && j.Tasks[index].Epoch > t.Epoch {
			continue
		}
		s.post(taskKey("adopt", want.spec.ID, index, t.Epoch), &record.Adopt{
			Job: want.spec, Index: index, Epoch: t.Epoch, Checkpoint: t.Checkpoint,
		})
	}
}

func taskKey(action, job string, index int, epoch int64) string {
	return action + "/" + job + "/" + strconv.Itoa(index) + "/" + strconv.FormatInt(epoch, 10)
}

// transferTasks posts the transfer of each released task until the control state contains it.
func (s *Scheduler) transferTasks(j *zone.Job, want *desiredJob) {
	for index, t := range j.Tasks {
		if t.State != zone.TaskReleased || want.transfers[index].Epoch >= t.Epoch {
			continue
		}
		to := t.ReleasedTo
		if !slices.Contains(want.zones, to) && len(want.zones) > 0 {
			// The target zone left the document or can no longer run the job. Only the first transfer that the control
			// state accepts for this epoch takes effect, so another target is safe.
			to = rendezvous.Pick(want.spec.ID, want.zones)
		}
		s.postControl(taskKey("transfer", want.spec.ID, index, t.Epoch), &record.Transfer{
			Task: t.ID(), Epoch: t.Epoch, From: s.cfg.Zone, To: to, Checkpoint: t.Checkpoint,
		})
	}
}

// reportEnded reports the outcomes of a job's tasks once none of them is pending or bound in this zone.
func (s *Scheduler) reportEnded(j *zone.Job, want *desiredJob) {
	if j.Unfinished > 0 {
		return
	}
	finish := record.Finish{Job: want.spec.ID, Zone: s.cfg.Zone, Reason: j.Parked}
	for _, t := range j.Tasks {
		if t.State != zone.TaskEnded {
			continue
		}
		switch t.Outcome {
		case record.OutcomeSucceeded:
			finish.Succeeded++
		case record.OutcomeCancelled:
			finish.Cancelled++
		default:
			finish.Failed++
			if finish.Reason == "" {
				finish.Reason = t.Reason
			}
		}
	}
	if finish.Succeeded+finish.Failed+finish.Cancelled > want.reported.Total() {
		s.postControl("finish/"+want.spec.ID, &finish)
	}
}
