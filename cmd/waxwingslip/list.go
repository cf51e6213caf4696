package main

import (
	"context"
	"flag"
	"net/http"
	"slices"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"waxwingslip.example/node/operator/api"
)

// limitFlag is the flag -limit of listing commands.
type limitFlag struct{ n int }

const maxListEntries = 1_000_000

func (l *limitFlag) register(f *flag.FlagSet) {
	f.IntVar(&l.n, "limit", api.DefaultLimit, "largest `number` of entries")
}

func (l *limitFlag) validate() error {
	if l.n < 1 || l.n > maxListEntries {
		return usagef("-limit is %d, allowed are 1 to %d", l.n, maxListEntries)
	}
	return nil
}

// noteTruncated prints a note if there is a page after the last one printed.
func (a *app) noteTruncated(nextPage string) {
	if nextPage != "" {
		a.printProgress("there are more entries, raise -limit")
	}
}

// page is one page of a zone's list. An empty next means that it is the last one.
type page[T any] struct {
	zone    string
	entries []T
	next    string
}

// listAcrossZones collects entries from one daemon of every zone, because a daemon lists the tasks and workers of its
// own zone only. A non-empty zone selects one zone.
func listAcrossZones[T any](ctx context.Context, a *app, zone string, limit int,
	fetchPage func(ctx context.Context, c *api.Client, limit int, after string) (page[T], error),
) (list []T, next string, err error) {
	pool, err := a.clientPool()
	if err != nil {
		return nil, "", err
	}
	list = []T{}
	var seenZones []string
	var lastErr error
	for _, c := range pool.Clients() {
		entries, zoneName, more, err := listZone(ctx, c, limit-len(list), seenZones, fetchPage)
		var apiErr *api.Error
		if errors.As(err, &apiErr) && apiErr.Status == http.StatusMisdirectedRequest {
			continue
		}
		if err != nil {
			lastErr = err
			a.printProgress("%v", err)
			continue
		}
		if slices.Contains(seenZones, zoneName) {
			continue
		}
		seenZones, list = append(seenZones, zoneName), append(list, entries...)
		if more != "" {
			next = more
		}
		if zone != "" || len(list) >= limit {
			break
		}
	}
	switch {
	case len(seenZones) > 0:
		return list, next, nil
	case lastErr != nil:
		return nil, "", lastErr
	}
	return nil, "", exitf(exitNotFound, "none of the daemons of -daemon serves zone %q", zone)
}

// listZone reads the pages of one daemon, unless its zone is among seenZones.
func listZone[T any](ctx context.Context, c *api.Client, limit int, seenZones []string,
	fetchPage func(ctx context.Context, c *api.Client, limit int, after string) (page[T], error),
) (list []T, zone, next string, err error) {
	for {
		p, err := fetchPage(ctx, c, min(limit-len(list), api.DefaultLimit), next)
		if err != nil || slices.Contains(seenZones, p.zone) {
			return nil, p.zone, "", err
		}
		list, next = append(list, p.entries...), p.next
		if next == "" || len(p.entries) == 0 || len(list) >= limit {
			return list, p.zone, next, nil
		}
	}
}

func taskGroup(a *app) subcommands.Command {
	return &group{app: a, name: "task", synopsis: "list tasks", commands: []subcommands.Command{taskList(a)}}
}

func taskList(a *app) subcommands.Command {
	var q api.TasksQuery
	var limit limitFlag
	return &command{app: a, name: "list", synopsis: "list tasks of the zones of the daemons of -daemon",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&q.Zone, "zone", "", "list tasks of this `zone` only")
			f.StringVar(&q.Job, "job", "", "list tasks of this `job` only")
			f.StringVar(&q.Worker, "worker", "", "list tasks of this `worker` only")
			f.StringVar(&q.State, "state", "", "list tasks in this `state` only: pending, bound, running, ended or released")
			limit.register(f)
		},
		run: func(ctx context.Context, _ []string) error {
			if err := limit.validate(); err != nil {
				return err
			}
			tasks, next, err := listAcrossZones(ctx, a, q.Zone, limit.n,
				func(ctx context.Context, c *api.Client, n int, after string) (page[api.Task], error) {
					pageQuery := q
					pageQuery.Limit, pageQuery.After = n, after
					t, err := c.Tasks(ctx, pageQuery)
					return page[api.Task]{t.Zone, t.Tasks, t.Next}, err
				})
			if err != nil {
				return err
			}
			a.noteTruncated(next)
			return a.printTasks(tasks)
		}}
}

func (a *app) printTasks(tasks []api.Task) error {
	rows := make([][]any, 0, len(tasks))
	for _, t := range tasks {
		throttle := "-"
		if t.ThrottlePercent > 0 {
			throttle = formatPercent(t.ThrottlePercent)
		}
		rows = append(rows, []any{t.Zone, t.Job, t.Index, t.Epoch, t.State, orDash(t.Worker), orDash(t.Address),
			t.Evictions, throttle, orDash(t.Reason)})
	}
	return a.print(tasks, []any{"ZONE", "JOB", "INDEX", "EPOCH", "STATE", "WORKER", "ADDRESS", "EVICTIONS", "THROTTLED TO",
		"REASON"}, rows)
}
