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

// execute carries out the actions that Decide returns for the newest report. It reports whether it sent a command whose
// effect shows only in a later report.
func (a *agent) execute(ctx context.Context) bool {
	var actions []Action
	a.cfg.Zone.View(func(s *zone.State) {
		owner, epoch := s.OwnerOf(a.target.id)
		if owner != a.cfg.Authority.Member() || epoch != a.target.epoch {
			return
		}
		if w := s.Workers[a.target.id]; w != nil {
			actions = Decide(w, s.Task, a.lastReport)
		}
	})
	sent := false
	var acks []worker.RunKey
	for _, action := range actions {
		if ctx.Err() != nil {
			return sent
		}
		if a.cfg.Now() >= a.nextRenewal {
			// Slow commands must not delay the renewal of the lease.
			return true
		}
		if action.Kind == ActAck {
			acks = append(acks, action.Key)
			continue
		}
		sent = a.executeAction(ctx, action) || sent
	}
	if len(acks) > 0 {
		a.acknowledge(ctx, acks)
	}
	return sent
}

func (a *agent) acknowledge(ctx context.Context, keys []worker.RunKey) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := a.cfg.Client.Ack(ctx, a.addr(), worker.AckRequest{Fence: a.fence(a.cfg.Now()), Runs: keys})
	if err != nil {
		a.cfg.Metrics.Count("executor_ack_errors")
		return
	}
	acked := func(r worker.RunStatus) bool { return slices.Contains(keys, r.RunKey) }
	a.lastReport.Runs = slices.DeleteFunc(slices.Clone(a.lastReport.Runs), acked)
}

// executeAction carries out one action and reports whether its effect shows only in a later report.
func (a *agent) executeAction(ctx context.Context, action Action) bool {
	key := fmt.Sprintf("%d/%s/%d/%d", action.Kind, action.Key.Job, action.Key.Index, action.Key.Epoch)
	switch action.Kind {
	case ActStart:
		return a.startRun(ctx, action)
	case ActStop:
		a.stopRun(ctx, action.Key)
		return true
	case ActStarted:
		a.postOnce(key, &record.Started{Owner: a.owner(), Run: action.Run, Address: action.Status.Address})
	case ActEnd:
		a.postOnce(key, &record.End{
			Owner: a.owner(), Run: action.Run, Outcome: action.Status.Outcome, Reason: action.Status.Reason,
		})
	case ActEvict:
		a.postOnce(key, &record.Evict{
			Owner: a.owner(), Run: action.Run, Checkpoint: action.Status.Checkpoint, Reason: action.Reason,
		})
	}
	return false
}

// startRun sends a Start if the daemon may currently start tasks. The authority is read last, and the deadline of the
// fence limits the effect of a pause after that.
func (a *agent) startRun(ctx context.Context, action Action) bool {
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
		a.lastReport.Runs = append(slices.Clip(a.lastReport.Runs),
			worker.RunStatus{RunKey: action.Key, State: worker.RunRunning})
		return req.Service != ""
	case errors.Is(err, worker.ErrRefused):
		a.cfg.Metrics.Count("executor_starts_refused")
		// The worker records the stop, so an earlier copy of the start has no effect. The next report then lists the
		// run as stopped, which frees its reservation.
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

// postLostRuns posts Lost records if the runs on the worker have certainly ended.
func (a *agent) postLostRuns() {
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
	// The state is posted first, so that the tasks are not bound to this worker again.
	if usable {
		a.setWorkerState(record.WorkerUnreachable, "worker does not answer")
	}
	if len(runs) == 0 && !usable && a.listedState() == "" {
		// The platform no longer lists the VM and nothing is reserved on it.
		a.postOnce("remove", &record.RemoveWorker{Owner: a.owner(), Worker: a.target.id})
	}
	for _, r := range runs {
		a.postOnce(fmt.Sprintf("lost/%s/%d/%d", r.Task.Job, r.Task.Index, r.Epoch),
			&record.Lost{Owner: a.owner(), Run: r, Basis: basis})
	}
}

func (a *agent) lostBasis(now time.Duration) (record.LostBasis, bool) {
	switch {
	case a.attested.Load():
		return record.LostAttested, true
	case a.renewed:
		return record.LostLeaseExpired, a.session.grant.Expired(&a.session.WorkerClock, now)
	default:
		return record.LostAuthorityExpired, a.cfg.Authority.PreviousLeasesExpired(zone.ShardOf(a.target.id), now)
	}
}
