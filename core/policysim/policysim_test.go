package policysim

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// The seeds are fixed, so that results before and after a change of the policy can be compared. The throughput of
// single runs varies by 1 to 2%.
var seeds = []uint64{1, 2, 3}

// BenchmarkPolicyComparison prints one table for each scenario.
func BenchmarkPolicyComparison(b *testing.B) {
	for _, sc := range Scenarios() {
		b.Run(sc.Name, func(b *testing.B) {
			for b.Loop() {
				var results []Result
				for _, p := range Policies() {
					results = append(results, Mean(sc, p, seeds))
				}
				fmt.Println(Table(sc, results))
			}
		})
	}
}

// Guards against results that differ between runs of the same seed, which would make comparisons worthless.
func TestRunsAreDeterministic(t *testing.T) {
	is := is.New(t)
	sc := Scenarios()[0]
	sc.Seconds = 600
	for _, p := range Policies() {
		a, b := Run(sc, p, 1), Run(sc, p, 1)
		is.Equal(fmt.Sprint(a), fmt.Sprint(b))
		is.True(a.Finished > 0)
	}
}
