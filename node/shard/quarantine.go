package shard

import "time"

// Limits of the quarantine of workers whose tasks fail.
const (
	// quarantineFailures is the number of consecutive failures that quarantines a worker. A single one may be the task's
	// own fault.
	quarantineFailures = 3
	minQuarantine      = 2 * time.Second
	// maxQuarantine is short enough that long-running tasks without another worker do not count as lost once the
	// failures are over.
	maxQuarantine = 5 * time.Second
	// failurePenaltyMilliCPU lowers the rank of a worker for each consecutive failure.
	failurePenaltyMilliCPU = 20_000
	// failureTTL is how long the failures lower the rank after the newest one.
	failureTTL = 6 * time.Second
)

// failureWindow counts a worker's consecutive failures. The zero value has none.
type failureWindow struct {
	consecutive      int
	lastAt           time.Duration
	quarantinedUntil time.Duration
	quarantine       time.Duration
	stalledUntil     time.Duration // the end of the quarantine for stalled tasks
}

func (f *failureWindow) recordSuccess() { f.consecutive, f.quarantine = 0, 0 }

func (f *failureWindow) recordFailure(now time.Duration) {
	f.consecutive++
	f.lastAt = now
	if f.consecutive >= quarantineFailures {
		f.quarantine = min(max(2*f.quarantine, minQuarantine), maxQuarantine)
		f.quarantinedUntil = now + f.quarantine
		f.consecutive = quarantineFailures - 1 // one more failure after the quarantine starts the next
	}
}

// quarantineStalled quarantines the worker because a task on it makes no progress.
func (f *failureWindow) quarantineStalled(now time.Duration) {
	f.stalledUntil = now + stallQuarantine
	f.quarantinedUntil = max(f.quarantinedUntil, f.stalledUntil)
}

func (f *failureWindow) quarantined(now time.Duration) bool { return now < f.quarantinedUntil }

func (f *failureWindow) rankPenalty(now time.Duration) int64 {
	if now-f.lastAt > failureTTL {
		return 0
	}
	return int64(f.consecutive) * failurePenaltyMilliCPU
}
