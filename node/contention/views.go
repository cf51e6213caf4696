package contention

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/guard"
	"waxwingslip.example/core/interference"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/verdict"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/worker"
)

// Range of the latency histograms, in microseconds.
const (
	minLatencyUs = 1
	maxLatencyUs = 60_000_000
)

// endpointLatencies collects the latencies of one endpoint in one interval.
type endpointLatencies struct {
	histogram *hdrhistogram.Histogram
	// expected holds the expected times in this interval.
	expected verdict.Expectation
}

func newEndpointLatencies(expected verdict.Expectation) *endpointLatencies {
	// Two digits keep the error below 1% and the histogram at about 20 KB.
	return &endpointLatencies{histogram: hdrhistogram.New(minLatencyUs, maxLatencyUs, 2), expected: expected}
}

func (l *endpointLatencies) add(d time.Duration) {
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), minLatencyUs), maxLatencyUs))
}

// requestRate returns the requests per second.
func (l *endpointLatencies) requestRate(elapsed time.Duration) float64 {
	return float64(l.histogram.TotalCount()) / max(1, elapsed.Seconds())
}

func (l *endpointLatencies) quantileMs(q float64) float64 {
	return float64(l.histogram.ValueAtQuantile(q)) / 1000
}

// collectViews updates the model with the interval and returns the guard's views of the owned workers, the share of the
// zone's shards that this daemon owns, and the states of the owned workers.
func (m *Manager) collectViews(doc *environment.Document, now time.Time) (views []guard.WorkerView, ownedShare float64,
	ownedStates map[string]record.WorkerState) {
	self := m.cfg.Member()
	ownedStates = map[string]record.WorkerState{}
	m.cfg.Zone.View(func(s *zone.State) {
		shards := 0
		for _, o := range s.ShardOwners {
			if self != "" && o.Owner == self {
				shards++
			}
		}
		ownedShare = float64(shards) / zone.ShardCount
		for id, w := range s.Workers {
			if owner, _ := s.OwnerOf(id); self != "" && owner == self {
				ownedStates[id] = w.State
			}
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, latest := range m.reports {
		if _, ok := ownedStates[id]; ok {
			views = append(views, m.workerView(doc, latest, now))
		}
	}
	return views, ownedShare, ownedStates
}

// workerView updates the model with the interval of a worker and returns the guard's view of it. The caller holds mu.
func (m *Manager) workerView(doc *environment.Document, latest workerReport, now time.Time) guard.WorkerView {
	v := guard.WorkerView{Worker: latest.report.Worker, MeasuredAt: m.intervalStart}
	var victims []string
	for _, rs := range latest.report.Runs {
		info := latest.tasks[rs.RunKey]
		if info.service == "" || rs.State != worker.RunRunning {
			continue
		}
		victims = append(victims, info.class)
		svc, ok := findService(doc, info.service)
		e := m.endpoints[rs.RunKey]
		if !ok || e == nil {
			continue
		}
		m.model.ObserveSample(interference.Sample{
			Victim: info.class, Load: e.requestRate(now.Sub(m.intervalStart)), Value: e.quantileMs(50),
			Neighbours: latest.neighbours(rs.RunKey), Settled: latest.unchanged, At: now,
		})
		v.Services = append(v.Services, m.serviceView(svc, e))
	}
	for _, rs := range latest.report.Runs {
		info := latest.tasks[rs.RunKey]
		if info.service == "" && info.class != "" && rs.State == worker.RunRunning {
			m.observeBatchRun(latest, rs, info, now)
			v.Batch = append(v.Batch, m.batchView(latest.report, rs, info, victims))
		}
	}
	return v
}

// observeBatchRun adds the stall of a batch run next to its neighbours to the model, so that batch tasks that interfere
// with each other are kept apart, too. The caller holds mu.
func (m *Manager) observeBatchRun(latest workerReport, rs worker.RunStatus, info taskInfo, now time.Time) {
	m.model.ObserveSample(interference.Sample{
		Victim: info.class, Load: cpuShare(rs, latest.report.Capacity),
		Value:      1 / (1 - min(0.99, float64(rs.StallPermille)/1000)),
		Neighbours: latest.neighbours(rs.RunKey), Settled: latest.unchanged, At: now,
	})
}

func (m *Manager) serviceView(svc environment.Service, e *endpointLatencies) guard.ServiceView {
	cause := verdict.Unknown
	if windows := m.services[svc.Name]; windows != nil {
		cause = windows.verdict().Cause
	}
	return guard.ServiceView{
		Service: svc.Name, LatencyMs: e.quantileMs(99), TargetMs: float64(svc.LatencyTargetMs),
		Requests: int(e.histogram.TotalCount()), Cause: cause,
	}
}

func (m *Manager) batchView(r worker.Report, rs worker.RunStatus, info taskInfo, victims []string) guard.BatchView {
	b := guard.BatchView{
		Task: record.TaskID{Job: rs.Job, Index: rs.Index}, Epoch: rs.Epoch, Load: cpuShare(rs, r.Capacity),
		ThrottlePercent: rs.ThrottlePercent,
	}
	for _, victim := range victims {
		slowdown, confidence := m.model.Slowdown(victim, info.class)
		b.Effect = max(b.Effect, slowdown*confidence)
	}
	return b
}
