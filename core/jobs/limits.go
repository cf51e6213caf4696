package jobs

import (
	"math"

	"github.com/pkg/errors"
)

// Limits of a job. They bound the size of a stored record and of a plan, and keep sums over all jobs of a shard within
// an int64.
const (
	MaxSteps     = 64
	MaxTasks     = 4000
	MaxSpecBytes = 4000
	// MaxNameBytes limits identifiers: of jobs, labels, racks and images.
	MaxNameBytes = 256

	// MaxMilliCPU, MaxMemoryMB and MaxAccelerators limit the size of one task.
	MaxMilliCPU     = 1_000_000_000
	MaxMemoryMB     = 1_000_000_000
	MaxAccelerators = 1_000_000

	// MaxDurationMs limits estimates, intervals and objectives: 365 days.
	MaxDurationMs = 365 * 24 * 3600 * 1000
	// MaxTimeMs limits times since 1970: the end of the year 9999.
	MaxTimeMs = 253_402_300_799_999

	MaxRepeat   = 1_000_000
	MaxStretch  = 1000
	MaxAttempts = 1_000_000
	// MaxPriority is the least urgent priority.
	MaxPriority = 1_000_000
)

// Limits of the occurrences of a scheduled job that run at the same time. Further ones that are due wait for the end of
// earlier ones.
const (
	maxOpenOccurrences = 64
	maxOpenTasks       = MaxTasks
)

// checkRange returns an error that names the field, unless a value lies between two limits, both included.
func checkRange(field string, value, least, most int64) error {
	if value < least || value > most {
		return errors.Errorf("%s is %d, allowed are %d to %d", field, value, least, most)
	}
	return nil
}

func checkName(field, value string) error {
	if len(value) > MaxNameBytes {
		return errors.Errorf("%s has %d bytes, at most %d are allowed", field, len(value), MaxNameBytes)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Validate returns an error that names the field, the value and what is allowed if the job cannot be run. It applies to
// callers' jobs and to stored records, which another build may have written.
func (s *Spec) Validate() error {
	if len(s.Payload) > MaxSpecBytes {
		return errors.Errorf("spec has %d bytes, at most %d are allowed", len(s.Payload), MaxSpecBytes)
	}
	if math.IsNaN(s.Stretch) || s.Stretch < 0 || s.Stretch > MaxStretch {
		return errors.Errorf("stretch is %v, allowed are 0 to %d", s.Stretch, MaxStretch)
	}
	if err := firstError(
		checkName("id", s.ID),
		checkRange("number of steps", int64(len(s.Steps)), 1, MaxSteps),
		checkRange("priority", int64(s.Priority), 0, MaxPriority),
		checkRange("max_attempts", int64(s.MaxAttempts), 0, MaxAttempts),
		checkRange("target_duration_ms", s.TargetMs, 0, MaxDurationMs),
		checkRange("time of acceptance", s.AcceptedMs, 0, MaxTimeMs),
		checkRange("repeat_count", int64(s.Repeat), 0, MaxRepeat),
		checkRange("first_run_ms", s.FirstRunMs, 0, MaxTimeMs),
		checkRange("interval_ms", s.IntervalMs, 0, MaxDurationMs),
	); err != nil {
		return err
	}
	total := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return errors.WithMessagef(err, "step %d", i)
		}
		total += s.Steps[i].Count // at most MaxSteps times MaxTasks
	}
	return checkRange("number of tasks in all steps", int64(total), 1, MaxTasks)
}

// validate checks the step with an index in its job.
func (st *Step) validate(index int) error {
	if len(st.After) > MaxSteps {
		return errors.Errorf("after has %d entries, at most %d are allowed", len(st.After), MaxSteps)
	}
	for _, a := range st.After {
		if a < 0 || a >= index {
			return errors.Errorf("after names step %d, which is not an earlier one", a)
		}
	}
	return firstError(
		checkRange("count", int64(st.Count), 1, MaxTasks),
		checkRange("cpu", st.Size.MilliCPU, 0, MaxMilliCPU),
		checkRange("mem_mb", st.Size.MemoryMB, 0, MaxMemoryMB),
		checkRange("gpu", st.Size.Accelerators, 0, MaxAccelerators),
		checkRange("slots", st.Size.Slots, 0, 0),
		checkRange("connections", st.Size.Connections, 0, 0),
		checkRange("estimate_ms", st.EstimateMs, 0, MaxDurationMs),
		checkRange("target_ms", st.TailTargetMs, 0, MaxDurationMs),
		checkRange("limit of tasks on one worker", int64(st.MaxPerWorker), 0, math.MaxInt32),
		checkRange("may_miss", int64(st.MayMiss), 0, math.MaxInt32),
		checkName("required_label", st.RequiredLabel),
		checkName("data_rack", st.DataRack),
		checkName("image", st.Image),
	)
}

// Validate returns an error if stored progress does not belong to a job. Nothing can be concluded from it then, neither
// what runs nor what is done.
func (p *Progress) Validate(s *Spec) error {
	if p.Outcome > Moved {
		return errors.Errorf("outcome is %d, at most %d is known", p.Outcome, Moved)
	}
	if p.MovedTo < 0 {
		return errors.Errorf("job moved to shard %d", p.MovedTo)
	}
	if err := firstError(
		checkRange("end", p.EndedMs, 0, MaxTimeMs),
		checkRange("number of the next occurrence", int64(p.Next), 0, int64(s.Occurrences())),
	); err != nil {
		return err
	}
	if len(p.Unreported) > maxUnreported {
		return errors.Errorf("%d unreported runs, at most %d are kept", len(p.Unreported), maxUnreported)
	}
	if most := len(s.Steps) * maxOpenOccurrences; len(p.FailedGangRuns) > most {
		return errors.Errorf("%d failed runs of gangs, at most %d are kept", len(p.FailedGangRuns), most)
	}
	for _, o := range p.Occurrences {
		if o == nil {
			return errors.New("an occurrence is missing")
		}
		if err := o.validate(s); err != nil {
			return errors.WithMessagef(err, "occurrence %d", o.Number)
		}
	}
	return nil
}

func (o *Occurrence) validate(s *Spec) error {
	if err := firstError(
		checkRange("number", int64(o.Number), 0, int64(s.Occurrences()-1)),
		checkRange("number of steps", int64(len(o.Steps)), int64(len(s.Steps)), int64(len(s.Steps))),
	); err != nil {
		return err
	}
	for i, tasks := range o.Steps {
		if len(tasks) != s.Steps[i].Count {
			return errors.Errorf("step %d has %d tasks, the job has %d", i, len(tasks), s.Steps[i].Count)
		}
		for k := range tasks {
			if tasks[k].Phase > Done || tasks[k].Run < 0 || tasks[k].Failures < 0 {
				return errors.Errorf("task %d.%d has phase %d, run %d and %d failures", i, k, tasks[k].Phase, tasks[k].Run,
					tasks[k].Failures)
			}
		}
	}
	return nil
}
