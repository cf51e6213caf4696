package daemon

import (
	"context"
	"expvar"
	"os"
	"time"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/traffic"
	"waxwingslip.example/node/contention"
	"waxwingslip.example/node/gateway"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/replica"
	"waxwingslip.example/node/stream"
	"waxwingslip.example/node/telemetry"
)

// gaugeInterval is the time between updates of the gauges.
const gaugeInterval = 2 * time.Second

func (d *Daemon) openTracing() (*telemetry.Tracing, error) {
	return telemetry.NewTracing(context.Background(), telemetry.TraceConfig{
		Exporter: d.settings.Trace.Exporter, EndpointURL: d.settings.Trace.EndpointURL,
		SamplePermille: d.settings.Trace.SamplePermille,
		VM:             d.settings.Name, Zone: d.settings.Zone, Output: os.Stdout,
		Errors: d.registry.Counter("trace_export_errors"),
	})
}

func (d *Daemon) followerOptions(name string, tailBytes int) stream.FollowerOptions {
	return stream.FollowerOptions{
		Stream: name, TailBytes: tailBytes, Log: d.log,
		Records: d.registry.Counter("log_records_applied"), Undecodable: d.registry.Counter("log_records_undecodable"),
		ReadErrors: d.registry.Counter("log_read_errors"), Restores: d.registry.Counter("log_restores"),
	}
}

// controlWait is how long a read of the control stream waits for entries. The age of the control state at its end
// rises to twice this time plus a round trip, which must stay well below lease.ControlFreshness.
const controlWait = 500 * time.Millisecond

func (d *Daemon) controlOptions() stream.FollowerOptions {
	o := d.followerOptions(replica.ControlStream(d.settings.Environment), relayTailBytes)
	o.Wait = controlWait
	return o
}

// Minimum times between two appends to one stream. Together they allow a daemon 10 appends a second, which makes 270
// for 27 daemons; the log handles several hundred.
const (
	controlAppendInterval = 400 * time.Millisecond
	zoneAppendInterval    = 134 * time.Millisecond
)

func (d *Daemon) appenderOptions(interval time.Duration) stream.AppenderOptions {
	return stream.AppenderOptions{
		MinInterval: interval, Log: d.log, Appends: d.registry.Counter("log_appends"), Ambiguous: d.registry.Counter("log_appends_ambiguous"),
		Repeats: d.registry.Counter("log_records_repeated"), Dropped: d.registry.Counter("log_posts_dropped"),
	}
}

// meter returns a Meter for the traffic with one kind of external system.
func (d *Daemon) meter(kind string) *traffic.Meter {
	return &traffic.Meter{
		Sent: d.registry.Counter(kind + "_bytes_sent"), Received: d.registry.Counter(kind + "_bytes_received"),
	}
}

// publishMetrics publishes the counters that other components keep.
func (d *Daemon) publishMetrics() {
	d.registry.Publish("gateway", d.gateway.Metrics())
	d.registry.Publish("peer_calls", counterMap(&d.transport.Counters))
	d.registry.Publish("peer_server", counterMap(&d.peerServer.Counters))
}

func counterMap(c *peer.Counters) *expvar.Map {
	m := new(expvar.Map).Init()
	c.Each(func(name string, v *expvar.Int) { m.Set(name, v) })
	return m
}

// runGauges updates the gauges and the alarms until ctx ends.
func (d *Daemon) runGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		d.updateGauges()
		_ = d.alarms() // starts the durations of new alarms
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) updateGauges() {
	set := func(name string, v int64) { d.registry.Gauge(name).Set(v) }
	set("control_age", ageMs(d.control.Follower.CurrentAsOf()))
	set("zone_age", ageMs(d.zone.Follower.CurrentAsOf()))
	d.control.View(func(s *control.State) { set("control_version", s.Version()) })
	self := d.authority.Member()
	d.zone.View(func(s *zone.State) {
		load := loadOf(s)
		owned := 0
		for _, o := range s.ShardOwners {
			if self != "" && o.Owner == self {
				owned++
			}
		}
		set("zone_tasks_running", int64(load.ServiceTasks+load.BatchTasks))
		set("zone_tasks_pending", int64(load.PendingTasks))
		set("zone_members", int64(load.Members))
		set("zone_shards_owned", int64(owned))
	})
}

// observer passes finished requests to the metrics and to the guards.
type observer struct {
	registry *telemetry.Registry
	guards   *contention.Manager
}

// Observe implements gateway.Observer.
func (o observer) Observe(obs gateway.Observation) {
	s := obs.TimeBreakdown
	o.registry.Histogram("requests_total_time").Record(s.Wait + s.Network + s.Endpoint)
	o.registry.Histogram("requests_wait_time").Record(s.Wait)
	o.registry.Histogram("requests_network_time").Record(s.Network)
	o.registry.Histogram("requests_endpoint_time").Record(s.Endpoint)
	o.guards.Observe(obs)
}
