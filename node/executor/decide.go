// Package executor carries out what the zone state says on the workers that this daemon owns: it renews
// leases, starts and stops runs, and reports their ends.
package executor

import (
	"cmp"
	"slices"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/worker"
)

// ActionKind is what to do about one run.
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

// Action is one step towards the state that the log decided.
type Action struct {
	Kind ActionKind
	Key  worker.RunKey
	Run  record.Run
	// Start is set for ActStart, but for its Fence. It holds copies, so that it may be used without the
	// lock of the zone state.
	Start  worker.StartRequest
	Status worker.RunStatus
	Reason string
}

// Decide compares the tasks bound to a worker with a report that the worker gave under the current owner
// epoch. It returns actions in a fixed order, stops and acknowledgements before starts, so that a worker's
// own capacity check sees freed room first.
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
		if t.StopWanted() || t.Job.Parked != "" {
			// The stop makes the worker refuse a start of this run that may still be under way.
			kind = ActStop
		}
		out = append(out, Action{Kind: kind, Key: key, Run: t.Run(), Start: startOf(t), Reason: t.Stopping})
	}
	slices.SortFunc(out, compareActions)
	return out
}

func compareActions(a, b Action) int {
	return cmp.Or(
		cmp.Compare(rank(a.Kind), rank(b.Kind)),
		cmp.Compare(a.Key.Job, b.Key.Job),
		cmp.Compare(a.Key.Index, b.Key.Index),
		cmp.Compare(a.Key.Epoch, b.Key.Epoch),
	)
}

func rank(k ActionKind) int {
	if k == ActStart {
		return 1
	}
	return 0
}

// KeyOf returns the worker's name for the bound run of a task.
func KeyOf(t *zone.Task) worker.RunKey {
	return worker.RunKey{Job: t.Job.Spec.ID, Index: t.Index, Epoch: t.Epoch}
}

func startOf(t *zone.Task) worker.StartRequest {
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
		// The log has recorded the end of this run, or bound a later one.
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
	case t.StopWanted():
		a.Kind = ActStop
	case t.Job.IsService() && rs.Address != "" && rs.Address != t.Address:
		a.Kind = ActStarted
	default:
		return Action{}, false
	}
	return a, true
}
