package fairshare

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against an account that is owed more than its weight and its burst in any period.
func TestMeterBoundsOwedJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.01, 50).Draw(t, "rate")
		m, now := NewMeter(), int64(0)
		var owedAt []int64
		for range rapid.IntRange(1, 300).Draw(t, "jobs") {
			now += rapid.Int64Range(0, 300).Draw(t, "gap")
			if !m.Exceeds("a", now, rate, now) {
				owedAt = append(owedAt, now)
			}
		}
		for i, from := range owedAt {
			for k, to := range owedAt[i:] {
				if limit := burstSize(rate) + headroom*rate*float64(to-from)/1000; float64(k+1) > limit+1e-6 {
					t.Fatalf("%d owed jobs in %d ms, limit %.2f", k+1, to-from, limit)
				}
			}
		}
	})
}

// Guards against jobs that are in excess although their account sends evenly what it is owed, also after it has sent more.
func TestMeterOwesTheWeight(t *testing.T) {
	is := is.New(t)
	m, now := NewMeter(), int64(0)
	for range 1000 {
		m.Exceeds("a", now, 4, now)
	}
	is.True(m.Exceeds("a", now, 4, now))
	for range 100 {
		now += 250
		is.True(!m.Exceeds("a", now, 4, now))
	}
}

// Guards against a job that is read late and gains its account tokens a second time, and against accounts without weight.
func TestMeterCountsLateJobs(t *testing.T) {
	is := is.New(t)
	m := NewMeter()
	n := 0
	for i := range int64(1000) {
		if !m.Exceeds("a", 100_000-i%2*50_000, 4, 100_000) {
			n++
		}
	}
	is.Equal(n, int(burstSize(4)))
	is.True(m.Exceeds("zero", 0, 0, 0))
}
