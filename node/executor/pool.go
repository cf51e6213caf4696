package executor

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/worker"
)

// Journal appends records to the zone stream without waiting. Their effects appear in the zone state.
type Journal interface {
	Post(body record.Body)
}

// ZoneView gives read access to the zone state.
type ZoneView interface {
	// View calls f with the state under a lock. f must not retain the state.
	View(f func(s *zone.State))
}

// Authority reports what the daemon may currently do.
type Authority interface {
	// Member returns the daemon's member id, or "" while it is not a member.
	Member() string
	// MayStart reports whether the known configuration is recent enough to start tasks and allows them.
	MayStart() bool
	// RenewUntil returns the longest lease that may be granted at now; zero means none.
	RenewUntil(now time.Duration) time.Duration
	// PreviousLeasesExpired reports whether all leases that earlier owners of the shard can have granted have
	// certainly expired.
	PreviousLeasesExpired(shard int, now time.Duration) bool
}

// Metrics counts events of the executor. Implementations must be safe for concurrent use.
type Metrics interface {
	// Count adds one to the counter of the given name.
	Count(name string)
}

// Config configures a Pool.
type Config struct {
	Client    worker.Client
	Journal   Journal
	Zone      ZoneView
	Authority Authority
	Metrics   Metrics
	Log       zerolog.Logger
	// Now reads the monotonic clock of the process.
	Now func() time.Duration
	// OnReport receives every report of an owned worker. It must not block.
	OnReport func(worker.Report)
}

// Pool runs one agent for each worker whose shard the daemon owns.
type Pool struct {
	cfg Config

	mu sync.Mutex
	// listedVMs holds the workers of the VM list. Guarded by mu.
	listedVMs map[string]directory.VM
	// pendingAttestations holds attestations of workers whose shard had no owner, until it has one. Guarded by mu.
	pendingAttestations map[string]pendingAttestation
	// agents is guarded by mu.
	agents map[string]*agent
	// stopped is set by Stop. Guarded by mu.
	stopped bool
	wg      sync.WaitGroup
}

// NewPool returns a pool without agents.
func NewPool(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, listedVMs: map[string]directory.VM{}, pendingAttestations: map[string]pendingAttestation{},
		agents: map[string]*agent{},
	}
}

// SetListing sets the newest list of the VMs of the zone.
func (p *Pool) SetListing(vms []directory.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listedVMs = make(map[string]directory.VM, len(vms))
	for _, vm := range vms {
		if vm.Role == directory.RoleWorker {
			p.listedVMs[vm.ID] = vm
		}
	}
}

// workerTarget is a worker that the daemon owns.
type workerTarget struct {
	id      string
	address string
	rack    string
	epoch   int64
}

// Sync starts agents for newly owned workers and stops those of workers that are no longer owned. It must be called
// after changes of shards, workers and the VM list. After Stop it does nothing.
func (p *Pool) Sync(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return // the reader of the log may still call Sync, and Stop must not miss an agent
	}
	owned := p.ownedTargets()
	for id, a := range p.agents {
		t, ok := owned[id]
		if ok && t.epoch == a.target.epoch {
			a.address.Store(&t.address)
			delete(owned, id)
			continue
		}
		a.stop()
		delete(p.agents, id)
	}
	for id, t := range owned {
		p.agents[id] = p.startAgent(ctx, t)
	}
}

func (p *Pool) startAgent(ctx context.Context, t workerTarget) *agent {
	ctx, cancel := context.WithCancel(ctx)
	a := newAgent(&p.cfg, t, cancel)
	if pending, ok := p.pendingAttestations[t.id]; ok && t.epoch == pending.lastOwnerEpoch+1 &&
		p.cfg.Now()-pending.receivedAt < attestationTTL {
		a.attested.Store(true)
	}
	delete(p.pendingAttestations, t.id)
	a.listedState = func() directory.State { return p.listedState(t.id) }
	p.wg.Go(func() { a.run(ctx) })
	return a
}

// ownedTargets must be called with mu held.
func (p *Pool) ownedTargets() map[string]workerTarget {
	owned := map[string]workerTarget{}
	self := p.cfg.Authority.Member()
	if self == "" {
		return owned
	}
	p.cfg.Zone.View(func(s *zone.State) {
		add := func(id, address, rack string) {
			if owner, epoch := s.OwnerOf(id); owner == self && address != "" {
				owned[id] = workerTarget{id: id, address: address, rack: rack, epoch: epoch}
			}
		}
		for id, w := range s.Workers {
			add(id, w.Info.Address, w.Info.Rack)
		}
		for id, vm := range p.listedVMs {
			add(id, vm.Address, vm.Rack)
		}
	})
	return owned
}

// Wake makes the agent of a worker check the zone state now.
func (p *Pool) Wake(id string) {
	p.mu.Lock()
	a := p.agents[id]
	p.mu.Unlock()
	if a != nil {
		a.wake()
	}
}

// AttestLost notifies the agent of a worker that an operator attested the loss of the VM.
func (p *Pool) AttestLost(id string) {
	p.mu.Lock()
	a := p.agents[id]
	p.mu.Unlock()
	if a != nil {
		a.attestLost()
		return
	}
	// While the shard has no owner, no daemon can contact the worker and start runs on it, so the attestation still
	// holds for the next owner. It is dropped if another daemon becomes the owner.
	unowned, epoch := false, int64(0)
	p.cfg.Zone.View(func(s *zone.State) {
		var owner string
		owner, epoch = s.OwnerOf(id)
		unowned = owner == ""
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if unowned {
		p.pendingAttestations[id] = pendingAttestation{receivedAt: p.cfg.Now(), lastOwnerEpoch: epoch}
	}
}

// pendingAttestation is an attestation for the next owner of a shard that had none.
type pendingAttestation struct {
	receivedAt time.Duration
	// lastOwnerEpoch is the epoch of the last owner; the attestation holds for the next one only.
	lastOwnerEpoch int64
}

// attestationTTL is how long a pending attestation is kept.
const attestationTTL = time.Minute

// listedState returns the state of a worker in the VM list, or "" if it is not listed.
func (p *Pool) listedState(id string) directory.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listedVMs[id].State
}

// Stop ends all agents and waits for them.
func (p *Pool) Stop() {
	p.mu.Lock()
	p.stopped = true
	for id, a := range p.agents {
		a.stop()
		delete(p.agents, id)
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// Size returns the number of owned workers.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.agents)
}
