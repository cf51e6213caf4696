package hosted

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/lease"
	"waxwingslip.example/core/sharding"
	"waxwingslip.example/node/shard"
	"waxwingslip.example/node/shardlease"
)

// homeShard returns the shard that holds a worker, or runs a job, until it is moved to another.
func (d *Daemon) homeShard(id string) int { return shardOf(id, max(1, d.shardCount())) }

// jobState returns the state of a job by the owner of a shard, which may be this daemon.
func (d *Daemon) jobState(ctx context.Context, n int, id string) (state jobs.State, err error) {
	if s := d.ownedShard(n); s != nil {
		return s.State(ctx, id)
	}
	address := d.ownerAddress(n)
	if address == "" {
		return jobs.StateUnknown, errors.Errorf("shard %d has no known owner", n)
	}
	if err = d.peers.Call(ctx, address, methodState, stateQuery{Shard: n, Job: id}, &state); err != nil {
		d.refreshOwner(n)
	}
	return state, err
}

// lend asks the owner of a shard, which may be this daemon, for workers.
func (d *Daemon) lend(ctx context.Context, n int, need shard.Need) (shard.Loan, error) {
	if s := d.ownedShard(n); s != nil {
		return s.Lend(need)
	}
	address := d.ownerAddress(n)
	if address == "" {
		return shard.Loan{}, errors.Errorf("shard %d has no known owner", n)
	}
	var loan shard.Loan
	err := d.peers.Call(ctx, address, methodLend, lendRequest{n, need}, &loan)
	if err != nil {
		d.refreshOwner(n)
	}
	return loan, err
}

// weakFollowPause is how long a weak daemon leaves the record of an owner unread. A failed call to the owner ends it.
const weakFollowPause = 2 * time.Second

// followPause returns how long this daemon leaves the record of a live owner unread.
func (d *Daemon) followPause() time.Duration {
	if _, reference := d.claimState(-1); sharding.Weak(d.capacity(), reference) {
		return weakFollowPause
	}
	return 0
}

// claimState returns the number of shards, other than n, that this daemon owns or claims, and the capacity of an able
// daemon of the environment, 0 if it is not known.
func (d *Daemon) claimState(n int) (owned int, reference float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reference = math.Float64frombits(d.referenceCapacity.Load())
	for i, m := range d.leaseManagers {
		if i != n && m.Active() {
			owned++
		}
		if o := m.Owner(); o != nil {
			reference = max(reference, o.Capacity)
		}
	}
	return owned, reference
}

// refreshOwner makes this daemon read the record of a shard's owner soon, after a call to the owner has failed.
func (d *Daemon) refreshOwner(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n < len(d.leaseManagers) {
		d.leaseManagers[n].Refresh()
	}
}

// preference returns the rank of this daemon for claiming a shard; 0 is the most preferred.
func (d *Daemon) preference(n int) int {
	owned, reference := d.claimState(n)
	return sharding.ClaimRank(owned, d.capacity(), reference, d.storeIsRemote(), rand.IntN(sharding.MaxJitter+1))
}

// capacity returns the capacity of this daemon to own shards, in cores.
func (d *Daemon) capacity() float64 { return sharding.Capacity(d.settings.VM.Cores, d.storeIsRemote()) }

// storeIsRemote reports whether the store is in another region.
func (d *Daemon) storeIsRemote() bool {
	return time.Duration(d.storeLatency.Load()) > maxSameRegionLatency
}

// maxSameRegionLatency exceeds the duration of a call to a store in the same region.
const maxSameRegionLatency = 20 * time.Millisecond

// measureStore records the latency of the store, for which an owner waits before each start of a task, and reads the
// capacity of the daemon that proposed the number of shards.
func (d *Daemon) measureStore(ctx context.Context) error {
	for range 3 {
		start := d.now()
		page, err := d.store.Newest(ctx, agreementPartition, "")
		if err != nil {
			return err
		}
		took := int64(d.now() - start)
		if shortest := d.storeLatency.Load(); shortest == 0 || took < shortest {
			d.storeLatency.Store(took)
		}
		for _, r := range page.Records {
			var capacity float64
			if r.Key == capacityKey && cbor.Unmarshal(r.Value, &capacity) == nil {
				d.referenceCapacity.Store(math.Float64bits(capacity))
			}
		}
	}
	return nil
}

// runShard runs a shard while this daemon owns it.
func (d *Daemon) runShard(ctx context.Context, n int, ownership *shardlease.Ownership) {
	leases := shard.EarlierLeases{ByWorker: ownership.LeasesUntil}
	if ownership.PreviousRenewalsUntil > 0 {
		leases.All = ownership.PreviousRenewalsUntil +
			d.shardDeps.Limits.MaxWorkerLease*100/(100-lease.DriftPercent) + leaseExpiryMargin
	}
	leases.All = max(leases.All, ownership.OtherLeasesUntil)
	s := shard.New(d.shardDeps, n, ownership.Epoch, ownership, leases)
	d.mu.Lock()
	d.shards[n] = s
	d.metrics.Gauge("shard_owned").Set(int64(len(d.shards)))
	d.mu.Unlock()
	s.Run(ctx)
	ownership.SetReleasedLeases(s.LeaseExpiry())
	d.mu.Lock()
	delete(d.shards, n)
	d.metrics.Gauge("shard_owned").Set(int64(len(d.shards)))
	d.mu.Unlock()
}

// leaseExpiryMargin covers clock rounding and the transit time of a last request to a worker.
const leaseExpiryMargin = 300 * time.Millisecond

// ownedShard returns a shard that this daemon owns and has loaded, or nil.
func (d *Daemon) ownedShard(n int) *shard.Shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.shards[n]; s != nil && s.Loaded() {
		return s
	}
	return nil
}

// ownerAddress returns the address of a shard's owner for peer calls; empty if that is this daemon or not known.
func (d *Daemon) ownerAddress(n int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n >= len(d.leaseManagers) || d.peers == nil {
		return ""
	}
	o := d.leaseManagers[n].Owner()
	if o == nil || o.Address == d.settings.Listen.Peers {
		return ""
	}
	return o.Address
}

// ownerStore returns the function by which the owner of a shard stores a command, or nil without a known owner.
func (d *Daemon) ownerStore(n int) storeFunc {
	if d.ownedShard(n) != nil {
		return func(ctx context.Context, req storeRequest) (storeResponse, error) {
			return d.commands.appendInGroup(ctx, req), nil
		}
	}
	address := d.ownerAddress(n)
	if address == "" {
		return nil
	}
	return func(ctx context.Context, req storeRequest) (resp storeResponse, err error) {
		if err = d.peers.Call(ctx, address, methodStore, req, &resp); err != nil {
			d.refreshOwner(n)
		}
		return resp, err
	}
}

// shardCount returns the number of shards, or 0 if it is not known. Shards call it while they hold their locks, so it
// takes none.
func (d *Daemon) shardCount() int { return int(d.shardTotal.Load()) }
