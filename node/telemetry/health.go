package telemetry

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"

	"github.com/gorilla/mux"
)

// Check is a readiness check. Err returns nil if it passes; it is called for each request to /readyz and must
// not block.
type Check struct {
	Name string
	Err  func() error
}

// Handler serves /debug/vars, /healthz and /readyz. /healthz returns 200 while the process responds; /readyz returns
// 503 with the reasons while a check fails, so that the load balancer sends callers to other daemons.
func Handler(r *Registry, checks ...Check) http.Handler {
	router := mux.NewRouter()
	get := func(path string, fn http.HandlerFunc) {
		router.HandleFunc(path, fn).Methods(http.MethodGet, http.MethodHead)
	}
	get("/debug/vars", r.serveVars)
	get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]string{"process": "ok"})
	})
	get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		status, states := http.StatusOK, make(map[string]string, len(checks))
		for _, c := range checks {
			states[c.Name] = "ok"
			if err := c.Err(); err != nil {
				status, states[c.Name] = http.StatusServiceUnavailable, err.Error()
			}
		}
		writeJSON(w, status, states)
	})
	return router
}

// serveVars writes the variables of the process, as expvar does, and the registry under "waxwingslip".
func (r *Registry) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprint(w, "{\n")
	expvar.Do(func(kv expvar.KeyValue) { _, _ = fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value) })
	_, _ = fmt.Fprintf(w, "%q: %s\n}\n", "waxwingslip", r)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}
