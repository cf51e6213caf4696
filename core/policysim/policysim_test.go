package policysim

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// seed is fixed, so that figures before and after a change of the policy can be compared.
const seed = 1

// BenchmarkPolicyComparison prints one table for each scenario.
func BenchmarkPolicyComparison(b *testing.B) {
	for _, sc := range Scenarios() {
		b.Run(sc.Name, func(b *testing.B) {
			for b.Loop() {
				var results []Result
				for _, p := range Policies() {
					results = append(results, Run(sc, p, seed))
				}
				fmt.Println(Table(sc, results))
			}
		})
	}
}

// Guards against figures that differ between runs of the same seed, which would make comparisons worthless.
func TestRunsAreDeterministic(t *testing.T) {
	is := is.New(t)
	sc := Scenarios()[0]
	sc.Seconds = 600
	for _, p := range Policies() {
		a, b := Run(sc, p, seed), Run(sc, p, seed)
		is.Equal(fmt.Sprint(a), fmt.Sprint(b))
		is.True(a.Finished > 0)
	}
}
