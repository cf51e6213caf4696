package shard

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ledger"
)

// loadTimeout limits one attempt to read all records of a topic.
const loadTimeout = 4 * time.Second

// load fences the previous owner's appends and reads all jobs. It reports false when the shard is lost.
func (s *Shard) load() bool {
	begun := s.env.Now()
	if err := s.writer.Append(s.ctx, nil); err != nil {
		s.log.Warn().Err(err).Msg("raising the epoch of the progress topic failed")
		return false
	}
	stored := map[string]*jobs.Progress{}
	progress := ledger.NewFollower(s.env.Store, keyedlog.Partition{Topic: ProgressTopic, Number: s.number},
		func(records []keyedlog.Record, _ bool) { s.decodeProgress(records, stored) })
	if !s.retry("load progress", progress.Load) || !s.retry("load jobs", s.jobsFollower.Load) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range stored {
		e := s.jobs[id]
		if e == nil {
			s.dropped = append(s.dropped, id) // the job's record was dropped first
			continue
		}
		e.job.Progress = *p
		e.shown = e.job.State()
		s.adoptRuns(e)
	}
	s.applyCancels()
	s.createDue()
	s.loaded = true
	s.isLoaded.Store(true)
	s.log.Info().Int("jobs", len(s.jobs)).Int("runs", len(s.runs)).Dur("took", s.env.Now()-begun).Msg("shard loaded")
	return true
}

// retry repeats a step until it succeeds or the shard is lost.
func (s *Shard) retry(step string, f func(context.Context) error) bool {
	var wait ledger.Backoff
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, loadTimeout)
		err := f(ctx)
		cancel()
		if err == nil {
			return true
		}
		s.log.Warn().Err(err).Str("step", step).Msg("loading the shard failed, is repeated")
		wait.Sleep(s.ctx)
	}
	return false
}

func (s *Shard) decodeProgress(records []keyedlog.Record, into map[string]*jobs.Progress) {
	for _, r := range records {
		if r.Value == nil {
			delete(into, r.Key)
			continue
		}
		if r.Key == learnedKey {
			s.restoreLearned(r)
			continue
		}
		p := &jobs.Progress{}
		if err := cbor.Unmarshal(r.Value, p); err != nil {
			s.log.Error().Err(err).Str("job", r.Key).Int64("offset", r.Offset).Msg("progress cannot be read")
			continue
		}
		into[r.Key] = p
	}
}

// adoptRuns notes the runs that the previous owner may have started. The caller holds mu.
func (s *Shard) adoptRuns(e *entry) {
	e.job.Bound(func(id jobs.TaskID, t *jobs.Task) {
		step := &e.job.Spec.Steps[id.Step]
		r := &run{id: id, name: id.String(), number: t.Run, workerID: t.Worker, step: step, stepName: id.StepName(),
			stage: running, percent: -1, pace: adoptedPace(step), checkpoint: t.Checkpoint, boundAt: s.env.Now(), progressAt: s.env.Now()}
		s.addRun(r)
	})
}

// adoptedPace returns the pace of a run that the previous owner may have started. It paced filling tasks only.
func adoptedPace(step *jobs.Step) int {
	if step.Fills {
		return unknownPace
	}
	return 100
}

// applyCommands reads what callers commanded.
func (s *Shard) applyCommands(records []keyedlog.Record, _ bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var cancelled []string // applied last, since pages list them in the order of keys
	for _, r := range records {
		switch {
		case r.Value == nil || len(r.Key) < len(acceptedPrefix):
		case r.Key[:len(acceptedPrefix)] == acceptedPrefix:
			if err := s.accept(r); err != nil {
				s.log.Error().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("job cannot be read")
			}
		case r.Key[:len(cancelledPrefix)] == cancelledPrefix:
			cancelled = append(cancelled, r.Key[len(cancelledPrefix):])
		}
	}
	for _, id := range cancelled {
		if e := s.jobs[id]; e != nil {
			e.cancelled = true
			continue
		}
		// The job may be accepted later by a repeat; it stays cancelled.
		s.jobs[id] = &entry{job: cancelledUnseen(id, s.env.Wall().UnixMilli()), shown: jobs.StateCancelled, cancelled: true}
	}
	if s.loaded {
		s.applyCancels()
	}
	signal(s.planSignal)
}

// cancelledUnseen stands for a job of which only the cancelling was read.
func cancelledUnseen(id string, nowMs int64) *jobs.Job {
	j := jobs.New(&jobs.Spec{ID: id})
	j.Cancel(nowMs)
	return j
}

func (s *Shard) accept(r keyedlog.Record) error {
	id := r.Key[len(acceptedPrefix):]
	if s.jobs[id] != nil {
		return nil // a repeat, or cancelled before it was accepted
	}
	spec := &jobs.Spec{}
	if err := cbor.Unmarshal(r.Value, spec); err != nil {
		return err
	}
	if spec.ID != id {
		return errors.Errorf("record of job %s names job %s", id, spec.ID)
	}
	e := &entry{job: jobs.New(spec), shown: jobs.StatePending, open: true}
	e.chainMs, e.lasting = spec.ChainMs(), spec.LongRunning()
	e.dueMs = spec.AcceptedMs + int64(spec.Stretch*float64(e.chainMs)) + spec.TargetMs
	s.jobs[id] = e
	s.noteSizes(spec)
	if s.loaded {
		e.job.CreateDue(s.env.Wall().UnixMilli())
		s.log.Info().Str("job", id).Str("queue", spec.Queue).Int64("offset", r.Offset).
			Int64("age_ms", s.env.Wall().UnixMilli()-spec.AcceptedMs).Msg("job read")
	}
	return nil
}

// applyCancels ends the jobs whose cancelling was read. The caller holds mu.
func (s *Shard) applyCancels() {
	for id, e := range s.jobs {
		if e.cancelled && e.job.Cancel(s.env.Wall().UnixMilli()) {
			s.log.Info().Str("job", id).Msg("job cancelled")
			s.touch(e)
			s.stopRuns(e)
		}
	}
}
