package shard

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/packing"
	"waxwingslip.example/core/sharding"
)

// Need is a request of a shard for workers on which it can place tasks of a step.
type Need struct {
	// Shard is the shard that asks.
	Shard   int       `cbor:"1,keyasint"`
	Service string    `cbor:"2,keyasint"`
	Step    jobs.Step `cbor:"3,keyasint"`
	// Regions restricts the workers; none allows all.
	Regions []string `cbor:"4,keyasint,omitempty"`
	// Tasks is the number of tasks that wait.
	Tasks int `cbor:"5,keyasint"`
	// NoneSuits is set if the shard has no worker that may run the tasks, and not just none with free capacity.
	NoneSuits bool `cbor:"6,keyasint,omitempty"`
	// Restarts is set if long-running tasks wait that have run before. They have to run again however busy the fleet is.
	Restarts bool `cbor:"7,keyasint,omitempty"`
	// MayMove is set if the job may move to the lender instead, see Loan.Takes.
	MayMove bool `cbor:"8,keyasint,omitempty"`
}

// maxLentForRestarts limits the workers that a shard lends, or empties, at a time for long-running tasks that have run
// before. Emptying a worker takes some 2 s, and the tasks have 9 s.
const maxLentForRestarts = 5

// Timing of moves of workers that are in use.
const (
	// minHolding is how long a shard has had a worker before it stops using it for another shard, so that shards that
	// need the same worker take turns.
	minHolding = 3 * time.Second
	// promiseDuration is how long a worker takes no tasks so that it can move once it is idle. The other shard repeats its
	// request within that time while it still needs the worker.
	promiseDuration = 2500 * time.Millisecond
)

// Loan is the response to a Need, as numbers of tasks.
type Loan struct {
	// Room is for how many tasks the workers that move have room, and Promised for how many those have that move once
	// they are idle, if they are asked for again by then.
	Room     int `cbor:"1,keyasint"`
	Promised int `cbor:"2,keyasint"`
	// Fits is set if a task fits on a worker of the lender now, besides those that run there.
	Fits bool `cbor:"3,keyasint,omitempty"`
	// Takes is set, and nothing else is lent, if the job should move to the lender: a task fits there now, nothing waits for
	// capacity, and the owner is not behind with starts.
	Takes bool `cbor:"4,keyasint,omitempty"`
}

// Lend moves workers that this shard can do without to the shard that needs them.
func (s *Shard) Lend(n Need) (l Loan, err error) {
	if !s.auth.MayStart() {
		return Loan{}, ErrStale
	}
	s.locked("lend workers", func() { l, err = s.lend(&n) })
	return l, err
}

// lend moves or promises workers. The caller holds mu.
func (s *Shard) lend(n *Need) (Loan, error) {
	switch {
	case !s.loaded || s.ctx.Err() != nil:
		return Loan{}, errors.New("the shard is not loaded, or lost")
	case n.Shard == s.number || n.Shard < 0 || n.Shard >= s.deps.Shards() || n.Tasks < 1:
		return Loan{}, errors.Errorf("request of shard %d for %d tasks is not valid", n.Shard, n.Tasks)
	}
	request := packing.Request{Step: &n.Step, Service: n.Service, Allowed: s.inRegions(n.Regions)}
	if n.MayMove && len(s.shortages) == 0 && !s.behind() && s.fleet.Place(&request) != nil {
		return Loan{Fits: true, Takes: true}, nil
	}
	limit, now, l := s.lendable(n), s.deps.Now(), Loan{}
	for _, p := range s.fleet.Spare(&request) {
		w := s.workers[p.ID]
		if l.Room >= n.Tasks || limit == 0 {
			break
		}
		promised := w.promisedTo == n.Shard && now < w.promisedUntil
		if !s.usable(w, now) || w.storedEnd != w.recordedEnd || !promised && (now < w.promisedUntil || s.needs(p)) {
			continue
		}
		limit--
		l.Room += p.Room(&n.Step)
		s.moveWorker(w, n.Shard)
	}
	if n.NoneSuits {
		limit = min(limit, 1) // tasks may wait for these workers here, too
	}
	l.Fits = s.fleet.Place(&request) != nil
	l.Promised = s.promise(n, &request, limit, n.Tasks-l.Room, now)
	return l, nil
}

// lendable returns how many workers the shard may lend. The caller holds mu.
func (s *Shard) lendable(n *Need) int {
	switch {
	case n.NoneSuits:
		return sharding.MaxLent
	case n.Restarts:
		return maxLentForRestarts
	}
	l := sharding.Lender{Shards: s.deps.Shards()}
	workers, cpu := s.fleet.ServiceTotals(n.Service)
	l.Workers, l.Size, l.Free = workers, cpu.Size, cpu.Free
	for _, info := range s.entries {
		if info.Service == n.Service {
			l.FleetWorkers++
		}
	}
	return l.Lendable()
}

// needs reports whether a task that this shard cannot place may run on a worker. The caller holds mu.
func (s *Shard) needs(p *packing.Worker) bool {
	for _, sh := range s.shortages {
		if p.Suits(&sh.request) {
			return true
		}
	}
	return false
}

// promise keeps up to limit workers that suit a request free of new tasks, so that they can move once their tasks have
// ended, and returns for how many of the tasks they have room. The caller holds mu.
func (s *Shard) promise(n *Need, r *packing.Request, limit, tasks int, now time.Duration) int {
	room := 0
	for _, p := range append(s.fleet.Spare(r), s.fleet.Busy(r)...) {
		if room >= tasks || limit == 0 {
			break
		}
		w := s.workers[p.ID]
		extends := now < w.promisedUntil && w.promisedTo == n.Shard
		if !s.usable(w, now) || !extends && (now < w.promisedUntil || !s.mayPromise(w, p, n, now)) {
			continue
		}
		if !extends {
			s.log.Info().Str("worker", w.info.ID).Int("to", n.Shard).Msg("worker takes no tasks until it can move")
		}
		w.promisedTo, w.promisedUntil = n.Shard, now+promiseDuration
		s.updateAvailability(w)
		limit--
		room += p.Room(r.Step)
	}
	return room
}

// mayPromise reports whether a worker may be promised to the shard that needs it. If that one has no worker that suits,
// or long-running tasks to run again, tasks of this shard may wait for the worker, too, once they have had their turn.
// In both cases long-running tasks move to other workers. The caller holds mu.
func (s *Shard) mayPromise(w *worker, p *packing.Worker, n *Need, now time.Duration) bool {
	if (n.NoneSuits || n.Restarts) && now-w.heldSince < minHolding {
		return false
	}
	if n.NoneSuits || n.Restarts {
		return s.canEmpty(w)
	}
	for _, r := range s.runsByWorker[w.info.ID] {
		if r.step.LongRunning {
			return false
		}
	}
	return !s.needs(p)
}

// canEmpty reports whether all tasks on a worker end by themselves or fit on others now. The caller holds mu.
func (s *Shard) canEmpty(w *worker) bool {
	p := s.fleet.Worker(w.info.ID)
	open := p.Open
	p.Open = false
	defer func() { p.Open = open }()
	for _, r := range s.runsByWorker[w.info.ID] {
		e := s.jobs[r.id.Job]
		if !r.step.LongRunning || e == nil {
			continue
		}
		request := s.placementRequest(e, r.id)
		if s.fleet.Place(&request) == nil {
			return false
		}
	}
	return true
}

// emptyPromised moves tasks away from workers that are promised to another shard, one task of each worker a sweep and only
// to where there is room: long-running ones, and filling ones that resume from a checkpoint. The caller holds mu.
func (s *Shard) emptyPromised(now time.Duration) {
	var reserved []*run // on the workers to which they can move
	var targets []*packing.Worker
	for id, w := range s.workers {
		if now >= w.promisedUntil || !s.usable(w, now) {
			continue
		}
		if r, target := s.movableRun(id); r != nil {
			s.log.Info().Str("job", r.id.Job).Str("task", r.name).Str("worker", id).Int("to", w.promisedTo).
				Msg("task leaves a worker that another shard needs")
			s.stopRun(w, r)
			s.fleet.Reserve(target.ID, r.step, r.stepName)
			reserved, targets = append(reserved, r), append(targets, target)
		}
	}
	for i, r := range reserved {
		s.fleet.Release(targets[i].ID, r.step, r.stepName)
	}
}

// movableRun returns a run of a worker whose task can move, and a worker with room for it, or nil. The caller holds mu.
func (s *Shard) movableRun(worker string) (*run, *packing.Worker) {
	for _, r := range s.runsByWorker[worker] {
		e := s.jobs[r.id.Job]
		if e == nil || e.job.Outcome != jobs.Unfinished || r.stage != running {
			continue
		}
		resumes := r.step.Fills && r.step.Checkpointing && !r.step.Gang
		if !resumes && (!r.step.LongRunning || s.stepRestarts(e, r)) {
			continue
		}
		request := s.placementRequest(e, r.id)
		if target := s.fleet.Place(&request); target != nil && target.ID != worker {
			return r, target
		}
	}
	return nil, nil
}

// stepRestarts reports whether another long-running task of a run's step does not run at the moment. The caller holds mu.
func (s *Shard) stepRestarts(e *jobEntry, r *run) bool {
	tasks := e.job.Occurrence(r.id.Occurrence).Steps[r.id.Step]
	for i := range tasks {
		other := s.runs[jobs.TaskID{Job: r.id.Job, Occurrence: r.id.Occurrence, Step: r.id.Step, Index: i}.String()]
		if other == nil || other.stage != running {
			return true
		}
	}
	return false
}

// inRegions returns the function that restricts workers to regions, or nil for no restriction.
func (s *Shard) inRegions(regions []string) func(*packing.Worker) bool {
	if len(regions) == 0 {
		return nil
	}
	return func(w *packing.Worker) bool { return slices.Contains(regions, s.deps.Region(w.Zone)) }
}
