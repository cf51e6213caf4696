// Package devenv runs everything outside waxwingslip's own processes for a trial in one process: the platform
// and the workers of an environment document, all on free loopback ports.
package devenv

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/standin/platformd"
	"waxwingslip.example/standin/workerd"
)

const (
	workersPerRack = 8
	defaultLag     = 2 * time.Second
	// maxWorkers keeps a trial small: every worker and every replica has a listener.
	maxWorkers = 300
	// clockStepMs separates the clocks of the workers, so that a mix-up of two clocks shows.
	clockStepMs = 1_000_000
)

// Options changes the trial.
type Options struct {
	// WorkersPerZone replaces the document's counts if it is above zero.
	WorkersPerZone int
	// UsageLag is how late usage is reported; 0 means 2 s, a negative value means no lag.
	UsageLag time.Duration
}

// Environment is a running trial.
type Environment struct {
	Platform *platformd.Server
	// Workers hosts the workers of each zone.
	Workers map[string]*workerd.Server
}

// Start runs the platform and the workers of all zones of the document.
func Start(ctx context.Context, doc *environment.Document, opts Options) (*Environment, error) {
	if err := checkSize(doc, opts); err != nil {
		return nil, err
	}
	platform, err := platformd.Start("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start platform")
	}
	env := &Environment{Platform: platform, Workers: map[string]*workerd.Server{}}
	clockMs := int64(0)
	for _, r := range doc.Regions {
		for _, z := range r.Zones {
			var workers []workerd.WorkerOptions
			for i := range opts.count(z) {
				clockMs += clockStepMs
				workers = append(workers, opts.worker(z, i, clockMs))
			}
			server, err := workerd.Start(ctx, platform.URL(), workers)
			if err != nil {
				env.Close()
				return nil, errors.Wrapf(err, "start workers of zone %s", z.Name)
			}
			env.Workers[z.Name] = server
		}
	}
	return env, nil
}

// PlatformURL returns the base URL of the log and the list of VMs.
func (e *Environment) PlatformURL() string { return e.Platform.URL() }

// Close stops everything.
func (e *Environment) Close() {
	for _, w := range e.Workers {
		w.Close()
	}
	e.Platform.Close()
}

func (o Options) count(z environment.Zone) int {
	if o.WorkersPerZone > 0 {
		return o.WorkersPerZone
	}
	return z.Workers
}

func (o Options) worker(z environment.Zone, i int, clockMs int64) workerd.WorkerOptions {
	lag := o.UsageLag
	if lag == 0 {
		lag = defaultLag
	}
	return workerd.WorkerOptions{
		ID: fmt.Sprintf("%s-w%d", z.Name, i+1), Zone: z.Name, Rack: fmt.Sprintf("%s-r%d", z.Name, i/workersPerRack+1),
		Capacity: z.Worker, ClockStartMs: clockMs, UsageLagMs: max(lag, 0).Milliseconds(),
	}
}

func checkSize(doc *environment.Document, opts Options) error {
	total := 0
	for _, r := range doc.Regions {
		for _, z := range r.Zones {
			total += opts.count(z)
		}
	}
	if total > maxWorkers {
		return errors.Errorf("the document has %d workers, a trial runs at most %d", total, maxWorkers)
	}
	return nil
}
