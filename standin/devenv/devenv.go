// Package devenv runs stand-ins for the platform and for the workers of an environment document in one process, all on
// free loopback ports. It starts no daemons.
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
	workersPerRack  = 8
	defaultUsageLag = 2 * time.Second
	// maxWorkers limits the number of listeners: every worker and every replica has one.
	maxWorkers = 300
	// clockOffsetMs is the difference between the clocks of successive workers, so that tests detect the use of the
	// wrong clock.
	clockOffsetMs = 1_000_000
)

// Options configures the stand-ins.
type Options struct {
	// WorkersPerZone replaces the document's counts if it is above zero.
	WorkersPerZone int
	// UsageLag is the delay of reported usage; 0 means 2 s, a negative value means no delay.
	UsageLag time.Duration
}

// Environment holds the running stand-ins.
type Environment struct {
	Platform *platformd.Server
	// Workers hosts the workers of each zone.
	Workers map[string]*workerd.Server
}

// Start runs the platform and the workers of all zones of the document.
func Start(ctx context.Context, doc *environment.Document, opts Options) (*Environment, error) {
	if err := checkWorkerCount(doc, opts); err != nil {
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
			for i := range opts.workerCount(z) {
				clockMs += clockOffsetMs
				workers = append(workers, opts.workerOptions(z, i, clockMs))
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

// Close stops the workers and the platform.
func (e *Environment) Close() {
	for _, w := range e.Workers {
		w.Close()
	}
	e.Platform.Close()
}

func (o Options) workerCount(z environment.Zone) int {
	if o.WorkersPerZone > 0 {
		return o.WorkersPerZone
	}
	return z.Workers
}

func (o Options) workerOptions(z environment.Zone, i int, clockMs int64) workerd.WorkerOptions {
	lag := o.UsageLag
	if lag == 0 {
		lag = defaultUsageLag
	}
	return workerd.WorkerOptions{
		ID: fmt.Sprintf("%s-w%d", z.Name, i+1), Zone: z.Name, Rack: fmt.Sprintf("%s-r%d", z.Name, i/workersPerRack+1),
		Capacity: z.Worker, ClockStartMs: clockMs, UsageLagMs: max(lag, 0).Milliseconds(),
	}
}

func checkWorkerCount(doc *environment.Document, opts Options) error {
	total := 0
	for _, r := range doc.Regions {
		for _, z := range r.Zones {
			total += opts.workerCount(z)
		}
	}
	if total > maxWorkers {
		return errors.Errorf("document has %d workers, limit %d", total, maxWorkers)
	}
	return nil
}
