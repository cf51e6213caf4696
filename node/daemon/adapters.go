package daemon

import (
	"context"
	"sync"
	"time"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/environment"
	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/worker"
	"waxwingslip.example/node/gateway"
	"waxwingslip.example/node/replica"
)

// listPoll is the time between looks at the VM list. With it, a leaving endpoint gets no new work after 3 s.
const listPoll = 2 * time.Second

// listing polls the VM list of the zone. While the list cannot be read, the newest one stays in use.
type listing struct {
	client  directory.Directory
	zone    string
	changed func(context.Context, []directory.VM)
}

func newListing(c directory.Directory, zone string, changed func(context.Context, []directory.VM)) *listing {
	return &listing{client: c, zone: zone, changed: changed}
}

func (l *listing) run(ctx context.Context) {
	ticker := time.NewTicker(listPoll)
	defer ticker.Stop()
	version := ""
	for {
		version = l.poll(ctx, version)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *listing) poll(ctx context.Context, version string) string {
	call, cancel := context.WithTimeout(ctx, listPoll)
	defer cancel()
	list, err := l.client.List(call, l.zone, version)
	if err != nil || list.Version == version {
		return version
	}
	l.changed(ctx, list.VMs)
	return list.Version
}

// reports keeps the newest report of each owned worker.
type reports struct {
	mu sync.Mutex
	// byWorker is guarded by mu.
	byWorker map[string]heardReport
}

type heardReport struct {
	report worker.Report
	at     time.Duration
}

// reportKept is how long a report tells something; owned workers report every 5 s.
const reportKept = 20 * time.Second

func newReports() *reports { return &reports{byWorker: map[string]heardReport{}} }

func (r *reports) add(report worker.Report, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byWorker[report.Worker] = heardReport{report: report, at: at}
}

func (r *reports) get(id string) (heardReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.byWorker[id]
	return h, ok
}

// pressure returns, for each worker heard, the largest share of time in which one of its runs stalled, in
// thousandths. Workers without stalls are left out.
func (r *reports) pressure(now time.Duration) map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int64{}
	for id, h := range r.byWorker {
		if now-h.at >= reportKept {
			delete(r.byWorker, id) // another daemon owns the worker, or it is gone
			continue
		}
		if p := stallOf(h.report); p > 0 {
			out[id] = p
		}
	}
	return out
}

func stallOf(r worker.Report) (stall int64) {
	for _, run := range r.Runs {
		stall = max(stall, run.StallPermille)
	}
	return stall
}

// catalog serves the gateway from the configuration in force.
type catalog struct{ control *replica.Control }

// Service implements gateway.Catalog.
func (c catalog) Service(name string) (out gateway.Service, ok bool) {
	c.control.View(func(s *control.State) {
		if s.Document() == nil {
			return
		}
		for _, svc := range s.Document().Services {
			if svc.Name != name {
				continue
			}
			out = gateway.Service{
				Name: name, Timeout: time.Duration(svc.TimeoutMs) * time.Millisecond,
				IdempotentPaths: svc.IdempotentPaths,
			}
			for zone, n := range svc.Replicas {
				if n > 0 {
					out.Zones = append(out.Zones, zone)
				}
			}
			ok = true
		}
	})
	return out, ok
}

// Zones implements gateway.Catalog.
func (c catalog) Zones() (out []gateway.Zone) {
	c.control.View(func(s *control.State) {
		if s.Document() == nil {
			return
		}
		for _, r := range s.Document().Regions {
			for _, z := range r.Zones {
				out = append(out, gateway.Zone{Name: z.Name, Region: r.Name, OutOfService: z.OutOfService})
			}
		}
	})
	return out
}

// CallerRate implements gateway.Catalog.
func (c catalog) CallerRate() (rate float64) {
	c.control.View(func(s *control.State) {
		if s.Document() != nil {
			rate = float64(s.Document().Requests.PerCallerPerSecond)
		}
	})
	return rate
}

// LinkRate implements gateway.Catalog.
func (c catalog) LinkRate() (rate float64) {
	c.control.View(func(s *control.State) {
		if s.Document() != nil {
			rate = float64(s.Document().Requests.LinkBytesPerSecond)
		}
	})
	return rate
}

// document returns the configuration in force, or nil. Documents are never changed once they are in force.
func (d *Daemon) document() (doc *environment.Document) {
	d.control.View(func(s *control.State) { doc = s.Document() })
	return doc
}
