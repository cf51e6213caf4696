package daemon

import (
	"expvar"
	"net/http"

	"github.com/gorilla/mux"
)

// healthHandler serves the balancer's checks and the metrics.
func (d *Daemon) healthHandler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// ready reports whether callers may be sent here: the configuration is known and the daemon does not drain.
// Being cut off from the log does not matter, since requests are served without it.
func (d *Daemon) ready() bool {
	return d.gateway.Ready() && commands{d}.version() > 0 && d.zone.Follower.Ready()
}
