// Package executor applies the zone state to the workers that this daemon owns: it renews leases, starts and stops
// runs, and records their ends.
package executor

import (
	"cmp"
	"slices"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/worker"
)

// ActionKind is the kind of an action on one run.
type ActionKind uint8

// Kinds of actions. Start, Stop and Ack are commands to the worker; the others are records to append.
const (
	ActStart ActionKind = iota + 1
	ActStop
	ActAck
	ActStarted
	ActEnd
	ActEvict
)

// Action is one command or record that brings a run closer to the zone state.
type Action struct {
	Kind ActionKind
	Key  worker.RunKey
	Run  record.Run
	// Start is set for ActStart, except for its Fence. It holds copies, so that it can be used without the lock of
	// the zone state.
	Start  worker.StartRequest
	Status worker.RunStatus
	Reason string
}

// Decide compares the tasks bound to a worker with a report of the worker under the current owner epoch. It returns
// actions in a fixed order, stops and acknowledgements before starts, so that the worker has freed capacity by the time
// it checks the starts.
func Decide(w *zone.Worker, lookup func(record.TaskID) *zone.Task, report worker.Report) []Action {
	reported := make(map[worker.RunKey]worker.RunStatus, len(report.Runs))
	var out []Action
	for _, rs := range report.Runs {
		reported[rs.RunKey] = rs
		if a, ok := decideReported(w, lookup, rs); ok {
			out = append(out, a)
		}
	}
	for _, t := range w.Tasks {
		key := KeyOf(t)
		if _, ok := reported[key]; ok {
			continue
		}
		kind := ActStart
		if t.ShouldStop() || t.Job.Parked != "" {
			// The stop makes the worker refuse a start of this run that may still be in flight.
			kind = ActStop
		}
		out = append(out, Action{Kind: kind, Key: key, Run: t.Run(), Start: startRequest(t), Reason: t.Stopping})
	}
	slices.SortFunc(out, compareActions)
	return out
}

func compareActions(a, b Action) int {
	return cmp.Or(
		cmp.Compare(actionRank(a.Kind), actionRank(b.Kind)),
		cmp.Compare(a.Key.Job, b.Key.Job),
		cmp.Compare(a.Key.Index, b.Key.Index),
		cmp.Compare(a.Key.Epoch, b.Key.Epoch),
	)
}

func actionRank(k ActionKind) int {
	if k == ActStart {
		return 1
	}
	return 0
}

// KeyOf returns the key under which the worker lists the bound run of a task.
func KeyOf(t *zone.Task) worker.RunKey {
	return worker.RunKey{Job: t.Job.Spec.ID, Index: t.Index, Epoch: t.Epoch}
}

func startRequest(t *zone.Task) worker.StartRequest {
	return worker.StartRequest{
		RunKey:     KeyOf(t),
		Class:      t.Job.Spec.Class,
		Service:    t.Job.Spec.Service,
		Size:       t.Size,
		Payload:    t.Job.Spec.Payload,
		Checkpoint: t.Checkpoint,
	}
}

func decideReported(w *zone.Worker, lookup func(record.TaskID) *zone.Task, rs worker.RunStatus) (Action, bool) {
	a := Action{Key: rs.RunKey, Status: rs}
	t := lookup(record.TaskID{Job: rs.Job, Index: rs.Index})
	if t == nil || t.State != zone.TaskBound || t.Worker != w.Info.ID || t.Epoch != rs.Epoch {
		// The log already contains the end of this run, or the bind of a later one.
		a.Kind = ActAck
		if rs.State == worker.RunRunning {
			a.Kind = ActStop
		}
		return a, true
	}
	a.Run, a.Reason = t.Run(), t.Stopping
	switch {
	case rs.State == worker.RunEnded:
		a.Kind = ActEnd
	case rs.State == worker.RunStopped:
		a.Kind = ActEvict
	case t.ShouldStop():
		a.Kind = ActStop
	case t.Job.IsService() && rs.Address != "" && rs.Address != t.Address:
		a.Kind = ActStarted
	default:
		return Action{}, false
	}
	return a, true
}
