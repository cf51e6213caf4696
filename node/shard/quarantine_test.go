package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a worker that stays closed to lasting tasks, which have no other room, after its failures are over:
// operators count a lasting task as lost 7 s after the last trouble.
func TestQuarantineEndsBeforeWaitingTasksCountAsLost(t *testing.T) {
	is := is.New(t)
	const lostAfter, lateFailure = 7 * time.Second, 1500 * time.Millisecond // a run that began in the trouble may fail after it
	var f failureWindow
	now := time.Minute
	for range 20 { // each return ends with another failure
		f.failed(now)
		now = max(now, f.until)
	}
	is.True(f.until-f.last <= lostAfter-lateFailure)
}
