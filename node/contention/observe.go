package contention

import (
	"strconv"
	"strings"
	"time"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/interference"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/core/verdict"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/worker"
	"waxwingslip.example/node/gateway"
	"waxwingslip.example/node/stream"
)

// Expected times of a request without contention.
const (
	expectedWait    = 2 * time.Millisecond
	expectedNetwork = 5 * time.Millisecond
	// windowLength is the time that one verdict covers.
	windowLength = time.Minute
)

// serviceWindows holds the requests of a service in the current and the previous window.
type serviceWindows struct {
	target            time.Duration
	current, previous *verdict.Window
	started           time.Time
}

func newServiceWindows(target time.Duration, now time.Time) *serviceWindows {
	return &serviceWindows{target: target, current: verdict.NewWindow(target, verdict.DefaultLimits()), started: now}
}

func (s *serviceWindows) rotate(now time.Time) {
	if now.Sub(s.started) >= windowLength {
		s.previous, s.current, s.started = s.current, verdict.NewWindow(s.target, verdict.DefaultLimits()), now
	}
}

// verdict returns the verdict on the current window, or on the previous one while the current has too few requests.
func (s *serviceWindows) verdict() verdict.Verdict {
	v := s.current.Verdict()
	if s.previous != nil && v.Evidence.Requests < verdict.DefaultLimits().MinRequests {
		return s.previous.Verdict()
	}
	return v
}

// Observe implements gateway.Observer.
func (m *Manager) Observe(o gateway.Observation) {
	if o.Endpoint.Run == "" || o.Outcome != gateway.OutcomeAnswered {
		return
	}
	doc := m.cfg.Document()
	svc, ok := findService(doc, o.Service)
	if !ok {
		return
	}
	key, ok := parseRun(o.Endpoint.Run)
	if !ok {
		return
	}
	now := m.cfg.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	endpoint := m.endpoints[key]
	if endpoint == nil {
		endpoint = newEndpointLatencies(m.expectation(svc, key, o.Endpoint.Worker, now))
		m.endpoints[key] = endpoint
	}
	endpoint.add(o.TimeBreakdown.Endpoint)
	windows := m.services[o.Service]
	target := time.Duration(svc.LatencyTargetMs) * time.Millisecond
	if windows == nil || windows.target != target {
		windows = newServiceWindows(target, now)
		m.services[o.Service] = windows
	}
	windows.current.Add(verdict.Timing{
		Wait: o.TimeBreakdown.Wait, Network: o.TimeBreakdown.Network, Endpoint: o.TimeBreakdown.Endpoint,
	}, endpoint.expected)
}

func findService(doc *environment.Document, name string) (environment.Service, bool) {
	if doc == nil {
		return environment.Service{}, false
	}
	for _, s := range doc.Services {
		if s.Name == name {
			return s, true
		}
	}
	return environment.Service{}, false
}

// parseRun parses the name of a run in the endpoint table, job/index/epoch.
func parseRun(name string) (worker.RunKey, bool) {
	rest, epochText, ok := cutLast(name)
	if !ok {
		return worker.RunKey{}, false
	}
	job, indexText, ok := cutLast(rest)
	epoch, errEpoch := strconv.ParseInt(epochText, 10, 64)
	index, errIndex := strconv.Atoi(indexText)
	return worker.RunKey{Job: job, Index: index, Epoch: epoch}, ok && errEpoch == nil && errIndex == nil
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// expectation returns the expected times of requests to an endpoint in this interval. The caller holds mu.
func (m *Manager) expectation(svc environment.Service, key worker.RunKey, workerID string,
	now time.Time) verdict.Expectation {
	load := m.requestRates[key]
	baseline, samples := m.model.Baseline(svc.Class, load)
	e := verdict.Expectation{
		Wait: expectedWait, Network: expectedNetwork, TimeAtUsualLoad: milliseconds(baseline),
		TimeAtLoad: milliseconds(baseline), Samples: samples,
	}
	latest, ok := m.reports[workerID]
	if !ok {
		return e
	}
	e.ReportAge = now.Sub(latest.receivedAt)
	for _, rs := range latest.report.Runs {
		if rs.RunKey == key {
			e.StallPermille = rs.StallPermille
		}
	}
	for _, n := range latest.neighbours(key) {
		slowdown, confidence := m.model.Slowdown(svc.Class, n.Class)
		e.Neighbours = append(e.Neighbours, verdict.Neighbour{
			Class: n.Class, Load: n.Load, Slowdown: slowdown * n.Load, Confidence: confidence,
		})
	}
	return e
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// neighbours returns the load of the other running tasks on the worker, by class.
func (w workerReport) neighbours(victim worker.RunKey) []interference.Neighbour {
	loads := map[string]float64{}
	for _, rs := range w.report.Runs {
		if rs.RunKey != victim && rs.State == worker.RunRunning {
			loads[w.tasks[rs.RunKey].class] += cpuShare(rs, w.report.Capacity)
		}
	}
	out := make([]interference.Neighbour, 0, len(loads))
	for class, load := range loads {
		out = append(out, interference.Neighbour{Class: class, Load: load})
	}
	return out
}

// taskInfo describes a run by the zone state.
type taskInfo struct {
	team, class string
	service     string
}

// taskInfos returns the runs of a report that the zone state contains.
func (m *Manager) taskInfos(r worker.Report) map[worker.RunKey]taskInfo {
	out := make(map[worker.RunKey]taskInfo, len(r.Runs))
	m.cfg.Zone.View(func(s *zone.State) {
		for _, rs := range r.Runs {
			if j := s.Jobs[rs.Job]; j != nil {
				out[rs.RunKey] = taskInfo{team: j.Spec.Team, class: j.Spec.Class, service: j.Spec.Service}
			}
		}
	})
	return out
}

// cpuShare returns the processor use of a run as a share of the worker's capacity.
func cpuShare(rs worker.RunStatus, capacity resource.Vector) float64 {
	if capacity.MilliCPU <= 0 {
		return 0
	}
	return float64(rs.Usage.MilliCPU) / float64(capacity.MilliCPU)
}

// AddReport stores the report of an owned worker and updates the model with it.
func (m *Manager) AddReport(r worker.Report) {
	tasks := m.taskInfos(r)
	now := m.cfg.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, known := m.reports[r.Worker]
	m.reports[r.Worker] = workerReport{
		report: r, tasks: tasks, receivedAt: now, unchanged: known && sameRuns(previous.report, r),
	}
	for _, rs := range r.Runs {
		info, ok := tasks[rs.RunKey]
		if !ok {
			continue
		}
		key := interference.Key{Team: info.team, Class: info.class}
		switch {
		case rs.State == worker.RunRunning && !rs.Usage.IsZero():
			m.model.ObserveUse(key, rs.Usage, now)
		case rs.State == worker.RunEnded && rs.Outcome == record.OutcomeSucceeded:
			if _, seen := m.endedRuns[rs.RunKey]; !seen {
				m.endedRuns[rs.RunKey] = now
				m.model.ObserveRun(key, time.Duration(rs.RunMs)*time.Millisecond, now)
			}
		}
	}
}

func sameRuns(a, b worker.Report) bool {
	if len(a.Runs) != len(b.Runs) {
		return false
	}
	before := make(map[worker.RunKey]worker.RunState, len(a.Runs))
	for _, rs := range a.Runs {
		before[rs.RunKey] = rs.State
	}
	for _, rs := range b.Runs {
		if before[rs.RunKey] != rs.State {
			return false
		}
	}
	return true
}

// ApplyZoneBatch counts failures and successes of runs on workers that this daemon owned. It is a subscriber of the
// zone's follower.
func (m *Manager) ApplyZoneBatch(b stream.Batch) {
	self := m.cfg.Member()
	for _, a := range b.Applied {
		if removal, ok := a.Record.Body.(*record.RemoveJob); ok {
			m.removeJob(removal.Job)
		}
		end, ok := a.Record.Body.(*record.End)
		if !ok || !a.Verdict.Accepted || end.Owner.Member != self {
			continue
		}
		m.countEnd(end)
	}
}

func (m *Manager) removeJob(job string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quarantine.RemoveJob(job)
}

func (m *Manager) countEnd(end *record.End) {
	id := end.Run.Worker
	m.mu.Lock()
	if end.Outcome != record.OutcomeFailed {
		m.quarantine.RecordSuccess(id)
		m.mu.Unlock()
		return
	}
	outcome := m.quarantine.RecordFailure(id, end.Run.Task.Job, end.Reason, m.cfg.Now())
	m.mu.Unlock()
	if outcome.QuarantineWorker != "" {
		m.cfg.Metrics.Count("guard_quarantines")
		m.setWorkerState(id, record.WorkerQuarantined, outcome.QuarantineWorker)
		m.cfg.Log.Warn().Str("step", "quarantine").Str("worker", id).Str("reason", outcome.QuarantineWorker).
			Msg("worker quarantined")
	}
}
