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

// leaveTimeout limits how long a shutdown waits for the log to show that shards were released.
const leaveTimeout = 5 * time.Second

// Run runs the daemon until ctx ends, then drains: it stops being ready, serves the requests in flight, hands over
// its shards and stops.
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
	go func() { failed <- ignoreClosed(d.health.Serve(d.listeners.health)) }()
	d.log.Info().Str("step", "start").Interface("addresses", d.addresses).Str("build", Build).Msg("daemon started")

	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	shutdownErr := d.shutdown()
	stop()
	d.pool.Stop()
	d.workers.Wait()
	if err == nil {
		err = shutdownErr
	}
	d.log.Info().Str("step", "stop").AnErr("error", err).Msg("daemon stopped")
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// start runs the loops in the background.
func (d *Daemon) start(ctx context.Context) {
	for _, loop := range []func(context.Context){
		func(ctx context.Context) { _ = d.control.Follower.Run(ctx) },
		func(ctx context.Context) { _ = d.control.Appender.Run(ctx) },
		func(ctx context.Context) { _ = d.zone.Follower.Run(ctx) },
		func(ctx context.Context) { _ = d.zone.Appender.Run(ctx) },
		d.snapshotter(d.zone.Follower, d.zone.Appender, "snapshot/zone"),
		d.snapshotter(d.control.Follower, d.control.Appender, "snapshot/control"),
		d.listing.run,
		d.peers.Run,
		d.owner.Run,
		d.claims.Run,
		d.sched.Run,
		d.guards.Run,
		d.watch,
	} {
		d.workers.Go(func() { loop(ctx) })
	}
}

// snapshotter writes snapshots if this daemon is the one of its zone that does so. For the control stream, that
// is one daemon in each zone; a snapshot that another finished first ends the attempt.
func (d *Daemon) snapshotter(f *stream.Follower, a *stream.Appender, duty string) func(context.Context) {
	s := stream.NewSnapshotter(f, a, stream.SnapshotterOptions{Log: d.log, Mine: func() bool {
		self, mine := d.authority.Member(), false
		d.zone.View(func(z *zone.State) { mine = self != "" && z.Responsible(duty) == self })
		return mine
	}})
	return func(ctx context.Context) { _ = s.Run(ctx) }
}

func (d *Daemon) shutdown() error {
	d.log.Info().Str("step", "drain").Msg("daemon drains")
	drain, cancel := context.WithTimeout(context.Background(), d.set.Limits.Drain())
	defer cancel()
	err := d.gateway.Shutdown(drain)
	// Membership ends after the requests in flight, which may need claims.
	d.claims.Stop()
	leave, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.owner.Leave(leave); err != nil {
		d.log.Warn().Str("step", "hand over").Err(err).Msg("shards were not released, other members expire this one")
	}
	d.shutdownPeers(drain)
	_ = d.operator.Shutdown(drain)
	_ = d.health.Shutdown(drain)
	_ = d.tracing.Shutdown(drain)
	return err
}

// subscribe connects the streams with the parts that react to them.
func (d *Daemon) subscribe(ctx context.Context) {
	d.zone.Follower.Subscribe(func(b stream.Batch) {
		d.zone.View(d.authority.Observe)
		d.claims.ApplyZone(b)
		d.table.Apply(b)
		d.wakeWorkers(ctx, b)
		d.guards.ApplyZone(b)
		d.sched.ApplyZone(b)
	})
	d.control.Follower.Subscribe(func(b stream.Batch) {
		d.attest(b)
		d.sched.ApplyControl(b)
	})
}

// wakeWorkers starts, stops and wakes the agents whose shards, workers or tasks changed.
func (d *Daemon) wakeWorkers(ctx context.Context, b stream.Batch) {
	sync := b.Restored
	for _, a := range b.Applied {
		for _, e := range a.Verdict.Events {
			c, ok := e.(zone.Change)
			if !ok {
				continue
			}
			switch c.Kind {
			case zone.ChangeShard, zone.ChangeWorker, zone.ChangeMember:
				sync = true
			case zone.ChangeTask:
				if c.Worker != "" && d.needsCommand(c.Task) {
					d.pool.Wake(c.Worker)
				}
			}
		}
	}
	if sync {
		d.pool.Sync(ctx)
	}
}

// needsCommand reports whether a task waits for a command to its worker. Acknowledgements wait for the next renewal,
// because a contact costs more than the end state that the worker keeps until then.
func (d *Daemon) needsCommand(id record.TaskID) (needs bool) {
	d.zone.View(func(s *zone.State) {
		t := s.Task(id)
		needs = t != nil && t.State == zone.TaskBound && (t.Address == "" || t.StopWanted())
	})
	return needs
}

// attest passes an operator's statement that a VM is gone to the worker's agent.
func (d *Daemon) attest(b stream.Batch) {
	for _, a := range b.Applied {
		for _, e := range a.Verdict.Events {
			if ev, ok := e.(control.Event); ok && ev.Kind == control.EventAttested && ev.Zone == d.set.Zone {
				d.pool.Attest(ev.Worker)
			}
		}
	}
}

func (d *Daemon) onListing(ctx context.Context, vms []directory.VM) {
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == directory.RoleWorker && vm.State == directory.StateLeaving {
			leaving[vm.ID] = true
		}
	}
	d.knowPeers(vms)
	d.table.SetLeaving(leaving)
	d.pool.SetListing(vms)
	d.pool.Sync(ctx)
}

func (d *Daemon) onReport(r worker.Report) {
	d.reports.add(r, d.now())
	d.guards.Report(r)
	d.sched.Pressure(map[string]int64{r.Worker: stallOf(r)})
}

func (d *Daemon) operatorTLS() (*tls.Config, error) {
	o := d.set.Operators
	if o.CertificateFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(o.CertificateFile, o.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load operators' certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}
