package fairshare

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// Constants of played overloads.
const (
	stepMs  = 50
	service = "pole"
)

// playedJob is a job of one task that uses size of the pool for durationMs.
type playedJob struct {
	Job
	durationMs int64
	startedMs  int64 // 0 before the start
}

func (j *playedJob) endMs() int64 { return j.startedMs + j.durationMs }

// pool is a fixed capacity that is given to jobs in an order.
type pool struct {
	capacity int64
	weights  map[string]float64
	waiting  []*playedJob
	running  []*playedJob
	free     int64
	order    orderFunc
}

type orderFunc func(waiting []Job, weight func(string) (float64, bool), running map[Flow]int64, wallMs int64) []int

func newPool(capacity int64, weights map[string]float64) *pool {
	return &pool{capacity: capacity, free: capacity, weights: weights, order: Order}
}

func (p *pool) weight(account string) (float64, bool) {
	w, ok := p.weights[account]
	return w, ok
}

// step ends the jobs that are over at nowMs and starts waiting ones in their order, until one doesn't fit.
func (p *pool) step(nowMs int64) {
	p.running = slices.DeleteFunc(p.running, func(j *playedJob) bool {
		over := j.endMs() <= nowMs
		if over {
			p.free += j.Work
		}
		return over
	})
	used := map[Flow]int64{}
	for _, j := range p.running {
		used[j.Flow] += j.Work
	}
	jobs := make([]Job, len(p.waiting))
	for i, j := range p.waiting {
		setLateness(j, nowMs)
		jobs[i] = j.Job
	}
	for _, i := range p.order(jobs, p.weight, used, nowMs) {
		j := p.waiting[i]
		if j.Work > p.free {
			break // so that large jobs aren't passed over for small ones
		}
		p.free -= j.Work
		j.startedMs = nowMs
		p.running = append(p.running, j)
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(j *playedJob) bool { return j.startedMs > 0 })
}

// setLateness sets the lateness as plans of a shard do.
func setLateness(j *playedJob, nowMs int64) {
	j.Lateness = 0
	if end := nowMs + j.durationMs; end > j.DueMs {
		j.Lateness = 1
		if end > j.AcceptedMs+3*(j.DueMs-j.AcceptedMs) {
			j.Lateness = 2
		}
	}
	j.VeryLate = j.Lateness == 2
}

// byUrgency is the order of jobs without accounts.
func byUrgency(waiting []Job, _ func(string) (float64, bool), _ map[Flow]int64, _ int64) []int {
	order := make([]int, len(waiting))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := &waiting[a], &waiting[b]
		return cmp.Or(x.Lateness-y.Lateness, cmp.Compare(x.DueMs, y.DueMs), strings.Compare(x.ID, y.ID))
	})
	return order
}

// sender sends the jobs of accounts that reach one of the shards, at random times.
type sender struct {
	random *rand.Rand
	shards float64
	meter  *Meter
	sent   []*playedJob
}

func newSender(seed uint64, shards int) *sender {
	return &sender{shards: float64(shards), random: rand.New(rand.NewPCG(seed, 1)), meter: NewMeter()}
}

// send adds the jobs to the pool that an account sends in one step, as a multiple of its weight.
func (s *sender) send(p *pool, account string, factor float64, nowMs int64) {
	for expected := factor * p.weights[account] / s.shards * stepMs / 1000; s.random.Float64() < expected; expected-- {
		s.add(p, account, nowMs, 500+s.random.Int64N(1000))
	}
}

// add adds a job to the pool.
func (s *sender) add(p *pool, account string, nowMs, durationMs int64) *playedJob {
	j := &playedJob{durationMs: durationMs, Job: Job{Flow: Flow{Account: account, Pool: Pool{Service: service}},
		ID: strconv.Itoa(len(s.sent)), AcceptedMs: nowMs, DueMs: nowMs + 2*durationMs + 1000, Work: 1000}}
	j.Exceeds = s.meter.Exceeds(account, nowMs, p.weights[account]/s.shards, nowMs)
	s.sent = append(s.sent, j)
	p.waiting = append(p.waiting, j)
	return j
}

// waiting returns the number of an account's waiting jobs.
func (p *pool) waitingOf(account string) int {
	n := 0
	for _, j := range p.waiting {
		if j.Account == account {
			n++
		}
	}
	return n
}
