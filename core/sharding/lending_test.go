package sharding_test

import (
	"testing"

	"github.com/matryer/is"

	"waxwingslip.example/core/sharding"
)

// Guards against shards that lend, for lack of capacity elsewhere, what they need themselves, and against idle ones that
// lend nothing.
func TestLendable(t *testing.T) {
	for _, c := range []struct {
		name   string
		lender sharding.Lender
		want   int
	}{
		{"idle, with its equal part", sharding.Lender{Workers: 10, Size: 100, Free: 100, FleetWorkers: 30, Shards: 3}, 5},
		{"idle, with more", sharding.Lender{Workers: 12, Size: 120, Free: 120, FleetWorkers: 30, Shards: 3}, 7},
		{"idle, large", sharding.Lender{Workers: 100, Size: 1000, Free: 1000, FleetWorkers: 300, Shards: 3}, sharding.MaxLent},
		{"idle, has lent half", sharding.Lender{Workers: 5, Size: 50, Free: 50, FleetWorkers: 30, Shards: 3}, 0},
		{"busy", sharding.Lender{Workers: 10, Size: 100, Free: 49, FleetWorkers: 30, Shards: 3}, 0},
		{"half busy", sharding.Lender{Workers: 10, Size: 100, Free: 50, FleetWorkers: 30, Shards: 3}, 5},
		{"nothing known", sharding.Lender{}, 0},
	} {
		is.New(t).Equal(c.lender.Lendable(), c.want) // as c.name says
	}
}
