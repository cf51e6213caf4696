// Package fairshare orders the waiting jobs of client accounts so that each account gets capacity in proportion to its
// weight while all of it is in use. It decides without I/O and without a clock; docs/design/fair-order.md states the rule.
package fairshare

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
)

// Parameters of the turns of aged jobs.
const (
	// agedMs is the time since acceptance above which a job is aged.
	agedMs = 30_000
	// Aged jobs have a turn of agedTurnMs in every agedTurns such periods of the wall clock. Plans are less than 250 ms apart.
	// The turn is in another place each time: with a fixed one, work in excess never ran beside tasks of 2 s that started
	// and ended outside it.
	agedTurnMs = 250
	agedTurns  = 8
)

// minWeight replaces weights that are 0 or less, or not a number.
const minWeight = 1e-6

// Pool identifies capacity that accounts share. Capacity that long-running tasks hold is shared separately: it is not given
// back for minutes, and an account that has much of it would get nothing for its short jobs.
type Pool struct {
	Service     string
	LongRunning bool
}

// Flow identifies the jobs of an account that compete for a pool at a priority.
type Flow struct {
	Account  string
	Pool     Pool
	Priority int
}

// Job is a job with waiting tasks.
type Job struct {
	Flow
	ID                string
	AcceptedMs, DueMs int64
	// Lateness, at most 100, ranks jobs of an account, lower ones first. VeryLate jobs rank behind all others of accounts.
	Lateness int
	VeryLate bool
	// Exceeds marks jobs that were sent in excess of the account's weight, see Meter.
	Exceeds bool
	// Work is the capacity that the waiting tasks take.
	Work int64
}

// levels of jobs of one priority. What an account sends in excess of its weight doesn't delay the owed jobs of others.
const (
	owed = iota
	owedVeryLate
	excess
	excessVeryLate
)

// ranked is a job with the keys by which it is ordered.
type ranked struct {
	*Job
	index int32
	// rank is the level and, within it, agedRank or the lateness above it.
	rank int32
	// timeMs is the due time, or the time of acceptance of a job with agedRank.
	timeMs int64
}

// agedRank is the rank of aged jobs in their turn.
const agedRank = owed << levelShift

// levelShift is the position of the level in a rank.
const levelShift = 8

func (r *ranked) level() int32 { return r.rank >> levelShift }

// flowQueue is the rest of a flow's jobs in their order.
type flowQueue struct {
	jobs   []ranked
	weight float64
}

// class returns the priority and the level of the first job as one number.
func (q *flowQueue) class() int64 {
	return int64(q.jobs[0].Priority)<<levelShift + int64(q.jobs[0].level())
}

// Order returns the indexes of waiting jobs in the order in which capacity is offered to them if each takes all that it waits
// for. It contains all of them, so that no capacity stays idle. See Offer for the parameters.
func Order(waiting []Job, weight func(account string) (float64, bool), running map[Flow]int64, wallMs int64) []int {
	order := make([]int, 0, len(waiting))
	Offer(waiting, weight, running, wallMs, func(i int) int64 {
		order = append(order, i)
		return max(waiting[i].Work, 1)
	})
	return order
}

// Offer calls offerTo once with the index of each waiting job, in the order in which capacity is offered to them. OfferTo returns
// the capacity that the job took: one that no worker can run does not hold back its account's other jobs. The function
// weight returns an account's weight and whether the account is known; jobs of all other accounts are ordered as those of one
// account with the mean weight. Running is the capacity that each flow uses.
func Offer(waiting []Job, weight func(account string) (float64, bool), running map[Flow]int64, wallMs int64,
	offerTo func(index int) int64) {
	known := func(f Flow) Flow {
		if _, ok := weight(f.Account); !ok {
			f.Account = "" // of which there is no account
		}
		return f
	}
	used := make(map[Flow]int64, len(running))
	for flow, work := range running {
		used[known(flow)] += work
	}
	queues := flowQueues(waiting, known, wallMs)
	setWeights(queues, weight)
	pools := map[Pool]*flowHeap{}
	for flow, q := range queues {
		h := pools[flow.Pool]
		if h == nil {
			h = &flowHeap{}
			pools[flow.Pool] = h
		}
		*h = append(*h, offer{flowQueue: q, class: q.class(), used: float64(used[flow]) / q.weight})
	}
	merged := make(poolHeap, 0, len(pools))
	for _, h := range pools {
		heap.Init(h)
		merged = append(merged, h)
	}
	heap.Init(&merged)
	for len(merged) > 0 {
		flows := merged[0]
		first := &(*flows)[0]
		first.used += float64(offerTo(int(first.jobs[0].index))) / first.weight
		first.jobs = first.jobs[1:]
		if len(first.jobs) > 0 {
			first.class = first.flowQueue.class()
			heap.Fix(flows, 0)
		} else {
			heap.Pop(flows)
		}
		if len(*flows) > 0 {
			heap.Fix(&merged, 0)
		} else {
			heap.Pop(&merged)
		}
	}
}

// flowQueues returns the ordered jobs of each flow, where known returns the flow to which jobs of a flow belong.
func flowQueues(waiting []Job, known func(Flow) Flow, wallMs int64) map[Flow]*flowQueue {
	queues := map[Flow]*flowQueue{}
	agedTurn := isAgedTurn(wallMs)
	for i := range waiting {
		j := &waiting[i]
		flow := known(j.Flow)
		q := queues[flow]
		if q == nil {
			q = &flowQueue{}
			queues[flow] = q
		}
		r := ranked{Job: j, index: int32(i), rank: levelOf(j)<<levelShift + 1 + int32(j.Lateness), timeMs: j.DueMs}
		if agedTurn && wallMs-j.AcceptedMs > agedMs {
			r.rank, r.timeMs = agedRank, j.AcceptedMs
		}
		q.jobs = append(q.jobs, r)
	}
	for _, q := range queues {
		slices.SortFunc(q.jobs, compareRanked)
	}
	return queues
}

// isAgedTurn reports whether a time of the wall clock is in a turn of aged jobs.
func isAgedTurn(wallMs int64) bool {
	period := wallMs / (agedTurns * agedTurnMs)
	// Fibonacci hashing: the upper bits of the product choose one of the 8 places.
	place := uint64(period) * 0x9E3779B97F4A7C15 >> 61
	return uint64(wallMs/agedTurnMs%agedTurns) == place
}

func levelOf(j *Job) int32 {
	switch {
	case !j.Exceeds && !j.VeryLate:
		return owed
	case !j.Exceeds:
		return owedVeryLate
	case !j.VeryLate:
		return excess
	}
	return excessVeryLate
}

// compareRanked orders jobs of one priority by level, lateness and due time, but aged ones in their turn first, by age.
func compareRanked(a, b ranked) int {
	if a.rank != b.rank {
		return int(a.rank - b.rank)
	}
	if a.timeMs != b.timeMs {
		return cmp.Compare(a.timeMs, b.timeMs)
	}
	return strings.Compare(a.ID, b.ID)
}

// setWeights sets the weights of the queues' accounts.
func setWeights(queues map[Flow]*flowQueue, weight func(account string) (float64, bool)) {
	sum := map[string]float64{} // a map, so that an account with several queues counts once
	for flow, q := range queues {
		w, known := weight(flow.Account)
		if !known {
			continue
		}
		q.weight = minWeight
		if w > minWeight {
			q.weight = w
		}
		sum[flow.Account] = q.weight
	}
	mean := meanOf(sum)
	for _, q := range queues {
		if q.weight == 0 {
			q.weight = mean
		}
	}
}

// meanOf returns the mean of the accounts' weights, or 1 if there is none. The order of the sum does not depend on that of
// the map, so that equal plans give equal orders.
func meanOf(weights map[string]float64) float64 {
	if len(weights) == 0 {
		return 1
	}
	values := make([]float64, 0, len(weights))
	for _, w := range weights {
		values = append(values, w)
	}
	slices.Sort(values)
	sum := 0.0
	for _, w := range values {
		sum += w
	}
	return sum / float64(len(values))
}

// offer is a flow with the keys by which its first job competes with those of others.
type offer struct {
	*flowQueue
	class int64
	used  float64 // capacity that runs or was offered to earlier jobs of the flow, divided by the weight
}

// flowHeap is a heap of the flows of one pool by their first jobs.
type flowHeap []offer

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, k int) bool {
	a, b := &h[i], &h[k]
	if a.class != b.class {
		return a.class < b.class
	}
	if a.used != b.used {
		return a.used < b.used
	}
	return compareRanked(a.jobs[0], b.jobs[0]) < 0
}

func (h flowHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

func (h *flowHeap) Push(o any) { *h = append(*h, o.(offer)) }

func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	*h = (*h)[:last]
	return nil
}

// poolHeap is a heap of pools by the class and the urgency of their first jobs. Use is not compared between pools: a
// long-running job would never have a turn beside short ones while its account holds more long-running capacity than any
// account uses for short jobs.
type poolHeap []*flowHeap

func (h poolHeap) Len() int { return len(h) }

func (h poolHeap) Less(i, k int) bool {
	a, b := &(*h[i])[0], &(*h[k])[0]
	if a.class != b.class {
		return a.class < b.class
	}
	return compareRanked(a.jobs[0], b.jobs[0]) < 0
}

func (h poolHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

func (h *poolHeap) Push(o any) { *h = append(*h, o.(*flowHeap)) }

func (h *poolHeap) Pop() any {
	last := len(*h) - 1
	*h = (*h)[:last]
	return nil
}
