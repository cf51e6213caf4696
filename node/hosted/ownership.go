package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingslip.example/core/lease"
	"waxwingslip.example/external/jobworker"
	"waxwingslip.example/node/shard"
	"waxwingslip.example/node/shardlease"
)

// assigned reports whether a worker belongs to a shard.
func (d *Daemon) assigned(n int, w jobworker.Info) bool {
	return int(xxhash.Sum64String(w.ID)%uint64(max(1, d.shardCount()))) == n
}

// preference returns the rank of this daemon for claiming a shard; 0 is the most preferred. Daemons with more processor
// time, lower store latency and fewer shards rank first.
func (d *Daemon) preference() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	cpuPenalty := int(smallVMCores / d.settings.VM.Cores)
	latencyPenalty := int(time.Duration(d.storeLatency.Load()) / maxSameRegionLatency)
	return 2*len(d.shards) + min(cpuPenalty, 3) + min(latencyPenalty, 3) + rand.IntN(2)
}

// maxSameRegionLatency exceeds the duration of a call to a store in the same region.
const maxSameRegionLatency = 20 * time.Millisecond

// measureStoreLatency records the latency of the store, for which an owner waits before each start of a task.
func (d *Daemon) measureStoreLatency(ctx context.Context) {
	for range 3 {
		start := d.now()
		if _, err := d.deps.Store.Newest(ctx, agreementPartition, ""); err != nil {
			continue
		}
		took := int64(d.now() - start)
		if shortest := d.storeLatency.Load(); shortest == 0 || took < shortest {
			d.storeLatency.Store(took)
		}
	}
}

// smallVMCores is the number of cores below which a VM is less preferred for a shard.
const smallVMCores = 0.2

// runShard runs a shard while this daemon owns it.
func (d *Daemon) runShard(ctx context.Context, n int, ownership *shardlease.Ownership) {
	leasesExpireAt := time.Duration(0)
	if ownership.PreviousRenewalsUntil > 0 {
		leasesExpireAt = ownership.PreviousRenewalsUntil +
			d.shardDeps.Limits.MaxWorkerLease*100/(100-lease.DriftPercent) + leaseExpiryMargin
	}
	s := shard.New(d.shardDeps, n, ownership.Epoch, ownership, leasesExpireAt)
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
		return resp, d.peers.Call(ctx, address, methodStore, req, &resp)
	}
}

// shardCount returns the number of shards, or 0 if it is not known. Shards call it while they hold their locks, so it
// takes none.
func (d *Daemon) shardCount() int { return int(d.shardTotal.Load()) }
