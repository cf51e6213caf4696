package shard

import (
	"slices"
	"strconv"
	"time"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/packing"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/node/ctxtime"
)

// Bounds on the processor time of planning.
const (
	// planPauseFactor times the duration of a plan passes before the next one, so that calls and reports are not
	// delayed.
	planPauseFactor = 3
	maxPlanPause    = 150 * time.Millisecond
)

// planLoop binds waiting tasks after each signal.
func (s *Shard) planLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.planSignal:
		}
		ctxtime.Sleep(s.ctx, planDebounce)
		if !s.auth.MayStart() {
			continue
		}
		startedAt := s.deps.Now()
		s.locked("plan", func() { s.plan(startedAt) })
		took := s.deps.Now() - startedAt
		s.deps.Counters.Plan.Record(took)
		ctxtime.Sleep(s.ctx, min(planPauseFactor*took, maxPlanPause))
	}
}

// plan binds as many waiting tasks as the workers have capacity for. The caller holds mu.
func (s *Shard) plan(now time.Duration) {
	config := s.deps.Config()
	if config == nil {
		return
	}
	var waiting []*jobEntry
	for _, e := range s.jobs {
		if e.mayHaveReady && e.job.Outcome == jobs.Unfinished && e.setAside == "" {
			waiting = append(waiting, e)
		}
	}
	s.plans++
	s.fleet.BeginPass()
	defer s.fleet.EndPass()
	wall := s.deps.WallTime().UnixMilli()
	for _, e := range waiting {
		e.lateness = latenessOf(e, wall)
	}
	waiting = s.orderJobs(waiting, config, wall)
	s.updateDemand(waiting, now)
	s.beginQuotaPlan(waiting)
	// Tasks that have run go first, whatever the state of their jobs: a job of which only such a task is left ends with it.
	for _, e := range waiting {
		if e.mayHaveRestarts {
			s.forJob("plan restarts", e, func() { s.planJob(e, config, now, restartsOnly) })
		}
	}
	s.offerJobs(waiting, config, wall, func(e *jobEntry) (bound int) {
		if e.mayHaveReady {
			s.forJob("plan job", e, func() { bound = s.planJob(e, config, now, allTasks) })
		}
		return bound
	})
	s.planLongRunningRounds(waiting, config, now)
	s.endShortages()
	s.endQuotaPlan(now)
}

// planLongRunningRounds binds new long-running tasks round by round, one task per job and round, so that scarce
// capacity is shared among the jobs. The caller holds mu.
func (s *Shard) planLongRunningRounds(waiting []*jobEntry, config *jobqueue.Config, now time.Duration) {
	for bound := 1; bound > 0; {
		bound = 0
		for _, e := range waiting {
			if e.longRunning && e.mayHaveReady {
				s.forJob("plan job", e, func() { bound += s.planJob(e, config, now, allTasks) })
			}
		}
	}
}

// lateness is how far a job is expected to miss its objective.
type lateness uint8

const (
	onTime lateness = iota
	// late jobs miss their objective, but their results are still useful.
	late
	// veryLate jobs are hardly useful any more; they get the capacity that others of their priority leave.
	veryLate
)

// veryLateFactor is the time after a job's acceptance, as a multiple of its objective, beyond which it is very late.
const veryLateFactor = 3

func latenessOf(e *jobEntry, wallMs int64) lateness {
	spec := e.job.Spec
	if spec.Repeat > 0 || e.longRunning {
		return onTime
	}
	end := wallMs + e.job.RemainingMs()
	switch {
	case end <= e.dueMs:
		return onTime
	case end <= spec.AcceptedMs+veryLateFactor*(e.dueMs-spec.AcceptedMs):
		return late
	}
	return veryLate
}

// compareUrgency orders jobs by priority, lateness and due time. Under overload, running the oldest jobs first would
// make all of them late.
func compareUrgency(a, b *jobEntry) int {
	if d := a.job.Spec.Priority - b.job.Spec.Priority; d != 0 {
		return d
	}
	if a.lateness != b.lateness {
		return int(a.lateness) - int(b.lateness)
	}
	if a.dueMs != b.dueMs {
		return int(min(max(a.dueMs-b.dueMs, -1), 1))
	}
	if a.job.Spec.ID < b.job.Spec.ID {
		return -1
	}
	return 1
}

// taskSelection selects the waiting tasks that are planned.
type taskSelection uint8

const (
	allTasks taskSelection = iota
	// restartsOnly selects tasks that have run before.
	restartsOnly
)

// planJob binds the selected waiting tasks of a job, but only one new long-running task per step, and returns how many it
// bound. The caller holds mu.
func (s *Shard) planJob(e *jobEntry, config *jobqueue.Config, now time.Duration, selected taskSelection) int {
	remaining, bound := false, 0
	s.placements = s.placements[:0]
	for _, o := range e.job.Occurrences {
		for step := range o.Steps {
			if !e.job.Ready(o, step) {
				continue
			}
			n, more := s.planStep(e, o, step, now, selected)
			bound += n
			remaining = remaining || more
		}
	}
	e.mayHaveReady, e.mayHaveRestarts = remaining, remaining && slices.ContainsFunc(e.job.Occurrences, anyWaitsAgain)
	if bound > 0 {
		s.log.Info().Str("job", e.job.Spec.ID).Int("tasks", bound).Strs("on", s.placements).Bool("more", remaining).
			Int64("age_ms", s.deps.WallTime().UnixMilli()-e.job.Spec.AcceptedMs).
			Int64("config", config.Version).Msg("tasks bound")
		s.markDirty(e)
	}
	return bound
}

// placementRequest returns the placement request of a task by the newest configuration of its queue. The caller holds
// mu.
func (s *Shard) placementRequest(e *jobEntry, id jobs.TaskID) packing.Request {
	r := packing.Request{Step: &e.job.Spec.Steps[id.Step], StepName: id.StepName(), Service: e.job.Spec.Service}
	if q := s.queueOf(e); q != nil {
		r.Service = q.Service
		r.Allowed = s.inRegions(q.Regions)
	}
	return r
}

// planStep binds the waiting tasks of a step and reports how many it bound and whether some still wait. The caller
// holds mu.
func (s *Shard) planStep(e *jobEntry, o *jobs.Occurrence, step int, now time.Duration, selected taskSelection) (int, bool) {
	request := s.placementRequest(e, jobs.TaskID{Job: e.job.Spec.ID, Occurrence: o.Number, Step: step})
	queue := s.queueOf(e)
	if queue == nil || queue.Advice == nil {
		return s.placeStep(e, o, step, &request, now, selected)
	}
	unrestricted := request // candidates to request advice on
	s.requireTicket(&request, now)
	bound, remaining := s.placeStep(e, o, step, &request, now, selected)
	if remaining {
		s.requestAdvice(queue, &unrestricted, now)
	}
	return bound, remaining
}

// queueOf returns the job's queue in the newest configuration, or nil.
func (s *Shard) queueOf(e *jobEntry) *jobqueue.Queue {
	if config := s.deps.Config(); config != nil {
		return config.Queue(e.job.Spec.Queue)
	}
	return nil
}

// placeStep binds the selected waiting tasks of a step to workers that the request allows. The caller holds mu.
func (s *Shard) placeStep(e *jobEntry, o *jobs.Occurrence, step int, request *packing.Request, now time.Duration,
	selected taskSelection) (int, bool) {
	spec := &e.job.Spec.Steps[step]
	if spec.Gang {
		return s.planGang(e, o, step, request, now)
	}
	request.Urgent = s.isUrgent(e, request.Service)
	bound, remaining := 0, false
	restarts := spec.LongRunning && slices.ContainsFunc(o.Steps[step], waitsAgain)
	for i := range o.Steps[step] {
		if o.Steps[step][i].Phase != jobs.Waiting {
			continue
		}
		if (restarts || selected == restartsOnly) && o.Steps[step][i].Run == 0 {
			remaining = true // a new task would take the place of one that has run
			continue
		}
		id := jobs.TaskID{Job: e.job.Spec.ID, Occurrence: o.Number, Step: step, Index: i}
		if e.retryAt[id] > now {
			remaining = true
			continue
		}
		isNew := o.Steps[step][i].Run == 0
		request.Avoid = e.avoid[id]
		w, waitsForQuota := s.placeWithinQuota(e, spec.Size, func() *packing.Worker {
			if spec.LongRunning && isNew {
				return s.placeNewLongRunning(e, request, now)
			}
			return s.fleet.Place(request)
		})
		if waitsForQuota {
			s.recordQuotaWait(e, o.Steps[step], request, spec.Size, w != nil)
			return bound, true
		}
		if w == nil {
			if spec.LongRunning && !isNew {
				s.fleet.Hold(request)
			}
			s.recordShortage(e, o, step, request, now)
			return bound, true
		}
		s.bind(e, id, w, o.Steps[step][i].Run+1, request.StepName)
		bound++
		if spec.LongRunning && isNew {
			return bound, true
		}
	}
	return bound, remaining
}

// waitsAgain reports whether a task waits that has run before.
func waitsAgain(t jobs.Task) bool { return t.Phase == jobs.Waiting && t.Run > 0 }

// anyWaitsAgain reports whether any task of an occurrence waits that has run before.
func anyWaitsAgain(o *jobs.Occurrence) bool {
	return slices.ContainsFunc(o.Steps, func(tasks []jobs.Task) bool { return slices.ContainsFunc(tasks, waitsAgain) })
}

// Limits of how long filling tasks wait for workers on which they disturb no serving task.
const (
	// urgentAfterMs is the age of a job above which its filling tasks run on any worker, at a limited pace.
	urgentAfterMs = 60_000
	// idleUrgentAfterMs is that age while the service is idle: callers see no reason to wait then.
	idleUrgentAfterMs = 1_500
	// idleFreePercent is the share of free capacity above which a service counts as idle.
	idleFreePercent = 45
)

// isUrgent reports whether the filling tasks of a job may run on any worker. The caller holds mu.
func (s *Shard) isUrgent(e *jobEntry, service string) bool {
	age := s.deps.WallTime().UnixMilli() - e.job.Spec.AcceptedMs
	if age > urgentAfterMs {
		return true
	}
	cpu := s.fleet.CPUTotals(service)
	return age > idleUrgentAfterMs && cpu.Free*100 > cpu.Size*idleFreePercent
}

// planGang binds all members of a gang or none. The caller holds mu.
func (s *Shard) planGang(e *jobEntry, o *jobs.Occurrence, step int, request *packing.Request, now time.Duration) (int, bool) {
	tasks := o.Steps[step]
	runNumber := int64(0)
	for i := range tasks {
		if tasks[i].Phase == jobs.Done {
			return 0, false
		}
		if tasks[i].Phase != jobs.Waiting {
			return 0, true
		}
		runNumber = max(runNumber, tasks[i].Run+1)
	}
	var workers []*packing.Worker
	atOnce := request.Step.Size.Times(int64(len(tasks)))
	last, waitsForQuota := s.placeWithinQuota(e, atOnce, func() *packing.Worker {
		workers = s.placeAll(request, len(tasks))
		return workers[len(tasks)-1]
	})
	if waitsForQuota {
		s.recordQuotaWait(e, tasks, request, atOnce, last != nil)
		return 0, true
	}
	if last == nil {
		s.recordShortage(e, o, step, request, now)
		return 0, true
	}
	for i, w := range workers {
		s.bind(e, jobs.TaskID{Job: e.job.Spec.ID, Occurrence: o.Number, Step: step, Index: i}, w, runNumber, request.StepName)
	}
	return len(tasks), false
}

// placeAll returns workers for n tasks of a request at the same time; those after the last task that can be placed are nil.
// The caller holds mu.
func (s *Shard) placeAll(request *packing.Request, n int) []*packing.Worker {
	workers := make([]*packing.Worker, n)
	placed := 0
	for placed < n {
		w := s.fleet.Place(request)
		if w == nil {
			break
		}
		s.fleet.Reserve(w.ID, request.Step, request.StepName)
		workers[placed] = w
		placed++
	}
	for _, w := range workers[:placed] {
		s.fleet.Release(w.ID, request.Step, request.StepName)
	}
	return workers
}

// bind reserves capacity for a task's next run and starts the run once the binding is stored. The caller holds mu.
func (s *Shard) bind(e *jobEntry, id jobs.TaskID, w *packing.Worker, number int64, stepName string) {
	if err := e.job.Bind(id, w.ID, number); err != nil {
		s.log.Error().Err(err).Msg("binding a task failed")
		return
	}
	step := &e.job.Spec.Steps[id.Step]
	r := &run{id: id, name: id.String(), number: number, workerID: w.ID, step: step, stepName: stepName,
		stage: committing, boundAt: s.deps.Now(), progressAt: s.deps.Now(), percent: -1, pace: 100,
		checkpoint: e.job.Task(id).Checkpoint}
	s.addRun(r)
	s.placements = append(s.placements, strconv.Itoa(id.Step)+"."+strconv.Itoa(id.Index)+"@"+w.ID)
	s.markDirty(e)
	s.whenStored(func() { s.start(r) })
}
