package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"waxwingslip.example/core/resource"
	"waxwingslip.example/standin/platformd"
	"waxwingslip.example/standin/workerd"
)

// registerStandin adds the command "standin" with its own subcommands.
func registerStandin(c *subcommands.Commander) {
	c.Register(&standinCommand{out: os.Stdout, errOut: os.Stderr}, "trials")
}

// standinCommand runs stand-ins of external systems.
type standinCommand struct {
	out, errOut io.Writer
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string {
	return "run a stand-in of the platform or of workers, for trials"
}

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return "standin platform|worker [flags]\n\nRuns until SIGINT or SIGTERM. Prints the bound addresses as one line of JSON.\n"
}

// SetFlags implements subcommands.Command.
func (*standinCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (s *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	flags.SetOutput(s.errOut)
	if err := flags.Parse(f.Args()); err != nil {
		return subcommands.ExitUsageError
	}
	c := subcommands.NewCommander(flags, "waxwingslip standin")
	c.Output, c.Error = s.out, s.errOut
	c.Register(&standinPlatform{standinCommand: s}, "")
	c.Register(&standinWorker{standinCommand: s}, "")
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return c.Execute(ctx)
}

// printAddresses prints the bound addresses as JSON, so that a caller can use port 0.
func (s *standinCommand) printAddresses(v any) error {
	return errors.Wrap(json.NewEncoder(s.out).Encode(v), "print addresses")
}

func (s *standinCommand) reportError(err error) subcommands.ExitStatus {
	fmt.Fprintln(s.errOut, err)
	return subcommands.ExitFailure
}

// standinPlatform runs a stand-in of the platform's log and list of VMs.
type standinPlatform struct {
	*standinCommand
	address string
}

// Name implements subcommands.Command.
func (*standinPlatform) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*standinPlatform) Synopsis() string { return "run the platform's log and list of VMs" }

// Usage implements subcommands.Command.
func (*standinPlatform) Usage() string { return "standin platform [-address IP:PORT]\n" }

// SetFlags implements subcommands.Command.
func (p *standinPlatform) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.address, "address", "127.0.0.1:0", "`IP:PORT` to listen at; port 0 picks a free one")
}

// platformAddresses is the output of "standin platform".
type platformAddresses struct {
	URL string `json:"url"`
}

// Execute implements subcommands.Command.
func (p *standinPlatform) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	server, err := platformd.Start(p.address)
	if err != nil {
		return p.reportError(err)
	}
	defer server.Close()
	if err := p.printAddresses(platformAddresses{URL: server.URL()}); err != nil {
		return p.reportError(err)
	}
	<-ctx.Done()
	return subcommands.ExitSuccess
}

// standinWorker runs stand-ins of worker VMs.
type standinWorker struct {
	*standinCommand
	address, ids, zone, rack, capacity, platform string
	usageLagMs                                   int64
}

// Name implements subcommands.Command.
func (*standinWorker) Name() string { return "worker" }

// Synopsis implements subcommands.Command.
func (*standinWorker) Synopsis() string { return "run worker VMs with simulated tasks and endpoints" }

// Usage implements subcommands.Command.
func (*standinWorker) Usage() string {
	return "standin worker -ids ID[,ID...] -zone ZONE [flags]\n"
}

const defaultCapacity = "slots=8,connections=64,milliCPU=64000,memoryMB=250000"

// SetFlags implements subcommands.Command.
func (w *standinWorker) SetFlags(f *flag.FlagSet) {
	f.StringVar(&w.address, "address", "127.0.0.1:0", "`IP:PORT` of the command interface; several workers need port 0")
	f.StringVar(&w.ids, "ids", "", "comma-separated `IDS` of the workers")
	f.StringVar(&w.zone, "zone", "", "availability `ZONE` of the workers")
	f.StringVar(&w.rack, "rack", "", "`RACK` of the workers")
	f.StringVar(&w.capacity, "capacity", defaultCapacity, "`CAPACITY` of each worker")
	f.StringVar(&w.platform, "platform", "", "base `URL` of the platform at which the workers register; empty for none")
	f.Int64Var(&w.usageLagMs, "usage-lag-ms", 2000, "delay of usage reports in `MILLISECONDS`")
}

// workerAddresses is the output of "standin worker": the command address of each worker by id.
type workerAddresses struct {
	Workers map[string]string `json:"workers"`
}

// Execute implements subcommands.Command.
func (w *standinWorker) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	workers, err := w.workerOptions()
	if err != nil {
		fmt.Fprintln(w.errOut, err)
		return subcommands.ExitUsageError
	}
	server, err := workerd.Start(ctx, w.platform, workers)
	if err != nil {
		return w.reportError(err)
	}
	defer server.Close()
	out := workerAddresses{Workers: map[string]string{}}
	for _, v := range server.Workers() {
		out.Workers[v.VM.ID] = v.Address()
	}
	if err := w.printAddresses(out); err != nil {
		return w.reportError(err)
	}
	<-ctx.Done()
	return subcommands.ExitSuccess
}

func (w *standinWorker) workerOptions() ([]workerd.WorkerOptions, error) {
	if w.ids == "" || w.zone == "" {
		return nil, errors.New("standin worker: -ids and -zone are required")
	}
	capacity, err := parseCapacity(w.capacity)
	if err != nil {
		return nil, errors.Wrap(err, "standin worker: -capacity")
	}
	var all []workerd.WorkerOptions
	for id := range strings.SplitSeq(w.ids, ",") {
		all = append(all, workerd.WorkerOptions{ID: id, Zone: w.zone, Rack: w.rack, Capacity: capacity,
			Address: w.address, UsageLagMs: w.usageLagMs})
	}
	if len(all) > 1 && !strings.HasSuffix(w.address, ":0") {
		return nil, errors.Errorf("standin worker: -address %s for %d workers, several workers need port 0", w.address,
			len(all))
	}
	return all, nil
}

// parseCapacity parses a vector such as "slots=8,connections=64".
func parseCapacity(text string) (resource.Vector, error) {
	var v resource.Vector
	fields := map[string]*int64{
		"slots": &v.Slots, "connections": &v.Connections, "milliCPU": &v.MilliCPU, "memoryMB": &v.MemoryMB,
		"accelerators": &v.Accelerators,
	}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		field := fields[name]
		if field == nil {
			return v, errors.Errorf("%q is unknown, allowed are slots, connections, milliCPU, memoryMB, accelerators", name)
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 {
			return v, errors.Errorf("%s=%q, allowed is a number from 0", name, value)
		}
		*field = n
	}
	return v, nil
}
