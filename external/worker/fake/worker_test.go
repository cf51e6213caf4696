package fake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/worker"
)

var ctx = context.Background()

func fence(w *Worker, epoch int64) worker.Fence {
	return worker.Fence{Incarnation: w.incarnation, OwnerEpoch: epoch, NotAfterMs: w.NowMs() + 1000}
}

func startRun(is *is.I, w *Worker, job, payload string, leaseMs int64) {
	_, err := w.Renew(ctx, worker.RenewRequest{Fence: fence(w, 1), LeaseUntilMs: w.NowMs() + leaseMs})
	is.NoErr(err)
	is.NoErr(w.Start(ctx, worker.StartRequest{Fence: fence(w, 1), RunKey: worker.RunKey{Job: job}, Payload: payload,
		Size: resource.Vector{Slots: 1, MilliCPU: 1000}}))
}

func statuses(is *is.I, w *Worker) []worker.RunStatus {
	rep, err := w.Report(ctx)
	is.NoErr(err)
	return rep.Runs
}

func newWorker() *Worker {
	return New(Options{ID: "w", Capacity: resource.Vector{Slots: 8, MilliCPU: 8000}, Now: time.Now, ClockStartMs: 77_000})
}

// Guards against runs that end at another time than their payload and throttling determine.
func TestRunTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorker()
		startRun(is, w, "a", "run=10s", 3600_000)
		startRun(is, w, "b", "run=10s fail=1", 3600_000)
		is.NoErr(w.Throttle(ctx, worker.ThrottleRequest{Fence: fence(w, 1), RunKey: worker.RunKey{Job: "b"}, Percent: 50}))
		time.Sleep(15 * time.Second)
		got := statuses(is, w)
		is.Equal(got[0].Outcome, record.OutcomeSucceeded)
		is.Equal(got[0].RunMs, int64(10_000))
		is.Equal(got[1].State, worker.RunRunning)
		time.Sleep(5 * time.Second)
		is.Equal(statuses(is, w)[1].Outcome, record.OutcomeFailed)
	})
}

// Guards against a run that outlives its lease on a worker whose clock runs slower than real time.
func TestLeaseExpiresOnWorkerClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorker()
		w.SetClockRate(0.5)
		startRun(is, w, "a", "run=1h", 10_000)
		begin := time.Now()
		time.Sleep(19 * time.Second)
		is.Equal(statuses(is, w)[0].State, worker.RunRunning)
		time.Sleep(10 * time.Second)
		is.Equal(statuses(is, w)[0].State, worker.RunStopped)
		is.Equal(w.History()[0].End.Sub(begin), 20*time.Second)
	})
}

// Guards against a thawed worker that executes expired commands or continues runs whose lease has expired.
func TestFrozenWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorker()
		startRun(is, w, "a", "run=1h", 10_000)
		w.Freeze()
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		is.True(errors.Is(w.Start(short, worker.StartRequest{Fence: fence(w, 1), RunKey: worker.RunKey{Job: "b"}}), context.DeadlineExceeded))
		time.Sleep(20 * time.Second)
		w.Thaw()
		got := statuses(is, w)
		is.Equal(len(got), 1)
		is.Equal(got[0].State, worker.RunStopped)
	})
}

// Guards against work that is lost or repeated when a run resumes from a checkpoint.
func TestResumeFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorker()
		startRun(is, w, "a", "run=10s", 3600_000)
		time.Sleep(4 * time.Second)
		st, err := w.Stop(ctx, worker.StopRequest{Fence: fence(w, 1), RunKey: worker.RunKey{Job: "a"}, Checkpoint: true})
		is.NoErr(err)
		is.NoErr(w.Start(ctx, worker.StartRequest{Fence: fence(w, 1), RunKey: worker.RunKey{Job: "a", Epoch: 1},
			Payload: "run=10s", Checkpoint: st.Checkpoint}))
		time.Sleep(6 * time.Second)
		is.Equal(statuses(is, w)[1].State, worker.RunEnded)
		is.Equal(len(Overlaps(w.History())), 0)
	})
}

// Guards against usage that is reported without its lag: the interference guards must be tested with lagging
// measurements.
func TestUsageLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorker()
		w.opts.UsageLagMs = 3000
		startRun(is, w, "a", "run=1h", 3600_000)
		startRun(is, w, "b", "run=1h usage=0.5 pressure=200", 3600_000)
		is.True(statuses(is, w)[1].Usage.IsZero())
		time.Sleep(3 * time.Second)
		got := statuses(is, w)
		is.Equal(got[1].Usage.MilliCPU, int64(500))
		is.Equal(got[0].StallPermille, int64(200))
		is.NoErr(w.Throttle(ctx, worker.ThrottleRequest{Fence: fence(w, 1), RunKey: worker.RunKey{Job: "b"}, Percent: 10}))
		is.Equal(statuses(is, w)[0].StallPermille, int64(200))
		stall, _ := w.Stall(worker.RunKey{Job: "a"})
		is.Equal(stall, int64(20))
		time.Sleep(3 * time.Second)
		is.Equal(statuses(is, w)[0].StallPermille, int64(20))
	})
}

// Guards against a restarted worker that keeps state from before the restart.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newWorker()
		startRun(is, w, "a", "run=1h", 3600_000)
		before := w.incarnation
		w.Kill()
		_, err := w.Report(ctx)
		is.True(errors.Is(err, ErrUnreachable))
		time.Sleep(time.Second)
		w.Restart(5)
		rep, err := w.Report(ctx)
		is.NoErr(err)
		is.True(rep.Incarnation != "" && rep.Incarnation != before)
		rep.Incarnation = ""
		is.Equal(rep, worker.Report{Worker: "w", NowMs: 5, Capacity: w.Capacity(), Runs: []worker.RunStatus{}})
		is.True(!w.History()[0].End.IsZero())
	})
}

// Guards against an Overlaps that finds nothing, which would invalidate every test that checks for duplicate runs.
func TestOverlaps(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	a := Execution{RunKey: worker.RunKey{Job: "j", Epoch: 1}, Begin: at(1), End: at(3)}
	b := Execution{RunKey: worker.RunKey{Job: "j", Epoch: 2}, Begin: at(2)}
	is.Equal(len(Overlaps([]Execution{b, a})), 1)
	b.Begin = at(3)
	is.Equal(len(Overlaps([]Execution{b, a})), 0)
}

// Guards against a panic or a negative time on arbitrary payloads of users.
func TestParsePlanAnyPayload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, err := ParsePlan(rapid.StringMatching(`([a-z]{0,10}=?[-0-9.a-z]{0,5} ?){0,4}`).Draw(t, "payload"), false)
		if err == nil && (p.Run < 0 || p.Delay < 0) {
			t.Fatal("negative time")
		}
	})
}
