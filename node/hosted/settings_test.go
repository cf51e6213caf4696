package hosted

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/lease"
)

// Guards against leases so long that a long-running task does not run again in time after its worker is permanently
// lost: with leases of 10 s, that took 9.75 s.
func TestLeaseLimitForLongRunningTasks(t *testing.T) {
	is := is.New(t)
	const (
		allowed = 9 * time.Second // between two runs
		restart = time.Second     // sweep, store and start, with a margin
	)
	for _, ms := range []float64{3000, 6000, 10_000, 30_000} {
		b := Bounds{HoldMaxMs: ms}
		is.True(b.maxWorkerLease() <= time.Duration(ms)*time.Millisecond)
		is.True(b.maxWorkerLease()*100/(100-lease.DriftPercent)+restart < allowed)
	}
}
