package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulation is a seeded discrete-event simulation that compares endpoint choices. Three daemons send Poisson arrivals
// to workers with 8 slots and a FIFO queue each. Service times are lognormal (median 20 ms, sigma 0.6). Neighbours slow
// each worker down by a factor of 3 during episodes of 2 s on average, a tenth of the time; one worker in fifty is
// slower by 1.8 throughout. Each direction takes 0.5 ms. The load is half of the slots without slow-downs.
type simulation struct {
	random  *rand.Rand
	now     time.Duration
	events  eventHeap
	workers []*simWorker
	daemons []*simDaemon
	choose  chooser
	hedge   bool
	// latencies holds those of the requests that arrived after the warm-up.
	latencies []time.Duration
}

// chooser returns the worker for a request of a daemon, other than avoid (-1 for none).
type chooser func(s *simulation, d *simDaemon, avoid int) (worker int, ref Ref)

type simDaemon struct {
	pool       *Pool
	ids        map[string]int
	latency    *Latency
	hedges     *Budget
	nextWorker int
}

type simWorker struct {
	busy, load int
	queue      []*simAttempt
	slowUntil  time.Duration
	nextSlow   time.Duration
	slowFactor float64
	// reportedLoad is the load as the daemons see it, updated every 100 ms.
	reportedLoad int
}

type simRequest struct {
	daemon  *simDaemon
	arrived time.Duration
	done    bool
}

type simAttempt struct {
	request *simRequest
	worker  int
	ref     Ref
	sent    time.Duration
}

type simEvent struct {
	at  time.Duration
	run func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

const (
	simOneWay        = 500 * time.Microsecond
	simMedianSeconds = 0.020
	simSigma         = 0.6
	simSlots         = 8
	simLoad          = 0.5
	simDaemons       = 3
	simWarmUp        = 2 * time.Second
)

func (s *simulation) at(t time.Duration, run func()) { heap.Push(&s.events, simEvent{t, run}) }

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

func newSimulation(seed uint64, workers int, settings Settings, choose chooser, hedge bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), choose: choose, hedge: hedge}
	for i := range workers {
		w := &simWorker{slowFactor: 1, nextSlow: seconds(s.random.ExpFloat64() * 18)}
		if i%50 == 7 {
			w.slowFactor = 1.8
		}
		s.workers = append(s.workers, w)
	}
	for range simDaemons {
		d := &simDaemon{pool: NewPool(settings), ids: map[string]int{}, latency: NewLatency(0),
			hedges: NewBudget(HedgeShare, 5)}
		targets := testTargets(workers)
		for i, t := range targets {
			d.ids[t.ID] = i
		}
		d.pool.Update(targets)
		s.daemons = append(s.daemons, d)
	}
	return s
}

// run simulates n requests and returns their latencies, sorted.
func (s *simulation) run(n int) []time.Duration {
	meanSeconds := simMedianSeconds * math.Exp(simSigma*simSigma/2)
	rate := simLoad * float64(len(s.workers)) * simSlots / meanSeconds
	remaining := n
	var arrive func()
	arrive = func() {
		r := &simRequest{daemon: s.daemons[remaining%simDaemons], arrived: s.now}
		r.daemon.hedges.Earn()
		s.send(r, -1)
		if remaining--; remaining > 0 {
			s.at(s.now+seconds(s.random.ExpFloat64()/rate), arrive)
		}
	}
	var publishLoads func()
	publishLoads = func() {
		for _, w := range s.workers {
			w.reportedLoad = w.load
		}
		if remaining > 0 {
			s.at(s.now+100*time.Millisecond, publishLoads)
		}
	}
	s.at(0, publishLoads)
	s.at(0, arrive)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.latencies)
	return s.latencies
}

func (s *simulation) send(r *simRequest, avoid int) {
	a := &simAttempt{request: r, sent: s.now}
	if a.worker, a.ref = s.choose(s, r.daemon, avoid); a.worker < 0 {
		return
	}
	s.at(s.now+simOneWay, func() { s.receive(a) })
	if p95, known := r.daemon.latency.P95(); s.hedge && avoid < 0 && known {
		s.at(s.now+p95, func() {
			if !r.done && r.daemon.hedges.Spend() {
				s.send(r, a.worker)
			}
		})
	}
}

func (s *simulation) receive(a *simAttempt) {
	w := s.workers[a.worker]
	w.load++
	if w.busy == simSlots {
		w.queue = append(w.queue, a)
		return
	}
	s.serve(w, a)
}

func (s *simulation) serve(w *simWorker, a *simAttempt) {
	w.busy++
	for s.now >= w.nextSlow {
		w.slowUntil = w.nextSlow + seconds(s.random.ExpFloat64()*2)
		w.nextSlow = w.slowUntil + seconds(s.random.ExpFloat64()*18)
	}
	serviceSeconds := simMedianSeconds * math.Exp(simSigma*s.random.NormFloat64()) * w.slowFactor
	if s.now < w.slowUntil {
		serviceSeconds *= 3
	}
	s.at(s.now+seconds(serviceSeconds), func() {
		w.busy--
		w.load--
		s.at(s.now+simOneWay, func() { s.complete(a) })
		for len(w.queue) > 0 && w.busy < simSlots {
			next := w.queue[0]
			w.queue = w.queue[1:]
			if next.request.done { // the other attempt of a hedged request answered first
				w.load--
				continue
			}
			s.serve(w, next)
		}
	})
}

func (s *simulation) complete(a *simAttempt) {
	d, latency := a.request.daemon, s.now-a.sent
	if a.request.done {
		d.pool.Done(a.ref, s.now, latency, ResultCancelled)
		return
	}
	a.request.done = true
	d.pool.Done(a.ref, s.now, latency, ResultOK)
	d.latency.Record(s.now, latency)
	if a.request.arrived >= simWarmUp {
		s.latencies = append(s.latencies, s.now-a.request.arrived)
	}
}

func chooseRandom(s *simulation, _ *simDaemon, _ int) (int, Ref) {
	return s.random.IntN(len(s.workers)), Ref{}
}

func chooseRoundRobin(s *simulation, d *simDaemon, _ int) (int, Ref) {
	d.nextWorker++
	return d.nextWorker % len(s.workers), Ref{}
}

func chooseStaleLeast(s *simulation, _ *simDaemon, _ int) (int, Ref) {
	start, best := s.random.IntN(len(s.workers)), -1
	for i := range s.workers {
		j := (start + i) % len(s.workers)
		if best < 0 || s.workers[j].reportedLoad < s.workers[best].reportedLoad {
			best = j
		}
	}
	return best, Ref{}
}

func choosePool(s *simulation, d *simDaemon, avoid int) (int, Ref) {
	var ref Ref
	ok := false
	for range 4 {
		if ref, ok = d.pool.Pick(s.now, s.random); !ok {
			return -1, Ref{}
		}
		if d.ids[ref.ID()] != avoid {
			break
		}
		d.pool.Release(ref)
		ref = Ref{}
	}
	if ref == (Ref{}) {
		return -1, ref
	}
	return d.ids[ref.ID()], ref
}

// BenchmarkChoice reports the 99th and 99.9th percentile of simulated latency for each choice, in milliseconds. The
// time per operation is that of the simulation and has no meaning.
func BenchmarkChoice(b *testing.B) {
	settings := DefaultSettings()
	settings.MaxInFlight = 1 << 20
	noEjection := settings
	noEjection.MaxEjectedPercent = 0
	choices := []struct {
		name     string
		settings Settings
		choose   chooser
		hedge    bool
	}{
		{"random", settings, chooseRandom, false},
		{"roundrobin", settings, chooseRoundRobin, false},
		{"staleleast", settings, chooseStaleLeast, false},
		{"sampled", noEjection, choosePool, false},
		{"sampled+hedge", noEjection, choosePool, true},
		{"sampled+eject", settings, choosePool, false},
		{"sampled+eject+hedge", settings, choosePool, true},
	}
	for _, workers := range []int{48, 66, 156} {
		for _, c := range choices {
			b.Run(fmt.Sprintf("workers=%d/%s", workers, c.name), func(b *testing.B) {
				var p99, p999 float64
				for seed := range uint64(b.N) {
					l := newSimulation(seed+1, workers, c.settings, c.choose, c.hedge).run(400_000)
					p99 += l[len(l)*99/100].Seconds() * 1e3
					p999 += l[len(l)*999/1000].Seconds() * 1e3
				}
				b.ReportMetric(p99/float64(b.N), "p99-ms")
				b.ReportMetric(p999/float64(b.N), "p99.9-ms")
			})
		}
	}
}
