package daemon

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/worker"
	"waxwingslip.example/node/stream"
)

// leaveTimeout limits how long a shutdown waits until the release of its shards is read back from the log.
const leaveTimeout = 5 * time.Second

// Run runs the daemon until ctx ends, then drains: it stops being ready, serves the requests in flight, releases its
// shards and stops.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.subscribe(background)
	if err := d.peerServer.Serve(); err != nil {
		return err
	}
	d.start(background)
	failed := make(chan error, 3)
	go func() { failed <- d.gateway.Serve(d.listeners.callers) }()
	go func() { failed <- d.operator.Serve(d.listeners.operators) }()
	go func() { failed <- ignoreServerClosed(d.health.Serve(d.listeners.health)) }()
	d.log.Info().Str("step", "start").Interface("addresses", d.addresses).Str("build", Build).Msg("daemon started")

	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	shutdownErr := d.shutdown()
	stop()
	d.executors.Stop()
	d.loops.Wait()
	if err == nil {
		err = shutdownErr
	}
	d.log.Info().Str("step", "stop").AnErr("error", err).Msg("daemon stopped")
	return err
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// start starts the background loops.
func (d *Daemon) start(ctx context.Context) {
	for _, loop := range []func(context.Context){
		func(ctx context.Context) { _ = d.control.Follower.Run(ctx) },
		func(ctx context.Context) { _ = d.control.Appender.Run(ctx) },
		func(ctx context.Context) { _ = d.zone.Follower.Run(ctx) },
		func(ctx context.Context) { _ = d.zone.Appender.Run(ctx) },
		d.snapshotter(d.zone.Follower, d.zone.Appender, "snapshot/zone"),
		d.snapshotter(d.control.Follower, d.control.Appender, "snapshot/control"),
		d.poller.run,
		d.peers.Run,
		d.ownership.Run,
		d.claims.Run,
		d.scheduler.Run,
		d.guards.Run,
		d.runGauges,
	} {
		d.loops.Go(func() { loop(ctx) })
	}
}

// snapshotter returns a loop that writes snapshots if this daemon is the one of its zone responsible for duty. For
// the control stream, that is one daemon in each zone; a write ends early if another daemon completes its snapshot
// first.
func (d *Daemon) snapshotter(f *stream.Follower, a *stream.Appender, duty string) func(context.Context) {
	s := stream.NewSnapshotter(f, a, stream.SnapshotterOptions{Log: d.log, IsWriter: func() bool {
		self, responsible := d.authority.Member(), false
		d.zone.View(func(z *zone.State) { responsible = self != "" && z.ResponsibleMember(duty) == self })
		return responsible
	}})
	return func(ctx context.Context) { _ = s.Run(ctx) }
}

func (d *Daemon) shutdown() error {
	d.log.Info().Str("step", "drain").Msg("daemon drains")
	drain, cancel := context.WithTimeout(context.Background(), d.settings.Limits.Drain())
	defer cancel()
	err := d.gateway.Shutdown(drain)
	// Membership ends after the requests in flight, which may need claims.
	d.claims.Stop()
	leave, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.ownership.Leave(leave); err != nil {
		d.log.Warn().Str("step", "hand over").Err(err).Msg("shards were not released; other members will expire this member")
	}
	d.shutdownPeers(drain)
	_ = d.operator.Shutdown(drain)
	_ = d.health.Shutdown(drain)
	_ = d.tracing.Shutdown(drain)
	return err
}

// subscribe connects the streams with the components that react to them.
func (d *Daemon) subscribe(ctx context.Context) {
	d.zone.Follower.Subscribe(func(b stream.Batch) {
		d.zone.View(d.authority.Observe)
		d.claims.ApplyZoneBatch(b)
		d.table.Apply(b)
		d.updateAgents(ctx, b)
		d.guards.ApplyZoneBatch(b)
		d.scheduler.ApplyZoneBatch(b)
	})
	d.control.Follower.Subscribe(func(b stream.Batch) {
		d.forwardAttestations(b)
		d.scheduler.ApplyControl(b)
	})
}

// updateAgents starts, stops and wakes the agents whose shards, workers or tasks changed.
func (d *Daemon) updateAgents(ctx context.Context, b stream.Batch) {
	resync := b.Restored
	for _, a := range b.Applied {
		for _, e := range a.Verdict.Events {
			c, ok := e.(zone.Change)
			if !ok {
				continue
			}
			switch c.Kind {
			case zone.ChangeShard, zone.ChangeWorker, zone.ChangeMember:
				resync = true
			case zone.ChangeTask:
				if c.Worker != "" && d.needsCommand(c.Task) {
					d.executors.Wake(c.Worker)
				}
			}
		}
	}
	if resync {
		d.executors.Sync(ctx)
	}
}

// needsCommand reports whether a task waits for a command to its worker. Acknowledgements wait for the next renewal,
// because a call costs more than keeping the end state at the worker until then.
func (d *Daemon) needsCommand(id record.TaskID) (needs bool) {
	d.zone.View(func(s *zone.State) {
		t := s.Task(id)
		needs = t != nil && t.State == zone.TaskBound && (t.Address == "" || t.ShouldStop())
	})
	return needs
}

// forwardAttestations passes operators' statements that a VM is gone to the worker's agent.
func (d *Daemon) forwardAttestations(b stream.Batch) {
	for _, a := range b.Applied {
		for _, e := range a.Verdict.Events {
			if ev, ok := e.(control.Event); ok && ev.Kind == control.EventAttested && ev.Zone == d.settings.Zone {
				d.executors.AttestLost(ev.Worker)
			}
		}
	}
}

func (d *Daemon) onVMList(ctx context.Context, vms []directory.VM) {
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == directory.RoleWorker && vm.State == directory.StateLeaving {
			leaving[vm.ID] = true
		}
	}
	d.addListedPeers(vms)
	d.table.SetLeaving(leaving)
	d.executors.SetListing(vms)
	d.executors.Sync(ctx)
}

func (d *Daemon) onReport(r worker.Report) {
	d.reports.add(r, d.now())
	d.guards.AddReport(r)
	d.scheduler.SetPressure(map[string]int64{r.Worker: maxStallPermille(r)})
}

func (d *Daemon) operatorTLS() (*tls.Config, error) {
	o := d.settings.Operators
	if o.CertificateFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(o.CertificateFile, o.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load operators' certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}
