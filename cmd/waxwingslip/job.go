package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/node/operator/api"
)

func jobGroup(a *app) subcommands.Command {
	return &group{app: a, name: "job", synopsis: "submit, show and cancel batch jobs",
		commands: []subcommands.Command{jobSubmit(a), jobStatus(a), jobCancel(a)}}
}

func jobSubmit(a *app) subcommands.Command {
	var id commandID
	var jobID, zone string
	var dryRun bool
	return &command{app: a, name: "submit", args: "FILE", minArgs: 1, maxArgs: 1, synopsis: "submit a batch job",
		detail: "  The first job of an id is accepted; submitting the same job again changes nothing.\n",
		flags: func(f *flag.FlagSet) {
			id.register(f)
			f.StringVar(&jobID, "id", "", "job `id` instead of the one in the file")
			f.StringVar(&zone, "zone", "", "`zone` where the job is admitted first; default is the daemon's choice")
			f.BoolVar(&dryRun, "dry-run", false, "check the job against the current configuration and submit nothing")
		},
		run: func(ctx context.Context, args []string) error {
			data, err := readDocument(args[0])
			if err != nil {
				return err
			}
			spec, err := environment.ParseJob(data, jobID)
			if err != nil {
				return withFileName(args[0], err)
			}
			if dryRun {
				return jobDryRun(ctx, a, spec)
			}
			cmdID, err := id.resolve(a)
			if err != nil {
				return err
			}
			_, err = a.sendCommand(ctx, cmdID, func(ctx context.Context, c *api.Client) (api.Answer, error) {
				return c.SubmitJob(ctx, api.SubmitJob{Command: cmdID, Job: spec, Zone: zone})
			})
			if err == nil {
				a.printMessage("job %s: accepted, %d tasks", spec.ID, spec.Tasks)
			}
			return err
		}}
}

func jobDryRun(ctx context.Context, a *app, spec record.JobSpec) error {
	c, err := fetchConfig(ctx, a, 0)
	if err != nil {
		return err
	}
	doc, err := environment.Parse([]byte(c.Document))
	if err != nil {
		return err
	}
	if problems := environment.CheckJob(doc, spec); len(problems) > 0 {
		return answerError(api.Answer{Result: api.Rejected, Problems: problems,
			Reason: fmt.Sprintf("job %s can never run under version %d", spec.ID, c.Version)})
	}
	a.printMessage("job %s is valid under version %d", spec.ID, c.Version)
	return nil
}

func jobCancel(a *app) subcommands.Command {
	var id commandID
	return &command{app: a, name: "cancel", args: "JOB", minArgs: 1, maxArgs: 1, synopsis: "cancel a batch job",
		flags: id.register,
		run: func(ctx context.Context, args []string) error {
			cmdID, err := id.resolve(a)
			if err != nil {
				return err
			}
			_, err = a.sendCommand(ctx, cmdID, func(ctx context.Context, c *api.Client) (api.Answer, error) {
				return c.CancelJob(ctx, api.CancelJob{Command: cmdID, Job: args[0]})
			})
			if err == nil {
				a.printMessage("job %s: cancellation accepted", args[0])
			}
			return err
		}}
}

func jobStatus(a *app) subcommands.Command {
	var q api.JobsQuery
	var limit limitFlag
	return &command{app: a, name: "status", args: "[JOB]", maxArgs: 1, synopsis: "show one job, or list jobs",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&q.Team, "team", "", "list jobs of this `team` only")
			f.StringVar(&q.State, "state", "", "list jobs in this `state` only: queued, active, parked, finished or cancelled")
			limit.register(f)
		},
		run: func(ctx context.Context, args []string) error {
			if len(args) == 1 {
				return showJob(ctx, a, args[0])
			}
			if err := limit.validate(); err != nil {
				return err
			}
			return listJobs(ctx, a, q, limit.n)
		}}
}
