package main

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against slopes that are attributed to the wrong variable, and against a fit of sizes that do not determine all
// slopes.
func TestFit(t *testing.T) {
	is := is.New(t)
	var all []sample
	for _, s := range []struct{ workers, tasks float64 }{{4, 16}, {52, 208}, {4, 64}, {52, 832}} {
		x := sample{workers: s.workers, tasks: s.tasks}
		x.values[rssMB] = 27 + 0.5*s.workers + 0.01*s.tasks
		all = append(all, x)
	}
	f, ok := computeFit(all, rssMB)
	is.True(ok)
	is.True(math.Abs(f.base-27) < 1e-6 && math.Abs(f.perWorker-0.5) < 1e-6 && math.Abs(f.perTask-0.01) < 1e-6)
	is.True(f.r2 > 0.999999)
	_, ok = computeFit(all[:2], rssMB)
	is.True(!ok)
}
