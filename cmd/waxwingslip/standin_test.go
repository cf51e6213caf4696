package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"waxwingslip.example/external/directory"
)

// startStandin runs "standin" with arguments until the test ends and decodes the line that it prints into addresses.
func startStandin(t *testing.T, addresses any, args ...string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	done := make(chan subcommands.ExitStatus, 1)
	go func() {
		f := flag.NewFlagSet("", flag.ContinueOnError)
		_ = f.Parse(args)
		done <- (&standinCommand{out: w, errOut: io.Discard}).Execute(ctx, f)
		_ = w.Close()
	}()
	if err := json.NewDecoder(r).Decode(addresses); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if status := <-done; status != subcommands.ExitSuccess {
			t.Errorf("standin %v exited with %d", args, status)
		}
	})
}

// Guards against printed addresses on which nothing listens, and against workers that do not register.
func TestStandinAddressesAreReachable(t *testing.T) {
	is := is.New(t)
	var platform platformAddresses
	startStandin(t, &platform, "platform")
	var workers workerAddresses
	startStandin(t, &workers, "worker", "-ids", "w1,w2", "-zone", "lima-a", "-rack", "r1", "-platform", platform.URL)
	dir := directory.NewHTTPClient(platform.URL)
	defer dir.Close()
	l, err := dir.List(context.Background(), "lima-a", "")
	is.NoErr(err)
	is.Equal(len(l.VMs), 2)
	is.Equal(l.VMs[0].Address, workers.Workers["w1"])
	is.Equal(l.VMs[0].Capacity.Slots, int64(8))
}

// Guards against invalid flags that are accepted or rejected without a message.
func TestStandinBadFlags(t *testing.T) {
	for _, args := range [][]string{
		{"worker"}, {"worker", "-ids", "w1"}, {"worker", "-ids", "w1", "-zone", "a", "-capacity", "slots=-1"},
		{"worker", "-ids", "w1", "-zone", "a", "-capacity", "slot=1"}, {"worker", "-ids", "a,b", "-zone", "a", "-address", "127.0.0.1:1"},
		{"nothing"}, {},
	} {
		var errOut bytes.Buffer
		f := flag.NewFlagSet("", flag.ContinueOnError)
		_ = f.Parse(args)
		status := (&standinCommand{out: &errOut, errOut: &errOut}).Execute(context.Background(), f)
		if status != subcommands.ExitUsageError || errOut.Len() == 0 {
			t.Errorf("standin %v: exit code %d, message %q", args, status, errOut.String())
		}
	}
}

// Guards against a standin command that is not registered.
func TestStandinRegistered(t *testing.T) {
	c := subcommands.NewCommander(flag.NewFlagSet("", flag.ContinueOnError), "waxwingslip")
	registerStandin(c)
	found := false
	c.VisitCommands(func(_ *subcommands.CommandGroup, cmd subcommands.Command) { found = found || cmd.Name() == "standin" })
	is.New(t).True(found)
}
