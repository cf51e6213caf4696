package stream

import (
	"sync"
	"time"

	"waxwingslip.example/external/logstore"
)

// minLogRate is the rate in bytes per second that a reader of the log can count on.
const minLogRate = 50_000

// entriesDivisor divides the number of entries after a page that did not arrive.
const entriesDivisor = 8

// maxGrace lets the largest entry arrive alone.
const maxGrace = time.Duration(logstore.MaxPayloadBytes) * time.Second / minLogRate

// pageLimit adapts reads to a slow path to the log. A page that does not arrive in time would not arrive if it were read
// again, so the next one has fewer entries, and a single entry gets more time. It is safe for concurrent use.
type pageLimit struct {
	maxEntries int
	minGrace   time.Duration

	mu      sync.Mutex
	entries int
	grace   time.Duration
}

func newPageLimit(maxEntries int, minGrace time.Duration) *pageLimit {
	return &pageLimit{maxEntries: maxEntries, minGrace: minGrace, entries: maxEntries, grace: minGrace}
}

// get returns the limits of the next read: its number of entries, and its time beyond the wait for the first one.
func (l *pageLimit) get() (entries int, grace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries, l.grace
}

// timedOut lowers the number of entries, or raises the time for a single one.
func (l *pageLimit) timedOut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries > 1 {
		l.entries = max(l.entries/entriesDivisor, 1)
		return
	}
	l.grace = min(2*l.grace, max(maxGrace, l.minGrace))
}

// arrived notes how long a page of a number of entries took. A page that would take twice as long has to arrive, too,
// before pages become larger.
func (l *pageLimit) arrived(entries int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entries < l.entries || took > l.grace/2 {
		return
	}
	l.entries, l.grace = min(2*l.entries, l.maxEntries), max(l.grace/2, l.minGrace)
}
