package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a worker that stays quarantined after its failures are over while long-running tasks have no other
// worker: operators count a long-running task as lost 7 s after the last fault.
func TestQuarantineEndsBeforeWaitingTasksCountAsLost(t *testing.T) {
	is := is.New(t)
	// A run that began during the fault may fail after it.
	const lostAfter, lateFailure = 7 * time.Second, 1500 * time.Millisecond
	var f failureWindow
	now := time.Minute
	for range 20 { // each quarantine is followed by another failure
		f.recordFailure(now)
		now = max(now, f.quarantinedUntil)
	}
	is.True(f.quarantinedUntil-f.lastAt <= lostAfter-lateFailure)
}
