// Package daemon assembles the components of waxwingslipd and runs them until shutdown.
package daemon

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/routing"
	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/logstore"
	"waxwingslip.example/external/worker"
	"waxwingslip.example/node/authority"
	"waxwingslip.example/node/claimview"
	"waxwingslip.example/node/contention"
	"waxwingslip.example/node/endpoints"
	"waxwingslip.example/node/executor"
	"waxwingslip.example/node/forward"
	"waxwingslip.example/node/gateway"
	"waxwingslip.example/node/operator"
	"waxwingslip.example/node/ownership"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/peers"
	"waxwingslip.example/node/replica"
	"waxwingslip.example/node/scheduler"
	"waxwingslip.example/node/settings"
	"waxwingslip.example/node/telemetry"
)

// Build is the version of the program, set by the linker for releases.
var Build = "development"

// Addresses holds the addresses at which a running daemon listens, as IP:port.
type Addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Health    string `json:"health"`
	Peers     string `json:"peers"`
}

// Daemon is the waxwingslipd process of one entry VM.
type Daemon struct {
	settings *settings.Settings
	log      zerolog.Logger
	// started is the origin of the monotonic clock that all components share.
	started time.Time

	control      *replica.Control
	zone         *replica.Zone
	authority    *authority.Authority
	poller       *directoryPoller
	table        *endpoints.Table
	executors    *executor.Pool
	scheduler    *scheduler.Scheduler
	ownership    *ownership.Runner
	gateway      *gateway.Gateway
	operator     *operator.Server
	health       *http.Server
	reports      *reportCache
	registry     *telemetry.Registry
	tracing      *telemetry.Tracing
	guards       *contention.Manager
	alarmTracker alarmTracker

	claims     *claimview.Manager
	peerServer *peer.Server
	transport  *peer.Transport
	peers      *peers.Peers
	// hellosSent counts the hellos built for peers.
	hellosSent atomic.Int64

	listeners listeners
	addresses Addresses
	loops     sync.WaitGroup
}

type listeners struct {
	callers, operators, health net.Listener
}

// New builds a daemon and binds its listeners, so that its addresses are known. Run starts it.
func New(cfg *settings.Settings, log zerolog.Logger) (*Daemon, error) {
	log = log.With().Str("daemon", cfg.Name).Str("zone", cfg.Zone).Logger()
	d := &Daemon{settings: cfg, log: log, started: time.Now(), reports: newReportCache(),
		registry: telemetry.New(time.Now)}
	var err error
	if d.tracing, err = d.openTracing(); err != nil {
		return nil, err
	}
	if err = d.listen(); err != nil {
		return nil, err
	}
	d.openStreams()
	if err = d.openPeers(); err != nil {
		d.closeListeners()
		return nil, err
	}
	if err = d.buildComponents(); err != nil {
		d.peerServer.Close()
		d.transport.Close()
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// now reads the daemon's monotonic clock.
func (d *Daemon) now() time.Duration { return time.Since(d.started) }

func (d *Daemon) listen() error {
	for _, l := range []struct {
		step, address string
		listener      *net.Listener
		boundAddress  *string
	}{
		{"listen for callers", d.settings.Listen.Callers, &d.listeners.callers, &d.addresses.Callers},
		{"listen for operators", d.settings.Listen.Operators, &d.listeners.operators, &d.addresses.Operators},
		{"listen for health checks", d.settings.Listen.Health, &d.listeners.health, &d.addresses.Health},
	} {
		bound, err := net.Listen("tcp", l.address)
		if err != nil {
			d.closeListeners()
			return errors.Wrap(err, l.step)
		}
		*l.listener, *l.boundAddress = bound, bound.Addr().String()
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.listeners.callers, d.listeners.operators, d.listeners.health} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Addresses returns where the daemon listens.
func (d *Daemon) Addresses() Addresses { return d.addresses }

func (d *Daemon) openStreams() {
	store := logstore.NewMeteredHTTPClient(d.settings.Platform.LogURL, d.meter("log"))
	d.control = replica.NewControl(store, environment.Parse,
		d.controlOptions(), d.appenderOptions(controlAppendInterval))
	d.zone = replica.NewZone(store, d.settings.Zone,
		d.followerOptions(replica.ZoneStream(d.settings.Environment, d.settings.Zone), 0),
		d.appenderOptions(zoneAppendInterval))
	d.authority = authority.New(d.settings.Zone, d.zone, d.control, d.now)
}

// relayTailBytes is how much of the control stream a daemon keeps for peers that cannot read the log.
const relayTailBytes = 512 << 10

func (d *Daemon) buildComponents() error {
	d.table = endpoints.New(d.zone)
	d.poller = newDirectoryPoller(directory.NewMeteredHTTPClient(d.settings.Platform.DirectoryURL, d.meter("directory")),
		d.settings.Zone, d.onVMList)
	d.executors = executor.NewPool(executor.Config{
		Client: worker.NewMeteredHTTPClient(d.meter("worker")), Journal: d.zone, Zone: d.zone, Authority: d.authority, Metrics: d.registry,
		Log: d.log, Now: d.now, OnReport: d.onReport,
	})
	d.guards = contention.New(contention.Config{
		Zone: d.zone, Document: d.document, Throttler: d.executors, Member: d.authority.Member, Metrics: d.registry,
		Log: d.log, Now: time.Now,
	})
	d.scheduler = scheduler.New(scheduler.Config{
		Zone: d.settings.Zone, State: d.zone, Control: d.control, Member: d.authority.Member, Loads: d.peers,
		Estimator: d.guards, Probing: d.guards.Probing, Metrics: d.registry, Log: d.log, Now: d.now,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	d.ownership = ownership.NewRunner(ownership.RunnerConfig{
		Name: d.settings.Name, PeerAddress: d.addresses.Peers, Zone: d.zone, ZoneCurrent: d.zoneCurrent, Now: d.now,
		SetMember: d.setMember, OnHeartbeatRead: d.confirmHeartbeat, Log: d.log,
	})
	d.claims = claimview.New(claimview.Config{
		Zone: d.zone, Caller: d.transport, ZoneCurrent: d.zoneCurrent, Now: d.now, Log: d.log,
	})
	var err error
	d.gateway, err = gateway.New(gateway.Options{
		Zone: d.settings.Zone, Endpoints: d.table, Catalog: configCatalog{d.control},
		Observer: observer{d.registry, d.guards},
		Tracer:   d.tracing.Provider.Tracer("gateway"), QueueLimit: d.settings.Limits.QueuePerService, Seed: rand.Uint64(),
		InFlightLimit: int64(d.settings.Limits.InFlight), Routing: d.routing(),
		Forwarder:  newLimitedForwarder(forward.New(d.transport, d.peers), d.settings.Limits.ForwardedInFlight),
		Claims:     d.claims.Coordinator(),
		ReadyGrace: min(maxReadyGrace, d.settings.Limits.Drain()/4),
	})
	if err != nil {
		return err
	}
	forward.Register(d.peerServer, d.gateway)
	d.claims.Register(d.peerServer)
	d.publishMetrics()
	return d.buildOperator()
}

func (d *Daemon) routing() routing.Settings {
	s := routing.DefaultSettings()
	s.MaxInFlight = d.settings.Limits.PerEndpoint
	return s
}

// maxReadyGrace limits how long a draining daemon keeps accepting callers, so that the load balancer's next
// health checks see that it is not ready.
const maxReadyGrace = 3 * time.Second

// setMember passes the member id, or "" if the daemon is not a member, to the components that act for a member.
func (d *Daemon) setMember(id string) {
	d.registry.Counter("membership_changes").Inc()
	d.authority.SetMember(id)
	d.claims.SetMember(id)
}

// confirmHeartbeat extends the member's authority after its heartbeat was read back.
func (d *Daemon) confirmHeartbeat(member string, sent time.Duration) {
	d.authority.ConfirmHeartbeat(member, sent)
	d.claims.ConfirmHeartbeat(member, sent)
}

func (d *Daemon) buildOperator() error {
	tokens, err := operator.ReadTokens(d.settings.Operators.TokenFile)
	if err != nil {
		return err
	}
	tlsConfig, err := d.operatorTLS()
	if err != nil {
		return err
	}
	d.operator = operator.NewServer(operator.NewHandler(commands{d}, queries{d}, tokens), tlsConfig, nil)
	d.health = &http.Server{Handler: d.healthHandler(), ReadHeaderTimeout: 5 * time.Second}
	return nil
}

// zoneMaxAge is the greatest age of the zone state at which missing heartbeats of members are acted on.
const zoneMaxAge = 3 * time.Second

func (d *Daemon) zoneCurrent() bool {
	asOf := d.zone.Follower.CurrentAsOf()
	return !asOf.IsZero() && time.Since(asOf) < zoneMaxAge
}
