package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func testPool(n int) *Pool {
	p := NewPool(DefaultSettings())
	p.Update(testTargets(n))
	return p
}

func testTargets(n int) []Target {
	targets := make([]Target, n)
	for i := range targets {
		targets[i].ID = fmt.Sprint(i)
	}
	return targets
}

func testRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against ejections beyond the allowed share or of the last endpoint, requests to a leaving endpoint, and
// wrong counts of requests in flight.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, random := testPool(0), testRandom()
		leaving := map[string]bool{}
		var inFlight []Ref
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				targets := testTargets(rapid.IntRange(0, 15).Draw(t, "n"))
				listed := map[string]bool{}
				for i := range targets {
					targets[i].Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
					id := targets[i].ID
					listed[id] = true
					leaving[id] = leaving[id] || targets[i].Leaving
				}
				for id := range leaving {
					if !listed[id] {
						delete(leaving, id) // listed again after a gap, it is a new endpoint
					}
				}
				p.Update(targets)
			},
			"pick": func(t *rapid.T) {
				if r, ok := p.Pick(now, random, inFlight[max(0, len(inFlight)-1):]...); ok {
					if leaving[r.ID()] {
						t.Fatalf("leaving endpoint %s chosen", r.ID())
					}
					inFlight = append(inFlight, r)
				}
			},
			"done": func(t *rapid.T) {
				for range rapid.IntRange(0, len(inFlight)).Draw(t, "count") {
					result := Result(rapid.IntRange(1, 3).Draw(t, "result"))
					p.Done(inFlight[0], now, time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms"))*time.Millisecond, result)
					inFlight = inFlight[1:]
				}
			},
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond },
			"": func(t *rapid.T) {
				staying := p.Usable() + p.Ejected()
				if p.Ejected()*100 > staying*20 || staying > 0 && p.Usable() == 0 {
					t.Fatalf("%d of %d endpoints ejected", p.Ejected(), staying)
				}
				if p.InFlight() != len(inFlight) {
					t.Fatalf("%d requests in flight, want %d", p.InFlight(), len(inFlight))
				}
			},
		})
	})
}

// Guards against requests to an endpoint that keeps failing, and against a full share right after its ejection.
func TestFailingEndpointIsEjectedAndReturnsSlowly(t *testing.T) {
	is := is.New(t)
	p, random := testPool(10), testRandom()
	share := func(now time.Duration) int {
		count := 0
		for range 3000 {
			r, ok := p.Pick(now, random)
			is.True(ok)
			if r.ID() == "0" {
				count++
			}
			p.Done(r, now, time.Millisecond, ResultOK)
		}
		return count
	}
	before := share(time.Second)
	for p.Ejected() == 0 {
		r, _ := p.Pick(time.Second, random)
		result := ResultOK
		if r.ID() == "0" {
			result = ResultFailed
		}
		p.Done(r, time.Second, time.Millisecond, result)
	}
	is.Equal(share(2*time.Second), 0)
	is.True(share(7*time.Second) < before/2)
	is.True(share(60*time.Second) > before/2)
}

// Guards against a slow endpoint that is not ejected because it answers without errors. All endpoints get the same
// number of latencies, since Pick itself avoids a slow one.
func TestSlowEndpointIsEjected(t *testing.T) {
	is := is.New(t)
	p, random := testPool(10), testRandom()
	refs := map[string]Ref{}
	for len(refs) < 10 {
		r, _ := p.Pick(0, random)
		refs[r.ID()] = r
	}
	for i := range 2 * minSamples {
		for id, r := range refs {
			latency := 5 * time.Millisecond
			if id == "3" {
				latency = 80 * time.Millisecond
			}
			p.Observe(r, time.Duration(i)*20*time.Millisecond, latency, ResultOK)
		}
	}
	is.Equal(p.Ejected(), 1)
	for range 1000 {
		r, ok := p.Pick(time.Second, random)
		is.True(ok && r.ID() != "3")
		p.Release(r)
	}
}

// Guards against an equal share for a slow endpoint, and against one that is never tried again at low load after its
// recovery.
func TestSlowEndpointGetsLittleUntilItRecovers(t *testing.T) {
	is := is.New(t)
	p, random := testPool(10), testRandom()
	share := func(from time.Duration, slow time.Duration) int {
		count := 0
		for i := range 10_000 {
			now := from + time.Duration(i)*10*time.Millisecond
			r, _ := p.Pick(now, random)
			latency := 5 * time.Millisecond
			if r.ID() == "3" {
				count++
				latency = slow
			}
			p.Done(r, now, latency, ResultOK)
		}
		return count
	}
	is.True(share(0, 80*time.Millisecond) < 100)
	share(100*time.Second, 5*time.Millisecond)
	is.True(share(200*time.Second, 5*time.Millisecond) > 500)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{48, 66, 156} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			p, random := testPool(n), testRandom()
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += 10 * time.Microsecond
				r, ok := p.Pick(now, random)
				if !ok {
					b.Fatal("no endpoint")
				}
				p.Done(r, now, time.Duration(1+random.IntN(4))*time.Millisecond, ResultOK)
			}
		})
	}
}
