package telemetry

import "expvar"

// Publish adds a variable that another package maintains, such as the counters of the gateway.
func (r *Registry) Publish(name string, v expvar.Var) { r.vars.Set(name, v) }
