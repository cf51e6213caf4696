package main

import (
	"context"
	"flag"
	"fmt"
	"slices"

	"github.com/google/subcommands"

	"waxwingslip.example/node/operator/api"
)

func workerGroup(a *app) subcommands.Command {
	return &group{app: a, name: "worker", synopsis: "list workers and attest their loss",
		commands: []subcommands.Command{workerList(a), workerLost(a)}}
}

func workerList(a *app) subcommands.Command {
	var q api.WorkersQuery
	var limit limitFlag
	return &command{app: a, name: "list", synopsis: "list workers of the zones of the daemons of -daemon",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&q.Zone, "zone", "", "list workers of this `zone` only")
			f.StringVar(&q.State, "state", "", "list workers in this `state` only: usable, quarantined, leaving or unreachable")
			limit.register(f)
		},
		run: func(ctx context.Context, _ []string) error {
			if err := limit.validate(); err != nil {
				return err
			}
			workers, next, err := listAcrossZones(ctx, a, q.Zone, limit.n,
				func(ctx context.Context, c *api.Client, n int, after string) (page[api.Worker], error) {
					pageQuery := q
					pageQuery.Limit, pageQuery.After = n, after
					w, err := c.Workers(ctx, pageQuery)
					return page[api.Worker]{w.Zone, w.Workers, w.Next}, err
				})
			if err != nil {
				return err
			}
			a.noteTruncated(next)
			rows := make([][]any, 0, len(workers))
			for _, w := range workers {
				rows = append(rows, []any{w.Zone, w.ID, w.Rack, w.State, w.Tasks, formatUsage(w.Reserved, w.Capacity), w.Shard,
					orDash(w.Owner), formatAge(w.ReportAgeMs), orDash(w.Reason)})
			}
			return a.print(workers, []any{"ZONE", "WORKER", "RACK", "STATE", "TASKS", "RESERVED", "SHARD", "OWNER", "HEARD",
				"REASON"}, rows)
		}}
}

func workerLost(a *app) subcommands.Command {
	var id commandID
	var vmIsGone bool
	return &command{app: a, name: "lost", args: "ZONE WORKER", minArgs: 2, maxArgs: 2,
		synopsis: "attest that a worker's VM is gone, so that its tasks resume elsewhere at once",
		detail: "  Attest only what is certain: if the VM still runs, its tasks run in two places. A VM that is cut\n" +
			"  off or slow is not gone.\n",
		flags: func(f *flag.FlagSet) {
			id.register(f)
			f.BoolVar(&vmIsGone, "vm-is-gone", false, "required: states that the VM was stopped or deleted and runs nothing")
		},
		run: func(ctx context.Context, args []string) error {
			if !vmIsGone {
				return usagef("worker lost needs -vm-is-gone: confirm that VM %s was stopped or deleted", args[1])
			}
			cmdID, err := id.resolve(a)
			if err != nil {
				return err
			}
			if err := checkWorkerExists(ctx, a, args[0], args[1]); err != nil {
				return err
			}
			_, err = a.sendCommand(ctx, cmdID, func(ctx context.Context, c *api.Client) (api.Answer, error) {
				return c.WorkerLost(ctx, api.WorkerLost{Command: cmdID, Zone: args[0], Worker: args[1], Author: a.author})
			})
			if err == nil {
				a.printMessage("worker %s: attested as lost", args[1])
			}
			return err
		}}
}

// checkWorkerExists guards against a mistyped name. If no daemon of the zone answers, which is likely in the very case
// that needs an attestation, it skips the check.
func checkWorkerExists(ctx context.Context, a *app, zone, id string) error {
	workers, _, err := listAcrossZones(ctx, a, zone, maxListEntries,
		func(ctx context.Context, c *api.Client, n int, after string) (page[api.Worker], error) {
			w, err := c.Workers(ctx, api.WorkersQuery{Zone: zone, Limit: n, After: after})
			return page[api.Worker]{w.Zone, w.Workers, w.Next}, err
		})
	if err != nil {
		a.printProgress("no daemon of zone %s answers, the name of the worker is not checked", zone)
		return nil
	}
	if !slices.ContainsFunc(workers, func(w api.Worker) bool { return w.ID == id }) {
		return exitf(exitNotFound, "zone %s has no worker %q; nothing was changed", zone, id)
	}
	return nil
}

func formatPercent(n int64) string { return fmt.Sprintf("%d%%", n) }
