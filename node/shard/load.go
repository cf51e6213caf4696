package shard

import (
	"context"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/boundary"
	"waxwingslip.example/node/ledger"
)

// load fences off appends of the previous owner and reads all jobs. It reports false if the shard is lost.
func (s *Shard) load() bool {
	startedAt := s.deps.Now()
	if err := s.writer.Append(s.ctx, nil); err != nil {
		s.log.Warn().Err(err).Msg("raising the writer epoch of the progress topic failed")
		return false
	}
	stored := progressReader{}
	progress := ledger.NewFollower(s.deps.Store, keyedlog.Partition{Topic: ProgressTopic, Number: s.number},
		func(records []keyedlog.Record, _ bool) { s.decodeProgress(records, stored) })
	if !s.retry("load progress", progress.Load) || !s.retry("load jobs", s.jobsFollower.Load) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range stored {
		s.restoreProgress(id, p)
	}
	s.applyCancels()
	s.createDueOccurrences()
	s.announceMoves()
	s.announceJobs()
	s.loaded = true
	s.isLoaded.Store(true)
	s.log.Info().Int("jobs", len(s.jobs)).Int("runs", len(s.runs)).Dur("took", s.deps.Now()-startedAt).Msg("shard loaded")
	return true
}

// restoreProgress gives a job the progress that was stored. The caller holds mu.
func (s *Shard) restoreProgress(id string, p *storedProgress) {
	e := s.jobs[id]
	if e == nil {
		// The job's record is deleted before its progress.
		d := deletedJob{id: id, progressKeys: []string{id}}
		for name := range p.parts {
			d.progressKeys = append(d.progressKeys, partKey(id, name))
		}
		s.deletedJobs = append(s.deletedJobs, d)
		return
	}
	defer func() { e.adoptParts(p) }()
	if e.setAside != "" || !p.hasHead {
		return // parts without a head belong to a change of which nothing took effect
	}
	progress, err := p.complete(e.job.Spec)
	if err != nil {
		// Without its progress, tasks of the job that are running or done would be started again.
		if p.head != nil && p.head.SetAside != "" {
			e.job.Progress = *p.head
			e.storedState = e.job.State()
		}
		s.setAside(e, err)
		return
	}
	e.job.Progress = *progress
	if e.job.InParts {
		e.job.Reconcile(s.deps.WallTime().UnixMilli())
		s.markDirty(e)
	}
	if e.hidden = e.hidden && !e.job.Begun; !e.hidden {
		e.storedState = e.job.State()
	}
	e.mayHaveRestarts = true
	s.forJob("adopt runs", e, func() { s.adoptRuns(e) })
}

// retry repeats a step until it succeeds or the shard is lost. The step limits the time without progress itself: a list of many
// records takes as long as the link needs.
func (s *Shard) retry(step string, f func(context.Context) error) bool {
	var backoff ledger.Backoff
	for s.ctx.Err() == nil {
		err := f(s.ctx)
		if err == nil {
			return true
		}
		var p *boundary.PanicError
		if errors.As(err, &p) {
			s.deps.Counters.Panics.Inc()
			s.log.Error().Err(err).Str("step", step).Str("stack", p.Stack).Msg("unexpected error contained")
			return true // the records that can be handled are loaded
		}
		s.log.Warn().Err(err).Str("step", step).Msg("loading the shard failed, retrying")
		backoff.Sleep(s.ctx)
	}
	return false
}

// decodeProgress decodes the records of ProgressTopic and adds the progress of jobs to into.
func (s *Shard) decodeProgress(records []keyedlog.Record, into progressReader) {
	for _, r := range records {
		if strings.HasPrefix(r.Key, partPrefix) {
			into.addPart(r.Key, r.Value)
			continue
		}
		if r.Value == nil {
			if p := into[r.Key]; p != nil {
				p.hasHead, p.head = false, nil
			}
			continue
		}
		if r.Key == learnedKey {
			s.restoreLearned(r)
			continue
		}
		if strings.HasPrefix(r.Key, movedPrefix) {
			s.decodeMove(r)
			continue
		}
		if strings.HasPrefix(r.Key, settledPrefix) {
			s.decodeSettled(r)
			continue
		}
		p, err := jobs.DecodeProgress(r.Value)
		if err != nil {
			s.log.Error().Err(err).Str("job", r.Key).Int64("offset", r.Offset).Msg("stored progress of job cannot be decoded")
		}
		into.of(r.Key).hasHead, into.of(r.Key).head = true, p
	}
}

// adoptRuns registers the runs of a job that the previous owner may have started. The caller holds mu.
func (s *Shard) adoptRuns(e *jobEntry) {
	e.job.ForEachBound(func(id jobs.TaskID, t *jobs.Task) {
		step := &e.job.Spec.Steps[id.Step]
		r := &run{id: id, name: id.String(), number: t.Run, workerID: t.Worker, step: step, stepName: id.StepName(),
			stage: running, percent: -1, pace: inheritedPace(step), checkpoint: t.Checkpoint,
			boundAt: s.deps.Now(), progressAt: s.deps.Now(), inherited: true}
		s.addRun(r)
	})
}

// inheritedPace returns the pace of a run that the previous owner may have started. Only filling tasks are paced.
func inheritedPace(step *jobs.Step) int {
	if step.Fills {
		return unknownPace
	}
	return 100
}

// applyCommands applies the commands of callers.
func (s *Shard) applyCommands(records []keyedlog.Record, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEarlyCancels(records, reset) // first, since pages are sorted by key, not by time
	var cancelled []string              // applied last, for the same reason
	for _, r := range records {
		// Applied before acceptances, for the same reason: progress is needed where the job is accepted.
		if r.Value != nil && strings.HasPrefix(r.Key, arrivedPrefix) {
			if err := s.applyArrived(r); err != nil {
				s.log.Error().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("progress of moved job cannot be used")
			}
		}
	}
	for _, r := range records {
		switch {
		case r.Value == nil || len(r.Key) < len(acceptedPrefix):
		case r.Key[:len(acceptedPrefix)] == acceptedPrefix:
			if err := s.acceptJob(r); err != nil {
				s.log.Error().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("record of accepted job cannot be decoded")
			}
		case r.Key[:len(cancelledPrefix)] == cancelledPrefix:
			cancelled = append(cancelled, r.Key[len(cancelledPrefix):])
		case r.Key[:len(takenPrefix)] == takenPrefix:
			if err := s.applyTaken(r); err != nil {
				s.log.Error().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("record of moved worker cannot be used")
			}
		}
	}
	for _, id := range cancelled {
		if e := s.jobs[id]; e != nil {
			e.cancelRequested = true
			continue
		}
		// A retry may submit the job later; it stays cancelled. Until then callers do not see it: nobody may have submitted
		// it at all.
		s.jobs[id] = &jobEntry{job: cancelledPlaceholder(id, s.deps.WallTime().UnixMilli()), storedState: jobs.StateUnknown,
			cancelRequested: true}
	}
	if s.loaded {
		s.applyCancels()
	}
	signal(s.planSignal)
}

// cancelledPlaceholder returns a stand-in for a job whose cancellation was read, but not its acceptance.
func cancelledPlaceholder(id string, nowMs int64) *jobs.Job {
	j := jobs.New(&jobs.Spec{ID: id})
	j.Cancel(nowMs)
	return j
}

func (s *Shard) acceptJob(r keyedlog.Record) error {
	id := r.Key[len(acceptedPrefix):]
	if e := s.jobs[id]; e != nil {
		switch {
		case e.hidden: // it stays cancelled
		case e.storedState == jobs.StateUnknown:
			e.storedState, e.cancelledFirst = jobs.StateCancelled, true
			nameOwner(e.job.Spec, r.Value)
		default:
			s.keepAccount(e, r.Value)
		}
		return nil
	}
	spec := &jobs.Spec{}
	err := cbor.Unmarshal(r.Value, spec)
	switch {
	case err != nil:
	case spec.ID != id:
		err = errors.Errorf("record of job %s names job %s", id, spec.ID)
	default:
		err = errors.WithMessagef(spec.Validate(), "record of job %s", id)
	}
	if err != nil {
		// Callers go on to see the job, which was accepted.
		e := &jobEntry{job: jobs.New(&jobs.Spec{ID: id, Queue: spec.Queue, Account: spec.Account}), storedState: jobs.StatePending}
		s.jobs[id] = e
		s.setAside(e, err)
		return err
	}
	e := &jobEntry{job: jobs.New(spec), storedState: jobs.StatePending, mayHaveReady: true}
	if s.deps.HomeShard(id) != s.number {
		if err := s.restoreArrived(e); err != nil {
			s.jobs[id] = e
			s.setAside(e, err)
			return err
		}
	}
	e.criticalPathMs, e.longRunning = spec.ChainMs(), spec.LongRunning()
	e.dueMs = spec.AcceptedMs + int64(spec.Stretch*float64(e.criticalPathMs)) + spec.TargetMs
	s.jobs[id] = e
	s.cancelIfEarly(e)
	s.unmetered = append(s.unmetered, e)
	if s.loaded {
		s.forJob("create due occurrences", e, func() { e.job.CreateDue(s.deps.WallTime().UnixMilli()) })
		s.log.Info().Str("job", id).Str("queue", spec.Queue).Int64("offset", r.Offset).
			Int64("age_ms", s.deps.WallTime().UnixMilli()-spec.AcceptedMs).Msg("job read")
	}
	return nil
}

// keepAccount restores the record of a job that another account submitted again under the job's id: the newest record of
// a key is the one that the next owner reads. Records of ended jobs are not restored: they may be deleted at any time, and
// the job would run again. The caller holds mu.
func (s *Shard) keepAccount(e *jobEntry, record []byte) {
	if e.job.Outcome != jobs.Unfinished && e.job.Outcome != jobs.Moved {
		return
	}
	newer := &jobs.Spec{}
	if err := cbor.Unmarshal(record, newer); err != nil || newer.Account == e.job.Spec.Account || len(e.job.Spec.Steps) == 0 {
		return
	}
	id := e.job.Spec.ID
	value, err := cbor.Marshal(e.job.Spec)
	if err != nil {
		s.log.Error().Err(err).Str("job", id).Msg("record of job cannot be restored")
		return
	}
	s.log.Warn().Str("job", id).Str("account", e.job.Spec.Account).Str("submitted_by", newer.Account).
		Msg("another account submitted a job under the id")
	s.runInBackground("restore record", func() { s.appendUntilStored(s.number, AcceptRecord(id, value)) })
}

// nameOwner copies the account and the queue of an accepted job's record, which decide who may see the job. A record that
// cannot be decoded names as much of them as was read.
func nameOwner(to *jobs.Spec, record []byte) {
	spec := &jobs.Spec{}
	// The error is ignored: the job has ended, and nothing else of the record is used.
	_ = cbor.Unmarshal(record, spec)
	to.Account, to.Queue = spec.Account, spec.Queue
}

// applyCancels ends the jobs whose cancellation was read. The caller holds mu.
func (s *Shard) applyCancels() {
	for id, e := range s.jobs {
		if e.job.Outcome == jobs.Moved {
			s.passOnCancel(e)
			continue
		}
		if e.cancelRequested && e.job.Cancel(s.deps.WallTime().UnixMilli()) {
			s.log.Info().Str("job", id).Msg("job cancelled")
			s.markDirty(e)
			s.stopJobRuns(e)
		}
	}
}
