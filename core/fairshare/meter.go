package fairshare

import "math"

// Parameters of the token buckets that count an account's jobs.
const (
	// burstSeconds is how many seconds' worth of jobs an account may send at once. With 4 s, too many jobs of small accounts
	// were in excess by chance where a shard sees a tenth of them.
	burstSeconds = 8
	// headroom is the refill rate relative to the owed one. Without it, an account that sends exactly what it is owed would
	// empty its bucket now and then, since its jobs arrive at random and are spread over the shards at random.
	headroom = 1.25
	// minBurst and burstDeviations extend the bucket by the random part of the number of jobs that reach one shard.
	minBurst        = 1
	burstDeviations = 1.5
)

// Meter tells which jobs of accounts are sent in excess of what the accounts are owed. Jobs in excess take nothing from the
// bucket, so that an account is within its weight again as soon as it sends no more than that. The state follows from the
// acceptance times, so that another owner that reads the same jobs rebuilds it.
type Meter struct {
	buckets map[string]bucket
}

type bucket struct {
	tokens float64
	atMs   int64
}

// NewMeter returns a meter that has counted no job.
func NewMeter() *Meter { return &Meter{buckets: map[string]bucket{}} }

// Exceeds counts a job of an account that is owed rate jobs a second and reports whether the job is in excess of them. Jobs
// are counted in the order of their acceptance; one that is counted late gains no tokens. The bucket's clock is never ahead of
// the wall clock: after a job whose daemon's clock is ahead, or once the wall clock is set back, jobs would gain no tokens
// until their times of acceptance have caught up.
func (m *Meter) Exceeds(account string, acceptedMs int64, rate float64, wallMs int64) bool {
	if !(rate > 0) { // also for NaN
		return true
	}
	size := burstSize(rate)
	acceptedMs = min(acceptedMs, wallMs)
	b, known := m.buckets[account]
	if !known {
		b = bucket{tokens: size, atMs: acceptedMs}
	}
	b.atMs = min(b.atMs, wallMs)
	if elapsedMs := acceptedMs - b.atMs; elapsedMs > 0 {
		b.tokens += headroom * rate * float64(elapsedMs) / 1000
		b.atMs = acceptedMs
	}
	b.tokens = min(b.tokens, size)
	exceeds := b.tokens < 1
	if !exceeds {
		b.tokens--
	}
	m.buckets[account] = b
	return exceeds
}

// burstSize returns the size of the bucket of an account that is owed rate jobs a second.
func burstSize(rate float64) float64 {
	mean := burstSeconds * rate
	return mean + minBurst + burstDeviations*math.Sqrt(mean)
}
