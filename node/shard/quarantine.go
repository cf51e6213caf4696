package shard

import "time"

// Bounds of the judgement on workers that fail what they start.
const (
	// suspectFailures in a row close a worker for a while; tasks fail by their own fault too.
	suspectFailures = 3
	quarantineFirst = 2 * time.Second
	// quarantineMost keeps lasting tasks that have no other room from counting as lost once the failures are over.
	quarantineMost = 5 * time.Second
	// failurePenalty lowers the rank of a worker in millicores for each failure in a row.
	failurePenalty = 20_000
	// failureMemory is how long a failure counts.
	failureMemory = 6 * time.Second
)

// failureWindow counts a worker's failures in a row. The zero value has none.
type failureWindow struct {
	inRow  int
	last   time.Duration
	until  time.Duration
	period time.Duration
}

func (f *failureWindow) succeeded() { f.inRow, f.period = 0, 0 }

func (f *failureWindow) failed(now time.Duration) {
	f.inRow++
	f.last = now
	if f.inRow >= suspectFailures {
		f.period = min(max(2*f.period, quarantineFirst), quarantineMost)
		f.until = now + f.period
		f.inRow = suspectFailures - 1 // one more failure after the quarantine closes it again
	}
}

// suspect closes the worker because a task on it stands still.
func (f *failureWindow) suspect(now time.Duration) { f.until = max(f.until, now+stallQuarantine) }

func (f *failureWindow) quarantined(now time.Duration) bool { return now < f.until }

func (f *failureWindow) penalty(now time.Duration) int64 {
	if now-f.last > failureMemory {
		return 0
	}
	return int64(f.inRow) * failurePenalty
}
