package daemon

import (
	"net/http"

	"github.com/pkg/errors"

	"waxwingslip.example/node/telemetry"
)

// healthHandler serves the load balancer's checks and the metrics. An unreachable log does not make a daemon unready,
// since requests are served without it.
func (d *Daemon) healthHandler() http.Handler {
	return telemetry.Handler(d.registry,
		check("draining", "daemon drains", d.gateway.Ready),
		check("configuration", "no configuration is known yet", func() bool { return commands{d}.version() > 0 }),
		check("zone", "the zone state is not read yet", d.zone.Follower.Ready),
	)
}

func check(name, problem string, ok func() bool) telemetry.Check {
	return telemetry.Check{Name: name, Err: func() error {
		if ok() {
			return nil
		}
		return errors.New(problem)
	}}
}
