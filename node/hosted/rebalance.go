package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/sharding"
	"waxwingslip.example/node/ctxtime"
	"waxwingslip.example/node/peer"
)

// Timing of moves of shards between owners.
const (
	// rebalanceInterval is the mean time between a daemon's checks whether it should take over a shard.
	rebalanceInterval = 2 * time.Second
	// minOwnership is how long a daemon must have owned a shard before it is moved.
	minOwnership = 3 * time.Second
	// moveTimeout limits the call to the present owner.
	moveTimeout = 500 * time.Millisecond
)

// moveRequest asks the owner of a shard to hand it over to the caller.
type moveRequest struct {
	Shard int    `cbor:"1,keyasint"`
	To    string `cbor:"2,keyasint"`
	// Load is the caller's load with the shard.
	Load float64 `cbor:"3,keyasint"`
}

// rebalance takes shards over from owners with a much higher load until the context ends. Daemons with less load ask, since
// they are idle; a shard without an owner is claimed instead.
func (d *Daemon) rebalance(ctx context.Context) {
	for ctxtime.Sleep(ctx, rebalanceInterval/2+rand.N(rebalanceInterval)) {
		if d.draining.Load() {
			return
		}
		n, from, owned, ok := d.chooseMove()
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, moveTimeout)
		err := d.peers.Call(callCtx, from, methodMove,
			moveRequest{Shard: n, To: d.settings.Name, Load: sharding.Load(owned+1, d.capacity())}, &struct{}{})
		cancel()
		if err != nil {
			d.log.Debug().Err(err).Int("shard", n).Str("owner", from).Msg("shard is not handed over")
			continue
		}
		d.log.Info().Int("shard", n).Str("owner", from).Msg("shard is handed over to this daemon")
	}
}

// chooseMove returns the shard that this daemon should take over, its owner's address and the number of shards that this
// daemon owns.
func (d *Daemon) chooseMove() (n int, address string, owned int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	owners := map[string]*sharding.Owner{} // by address
	for i, m := range d.leaseManagers {
		if m.Active() {
			owned++
			continue
		}
		o, since := m.OwnerSince()
		if o == nil || o.Released {
			return 0, "", 0, false // claims come first
		}
		entry := owners[o.Address]
		if entry == nil {
			entry = &sharding.Owner{Name: o.Address, Capacity: o.Capacity}
			owners[o.Address] = entry
		}
		entry.Total++
		if d.now()-since >= minOwnership {
			entry.Shards = append(entry.Shards, i)
		}
	}
	list := make([]sharding.Owner, 0, len(owners))
	for _, o := range owners {
		list = append(list, *o)
	}
	n, address, ok = sharding.Move(owned, d.capacity(), list)
	return n, address, owned, ok
}

// handOver gives up a shard for a daemon with less load. One shard is moved at a time.
func (d *Daemon) handOver(req moveRequest) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	owned := len(d.shards)
	s := d.shards[req.Shard]
	switch {
	case s == nil || !s.Loaded() || req.Shard < 0 || req.Shard >= len(d.leaseManagers):
		return &peer.RemoteError{Code: codeNotOwner, Message: "not the owner of the shard"}
	case d.draining.Load() || d.now()-d.movedAt < minOwnership:
		return errors.New("another shard is being moved")
	case !sharding.Relieves(req.Load, sharding.Load(owned, d.capacity())):
		return errors.Errorf("load of %d shards is not much higher", owned)
	}
	d.movedAt = d.now()
	d.log.Info().Int("shard", req.Shard).Str("to", req.To).Int("owned", owned).Float64("load_there", req.Load).
		Msg("shard is handed over")
	d.metrics.Counter("shards_handed_over").Inc()
	d.leaseManagers[req.Shard].HandOver(req.To)
	return nil
}
