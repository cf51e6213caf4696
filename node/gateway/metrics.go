package gateway

import "expvar"

// Names of the gateway's counters. All count events since the start of the process, except those whose unit is
// given as a state.
const (
	// metricAccepted counts requests (of callers and of peers) that passed the checks of their header.
	metricAccepted = "requests_accepted"
	// metricRefused counts requests with a bad header, an unknown service or a caller over its rate.
	metricRefused = "requests_refused"
	// metricShed counts requests that were not sent because of a full queue or their deadline.
	metricShed = "requests_shed"
	// metricRetried counts further attempts after a failed one, in this zone or another.
	metricRetried = "attempts_retried"
	// metricHedged counts second attempts beside a slow one.
	metricHedged = "attempts_hedged"
	// metricForwarded counts attempts that were sent to peer daemons of other zones.
	metricForwarded = "attempts_forwarded"
	// metricLinkDenied counts attempts that the byte budget of the link forbade.
	metricLinkDenied = "attempts_denied_by_link_budget"
	// metricEjected counts ejections of endpoints.
	metricEjected = "endpoints_ejected"
	// metricLeaving counts answers in which an endpoint said that it is leaving.
	metricLeaving = "answers_from_leaving_endpoints"
	// metricBroken counts answers that broke after their header was sent to the caller.
	metricBroken = "answers_broken"
	// metricReplayed counts answers that were given again from a finished claim.
	metricReplayed = "answers_replayed"
	// metricOutcome is the prefix of the counts of answers by outcome, for instance outcome_not-run.
	metricOutcome = "outcome_"
	// metricInFlight is the number of requests in flight now (state).
	metricInFlight = "requests_in_flight"
)

// metrics holds the gateway's counters. They are not published by the package, so that one process may hold
// several gateways.
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

// Metrics returns the gateway's counters for publication.
func (g *Gateway) Metrics() *expvar.Map { return &g.metrics.vars }
