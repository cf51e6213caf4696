package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/node/operator"
	"waxwingslip.example/node/operator/api"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const token = "0123456789abcdef"

// fakeDaemon keeps published documents in memory. Its zones have the newest one in force, or are drained, once it has
// been polled pollsUntilCurrent times.
type fakeDaemon struct {
	operator.Commands
	operator.Queries

	mu                sync.Mutex
	zone              string
	docs              []string
	ids               []uuid.UUID
	result            api.Result
	pollsUntilCurrent int
	lastJob           api.SubmitJob
	lastLost          api.WorkerLost
}

func (d *fakeDaemon) PublishConfig(_ context.Context, c api.PublishConfig) (api.Answer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ids = append(d.ids, c.Command)
	switch {
	case d.result != "":
		return api.Answer{Result: d.result, Reason: "log timed out", Step: "append", Peer: "10.0.0.5:7000"}, nil
	case c.Base != int64(len(d.docs)):
		return api.Answer{Result: api.Conflict, Reason: "another version is current"}, nil
	}
	d.docs = append(d.docs, c.Document)
	return api.Answer{Result: api.Accepted, Version: int64(len(d.docs))}, nil
}

func (d *fakeDaemon) SetZoneService(ctx context.Context, c api.SetZoneService) (api.Answer, error) {
	d.mu.Lock()
	base := len(d.docs)
	doc, err := environment.SetZone([]byte(d.docs[base-1]), c.Zone, !c.InService)
	d.mu.Unlock()
	if err != nil {
		return api.Answer{Result: api.Rejected, Reason: err.Error()}, nil
	}
	return d.PublishConfig(ctx, api.PublishConfig{Command: c.Command, Base: int64(base), Document: string(doc)})
}

func (d *fakeDaemon) SubmitJob(_ context.Context, c api.SubmitJob) (api.Answer, error) {
	d.lastJob = c
	return api.Answer{Result: api.Accepted}, nil
}

func (d *fakeDaemon) CancelJob(_ context.Context, c api.CancelJob) (api.Answer, error) {
	return api.Answer{Result: api.Rejected, Reason: "no job " + c.Job}, nil
}

func (d *fakeDaemon) WorkerLost(_ context.Context, c api.WorkerLost) (api.Answer, error) {
	d.lastLost = c
	return api.Answer{Result: api.Accepted}, nil
}

func (d *fakeDaemon) Config(_ context.Context, v int64) (api.Config, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v == 0 {
		v = int64(len(d.docs))
	}
	if v < 1 || v > int64(len(d.docs)) {
		return api.Config{}, operator.ErrNotFound
	}
	return api.Config{Version: v, Document: d.docs[v-1], Author: "rosa", Source: "log"}, nil
}

func (d *fakeDaemon) ConfigInForce(context.Context) (api.ConfigInForce, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	version := int64(len(d.docs))
	if d.pollsUntilCurrent--; d.pollsUntilCurrent >= 0 {
		version--
	}
	return api.ConfigInForce{Version: int64(len(d.docs)), Zones: []api.ZoneConfig{
		{Zone: "lima-a", Version: int64(len(d.docs)), Reachable: true},
		{Zone: "cusco-a", Version: version, Reachable: true}}}, nil
}

func (d *fakeDaemon) Zones(context.Context) (api.Zones, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	doc, err := environment.Parse([]byte(d.docs[len(d.docs)-1]))
	if err != nil {
		return api.Zones{}, err
	}
	d.pollsUntilCurrent--
	var out api.Zones
	for _, name := range doc.ZoneNames() {
		_, z, _ := doc.FindZone(name)
		out.Zones = append(out.Zones, api.Zone{Name: name, Reachable: true, InService: !z.OutOfService,
			ConfigVersion: int64(len(d.docs)), Drained: z.OutOfService && d.pollsUntilCurrent < 0,
			BatchTasks: max(d.pollsUntilCurrent+1, 0)})
	}
	return out, nil
}

func (d *fakeDaemon) Tasks(_ context.Context, q api.TasksQuery) (api.Tasks, error) {
	if q.Zone != "" && q.Zone != d.zone {
		return api.Tasks{}, operator.ErrOtherZone
	}
	if q.After == "" {
		return api.Tasks{Zone: d.zone, Next: "1", Tasks: []api.Task{{Zone: d.zone, Job: "a"}}}, nil
	}
	return api.Tasks{Zone: d.zone, Tasks: []api.Task{{Zone: d.zone, Job: "b"}}}, nil
}

func (d *fakeDaemon) Workers(_ context.Context, q api.WorkersQuery) (api.Workers, error) {
	if q.Zone != d.zone {
		return api.Workers{}, operator.ErrOtherZone
	}
	return api.Workers{Zone: d.zone, Workers: []api.Worker{{WorkerInfo: record.WorkerInfo{ID: "w7"}}}}, nil
}

func (d *fakeDaemon) Jobs(_ context.Context, q api.JobsQuery) (api.Jobs, error) {
	if q.After != "" {
		return api.Jobs{Jobs: []api.JobSummary{{ID: "b", Running: 1}}}, nil
	}
	return api.Jobs{Jobs: []api.JobSummary{{ID: "a", Tasks: 9, Running: 2, Succeeded: 4}}, Next: "a"}, nil
}

func (d *fakeDaemon) Job(_ context.Context, id string) (api.Job, error) {
	if id != "a" {
		return api.Job{}, operator.ErrNotFound
	}
	return api.Job{JobSummary: api.JobSummary{ID: "a", Running: 2, Succeeded: 4}}, nil
}

func (d *fakeDaemon) Status(context.Context) (api.Status, error) {
	return api.Status{Daemon: "entry-" + d.zone, Zone: d.zone,
		Alarms: []api.Alarm{{Name: "log-unreachable", SinceSeconds: 12, Detail: "10.0.0.5:7000"}}}, nil
}

func (d *fakeDaemon) Explain(_ context.Context, q api.ExplainQuery) (api.Explanation, error) {
	return api.Explanation{Subject: "service " + q.Service, State: "slow in " + d.zone,
		Verdict: &api.Verdict{Cause: "neighbours", Requests: 500}}, nil
}

func (d *fakeDaemon) serve(t *testing.T) string {
	t.Helper()
	tokens, err := operator.ParseTokens([]byte(token))
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(operator.NewHandler(d, d, tokens))
	t.Cleanup(srv.Close)
	return srv.URL
}

// cli runs one command line against daemons.
type cli struct {
	t       *testing.T
	daemons string
	token   string
}

func newCLI(t *testing.T, daemons ...string) *cli {
	t.Helper()
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte("# operators\n"+token+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return &cli{t: t, daemons: strings.Join(daemons, ","), token: path}
}

func (c *cli) run(args ...string) (code int, stdout, stderr string) {
	c.t.Helper()
	var out, errs bytes.Buffer
	env := map[string]string{envDaemons: c.daemons, envTokenFile: c.token, "USER": "inti"}
	a := newApp(func(name string) string { return env[name] }, &out, &errs)
	a.pollInterval = time.Millisecond
	code = a.execute(c.t.Context(), args)
	return code, out.String(), errs.String()
}

// expect runs a command line and checks its exit code and a part of its output.
func (c *cli) expect(code int, part string, args ...string) string {
	c.t.Helper()
	got, stdout, stderr := c.run(args...)
	if got != code || !strings.Contains(stdout+stderr, part) {
		c.t.Fatalf("%v: exit code %d, want %d with %q\n%s%s", args, got, code, part, stdout, stderr)
	}
	return stdout
}

const sacudidoresExamples = "../../examples/sacudidores/"

func readTestFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against wrong reports of the result or progress of a publish, and against different outcomes that end with the
// same exit code.
func TestPublish(t *testing.T) {
	is := is.New(t)
	d := &fakeDaemon{pollsUntilCurrent: 2}
	c := newCLI(t, "http://127.0.0.1:1", d.serve(t))
	trial := sacudidoresExamples + "trial.yaml"
	c.expect(exitOK, "service bookings: added", "config", "publish", "-base", "0", "-dry-run", trial)
	is.Equal(len(d.docs), 0)
	c.expect(exitOK, "in force in 1 of 2 zones, waiting for cusco-a (version 0)", "config", "publish", "-base", "0", trial)
	is.Equal(len(d.docs), 1)
	c.expect(exitConflict, "nothing was changed", "config", "publish", "-base", "0", trial)
	c.expect(exitConflict, "version 1 by rosa is current", "config", "publish", "-base", "0", "-dry-run", trial)
	c.expect(exitUsage, "-base", "config", "publish", trial)
	d.pollsUntilCurrent = 1 << 30
	c.expect(exitTimeout, "waiting for cusco-a", "config", "publish", "-base", "current", "-timeout", "30ms", trial)
	c.expect(exitOK, "published version 3", "config", "publish", "-base", "2", "-wait=false", trial)
	is.Equal(c.expect(exitOK, "version 3 by rosa", "config", "show"), readTestFile(t, trial))
	c.expect(exitNotFound, "not found", "config", "show", "-version", "9")
	c.expect(exitOK, "cusco-a", "config", "show", "-in-force")
	c.expect(exitOK, "no changes", "config", "diff", trial)
	c.expect(exitOK, "environment: name trial -> production", "config", "diff", trial,
		sacudidoresExamples+"production.yaml")
	for _, dryRunFlag := range []string{"-dry-run=true", "-dry-run=false"} {
		c.expect(exitRejected, `environment: is "production"`, "config", "publish", dryRunFlag, "-base", "3",
			sacudidoresExamples+"production.yaml")
	}
	is.Equal(len(d.docs), 3)
}

// Guards against an unknown result, for instance after a lost response, that is reported as a failure or is retried
// with another command id.
func TestUnknownResult(t *testing.T) {
	is := is.New(t)
	d := &fakeDaemon{result: api.Unknown}
	c := newCLI(t, d.serve(t))
	id := uuid.NewString()
	c.expect(exitUnknown, "repeat it with -command-id "+id, "config", "publish", "-base", "0", "-command-id", id,
		sacudidoresExamples+"trial.yaml")
	is.True(len(d.ids) > 1)
	for _, seen := range d.ids {
		is.Equal(seen.String(), id)
	}
	c.expect(exitUsage, "must be a UUID", "config", "publish", "-base", "0", "-command-id", "x",
		sacudidoresExamples+"trial.yaml")
}

// Guards against an invalid document that is sent to a daemon, and against problems reported without file and line.
func TestInvalidDocument(t *testing.T) {
	is := is.New(t)
	d := &fakeDaemon{}
	c := newCLI(t, d.serve(t))
	path := filepath.Join(t.TempDir(), "bad.yaml")
	bad := strings.NewReplacer("timeoutMs: 10000", "timeoutMs: 10s", "enabled: true", "enable: true").
		Replace(readTestFile(t, sacudidoresExamples+"trial.yaml"))
	is.NoErr(os.WriteFile(path, []byte(bad), 0o600))
	c.expect(exitRejected, path+`: line 45: services[2].timeoutMs: is "10s"`, "config", "publish", "-base", "0", path)
	c.expect(exitRejected, "1 of 2 files are invalid", "config", "check", path, sacudidoresExamples+"trial.yaml")
	_, stdout, _ := c.run("-o", "json", "config", "check", path)
	var list []fileCheck
	is.NoErr(json.Unmarshal([]byte(stdout), &list))
	is.Equal(len(list[0].Problems), 2)
	is.Equal(len(d.ids), 0)
	c.expect(exitFailed, "no such file", "config", "check", path+"x")
}

// Guards against a promotion without -allow-zone-changes that puts a zone back in service that operators took out.
func TestPromoteAndZones(t *testing.T) {
	is := is.New(t)
	d := &fakeDaemon{}
	c := newCLI(t, d.serve(t))
	trial := sacudidoresExamples + "trial.yaml"
	c.expect(exitUsage, "-environment", "config", "promote", trial)
	c.expect(exitOK, "published version 1", "config", "promote", "-environment", "production", trial)
	is.Equal(d.docs[0], readTestFile(t, sacudidoresExamples+"production.yaml"))
	c.expect(exitOK, "zone-in-service cusco-a: taken out of service", "zone", "out", "-dry-run", "cusco-a")
	is.Equal(len(d.docs), 1)
	d.pollsUntilCurrent = 2
	c.expect(exitOK, "zone cusco-a: 2 batch tasks running", "zone", "out", "cusco-a")
	c.expect(exitRejected, "zone-in-service cusco-a: put back in service", "config", "promote", trial)
	is.Equal(len(d.docs), 2)
	c.expect(exitOK, "in force in every zone", "zone", "in", "cusco-a")
	c.expect(exitRejected, "declared are cusco-a, lima-a, lima-b", "zone", "out", "cusco-b")
	c.expect(exitOK, "lima-b", "zone", "list")
	other := &fakeDaemon{docs: []string{strings.Replace(readTestFile(t, trial), "lima-a: 20", "lima-a: 19", 1)}}
	c.expect(exitOK, "replicas in zone lima-a 20 -> 19", "config", "promote", "-from", other.serve(t))
}

// Guards against a wait that uses another zone's outdated summary although a daemon of the zone itself responds.
func TestMergedZones(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		reachable    bool
		age          int64
		oldReachable bool
		oldAge       int64
		prefer       bool
	}{
		{true, 0, true, 2000, true}, {true, 2000, true, 0, false}, {true, 9000, false, -1, true},
		{false, -1, true, 9000, false}, {false, -1, false, 5, false}, {false, 5, false, -1, true},
	} {
		is.Equal(preferZoneInfo(c.reachable, c.age, c.oldReachable, c.oldAge), c.prefer)
	}
	stale, current := &fakeDaemon{docs: []string{"x"}, pollsUntilCurrent: 1 << 30}, &fakeDaemon{docs: []string{"x", "y"}}
	c := newCLI(t, stale.serve(t), "http://127.0.0.1:1", current.serve(t))
	c.expect(exitOK, "newest version 2", "config", "show", "-in-force")
}

// Guards against job and worker commands whose requests differ from the command line.
func TestJobsAndWorkers(t *testing.T) {
	is := is.New(t)
	d := &fakeDaemon{zone: "lima-a", docs: []string{readTestFile(t, sacudidoresExamples+"production.yaml")}}
	c := newCLI(t, d.serve(t))
	file := sacudidoresExamples + "statement.job.yaml"
	c.expect(exitOK, "valid under version 1", "job", "submit", "-dry-run", file)
	c.expect(exitOK, "job june: accepted, 60 tasks", "job", "submit", "-id", "june", "-zone", "lima-b", file)
	is.Equal(d.lastJob.Job.ID, "june")
	is.Equal(d.lastJob.Zone, "lima-b")
	c.expect(exitRejected, `statement.job.yaml: given id: is "No"`, "job", "submit", "-id", "No", file)
	c.expect(exitRejected, "no job x", "job", "cancel", "x")
	c.expect(exitUsage, "-vm-is-gone", "worker", "lost", "lima-a", "w7")
	c.expect(exitNotFound, `no worker "w8"`, "worker", "lost", "-vm-is-gone", "lima-a", "w8")
	is.Equal(d.lastLost.Worker, "")
	c.expect(exitOK, "is not checked", "worker", "lost", "-vm-is-gone", "lima-b", "w8")
	c.expect(exitOK, "attested", "worker", "lost", "-vm-is-gone", "lima-a", "w7")
	is.Equal(d.lastLost.Worker, "w7")
	is.Equal(d.lastLost.Author, "inti")
}

// Guards against lists that miss a zone or contain one twice, and against JSON output that cannot be decoded.
func TestQueries(t *testing.T) {
	is := is.New(t)
	a, again, b := &fakeDaemon{zone: "lima-a"}, &fakeDaemon{zone: "lima-a"}, &fakeDaemon{zone: "cusco-a"}
	c := newCLI(t, a.serve(t), again.serve(t), b.serve(t))
	var tasks []api.Task
	is.NoErr(json.Unmarshal([]byte(c.expect(exitOK, "", "-o", "json", "task", "list")), &tasks))
	is.Equal(tasks, []api.Task{{Zone: "lima-a", Job: "a"}, {Zone: "lima-a", Job: "b"}, {Zone: "cusco-a", Job: "a"},
		{Zone: "cusco-a", Job: "b"}})
	is.NoErr(json.Unmarshal([]byte(c.expect(exitOK, "", "-o", "json", "task", "list", "-zone", "cusco-a")), &tasks))
	is.Equal(len(tasks), 2)
	var jobs api.Jobs
	is.NoErr(json.Unmarshal([]byte(c.expect(exitOK, "", "-o", "json", "job", "status")), &jobs))
	is.Equal(jobs.Jobs, []api.JobSummary{{ID: "a", Tasks: 9, Running: 4, Succeeded: 4}, {ID: "b", Running: 2}})
	var job api.Job
	is.NoErr(json.Unmarshal([]byte(c.expect(exitOK, "", "-o", "json", "job", "status", "a")), &job))
	is.Equal(job.Running, 4)
	c.expect(exitNotFound, "not found", "job", "status", "x")
	c.expect(exitNotFound, `serves zone "x"`, "task", "list", "-zone", "x")
	c.expect(exitOK, "alarm log-unreachable at entry-cusco-a for 12 s", "status")
	var explanations []explanation
	is.NoErr(json.Unmarshal([]byte(c.expect(exitOK, "", "-o", "json", "explain", "service", "bookings")), &explanations))
	is.Equal(len(explanations), 2)
	c.expect(exitOK, "neighbours, from 500 requests", "explain", "worker", "w1")
	c.expect(exitUsage, "explain needs", "explain", "zone", "x")
	c.expect(exitUsage, "allowed are table and json", "-o", "xml", "status")
	c.expect(exitUsage, "wrong number of arguments", "zone", "out")
	c.expect(exitFailed, "did not answer", "-daemon", "http://127.0.0.1:1", "status")
	c.expect(exitUsage, "must be URLs", "-daemon", "127.0.0.1:1", "status")
}
