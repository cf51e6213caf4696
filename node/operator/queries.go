package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"waxwingslip.example/node/operator/api"
)

func addQueries(r *mux.Router, q Queries) {
	handleQuery(r, api.PathStatus, func(ctx context.Context, _ *params) (api.Status, error) { return q.Status(ctx) })
	handleQuery(r, api.PathZones, func(ctx context.Context, _ *params) (api.Zones, error) { return q.Zones(ctx) })
	handleQuery(r, api.PathConfigInForce, func(ctx context.Context, _ *params) (api.ConfigInForce, error) {
		return q.ConfigInForce(ctx)
	})
	handleQuery(r, api.PathConfig, func(ctx context.Context, p *params) (api.Config, error) {
		version := p.number("version", 0, 0, 1<<62)
		if p.err != nil {
			return api.Config{}, p.err
		}
		return q.Config(ctx, version)
	})
	handleQuery(r, api.PathJobs, func(ctx context.Context, p *params) (api.Jobs, error) {
		jq := api.JobsQuery{Team: p.text("team"), State: p.text("state"), Limit: p.limit(), After: p.text("after")}
		if p.err != nil {
			return api.Jobs{}, p.err
		}
		return q.Jobs(ctx, jq)
	})
	handleQuery(r, api.PathJob, func(ctx context.Context, p *params) (api.Job, error) {
		id := p.required("id")
		if p.err != nil {
			return api.Job{}, p.err
		}
		return q.Job(ctx, id)
	})
	handleQuery(r, api.PathTasks, func(ctx context.Context, p *params) (api.Tasks, error) {
		tq := api.TasksQuery{Zone: p.text("zone"), Job: p.text("job"), Worker: p.text("worker"),
			State: p.text("state"), Limit: p.limit(), After: p.text("after")}
		if p.err != nil {
			return api.Tasks{}, p.err
		}
		return q.Tasks(ctx, tq)
	})
	handleQuery(r, api.PathWorkers, func(ctx context.Context, p *params) (api.Workers, error) {
		wq := api.WorkersQuery{Zone: p.text("zone"), State: p.text("state"), Limit: p.limit(), After: p.text("after")}
		if p.err != nil {
			return api.Workers{}, p.err
		}
		return q.Workers(ctx, wq)
	})
	handleQuery(r, api.PathExplain, func(ctx context.Context, p *params) (api.Explanation, error) {
		eq := p.explainQuery()
		if p.err != nil {
			return api.Explanation{}, p.err
		}
		return q.Explain(ctx, eq)
	})
}

func handleQuery[T any](r *mux.Router, path string, do func(context.Context, *params) (T, error)) {
	r.Path(path).Methods(http.MethodGet).HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		ctx, cancel := context.WithTimeout(req.Context(), queryTimeout)
		defer cancel()
		p := &params{values: req.URL.Query()}
		result, err := do(ctx, p)
		switch {
		case p.err != nil:
			writeProblem(w, http.StatusBadRequest, "read query", p.err)
		case err != nil:
			writeProblem(w, statusOf(err), path, err)
		default:
			writeJSON(w, http.StatusOK, result)
		}
	})
}

// params reads query parameters and keeps the first error.
type params struct {
	values url.Values
	err    error
}

func (p *params) text(name string) string { return p.values.Get(name) }

func (p *params) required(name string) string {
	v := p.values.Get(name)
	if v == "" && p.err == nil {
		p.err = errors.Errorf("parameter %q is missing", name)
	}
	return v
}

func (p *params) number(name string, fallback, low, high int64) int64 {
	text := p.values.Get(name)
	if text == "" {
		return fallback
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if (err != nil || v < low || v > high) && p.err == nil {
		p.err = errors.Errorf("parameter %q is %q, allowed are whole numbers from %d to %d", name, text, low, high)
	}
	return v
}

func (p *params) limit() int {
	return int(p.number("limit", api.DefaultLimit, 1, api.MaxLimit))
}

func (p *params) explainQuery() api.ExplainQuery {
	q := api.ExplainQuery{Job: p.text("job"), Index: int(p.number("index", -1, 0, 1<<31-1)),
		Worker: p.text("worker"), Service: p.text("service")}
	subjects := 0
	for _, s := range []string{q.Job, q.Worker, q.Service} {
		if s != "" {
			subjects++
		}
	}
	if subjects != 1 && p.err == nil {
		p.err = errors.New(`exactly one of the parameters "job", "worker" and "service" is needed`)
	}
	return q
}
