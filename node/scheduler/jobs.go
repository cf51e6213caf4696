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

// job is what the control state says about an active job, as far as this zone is concerned.
type job struct {
	spec      record.JobSpec
	here      bool
	cancelled bool
	// ended is what this zone has reported.
	ended control.Counts
	// transfers holds the newest transfer of each moved task.
	transfers map[int]control.Transfer
	// zones lists the other zones of the document that can run the job.
	zones []string
}

func (s *Scheduler) collectJobs(c *control.State) []job {
	var out []job
	for _, j := range c.Jobs() {
		if j.State != control.JobActive {
			continue
		}
		out = append(out, job{
			zones: s.otherZones(c.Document(), &j.Spec), spec: j.Spec, here: j.Zone == s.cfg.Zone, cancelled: j.Cancelled,
			ended: j.Ended[s.cfg.Zone], transfers: copyTransfers(j.Transfers),
		})
	}
	return out
}

func (s *Scheduler) otherZones(d *environment.Document, spec *record.JobSpec) (out []string) {
	for _, name := range d.ZoneNames() {
		if name != s.cfg.Zone && canRun(d, spec, name) {
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

// syncJobs admits, cancels, adopts, transfers and finishes jobs.
func (s *Scheduler) syncJobs(z *zone.State, self string, wanted []job) {
	for i := range wanted {
		w := &wanted[i]
		if z.Responsible(w.spec.ID) == self {
			s.syncJob(z, w)
		}
	}
}

// endedHere lists the jobs that this daemon is responsible for and that have no unfinished task in the zone.
func (s *Scheduler) endedHere(self string) (out []string) {
	s.cfg.State.View(func(z *zone.State) {
		for id, j := range z.Jobs {
			if !j.IsService() && j.Unfinished == 0 && z.Responsible(id) == self {
				out = append(out, id)
			}
		}
	})
	return out
}

// finishedOf keeps the jobs that the control state shows as finished. A job that is merely absent may be one that a
// lagging control state does not know yet, so its tasks' ends must be kept.
func finishedOf(c *control.State, ids []string) (out []string) {
	for _, id := range ids {
		if c.Finished(id) != nil {
			out = append(out, id)
		}
	}
	return out
}

func (s *Scheduler) forgetJobs(ids []string) {
	for _, id := range ids {
		s.post("forget/"+id, &record.Forget{Job: id})
	}
}

func (s *Scheduler) syncJob(z *zone.State, w *job) {
	j := z.Jobs[w.spec.ID]
	s.adopt(j, w)
	if j == nil {
		if w.here {
			s.post("admit/"+w.spec.ID, &record.Admit{Job: w.spec})
		}
		return
	}
	if w.cancelled && !j.Cancelled {
		s.post("cancel/"+w.spec.ID, &record.Cancel{Job: w.spec.ID})
	}
	s.transfer(j, w)
	s.finish(j, w)
}

// adopt takes in the tasks whose newest transfer leads here and that are not known under a later epoch.
func (s *Scheduler) adopt(j *zone.Job, w *job) {
	for index, t := range w.transfers {
		if t.To != s.cfg.Zone {
			continue
		}
		if j != nil && j.Tasks[index] != nil && j.Tasks[index].Epoch > t.Epoch {
			continue
		}
		s.post(taskPurpose("adopt", w.spec.ID, index, t.Epoch), &record.Adopt{
			Job: w.spec, Index: index, Epoch: t.Epoch, Checkpoint: t.Checkpoint,
		})
	}
}

func taskPurpose(what, job string, index int, epoch int64) string {
	return what + "/" + job + "/" + strconv.Itoa(index) + "/" + strconv.FormatInt(epoch, 10)
}

// transfer repeats the transfer of released tasks until the control state shows it.
func (s *Scheduler) transfer(j *zone.Job, w *job) {
	for index, t := range j.Tasks {
		if t.State != zone.TaskReleased || w.transfers[index].Epoch >= t.Epoch {
			continue
		}
		to := t.ReleasedTo
		if !slices.Contains(w.zones, to) && len(w.zones) > 0 {
			// The zone left the document since the release. The first transfer that the control state accepts for
			// this epoch counts, so another target is safe.
			to = rendezvous.Pick(w.spec.ID, w.zones)
		}
		s.postControl(taskPurpose("transfer", w.spec.ID, index, t.Epoch), &record.Transfer{
			Task: t.ID(), Epoch: t.Epoch, From: s.cfg.Zone, To: to, Checkpoint: t.Checkpoint,
		})
	}
}

// finish reports the ended tasks once none of the job's tasks is pending or bound here.
func (s *Scheduler) finish(j *zone.Job, w *job) {
	if j.Unfinished > 0 {
		return
	}
	f := record.Finish{Job: w.spec.ID, Zone: s.cfg.Zone, Reason: j.Parked}
	for _, t := range j.Tasks {
		if t.State != zone.TaskEnded {
			continue
		}
		switch t.Outcome {
		case record.OutcomeSucceeded:
			f.Succeeded++
		case record.OutcomeCancelled:
			f.Cancelled++
		default:
			f.Failed++
			if f.Reason == "" {
				f.Reason = t.Reason
			}
		}
	}
	if f.Succeeded+f.Failed+f.Cancelled > w.ended.Total() {
		s.postControl("finish/"+w.spec.ID, &f)
	}
}
