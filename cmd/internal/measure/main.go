// Command measure runs the daemons of one zone on loopback with stand-ins of the platform and of the workers, and prints
// what one daemon spends on control: processor time, memory and bytes, at several sizes, and the fitted slopes.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// size is one measured size of a zone.
type size struct {
	workers, tasksPerWorker int
}

// options bounds the measurement.
type options struct {
	binaries string
	daemons  int
	window   time.Duration
	// starts is the rate of starts of short batch tasks in the loaded window, per second.
	starts int
}

func main() {
	var o options
	sizes := flag.String("sizes", "12x4,48x4,156x4,12x16,48x16,156x16", "comma-separated `WORKERSxTASKS` per worker")
	flag.StringVar(&o.binaries, "bin", "", "`DIRECTORY` of the binaries waxwingslip and waxwingslipd")
	flag.IntVar(&o.daemons, "daemons", 3, "number of daemons of the zone")
	flag.DurationVar(&o.window, "window", 10*time.Second, "length of the steady and of the loaded window")
	flag.IntVar(&o.starts, "starts", 9, "task starts per second in the loaded window")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o, *sizes); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options, list string) error {
	sizes, err := parseSizes(list)
	if err != nil {
		return err
	}
	var steady, loaded []sample
	fmt.Println(header)
	for _, s := range sizes {
		st, ld, err := measure(ctx, o, s)
		if err != nil {
			return errors.Wrapf(err, "size %dx%d", s.workers, s.tasksPerWorker)
		}
		steady, loaded = append(steady, mean(st)), append(loaded, mean(ld))
		fmt.Println(row("steady", s, mean(st)))
		fmt.Println(row("loaded", s, mean(ld)))
	}
	printFit("steady", steady)
	printFit("loaded", loaded)
	return nil
}

func parseSizes(list string) (out []size, err error) {
	for part := range strings.SplitSeq(list, ",") {
		w, t, _ := strings.Cut(part, "x")
		workers, err1 := strconv.Atoi(w)
		tasks, err2 := strconv.Atoi(t)
		if err1 != nil || err2 != nil || workers < 1 || workers > 400 || tasks < 1 || tasks > 20 {
			return nil, errors.Errorf("-sizes has %q, allowed are 1 to 400 workers and 1 to 20 tasks, such as 12x4", part)
		}
		out = append(out, size{workers, tasks})
	}
	return out, nil
}

// measure runs one size and returns a sample of each daemon for the steady and for the loaded window.
func measure(ctx context.Context, o options, s size) (steady, loaded []sample, err error) {
	ctx, cancel := context.WithTimeout(ctx, 60*time.Second+2*o.window)
	defer cancel()
	z, err := startZone(ctx, o, s)
	if z != nil {
		defer z.close()
	}
	if err != nil {
		return nil, nil, err
	}
	if steady, err = z.window(ctx, o.window); err != nil {
		return nil, nil, err
	}
	load, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- z.load(load, o.starts) }()
	// The first short tasks end after a second; before that the rate of ends is below that of starts.
	if err = pause(ctx, 2*time.Second); err == nil {
		loaded, err = z.window(ctx, o.window)
	}
	stop()
	if loadErr := <-done; err == nil {
		err = loadErr
	}
	return steady, loaded, err
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
