package shard

import (
	"cmp"
	"context"
	"slices"
	"time"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/packing"
	"waxwingslip.example/node/ctxtime"
)

// Timing of requests for workers of other shards.
const (
	// borrowInterval is the time between checks for tasks that other shards could have workers for.
	borrowInterval = 250 * time.Millisecond
	// borrowAfter is how long a task cannot be placed before the owners of the other shards are asked.
	borrowAfter = 750 * time.Millisecond
	// Bounds of the time between two requests for the same tasks, which doubles while no shard has workers for them. While
	// no worker of the shard suits them, or some are promised, the shortest time applies.
	minBorrowPause, maxBorrowPause = time.Second, 4 * time.Second
	// maxBorrowRequests limits the steps for which the other shards are asked at a time, and maxBorrowChecks those for which
	// that is considered.
	maxBorrowRequests, maxBorrowChecks = 4, 8
	// firstReportTime is how long a worker that was moved here has to report.
	firstReportTime = 5 * time.Second
	// lostAfter is how long a worker has to be unreachable before its shard counts it as lost to waiting tasks.
	lostAfter = 5 * time.Second
	// minReachablePercent is the share of the shard's workers that the owner has to reach before it asks for others: one that
	// reaches fewer could not use them.
	minReachablePercent = 50
	// lendTimeout limits one request to another shard.
	lendTimeout = 500 * time.Millisecond
)

// shortage describes the tasks of a step that could not be placed in the newest plan.
type shortage struct {
	entry      *jobEntry
	occurrence *jobs.Occurrence
	step       int
	request    packing.Request
	since      time.Duration
	plan       int // number of the newest plan in which the tasks could not be placed
	// askAt is the earliest time of the next request to other shards, and pause the time after that.
	askAt, pause time.Duration
}

// recordShortage records that tasks of a step cannot be placed. It runs for each waiting step of each plan, so it leaves
// the rest to the requests. The caller holds mu.
func (s *Shard) recordShortage(e *jobEntry, o *jobs.Occurrence, step int, r *packing.Request, now time.Duration) {
	sh := s.shortages[r.StepName]
	if sh == nil {
		sh = &shortage{since: now, pause: minBorrowPause}
		s.shortages[r.StepName] = sh
	}
	sh.entry, sh.occurrence, sh.step, sh.request, sh.plan = e, o, step, *r, s.plans
}

// tasks returns the tasks of the step.
func (sh *shortage) tasks() []jobs.Task { return sh.occurrence.Steps[sh.step] }

// waiting returns the number of tasks that wait.
func (sh *shortage) waiting() int {
	n := 0
	for _, t := range sh.tasks() {
		if t.Phase == jobs.Waiting {
			n++
		}
	}
	return n
}

// restarts reports whether long-running tasks wait that have run before.
func (sh *shortage) restarts() bool {
	return sh.request.Step.LongRunning && slices.ContainsFunc(sh.tasks(), waitsAgain)
}

// urgent reports whether the tasks should not wait for the shard's own workers to become free: nothing of the job runs, or
// its tasks are needed all the time or all together.
func (sh *shortage) urgent() bool {
	return sh.request.Step.LongRunning || sh.request.Step.Gang || !sh.entry.job.AnyBound()
}

// endShortages forgets the tasks that no longer wait after a plan. The caller holds mu.
func (s *Shard) endShortages() {
	for name, sh := range s.shortages {
		if sh.plan != s.plans {
			delete(s.shortages, name)
		}
	}
}

// borrowLoop asks other shards for workers on which waiting tasks can be placed.
func (s *Shard) borrowLoop() {
	for ctxtime.Sleep(s.ctx, borrowInterval) {
		if s.deps.Shards() < 2 || !s.auth.MayStart() {
			continue
		}
		var needs []dueNeed
		s.locked("check for shortages", func() { needs = s.dueNeeds() })
		for i := range needs {
			s.borrow(&needs[i])
		}
	}
}

// dueNeed is a request to other shards that is due for tasks that wait.
type dueNeed struct {
	Need
	job, stepName string
	waited        time.Duration
}

// shortageKind is the part of a request that decides which workers suit it, but for sizes and regions.
type shortageKind struct{ service, label string }

func (sh *shortage) kind() shortageKind {
	return shortageKind{sh.request.Service, sh.request.Step.RequiredLabel}
}

// compareShortages orders shortages by the priority of their jobs and the time that they have lasted.
func compareShortages(a, b *shortage) int {
	return cmp.Or(cmp.Compare(a.entry.job.Spec.Priority, b.entry.job.Spec.Priority), cmp.Compare(a.since, b.since),
		cmp.Compare(a.request.StepName, b.request.StepName))
}

// dueNeeds returns the requests to other shards that are due: those for kinds that the shard lacks first, then those of the
// most urgent jobs, and of these those that have waited longest. The caller holds mu.
func (s *Shard) dueNeeds() []dueNeed {
	now := s.deps.Now()
	if len(s.shortages) == 0 || !s.reachesMost() {
		return nil
	}
	var due []*shortage
	rank := map[shortageKind]int{} // 0 for kinds that the shard lacks, 1 for others
	for _, sh := range s.shortages {
		if now-sh.since < borrowAfter || now < sh.askAt {
			continue
		}
		due = append(due, sh)
		if _, known := rank[sh.kind()]; !known {
			rank[sh.kind()] = 0
			if s.hasWorkerFor(&sh.request, now) {
				rank[sh.kind()] = 1
			}
		}
	}
	slices.SortFunc(due, func(a, b *shortage) int {
		return cmp.Or(cmp.Compare(rank[a.kind()], rank[b.kind()]), compareShortages(a, b))
	})
	var needs []dueNeed
	for _, sh := range due[:min(len(due), maxBorrowChecks)] {
		noneSuits, restarts := !s.hasWorkerFor(&sh.request, now), sh.restarts()
		if noneSuits || restarts {
			sh.pause = minBorrowPause
		}
		sh.askAt = now + sh.pause
		sh.pause = min(2*sh.pause, maxBorrowPause)
		if len(needs) == maxBorrowRequests || !noneSuits && !sh.urgent() || !s.othersMaySuit(&sh.request, now) || !s.registryHolds(&sh.request) {
			continue
		}
		n := Need{Shard: s.number, Service: sh.request.Service, Step: *sh.request.Step, Tasks: sh.waiting(), NoneSuits: noneSuits,
			Restarts: restarts,
			// Whether long-running tasks fit depends on more than free capacity.
			MayMove: !noneSuits && !sh.request.Step.LongRunning && s.mayMove(sh.entry, now-sh.since)}
		if q := s.queueOf(sh.entry); q != nil {
			n.Regions = q.Regions
		}
		needs = append(needs, dueNeed{n, sh.entry.job.Spec.ID, sh.request.StepName, now - sh.since})
	}
	return needs
}

// reachesMost reports whether the owner reaches most of the shard's workers, or has none. The caller holds mu.
func (s *Shard) reachesMost() bool {
	reached := 0
	for _, w := range s.workers {
		if w.adopted && !w.unreachable {
			reached++
		}
	}
	return reached*100 >= len(s.workers)*minReachablePercent
}

// hasWorkerFor reports whether the shard has a worker that may run tasks of a request, if not now, then soon. The caller
// holds mu.
func (s *Shard) hasWorkerFor(r *packing.Request, now time.Duration) bool {
	for _, p := range s.fleet.Fitting(r) {
		w := s.workers[p.ID]
		if !w.registered || w.info.Draining || s.deps.ZoneOutOfService(w.info.Zone) {
			continue
		}
		if w.unreachable && now-w.unreachableSince < lostAfter || !w.unreachable && (w.adopted || now-w.heldSince < lostAfter) {
			return true
		}
	}
	return false
}

// othersMaySuit reports whether the registry has a worker of another shard that may run tasks of a request. While a worker
// that was moved here for such tasks has not reported, it waits for that: if this daemon cannot reach it, more would not
// help. The caller holds mu.
func (s *Shard) othersMaySuit(r *packing.Request, now time.Duration) bool {
	found := false
	for id, info := range s.entries {
		p := packing.Worker{ID: id, Kind: kindOf(info)}
		if info.Draining || !p.Suits(r) || !r.Step.Reserved().Fits(p.Size) {
			continue
		}
		if w := s.workers[id]; w == nil {
			found = true
		} else if w.fenceBase > 0 && !w.adopted && now-w.heldSince < firstReportTime {
			return false
		}
	}
	return found
}

// registryHolds reports whether the workers of all shards together could run the tasks of a request that have to run at the same
// time. Workers that move here for a larger gang would be of no use to it, and are missed elsewhere. The caller holds mu.
func (s *Shard) registryHolds(r *packing.Request) bool {
	if !r.Step.Gang {
		return true
	}
	room := 0
	for id, info := range s.entries {
		p := packing.Worker{ID: id, Kind: kindOf(info)}
		if !info.Draining && p.Suits(r) {
			room += p.Room(r.Step)
		}
	}
	return room >= r.Step.Count
}

// borrow asks the owners of the other shards, one after the other, until they have workers for all tasks.
func (s *Shard) borrow(n *dueNeed) {
	shards, total, fitsIn := s.deps.Shards(), Loan{}, -1
	for i := 1; i < shards && total.Room+total.Promised < n.Tasks && s.ctx.Err() == nil; i++ {
		other := (s.number + i) % shards
		left := n.Need
		left.Tasks -= total.Room + total.Promised
		ctx, cancel := context.WithTimeout(s.ctx, lendTimeout)
		l, err := s.deps.Lend(ctx, other, left)
		cancel()
		if err != nil {
			s.log.Debug().Err(err).Int("of_shard", other).Msg("request for workers failed")
			continue
		}
		if l.Takes {
			s.moveJob(n.job, n.waited, other)
			return
		}
		total.Room += l.Room
		total.Promised += l.Promised
		if l.Fits && fitsIn < 0 {
			fitsIn = other
		}
	}
	if total == (Loan{}) {
		if n.NoneSuits && n.waited >= jobMoveAfter && fitsIn >= 0 {
			s.moveJob(n.job, n.waited, fitsIn)
		}
		return
	}
	s.log.Info().Int("tasks", n.Tasks).Int("room_for", total.Room).Int("promised_for", total.Promised).Str("service", n.Service).
		Str("label", n.Step.RequiredLabel).Bool("none_suited", n.NoneSuits).Msg("workers of other shards move here")
	s.mu.Lock()
	defer s.mu.Unlock()
	if sh := s.shortages[n.stepName]; sh != nil {
		sh.askAt, sh.pause = min(sh.askAt, s.deps.Now()+minBorrowPause), minBorrowPause
	}
}
