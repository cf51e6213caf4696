package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/resource"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// Guards against sizes that follow outliers or the declared size instead of most reports, and against reports that
// never lose weight.
func TestUseIsRobustAndDecays(t *testing.T) {
	is := is.New(t)
	m := New(DefaultOptions())
	_, ok := m.ExpectedUse("a", "c")
	is.True(!ok)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		use := resource.Vector{MilliCPU: 2000 + rng.Int64N(200), MemoryMB: 8000}
		if i%50 == 0 {
			use.MilliCPU = 60000
		}
		m.ObserveUse(Key{"a", "c"}, use, start.Add(time.Duration(i)*time.Second))
	}
	use, ok := m.ExpectedUse("a", "c")
	is.True(ok)
	is.True(use.MilliCPU > 1600 && use.MilliCPU < 2600)
	is.True(use.MemoryMB > 6500 && use.MemoryMB < 9500)
	for i := range 300 {
		m.ObserveUse(Key{"a", "c"}, resource.Vector{MilliCPU: 500, MemoryMB: 8000}, start.Add(12*time.Hour+time.Duration(i)*time.Second))
	}
	use, _ = m.ExpectedUse("a", "c")
	is.True(use.MilliCPU < 700)
}

// observeSamples feeds samples of a victim for which ln(latency) = ln(20) + 1.2*noisy + 0*quiet, with noise.
func observeSamples(m *Model, seed uint64, samples int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range samples {
		noisy, quiet := 0.0, 0.0
		if rng.IntN(3) > 0 {
			noisy, quiet = rng.Float64()*0.5, rng.Float64()*0.5
		}
		s := Sample{Victim: "book", Load: 8, At: start.Add(time.Duration(i) * 5 * time.Second), Settled: rng.IntN(5) > 0}
		s.Neighbours = []Neighbour{{"noisy", noisy}, {"quiet", quiet}}
		s.Value = 20 * math.Exp(1.2*noisy+0.3*rng.NormFloat64())
		if !s.Settled { // as if the neighbours were those of another interval
			s.Neighbours = []Neighbour{{"noisy", quiet}, {"quiet", noisy}}
		}
		m.ObserveSample(s)
	}
}

// Guards against an effect attributed to the wrong one of two neighbours that appear together, and against confidence
// without data.
func TestSlowdownIsAttributedToCause(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			is := is.New(t)
			m := New(DefaultOptions())
			_, confidence := m.Slowdown("book", "noisy")
			is.Equal(confidence, 0.0)
			observeSamples(m, seed, 600)
			noisy, c1 := m.Slowdown("book", "noisy")
			quiet, c2 := m.Slowdown("book", "quiet")
			is.True(noisy > 1.2 && noisy < 4) // true value: e^1.2-1 = 2.3
			is.True(quiet < 0.6)
			is.True(c1 > 0.8 && c2 > 0.8)
			value, n := m.Baseline("book", 8)
			is.True(value > 16 && value < 25 && n > minBaselineWeight)
		})
	}
}

// Guards against digests that count twice when repeated, and against a daemon that receives its own data back through
// a peer.
func TestDigestIsIdempotent(t *testing.T) {
	is := is.New(t)
	a, b := New(DefaultOptions()), New(DefaultOptions())
	observeSamples(a, 1, 600)
	for i := range 100 {
		a.ObserveUse(Key{"t", fmt.Sprint(i % 10)}, resource.Vector{MilliCPU: 1000}, start)
	}
	for range 6 {
		d, err := a.Digest(start, 3)
		is.NoErr(err)
		is.NoErr(b.MergeDigest("a", d))
	}
	want, wantConfidence := a.Slowdown("book", "noisy")
	got, confidence := b.Slowdown("book", "noisy")
	is.True(math.Abs(want-got) < 0.01 && math.Abs(wantConfidence-confidence) < 0.01)
	for i := range 10 {
		_, ok := b.ExpectedUse("t", fmt.Sprint(i))
		is.True(ok)
	}
	echo, err := b.Digest(start, 100)
	is.NoErr(err)
	is.NoErr(a.MergeDigest("b", echo))
	afterEcho, _ := a.Slowdown("book", "noisy")
	is.Equal(afterEcho, want)
	is.True(b.MergeDigest("a", []byte{0xff}) != nil)
}

// Guards against memory that grows with the number of teams and classes.
func TestModelIsBounded(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	o.MaxProfiles, o.MaxPairs, o.MaxBaselines = 10, 20, 5
	m := New(o)
	for i := range 200 {
		at := start.Add(time.Duration(i) * time.Second)
		m.ObserveUse(Key{"t", fmt.Sprint(i)}, resource.Vector{MilliCPU: 1}, at)
		for k := range 30 {
			m.ObserveSample(Sample{Victim: fmt.Sprint("v", i%9), Value: 10, Settled: true, At: at, Neighbours: []Neighbour{{fmt.Sprint(k), 0.2}}})
		}
	}
	is.True(len(m.profiles) <= 10)
	is.True(len(m.pairs) <= 20 && len(m.baselines) <= 5)
	_, newest := m.profiles[Key{"t", "199"}]
	is.True(newest)
}

// BenchmarkObserveUse measures one report; a daemon receives about 300 a second at target size.
func BenchmarkObserveUse(b *testing.B) {
	m := New(DefaultOptions())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m.ObserveUse(Key{"t", "c"}, resource.Vector{MilliCPU: int64(i % 4000), MemoryMB: 800}, start.Add(time.Duration(i)*time.Millisecond))
	}
}

// FuzzMergeDigest guards against a digest from a faulty peer that crashes the daemon or leads to estimates out of range.
func FuzzMergeDigest(f *testing.F) {
	m := New(DefaultOptions())
	observeSamples(m, 1, 50)
	m.ObserveUse(Key{"t", "c"}, resource.Vector{MilliCPU: 1000}, start)
	seed, err := m.Digest(start, 100)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		m := New(DefaultOptions())
		_ = m.MergeDigest("peer", encoded) // an error and success are both allowed
		for _, r := range m.remote {
			for k := range r.pairs {
				if s, c := m.Slowdown(k.victim, k.neighbour); !(s >= 0 && s < 100 && c >= 0 && c <= 1) {
					t.Fatalf("effect %v with confidence %v", s, c)
				}
			}
			for k := range r.profiles {
				if use, ok := m.ExpectedUse(k.Team, k.Class); ok && !use.Valid() {
					t.Fatalf("use %v", use)
				}
			}
		}
	})
}
