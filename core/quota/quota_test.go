package quota_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"waxwingslip.example/core/quota"
	"waxwingslip.example/core/resource"
)

func cpu(n int64) resource.Vector { return resource.Vector{MilliCPU: n} }

// job is a waiting job of one step, all tasks of which start at once.
type job struct {
	name    string
	sinceMs int64
	size    resource.Vector
	lasting bool
}

// shardModel is a shard with its owner.
type shardModel struct {
	number   int
	account  *quota.Account
	limit    resource.Vector
	read     int // records of the log that the owner has read
	version  int // of the limit
	readTo   int // oldest version of any owner when this one last read
	jobs     []job
	runs     []job
	inFlight *quota.Entry    // an append without a response
	at       int             // condition of that append; -1 for none
	sentAt   resource.Vector // limit under which it was decided
}

// world is a store and shards. Owners read, plan and append in any order.
type world struct {
	t      *rapid.T
	log    []record
	shards []*shardModel
	limits []resource.Vector // all versions
	nowMs  int64
}

type record struct {
	shard int
	entry quota.Entry
}

func newWorld(t *rapid.T, shards int, limit resource.Vector) *world {
	w := &world{t: t, limits: []resource.Vector{limit}, nowMs: 1}
	for i := range shards {
		w.shards = append(w.shards, &shardModel{number: i, limit: limit})
		w.newOwner(w.shards[i])
	}
	return w
}

// newOwner replaces the owner of a shard. Appends of the former one have no effect any more.
func (w *world) newOwner(s *shardModel) {
	s.account, s.inFlight, s.read = quota.New(s.number), nil, 0
	s.account.SetLimit(s.limit)
	for _, r := range s.runs {
		s.account.Reserve(r.size, r.lasting)
	}
	for _, r := range w.log {
		if r.shard == s.number {
			s.account.SetOwn(r.entry)
		}
	}
	w.readAll(s)
	s.account.SetSynced(true)
}

func (w *world) readAll(s *shardModel) {
	for _, r := range w.log[s.read:] {
		if r.shard != s.number {
			s.account.Observe(r.shard, r.entry)
		}
	}
	s.read, s.readTo = len(w.log), len(w.limits)-1
	for _, other := range w.shards {
		s.readTo = min(s.readTo, other.version)
	}
}

func (w *world) adopt(s *shardModel) {
	s.version = len(w.limits) - 1
	s.limit = w.limits[s.version]
	s.account.SetLimit(s.limit)
}

func (w *world) used() (sum resource.Vector) {
	for _, s := range w.shards {
		for _, r := range s.runs {
			sum = sum.Add(r.size)
		}
	}
	return sum
}

// bound returns the highest limit that may be in force: until all owners have adopted a limit and then read all shares that
// were raised under the one before, that one counts.
func (w *world) bound() (b resource.Vector) {
	oldest := len(w.limits) - 1
	for _, s := range w.shards {
		oldest = min(oldest, s.readTo)
	}
	for _, l := range w.limits[oldest:] {
		b.MilliCPU, b.MemoryMB = max(b.MilliCPU, l.MilliCPU), max(b.MemoryMB, l.MemoryMB)
	}
	for _, s := range w.shards {
		b.MilliCPU, b.MemoryMB = max(b.MilliCPU, s.limit.MilliCPU), max(b.MemoryMB, s.limit.MemoryMB)
	}
	return b
}

// plan starts what the limit allows.
func (w *world) plan(s *shardModel) {
	s.account.BeginPlan()
	waiting := s.jobs[:0:0]
	for _, j := range s.jobs {
		if s.account.Ask(j.name, j.sinceMs, j.size) != quota.Fits {
			s.account.Wait(j.name, j.sinceMs, j.size, j.size)
			waiting = append(waiting, j)
			continue
		}
		s.account.Reserve(j.size, j.lasting)
		s.runs = append(s.runs, j)
		// A start may leave a component above a limit that fell, if it uses nothing of that component.
		if used, b := w.used(), w.bound(); used.MilliCPU > b.MilliCPU || j.size.MemoryMB > 0 && used.MemoryMB > b.MemoryMB {
			w.t.Fatalf("shard %d starts %v: %v in use, limit %v", s.number, j.size, used, b)
		}
	}
	s.jobs = waiting
	s.account.EndPlan()
}

func (w *world) end(s *shardModel, i int) {
	s.account.Release(s.runs[i].size, s.runs[i].lasting)
	s.runs = append(s.runs[:i:i], s.runs[i+1:]...)
}

// send begins an append if there is none in flight.
func (w *world) send(s *shardModel) {
	if s.inFlight != nil {
		return
	}
	e, changed, raises := s.account.Next()
	if !changed {
		return
	}
	s.account.Begin(e)
	s.inFlight, s.at, s.sentAt = &e, -1, s.limit
	if raises {
		s.at = s.read
	}
}

// finish executes the append in flight.
func (w *world) finish(s *shardModel) {
	if s.inFlight == nil {
		return
	}
	if s.at >= 0 && s.at != len(w.log) {
		s.account.Abandon()
	} else {
		w.log = append(w.log, record{s.number, *s.inFlight})
		s.account.SetOwn(*s.inFlight)
		w.checkShares(s)
	}
	s.inFlight = nil
}

// checkShares checks the sum of the shares after an append: a raise keeps it within the limit under which it was decided.
func (w *world) checkShares(by *shardModel) {
	if by.at < 0 {
		return
	}
	shares := map[int]resource.Vector{}
	for _, r := range w.log {
		shares[r.shard] = r.entry.Share
	}
	var sum resource.Vector
	for _, v := range shares {
		sum = sum.Add(v)
	}
	b := w.bound()
	if sum.MilliCPU > max(b.MilliCPU, by.sentAt.MilliCPU) || sum.MemoryMB > max(b.MemoryMB, by.sentAt.MemoryMB) {
		w.t.Fatalf("shard %d raises the sum of shares to %v, limit %v", by.number, sum, b)
	}
}

// round lets every owner read, store and plan, as within some 200 ms.
func (w *world) round() {
	w.nowMs += 200
	for _, s := range w.shards {
		w.adopt(s)
		w.finish(s)
		w.readAll(s)
		w.send(s)
		w.finish(s)
		w.plan(s)
	}
}

func drawSize(t *rapid.T) resource.Vector {
	return resource.Vector{MilliCPU: rapid.Int64Range(1, 40).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(0, 40).Draw(t, "memory")}
}

func drawLimit(t *rapid.T) resource.Vector {
	return resource.Vector{MilliCPU: rapid.Int64Range(20, 100).Draw(t, "limit"), MemoryMB: rapid.Int64Range(20, 100).Draw(t, "memory limit")}
}

func (w *world) submit(s *shardModel, size resource.Vector) {
	w.nowMs++
	s.jobs = append(s.jobs, job{fmt.Sprint("j", w.nowMs), w.nowMs, size, false})
}

// step does one step of one owner, or changes the limit.
func (w *world) step(t *rapid.T) {
	s := w.shards[rapid.IntRange(0, len(w.shards)-1).Draw(t, "shard")]
	w.nowMs += rapid.Int64Range(0, 500).Draw(t, "ms")
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1:
		w.submit(s, drawSize(t))
		s.jobs[len(s.jobs)-1].lasting = rapid.IntRange(0, 4).Draw(t, "lasting") == 0
	case 2:
		if len(s.runs) > 0 {
			w.end(s, rapid.IntRange(0, len(s.runs)-1).Draw(t, "run"))
		}
	case 3, 4:
		w.plan(s)
	case 5:
		w.readAll(s)
	case 6:
		w.readAll(s)
		w.send(s)
	case 7:
		w.finish(s)
	case 8:
		if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
			w.limits = append(w.limits, drawLimit(t))
		}
		w.adopt(s)
	case 9:
		if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
			w.newOwner(s)
		}
	}
}

// Guards against shares or uses above the limit in any order of raises, returns, changes of limit and of owner, with appends
// that take effect late and owners that have not read the newest shares; and against capacity that stays idle, or shares that
// are kept, once all is read.
func TestSharesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 4).Draw(t, "shards"), drawLimit(t))
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			w.step(t)
		}
		for range 30 {
			w.round()
		}
		w.checkNoneIdle()
	})
}

// checkNoneIdle checks that the oldest job that may be placed at all does not fit beside the runs, and that the shares are in
// use or kept for it.
func (w *world) checkNoneIdle() {
	limit, used := w.limits[len(w.limits)-1], w.used()
	var lasting resource.Vector
	for _, s := range w.shards {
		for _, r := range s.runs {
			if r.lasting {
				lasting = lasting.Add(r.size)
			}
		}
	}
	var oldest *job
	var shares resource.Vector
	for _, s := range w.shards {
		shares = shares.Add(s.account.Share())
		for i := range s.jobs {
			if j := &s.jobs[i]; j.size.Add(lasting).Fits(limit) && (oldest == nil || j.sinceMs < oldest.sinceMs) {
				oldest = j
			}
		}
	}
	if oldest != nil && used.Add(oldest.size).Fits(limit) {
		w.t.Fatalf("job of %v waits since %d, %v in use, limit %v", oldest.size, oldest.sinceMs, used, limit)
	}
	if oldest == nil && shares != used {
		w.t.Fatalf("nothing waits, shares are %v, %v in use", shares, used)
	}
}

// Guards against a job that waits forever, whatever it needs, while other shards have younger ones all the time.
func TestNoShardStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := cpu(rapid.Int64Range(20, 60).Draw(t, "limit"))
		w := newWorld(t, rapid.IntRange(2, 4).Draw(t, "shards"), limit)
		small := cpu(rapid.Int64Range(1, 10).Draw(t, "small"))
		others := w.shards[1:]
		load := func() {
			for _, s := range others {
				for len(s.jobs) < 5 {
					w.submit(s, small)
				}
				for i := len(s.runs) - 1; i >= 0; i-- {
					if rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
						w.end(s, i)
					}
				}
				w.plan(s)
			}
			w.round()
		}
		for range 10 {
			load()
		}
		w.submit(w.shards[0], cpu(rapid.Int64Range(1, limit.MilliCPU).Draw(t, "wide")))
		for range 150 {
			load()
		}
		if len(w.shards[0].runs) == 0 {
			t.Fatalf("%v of limit %v still waits after 150 rounds", w.shards[0].jobs, limit)
		}
	})
}

// Guards against two shards that each keep a part of what the wide task of the other needs.
func TestOlderJobGetsPartsOfBothShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2, cpu(10))
		for i, s := range w.shards {
			w.submit(s, cpu(int64(4+2*i)))
		}
		for range 5 {
			w.round()
		}
		first := rapid.IntRange(0, 1).Draw(t, "first")
		w.nowMs += 10
		since := w.nowMs
		w.shards[first].jobs = append(w.shards[first].jobs, job{"wide", since, cpu(10), false})
		w.shards[1-first].jobs = append(w.shards[1-first].jobs, job{"other", since + int64(first), cpu(10), false})
		if first == 1 {
			w.shards[1].jobs[0].sinceMs-- // with equal ages, the lower shard goes first
		}
		w.round()
		for _, s := range w.shards {
			w.end(s, 0)
		}
		for range 5 {
			w.round()
		}
		if len(w.shards[first].runs) != 1 || len(w.shards[1-first].runs) != 0 {
			t.Fatalf("runs %v and %v", w.shards[0].runs, w.shards[1].runs)
		}
	})
}

// Guards against a gang that never fits the limit and keeps others from starting.
func TestTooLargeGangBlocksNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2, cpu(10))
		w.submit(w.shards[0], cpu(11))
		w.round()
		w.submit(w.shards[0], cpu(4))
		w.submit(w.shards[1], cpu(6))
		for range 4 {
			w.round()
		}
		if len(w.shards[0].runs) != 1 || len(w.shards[1].runs) != 1 {
			t.Fatalf("runs %v and %v", w.shards[0].runs, w.shards[1].runs)
		}
	})
}

// Guards against a gang that does not fit beside long-running tasks and keeps others from starting, perhaps for days.
func TestGangBesideLongRunningTasksBlocksNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2, cpu(10))
		w.submit(w.shards[rapid.IntRange(0, 1).Draw(t, "lasting")], cpu(4))
		for _, s := range w.shards {
			for i := range s.jobs {
				s.jobs[i].lasting = true
			}
		}
		w.round()
		w.submit(w.shards[rapid.IntRange(0, 1).Draw(t, "gang")], cpu(7))
		w.round()
		w.submit(w.shards[0], cpu(3))
		w.submit(w.shards[1], cpu(3))
		for range 4 {
			w.round()
		}
		if n := len(w.shards[0].runs) + len(w.shards[1].runs); n != 3 {
			t.Fatalf("runs %v and %v", w.shards[0].runs, w.shards[1].runs)
		}
	})
}
