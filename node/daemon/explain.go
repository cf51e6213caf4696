package daemon

import (
	"context"
	"fmt"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/verdict"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/node/operator"
	"waxwingslip.example/node/operator/api"
)

// Explain implements operator.Queries.
func (q queries) Explain(_ context.Context, query api.ExplainQuery) (api.Explanation, error) {
	switch {
	case query.Worker != "":
		return q.explainWorker(query.Worker)
	case query.Service != "":
		return q.explainService(query.Service)
	default:
		return q.explainJob(query.Job, query.Index)
	}
}

func (q queries) explainWorker(id string) (out api.Explanation, err error) {
	q.d.zone.View(func(s *zone.State) {
		w := s.Workers[id]
		if w == nil {
			err = operator.ErrNotFound
			return
		}
		out = api.Explanation{Subject: "worker " + id, State: w.State.String(), Reasons: []api.Reason{}}
		if w.Reason != "" {
			out.Reasons = append(out.Reasons, api.Reason{Code: "worker-" + w.State.String(), Text: w.Reason})
		}
		if owner, epoch := s.OwnerOf(id); owner == "" {
			out.Reasons = append(out.Reasons, api.Reason{Code: "no-owner",
				Text: fmt.Sprintf("shard %d has no owner since epoch %d", zone.ShardOf(id), epoch)})
		}
	})
	return out, err
}

func (q queries) explainService(name string) (out api.Explanation, err error) {
	q.d.zone.View(func(s *zone.State) {
		j := s.Jobs[record.ServiceJobID(name)]
		if j == nil {
			err = operator.ErrNotFound
			return
		}
		out = q.explainTasks(s, "service "+name, j)
	})
	if v, ok := q.d.guards.Verdict(name); ok && err == nil {
		out.Verdict = verdictOf(v)
	}
	return out, err
}

// verdictOf converts a verdict and its evidence for the operators' interface.
func verdictOf(v verdict.Verdict) *api.Verdict {
	out := &api.Verdict{Cause: v.Cause.String(), Requests: int64(v.Evidence.Requests), Evidence: []api.Evidence{}}
	add := func(name, unit, detail string, observed, expected float64) {
		out.Evidence = append(out.Evidence, api.Evidence{
			Name: name, Observed: observed, Expected: expected, Unit: unit, Detail: detail,
		})
	}
	add("slow requests", "requests", "requests above the latency target", float64(v.Evidence.Slow), 0)
	for _, part := range []struct {
		name string
		q    *verdict.Quantiles
	}{{"wait p99", v.Evidence.Wait}, {"network p99", v.Evidence.Network}, {"endpoint p99", v.Evidence.Endpoint}} {
		if part.q != nil {
			add(part.name, "ms", fmt.Sprintf("median %.2f ms", part.q.P50), part.q.P99, 0)
		}
	}
	add("endpoint without neighbours", "ms", fmt.Sprintf("from %.0f samples", v.Evidence.BaselineSamples),
		v.Evidence.BaselineMs, v.Evidence.BaselineMs)
	for _, n := range v.Evidence.Neighbours {
		add("neighbour "+n.Class, "share of the VM", fmt.Sprintf("slowdown %.0f%%, confidence %.2f", n.Slowdown*100, n.Confidence), n.Load, 0)
	}
	if v.Evidence.Missing != "" {
		add("missing", "", v.Evidence.Missing, 0, 0)
	}
	return out
}

func (q queries) explainJob(id string, index int) (out api.Explanation, err error) {
	waiting := ""
	q.d.control.View(func(s *control.State) {
		if j := s.Job(id); j != nil {
			waiting = s.WaitReason(j)
		}
	})
	if waiting != "" {
		return api.Explanation{Subject: "job " + id, State: api.JobQueued,
			Reasons: []api.Reason{{Code: "quota", Text: waiting}}}, nil
	}
	q.d.zone.View(func(s *zone.State) {
		j := s.Jobs[id]
		switch {
		case j == nil:
			err = operator.ErrNotFound
		case index < 0:
			out = q.explainTasks(s, "job "+id, j)
		case j.Tasks[index] == nil:
			err = operator.ErrNotFound
		default:
			t := j.Tasks[index]
			out = api.Explanation{Subject: fmt.Sprintf("task %s/%d", id, index), State: t.State.String(), Reasons: []api.Reason{}}
			if t.State == zone.TaskPending {
				out.Reasons = placementReasons(s, j)
			} else if t.Reason != "" {
				out.Reasons = append(out.Reasons, api.Reason{Code: "outcome", Text: t.Reason})
			}
		}
	})
	return out, err
}

func (q queries) explainTasks(s *zone.State, subject string, j *zone.Job) api.Explanation {
	counts := map[zone.TaskState]int{}
	for _, t := range j.Tasks {
		counts[t.State]++
	}
	out := api.Explanation{Subject: subject, State: "running", Reasons: []api.Reason{}}
	if counts[zone.TaskPending] > 0 {
		out.State = "pending"
		out.Reasons = placementReasons(s, j)
	}
	if j.Parked != "" {
		out.State = api.JobParked
		out.Reasons = append(out.Reasons, api.Reason{Code: "parked", Text: j.Parked})
	}
	for _, state := range []zone.TaskState{zone.TaskPending, zone.TaskBound, zone.TaskEnded, zone.TaskReleased} {
		if counts[state] > 0 {
			out.Reasons = append(out.Reasons, api.Reason{Code: "tasks", Text: state.String() + " tasks", Count: counts[state]})
		}
	}
	return out
}

// placementReasons counts the workers that can take a task of the job and, by reason, those that cannot.
func placementReasons(s *zone.State, j *zone.Job) []api.Reason {
	if !s.Policy.InService {
		return []api.Reason{{Code: "zone-out", Text: "zone is out of service"}}
	}
	counts := map[string]int{}
	for _, w := range s.Workers {
		counts[infeasibleReason(s, w, &j.Spec)]++
	}
	var out []api.Reason
	for text, n := range counts {
		code := "infeasible"
		if text == "" {
			code, text = "feasible", "workers that could take the task"
		}
		out = append(out, api.Reason{Code: code, Text: text, Count: n})
	}
	return out
}

func infeasibleReason(s *zone.State, w *zone.Worker, spec *record.JobSpec) string {
	if w.State != record.WorkerUsable {
		return "worker is " + w.State.String()
	}
	if limiting := spec.Size.Limiting(w.Free()); limiting != "" {
		return "too little free " + limiting
	}
	if class := s.Excluded(w, spec.Class); class != "" {
		return "sharing rule with class " + class
	}
	return ""
}
