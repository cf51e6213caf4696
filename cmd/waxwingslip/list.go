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

const maxListed = 1_000_000

func (l *limitFlag) flag(f *flag.FlagSet) {
	f.IntVar(&l.n, "limit", api.DefaultLimit, "largest `number` of entries")
}

func (l *limitFlag) check() error {
	if l.n < 1 || l.n > maxListed {
		return usagef("-limit is %d, allowed are 1 to %d", l.n, maxListed)
	}
	return nil
}

func (a *app) noteMore(next string) {
	if next != "" {
		a.progress("there are more entries, raise -limit")
	}
}

// page is one part of a zone's list.
type page[T any] struct {
	zone    string
	entries []T
	next    string
}

// listZones collects entries from one daemon of every zone, because a daemon knows the tasks and workers of
// its own zone only. A non-empty zone selects one zone.
func listZones[T any](ctx context.Context, a *app, zone string, limit int,
	get func(ctx context.Context, c *api.Client, limit int, after string) (page[T], error)) (list []T, next string, err error) {
	pool, err := a.pool()
	if err != nil {
		return nil, "", err
	}
	list = []T{}
	var seen []string
	var failed error
	for _, c := range pool.Clients() {
		entries, from, more, err := listZone(ctx, c, limit-len(list), seen, get)
		var call *api.Error
		if errors.As(err, &call) && call.Status == http.StatusMisdirectedRequest {
			continue
		}
		if err != nil {
			failed = err
			a.progress("%v", err)
			continue
		}
		if slices.Contains(seen, from) {
			continue
		}
		seen, list = append(seen, from), append(list, entries...)
		if more != "" {
			next = more
		}
		if zone != "" || len(list) >= limit {
			break
		}
	}
	switch {
	case len(seen) > 0:
		return list, next, nil
	case failed != nil:
		return nil, "", failed
	}
	return nil, "", exitf(exitNotFound, "none of the daemons of -daemon serves zone %q", zone)
}

// listZone reads the pages of one daemon, unless its zone was seen before.
func listZone[T any](ctx context.Context, c *api.Client, limit int, seen []string,
	get func(ctx context.Context, c *api.Client, limit int, after string) (page[T], error)) (list []T, zone, next string, err error) {
	for {
		p, err := get(ctx, c, min(limit-len(list), api.DefaultLimit), next)
		if err != nil || slices.Contains(seen, p.zone) {
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
			limit.flag(f)
		},
		run: func(ctx context.Context, _ []string) error {
			if err := limit.check(); err != nil {
				return err
			}
			tasks, next, err := listZones(ctx, a, q.Zone, limit.n,
				func(ctx context.Context, c *api.Client, n int, after string) (page[api.Task], error) {
					one := q
					one.Limit, one.After = n, after
					t, err := c.Tasks(ctx, one)
					return page[api.Task]{t.Zone, t.Tasks, t.Next}, err
				})
			if err != nil {
				return err
			}
			a.noteMore(next)
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
