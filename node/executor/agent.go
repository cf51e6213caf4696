package executor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/lease"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/worker"
)

// Timing of an agent.
const (
	// callTimeout limits one command. It is at least lease.StartNotAfter, after which the worker refuses the command.
	callTimeout = 2 * time.Second
	// repostInterval is how long to wait for the effect of a record before it is posted again.
	repostInterval = 2 * time.Second
	// followUpDelay is the delay of the report after commands whose effect shows only in a report: the address of a
	// new endpoint, the checkpoint of a stopped run, the outcome of a command without a response.
	followUpDelay = 300 * time.Millisecond
	// renewRetryDelay is the delay after a failed renewal.
	renewRetryDelay = time.Second
)

// agent manages one owned worker under one owner epoch. Except for address, cancel, wakeup, throttles and attested, the
// fields that change belong to the goroutine of run.
type agent struct {
	cfg    *Config
	target workerTarget
	// address may change; the session, with the granted leases, remains.
	address atomic.Pointer[string]
	cancel  context.CancelFunc
	wakeup  chan struct{}
	// listedState returns the state of the worker in the VM list. The list is only a hint: a worker that is wrongly
	// listed as leaving is drained, but its runs are not declared lost.
	listedState func() directory.State

	throttles chan throttle
	attested  atomic.Bool

	session workerSession
	// renewed is set once the worker accepted a renewal under this epoch, which fences earlier owners.
	renewed bool
	// lastRenewal is when the last successful renewal was sent.
	lastRenewal time.Duration
	// postedAt holds when a record was last posted, by its key.
	postedAt map[string]time.Duration

	// lastReport is the newest report, updated by the starts and acknowledgements that the worker accepted since. It is
	// used while reportCurrent is set.
	lastReport    worker.Report
	reportCurrent bool
	// nextRenewal is the latest time of the next renewal.
	nextRenewal time.Duration
}

// workerSession holds the worker's clock, its incarnation and the leases granted to it.
type workerSession struct {
	lease.WorkerClock
	grant       lease.Grant
	incarnation string
	// clockStale means that the clock has to be read again, for example after a pause or a restart of the worker.
	clockStale bool
	// unconfirmed is the newest failed renewal. It may still take effect until its deadline has passed.
	unconfirmed unconfirmedRenewal
}

type unconfirmedRenewal struct {
	leaseUntilMs int64
	sentAt       time.Duration
}

func newAgent(cfg *Config, t workerTarget, cancel context.CancelFunc) *agent {
	a := &agent{
		cfg:       cfg,
		target:    t,
		cancel:    cancel,
		wakeup:    make(chan struct{}, 1),
		throttles: make(chan throttle, maxPendingThrottles),
		postedAt:  map[string]time.Duration{},
	}
	a.address.Store(&t.address)
	return a
}

func (a *agent) addr() string { return *a.address.Load() }

func (a *agent) wake() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

func (a *agent) attestLost() {
	a.attested.Store(true)
	a.wake()
}

func (a *agent) stop() { a.cancel() }

func (a *agent) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wakeup:
		case <-timer.C:
		}
		timer.Reset(a.step(ctx))
	}
}

// step carries out what the zone state requires and returns the delay until the next step. It renews the lease only
// when that is due or the newest report is out of date, because a renewal costs several times as much as a command.
func (a *agent) step(ctx context.Context) time.Duration {
	if !a.reportCurrent || a.attested.Load() || a.cfg.Now() >= a.nextRenewal {
		return a.renewAndExecute(ctx)
	}
	a.syncRegistration(a.lastReport)
	a.applyThrottles(ctx)
	if a.execute(ctx) {
		a.scheduleFollowUp()
	}
	return max(0, a.nextRenewal-a.cfg.Now())
}

// scheduleFollowUp makes the next step renew the lease and read a new report, after followUpDelay at most.
func (a *agent) scheduleFollowUp() {
	a.reportCurrent, a.nextRenewal = false, min(a.nextRenewal, a.cfg.Now()+followUpDelay)
}

func (a *agent) renewAndExecute(ctx context.Context) time.Duration {
	a.reportCurrent = false
	report, err := a.renewLease(ctx)
	if ctx.Err() != nil {
		return lease.RenewInterval
	}
	if err != nil {
		a.cfg.Metrics.Count("executor_contact_errors")
		a.postLostRuns()
		return renewRetryDelay
	}
	a.attested.Store(false)
	if a.cfg.OnReport != nil {
		a.cfg.OnReport(report)
	}
	a.lastReport, a.reportCurrent, a.nextRenewal = report, true, a.cfg.Now()+lease.RenewInterval
	a.syncRegistration(report)
	a.applyThrottles(ctx)
	if a.execute(ctx) {
		a.scheduleFollowUp()
	}
	return max(0, a.nextRenewal-a.cfg.Now())
}

// renewLease renews the lease and returns the worker's report. Without authority to renew, it returns an error, after
// reading the clock if necessary.
func (a *agent) renewLease(ctx context.Context) (worker.Report, error) {
	if !a.session.Known() || a.session.clockStale {
		if err := a.readClock(ctx); err != nil {
			return worker.Report{}, err
		}
	}
	now := a.cfg.Now()
	until := a.cfg.Authority.RenewUntil(now)
	if until <= 0 {
		return worker.Report{}, errors.Errorf("renew lease of worker %s: no authority", a.target.id)
	}
	req := worker.RenewRequest{Fence: a.fence(now), LeaseUntilMs: a.session.Deadline(now, until)}
	a.session.grant.Sent(req.LeaseUntilMs)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := a.cfg.Client.Renew(ctx, a.addr(), req)
	if err != nil {
		a.session.clockStale = true
		a.session.unconfirmed = unconfirmedRenewal{
			leaseUntilMs: max(a.session.unconfirmed.leaseUntilMs, req.LeaseUntilMs), sentAt: now,
		}
		return report, errors.Wrapf(err, "renew lease of worker %s at %s", a.target.id, a.addr())
	}
	a.renewed, a.lastRenewal = true, now
	a.session.Observe(now, a.cfg.Now(), report.NowMs)
	a.confirmLease(now, report.LeaseUntilMs)
	return report, nil
}

// confirmLease replaces the recorded grant by the lease that the worker reports, which is shorter than before once the
// log is readable again after an outage. Failed renewals count until the worker is certain to refuse them.
func (a *agent) confirmLease(now time.Duration, untilMs int64) {
	a.session.grant = lease.Grant{}
	a.session.grant.Sent(untilMs)
	if now-a.session.unconfirmed.sentAt < 2*lease.StartNotAfter {
		a.session.grant.Sent(a.session.unconfirmed.leaseUntilMs)
		return
	}
	a.session.unconfirmed = unconfirmedRenewal{}
}

func (a *agent) readClock(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := a.cfg.Now()
	report, err := a.cfg.Client.Report(ctx, a.addr())
	if err != nil {
		return errors.Wrapf(err, "read report of worker %s at %s", a.target.id, a.addr())
	}
	if report.Worker != a.target.id {
		return errors.Errorf("address %s belongs to worker %q, not %q", a.addr(), report.Worker, a.target.id)
	}
	if a.session.incarnation != report.Incarnation {
		// The runs of an earlier incarnation have ended, and so have the leases on its clock.
		a.session.grant = lease.Grant{}
	}
	a.session.incarnation, a.session.clockStale = report.Incarnation, false
	a.session.Observe(sent, a.cfg.Now(), report.NowMs)
	return nil
}

func (a *agent) fence(now time.Duration) worker.Fence {
	return worker.Fence{
		Incarnation: a.session.incarnation,
		OwnerEpoch:  a.target.epoch,
		NotAfterMs:  a.session.Deadline(now, lease.StartNotAfter),
	}
}

func (a *agent) owner() record.Owner {
	return record.Owner{Member: a.cfg.Authority.Member(), Epoch: a.target.epoch}
}

// postOnce posts a record unless one with the same key was posted within repostInterval.
func (a *agent) postOnce(key string, body record.Body) {
	now := a.cfg.Now()
	if last, ok := a.postedAt[key]; ok && now-last < repostInterval {
		return
	}
	for k, at := range a.postedAt {
		if now-at > 10*repostInterval {
			delete(a.postedAt, k)
		}
	}
	a.postedAt[key] = now
	a.cfg.Journal.Post(body)
}

// syncRegistration updates the worker's entry in the zone state to match the worker's report and the VM list.
func (a *agent) syncRegistration(report worker.Report) {
	info := record.WorkerInfo{ID: a.target.id, Address: a.addr(), Rack: a.target.rack, Capacity: report.Capacity}
	registered, state := false, record.WorkerUsable
	a.cfg.Zone.View(func(s *zone.State) {
		if w := s.Workers[a.target.id]; w != nil {
			registered, state = w.Info == info, w.State
		}
	})
	if !registered {
		a.postOnce("register", &record.RegisterWorker{Owner: a.owner(), Worker: info})
		return
	}
	leaving := report.Leaving || a.listedState() == directory.StateLeaving
	switch {
	case leaving && state == record.WorkerUsable:
		a.setWorkerState(record.WorkerLeaving, "worker or VM list says that it is leaving")
	case !leaving && state == record.WorkerLeaving, state == record.WorkerUnreachable:
		a.setWorkerState(record.WorkerUsable, "worker reports again")
	}
}

func (a *agent) setWorkerState(state record.WorkerState, reason string) {
	a.postOnce("state/"+state.String(), &record.SetWorker{
		Owner: a.owner(), Worker: a.target.id, State: state, Reason: reason,
	})
}
