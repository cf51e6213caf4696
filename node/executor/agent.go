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
	// callTimeout limits one command. It is at least lease.StartNotAfter, after which the worker refuses it.
	callTimeout = 2 * time.Second
	// repostAfter is how long a record's effect is waited for before it is posted again.
	repostAfter = 2 * time.Second
	// followUp is the delay of the report after commands whose effect has to be seen: the address of a new endpoint,
	// the checkpoint of a stopped run, the outcome of a command without an answer.
	followUp = 300 * time.Millisecond
	// retryContact is the delay after a failed contact.
	retryContact = time.Second
)

// agent is the owner of one worker under one owner epoch. All fields but wakeup, attested and cancel belong
// to the goroutine of run.
type agent struct {
	cfg    *Config
	target target
	// address may change while the agent keeps what it knows about granted leases.
	address atomic.Pointer[string]
	cancel  context.CancelFunc
	wakeup  chan struct{}
	// listed returns what the VM list says about the worker. The list is only a hint: a worker that is wrongly
	// called leaving merely gets no new tasks.
	listed func() directory.State

	throttles chan throttle
	attested  atomic.Bool

	clock knownWorker
	// heard is set once the worker accepted a command under this epoch, which fences earlier owners.
	heard bool
	// lastRenew is when the last successful renewal was sent.
	lastRenew time.Duration
	posted    map[string]time.Duration

	// report is the newest report, changed by the starts and acknowledgements that the worker accepted since. It is
	// used while current is set.
	report  worker.Report
	current bool
	// nextContact is when the worker is contacted again at the latest.
	nextContact time.Duration
}

// knownWorker is what the agent knows about the worker's clock and leases.
type knownWorker struct {
	lease.WorkerClock
	grant       lease.Grant
	incarnation string
	// stale means that the clock has to be read again, for instance after a pause or a restart of the worker.
	stale bool
	// failed is the newest renewal without an answer. It may still take effect until its deadline has passed.
	failed failedRenewal
}

type failedRenewal struct {
	untilMs int64
	sent    time.Duration
}

func newAgent(cfg *Config, t target, cancel context.CancelFunc) *agent {
	a := &agent{
		cfg:       cfg,
		target:    t,
		cancel:    cancel,
		wakeup:    make(chan struct{}, 1),
		throttles: make(chan throttle, maxThrottles),
		posted:    map[string]time.Duration{},
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

func (a *agent) attest() {
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

// step does what the zone state asks for and returns when to do so again. It contacts the worker only when that is due
// or when the newest report no longer tells what runs, because a contact costs several times as much as a command.
func (a *agent) step(ctx context.Context) time.Duration {
	if !a.current || a.attested.Load() || a.cfg.Now() >= a.nextContact {
		return a.renewAndAct(ctx)
	}
	a.register(a.report)
	a.applyThrottles(ctx)
	if a.act(ctx) {
		a.followUp()
	}
	return max(0, a.nextContact-a.cfg.Now())
}

// followUp makes the next step contact the worker.
func (a *agent) followUp() {
	a.current, a.nextContact = false, min(a.nextContact, a.cfg.Now()+followUp)
}

func (a *agent) renewAndAct(ctx context.Context) time.Duration {
	a.current = false
	report, err := a.contact(ctx)
	if ctx.Err() != nil {
		return lease.RenewInterval
	}
	if err != nil {
		a.cfg.Metrics.Count("executor_contact_errors")
		a.considerLost()
		return retryContact
	}
	a.attested.Store(false)
	if a.cfg.OnReport != nil {
		a.cfg.OnReport(report)
	}
	a.report, a.current, a.nextContact = report, true, a.cfg.Now()+lease.RenewInterval
	a.register(report)
	a.applyThrottles(ctx)
	if a.act(ctx) {
		a.followUp()
	}
	return max(0, a.nextContact-a.cfg.Now())
}

// contact renews the lease and returns the worker's report. Without authority to renew, it only reads the
// report.
func (a *agent) contact(ctx context.Context) (worker.Report, error) {
	if !a.clock.Known() || a.clock.stale {
		if err := a.readClock(ctx); err != nil {
			return worker.Report{}, err
		}
	}
	now := a.cfg.Now()
	until := a.cfg.Authority.RenewUntil(now)
	if until <= 0 {
		return worker.Report{}, errors.Errorf("renew lease of worker %s: no authority", a.target.id)
	}
	req := worker.RenewRequest{Fence: a.fence(now), LeaseUntilMs: a.clock.Deadline(now, until)}
	a.clock.grant.Sent(req.LeaseUntilMs)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := a.cfg.Client.Renew(ctx, a.addr(), req)
	if err != nil {
		a.clock.stale = true
		a.clock.failed = failedRenewal{untilMs: max(a.clock.failed.untilMs, req.LeaseUntilMs), sent: now}
		return report, errors.Wrapf(err, "renew lease of worker %s at %s", a.target.id, a.addr())
	}
	a.heard, a.lastRenew = true, now
	a.clock.Observe(now, a.cfg.Now(), report.NowMs)
	a.confirmLease(now, report.LeaseUntilMs)
	return report, nil
}

// confirmLease replaces what was granted by the lease that the worker reports: it is shorter than before when the log
// can be read again after an outage. Renewals without an answer count until the worker refuses them for certain.
func (a *agent) confirmLease(now time.Duration, untilMs int64) {
	a.clock.grant = lease.Grant{}
	a.clock.grant.Sent(untilMs)
	if now-a.clock.failed.sent < 2*lease.StartNotAfter {
		a.clock.grant.Sent(a.clock.failed.untilMs)
		return
	}
	a.clock.failed = failedRenewal{}
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
		return errors.Errorf("address %s answers as worker %q, not %q", a.addr(), report.Worker, a.target.id)
	}
	if a.clock.incarnation != report.Incarnation {
		// The runs of an earlier incarnation have ended, and with them the leases on its clock.
		a.clock.grant = lease.Grant{}
	}
	a.clock.incarnation, a.clock.stale = report.Incarnation, false
	a.clock.Observe(sent, a.cfg.Now(), report.NowMs)
	return nil
}

func (a *agent) fence(now time.Duration) worker.Fence {
	return worker.Fence{
		Incarnation: a.clock.incarnation,
		OwnerEpoch:  a.target.epoch,
		NotAfterMs:  a.clock.Deadline(now, lease.StartNotAfter),
	}
}

func (a *agent) owner() record.Owner {
	return record.Owner{Member: a.cfg.Authority.Member(), Epoch: a.target.epoch}
}

// once posts a record unless the same one was posted a moment ago.
func (a *agent) once(purpose string, body record.Body) {
	now := a.cfg.Now()
	if last, ok := a.posted[purpose]; ok && now-last < repostAfter {
		return
	}
	for k, at := range a.posted {
		if now-at > 10*repostAfter {
			delete(a.posted, k)
		}
	}
	a.posted[purpose] = now
	a.cfg.Journal.Post(body)
}

// register keeps the zone state's entry of the worker equal to what the worker reports.
func (a *agent) register(report worker.Report) {
	want := record.WorkerInfo{ID: a.target.id, Address: a.addr(), Rack: a.target.rack, Capacity: report.Capacity}
	known, state := false, record.WorkerUsable
	a.cfg.Zone.View(func(s *zone.State) {
		if w := s.Workers[a.target.id]; w != nil {
			known, state = w.Info == want, w.State
		}
	})
	if !known {
		a.once("register", &record.RegisterWorker{Owner: a.owner(), Worker: want})
		return
	}
	leaving := report.Leaving || a.listed() == directory.StateLeaving
	switch {
	case leaving && state == record.WorkerUsable:
		a.setState(record.WorkerLeaving, "worker or VM list says that it is leaving")
	case !leaving && state == record.WorkerLeaving, state == record.WorkerUnreachable:
		a.setState(record.WorkerUsable, "worker reports again")
	}
}

func (a *agent) setState(state record.WorkerState, reason string) {
	a.once("state/"+state.String(), &record.SetWorker{
		Owner: a.owner(), Worker: a.target.id, State: state, Reason: reason,
	})
}
