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
	"waxwingslip.example/node/boundary"
	"waxwingslip.example/node/ctxtime"
	"waxwingslip.example/node/ledger"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/shard"
	"waxwingslip.example/node/shardlease"
	"waxwingslip.example/node/telemetry"
)

// Dependencies holds the daemon's connections to the store, the workers and the callers.
type Dependencies struct {
	Store        keyedlog.Store
	Workers      jobworker.Client
	Advisor      advisor.Advisor // nil if there is none
	Layout       Layout
	DecodeWorker func(id string, value []byte) (jobworker.Info, error)
	// Callers builds the handler of callers' requests. ReadinessPath is the path of the load balancer's checks.
	Callers       func(jobqueue.JobAPI) http.Handler
	ReadinessPath string
	// Now returns a monotonic time that includes suspension.
	Now func() time.Duration
}

// Daemon serves callers and runs the shards that it owns.
type Daemon struct {
	settings *Settings
	deps     Dependencies
	store    *ledger.TimedStore
	log      zerolog.Logger
	now      func() time.Duration
	metrics  *telemetry.Registry
	control  *control
	commands *commandStore
	// earlyCancels limits the cancellations of unknown jobs that are stored.
	earlyCancels *earlyCancels
	peers        *peer.Transport
	shardDeps    *shard.Dependencies

	draining atomic.Bool
	// closesAt is the boot time in ns at which a draining daemon closes callers' connections; 0 before it drains.
	closesAt atomic.Int64
	feed     *controlFeed
	// storeLatency is the shortest measured response time of the store in ns.
	storeLatency atomic.Int64
	// referenceCapacity holds the bits of the capacity, in cores, of the daemon that proposed the number of shards.
	referenceCapacity atomic.Uint64
	// shardTotal is the number of shards; 0 until it is known.
	shardTotal atomic.Int64

	mu            sync.Mutex
	leaseManagers []*shardlease.Manager
	shards        map[int]*shard.Shard // owned
	// movedAt is when this daemon last handed a shard over to relieve itself.
	movedAt time.Duration
}

// New returns a daemon. Run starts it.
func New(settings *Settings, deps Dependencies, log zerolog.Logger) *Daemon {
	store := ledger.NewTimedStore(deps.Store)
	d := &Daemon{
		settings: settings, deps: deps, store: store, log: log, now: deps.Now, metrics: telemetry.New(time.Now),
		control: newControl(deps.Layout, log), shards: map[int]*shard.Shard{},
	}
	store.Observe(log, ledger.NewCounters(d.metrics))
	d.feed = newControlFeed(store, deps.Layout, d.control, deps.Now, func() bool { return d.ownedShard(0) != nil }, d.metrics)
	d.commands = newCommandStore(store, settings.Store.Partitions, deps.Now, d.ownerStore)
	d.earlyCancels = &earlyCancels{now: deps.Now, at: map[earlyCancelKey]time.Duration{}}
	d.shardDeps = &shard.Dependencies{
		Store: store, Workers: deps.Workers, Advisor: deps.Advisor, Config: d.control.Config,
		ZoneOutOfService: d.control.ZoneOutOfService,
		Region:           func(zone string) string { return settings.Regions[zone] },
		DecodeWorker:     deps.DecodeWorker, Registry: deps.Layout.Registry, HomeShard: d.homeShard, Lend: d.lend, JobState: d.jobState,
		Shards: d.shardCount,
		Limits: shard.Limits{MaxWorkerLease: settings.Bounds.maxWorkerLease(), LongestWorkerLease: settings.Bounds.longestWorkerLease(),
			EndedRetention:   settings.Bounds.endedRetention(),
			MaxObjectiveMiss: duration(settings.Bounds.HarmMs, time.Millisecond)},
		Now: deps.Now, WallTime: time.Now, Log: log, Counters: shard.NewCounters(d.metrics),
	}
	return d
}

// Timing of the daemon's start, health and end.
const (
	// readyMaxControlAge is the age of the control state up to which the daemon is ready for callers.
	readyMaxControlAge = 3500 * time.Millisecond
	// unreachableControlAge is the age of the last read of the control feed above which the store counts as unreachable. It
	// exceeds controlPollInterval, since the feed can be idle or a read can wait that long.
	unreachableControlAge = controlPollInterval + 600*time.Millisecond
	// shutdownReserve is the last part of the grace period, in which the servers shut down and the process ends.
	shutdownReserve = 1800 * time.Millisecond
	// shutdownTimeout is the part of shutdownReserve for open requests; the rest is for the end of the process.
	shutdownTimeout = shutdownReserve / 2
	// responseReserve is the part of shutdownTimeout that is left to write a response.
	responseReserve = 200 * time.Millisecond
)

// limitToDrain shortens a time limit so that the request is answered before a draining daemon closes its connection.
func (d *Daemon) limitToDrain(limit time.Duration) time.Duration {
	at := time.Duration(d.closesAt.Load())
	if at == 0 {
		return limit
	}
	return min(limit, max(at-d.now()-responseReserve, 0))
}

// Run serves until the context ends, then releases the daemon's shards and finishes open requests.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Info().Msg("daemon starts")
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	servers, err := d.listen()
	if err != nil {
		return err
	}
	go d.start(workCtx)
	<-ctx.Done()
	d.drain(servers)
	stopWork()
	d.log.Info().Msg("daemon ended")
	return nil
}

// drain fails the readiness check, releases the shards and serves requests until the end of the grace period.
func (d *Daemon) drain(servers []*http.Server) {
	d.log.Info().Msg("daemon drains")
	d.draining.Store(true)
	d.mu.Lock()
	for _, m := range d.leaseManagers {
		m.Drain()
	}
	d.mu.Unlock()
	d.closesAt.Store(int64(d.now() + d.settings.Bounds.grace() - shutdownReserve + shutdownTimeout))
	time.Sleep(d.settings.Bounds.grace() - shutdownReserve)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			d.log.Warn().Err(err).Str("address", s.Addr).Msg("open requests did not finish in the grace period")
		}
	}
}

// listen opens the listeners for callers, the load balancer and metrics.
func (d *Daemon) listen() ([]*http.Server, error) {
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+d.deps.ReadinessPath, d.serveReadiness)
	var servers []*http.Server
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{d.settings.Listen.Callers, boundary.Handler(d.deps.Callers(&jobAPI{d}), d.log, d.metrics.Counter("callers_panics"))},
		{d.settings.Listen.Readiness, readiness},
		{d.settings.Listen.Metrics, telemetry.Handler(d.metrics, telemetry.Check{Name: "ready", Err: d.notReady})},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", l.address)
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

// notReady returns the reason why the daemon is not ready for callers, or nil.
func (d *Daemon) notReady() error {
	switch {
	case d.draining.Load():
		return errors.New("draining")
	case d.control.Config() == nil:
		return errors.New("no configuration")
	case d.shardCount() == 0:
		return errors.New("number of shards is not known")
	case d.feed.unreadAge() > readyMaxControlAge:
		return errors.New("the store cannot be reached")
	case d.feed.age() > readyMaxControlAge:
		return errors.New("the configuration is out of date")
	}
	return nil
}

// storeUnreachable reports whether the store, and with it the shard owners' records, cannot be read.
func (d *Daemon) storeUnreachable() bool { return d.feed.unreadAge() > unreachableControlAge }

// start connects to the other daemons and starts a lease manager for each shard.
func (d *Daemon) start(ctx context.Context) {
	go d.followControl(ctx)
	d.retry(ctx, "join the other daemons", d.startPeers)
	count := 0
	d.retry(ctx, "agree on the number of shards", func(ctx context.Context) (err error) {
		count, err = d.agreeOnShardCount(ctx)
		return err
	})
	d.retry(ctx, "measure the store", d.measureStore)
	if ctx.Err() != nil {
		return
	}
	self := shardlease.Owner{Name: d.settings.Name, Address: d.settings.Listen.Peers, Lifetime: time.Now().UnixNano(),
		Capacity: d.capacity()}
	d.mu.Lock()
	defer d.mu.Unlock()
	claimLock := &sync.Mutex{}
	for n := range count {
		m := shardlease.New(shardlease.Options{
			Store: d.store, Shard: n, Self: self, Now: d.now, Log: d.log, ClaimLock: claimLock,
			Preference: func() int { return d.preference(n) }, FollowPause: d.followPause,
			HoldsCancels: func() bool {
				s := d.ownedShard(n)
				return s == nil || s.HoldsEarlyCancels() // not known before the shard is loaded
			},
			Lead: func(ctx context.Context, ownership *shardlease.Ownership) { d.runShard(ctx, n, ownership) },
		})
		if d.draining.Load() {
			m.Drain()
		}
		d.leaseManagers = append(d.leaseManagers, m)
		go m.Run(ctx)
	}
	go d.rebalance(ctx)
	d.shardTotal.Store(int64(count))
}

// retry repeats a step of the start until it succeeds or the context ends. The cause of a failure, such as a port that
// the former process still uses, can pass at any time.
func (d *Daemon) retry(ctx context.Context, step string, f func(context.Context) error) {
	var backoff ledger.Backoff
	logResult := ledger.LogDependency(d.log, step)
	for ctx.Err() == nil {
		err := f(ctx)
		if logResult(err); err == nil {
			return
		}
		backoff.Sleep(ctx)
	}
}

// Observation of the control state.
const (
	// controlGaugeInterval is the time between two updates of its gauges.
	controlGaugeInterval = time.Second
	// staleControlAge is the age of the control state above which the log says that it is out of date.
	staleControlAge = 2 * time.Second
)

// observeControl updates the gauges of the control state, and logs when it becomes out of date or current, until the
// context ends.
func (d *Daemon) observeControl(ctx context.Context) {
	stale := false
	for ctxtime.Sleep(ctx, controlGaugeInterval) {
		age, end, through := d.feed.age(), d.feed.end.Load(), d.feed.through.Load()
		version := int64(0)
		if c := d.control.Config(); c != nil {
			version = c.Version
		}
		d.metrics.Gauge("control_age").Set(age.Milliseconds())
		d.metrics.Gauge("control_end").Set(end)
		d.metrics.Gauge("control_offset").Set(through)
		d.metrics.Gauge("control_version").Set(version)
		if isStale := age > staleControlAge; isStale != stale {
			stale = isStale
			line, message := d.log.Info(), "control state is current again"
			if stale {
				line, message = d.log.Warn(), "control state is out of date"
			}
			line.Dur("age", age).Int64("version", version).Int64("offset", through).Int64("end", end).
				Dur("unread", d.feed.unreadAge()).Msg(message)
		}
	}
}

func (d *Daemon) followControl(ctx context.Context) {
	go d.observeControl(ctx)
	d.feed.run(ctx, ledger.LogDependency(d.log, "control topic"))
}

// AddDroppedLogLines counts log lines that were not written.
func (d *Daemon) AddDroppedLogLines(n int) { d.metrics.Counter("log_lines_dropped").Add(int64(n)) }
