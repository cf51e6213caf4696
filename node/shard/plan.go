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
	// planRest times the length of a plan passes before the next one, so that orders and reports are not held up.
	planRest     = 3
	planRestMost = 150 * time.Millisecond
)

// planLoop binds waiting tasks whenever something changed.
func (s *Shard) planLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.planSignal:
		}
		ctxtime.Sleep(s.ctx, planPause)
		if !s.auth.MayOrder() {
			continue
		}
		begun := s.env.Now()
		s.mu.Lock()
		s.plan(begun)
		s.mu.Unlock()
		took := s.env.Now() - begun
		s.env.Counters.Plan.Record(took)
		ctxtime.Sleep(s.ctx, min(planRest*took, planRestMost))
	}
}

// plan binds as many waiting tasks as there is room for. The caller holds mu.
func (s *Shard) plan(now time.Duration) {
	config := s.env.Config()
	if config == nil {
		return
	}
	var waiting []*entry
	for _, e := range s.jobs {
		if e.open && e.job.Outcome == jobs.Unfinished {
			waiting = append(waiting, e)
		}
	}
	s.fleet.BeginPass()
	defer s.fleet.EndPass()
	wall := s.env.Wall().UnixMilli()
	for _, e := range waiting {
		e.prospect = prospectOf(e, wall)
	}
	slices.SortFunc(waiting, compareUrgency)
	s.noteDemand(waiting, now)
	for _, e := range waiting {
		s.planJob(e, config, now)
	}
	s.planRounds(waiting, config, now)
}

// planRounds goes on with jobs of new lasting tasks, which get one task each a round: where room is scarce, each of them
// has some at work before others have all.
func (s *Shard) planRounds(waiting []*entry, config *jobqueue.Config, now time.Duration) {
	for bound := 1; bound > 0; {
		bound = 0
		for _, e := range waiting {
			if e.lasting && e.open {
				bound += s.planJob(e, config, now)
			}
		}
	}
}

// prospect tells what a job can still reach.
type prospect uint8

const (
	inTime prospect = iota
	// late jobs miss their objective but are still of use.
	late
	// veryLate jobs are of use to hardly anybody; they run when there is room.
	veryLate
)

// lateFactor is how many objectives after its acceptance a job is of use.
const lateFactor = 3

func prospectOf(e *entry, wallMs int64) prospect {
	spec := e.job.Spec
	if spec.Repeat > 0 || e.lasting {
		return inTime
	}
	end := wallMs + e.job.RemainingMs()
	switch {
	case end <= e.dueMs:
		return inTime
	case end <= spec.AcceptedMs+lateFactor*(e.dueMs-spec.AcceptedMs):
		return late
	}
	return veryLate
}

// compareUrgency orders jobs by priority, by what they can still reach, and by the time of their objective. Under
// overload, the oldest first would make all of them late.
func compareUrgency(a, b *entry) int {
	if d := a.job.Spec.Priority - b.job.Spec.Priority; d != 0 {
		return d
	}
	if a.prospect != b.prospect {
		return int(a.prospect) - int(b.prospect)
	}
	if a.dueMs != b.dueMs {
		return int(min(max(a.dueMs-b.dueMs, -1), 1))
	}
	if a.job.Spec.ID < b.job.Spec.ID {
		return -1
	}
	return 1
}

// planJob binds the waiting tasks of a job, of new lasting ones the first, and returns how many. The caller holds mu.
func (s *Shard) planJob(e *entry, config *jobqueue.Config, now time.Duration) int {
	left, bound := false, 0
	s.bound = s.bound[:0]
	for _, o := range e.job.Occurrences {
		for step := range o.Steps {
			if !e.job.Ready(o, step) {
				continue
			}
			n, more := s.planStep(e, o, step, now)
			bound += n
			left = left || more
		}
	}
	e.open = left
	if bound > 0 {
		s.log.Info().Str("job", e.job.Spec.ID).Int("tasks", bound).Strs("on", s.bound).Bool("more", left).
			Int64("age_ms", s.env.Wall().UnixMilli()-e.job.Spec.AcceptedMs).Int64("config", config.Version).Msg("tasks bound")
		s.touch(e)
	}
	return bound
}

// request asks for a place of a task by the newest configuration of its queue. The caller holds mu.
func (s *Shard) request(e *entry, id jobs.TaskID) packing.Request {
	r := packing.Request{Step: &e.job.Spec.Steps[id.Step], StepName: id.StepName(), Service: e.job.Spec.Service}
	if q := s.queueOf(e); q != nil {
		r.Service = q.Service
		if len(q.Regions) > 0 {
			r.Allowed = func(w *packing.Worker) bool { return slices.Contains(q.Regions, s.env.Region(w.Zone)) }
		}
	}
	return r
}

// planStep binds the waiting tasks of a step and reports how many and whether some still wait.
func (s *Shard) planStep(e *entry, o *jobs.Occurrence, step int, now time.Duration) (int, bool) {
	request := s.request(e, jobs.TaskID{Job: e.job.Spec.ID, Occurrence: o.Number, Step: step})
	queue := s.queueOf(e)
	if queue == nil || queue.Advice == nil {
		return s.placeStep(e, o, step, &request, now)
	}
	open := request // any worker, to ask about
	s.advised(&request, now)
	bound, left := s.placeStep(e, o, step, &request, now)
	if left {
		s.seekAdvice(queue, &open, now)
	}
	return bound, left
}

// queueOf returns the job's queue in the newest configuration, or nil.
func (s *Shard) queueOf(e *entry) *jobqueue.Queue {
	if config := s.env.Config(); config != nil {
		return config.Queue(e.job.Spec.Queue)
	}
	return nil
}

// placeStep binds the waiting tasks of a step to workers that the request allows.
func (s *Shard) placeStep(e *entry, o *jobs.Occurrence, step int, request *packing.Request, now time.Duration) (int, bool) {
	spec := &e.job.Spec.Steps[step]
	if spec.Gang {
		return s.planGang(e, o, step, request)
	}
	request.Urgent = s.urgent(e, request.Service)
	bound, left := 0, false
	for i := range o.Steps[step] {
		if o.Steps[step][i].Phase != jobs.Waiting {
			continue
		}
		id := jobs.TaskID{Job: e.job.Spec.ID, Occurrence: o.Number, Step: step, Index: i}
		if e.retryAt[id] > now {
			left = true
			continue
		}
		if spec.LongRunning && o.Steps[step][i].Run == 0 && !s.sparesRoom(e, request.Service, spec) {
			return bound, true
		}
		request.Avoid = e.avoid[id]
		w := s.fleet.Place(request)
		if w == nil {
			if spec.LongRunning && o.Steps[step][i].Run > 0 {
				s.fleet.Hold(request)
			}
			return bound, true
		}
		isNew := o.Steps[step][i].Run == 0
		s.bind(e, id, w, o.Steps[step][i].Run+1, request.StepName)
		bound++
		if spec.LongRunning && isNew {
			return bound, true
		}
	}
	return bound, left
}

// Bounds of the wait of filling tasks.
const (
	// urgentAfterMs is the age of a job from which its filling tasks no longer wait for workers on which they disturb
	// nobody. Their pace is limited there.
	urgentAfterMs = 60_000
	// idleUrgentAfterMs is that age while most of the service's room is free. Callers see no reason to wait then.
	idleUrgentAfterMs = 1_500
	// idlePercent of the room is free while a service counts as idle.
	idlePercent = 45
)

// urgent reports whether the filling tasks of a job take any place. The caller holds mu.
func (s *Shard) urgent(e *entry, service string) bool {
	age := s.env.Wall().UnixMilli() - e.job.Spec.AcceptedMs
	if age > urgentAfterMs {
		return true
	}
	room := s.fleet.Room(service)
	return age > idleUrgentAfterMs && room.Free*100 > room.Size*idlePercent
}

// planGang binds all members of a gang or none.
func (s *Shard) planGang(e *entry, o *jobs.Occurrence, step int, request *packing.Request) (int, bool) {
	tasks := o.Steps[step]
	next := int64(0)
	for i := range tasks {
		if tasks[i].Phase == jobs.Done {
			return 0, false
		}
		if tasks[i].Phase != jobs.Waiting {
			return 0, true
		}
		next = max(next, tasks[i].Run+1)
	}
	places := make([]*packing.Worker, 0, len(tasks))
	for range tasks {
		w := s.fleet.Place(request)
		if w == nil {
			break
		}
		s.fleet.Reserve(w.ID, request.Step, request.StepName)
		places = append(places, w)
	}
	for _, w := range places {
		s.fleet.Release(w.ID, request.Step, request.StepName)
	}
	if len(places) < len(tasks) {
		return 0, true
	}
	for i, w := range places {
		s.bind(e, jobs.TaskID{Job: e.job.Spec.ID, Occurrence: o.Number, Step: step, Index: i}, w, next, request.StepName)
	}
	return len(tasks), false
}

// bind reserves room for a task's next run and starts it once the binding is stored. The caller holds mu.
func (s *Shard) bind(e *entry, id jobs.TaskID, w *packing.Worker, number int64, stepName string) {
	if err := e.job.Bind(id, w.ID, number); err != nil {
		s.log.Error().Err(err).Msg("binding a task failed")
		return
	}
	step := &e.job.Spec.Steps[id.Step]
	r := &run{id: id, name: id.String(), number: number, workerID: w.ID, step: step, stepName: stepName,
		stage: committing, boundAt: s.env.Now(), progressAt: s.env.Now(), percent: -1, pace: 100,
		checkpoint: e.job.Task(id).Checkpoint}
	s.addRun(r)
	s.bound = append(s.bound, strconv.Itoa(id.Step)+"."+strconv.Itoa(id.Index)+"@"+w.ID)
	s.touch(e)
	s.whenStored(func() { s.start(r) })
}
