package gateway

import "expvar"

// Names of the gateway's metrics. All count events since the start of the process, except for gauges, which are marked
// as such.
const (
	// metricAccepted counts requests (of callers and of peers) that passed the checks of their header.
	metricAccepted = "requests_accepted"
	// metricRefused counts requests with an invalid header, an unknown service, a caller over its rate limit or a small
	// body that could not be read.
	metricRefused = "requests_refused"
	// metricShed counts requests that were not sent because of the in-flight limit, a full queue or their deadline.
	metricShed = "requests_shed"
	// metricRetried counts further attempts in this zone after a failed one.
	metricRetried = "attempts_retried"
	// metricHedged counts second attempts that were started while the first one was slow.
	metricHedged = "attempts_hedged"
	// metricForwarded counts attempts that were sent to peer daemons of other zones.
	metricForwarded = "attempts_forwarded"
	// metricLinkDenied counts attempts that the byte budget of the link between regions did not allow.
	metricLinkDenied = "attempts_denied_by_link_budget"
	// metricEjected counts ejections of endpoints.
	metricEjected = "endpoints_ejected"
	// metricLeaving counts answers that show that the endpoint is leaving.
	metricLeaving = "answers_from_leaving_endpoints"
	// metricBroken counts answers that failed after their header was sent to the caller.
	metricBroken = "answers_broken"
	// metricReplayed counts answers that were replayed from a finished claim.
	metricReplayed = "answers_replayed"
	// metricOutcome is the prefix of the counters of answers by outcome, for instance outcome_not-run.
	metricOutcome = "outcome_"
	// metricInFlight is the number of requests in flight (gauge).
	metricInFlight = "requests_in_flight"
)

// metrics holds the gateway's metrics. The package does not publish them, so that a process can have several
// gateways.
type metrics struct{ vars expvar.Map }

func newMetrics() *metrics {
	m := &metrics{}
	for _, name := range []string{metricAccepted, metricRefused, metricShed, metricRetried, metricHedged,
		metricForwarded, metricLinkDenied, metricEjected, metricLeaving, metricBroken, metricReplayed, metricInFlight,
		metricOutcome + string(OutcomeAnswered), metricOutcome + string(OutcomeNotRun),
		metricOutcome + string(OutcomeUnknown)} {
		m.vars.Add(name, 0)
	}
	return m
}

func (m *metrics) add(name string, n int64) { m.vars.Add(name, n) }

// Metrics returns the gateway's metrics, which the caller may publish.
func (g *Gateway) Metrics() *expvar.Map { return &g.metrics.vars }
