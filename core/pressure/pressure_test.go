package pressure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// simulation models serving tasks with varying load and filling tasks beside them.
type simulation struct {
	rng         *rand.Rand
	trueFactors map[Pair]float64
	nowSeconds  float64
}

const (
	targetMs = 18.0
	baseMs   = 4.0
)

func newSimulation() *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(1, 2)), trueFactors: map[Pair]float64{}}
	for i, s := range []string{"s0", "s1", "s2"} {
		for j, f := range []string{"f0", "f1", "f2", "f3"} {
			sim.trueFactors[Pair{s, f}] = 0.3
			if (i+j)%2 == 0 {
				sim.trueFactors[Pair{s, f}] = 5
			}
		}
	}
	return sim
}

// tail returns the tail latency of a serving task beside filling ones.
func (sim *simulation) tail(image string, phase float64, filling []Filling) float64 {
	u := 0.42 * (1 + 0.5*math.Sin(2*math.Pi*sim.nowSeconds/10+phase))
	for _, f := range filling {
		u += sim.trueFactors[Pair{image, f.Image}] * f.Share
	}
	return baseMs / (1 - min(u, 0.985))
}

// Guards against a wrong classification of pairs under the load for which the estimator is designed: varying load, a
// few filling tasks at a time, a saturated tail.
func TestPairsAreLearned(t *testing.T) {
	is := is.New(t)
	sim, m := newSimulation(), NewModel(2*time.Second)
	for range 1500 {
		sim.nowSeconds += 0.05
		image := []string{"s0", "s1", "s2"}[sim.rng.IntN(3)]
		var filling []Filling
		for range sim.rng.IntN(3) {
			share := 0.05 + 0.1*sim.rng.Float64()
			filling = append(filling, Filling{Image: []string{"f0", "f1", "f2", "f3"}[sim.rng.IntN(4)], Share: share,
				FullShare: share, PacePercent: 100})
		}
		m.Observe([]Serving{{Image: image, TargetMs: targetMs, TailMs: sim.tail(image, sim.rng.Float64()*6, filling)}},
			filling)
	}
	for p, factor := range sim.trueFactors {
		is.Equal(m.Tolerates(p), factor < 1) // the pair is classified wrongly
		is.Equal(m.Disturbs(p), factor > 1)
	}
}

// Guards against a harmless image that counts as disturbing because it was tried while the serving task's own load was
// at its peak. One of nine images was then not placed for a whole day.
func TestPeakLoadDoesNotMarkPairDisturbing(t *testing.T) {
	is := is.New(t)
	m := NewModel(2 * time.Second)
	observe := func(n int, tail float64, filling []Filling) {
		for range n {
			m.Observe([]Serving{{Image: "s", TargetMs: targetMs, TailMs: tail}}, filling)
		}
	}
	task := []Filling{{Image: "f", Share: 0.11, FullShare: 0.11, PacePercent: 100}}
	observe(200, 7.4, nil) // usual load
	observe(20, 11, task)  // peak load, nothing added
	is.True(m.Seen(Pair{"s", "f"}))
	is.True(!m.Disturbs(Pair{"s", "f"}))
	observe(100, 7.6, task)
	is.True(m.Tolerates(Pair{"s", "f"}))
	heavy := []Filling{{Image: "heavy", Share: 0.11, FullShare: 0.11, PacePercent: 100}}
	observe(40, 60, heavy)
	is.True(m.Disturbs(Pair{"s", "heavy"}))
}

// Guards against a disturbing image that looks harmless because many of its tasks together saturate the tail, which
// then grows no further with their number (seen with eight tasks beside one image and tails of 16 times the
// objective).
func TestPairWithSaturatedTailIsDisturbing(t *testing.T) {
	is := is.New(t)
	sim, m := newSimulation(), NewModel(2*time.Second)
	sim.trueFactors[Pair{"s", "f"}] = 1.7
	for i := range 1500 {
		sim.nowSeconds += 0.05
		var filling []Filling
		for range i % 2 * 12 {
			filling = append(filling, Filling{Image: "f", Share: 0.06, FullShare: 0.06, PacePercent: 100})
		}
		m.Observe([]Serving{{Image: "s", TargetMs: targetMs, TailMs: sim.tail("s", float64(i), filling)}}, filling)
	}
	is.True(!m.Tolerates(Pair{"s", "f"}))
}

// Guards against factors that never follow a change in a pair's interference.
func TestOldObservationsLoseWeight(t *testing.T) {
	is := is.New(t)
	sim, m := newSimulation(), NewModel(2*time.Second)
	filling := []Filling{{Image: "f0", Share: 0.1, FullShare: 0.1, PacePercent: 100}}
	run := func(n int) {
		for range n {
			sim.nowSeconds += 0.1
			m.Observe([]Serving{{Image: "s0", TargetMs: targetMs, TailMs: sim.tail("s0", 0, filling)}}, filling)
			m.Observe([]Serving{{Image: "s0", TargetMs: targetMs, TailMs: sim.tail("s0", 0, nil)}}, nil)
		}
	}
	run(1000)
	is.True(m.Disturbs(Pair{"s0", "f0"}))
	sim.trueFactors[Pair{"s0", "f0"}] = 0.1
	run(12000)
	is.True(m.Tolerates(Pair{"s0", "f0"}))
}

// Guards against a disturbing task that keeps its pace, and against a harmless one that is slowed with it.
func TestDisturbingTaskIsSlowed(t *testing.T) {
	is := is.New(t)
	m := trainedModel()
	filling := []Filling{{Image: "heavy", Share: 0.1, FullShare: 0.1, PacePercent: 100},
		{Image: "light", Share: 0.1, FullShare: 0.1, PacePercent: 100}}
	pace := m.Plan([]Serving{{Image: "s", TargetMs: targetMs, TailMs: 40}}, filling)
	is.True(pace[0] < 50)
	is.Equal(pace[1], 100)
}

// Guards against a halted task that is never resumed although the serving task tolerates it.
func TestHaltedTaskIsResumed(t *testing.T) {
	is := is.New(t)
	m := trainedModel()
	pace := m.Plan([]Serving{{Image: "s", TargetMs: targetMs, TailMs: 5}},
		[]Filling{{Image: "heavy", FullShare: 0.05, PacePercent: 0}})
	is.True(pace[0] > 0)
	is.True(pace[0] <= maxPaceRisePercent)
}

// Guards against filling tasks, whatever their factors, that hold a serving task over its objective for longer than
// haltAllAfter.
func TestAllFillingTasksHaltAfterLongMiss(t *testing.T) {
	is := is.New(t)
	m := trainedModel()
	filling := []Filling{{Image: "light", Share: 0.3, FullShare: 0.3, PacePercent: 100}}
	over := Serving{Image: "s", TargetMs: targetMs, TailMs: 19, OverTargetFor: 1900 * time.Millisecond}
	is.Equal(m.Plan([]Serving{over}, filling)[0], 100)
	over.OverTargetFor = 2 * time.Second
	is.Equal(m.Plan([]Serving{over}, filling)[0], 0)
}

// Guards against many tasks of untried images beside a serving task before one of them was tried.
func TestTrialsOfUntriedImagesAreLimited(t *testing.T) {
	is := is.New(t)
	m := trainedModel()
	allowed := func(string) bool { return false }
	blocked := func(string) bool { return true }
	is.Equal(m.ExcessUtilization("s", map[string]float64{"new": 0.1}, allowed), 0.0)
	is.True(m.ExcessUtilization("s", map[string]float64{"new": 0.2, "newer": 0.1}, allowed) > 0)
	is.Equal(m.ExcessUtilization("s", map[string]float64{"light": 0.5}, allowed), 0.0)
	is.True(m.ExcessUtilization("s", map[string]float64{"heavy": 0.1}, allowed) > 0)
	is.True(m.ExcessUtilization("s", map[string]float64{"new": 0.1}, blocked) > 0)
	is.Equal(m.ExcessUtilization("s", map[string]float64{"light": 0.1}, blocked), 0.0)
}

// trainedModel returns a model trained with one harmless (light) and one disturbing (heavy) image beside the image s.
func trainedModel() *Model {
	sim, m := newSimulation(), NewModel(2*time.Second)
	sim.trueFactors = map[Pair]float64{{"s", "light"}: 0.2, {"s", "heavy"}: 5}
	for i := range 2000 {
		sim.nowSeconds += 0.05
		f := []Filling{{Image: []string{"light", "heavy"}[i%2], Share: 0.1, FullShare: 0.1, PacePercent: 100}}
		if i%3 == 0 {
			f = nil
		}
		m.Observe([]Serving{{Image: "s", TargetMs: targetMs, TailMs: sim.tail("s", float64(i), f)}}, f)
	}
	return m
}

// Guards against pairs of images that the next owner of a shard tries again, at the expense of serving tasks.
func TestLearnedFactorsAreRestored(t *testing.T) {
	is := is.New(t)
	m := NewModel(2 * time.Second)
	m.Restore(trainedModel().Learned())
	is.True(m.Disturbs(Pair{"s", "heavy"}))
	is.True(m.Seen(Pair{"s", "light"}) && m.Tolerates(Pair{"s", "light"}))
	is.True(!m.Seen(Pair{"s", "new"}))
	filling := []Filling{{Image: "heavy", Share: 0.1, FullShare: 0.1, PacePercent: 100}}
	is.True(m.Plan([]Serving{{Image: "s", TargetMs: targetMs, TailMs: 40}}, filling)[0] < 50)
	for range 4000 { // the interference has changed
		m.Observe([]Serving{{Image: "s", TargetMs: targetMs, TailMs: 7.4}}, filling)
		m.Observe([]Serving{{Image: "s", TargetMs: targetMs, TailMs: 7}}, nil)
	}
	is.True(m.Tolerates(Pair{"s", "heavy"}))
}

// Guards against a state that outgrows a record of the store, after which the shard stores nothing any more: callers name
// images, and each new version of a program may be one.
func TestLearnedIsBounded(t *testing.T) {
	is := is.New(t)
	m := NewModel(2 * time.Second)
	long := strings.Repeat("n", 200)
	observe := func(serving, rounds int) {
		for range rounds {
			for f := range 40 {
				m.Observe([]Serving{{Image: fmt.Sprint("s", serving, long), TargetMs: targetMs, TailMs: 5}},
					[]Filling{{Image: fmt.Sprint("f", f, long), Share: 0.1}})
			}
		}
	}
	for serving := range 2 * maxImages {
		observe(serving, 1)
	}
	observe(2*maxImages, 20) // the pairs with the most observations
	is.Equal(len(m.images), maxImages)
	learned := m.Learned()
	data, err := cbor.Marshal(learned)
	is.NoErr(err)
	is.True(len(data) <= MaxLearnedBytes)
	is.True(len(data) > MaxLearnedBytes*8/10)
	next := NewModel(2 * time.Second)
	next.Restore(learned)
	for f := range 40 {
		is.True(next.Seen(Pair{fmt.Sprint("s", 2*maxImages, long), fmt.Sprint("f", f, long)}))
	}
	is.True(m.images[fmt.Sprint("s", 0, long)] == nil) // the image that was not observed for longest
	m.observations += maxUnobserved + 1
	observe(0, 1)
	is.Equal(len(m.images), 1)
}

func BenchmarkObserve(b *testing.B) {
	m := trainedModel()
	serving := []Serving{{Image: "s", TargetMs: targetMs, TailMs: 12}}
	filling := []Filling{{Image: "light", Share: 0.1}, {Image: "heavy", Share: 0.05}, {Image: "light", Share: 0.1}}
	for b.Loop() {
		m.Observe(serving, filling)
	}
}

// Guards against images beyond a fixed number that are never classified and hardly run (ambon-mist-large has 30 filling
// images, the limit was 24).
func TestManyFillingImagesAreSeen(t *testing.T) {
	sim, m := newSimulation(), NewModel(2*time.Second)
	const images = 40
	name := func(i int) string { return "f" + string(rune('a'+i)) }
	for i := range images {
		sim.trueFactors[Pair{"s0", name(i)}] = 0.3
	}
	for i := range 16000 {
		sim.nowSeconds += 0.05
		var filling []Filling
		if i%2 == 0 {
			filling = []Filling{{Image: name(i / 2 % images), Share: 0.1, FullShare: 0.1, PacePercent: 100}}
		}
		m.Observe([]Serving{{Image: "s0", TargetMs: targetMs, TailMs: sim.tail("s0", sim.rng.Float64()*6, filling)}}, filling)
	}
	for i := range images {
		p := Pair{"s0", name(i)}
		if !m.Seen(p) || m.Disturbs(p) {
			t.Errorf("%v has the factor %.2f, seen %v, disturbs %v", p, m.Factor(p), m.Seen(p), m.Disturbs(p))
		}
	}
}

// Guards against shards that each try every pair again, and against others' results that outweigh many own ones.
func TestOtherShardsResultsAreUsed(t *testing.T) {
	is := is.New(t)
	pair := Pair{"s0", "f0"}
	other := func(factor, weight float64) Learned {
		return Learned{Images: []LearnedImage{{Name: "s0", Pairs: []LearnedPair{{Filling: "f0", Factor: factor, Weight: weight}}}}}
	}
	m := NewModel(2 * time.Second)
	is.True(!m.Seen(pair))
	m.SetOthers([]Learned{other(0.2, 1), other(0.4, 1)})
	is.True(m.Seen(pair) && m.Tolerates(pair))
	m.SetOthers([]Learned{other(5, 1), other(6, 1)})
	is.True(m.Disturbs(pair))
	m.SetOthers(nil)
	is.True(!m.Seen(pair))

	for range 4000 {
		filling := []Filling{{Image: "f0", Share: 0.1, FullShare: 0.1, PacePercent: 100}}
		m.Observe([]Serving{{Image: "s0", TargetMs: targetMs, TailMs: baseMs / (1 - 0.42 - 0.03)}}, filling)
	}
	m.SetOthers([]Learned{other(12, 1e9)})
	is.True(m.Factor(pair) < 3)
	m.SetOthers([]Learned{other(math.NaN(), 1), other(1, math.NaN()), other(-1, 1), other(1, -1), other(1e300, 1)})
	is.True(!math.IsNaN(m.Factor(pair)))
	is.Equal(m.others[pair], evidence{})
}
