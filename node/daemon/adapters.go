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

// listPollInterval is the time between reads of the VM list. With it, a leaving endpoint gets no new requests after
// 3 s.
const listPollInterval = 2 * time.Second

// directoryPoller polls the VM list of the zone. While the list cannot be read, the last one read stays in use.
type directoryPoller struct {
	client   directory.Directory
	zone     string
	onChange func(context.Context, []directory.VM)
}

func newDirectoryPoller(
	c directory.Directory, zone string, onChange func(context.Context, []directory.VM),
) *directoryPoller {
	return &directoryPoller{client: c, zone: zone, onChange: onChange}
}

func (p *directoryPoller) run(ctx context.Context) {
	ticker := time.NewTicker(listPollInterval)
	defer ticker.Stop()
	version := ""
	for {
		version = p.poll(ctx, version)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *directoryPoller) poll(ctx context.Context, version string) string {
	callCtx, cancel := context.WithTimeout(ctx, listPollInterval)
	defer cancel()
	list, err := p.client.List(callCtx, p.zone, version)
	if err != nil || list.Version == version {
		return version
	}
	p.onChange(ctx, list.VMs)
	return list.Version
}

// reportCache keeps the newest report of each owned worker.
type reportCache struct {
	mu sync.Mutex
	// byWorker is guarded by mu.
	byWorker map[string]receivedReport
}

type receivedReport struct {
	report     worker.Report
	receivedAt time.Duration
}

// reportMaxAge is the age above which a report is discarded; owned workers report every 5 s.
const reportMaxAge = 20 * time.Second

func newReportCache() *reportCache { return &reportCache{byWorker: map[string]receivedReport{}} }

func (r *reportCache) add(report worker.Report, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byWorker[report.Worker] = receivedReport{report: report, receivedAt: at}
}

func (r *reportCache) get(id string) (receivedReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	received, ok := r.byWorker[id]
	return received, ok
}

// pressure returns, for each worker with a recent report, the largest share of time in which one of its runs
// stalled, in thousandths. Workers without stalls are left out.
func (r *reportCache) pressure(now time.Duration) map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int64{}
	for id, received := range r.byWorker {
		if now-received.receivedAt >= reportMaxAge {
			delete(r.byWorker, id) // another daemon owns the worker, or the worker is gone
			continue
		}
		if p := maxStallPermille(received.report); p > 0 {
			out[id] = p
		}
	}
	return out
}

func maxStallPermille(r worker.Report) (stall int64) {
	for _, run := range r.Runs {
		stall = max(stall, run.StallPermille)
	}
	return stall
}

// configCatalog implements gateway.Catalog from the configuration in force.
type configCatalog struct{ control *replica.Control }

// Service implements gateway.Catalog.
func (c configCatalog) Service(name string) (out gateway.Service, ok bool) {
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
func (c configCatalog) Zones() (out []gateway.Zone) {
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
func (c configCatalog) CallerRate() (rate float64) {
	c.control.View(func(s *control.State) {
		if s.Document() != nil {
			rate = float64(s.Document().Requests.PerCallerPerSecond)
		}
	})
	return rate
}

// LinkRate implements gateway.Catalog.
func (c configCatalog) LinkRate() (rate float64) {
	c.control.View(func(s *control.State) {
		if s.Document() != nil {
			rate = float64(s.Document().Requests.LinkBytesPerSecond)
		}
	})
	return rate
}

// document returns the configuration in force, or nil. Documents in force are immutable.
func (d *Daemon) document() (doc *environment.Document) {
	d.control.View(func(s *control.State) { doc = s.Document() })
	return doc
}
