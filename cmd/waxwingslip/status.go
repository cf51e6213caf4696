package main

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"waxwingslip.example/node/operator/api"
)

func statusCommand(a *app) subcommands.Command {
	return &command{app: a, name: "status", synopsis: "show the state of every daemon of -daemon",
		run: func(ctx context.Context, _ []string) error {
			pool, err := a.clientPool()
			if err != nil {
				return err
			}
			list := []api.Status{}
			var lastErr error
			for _, c := range pool.Clients() {
				s, err := c.Status(ctx)
				if err != nil {
					lastErr = err
					a.printProgress("%v", err)
					continue
				}
				list = append(list, s)
			}
			if err := a.printStatus(list); err != nil {
				return err
			}
			if lastErr != nil {
				return exitf(exitFailed, "%d of %d daemons did not answer", len(pool.Clients())-len(list), len(pool.Clients()))
			}
			return nil
		}}
}

func (a *app) printStatus(list []api.Status) error {
	rows := make([][]any, 0, len(list))
	for _, s := range list {
		rows = append(rows, []any{s.Daemon, s.Environment, s.Zone, s.ConfigVersion, yesNo(s.MayStart), yesNo(s.Draining),
			len(s.Shards), len(s.Members), formatAge(s.ControlAgeMs), formatAge(s.ZoneAgeMs), len(s.Alarms)})
	}
	err := a.print(list, []any{"DAEMON", "ENVIRONMENT", "ZONE", "VERSION", "MAY START", "DRAINING", "SHARDS", "MEMBERS",
		"CONTROL AGE", "ZONE AGE", "ALARMS"}, rows)
	if err != nil || a.output == "json" {
		return err
	}
	for _, s := range list {
		for _, alarm := range s.Alarms {
			fmt.Fprintf(a.stdout, "alarm %s at %s for %d s: %s\n", alarm.Name, s.Daemon, alarm.SinceSeconds, alarm.Detail)
		}
	}
	return nil
}

func explainCommand(a *app) subcommands.Command {
	return &command{app: a, name: "explain", args: "job ID [INDEX] | worker ID | service NAME", minArgs: 2, maxArgs: 3,
		synopsis: "say why a job, task, worker or service is in its state, and what slowed it down",
		run: func(ctx context.Context, args []string) error {
			q, err := parseExplainArgs(args)
			if err != nil {
				return err
			}
			list, err := queryExplanations(ctx, a, q)
			if err != nil {
				return err
			}
			return a.printExplanations(list)
		}}
}

// explanation is the response of one daemon to an explain query.
type explanation struct {
	Daemon string `json:"daemon"`
	api.Explanation
}

// queryExplanations returns the distinct explanations of all daemons of -daemon: the state of tasks and workers is held
// in their own zone, and each daemon measures the requests that it serves.
func queryExplanations(ctx context.Context, a *app, q api.ExplainQuery) ([]explanation, error) {
	all, err := queryAll(ctx, a, func(ctx context.Context, c *api.Client) (explanation, error) {
		e, err := c.Explain(ctx, q)
		return explanation{Daemon: c.Address(), Explanation: e}, err
	})
	var list []explanation
	for _, e := range all {
		same := func(o explanation) bool { return reflect.DeepEqual(o.Explanation, e.Explanation) }
		if !slices.ContainsFunc(list, same) {
			list = append(list, e)
		}
	}
	return list, err
}

func parseExplainArgs(args []string) (api.ExplainQuery, error) {
	q := api.ExplainQuery{Index: -1}
	switch {
	case args[0] == "job":
		q.Job = args[1]
		if len(args) == 3 {
			n, err := strconv.ParseInt(args[2], 10, 32)
			if err != nil || n < 0 {
				return q, usagef("task index is %q, must be a number from 0", args[2])
			}
			q.Index = int(n)
		}
	case args[0] == "worker" && len(args) == 2:
		q.Worker = args[1]
	case args[0] == "service" && len(args) == 2:
		q.Service = args[1]
	default:
		return q, usagef("explain needs job ID [INDEX], worker ID or service NAME")
	}
	return q, nil
}

func (a *app) printExplanations(list []explanation) error {
	var rows [][]any
	for _, e := range list {
		rows = append(rows, []any{"daemon", e.Daemon})
		rows = append(rows, explanationRows(e.Explanation)...)
	}
	return a.print(list, nil, rows)
}

func explanationRows(e api.Explanation) [][]any {
	rows := [][]any{{"subject", e.Subject}, {"state", e.State}}
	for _, r := range e.Reasons {
		text := r.Text
		if r.Count > 0 {
			text = fmt.Sprintf("%s (%d)", r.Text, r.Count)
		}
		rows = append(rows, []any{"reason " + r.Code, text})
	}
	if v := e.Verdict; v != nil {
		rows = append(rows, []any{"cause of slowdown", fmt.Sprintf("%s, from %d requests", v.Cause, v.Requests)})
		for _, ev := range v.Evidence {
			rows = append(rows, []any{"evidence " + ev.Name, evidenceText(ev)})
		}
	}
	return rows
}

// evidenceText formats one measurement. An expected value of 0 means that there is no expectation.
func evidenceText(ev api.Evidence) string {
	text := strings.TrimSpace(fmt.Sprintf("%g %s", ev.Observed, ev.Unit))
	if ev.Expected != 0 {
		text += fmt.Sprintf(", expected %g %s", ev.Expected, ev.Unit)
	}
	if ev.Detail != "" {
		text += " (" + ev.Detail + ")"
	}
	return text
}
