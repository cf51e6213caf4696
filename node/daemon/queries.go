package daemon

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/worker"
	"waxwingslip.example/node/operator"
	"waxwingslip.example/node/operator/api"
	"waxwingslip.example/node/peers"
)

// queries implements operator.Queries from the daemon's replicas of the state.
type queries struct{ d *Daemon }

// Status implements operator.Queries.
func (q queries) Status(context.Context) (api.Status, error) {
	d := q.d
	st := api.Status{
		Daemon: d.settings.Name, Member: d.authority.Member(), Environment: d.settings.Environment, Region: d.settings.Region,
		Zone: d.settings.Zone, Build: Build, UptimeSeconds: int64(time.Since(d.started).Seconds()),
		Draining:     !d.gateway.Ready(),
		ControlAgeMs: ageMs(d.control.Follower.CurrentAsOf()), ZoneAgeMs: ageMs(d.zone.Follower.CurrentAsOf()),
		MayStart: d.authority.MayStart(), Shards: []int{}, Members: []api.Member{}, Alarms: d.alarms(),
	}
	d.control.View(func(s *control.State) { st.ConfigVersion = s.Version() })
	d.zone.View(func(s *zone.State) {
		owned := map[string]int{}
		for i, o := range s.ShardOwners {
			owned[o.Owner]++
			if o.Owner == st.Member && st.Member != "" {
				st.Shards = append(st.Shards, i)
			}
		}
		for _, id := range s.MemberIDs() {
			st.Members = append(st.Members, api.Member{
				Member: id, PeerAddress: s.Members[id].PeerAddress, Shards: owned[id],
				HeartbeatAgeMs: d.authority.HeartbeatAge(id).Milliseconds(),
			})
		}
	})
	return st, nil
}

func ageMs(asOf time.Time) int64 {
	if asOf.IsZero() {
		return -1
	}
	return time.Since(asOf).Milliseconds()
}

// Config implements operator.Queries. Only the current version is kept.
func (q queries) Config(_ context.Context, version int64) (out api.Config, err error) {
	q.d.control.View(func(s *control.State) {
		if s.Version() == 0 || version != 0 && version != s.Version() {
			err = operator.ErrNotFound
			return
		}
		out = api.Config{Version: s.Version(), Author: s.Author(), Document: string(s.DocumentBytes()), Source: "log"}
	})
	if out.Version != 0 && !q.d.control.Follower.Reachable() {
		out.Source = "peer"
	}
	return out, err
}

// Jobs implements operator.Queries.
func (q queries) Jobs(_ context.Context, query api.JobsQuery) (api.Jobs, error) {
	var all []api.JobSummary
	q.d.control.View(func(s *control.State) {
		for _, j := range s.Jobs() {
			all = append(all, q.summary(s, j))
		}
		for _, f := range s.FinishedJobs() {
			all = append(all, finishedSummary(f))
		}
	})
	all = slices.DeleteFunc(all, func(j api.JobSummary) bool {
		return query.Team != "" && j.Team != query.Team || query.State != "" && j.State != query.State
	})
	slices.SortFunc(all, func(a, b api.JobSummary) int { return cmp.Compare(a.ID, b.ID) })
	page, next := paginate(all, query.After, query.Limit, func(j api.JobSummary) string { return j.ID })
	return api.Jobs{Jobs: page, Next: next}, nil
}

// paginate returns the elements after a key, at most limit, and the key of the last one if there are more.
func paginate[T any](all []T, after string, limit int, key func(T) string) (page []T, next string) {
	start := 0
	if after != "" {
		start = len(all)
		for i, v := range all {
			if key(v) > after {
				start = i
				break
			}
		}
	}
	page = all[start:]
	if limit > 0 && len(page) > limit {
		page = page[:limit]
		next = key(page[limit-1])
	}
	if page == nil {
		page = []T{}
	}
	return page, next
}

func (q queries) summary(s *control.State, j *control.Job) api.JobSummary {
	ended := j.EndedTotal()
	sum := api.JobSummary{
		ID: j.Spec.ID, Team: j.Spec.Team, Class: j.Spec.Class, Priority: j.Spec.Priority, State: api.JobActive,
		Tasks: j.Spec.Tasks, Succeeded: ended.Succeeded, Failed: ended.Failed, Cancelled: ended.Cancelled,
		Reason: cmp.Or(j.Reason, s.WaitReason(j)),
	}
	if j.State == control.JobWaiting {
		sum.State = api.JobQueued
	}
	if j.Cancelled {
		sum.State = api.JobCancelled
	}
	q.d.zone.View(func(z *zone.State) {
		local := z.Jobs[j.Spec.ID]
		if local == nil {
			return
		}
		if local.Parked != "" {
			sum.State, sum.Reason = api.JobParked, local.Parked
		}
		addLocalCounts(&sum, local)
	})
	return sum
}

func addLocalCounts(sum *api.JobSummary, j *zone.Job) {
	for _, t := range j.Tasks {
		switch t.State {
		case zone.TaskPending:
			sum.Pending++
		case zone.TaskBound:
			sum.Running++
		}
	}
}

func finishedSummary(f *control.Finished) api.JobSummary {
	sum := api.JobSummary{
		ID: f.ID, Team: f.Team, State: api.JobFinished, Tasks: f.Counts.Total(), Succeeded: f.Counts.Succeeded,
		Failed: f.Counts.Failed, Cancelled: f.Counts.Cancelled, Reason: f.Reason,
	}
	if f.Counts.Cancelled > 0 {
		sum.State = api.JobCancelled
	}
	return sum
}

// Job implements operator.Queries.
func (q queries) Job(_ context.Context, id string) (out api.Job, err error) {
	q.d.control.View(func(s *control.State) {
		if j := s.Job(id); j != nil {
			out = api.Job{JobSummary: q.summary(s, j), Spec: j.Spec, Zones: jobZones(j)}
			return
		}
		if f := s.Finished(id); f != nil {
			out = api.Job{JobSummary: finishedSummary(f), Zones: []string{}}
			return
		}
		err = operator.ErrNotFound
	})
	return out, err
}

func jobZones(j *control.Job) []string {
	zones := []string{j.Zone}
	for name := range j.Ended {
		zones = append(zones, name)
	}
	for _, t := range j.Transfers {
		zones = append(zones, t.To)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Tasks implements operator.Queries.
func (q queries) Tasks(_ context.Context, query api.TasksQuery) (api.Tasks, error) {
	if query.Zone != "" && query.Zone != q.d.settings.Zone {
		return api.Tasks{}, operator.ErrOtherZone
	}
	var all []api.Task
	q.d.zone.View(func(s *zone.State) {
		for id, j := range s.Jobs {
			if query.Job != "" && query.Job != id {
				continue
			}
			for _, t := range j.Tasks {
				all = append(all, q.task(t))
			}
		}
	})
	all = slices.DeleteFunc(all, func(t api.Task) bool {
		return query.Worker != "" && t.Worker != query.Worker || query.State != "" && t.State != query.State
	})
	key := func(t api.Task) string { return t.Job + "/" + zeroPad(t.Index) }
	slices.SortFunc(all, func(a, b api.Task) int { return cmp.Compare(key(a), key(b)) })
	page, next := paginate(all, query.After, query.Limit, key)
	return api.Tasks{Zone: q.d.settings.Zone, Tasks: page, Next: next}, nil
}

// zeroPad pads n to six digits, so that indexes sort as numbers. zone.MaxJobTasks has five digits.
func zeroPad(n int) string {
	s := strconv.Itoa(n)
	return "000000"[:max(0, 6-len(s))] + s
}

func (q queries) task(t *zone.Task) api.Task {
	out := api.Task{
		Job: t.Job.Spec.ID, Index: t.Index, Epoch: t.Epoch, Zone: q.d.settings.Zone, State: t.State.String(),
		Worker: t.Worker, Address: t.Address, Size: t.Size, Checkpoint: t.Checkpoint, Evictions: t.Evictions,
		Reason: cmp.Or(t.Stopping, t.Reason),
	}
	if t.State == zone.TaskPending {
		out.Size = t.Job.Spec.Size
	}
	if rs, ok := q.reportedRun(t); ok && rs.State == worker.RunRunning {
		out.State, out.ThrottlePercent = api.TaskRunning, rs.ThrottlePercent
	}
	return out
}

// reportedRun returns the worker's last report about a bound task, if this daemon owns the worker.
func (q queries) reportedRun(t *zone.Task) (worker.RunStatus, bool) {
	received, ok := q.d.reports.get(t.Worker)
	if !ok || t.State != zone.TaskBound {
		return worker.RunStatus{}, false
	}
	for _, rs := range received.report.Runs {
		if rs.Job == t.Job.Spec.ID && rs.Index == t.Index && rs.Epoch == t.Epoch {
			return rs, true
		}
	}
	return worker.RunStatus{}, false
}

// Workers implements operator.Queries.
func (q queries) Workers(_ context.Context, query api.WorkersQuery) (api.Workers, error) {
	if query.Zone != "" && query.Zone != q.d.settings.Zone {
		return api.Workers{}, operator.ErrOtherZone
	}
	var all []api.Worker
	q.d.zone.View(func(s *zone.State) {
		for _, w := range s.Workers {
			if query.State == "" || query.State == w.State.String() {
				all = append(all, q.worker(s, w))
			}
		}
	})
	slices.SortFunc(all, func(a, b api.Worker) int { return cmp.Compare(a.ID, b.ID) })
	page, next := paginate(all, query.After, query.Limit, func(w api.Worker) string { return w.ID })
	return api.Workers{Zone: q.d.settings.Zone, Workers: page, Next: next}, nil
}

func (q queries) worker(s *zone.State, w *zone.Worker) api.Worker {
	owner, _ := s.OwnerOf(w.Info.ID)
	out := api.Worker{
		WorkerInfo: w.Info, Zone: q.d.settings.Zone, State: w.State.String(), Reason: w.Reason,
		Shard: zone.ShardOf(w.Info.ID), Owner: owner, Tasks: len(w.Tasks), Reserved: w.Reserved, ReportAgeMs: -1,
	}
	if received, ok := q.d.reports.get(w.Info.ID); ok {
		out.ReportAgeMs = (q.d.now() - received.receivedAt).Milliseconds()
	}
	return out
}

// Zones implements operator.Queries.
func (q queries) Zones(context.Context) (api.Zones, error) {
	out := api.Zones{Zones: []api.Zone{}}
	q.d.control.View(func(s *control.State) {
		if s.Document() == nil {
			return
		}
		for _, r := range s.Document().Regions {
			for _, z := range r.Zones {
				out.Zones = append(out.Zones, api.Zone{
					Name: z.Name, Region: r.Name, InService: !z.OutOfService, AgeMs: -1,
				})
			}
		}
	})
	for i := range out.Zones {
		if out.Zones[i].Name == q.d.settings.Zone {
			q.fillOwnZone(&out.Zones[i])
		} else {
			q.fillOtherZone(&out.Zones[i])
		}
	}
	return out, nil
}

// fillOtherZone sets the fields that peers of another zone reported.
func (q queries) fillOtherZone(out *api.Zone) {
	load, age, ok := q.d.peers.ZoneLoad(out.Name)
	if !ok {
		return
	}
	out.AgeMs = age.Milliseconds()
	_, out.Reachable = q.d.peers.UnreservedCPUShare(out.Name)
	setLoad(out, load)
}

func setLoad(out *api.Zone, l peers.ZoneLoad) {
	out.ConfigVersion, out.Members, out.Workers, out.Usable = l.ConfigVersion, l.Members, l.Workers, l.Usable
	out.ServiceTasks, out.BatchTasks, out.PendingTasks = l.ServiceTasks, l.BatchTasks, l.PendingTasks
	out.Capacity, out.Reserved = l.Capacity, l.Reserved
	out.Drained = !out.InService && out.BatchTasks == 0
}

func (q queries) fillOwnZone(out *api.Zone) {
	out.Reachable, out.AgeMs = true, 0
	q.d.zone.View(func(s *zone.State) { setLoad(out, loadOf(s)) })
}

// ConfigInForce implements operator.Queries.
func (q queries) ConfigInForce(ctx context.Context) (api.ConfigInForce, error) {
	zones, err := q.Zones(ctx)
	if err != nil {
		return api.ConfigInForce{}, err
	}
	out := api.ConfigInForce{Zones: []api.ZoneConfig{}}
	q.d.control.View(func(s *control.State) { out.Version = s.Version() })
	for _, z := range zones.Zones {
		out.Zones = append(out.Zones, api.ZoneConfig{
			Zone: z.Name, Version: z.ConfigVersion, Members: z.Members, Reachable: z.Reachable, AgeMs: z.AgeMs,
		})
	}
	return out, nil
}
