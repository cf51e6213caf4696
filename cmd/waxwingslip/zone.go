package main

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"

	"waxwingslip.example/core/environment"
)

// defaultDrainTimeout allows for the limited rate at which batch tasks are moved.
const defaultDrainTimeout = 15 * time.Minute

func zoneGroup(a *app) subcommands.Command {
	return &group{app: a, name: "zone", synopsis: "take zones out of service and put them back",
		commands: []subcommands.Command{zoneSet(a, "out", false), zoneSet(a, "in", true), zoneList(a)}}
}

func zoneSet(a *app, name string, inService bool) subcommands.Command {
	var p publishFlags
	synopsis, condition, timeout := "take a zone out of service", "the zone holds no batch task", defaultDrainTimeout
	if inService {
		synopsis, condition, timeout = "put a zone back in service", "the configuration is in force in every zone",
			defaultInForceTimeout
	}
	return &command{app: a, name: name, args: "ZONE", minArgs: 1, maxArgs: 1, synopsis: synopsis,
		detail: "  The current document is published again with only this field of the zone changed.\n",
		flags:  func(f *flag.FlagSet) { p.register(f, timeout, condition) },
		run: func(ctx context.Context, args []string) error {
			if p.dryRun {
				return zoneDryRun(ctx, a, args[0], inService)
			}
			id, err := p.id.resolve(a)
			if err != nil {
				return err
			}
			answer, err := sendZoneService(ctx, a, id, args[0], inService)
			if err != nil {
				return err
			}
			a.printMessage("published version %d", answer.Version)
			switch {
			case !p.wait:
				return nil
			case inService:
				return waitInForce(ctx, a, answer.Version, p.timeout)
			}
			return waitDrained(ctx, a, args[0], answer.Version, p.timeout)
		}}
}

func zoneDryRun(ctx context.Context, a *app, zone string, inService bool) error {
	c, err := fetchConfig(ctx, a, 0)
	if err != nil {
		return err
	}
	old, err := environment.Parse([]byte(c.Document))
	if err != nil {
		return err
	}
	edited, err := environment.SetZone([]byte(c.Document), zone, !inService)
	if err != nil {
		return exitf(exitRejected, "%v", err)
	}
	doc, err := environment.Parse(edited)
	if err != nil {
		return err
	}
	return a.printChanges(environment.Diff(old, doc))
}

func zoneList(a *app) subcommands.Command {
	return &command{app: a, name: "list", synopsis: "list zones with their load",
		run: func(ctx context.Context, _ []string) error {
			all, err := fetchZones(ctx, a)
			if err != nil {
				return err
			}
			var rows [][]any
			for _, z := range all.Zones {
				rows = append(rows, []any{z.Name, z.Region, yesNo(z.InService), yesNo(z.Drained), z.ConfigVersion, z.Members,
					z.Usable, z.Workers, z.ServiceTasks, z.BatchTasks, z.PendingTasks, formatUsage(z.Reserved, z.Capacity),
					formatAge(z.AgeMs)})
			}
			return a.print(all, []any{"ZONE", "REGION", "IN SERVICE", "DRAINED", "VERSION", "DAEMONS", "USABLE", "WORKERS",
				"SERVICE", "BATCH", "PENDING", "RESERVED", "AGE"}, rows)
		}}
}
