package sharding

// Workers move from one shard to another that cannot place its tasks. A shard that only lacks capacity gets workers from
// shards that are mostly idle, so that under load no shard takes what another one needs.
const (
	// lendIdlePercent is the share of free capacity from which on a shard lends workers for lack of capacity.
	lendIdlePercent = 50
	// keepPercent is the share of an equal part of the fleet's workers that a shard keeps then.
	keepPercent = 50
	// MaxLent limits the workers that a shard lends at a time.
	MaxLent = 8
)

// Lender describes a shard that is asked for workers of a service.
type Lender struct {
	// Workers is the number of the shard's workers that take tasks, and Size and Free are their processor time in
	// millicores.
	Workers    int
	Size, Free int64
	// FleetWorkers is the number of workers of the service in the registry, and Shards the number of shards.
	FleetWorkers, Shards int
}

// Lendable returns how many workers the shard may lend to one that lacks capacity.
func (l Lender) Lendable() int {
	if l.Shards < 1 || l.Free*100 < l.Size*lendIdlePercent {
		return 0
	}
	kept := (l.FleetWorkers*keepPercent + 100*l.Shards - 1) / (100 * l.Shards)
	return min(max(l.Workers-kept, 0), MaxLent)
}
