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

// preference orders the daemons that claim a shard: those with processor time to spare, near the
// store and with few shards first.
func (d *Daemon) preference() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	weak := int(smallVMCores / d.set.VM.Cores)
	far := int(time.Duration(d.storeDelay.Load()) / regionWay)
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
		if least := d.storeDelay.Load(); least == 0 || took < least {
			d.storeDelay.Store(took)
		}
	}
}

// smallVMCores is the processor share below which a VM is the last choice for a shard.
const smallVMCores = 0.2

// lead runs a shard while it is owned.
func (d *Daemon) lead(ctx context.Context, n int, held *shardlease.Held) {
	lapse := time.Duration(0)
	if held.PreviousHeld > 0 {
		lapse = held.PreviousHeld + d.env.Bounds.HoldMax*100/(100-lease.DriftPercent) + leaseMargin
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

// ownerOf returns how the owner of a shard stores a command, or nil without a known owner.
func (d *Daemon) ownerOf(n int) storeCommand {
	if d.owned(n) != nil {
		return func(ctx context.Context, q commandQuery) (commandAnswer, error) {
			return d.commands.addInGroup(ctx, q), nil
		}
	}
	address := d.ownerAddress(n)
	if address == "" {
		return nil
	}
	return func(ctx context.Context, q commandQuery) (a commandAnswer, err error) {
		return a, d.peers.Call(ctx, address, methodStore, q, &a)
	}
}

// shardCount returns the number of shards, or 0 if it is not known. Shards call it under their locks, so it takes
// none.
func (d *Daemon) shardCount() int { return int(d.shardTotal.Load()) }
