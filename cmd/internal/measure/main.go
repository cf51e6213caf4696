// Command measure runs the daemons of one zone on loopback with stand-ins of the platform and of the workers. It prints
// the control overhead of one daemon at several sizes, as CPU time, memory and network bytes, and the fitted slopes.
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

// size is the size of a measured zone.
type size struct {
	workers, tasksPerWorker int
}

// options holds the parameters of the measurement.
type options struct {
	binariesDir  string
	numDaemons   int
	windowLength time.Duration
	// startsPerSecond is the rate at which short batch tasks start in the loaded window.
	startsPerSecond int
}

func main() {
	var o options
	sizes := flag.String("sizes", "12x4,48x4,156x4,12x16,48x16,156x16", "comma-separated `WORKERSxTASKS` per worker")
	flag.StringVar(&o.binariesDir, "bin", "", "`DIRECTORY` of the binaries waxwingslip and waxwingslipd")
	flag.IntVar(&o.numDaemons, "daemons", 3, "number of daemons of the zone")
	flag.DurationVar(&o.windowLength, "window", 10*time.Second, "length of the steady and of the loaded window")
	flag.IntVar(&o.startsPerSecond, "starts", 9, "task starts per second in the loaded window")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o, *sizes); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options, sizeList string) error {
	sizes, err := parseSizes(sizeList)
	if err != nil {
		return err
	}
	var steadyMeans, loadedMeans []sample
	fmt.Println(header)
	for _, s := range sizes {
		steadySamples, loadedSamples, err := measureSize(ctx, o, s)
		if err != nil {
			return errors.Wrapf(err, "size %dx%d", s.workers, s.tasksPerWorker)
		}
		steadyMeans, loadedMeans = append(steadyMeans, meanOf(steadySamples)), append(loadedMeans, meanOf(loadedSamples))
		fmt.Println(formatRow("steady", s, meanOf(steadySamples)))
		fmt.Println(formatRow("loaded", s, meanOf(loadedSamples)))
	}
	printFit("steady", steadyMeans)
	printFit("loaded", loadedMeans)
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

// measureSize runs a zone of one size and returns a sample of each daemon for the steady and for the loaded window.
func measureSize(ctx context.Context, o options, s size) (steady, loaded []sample, err error) {
	ctx, cancel := context.WithTimeout(ctx, 60*time.Second+2*o.windowLength)
	defer cancel()
	z, err := startZone(ctx, o, s)
	if z != nil {
		defer z.close()
	}
	if err != nil {
		return nil, nil, err
	}
	if steady, err = z.measureWindow(ctx, o.windowLength); err != nil {
		return nil, nil, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	loadDone := make(chan error, 1)
	go func() { loadDone <- z.submitShortJobs(loadCtx, o.startsPerSecond) }()
	// The first short tasks end after a second; before that, fewer tasks end than start.
	if err = sleep(ctx, 2*time.Second); err == nil {
		loaded, err = z.measureWindow(ctx, o.windowLength)
	}
	stopLoad()
	if loadErr := <-loadDone; err == nil {
		err = loadErr
	}
	return steady, loaded, err
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
