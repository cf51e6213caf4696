package executor

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/worker"
)

// act carries out what Decide says about the newest report, and reports whether a command was sent whose effect only
// another report shows.
func (a *agent) act(ctx context.Context) bool {
	var actions []Action
	a.cfg.Zone.View(func(s *zone.State) {
		owner, epoch := s.OwnerOf(a.target.id)
		if owner != a.cfg.Authority.Member() || epoch != a.target.epoch {
			return
		}
		if w := s.Workers[a.target.id]; w != nil {
			actions = Decide(w, s.Task, a.report)
		}
	})
	sent := false
	var acks []worker.RunKey
	for _, action := range actions {
		if ctx.Err() != nil {
			return sent
		}
		if a.cfg.Now() >= a.nextContact {
			// Slow commands must not keep the lease from being renewed.
			return true
		}
		if action.Kind == ActAck {
			acks = append(acks, action.Key)
			continue
		}
		sent = a.carryOut(ctx, action) || sent
	}
	if len(acks) > 0 {
		a.ack(ctx, acks)
	}
	return sent
}

func (a *agent) ack(ctx context.Context, keys []worker.RunKey) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := a.cfg.Client.Ack(ctx, a.addr(), worker.AckRequest{Fence: a.fence(a.cfg.Now()), Runs: keys})
	if err != nil {
		a.cfg.Metrics.Count("executor_ack_errors")
		return
	}
	acked := func(r worker.RunStatus) bool { return slices.Contains(keys, r.RunKey) }
	a.report.Runs = slices.DeleteFunc(slices.Clone(a.report.Runs), acked)
}

// carryOut does one action and reports whether its effect has to be seen in another report.
func (a *agent) carryOut(ctx context.Context, action Action) bool {
	purpose := fmt.Sprintf("%d/%s/%d/%d", action.Kind, action.Key.Job, action.Key.Index, action.Key.Epoch)
	switch action.Kind {
	case ActStart:
		return a.start(ctx, action)
	case ActStop:
		a.stopRun(ctx, action.Key)
		return true
	case ActStarted:
		a.once(purpose, &record.Started{Owner: a.owner(), Run: action.Run, Address: action.Status.Address})
	case ActEnd:
		a.once(purpose, &record.End{
			Owner: a.owner(), Run: action.Run, Outcome: action.Status.Outcome, Reason: action.Status.Reason,
		})
	case ActEvict:
		a.once(purpose, &record.Evict{
			Owner: a.owner(), Run: action.Run, Checkpoint: action.Status.Checkpoint, Reason: action.Reason,
		})
	}
	return false
}

// start sends a Start if the daemon may start tasks at this moment. The authority is read after everything
// else, and the fence's deadline limits what a pause after it can do.
func (a *agent) start(ctx context.Context, action Action) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := action.Start
	now := a.cfg.Now()
	if !a.cfg.Authority.MayStart() {
		a.cfg.Metrics.Count("executor_starts_withheld")
		return false
	}
	req.Fence = a.fence(now)
	err := a.cfg.Client.Start(ctx, a.addr(), req)
	switch {
	case err == nil:
		a.cfg.Metrics.Count("executor_starts")
		a.report.Runs = append(slices.Clip(a.report.Runs), worker.RunStatus{RunKey: action.Key, State: worker.RunRunning})
		return req.Service != ""
	case errors.Is(err, worker.ErrRefused):
		a.cfg.Metrics.Count("executor_starts_refused")
		// The stop is recorded by the worker, so an earlier copy of the start has no effect; the next report
		// then shows the run as stopped, and its reservation is freed.
		a.stopRun(ctx, action.Key)
	default:
		a.cfg.Metrics.Count("executor_start_errors")
	}
	return true
}

func (a *agent) stopRun(ctx context.Context, key worker.RunKey) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := worker.StopRequest{Fence: a.fence(a.cfg.Now()), RunKey: key, Checkpoint: true}
	if _, err := a.cfg.Client.Stop(ctx, a.addr(), req); err != nil {
		a.cfg.Metrics.Count("executor_stop_errors")
		return
	}
	a.cfg.Metrics.Count("executor_stops")
}

// considerLost posts Lost records if the runs on the worker certainly no longer execute.
func (a *agent) considerLost() {
	basis, lost := a.lostBasis(a.cfg.Now())
	if !lost {
		return
	}
	var runs []record.Run
	usable, quarantined := false, false
	a.cfg.Zone.View(func(s *zone.State) {
		w := s.Workers[a.target.id]
		if w == nil {
			return
		}
		quarantined = w.State == record.WorkerQuarantined
		usable = w.State != record.WorkerUnreachable && !quarantined
		for _, t := range w.Tasks {
			runs = append(runs, t.Run())
		}
	})
	// The state is set first, so that the tasks are not bound to this worker again.
	if usable {
		a.setState(record.WorkerUnreachable, "worker does not answer")
	}
	if len(runs) == 0 && !usable && a.listed() == "" {
		// The platform no longer lists the VM and nothing is reserved on it.
		a.once("remove", &record.RemoveWorker{Owner: a.owner(), Worker: a.target.id})
	}
	for _, r := range runs {
		a.once(fmt.Sprintf("lost/%s/%d/%d", r.Task.Job, r.Task.Index, r.Epoch),
			&record.Lost{Owner: a.owner(), Run: r, Basis: basis})
	}
}

func (a *agent) lostBasis(now time.Duration) (record.LostBasis, bool) {
	switch {
	case a.attested.Load():
		return record.LostAttested, true
	case a.heard:
		return record.LostLeaseLapsed, a.clock.grant.Lapsed(&a.clock.WorkerClock, now)
	default:
		return record.LostAuthorityLapsed, a.cfg.Authority.PreviousOwnerLapsed(zone.ShardOf(a.target.id), now)
	}
}
