// Package jobs implements the state machine of submitted jobs: steps of tasks that depend on each other, run under
// numbered attempts, resume from checkpoints and end. It does no I/O and reads no clock.
package jobs

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"waxwingslip.example/core/resource"
)

// Step is a group of identical tasks.
type Step struct {
	Count int             `cbor:"1,keyasint"`
	Size  resource.Vector `cbor:"2,keyasint"`
	// EstimateMs is the caller's rough estimate of one task's run time.
	EstimateMs int64 `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps whose tasks must all be done before a task of this step starts.
	After         []int `cbor:"4,keyasint,omitempty"`
	Checkpointing bool  `cbor:"5,keyasint,omitempty"`
	// Gang tasks start and end together under one run number.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack tasks run slower when they are spread over racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// RequiredLabel must be among the worker's labels; empty requires none.
	RequiredLabel string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack near the data; empty has no preference.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence of the step on one worker; 0 is no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative allows several runs of one task at a time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Fills marks filling (best-effort) tasks, which use processor time that others leave idle. Their CPU is not reserved.
	Fills bool `cbor:"13,keyasint,omitempty"`
	// Image names the program of the tasks; tasks of one image behave alike.
	Image string `cbor:"14,keyasint,omitempty"`
	// TailTargetMs is the tail latency objective of a serving task; 0 is none.
	TailTargetMs int64 `cbor:"15,keyasint,omitempty"`
	// MayMiss is how many tasks of a long-running step the system's own actions may take down at once.
	MayMiss int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the resources that one task of the step reserves on a worker.
func (s *Step) Reserved() resource.Vector {
	r := s.Size
	if s.Fills {
		r.MilliCPU = 0
	}
	return r
}

// Spec is the definition of an accepted job. It never changes.
type Spec struct {
	ID string `cbor:"1,keyasint"`
	// Queue is the route through which the job was submitted.
	Queue   string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	// Payload is passed unchanged from the caller to every task.
	Payload string `cbor:"4,keyasint"`
	Steps   []Step `cbor:"5,keyasint"`
	// Priority 0 is the most urgent.
	Priority    int `cbor:"6,keyasint,omitempty"`
	MaxAttempts int `cbor:"7,keyasint"`
	// Stretch and TargetMs define the run-time objective: Stretch times the longest chain of steps, plus TargetMs.
	Stretch    float64 `cbor:"8,keyasint"`
	TargetMs   int64   `cbor:"9,keyasint"`
	AcceptedMs int64   `cbor:"10,keyasint"`
	// Repeat, FirstRunMs and IntervalMs describe a scheduled job; with Repeat 0 the job runs once, immediately.
	Repeat     int   `cbor:"11,keyasint,omitempty"`
	FirstRunMs int64 `cbor:"12,keyasint,omitempty"`
	IntervalMs int64 `cbor:"13,keyasint,omitempty"`
	// Account is the name of the client account that submitted the job; empty if none did.
	Account string `cbor:"14,keyasint,omitempty"`
}

// Tasks returns the number of tasks of one occurrence.
func (s *Spec) Tasks() int {
	total := 0
	for i := range s.Steps {
		total += s.Steps[i].Count
	}
	return total
}

// LongRunning reports whether the job runs until it is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// ChainMs returns the estimated run time of the longest chain of steps.
func (s *Spec) ChainMs() int64 {
	ends := make([]int64, len(s.Steps))
	longest := int64(0)
	for i := range s.Steps {
		start := int64(0)
		for _, a := range s.Steps[i].After {
			start = max(start, ends[a])
		}
		ends[i] = start + s.Steps[i].EstimateMs
		longest = max(longest, ends[i])
	}
	return longest
}

// DueMs returns the wall-clock time at which an occurrence may start.
func (s *Spec) DueMs(occurrence int) int64 {
	if s.Repeat == 0 {
		return s.AcceptedMs
	}
	return s.FirstRunMs + int64(occurrence)*s.IntervalMs
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// TaskID identifies one task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String formats the task's name, as workers use it.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// StepName formats the name of the task's step in its occurrence.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses a task's name.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, errors.Errorf("task name %q does not have four parts", name)
	}
	t := TaskID{Job: parts[0]}
	for i, p := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, errors.Errorf("task name %q has a part that is negative or not a number", name)
		}
		*p = n
	}
	return t, nil
}
