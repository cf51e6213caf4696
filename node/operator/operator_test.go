package operator

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"waxwingslip.example/node/operator/api"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const token = "0123456789abcdef"

// fakeDaemon records commands and answers them with result.
type fakeDaemon struct {
	result   api.Result
	err      error
	commands []uuid.UUID
	explain  api.ExplainQuery
	tasks    api.TasksQuery
}

func (d *fakeDaemon) do(id uuid.UUID) (api.Answer, error) {
	d.commands = append(d.commands, id)
	return api.Answer{Result: d.result, Reason: "because", Step: "append", Peer: "log"}, d.err
}

func (d *fakeDaemon) PublishConfig(_ context.Context, c api.PublishConfig) (api.Answer, error) {
	return d.do(c.Command)
}
func (d *fakeDaemon) SubmitJob(_ context.Context, c api.SubmitJob) (api.Answer, error) {
	return d.do(c.Command)
}
func (d *fakeDaemon) CancelJob(_ context.Context, c api.CancelJob) (api.Answer, error) {
	return d.do(c.Command)
}
func (d *fakeDaemon) SetZoneService(_ context.Context, c api.SetZoneService) (api.Answer, error) {
	return d.do(c.Command)
}
func (d *fakeDaemon) WorkerLost(_ context.Context, c api.WorkerLost) (api.Answer, error) {
	return d.do(c.Command)
}
func (d *fakeDaemon) Status(context.Context) (api.Status, error) {
	return api.Status{Daemon: "d"}, d.err
}
func (d *fakeDaemon) Config(_ context.Context, v int64) (api.Config, error) {
	return api.Config{Version: v}, d.err
}
func (d *fakeDaemon) ConfigInForce(context.Context) (api.ConfigInForce, error) {
	return api.ConfigInForce{Version: 7}, d.err
}
func (d *fakeDaemon) Jobs(_ context.Context, q api.JobsQuery) (api.Jobs, error) {
	return api.Jobs{Next: q.Team + q.State}, d.err
}
func (d *fakeDaemon) Job(_ context.Context, id string) (api.Job, error) {
	return api.Job{JobSummary: api.JobSummary{ID: id}}, d.err
}
func (d *fakeDaemon) Tasks(_ context.Context, q api.TasksQuery) (api.Tasks, error) {
	d.tasks = q
	return api.Tasks{Zone: q.Zone}, d.err
}
func (d *fakeDaemon) Workers(_ context.Context, q api.WorkersQuery) (api.Workers, error) {
	return api.Workers{Zone: q.Zone}, d.err
}
func (d *fakeDaemon) Zones(context.Context) (api.Zones, error) { return api.Zones{}, d.err }
func (d *fakeDaemon) Explain(_ context.Context, q api.ExplainQuery) (api.Explanation, error) {
	d.explain = q
	return api.Explanation{Subject: q.Job}, d.err
}

func startServer(t *testing.T, d *fakeDaemon) (*httptest.Server, *api.Client) {
	t.Helper()
	tokens, err := ParseTokens([]byte("# tokens\n" + token + "\n"))
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(NewHandler(d, d, tokens))
	t.Cleanup(srv.Close)
	return srv, api.NewClient(srv.URL, token, srv.Client())
}

// Guards against a command whose id or result is not passed on between client and daemon.
func TestCommands(t *testing.T) {
	for _, result := range []api.Result{api.Accepted, api.Conflict, api.Rejected, api.Unknown} {
		is := is.New(t)
		d := &fakeDaemon{result: result}
		_, c := startServer(t, d)
		ctx := t.Context()
		id := uuid.New()
		for _, call := range []func() (api.Answer, error){
			func() (api.Answer, error) {
				return c.PublishConfig(ctx, api.PublishConfig{Command: id, Document: strings.Repeat("\n", 200<<10)})
			},
			func() (api.Answer, error) { return c.SubmitJob(ctx, api.SubmitJob{Command: id}) },
			func() (api.Answer, error) { return c.CancelJob(ctx, api.CancelJob{Command: id, Job: "j"}) },
			func() (api.Answer, error) { return c.SetZoneService(ctx, api.SetZoneService{Command: id, Zone: "z"}) },
			func() (api.Answer, error) { return c.WorkerLost(ctx, api.WorkerLost{Command: id, Worker: "w"}) },
		} {
			answer, err := call()
			is.NoErr(err)
			is.Equal(answer, api.Answer{Command: id, Result: result, Reason: "because", Step: "append", Peer: "log"})
		}
		is.Equal(d.commands, []uuid.UUID{id, id, id, id, id})
	}
}

// Guards against query parameters that the daemon reads under another name than the client writes.
func TestQueries(t *testing.T) {
	is := is.New(t)
	d := &fakeDaemon{}
	_, c := startServer(t, d)
	ctx := t.Context()
	cfg, err := c.Config(ctx, 12)
	is.NoErr(err)
	is.Equal(cfg.Version, int64(12))
	jobs, err := c.Jobs(ctx, api.JobsQuery{Team: "t", State: "queued"})
	is.NoErr(err)
	is.Equal(jobs.Next, "tqueued")
	job, err := c.Job(ctx, "service/a b")
	is.NoErr(err)
	is.Equal(job.ID, "service/a b")
	q := api.TasksQuery{Zone: "z", Job: "j", Worker: "w", State: "pending", Limit: 5, After: "x"}
	_, err = c.Tasks(ctx, q)
	is.NoErr(err)
	is.Equal(d.tasks, q)
	_, err = c.Explain(ctx, api.ExplainQuery{Job: "j", Index: 3})
	is.NoErr(err)
	is.Equal(d.explain, api.ExplainQuery{Job: "j", Index: 3})
	_, err = c.Explain(ctx, api.ExplainQuery{Worker: "w", Index: -1})
	is.NoErr(err)
	is.Equal(d.explain, api.ExplainQuery{Worker: "w", Index: -1})
	for _, err := range []error{errorOf(c.Status(ctx)), errorOf(c.Zones(ctx)), errorOf(c.ConfigInForce(ctx)),
		errorOf(c.Workers(ctx, api.WorkersQuery{}))} {
		is.NoErr(err)
	}
}

func errorOf[T any](_ T, err error) error { return err }

// Guards against an error whose status, step or peer does not reach the operator.
func TestErrors(t *testing.T) {
	for err, status := range map[error]int{
		ErrNotFound: http.StatusNotFound, ErrOtherZone: http.StatusMisdirectedRequest,
		ErrNotReady: http.StatusServiceUnavailable, errors.New("x"): http.StatusInternalServerError,
	} {
		is := is.New(t)
		d := &fakeDaemon{err: &StepError{Step: "read back", Peer: "10.0.0.9:1", Err: err}}
		_, c := startServer(t, d)
		_, got := c.Status(t.Context())
		var e *api.Error
		is.True(errors.As(got, &e))
		is.Equal(e.Status, status)
		is.Equal(e.Step, "read back")
		is.True(strings.Contains(e.Error(), "10.0.0.9:1"))
		_, got = c.CancelJob(t.Context(), api.CancelJob{Command: uuid.New(), Job: "j"})
		is.True(errors.As(got, &e))
	}
}

// Guards against requests that reach the daemon without a token, an id or a well-formed body.
func TestRefusals(t *testing.T) {
	d := &fakeDaemon{result: api.Accepted}
	srv, _ := startServer(t, d)
	id := uuid.NewString()
	for _, c := range []struct {
		name, method, path, token, body string
		status                          int
	}{
		{"no token", "POST", api.PathCancelJob, "", `{"command":"` + id + `"}`, 401},
		{"wrong token", "POST", api.PathCancelJob, "0123456789abcdeF", `{"command":"` + id + `"}`, 401},
		{"no token, unknown path", "GET", "/x", "", "", 401},
		{"no id", "POST", api.PathCancelJob, token, `{"job":"j"}`, 400},
		{"unknown field", "POST", api.PathCancelJob, token, `{"command":"` + id + `","jbo":"j"}`, 400},
		{"two values", "POST", api.PathCancelJob, token, `{"command":"` + id + `"} {}`, 400},
		{"too large", "POST", api.PathPublishConfig, token, `{"document":"` + strings.Repeat("x", api.MaxCommandBytes) + `"}`, 413},
		{"command with GET", "GET", api.PathCancelJob, token, "", 405},
		{"query with POST", "POST", api.PathStatus, token, "", 405},
		{"unknown path", "GET", "/query/x", token, "", 404},
		{"limit", "GET", api.PathJobs + "?limit=0", token, "", 400},
		{"number", "GET", api.PathConfig + "?version=x", token, "", 400},
		{"no subject", "GET", api.PathExplain, token, "", 400},
		{"two subjects", "GET", api.PathExplain + "?job=a&worker=b", token, "", 400},
		{"no job", "GET", api.PathJob, token, "", 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(c.method, srv.URL+c.path, bytes.NewReader([]byte(c.body)))
			is.NoErr(err)
			if c.token != "" {
				req.Header.Set("Authorization", "Bearer "+c.token)
			}
			resp, err := srv.Client().Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.True(bytes.Contains(body, []byte(`"message"`)))
			is.True(!bytes.Contains(body, []byte(token)))
		})
	}
	is.New(t).Equal(len(d.commands), 0)
}

// Guards against a retry with another id, and against a refused command that is retried at another daemon.
func TestPool(t *testing.T) {
	is := is.New(t)
	unknown, conflict := &fakeDaemon{result: api.Unknown}, &fakeDaemon{result: api.Conflict}
	_, a := startServer(t, unknown)
	_, b := startServer(t, conflict)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	unreachable := api.NewClient("http://"+l.Addr().String(), token, &http.Client{Transport: &http.Transport{}})
	id := uuid.New()
	answer, err := api.NewPool([]*api.Client{unreachable, a, b, a}, 1).Command(t.Context(),
		func(ctx context.Context, c *api.Client) (api.Answer, error) {
			return c.CancelJob(ctx, api.CancelJob{Command: id, Job: "j"})
		})
	is.NoErr(err)
	is.Equal(answer.Result, api.Conflict)
	is.Equal(unknown.commands, []uuid.UUID{id})
	is.Equal(conflict.commands, []uuid.UUID{id})
	_, err = api.NewPool([]*api.Client{unreachable}, 2).Command(t.Context(),
		func(ctx context.Context, c *api.Client) (api.Answer, error) {
			return c.CancelJob(ctx, api.CancelJob{Command: id})
		})
	var e *api.Error
	is.True(errors.As(err, &e))
	is.True(!e.OutcomeUnknown)
}

// Guards against an error for a command that a daemon may have carried out before its answer was lost.
func TestPoolLostResponse(t *testing.T) {
	is := is.New(t)
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer aborting.Close()
	notReady := &fakeDaemon{err: ErrNotReady}
	_, b := startServer(t, notReady)
	a := api.NewClient(aborting.URL, token, aborting.Client())
	answer, err := api.NewPool([]*api.Client{a, b}, 1).Command(t.Context(),
		func(ctx context.Context, c *api.Client) (api.Answer, error) {
			return c.CancelJob(ctx, api.CancelJob{Command: uuid.New(), Job: "j"})
		})
	is.NoErr(err)
	is.Equal(answer.Result, api.Unknown)
	is.Equal(answer.Peer, aborting.URL)
	is.Equal(len(notReady.commands), 1)
}

// Guards against a token file that is accepted without a usable token, or quoted in an error.
func TestTokens(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "# none\n", "short\n", "0123456789 abcdefghi\n"} {
		_, err := ParseTokens([]byte(text))
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), "short"))
	}
	tokens, err := ParseTokens([]byte(token + "\nfedcba9876543210\n"))
	is.NoErr(err)
	is.True(tokens.Valid("fedcba9876543210"))
	is.True(!tokens.Valid(""))
}
