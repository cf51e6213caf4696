// Package sharding decides into how many shards an environment is divided and which daemon should own a shard. It does
// no I/O.
//
// It is designed for fleets from ten to some 1,500 workers, whose daemons differ in processor time by a factor of up to
// ten. An owner's load grows with the task starts of its shard, so a daemon without enough processor time delays all
// jobs of a shard.
package sharding

// Sizing of shards.
const (
	// workersPerCore sizes shards: the shard of that many workers uses a third of a core.
	workersPerCore = 350
	// Bounds of the workers in a shard: with fewer, most large steps need workers of other shards; with more, the loss of an
	// owner stops too many workers at once.
	minWorkersPerShard, maxWorkersPerShard = 24, 175
)

// Count returns the number of shards for a number of workers, if owners have the given processor time in cores. Each
// shard uses a partition of the store.
func Count(workers int, cores float64, partitions int) int {
	perShard := min(max(int(workersPerCore*cores), minWorkersPerShard), maxWorkersPerShard)
	return max(1, min((workers+perShard/2)/perShard, partitions))
}

// remoteStorePercent is the capacity that an owner has left if its store is in another region: each start of a task
// waits for an append.
const remoteStorePercent = 85

// Capacity returns the capacity of a daemon to own shards, in cores.
func Capacity(cores float64, remoteStore bool) float64 {
	if remoteStore {
		return cores * remoteStorePercent / 100
	}
	return cores
}

// Load returns the load of an owner as the number of shards for each core of capacity.
func Load(shards int, capacity float64) float64 { return float64(shards) / capacity }

// Ranks by which daemons claim a shard without an owner, in steps of the claims' delay; 0 claims first.
const (
	// ownedRank, for each shard that the daemon owns or claims, lets all able daemons without one go first.
	ownedRank = 6
	// weakRank applies to a daemon with less than half of the reference capacity.
	weakRank = 4
	// remoteRank applies to a daemon in another region than the store.
	remoteRank = 2
	// MaxJitter is the largest random rank, which spreads the claims of equal daemons over the shards.
	MaxJitter = 2
)

// Weak reports whether a daemon has so much less capacity than an able daemon of the environment, the reference, that it
// should own a shard only if no other does. No daemon is weak while the reference is not known and 0.
func Weak(capacity, reference float64) bool { return 2*capacity < reference }

// ClaimRank returns the rank of a daemon for claiming one more shard. The reference is the capacity of an able daemon of
// the environment; 0 if it is not known.
func ClaimRank(owned int, capacity, reference float64, remoteStore bool, jitter int) int {
	rank := ownedRank*owned + min(jitter, MaxJitter)
	if Weak(capacity, reference) {
		rank += weakRank
	}
	if remoteStore {
		rank += remoteRank
	}
	return rank
}

// Owner is a daemon that owns shards.
type Owner struct {
	Name string
	// Capacity is in cores; 0 if it is not known.
	Capacity float64
	// Shards lists the shards that may change their owner, and Total counts all that it owns.
	Shards []int
	Total  int
}

// moveLoadPercent is the share of the owner's load that the load of the next owner may have after a move. A move costs
// a pause of the shard, so it has to make a clear difference.
const moveLoadPercent = 60

// Relieves reports whether a shard should move from an owner with a load to a daemon whose load with the shard is given.
func Relieves(next, current float64) bool { return next*100 <= current*moveLoadPercent }

// Move returns the shard that a daemon with a number of shards should take over from the owner with the highest load.
func Move(owned int, capacity float64, owners []Owner) (shard int, from string, ok bool) {
	next, highest := Load(owned+1, capacity), 0.0
	for _, o := range owners {
		if o.Capacity <= 0 || len(o.Shards) == 0 {
			continue
		}
		if load := Load(o.Total, o.Capacity); load > highest && Relieves(next, load) {
			shard, from, ok, highest = o.Shards[0], o.Name, true, load
		}
	}
	return shard, from, ok
}
