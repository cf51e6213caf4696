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

// One in hellosPerPressure hellos carries the pressure of workers. For 52 workers, carrying it in each of the two
// hellos sent and two received per second would cost about 4 KB/s. The number is odd so that every peer gets its turn.
// One in hellosPerDigest hellos carries the learned interference, which changes slowly.
const (
	hellosPerPressure = 5
	hellosPerDigest   = 31
)

// openPeers binds the peer listener and builds the components that communicate with other daemons.
func (d *Daemon) openPeers() error {
	creds, err := peer.LoadCredentials(peer.Files{
		CA: d.settings.Peers.CAFile, Cert: d.settings.Peers.CertificateFile, Key: d.settings.Peers.KeyFile,
	})
	if err != nil {
		return errors.Wrap(err, "load peer credentials")
	}
	d.peerServer, err = peer.NewServer(peer.ServerOptions{
		Address: d.settings.Listen.Peers, Credentials: creds, Propagator: propagation.TraceContext{},
	})
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
		Self:   peers.Contact{Zone: d.settings.Zone, Address: d.addresses.Peers},
		Caller: d.transport, Control: d.control.Follower, Describe: d.buildHello, ZoneMembers: d.memberAddresses,
		OnHello: d.onHello, Seeds: d.settings.Peers.Seeds, Log: d.log,
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

// buildHello returns the description of this daemon for other daemons.
func (d *Daemon) buildHello() peers.Hello {
	h := peers.Hello{Daemon: d.settings.Name, Draining: !d.gateway.Ready()}
	d.control.View(func(s *control.State) { h.ConfigVersion = s.Version() })
	d.zone.View(func(s *zone.State) { h.Load = loadOf(s) })
	h.Member = d.authority.Member()
	n := d.hellosSent.Add(1)
	if n%hellosPerPressure == 0 {
		h.Pressure = d.reports.pressure(d.now())
	}
	if n%hellosPerDigest == 0 {
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

// onHello takes over what a peer of the same zone reports about the workers that it owns.
func (d *Daemon) onHello(h peers.Hello) {
	if h.Contact.Zone != d.settings.Zone {
		return
	}
	if len(h.Pressure) > 0 {
		d.scheduler.SetPressure(h.Pressure)
	}
	if len(h.Learned) > 0 && h.Member != "" {
		d.guards.MergeDigest(h.Member, h.Learned)
	}
}

// addListedPeers adds the live entry VMs of the VM list to the peers.
func (d *Daemon) addListedPeers(vms []directory.VM) {
	for _, vm := range vms {
		if vm.Role == directory.RoleEntry && vm.State == directory.StateLive {
			d.peers.AddContacts(peers.Contact{Zone: vm.Zone, Address: vm.Address})
		}
	}
}

// shutdownPeers lets calls of peers finish until ctx ends.
func (d *Daemon) shutdownPeers(ctx context.Context) {
	d.peerServer.Shutdown(ctx)
	d.transport.Close()
}
