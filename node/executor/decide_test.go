package executor

import (
	"testing"

	"github.com/matryer/is"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/worker"
)

const (
	thisWorker = "w"
	boundEpoch = 3
)

// taskState prepares a task that is bound to thisWorker under boundEpoch.
type taskState struct {
	name string
	set  func(t *zone.Task)
}

var taskStates = []taskState{
	{"bound", func(*zone.Task) {}},
	{"stopping", func(t *zone.Task) { t.Stopping = "guard" }},
	{"cancelled", func(t *zone.Task) { t.Job.Cancelled = true }},
	{"parked", func(t *zone.Task) { t.Job.Parked = "fails everywhere" }},
	{"replica", func(t *zone.Task) { t.Job.Spec.Service = "s" }},
	{"serving", func(t *zone.Task) { t.Job.Spec.Service, t.Address = "s", "127.0.0.1:1" }},
	{"surplus", func(t *zone.Task) { t.Job.Spec.Service, t.Job.Spec.Tasks = "s", 0 }},
	{"pending", func(t *zone.Task) { t.State, t.Worker = zone.TaskPending, "" }},
	{"ended", func(t *zone.Task) { t.State = zone.TaskEnded }},
	{"released", func(t *zone.Task) { t.State = zone.TaskReleased }},
	{"elsewhere", func(t *zone.Task) { t.Worker = "other" }},
	{"rebound", func(t *zone.Task) { t.Epoch++ }},
	{"forgotten", nil},
}

// decide returns the actions for one task whose run under boundEpoch is reported in the given state, or not at all if
// that is empty.
func decide(state taskState, reported worker.RunState) []Action {
	w := &zone.Worker{Info: record.WorkerInfo{ID: thisWorker}, Tasks: map[record.TaskID]*zone.Task{}}
	var task *zone.Task
	if state.set != nil {
		job := &zone.Job{Spec: record.JobSpec{ID: "j", Tasks: 1}}
		task = &zone.Task{Job: job, State: zone.TaskBound, Worker: thisWorker, Epoch: boundEpoch}
		state.set(task)
		if task.State == zone.TaskBound && task.Worker == thisWorker {
			w.Tasks[task.ID()] = task
		}
	}
	report := worker.Report{Worker: thisWorker}
	if reported != "" {
		report.Runs = []worker.RunStatus{{
			RunKey: worker.RunKey{Job: "j", Epoch: boundEpoch}, State: reported, Address: "127.0.0.1:1",
		}}
	}
	return Decide(w, func(record.TaskID) *zone.Task { return task }, report)
}

// Guards against a run that is never started, stopped, recorded or acknowledged, against starting a run that should not
// run, and against recording an end for another run of the task.
func TestDecideEachReportAndState(t *testing.T) {
	const none = ActionKind(0)
	// The columns are no report of the run, running, ended and stopped.
	reports := []worker.RunState{"", worker.RunRunning, worker.RunEnded, worker.RunStopped}
	want := map[string][4]ActionKind{
		"bound":     {ActStart, none, ActEnd, ActEvict},
		"stopping":  {ActStop, ActStop, ActEnd, ActEvict},
		"cancelled": {ActStop, ActStop, ActEnd, ActEvict},
		"parked":    {ActStop, none, ActEnd, ActEvict}, // running tasks of a parked job run to their end
		"replica":   {ActStart, ActStarted, ActEnd, ActEvict},
		"serving":   {ActStart, none, ActEnd, ActEvict},
		"surplus":   {ActStop, ActStop, ActEnd, ActEvict},
		"pending":   {none, ActStop, ActAck, ActAck},
		"ended":     {none, ActStop, ActAck, ActAck},
		"released":  {none, ActStop, ActAck, ActAck},
		"elsewhere": {none, ActStop, ActAck, ActAck},
		"rebound":   {ActStart, ActStop, ActAck, ActAck},
		"forgotten": {none, ActStop, ActAck, ActAck},
	}
	for _, state := range taskStates {
		for i, reported := range reports {
			t.Run(state.name+"/"+string(reported), func(t *testing.T) {
				is := is.New(t)
				got := none
				for _, a := range decide(state, reported) {
					if state.name == "rebound" && reported != "" && a.Kind == ActStart {
						is.Equal(a.Key.Epoch, int64(boundEpoch+1)) // the new run, next to the report of the old one
						continue
					}
					is.Equal(got, none) // one action for one run
					got = a.Kind
					is.Equal(a.Key.Job, "j")
				}
				is.Equal(got, want[state.name][i])
			})
		}
	}
}

// Guards against a start that the worker refuses because the capacity of an ended or stopped run is not free yet, and
// against an order that depends on map iteration.
func TestDecideOrder(t *testing.T) {
	is := is.New(t)
	job := &zone.Job{Spec: record.JobSpec{ID: "j", Class: "c", Tasks: 9}}
	w := &zone.Worker{Info: record.WorkerInfo{ID: thisWorker}, Tasks: map[record.TaskID]*zone.Task{}}
	for i := range 6 {
		task := &zone.Task{Job: job, Index: i, State: zone.TaskBound, Worker: thisWorker, Epoch: 1, Checkpoint: "cp"}
		w.Tasks[task.ID()] = task
	}
	w.Tasks[record.TaskID{Job: "j", Index: 4}].Stopping = "guard"
	report := worker.Report{Runs: []worker.RunStatus{
		{RunKey: worker.RunKey{Job: "old", Epoch: 2}, State: worker.RunEnded},
		{RunKey: worker.RunKey{Job: "j", Index: 5, Epoch: 1}, State: worker.RunEnded},
		{RunKey: worker.RunKey{Job: "old", Epoch: 1}, State: worker.RunRunning},
	}}
	lookup := func(id record.TaskID) *zone.Task { return w.Tasks[id] }
	type step struct {
		kind ActionKind
		key  worker.RunKey
	}
	for range 20 {
		var got []step
		for _, a := range Decide(w, lookup, report) {
			got = append(got, step{a.Kind, a.Key})
			if a.Kind == ActStart {
				is.Equal(a.Start, worker.StartRequest{RunKey: a.Key, Class: "c", Checkpoint: "cp"})
			}
		}
		is.Equal(got, []step{
			{ActStop, worker.RunKey{Job: "j", Index: 4, Epoch: 1}},
			{ActEnd, worker.RunKey{Job: "j", Index: 5, Epoch: 1}},
			{ActStop, worker.RunKey{Job: "old", Epoch: 1}},
			{ActAck, worker.RunKey{Job: "old", Epoch: 2}},
			{ActStart, worker.RunKey{Job: "j", Index: 0, Epoch: 1}},
			{ActStart, worker.RunKey{Job: "j", Index: 1, Epoch: 1}},
			{ActStart, worker.RunKey{Job: "j", Index: 2, Epoch: 1}},
			{ActStart, worker.RunKey{Job: "j", Index: 3, Epoch: 1}},
		})
	}
}
