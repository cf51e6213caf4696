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

// latencies collects the latencies of one endpoint in one interval.
type latencies struct {
	hist *hdrhistogram.Histogram
	// expected is what is usual in this interval.
	expected verdict.Expectation
}

func newLatencies(expected verdict.Expectation) *latencies {
	// Two digits keep the error below 1% and the histogram at about 20 KB.
	return &latencies{hist: hdrhistogram.New(minLatencyUs, maxLatencyUs, 2), expected: expected}
}

func (l *latencies) add(d time.Duration) {
	_ = l.hist.RecordValue(min(max(d.Microseconds(), minLatencyUs), maxLatencyUs))
}

// rate returns requests per second.
func (l *latencies) rate(elapsed time.Duration) float64 {
	return float64(l.hist.TotalCount()) / max(1, elapsed.Seconds())
}

func (l *latencies) quantileMs(q float64) float64 {
	return float64(l.hist.ValueAtQuantile(q)) / 1000
}

// look builds the guard's views of the owned workers and learns from the interval. It returns the share of the
// zone's shards that this daemon owns, and the state of the owned workers.
func (m *Manager) look(doc *environment.Document, now time.Time) (views []guard.WorkerView, owned float64,
	mine map[string]record.WorkerState) {
	self := m.cfg.Member()
	mine = map[string]record.WorkerState{}
	m.cfg.Zone.View(func(s *zone.State) {
		shards := 0
		for _, o := range s.Shard {
			if self != "" && o.Owner == self {
				shards++
			}
		}
		owned = float64(shards) / zone.Shards
		for id, w := range s.Workers {
			if owner, _ := s.OwnerOf(id); self != "" && owner == self {
				mine[id] = w.State
			}
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, h := range m.reports {
		if _, ok := mine[id]; ok {
			views = append(views, m.view(doc, h, now))
		}
	}
	return views, owned, mine
}

// view must be called with mu held.
func (m *Manager) view(doc *environment.Document, h heard, now time.Time) guard.WorkerView {
	v := guard.WorkerView{Worker: h.report.Worker, MeasuredAt: m.intervalStart}
	var victims []string
	for _, rs := range h.report.Runs {
		info := h.classes[rs.RunKey]
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
			Victim: info.class, Load: e.rate(now.Sub(m.intervalStart)), Value: e.quantileMs(50),
			Neighbours: h.neighbours(rs.RunKey), Settled: h.settled, At: now,
		})
		v.Services = append(v.Services, m.serviceView(svc, e))
	}
	for _, rs := range h.report.Runs {
		info := h.classes[rs.RunKey]
		if info.service == "" && info.class != "" && rs.State == worker.RunRunning {
			m.learnBatch(h, rs, info, now)
			v.Batch = append(v.Batch, m.batchView(h.report, rs, info, victims))
		}
	}
	return v
}

// learnBatch teaches the model how much a batch run stalled next to its neighbours, so that batch tasks which disturb
// each other are kept apart as well. It must be called with mu held.
func (m *Manager) learnBatch(h heard, rs worker.RunStatus, info taskInfo, now time.Time) {
	m.model.ObserveSample(interference.Sample{
		Victim: info.class, Load: loadOf(rs, h.report.Capacity), Value: 1 / (1 - min(0.99, float64(rs.StallPermille)/1000)),
		Neighbours: h.neighbours(rs.RunKey), Settled: h.settled, At: now,
	})
}

func (m *Manager) serviceView(svc environment.Service, e *latencies) guard.ServiceView {
	cause := verdict.Unknown
	if w := m.services[svc.Name]; w != nil {
		cause = w.verdict().Cause
	}
	return guard.ServiceView{
		Service: svc.Name, LatencyMs: e.quantileMs(99), TargetMs: float64(svc.LatencyTargetMs),
		Requests: int(e.hist.TotalCount()), Cause: cause,
	}
}

func (m *Manager) batchView(r worker.Report, rs worker.RunStatus, info taskInfo, victims []string) guard.BatchView {
	b := guard.BatchView{
		Task: record.TaskID{Job: rs.Job, Index: rs.Index}, Epoch: rs.Epoch, Load: loadOf(rs, r.Capacity),
		ThrottlePercent: rs.ThrottlePercent,
	}
	for _, victim := range victims {
		slowdown, confidence := m.model.Effect(victim, info.class)
		b.Effect = max(b.Effect, slowdown*confidence)
	}
	return b
}
