package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"waxwingslip.example/node/operator/api"
)

// command adapts a function to subcommands.Command.
type command struct {
	app      *app
	name     string
	args     string
	synopsis string
	detail   string
	// minArgs and maxArgs limit the number of arguments after the flags.
	minArgs, maxArgs int
	flags            func(*flag.FlagSet)
	run              func(ctx context.Context, args []string) error
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return fmt.Sprintf("%s [flags] %s\n  %s\n%s", c.name, c.args, c.synopsis, c.detail)
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < c.minArgs || f.NArg() > c.maxArgs {
		fmt.Fprintf(c.app.stderr, "%s: wrong number of arguments; flags stand before arguments\nusage: %s",
			c.name, c.Usage())
		return exitUsage
	}
	return subcommands.ExitStatus(c.app.reportError(c.run(ctx, f.Args())))
}

// group is a command whose first argument names a command of the group.
type group struct {
	app      *app
	name     string
	synopsis string
	commands []subcommands.Command
}

// Name implements subcommands.Command.
func (g *group) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *group) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *group) Usage() string {
	text := fmt.Sprintf("%s <command> ...\n  %s\n", g.name, g.synopsis)
	for _, c := range g.commands {
		text += fmt.Sprintf("  %-8s %s\n", c.Name(), c.Synopsis())
	}
	return text
}

// SetFlags implements subcommands.Command.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	c := newCommander(f, "waxwingslip "+g.name, g.app.stdout, g.app.stderr)
	c.Register(c.HelpCommand(), "")
	for _, sub := range g.commands {
		c.Register(sub, "")
	}
	return c.Execute(ctx, args...)
}

// commandID is the flag -command-id.
type commandID struct{ text string }

func (c *commandID) register(f *flag.FlagSet) {
	f.StringVar(&c.text, "command-id", "", "`UUID` of the command, to repeat one whose result is unknown")
}

// resolve returns the given id, or a new one if the flag is not set.
func (c *commandID) resolve(a *app) (uuid.UUID, error) {
	if c.text == "" {
		return a.newID(), nil
	}
	id, err := uuid.Parse(c.text)
	if err != nil || id == uuid.Nil {
		return id, usagef("-command-id is %q, must be a UUID", c.text)
	}
	return id, nil
}

// sendCommand sends a command to the daemons in turn until one returns a definite result. With -o json it prints the
// answer. It returns an error unless the command was accepted.
func (a *app) sendCommand(ctx context.Context, id uuid.UUID,
	call func(context.Context, *api.Client) (api.Answer, error)) (api.Answer, error) {
	pool, err := a.clientPool()
	if err != nil {
		return api.Answer{}, err
	}
	answer, err := pool.Command(ctx, call)
	if err != nil {
		return answer, err
	}
	answer.Command = id
	if a.output == "json" {
		if err := a.printJSON(answer); err != nil {
			return answer, err
		}
	}
	return answer, answerError(answer)
}

// query returns the response of the first daemon that can be reached.
func query[T any](ctx context.Context, a *app, call func(context.Context, *api.Client) (T, error)) (T, error) {
	pool, err := a.clientPool()
	if err != nil {
		var none T
		return none, err
	}
	return api.Query(ctx, pool, call)
}

// printMessage writes a progress or result line for people: to stdout, or to stderr if stdout carries JSON.
func (a *app) printMessage(format string, args ...any) {
	w := a.stdout
	if a.output == "json" {
		w = a.stderr
	}
	fmt.Fprintf(w, format+"\n", args...)
}

// printProgress writes a line about an operation in progress to stderr.
func (a *app) printProgress(format string, args ...any) {
	_, _ = io.WriteString(a.stderr, fmt.Sprintf(format, args...)+"\n")
}
