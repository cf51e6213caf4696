package hosted

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/external/advisor"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/jobworker"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ledger"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/peer/devcert"
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
	set     *Settings
	out     Outside
	log     zerolog.Logger
	now     func() time.Duration
	metrics *telemetry.Registry
	control *control
	once    *ledger.Once
	peers   *peer.Transport
	env     *shard.Environment

	draining atomic.Bool
	// closesAt is the boot time at which a draining daemon closes the connections of callers, ns; 0 while it does not
	// drain.
	closesAt  atomic.Int64
	storeSeen atomic.Int64 // boot time at which the control topic was read last, ns
	// storeWay is the shortest time that the store took to answer, ns.
	storeWay atomic.Int64
	// shardTotal is the number of shards; 0 until it is known.
	shardTotal atomic.Int64

	mu      sync.Mutex
	keepers []*shardlease.Keeper
	shards  map[int]*shard.Shard // owned
}

// New returns a daemon that Run starts.
func New(set *Settings, out Outside, log zerolog.Logger) *Daemon {
	d := &Daemon{
		set: set, out: out, log: log, now: out.Now, metrics: telemetry.New(time.Now),
		control: newControl(out.Layout, log), once: ledger.NewOnce(out.Store), shards: map[int]*shard.Shard{},
	}
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

// Timing of the daemon's life.
const (
	// controlWait is how long a read of the control topic waits for a change. It bounds the time for which a
	// silent connection hides a new configuration.
	controlWait = time.Second
	// readyAge is how old the newest read of the control topic may be while callers are sent here.
	readyAge = 3500 * time.Millisecond
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
	case d.now()-time.Duration(d.storeSeen.Load()) > readyAge:
		return errors.New("the store cannot be reached")
	}
	return nil
}

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
	var backoff ledger.Backoff
	failing := false
	for ctx.Err() == nil {
		err := f.Poll(ctx, controlWait)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			d.log.Warn().Err(err).Bool("lost", failing).Str("dependency", "store").Msg("dependency changed")
		}
		if err != nil {
			backoff.Sleep(ctx)
			continue
		}
		backoff.Reset()
		d.storeSeen.Store(int64(d.now()))
	}
}

// Partition and keys of what daemons agree on once.
var agreed = keyedlog.Partition{Topic: "keyed.agreed"}

const (
	authorityKey = "peer-authority"
	shardsKey    = "shards"
)

// startPeers gets this daemon's certificate from the common authority and opens the listener for other daemons.
func (d *Daemon) startPeers(ctx context.Context) error {
	secret, err := ledger.Ensure(ctx, d.out.Store, agreed, authorityKey, func() ([]byte, error) {
		authority, err := devcert.NewAuthority()
		if err != nil {
			return nil, err
		}
		return authority.Encode()
	})
	if err != nil {
		return err
	}
	authority, err := devcert.ParseAuthority(secret)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "waxwingslip")
	if err != nil {
		return errors.Wrap(err, "make directory for keys")
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			d.log.Warn().Err(err).Msg("removing key files failed")
		}
	}()
	files, err := authority.Write(dir, d.set.Name)
	if err != nil {
		return err
	}
	credentials, err := peer.LoadCredentials(files)
	if err != nil {
		return err
	}
	timing := peer.Timing{Dial: 700 * time.Millisecond, Silence: 3 * time.Second, RedialMax: 500 * time.Millisecond,
		BreakerOpen: 200 * time.Millisecond}
	server, err := peer.NewServer(peer.ServerOptions{Address: d.set.Listen.Peers, Credentials: credentials, Timing: timing})
	if err != nil {
		return err
	}
	d.handlePeers(server)
	go func() {
		if err := server.Serve(); err != nil && ctx.Err() == nil {
			d.log.Error().Err(err).Msg("listener for other daemons failed")
		}
	}()
	host, _, err := net.SplitHostPort(d.set.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "address for peers")
	}
	transport, err := peer.NewTransport(peer.Options{LocalAddress: net.JoinHostPort(host, "0"), Credentials: credentials, Timing: timing})
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = transport
	return nil
}

// Sizing of shards.
const (
	// workersPerCore is the number of workers whose shard takes a third of a core.
	workersPerCore = 350
	// Bounds of the workers in a shard: with fewer, large tasks find no room beside others; with more, an owner's
	// loss stops too much at once.
	leastWorkersPerShard, mostWorkersPerShard = 48, 175
	// weakVMWait lets VMs with more processor time propose the number of shards.
	weakVMWait = 1500 * time.Millisecond
	// registrationTime is how long workers may take to register before they are counted.
	registrationTime = 3 * time.Second
)

// countShards returns the number of shards, which the first daemon derives from the number of workers.
func (d *Daemon) countShards(ctx context.Context) (int, error) {
	begun := d.now()
	value, err := ledger.Ensure(ctx, d.out.Store, agreed, shardsKey, func() ([]byte, error) {
		wait := registrationTime
		if d.set.VM.Cores < 2*smallVMCores {
			wait += weakVMWait
		}
		ledger.Sleep(ctx, wait-(d.now()-begun))
		workers := 0
		after := ""
		for {
			page, err := d.out.Store.Newest(ctx, d.out.Layout.Registry, after)
			if err != nil {
				return nil, err
			}
			workers += len(page.Records)
			if after = page.Next; after == "" {
				break
			}
		}
		perShard := min(max(int(workersPerCore*d.set.VM.Cores), leastWorkersPerShard), mostWorkersPerShard)
		shards := max(1, min((workers+perShard/2)/perShard, d.set.Store.Partitions))
		d.log.Info().Int("workers", workers).Int("shards", shards).Msg("number of shards proposed")
		return cbor.Marshal(shards)
	})
	if err != nil {
		return 0, err
	}
	var count int
	if err := cbor.Unmarshal(value, &count); err != nil || count < 1 {
		return 0, errors.Errorf("number of shards cannot be read (%v)", err)
	}
	return count, nil
}

// assigned reports whether a worker belongs to a shard.
func (d *Daemon) assigned(n int, w jobworker.Info) bool {
	return int(xxhash.Sum64String(w.ID)%uint64(max(1, d.shardCount()))) == n
}

// preference orders the daemons that claim a shard: those with processor time to spare, near the
// store and with few shards first.
func (d *Daemon) preference() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	weak := int(smallVMCores / d.set.VM.Cores)
	far := int(time.Duration(d.storeWay.Load()) / regionWay)
	return 2*len(d.shards) + min(weak, 3) + min(far, 3) + rand.IntN(2)
}

// regionWay is a time that a call to a store in the same region does not take.
const regionWay = 20 * time.Millisecond

// measureStore notes how far the store is. An owner waits for it before each start.
func (d *Daemon) measureStore(ctx context.Context) {
	for range 3 {
		begun := d.now()
		if _, err := d.out.Store.Newest(ctx, agreed, ""); err != nil {
			continue
		}
		took := int64(d.now() - begun)
		if least := d.storeWay.Load(); least == 0 || took < least {
			d.storeWay.Store(took)
		}
	}
}

// smallVMCores is the processor share below which a VM is the last choice for a shard.
const smallVMCores = 0.2

// lead runs a shard while it is owned.
func (d *Daemon) lead(ctx context.Context, n int, held *shardlease.Held) {
	lapse := time.Duration(0)
	if held.PreviousHeld > 0 {
		lapse = held.PreviousHeld + d.env.Bounds.HoldMax*102/100 + leaseMargin
	}
	s := shard.New(d.env, n, held.Epoch, held, lapse)
	d.mu.Lock()
	d.shards[n] = s
	d.metrics.Gauge("shard_owned").Set(int64(len(d.shards)))
	d.mu.Unlock()
	s.Run(ctx)
	d.mu.Lock()
	delete(d.shards, n)
	d.metrics.Gauge("shard_owned").Set(int64(len(d.shards)))
	d.mu.Unlock()
}

// leaseMargin covers the rounding of clocks and the way of a last order.
const leaseMargin = 300 * time.Millisecond

// owned returns a shard that this daemon owns and has loaded, or nil.
func (d *Daemon) owned(n int) *shard.Shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.shards[n]; s != nil && s.Loaded() {
		return s
	}
	return nil
}

// ownerAddress returns where the owner of a shard takes calls, empty if that is this daemon or not known.
func (d *Daemon) ownerAddress(n int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n >= len(d.keepers) || d.peers == nil {
		return ""
	}
	o := d.keepers[n].Owner()
	if o == nil || o.Address == d.set.Listen.Peers {
		return ""
	}
	return o.Address
}

// shardCount returns the number of shards, or 0 if it is not known. Shards call it under their locks, so it takes
// none.
func (d *Daemon) shardCount() int { return int(d.shardTotal.Load()) }

// LogLinesDropped counts log lines that were not written.
func (d *Daemon) LogLinesDropped(n int) { d.metrics.Counter("log_lines_dropped").Add(int64(n)) }
