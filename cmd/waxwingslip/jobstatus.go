package main

import (
	"context"
	"slices"
	"strings"

	"waxwingslip.example/node/operator/api"
)

// queryPerZone queries all daemons of -daemon and returns one result for each of their zones.
func queryPerZone[T any](ctx context.Context, a *app, call func(context.Context, *api.Client) (T, error)) ([]T, error) {
	type zoneResult struct {
		zone  string
		value T
	}
	responses, err := queryAll(ctx, a, func(ctx context.Context, c *api.Client) (zoneResult, error) {
		status, err := c.Status(ctx)
		if err != nil {
			return zoneResult{}, err
		}
		value, err := call(ctx, c)
		return zoneResult{status.Zone, value}, err
	})
	var seenZones []string
	var list []T
	for _, response := range responses {
		if !slices.Contains(seenZones, response.zone) {
			seenZones, list = append(seenZones, response.zone), append(list, response.value)
		}
	}
	return list, err
}

// addZoneCounts adds the pending and running tasks that another zone counts, and takes over its parked state. The other
// fields come from the control stream and are the same in every zone.
func addZoneCounts(sum *api.JobSummary, other api.JobSummary) {
	sum.Pending += other.Pending
	sum.Running += other.Running
	if other.State == api.JobParked && sum.State != api.JobParked {
		sum.State, sum.Reason = other.State, other.Reason
	}
}

func showJob(ctx context.Context, a *app, id string) error {
	list, err := queryPerZone(ctx, a, func(ctx context.Context, c *api.Client) (api.Job, error) { return c.Job(ctx, id) })
	if err != nil {
		return err
	}
	j := list[0]
	for _, other := range list[1:] {
		addZoneCounts(&j.JobSummary, other.JobSummary)
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
	list, err := queryPerZone(ctx, a, func(ctx context.Context, c *api.Client) (api.Jobs, error) {
		return fetchJobs(ctx, c, q, limit)
	})
	if err != nil {
		return err
	}
	merged := mergeJobs(list)
	rows := make([][]any, 0, len(merged.Jobs))
	for _, j := range merged.Jobs {
		rows = append(rows, []any{j.ID, j.Team, orDash(j.Class), j.State, j.Tasks, j.Pending, j.Running, j.Succeeded,
			j.Failed, j.Cancelled, orDash(j.Reason)})
	}
	a.noteTruncated(merged.Next)
	return a.print(merged, []any{"JOB", "TEAM", "CLASS", "STATE", "TASKS", "PENDING", "RUNNING", "SUCCEEDED", "FAILED",
		"CANCELLED", "REASON"}, rows)
}

// fetchJobs reads pages from one daemon until it has limit jobs or the list ends.
func fetchJobs(ctx context.Context, c *api.Client, q api.JobsQuery, limit int) (api.Jobs, error) {
	jobs := api.Jobs{Jobs: []api.JobSummary{}}
	for len(jobs.Jobs) < limit {
		q.Limit = min(limit-len(jobs.Jobs), api.DefaultLimit)
		page, err := c.Jobs(ctx, q)
		if err != nil {
			return jobs, err
		}
		jobs.Jobs, jobs.Next = append(jobs.Jobs, page.Jobs...), page.Next
		if q.After = page.Next; q.After == "" || len(page.Jobs) == 0 {
			break
		}
	}
	return jobs, nil
}

// mergeJobs merges the lists of several zones. It keeps the order of the first list and appends the jobs that only
// others contain.
func mergeJobs(list []api.Jobs) api.Jobs {
	merged := api.Jobs{Jobs: []api.JobSummary{}}
	position := map[string]int{}
	for _, jobs := range list {
		if jobs.Next != "" {
			merged.Next = jobs.Next
		}
		for _, j := range jobs.Jobs {
			if i, known := position[j.ID]; known {
				addZoneCounts(&merged.Jobs[i], j)
				continue
			}
			position[j.ID] = len(merged.Jobs)
			merged.Jobs = append(merged.Jobs, j)
		}
	}
	return merged
}
