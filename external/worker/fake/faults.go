package fake

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/worker"
)

// Condition is the health of a worker. The zero value is a healthy worker.
type Condition struct {
	// FailRuns makes every new run end immediately as failed.
	FailRuns bool `json:"failRuns,omitempty"`
	// Leaving is included in reports, makes the worker refuse starts and makes endpoints signal that they are leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Refusing makes endpoints respond with 503 and "Connection: close". The worker itself ignores it.
	Refusing bool `json:"refusing,omitempty"`
	// Frozen suspends the runs and all responses. Calls that arrive meanwhile are executed when the worker is thawed.
	Frozen bool `json:"frozen,omitempty"`
	// Killed stops all runs and discards the worker's state. Clearing Killed restarts the worker.
	Killed bool `json:"killed,omitempty"`
	// Faults sets the fault switch of the worker's commands and queries.
	Faults fault.Setting `json:"faults"`
}

// SetCondition applies a condition.
func (w *Worker) SetCondition(c Condition) {
	w.Faults.Set(c.Faults)
	w.SetFailRuns(c.FailRuns)
	w.SetLeaving(c.Leaving)
	if c.Killed {
		w.Kill()
	} else if w.Killed() {
		w.Restart(0)
	}
	if c.Frozen {
		w.Freeze()
	} else {
		w.Thaw()
	}
}

// SetFailRuns sets whether every new run fails.
func (w *Worker) SetFailRuns(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failRuns = fail
}

// SetLeaving sets whether the worker is leaving.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// Leaving reports whether the worker is leaving.
func (w *Worker) Leaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// Killed reports whether the worker is killed.
func (w *Worker) Killed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.killed
}

// Frozen reports whether the worker is frozen.
func (w *Worker) Frozen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.frozen
}

// Freeze suspends the worker's runs and responses; its clock continues.
func (w *Worker) Freeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.frozen || w.killed {
		return
	}
	w.catchUp()
	w.frozen, w.frozenSinceMs = true, w.nowMs()
}

// Thaw resumes a frozen worker. If its lease expired meanwhile, it stops its runs before it executes the
// calls that arrived while it was frozen.
func (w *Worker) Thaw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.frozen {
		return
	}
	w.frozen = false
	nowMs := w.nowMs()
	if nowMs >= w.leaseUntilMs {
		w.stopRuns("lease lapsed", w.frozenSinceMs)
	}
	w.simulatedMs = nowMs
	calls := w.pendingCalls
	w.pendingCalls = nil
	for _, c := range calls {
		c.run()
	}
}

// Kill stops all runs and discards the worker's state. Calls that wait for a frozen worker fail.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.killed {
		return
	}
	w.catchUp()
	w.stopRuns("worker was killed", w.simulatedMs)
	calls := w.pendingCalls
	w.runs, w.pendingCalls, w.frozen, w.killed = nil, nil, false, true
	for _, c := range calls {
		c.fail()
	}
}

// Restart starts a killed worker as a new VM with the same id: without runs or owner, and with its clock at
// clockMs.
func (w *Worker) Restart(clockMs int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.killed {
		return
	}
	w.killed = false
	w.boot(clockMs)
}

// CatchUp simulates the time up to now, so that endpoints of runs whose lease expired close without a call.
func (w *Worker) CatchUp() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.catchUp()
}

// Stall returns the current stall of a run, without the reporting lag.
func (w *Worker) Stall(key worker.RunKey) (permille int64, running bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.catchUp()
	r := w.runs[key]
	if r == nil || !r.running() {
		return 0, false
	}
	return w.stallPermille(r, 0), true
}

// Execution is the interval in real time in which a worker executed a run. It is kept after the run is
// acknowledged.
type Execution struct {
	worker.RunKey
	Worker string    `json:"worker"`
	Begin  time.Time `json:"begin"`
	// End is zero while the run executes.
	End time.Time `json:"end"`
}

// History returns all executions in the order of their start.
func (w *Worker) History() []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.catchUp()
	return slices.Clone(w.history)
}

// Overlaps describes each pair of successive executions of a task that overlap in time.
func Overlaps(executions []Execution) []string {
	sorted := slices.Clone(executions)
	slices.SortFunc(sorted, func(a, b Execution) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index), a.Begin.Compare(b.Begin))
	})
	var found []string
	for i := 1; i < len(sorted); i++ {
		a, b := sorted[i-1], sorted[i]
		if a.Job == b.Job && a.Index == b.Index && (a.End.IsZero() || b.Begin.Before(a.End)) {
			found = append(found, fmt.Sprintf("%s/%d ran on %s (epoch %d, until %s) and on %s (epoch %d, from %s)",
				a.Job, a.Index, a.Worker, a.Epoch, a.End, b.Worker, b.Epoch, b.Begin))
		}
	}
	return found
}
