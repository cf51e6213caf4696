package jobs

import (
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// hugeCount makes the sum of two counts negative.
const hugeCount = 4611686018427387905

// Guards against a job that ends its owner: counts whose sum overflows, and figures that overflow in sums and times.
func TestValidateNamesFieldAndValue(t *testing.T) {
	for name, test := range map[string]struct {
		change func(s *Spec)
		want   string
	}{
		"counts overflow": {func(s *Spec) { s.Steps = []Step{{Count: hugeCount}, {Count: hugeCount}} }, "step 0: count is 4611686018427387905, allowed are 1 to 4000"},
		"too many tasks":  {func(s *Spec) { s.Steps = []Step{{Count: MaxTasks}, {Count: 1}} }, "number of tasks in all steps is 4001"},
		"no steps":        {func(s *Spec) { s.Steps = nil }, "number of steps is 0"},
		"cpu":             {func(s *Spec) { s.Steps[0].Size.MilliCPU = math.MaxInt64 }, "cpu is 9223372036854775807"},
		"memory":          {func(s *Spec) { s.Steps[0].Size.MemoryMB = -1 }, "mem_mb is -1"},
		"estimate":        {func(s *Spec) { s.Steps[0].EstimateMs = math.MaxInt64 }, "estimate_ms is"},
		"after":           {func(s *Spec) { s.Steps[0].After = make([]int, 100_000) }, "after has 100000 entries"},
		"after itself":    {func(s *Spec) { s.Steps[0].After = []int{0} }, "after names step 0"},
		"per worker":      {func(s *Spec) { s.Steps[0].MaxPerWorker = -1 }, "limit of tasks on one worker is -1"},
		"image":           {func(s *Spec) { s.Steps[0].Image = strings.Repeat("x", 257) }, "image has 257 bytes"},
		"repeat":          {func(s *Spec) { s.Repeat = 3_000_000 }, "repeat_count is 3000000, allowed are 0 to 1000000"},
		"interval":        {func(s *Spec) { s.Repeat, s.IntervalMs = 2, -1 }, "interval_ms is -1"},
		"first run":       {func(s *Spec) { s.Repeat, s.FirstRunMs = 2, math.MaxInt64 }, "first_run_ms is"},
		"stretch":         {func(s *Spec) { s.Stretch = math.NaN() }, "stretch is NaN"},
		"priority":        {func(s *Spec) { s.Priority = math.MinInt64 }, "priority is"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSpec(Step{Count: 1})
			is.NoErr(s.Validate())
			test.change(s)
			err := s.Validate()
			is.True(err != nil)
			if !strings.Contains(err.Error(), test.want) {
				t.Errorf("%q does not contain %q", err, test.want)
			}
		})
	}
}

// Guards against a scheduled job that creates all its occurrences at once, and against one that never completes because
// only some are created at a time.
func TestDueOccurrencesAreCreatedInPortions(t *testing.T) {
	is := is.New(t)
	s := newSpec(Step{Count: 1000})
	s.Repeat, s.FirstRunMs = 1000, 1
	j := New(s)
	is.NoErr(s.Validate())
	is.True(j.CreateDue(math.MaxInt64))
	is.Equal(len(j.Occurrences), maxOpenTasks/1000)
	is.True(!j.CreateDue(math.MaxInt64))

	s = newSpec(Step{Count: 1})
	s.Repeat, s.FirstRunMs = 200, 1
	j = New(s)
	for run := 0; j.Outcome == Unfinished; run++ {
		j.CreateDue(math.MaxInt64)
		is.True(len(j.Occurrences) <= maxOpenOccurrences)
		id := taskID(run, 0, 0)
		is.NoErr(j.Bind(id, "w", 1))
		is.True(j.End(id, 1, EndDone, "", 0))
	}
	is.Equal(j.Next, 200)
	is.Equal(j.State(), StateCompleted)
}

// Guards against work that is done again because its end was reported after the run had been settled as lost: by a
// worker that did not respond, or to the next owner.
func TestLateEnd(t *testing.T) {
	is := is.New(t)
	task := taskID(0, 0, 0)
	j := newBegunJob(newSpec(Step{Count: 1}))
	is.NoErr(j.Bind(task, "w", 1))
	is.True(j.End(task, 1, EndLost, "", 0))
	is.True(!j.LateEnd(task, 2, EndDone, 0)) // no such run
	is.True(j.LateEnd(task, 1, EndDone, 0))
	is.Equal(j.State(), StateCompleted)

	// A newer run is bound.
	j = newBegunJob(newSpec(Step{Count: 2}))
	is.NoErr(j.Bind(task, "w", 1))
	is.True(j.End(task, 1, EndLost, "", 0))
	is.NoErr(j.Bind(task, "v", 2))
	is.True(j.LateEnd(task, 1, EndDone, 0))
	is.True(!j.End(task, 2, EndFailed, "", 0))
	is.Equal(j.Task(task).Phase, Done)

	// A failure counts once, also when it is reported to two owners.
	j = newBegunJob(newSpec(Step{Count: 1}))
	is.NoErr(j.Bind(task, "w", 1))
	is.True(j.End(task, 1, EndLost, "", 0))
	is.True(j.LateEnd(task, 1, EndFailed, 0))
	is.True(!j.LateEnd(task, 1, EndFailed, 0))
	is.Equal(j.Task(task).Failures, 1)
	is.NoErr(j.Bind(task, "w", 2))
	is.True(j.End(task, 2, EndFailed, "", 0))
	is.True(!j.LateEnd(task, 2, EndFailed, 0))
	is.Equal(j.State(), StateFailed)

	// The tasks of a gang are done together; a gang that runs again is left alone.
	j = newBegunJob(newSpec(Step{Count: 2, Gang: true}))
	for i := range 2 {
		is.NoErr(j.Bind(taskID(0, 0, i), "w", 1))
	}
	for i := range 2 {
		is.True(j.End(taskID(0, 0, i), 1, EndLost, "", 0))
	}
	is.True(j.LateEnd(taskID(0, 0, 1), 1, EndDone, 0))
	is.Equal(j.State(), StateCompleted)
}

// Guards against stored progress that ends an owner because it does not belong to its job.
func TestProgressValidate(t *testing.T) {
	s := newSpec(Step{Count: 2}, Step{Count: 1})
	valid := func() *Progress {
		return &Progress{Next: 1, Occurrences: []*Occurrence{{Steps: [][]Task{make([]Task, 2), make([]Task, 1)}}}}
	}
	is.New(t).NoErr(valid().Validate(s))
	for name, change := range map[string]func(p *Progress){
		"outcome":            func(p *Progress) { p.Outcome = 9 },
		"next":               func(p *Progress) { p.Next = 2 },
		"missing occurrence": func(p *Progress) { p.Occurrences = []*Occurrence{nil} },
		"occurrence":         func(p *Progress) { p.Occurrences[0].Number = -1 },
		"missing step":       func(p *Progress) { p.Occurrences[0].Steps = p.Occurrences[0].Steps[:1] },
		"more steps":         func(p *Progress) { p.Occurrences[0].Steps = append(p.Occurrences[0].Steps, make([]Task, 1)) },
		"missing task":       func(p *Progress) { p.Occurrences[0].Steps[0] = make([]Task, 1) },
		"phase":              func(p *Progress) { p.Occurrences[0].Steps[0][0].Phase = 7 },
		"run":                func(p *Progress) { p.Occurrences[0].Steps[0][0].Run = -1 },
	} {
		p := valid()
		change(p)
		if p.Validate(s) == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}

// FuzzStoredRecords checks that no stored job or progress that passes the checks ends its owner.
func FuzzStoredRecords(f *testing.F) {
	for _, s := range []*Spec{newSpec(Step{Count: 2, Gang: true}), newSpec(Step{Count: 3}, Step{Count: 1, After: []int{0}}),
		{ID: "j", Repeat: MaxRepeat, Steps: []Step{{Count: MaxTasks}}}, {ID: "j", Steps: []Step{{Count: hugeCount}, {Count: hugeCount}}}} {
		j := New(s)
		if s.Validate() == nil {
			j.CreateDue(math.MaxInt64)
		}
		spec, err := cbor.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		progress, err := cbor.Marshal(&j.Progress)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(spec, progress)
	}
	f.Add([]byte{0x80}, []byte{0xa1, 4, 0x81, 0xf6}) // an empty array; an occurrence of null
	f.Fuzz(func(t *testing.T, specData, progressData []byte) {
		s, p := &Spec{}, &Progress{}
		if cbor.Unmarshal(specData, s) != nil || s.Validate() != nil {
			return
		}
		j := New(s)
		if cbor.Unmarshal(progressData, p) == nil && p.Validate(s) == nil {
			j.Progress = *p
		}
		j.CreateDue(MaxTimeMs)
		if s.ChainMs() < 0 || j.RemainingMs() < 0 {
			t.Error("the estimated time is negative")
		}
		for _, o := range j.Occurrences {
			for step := range o.Steps {
				j.Ready(o, step)
			}
		}
		j.LateEnd(TaskID{}, 1, EndDone, 0)
		j.Cancel(MaxTimeMs)
		if _, err := cbor.Marshal(&j.Progress); err != nil {
			t.Error(err)
		}
	})
}
