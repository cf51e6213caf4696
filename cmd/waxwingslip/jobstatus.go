package main

import (
	"context"
	"slices"
	"strings"

	"waxwingslip.example/node/operator/api"
)

// perZone asks all named daemons and returns one answer for each of their zones.
func perZone[T any](ctx context.Context, a *app, call func(context.Context, *api.Client) (T, error)) ([]T, error) {
	type answer struct {
		zone  string
		value T
	}
	all, err := gather(ctx, a, func(ctx context.Context, c *api.Client) (answer, error) {
		status, err := c.Status(ctx)
		if err != nil {
			return answer{}, err
		}
		value, err := call(ctx, c)
		return answer{status.Zone, value}, err
	})
	var seen []string
	var list []T
	for _, one := range all {
		if !slices.Contains(seen, one.zone) {
			seen, list = append(seen, one.zone), append(list, one.value)
		}
	}
	return list, err
}

// addZone adds the tasks that another zone counts. The other figures come from the control stream and are the
// same everywhere.
func addZone(sum *api.JobSummary, other api.JobSummary) {
	sum.Pending += other.Pending
	sum.Running += other.Running
	if other.State == api.JobParked && sum.State != api.JobParked {
		sum.State, sum.Reason = other.State, other.Reason
	}
}

func showJob(ctx context.Context, a *app, id string) error {
	list, err := perZone(ctx, a, func(ctx context.Context, c *api.Client) (api.Job, error) { return c.Job(ctx, id) })
	if err != nil {
		return err
	}
	j := list[0]
	for _, other := range list[1:] {
		addZone(&j.JobSummary, other.JobSummary)
	}
	rows := [][]any{{"job", j.ID}, {"team", j.Team}, {"class", orDash(j.Class)}, {"state", j.State},
		{"tasks", j.Tasks}, {"pending", j.Pending}, {"running", j.Running}, {"succeeded", j.Succeeded},
		{"failed", j.Failed}, {"cancelled", j.Cancelled}, {"size of a task", j.Spec.Size},
		{"zones", orDash(strings.Join(j.Zones, " "))}}
	if j.QueuePosition > 0 {
		rows = append(rows, []any{"position in queue", j.QueuePosition})
	}
	if j.Reason != "" {
		rows = append(rows, []any{"reason", j.Reason})
	}
	return a.print(j, nil, rows)
}

func listJobs(ctx context.Context, a *app, q api.JobsQuery, limit int) error {
	list, err := perZone(ctx, a, func(ctx context.Context, c *api.Client) (api.Jobs, error) {
		return allJobs(ctx, c, q, limit)
	})
	if err != nil {
		return err
	}
	all := mergeJobs(list)
	rows := make([][]any, 0, len(all.Jobs))
	for _, j := range all.Jobs {
		rows = append(rows, []any{j.ID, j.Team, orDash(j.Class), j.State, j.Tasks, j.Pending, j.Running, j.Succeeded,
			j.Failed, j.Cancelled, orDash(j.Reason)})
	}
	a.noteMore(all.Next)
	return a.print(all, []any{"JOB", "TEAM", "CLASS", "STATE", "TASKS", "PENDING", "RUNNING", "SUCCEEDED", "FAILED",
		"CANCELLED", "REASON"}, rows)
}

// allJobs reads pages from one daemon up to limit jobs.
func allJobs(ctx context.Context, c *api.Client, q api.JobsQuery, limit int) (api.Jobs, error) {
	all := api.Jobs{Jobs: []api.JobSummary{}}
	for len(all.Jobs) < limit {
		q.Limit = min(limit-len(all.Jobs), api.DefaultLimit)
		page, err := c.Jobs(ctx, q)
		if err != nil {
			return all, err
		}
		all.Jobs, all.Next = append(all.Jobs, page.Jobs...), page.Next
		if q.After = page.Next; q.After == "" || len(page.Jobs) == 0 {
			break
		}
	}
	return all, nil
}

// mergeJobs keeps the order of the first answer; jobs that only another zone lists follow.
func mergeJobs(list []api.Jobs) api.Jobs {
	merged := api.Jobs{Jobs: []api.JobSummary{}}
	place := map[string]int{}
	for _, answer := range list {
		if answer.Next != "" {
			merged.Next = answer.Next
		}
		for _, j := range answer.Jobs {
			if i, known := place[j.ID]; known {
				addZone(&merged.Jobs[i], j)
				continue
			}
			place[j.ID] = len(merged.Jobs)
			merged.Jobs = append(merged.Jobs, j)
		}
	}
	return merged
}
