package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"waxwingslip.example/cmd/internal/dev"
)

// devCommand runs a trial environment in this process.
type devCommand struct {
	out, errOut io.Writer
	perZone     int
	verbose     bool
}

// Name implements subcommands.Command.
func (*devCommand) Name() string { return "dev" }

// Synopsis implements subcommands.Command.
func (*devCommand) Synopsis() string {
	return "run a trial environment with stand-ins in this process"
}

// Usage implements subcommands.Command.
func (*devCommand) Usage() string {
	return "dev [flags]\n\nStarts stand-ins of the platform and of 12 workers in three zones, and daemons for each zone, on free\nloopback ports. Runs until SIGINT or SIGTERM. Nothing is kept.\n"
}

// SetFlags implements subcommands.Command.
func (d *devCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&d.perZone, "daemons", 2, "daemons in each zone, 1 to 5")
	f.BoolVar(&d.verbose, "v", false, "print the daemons' logs")
}

// Execute implements subcommands.Command.
func (d *devCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || d.perZone < 1 || d.perZone > 5 {
		fmt.Fprintf(d.errOut, "dev: takes no arguments, and -daemons is %d, allowed are 1 to 5\n", d.perZone)
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := d.run(ctx); err != nil {
		fmt.Fprintln(d.errOut, "dev:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (d *devCommand) run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "waxwingslip-dev-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	level := zerolog.Disabled
	if d.verbose {
		level = zerolog.InfoLevel
	}
	trial, err := dev.Start(ctx, dev.Options{
		DaemonsPerZone: d.perZone, Dir: dir, Log: zerolog.New(d.errOut).Level(level).With().Timestamp().Logger(),
	})
	if err != nil {
		return err
	}
	defer trial.Close()
	d.print(trial)
	<-ctx.Done()
	fmt.Fprintln(d.out, "stopping")
	return nil
}

func (d *devCommand) print(t *dev.Trial) {
	fmt.Fprintln(d.out, "daemon       callers                operators              health")
	for _, daemon := range t.Daemons {
		fmt.Fprintf(d.out, "%-12s %-22s %-22s %s\n", daemon.Name, daemon.Addresses.Callers, daemon.Addresses.Operators,
			daemon.Addresses.Health)
	}
	first := t.Daemons[0].Addresses
	var operators []string
	zones := map[string]bool{}
	for _, daemon := range t.Daemons {
		if !zones[daemon.Zone] {
			zones[daemon.Zone] = true
			operators = append(operators, "http://"+daemon.Addresses.Operators)
		}
	}
	fmt.Fprintf(d.out, `
Replicas of the service "hello" start within some seconds. In another terminal, try:

  curl -i http://%s/services/hello/greet

  export WAXWINGSLIP_DAEMONS=%s WAXWINGSLIP_TOKEN_FILE=%s
  go run ./cmd/waxwingslip status
  go run ./cmd/waxwingslip worker list
  go run ./cmd/waxwingslip zone out south-a
  go run ./cmd/waxwingslip zone in south-a

Press Ctrl-C to stop.
`, first.Callers, strings.Join(operators, ","), t.TokenFile)
}
