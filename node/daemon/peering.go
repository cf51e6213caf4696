package daemon

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/propagation"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/directory"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/peers"
)

// pressureEvery is the number of hellos of which one carries the pressure of workers. Two hellos sent
// and two received a second with 52 workers each would cost about 4 KB/s; being odd, it reaches every peer in turn.
// learnedEvery is the same for what was learned about interference, which changes slowly.
const (
	pressureEvery = 5
	learnedEvery  = 31
)

// openPeers binds the peer listener and builds the parts that talk to other daemons.
func (d *Daemon) openPeers() error {
	creds, err := peer.LoadCredentials(peer.Files{
		CA: d.set.Peers.CAFile, Cert: d.set.Peers.CertificateFile, Key: d.set.Peers.KeyFile,
	})
	if err != nil {
		return errors.Wrap(err, "load peer credentials")
	}
	d.peerServer, err = peer.NewServer(peer.ServerOptions{Address: d.set.Listen.Peers, Credentials: creds, Propagator: propagation.TraceContext{}})
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	d.transport, err = peer.NewTransport(peer.Options{Credentials: creds, Propagator: propagation.TraceContext{}})
	if err != nil {
		d.peerServer.Close()
		return errors.Wrap(err, "open peer transport")
	}
	d.addresses.Peers = d.peerServer.Address()
	d.peers = peers.New(peers.Config{
		Self:   peers.Contact{Zone: d.set.Zone, Address: d.addresses.Peers},
		Caller: d.transport, Control: d.control.Follower, Describe: d.describe, ZoneMembers: d.memberAddresses,
		OnHello: d.onHello, Seeds: d.set.Peers.Seeds, Log: d.log,
	})
	d.peers.Register(d.peerServer)
	return nil
}

// memberAddresses returns the peer addresses of the zone's members.
func (d *Daemon) memberAddresses() (out []string) {
	d.zone.View(func(s *zone.State) {
		for _, m := range s.Members {
			out = append(out, m.PeerAddress)
		}
	})
	return out
}

// describe says what other daemons want to know about this one.
func (d *Daemon) describe() peers.Hello {
	h := peers.Hello{Daemon: d.set.Name, Draining: !d.gateway.Ready()}
	d.control.View(func(s *control.State) { h.ConfigVersion = s.Version() })
	d.zone.View(func(s *zone.State) { h.Load = loadOf(s) })
	h.Member = d.authority.Member()
	n := d.hellos.Add(1)
	if n%pressureEvery == 0 {
		h.Pressure = d.reports.pressure(d.now())
	}
	if n%learnedEvery == 0 {
		h.Learned = d.guards.Digest()
	}
	return h
}

// loadOf summarises the zone.
func loadOf(s *zone.State) peers.ZoneLoad {
	load := peers.ZoneLoad{ConfigVersion: s.Policy.Version, Members: len(s.Members), Workers: len(s.Workers)}
	for _, w := range s.Workers {
		if w.State == record.WorkerUsable {
			load.Usable++
			load.Capacity = load.Capacity.Add(w.Info.Capacity)
		}
		load.Reserved = load.Reserved.Add(w.Reserved)
		for _, t := range w.Tasks {
			if t.Job.IsService() {
				load.ServiceTasks++
			} else {
				load.BatchTasks++
			}
		}
	}
	for _, j := range s.Jobs {
		load.PendingTasks += j.Unfinished
	}
	load.PendingTasks -= load.ServiceTasks + load.BatchTasks
	return load
}

// onHello uses what a peer of the same zone knows about workers that it owns.
func (d *Daemon) onHello(h peers.Hello) {
	if h.Contact.Zone != d.set.Zone {
		return
	}
	if len(h.Pressure) > 0 {
		d.sched.Pressure(h.Pressure)
	}
	if len(h.Learned) > 0 && h.Member != "" {
		d.guards.Absorb(h.Member, h.Learned)
	}
}

// knowPeers takes entry VMs from the VM list.
func (d *Daemon) knowPeers(vms []directory.VM) {
	for _, vm := range vms {
		if vm.Role == directory.RoleEntry && vm.State == directory.StateLive {
			d.peers.Know(peers.Contact{Zone: vm.Zone, Address: vm.Address})
		}
	}
}

// shutdownPeers lets calls of peers finish until ctx ends.
func (d *Daemon) shutdownPeers(ctx context.Context) {
	d.peerServer.Shutdown(ctx)
	d.transport.Close()
}
