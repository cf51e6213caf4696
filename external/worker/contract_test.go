package worker_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/worker"
	"waxwingslip.example/external/worker/fake"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	ctx    = context.Background()
	runKey = worker.RunKey{Job: "tune", Index: 1, Epoch: 2}
)

type testEnv struct {
	*is.I
	client  worker.Client
	address string
	fake    *fake.Worker
}

func (e testEnv) fence() worker.Fence {
	rep, err := e.client.Report(ctx, e.address)
	e.NoErr(err)
	return worker.Fence{Incarnation: rep.Incarnation, OwnerEpoch: 5, NotAfterMs: 1 << 40}
}

func (e testEnv) startRequest(payload string) worker.StartRequest {
	return worker.StartRequest{Fence: e.fence(), RunKey: runKey, Class: "c", Size: resource.Vector{Slots: 1}, Payload: payload}
}

func (e testEnv) renew() {
	_, err := e.client.Renew(ctx, e.address, worker.RenewRequest{Fence: e.fence(), LeaseUntilMs: 1 << 40})
	e.NoErr(err)
}

func (e testEnv) start(payload string) {
	e.renew()
	e.NoErr(e.client.Start(ctx, e.address, e.startRequest(payload)))
}

var contractCases = []struct {
	name string
	run  func(e testEnv)
}{
	// Guards against a repeated Start command that runs the task twice.
	{"idempotent start", func(e testEnv) {
		e.start("run=1h")
		e.start("run=1h")
		e.Equal(len(e.fake.History()), 1)
	}},
	// Guards against commands from a previous owner or after their deadline that still take effect.
	{"fences", func(e testEnv) {
		e.renew()
		req := e.startRequest("")
		req.OwnerEpoch = 4
		e.True(errors.Is(e.client.Start(ctx, e.address, req), worker.ErrFenced))
		req = e.startRequest("")
		req.OwnerEpoch, req.NotAfterMs = 9, e.fake.NowMs()-1
		e.True(errors.Is(e.client.Start(ctx, e.address, req), worker.ErrTooLate))
		rep, err := e.client.Report(ctx, e.address)
		e.NoErr(err)
		e.Equal(rep.OwnerEpoch, int64(5))
		e.Equal(len(rep.Runs), 0)
	}},
	// Guards against a worker that reserves more than its capacity, or starts tasks without a lease that would stop
	// them.
	{"refusals", func(e testEnv) {
		e.True(errors.Is(e.client.Start(ctx, e.address, e.startRequest("")), worker.ErrRefused))
		e.start("run=1h")
		big := e.startRequest("")
		big.Index, big.Size.Slots = 2, 2
		e.True(errors.Is(e.client.Start(ctx, e.address, big), worker.ErrRefused))
		_, err := e.client.Checkpoint(ctx, e.address, worker.StopRequest{Fence: e.fence(), RunKey: worker.RunKey{Job: "other"}})
		e.True(errors.Is(err, worker.ErrRefused))
		e.True(errors.Is(e.client.Ack(ctx, e.address, worker.AckRequest{Fence: e.fence(), Runs: []worker.RunKey{runKey}}), worker.ErrRefused))
	}},
	// Guards against commands that were sent before a restart and take effect after it.
	{"incarnation", func(e testEnv) {
		e.renew()
		old := e.startRequest("")
		e.fake.Kill()
		e.fake.Restart(1000)
		e.renew()
		e.True(errors.Is(e.client.Start(ctx, e.address, old), worker.ErrFenced))
		e.start("run=1h")
	}},
	// Guards against a Start that arrives after the Stop of the same run and starts it, although the owner considers it
	// stopped.
	{"stop before start", func(e testEnv) {
		e.renew()
		st, err := e.client.Stop(ctx, e.address, worker.StopRequest{Fence: e.fence(), RunKey: runKey})
		e.NoErr(err)
		e.Equal(st.State, worker.RunStopped)
		e.True(errors.Is(e.client.Start(ctx, e.address, e.startRequest("run=1h")), worker.ErrRefused))
		e.Equal(len(e.fake.History()), 0)
	}},
	// Guards against an end state that is removed before it is acknowledged, or kept after that.
	{"stop and acknowledge", func(e testEnv) {
		e.start("run=1h")
		cp, err := e.client.Checkpoint(ctx, e.address, worker.StopRequest{Fence: e.fence(), RunKey: runKey})
		e.NoErr(err)
		e.True(strings.HasPrefix(cp.Checkpoint, "tune/1/2@"))
		for range 2 {
			st, err := e.client.Stop(ctx, e.address, worker.StopRequest{Fence: e.fence(), RunKey: runKey, Checkpoint: true})
			e.NoErr(err)
			e.Equal(st.State, worker.RunStopped)
		}
		rep, err := e.client.Report(ctx, e.address)
		e.NoErr(err)
		e.Equal(len(rep.Runs), 1)
		for range 2 {
			e.NoErr(e.client.Ack(ctx, e.address, worker.AckRequest{Fence: e.fence(), Runs: []worker.RunKey{runKey}}))
		}
		rep, err = e.client.Report(ctx, e.address)
		e.NoErr(err)
		e.Equal(len(rep.Runs), 0)
	}},
	// Guards against a throttle that has no effect or cannot be removed.
	{"throttle", func(e testEnv) {
		e.start("run=1h")
		for _, c := range []struct{ percent, shown int64 }{{25, 25}, {100, 0}} {
			e.NoErr(e.client.Throttle(ctx, e.address, worker.ThrottleRequest{Fence: e.fence(), RunKey: runKey, Percent: c.percent}))
			rep, err := e.client.Report(ctx, e.address)
			e.NoErr(err)
			e.Equal(rep.Runs[0].ThrottlePercent, c.shown)
		}
	}},
	// Guards against a worker that does not report the failure of its tasks.
	{"failing worker", func(e testEnv) {
		e.fake.SetFailRuns(true)
		e.start("run=1h")
		rep, err := e.client.Report(ctx, e.address)
		e.NoErr(err)
		e.Equal(rep.Runs[0].State, worker.RunEnded)
		e.Equal(rep.Runs[0].Outcome, record.OutcomeFailed)
	}},
}

func forEachClient(t *testing.T, f func(e testEnv)) {
	opts := fake.Options{ID: "w1", Capacity: resource.Vector{Slots: 2}, ClockStartMs: 1000}
	t.Run("fake", func(t *testing.T) {
		fleet, w := fake.NewFleet(), fake.New(opts)
		fleet.Add("w1", w)
		f(testEnv{is.New(t), fleet, "w1", w})
	})
	t.Run("http", func(t *testing.T) {
		w := fake.New(opts)
		srv := httptest.NewServer(worker.NewHandler(w))
		defer srv.Close()
		client := worker.NewHTTPClient()
		defer client.Close()
		f(testEnv{is.New(t), client, srv.Listener.Addr().String(), w})
	})
}

func TestContract(t *testing.T) {
	for _, c := range contractCases {
		t.Run(c.name, func(t *testing.T) { forEachClient(t, c.run) })
	}
}

// Guards against faults that are reported as a definite refusal: the owner would release the reservation of
// a task that may be running.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		cond    fake.Condition
		refused bool
		started int
	}{
		{"down", fake.Condition{Faults: fault.Setting{Down: true}}, false, 0},
		{"refusing", fake.Condition{Faults: fault.Setting{Reject: true}}, true, 0},
		{"start answer lost", fake.Condition{Faults: fault.Setting{LoseResponses: 1}}, false, 1},
		{"late answer", fake.Condition{Faults: fault.Setting{ResponseDelayMs: 10_000}}, false, 1},
		{"frozen", fake.Condition{Frozen: true}, false, 0},
		{"killed", fake.Condition{Killed: true}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			forEachClient(t, func(e testEnv) {
				e.renew()
				req := e.startRequest("run=1h")
				e.fake.SetCondition(c.cond)
				short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
				defer cancel()
				err := e.client.Start(short, e.address, req)
				e.True(err != nil)
				for _, definite := range []error{worker.ErrFenced, worker.ErrTooLate} {
					e.True(!errors.Is(err, definite))
				}
				e.Equal(errors.Is(err, worker.ErrRefused), c.refused)
				e.Equal(len(e.fake.History()), c.started)
			})
		})
	}
}
