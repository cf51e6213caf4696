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

// Journal appends records to the zone stream without waiting. The effect is seen in the zone state.
type Journal interface {
	Post(body record.Body)
}

// ZoneView gives read access to the zone state.
type ZoneView interface {
	// View calls f with the state under a lock. f must not keep the state.
	View(f func(s *zone.State))
}

// Authority says what the daemon may do at the moment.
type Authority interface {
	// Member returns the daemon's member id, or "" while it is not a member.
	Member() string
	// MayStart reports whether the newest configuration is known well enough to start tasks, and allows it.
	MayStart() bool
	// RenewUntil returns until when leases may be granted now, as a duration from now; zero means not at all.
	RenewUntil(now time.Duration) time.Duration
	// PreviousOwnerLapsed reports whether every lease that earlier owners of the shard could have granted has
	// certainly lapsed.
	PreviousOwnerLapsed(shard int, now time.Duration) bool
}

// Metrics counts what the executor does. Implementations must be safe for concurrent use.
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
	// listed holds the workers of the VM list. Guarded by mu.
	listed map[string]directory.VM
	// attested holds attestations of workers whose shard had no owner, until it is claimed. Guarded by mu.
	attested map[string]attestation
	// agents is guarded by mu.
	agents map[string]*agent
	// stopped is set by Stop. Guarded by mu.
	stopped bool
	wg      sync.WaitGroup
}

// NewPool returns a pool without agents.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, listed: map[string]directory.VM{}, attested: map[string]attestation{}, agents: map[string]*agent{}}
}

// SetListing gives the pool the newest list of worker VMs of the zone.
func (p *Pool) SetListing(vms []directory.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = make(map[string]directory.VM, len(vms))
	for _, vm := range vms {
		if vm.Role == directory.RoleWorker {
			p.listed[vm.ID] = vm
		}
	}
}

// target is a worker that the daemon owns.
type target struct {
	id      string
	address string
	rack    string
	epoch   int64
}

// Sync starts agents for newly owned workers and stops those of workers that are no longer owned. It is
// called after changes of shards, workers and the VM list. After Stop it does nothing.
func (p *Pool) Sync(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return // the log's reader may still call, and Stop must not miss an agent
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

func (p *Pool) startAgent(ctx context.Context, t target) *agent {
	ctx, cancel := context.WithCancel(ctx)
	a := newAgent(&p.cfg, t, cancel)
	if at, ok := p.attested[t.id]; ok && t.epoch == at.epoch+1 && p.cfg.Now()-at.at < attestationKept {
		a.attested.Store(true)
	}
	delete(p.attested, t.id)
	a.listed = func() directory.State { return p.listedState(t.id) }
	p.wg.Go(func() { a.run(ctx) })
	return a
}

// ownedTargets must be called with mu held.
func (p *Pool) ownedTargets() map[string]target {
	owned := map[string]target{}
	self := p.cfg.Authority.Member()
	if self == "" {
		return owned
	}
	p.cfg.Zone.View(func(s *zone.State) {
		add := func(id, address, rack string) {
			if owner, epoch := s.OwnerOf(id); owner == self && address != "" {
				owned[id] = target{id: id, address: address, rack: rack, epoch: epoch}
			}
		}
		for id, w := range s.Workers {
			add(id, w.Info.Address, w.Info.Rack)
		}
		for id, vm := range p.listed {
			add(id, vm.Address, vm.Rack)
		}
	})
	return owned
}

// Wake makes the agent of a worker look at the zone state now.
func (p *Pool) Wake(id string) {
	p.mu.Lock()
	a := p.agents[id]
	p.mu.Unlock()
	if a != nil {
		a.wake()
	}
}

// Attest tells the agent of a worker that an operator attested the loss of the VM.
func (p *Pool) Attest(id string) {
	p.mu.Lock()
	a := p.agents[id]
	p.mu.Unlock()
	if a != nil {
		a.attest()
		return
	}
	// While the shard has no owner, nobody can hear the worker and start runs on it, so the statement still holds
	// for the next owner. It is dropped once another daemon owns the shard.
	unowned, epoch := false, int64(0)
	p.cfg.Zone.View(func(s *zone.State) {
		var owner string
		owner, epoch = s.OwnerOf(id)
		unowned = owner == ""
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if unowned {
		p.attested[id] = attestation{at: p.cfg.Now(), epoch: epoch}
	}
}

// attestation waits for the owner of a shard that had none.
type attestation struct {
	at time.Duration
	// epoch is that of the last owner; the statement holds for the next one only.
	epoch int64
}

// attestationKept is how long an attestation waits for an owner of the shard.
const attestationKept = time.Minute

// listedState returns what the VM list says about a worker, "" if it is not listed.
func (p *Pool) listedState(id string) directory.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed[id].State
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
