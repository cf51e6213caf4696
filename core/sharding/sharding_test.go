package sharding

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against shards that are too small for large tasks, or too large for their owners.
func TestCount(t *testing.T) {
	for _, test := range []struct {
		workers    int
		cores      float64
		partitions int
		want       int
	}{
		{0, 0.8, 16, 1}, {48, 0.16, 8, 1}, {66, 0.16, 8, 1}, {350, 0.8, 16, 2}, {490, 0.8, 16, 3},
		{1100, 0.8, 16, 6}, {1100, 0.8, 4, 4}, {1100, 0.11, 64, 29}, {120, 0.069, 16, 5}, {120, 0.01, 16, 5},
	} {
		if got := Count(test.workers, test.cores, test.partitions); got != test.want {
			t.Errorf("%d workers, %v cores, %d partitions: %d shards, want %d", test.workers, test.cores, test.partitions, got, test.want)
		}
	}
}

// Guards against one daemon that owns two shards while another able one has none (ambon-mist-large quiet-1: two of four
// shards, with 556 of 1,100 workers, at one of 18 able daemons).
func TestClaimRank(t *testing.T) {
	is := is.New(t)
	const able, small = 0.8, 0.11
	first := ClaimRank(0, able, able, false, MaxJitter)
	is.True(first < ClaimRank(1, able, able, false, 0))
	is.True(ClaimRank(0, able, able, true, MaxJitter) < ClaimRank(1, able, able, false, 0)) // remote, but without a shard
	is.True(first < ClaimRank(0, small, able, false, 0))
	is.Equal(ClaimRank(0, small, small, false, 0), 0) // small daemons of a small environment claim at once
	is.Equal(ClaimRank(0, small, 0, false, 0), 0)
}

// Guards against a shard that stays with an overloaded or weak owner, and against shards that move to and fro.
func TestMove(t *testing.T) {
	is := is.New(t)
	const able, small = 0.8, 0.11
	owners := []Owner{
		{Name: "one", Capacity: able, Shards: []int{0}, Total: 1},
		{Name: "two", Capacity: able, Shards: []int{3, 4}, Total: 2},
		{Name: "old", Shards: []int{5}, Total: 7},
	}
	n, from, ok := Move(0, able, owners)
	is.True(ok)
	is.Equal(n, 3)
	is.Equal(from, "two")
	_, _, ok = Move(1, able, owners)
	is.True(!ok)
	_, _, ok = Move(0, small, owners)
	is.True(!ok)
	n, _, ok = Move(0, able, append(owners, Owner{Name: "weak", Capacity: small, Shards: []int{6}, Total: 1}))
	is.True(ok)
	is.Equal(n, 6)
	_, _, ok = Move(0, small, []Owner{{Name: "equal", Capacity: small, Shards: []int{1}, Total: 1}})
	is.True(!ok)
	for _, remote := range []bool{false, true} {
		_, _, ok = Move(0, Capacity(able, remote), owners)
		is.True(ok)
	}
	// What was taken over is not taken back.
	is.True(!Relieves(Load(2, able), Load(1, able)))
}
