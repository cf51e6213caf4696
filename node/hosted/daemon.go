package hosted

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/external/advisor"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/jobworker"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ledger"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/shard"
	"waxwingslip.example/node/shardlease"
	"waxwingslip.example/node/telemetry"
)

// Outside is what the daemon needs of the outside world.
type Outside struct {
	Store        keyedlog.Store
	Workers      jobworker.Client
	Advisor      advisor.Advisor // nil if there is none
	Layout       Layout
	DecodeWorker func(id string, value []byte) (jobworker.Info, error)
	// Callers builds the handler of callers' requests, and ReadinessPath is where the balancer asks.
	Callers       func(jobqueue.Intake) http.Handler
	ReadinessPath string
	// Now counts suspension.
	Now func() time.Duration
}

// Daemon is a hosted daemon.
type Daemon struct {
	set      *Settings
	out      Outside
	log      zerolog.Logger
	now      func() time.Duration
	metrics  *telemetry.Registry
	control  *control
	commands *commandStore
	peers    *peer.Transport
	env      *shard.Environment

	draining atomic.Bool
	// closesAt is the boot time at which a draining daemon closes the connections of callers, ns; 0 while it does not
	// drain.
	closesAt  atomic.Int64
	storeSeen atomic.Int64 // boot time at which the control topic was read last, ns
	// storeDelay is the shortest time that the store took to answer, ns.
	storeDelay atomic.Int64
	// shardTotal is the number of shards; 0 until it is known.
	shardTotal atomic.Int64

	mu      sync.Mutex
	keepers []*shardlease.Keeper
	shards  map[int]*shard.Shard // owned
}

// New returns a daemon that Run starts.
func New(set *Settings, out Outside, log zerolog.Logger) *Daemon {
	measured := ledger.Measure(out.Store)
	out.Store = measured
	d := &Daemon{
		set: set, out: out, log: log, now: out.Now, metrics: telemetry.New(time.Now),
		control: newControl(out.Layout, log), shards: map[int]*shard.Shard{},
	}
	d.commands = newCommandStore(measured, set.Store.Partitions, out.Now, d.ownerOf)
	d.env = &shard.Environment{
		Store: out.Store, Workers: out.Workers, Advisor: out.Advisor, Config: d.control.Config, Evacuated: d.control.Evacuated,
		Region:       func(zone string) string { return set.Regions[zone] },
		DecodeWorker: out.DecodeWorker, Registry: out.Layout.Registry, Assigned: d.assigned,
		Bounds: shard.Bounds{HoldMax: set.Bounds.holdMax(), KeepEnded: set.Bounds.keepEnded(),
			HarmAfter: times(set.Bounds.HarmMs, time.Millisecond)},
		Now: out.Now, Wall: time.Now, Log: log, Counters: shard.NewCounters(d.metrics),
	}
	return d
}

// Timing of the daemon's start, health and end.
const (
	// controlWait is how long a read of the control topic waits for a change. It bounds the time for which a
	// silent connection hides a new configuration.
	controlWait = time.Second
	// readyAge is how old the newest read of the control topic may be while callers are sent here.
	readyAge = 3500 * time.Millisecond
	// unreachableAge is how old that read is at least while the store is out of reach; it waits for controlWait.
	unreachableAge = controlWait + 500*time.Millisecond
	// endReserve is the part of the grace period in which open requests are finished.
	endReserve = 1800 * time.Millisecond
	// finishTime is the part of endReserve that open requests get; the rest is for the end of the process.
	finishTime = endReserve / 2
	// answerTime is what remains of finishTime to write an answer.
	answerTime = 200 * time.Millisecond
)

// withinDrain shortens a time limit so that the request is answered before a draining daemon closes its connection.
func (d *Daemon) withinDrain(limit time.Duration) time.Duration {
	at := time.Duration(d.closesAt.Load())
	if at == 0 {
		return limit
	}
	return min(limit, max(at-d.now()-answerTime, 0))
}

// Run serves until the context ends, then hands the daemon's shards over and finishes what is open.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Info().Msg("daemon starts")
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	servers, err := d.listen()
	if err != nil {
		return err
	}
	go d.start(work)
	<-ctx.Done()
	d.drain(servers)
	stopWork()
	d.log.Info().Msg("daemon ended")
	return nil
}

// drain stops taking new callers and shards, and answers the others for as long as the grace period allows.
func (d *Daemon) drain(servers []*http.Server) {
	d.log.Info().Msg("daemon drains")
	d.draining.Store(true)
	d.mu.Lock()
	for _, k := range d.keepers {
		k.Drain()
	}
	d.mu.Unlock()
	d.closesAt.Store(int64(d.now() + d.set.Bounds.grace() - endReserve + finishTime))
	time.Sleep(d.set.Bounds.grace() - endReserve)
	ctx, cancel := context.WithTimeout(context.Background(), finishTime)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			d.log.Warn().Err(err).Str("address", s.Addr).Msg("requests are cut off")
		}
	}
}

// listen opens the listeners for callers, the balancer and metrics.
func (d *Daemon) listen() ([]*http.Server, error) {
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+d.out.ReadinessPath, d.serveReadiness)
	var servers []*http.Server
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{d.set.Listen.Callers, d.out.Callers(&intake{d})},
		{d.set.Listen.Readiness, readiness},
		{d.set.Listen.Metrics, telemetry.Handler(d.metrics, telemetry.Check{Name: "ready", Err: d.notReady})},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen at %s", l.address)
		}
		s := &http.Server{Addr: l.address, Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
		servers = append(servers, s)
		go func() {
			if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				d.log.Error().Err(err).Str("address", s.Addr).Msg("listener failed")
			}
		}()
	}
	return servers, nil
}

// Limits of connections from outside.
const (
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	maxHeaderBytes    = 16 << 10
)

func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := d.notReady(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReady returns why callers should be sent elsewhere, or nil.
func (d *Daemon) notReady() error {
	switch {
	case d.draining.Load():
		return errors.New("draining")
	case d.control.Config() == nil:
		return errors.New("no configuration")
	case d.shardCount() == 0:
		return errors.New("number of shards is not known")
	case d.storeAge() > readyAge:
		return errors.New("the store cannot be reached")
	}
	return nil
}

// storeAge returns how long ago the control topic was read.
func (d *Daemon) storeAge() time.Duration { return d.now() - time.Duration(d.storeSeen.Load()) }

// storeUnreachable reports whether the store, and with it the records of owners, cannot be read.
func (d *Daemon) storeUnreachable() bool { return d.storeAge() > unreachableAge }

// start joins the other daemons and takes part in the ownership of shards.
func (d *Daemon) start(ctx context.Context) {
	go d.followControl(ctx)
	if err := d.startPeers(ctx); err != nil {
		d.log.Error().Err(err).Msg("joining the other daemons failed")
		return
	}
	count, err := d.countShards(ctx)
	if err != nil {
		d.log.Error().Err(err).Msg("reading the number of shards failed")
		return
	}
	d.measureStore(ctx)
	self := shardlease.Owner{Name: d.set.Name, Address: d.set.Listen.Peers, Lifetime: time.Now().UnixNano()}
	d.mu.Lock()
	defer d.mu.Unlock()
	for n := range count {
		k := shardlease.New(shardlease.Options{
			Store: d.out.Store, Shard: n, Self: self, Now: d.now, Log: d.log, Preference: d.preference,
			Lead: func(ctx context.Context, held *shardlease.Held) { d.lead(ctx, n, held) },
		})
		if d.draining.Load() {
			k.Drain()
		}
		d.keepers = append(d.keepers, k)
		go k.Run(ctx)
	}
	d.shardTotal.Store(int64(count))
}

func (d *Daemon) followControl(ctx context.Context) {
	f := ledger.NewFollower(d.out.Store, d.out.Layout.Control, d.control.apply)
	logged := ledger.LogDependency(d.log, "control topic")
	f.Run(ctx, controlWait, 0, func(err error) {
		logged(err)
		if err == nil {
			d.storeSeen.Store(int64(d.now()))
		}
	})
}

// LogLinesDropped counts log lines that were not written.
func (d *Daemon) LogLinesDropped(n int) { d.metrics.Counter("log_lines_dropped").Add(int64(n)) }
