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
	// FailRuns ends every new run at once as failed.
	FailRuns bool `json:"failRuns,omitempty"`
	// Leaving is reported, refuses starts and makes endpoints say that they are leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Refusing makes endpoints answer 503 with "Connection: close". The worker itself ignores it.
	Refusing bool `json:"refusing,omitempty"`
	// Frozen stops the runs and answers nothing. What arrives meanwhile is executed when the worker wakes up.
	Frozen bool `json:"frozen,omitempty"`
	// Killed ends all runs and forgets everything. A killed worker that returns has restarted.
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

// SetFailRuns makes every new run fail.
func (w *Worker) SetFailRuns(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failRuns = fail
}

// SetLeaving marks the worker as leaving.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// Leaving tells whether the worker is leaving.
func (w *Worker) Leaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// Killed tells whether the worker is killed.
func (w *Worker) Killed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.killed
}

// Frozen tells whether the worker is frozen.
func (w *Worker) Frozen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.frozen
}

// Freeze stops the worker's runs and answers while its clock goes on.
func (w *Worker) Freeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.frozen || w.killed {
		return
	}
	w.catchUp()
	w.frozen, w.frozenMs = true, w.nowMs()
}

// Thaw wakes a frozen worker. If its lease lapsed meanwhile, it stops its runs before it executes the
// commands that arrived while it was frozen.
func (w *Worker) Thaw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.frozen {
		return
	}
	w.frozen = false
	nowMs := w.nowMs()
	if nowMs >= w.leaseMs {
		w.stopAll("lease lapsed", w.frozenMs)
	}
	w.lastMs = nowMs
	calls := w.waiting
	w.waiting = nil
	for _, c := range calls {
		c.run()
	}
}

// Kill ends everything without a trace. Calls that wait for a frozen worker fail.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.killed {
		return
	}
	w.catchUp()
	w.stopAll("worker was killed", w.lastMs)
	calls := w.waiting
	w.runs, w.waiting, w.frozen, w.killed = nil, nil, false, true
	for _, c := range calls {
		c.fail()
	}
}

// Restart starts a killed worker as a new VM with the same id: it knows no runs and no owner, and its clock
// shows clockMs.
func (w *Worker) Restart(clockMs int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.killed {
		return
	}
	w.killed = false
	w.boot(clockMs)
}

// CatchUp simulates the time up to now, so that endpoints of lapsed runs close without a call.
func (w *Worker) CatchUp() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.catchUp()
}

// Stall returns the stall of a run as it is now, without the reporting lag.
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

// Overlaps returns a description of each pair of executions of one task that ran at the same time.
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
