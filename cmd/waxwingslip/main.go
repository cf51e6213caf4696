// Command waxwingslip is the command-line tool for operators of waxwingslip.
package main

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"

	"github.com/google/subcommands"
)

// registerGroups registers all commands and groups of commands.
func registerGroups(c *subcommands.Commander, a *app) {
	c.Register(configGroup(a), "")
	c.Register(zoneGroup(a), "")
	c.Register(jobGroup(a), "")
	c.Register(taskGroup(a), "")
	c.Register(workerGroup(a), "")
	c.Register(statusCommand(a), "")
	c.Register(explainCommand(a), "")
	c.Register(&devCommand{out: a.stdout, errOut: a.stderr}, "trials")
	registerStandin(c)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := newApp(os.Getenv, os.Stdout, os.Stderr).execute(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// execute runs one command line and returns the exit code.
func (a *app) execute(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("waxwingslip", flag.ContinueOnError)
	flags.SetOutput(a.stderr)
	a.setFlags(flags)
	c := newCommander(flags, "waxwingslip", a.stdout, a.stderr)
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	registerGroups(c, a)
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if err := a.validateFlags(); err != nil {
		return a.reportError(err)
	}
	return int(c.Execute(ctx))
}

func newCommander(flags *flag.FlagSet, name string, stdout, stderr io.Writer) *subcommands.Commander {
	c := subcommands.NewCommander(flags, name)
	c.Output, c.Error = stdout, stderr
	return c
}
