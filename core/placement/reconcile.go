package placement

import (
	"slices"
	"time"

	"waxwingslip.example/core/record"
)

// Replica is one observed task of a service in the zone.
type Replica struct {
	Index int
	// Revision is the packed revision under which the run was started; for a pending task it is that of the
	// current definition.
	Revision int64
	// Running is true while the task holds a reservation.
	Running bool
	// Ready is true once its endpoint address is known.
	Ready bool
	// Stopping is true while an eviction or a stop of the run is under way.
	Stopping bool
}

// ServiceState is the observed state of a service in the zone.
type ServiceState struct {
	// Spec is the admitted definition, nil if the service was never admitted in the zone.
	Spec *record.JobSpec
	// AdmittedAt is when this daemon first saw Spec.
	AdmittedAt time.Time
	Replicas   []Replica
}

// RolloutLimits limits a rollout, the replacement of replicas by a new revision.
type RolloutLimits struct {
	// SurgePercent of the replicas, at least one, are added while a new revision is rolled out.
	SurgePercent int
	// SurgeWait is how long a rollout waits for the added replicas. After that, capacity is taken to be lacking
	// and one ready replica less than desired is enough.
	SurgeWait time.Duration
}

// DefaultRolloutLimits returns the limits that the daemons use.
func DefaultRolloutLimits() RolloutLimits {
	return RolloutLimits{SurgePercent: 25, SurgeWait: time.Minute}
}

// ServiceChange is the next change to a service.
type ServiceChange struct {
	// Admit is the definition to admit, nil if the admitted one stays.
	Admit *record.JobSpec
	// Restart lists running replicas to evict, so that they start again with the admitted definition.
	Restart []int
	// Remove lists replicas that the admitted definition no longer has.
	Remove []int
}

// ReconcileService compares the desired definition of a service with the zone's state. The desired Revision
// is ignored; version is the configuration version that desired comes from.
//
// A new revision is admitted with added replicas first. When these are ready, old replicas are restarted one
// batch at a time, never leaving fewer ready ones than desired. At the end the added replicas are removed.
func ReconcileService(
	desired record.JobSpec, version int64, state ServiceState, limits RolloutLimits, now time.Time,
) ServiceChange {
	if state.Spec == nil {
		if desired.Tasks == 0 {
			return ServiceChange{}
		}
		return admit(desired, Revision{Version: version}, desired.Tasks)
	}
	current := UnpackRevision(state.Spec.Revision)
	if version < current.Version {
		return ServiceChange{Remove: surplusReplicas(state, limits, now)}
	}
	if !sameDefinition(&desired, state.Spec) {
		next := Revision{Version: version, Generation: current.Generation + 1}
		if version == current.Version {
			next.Step = current.Step + 1
		}
		return admit(desired, next, desired.Tasks+surgeReplicas(desired.Tasks, limits))
	}
	if restart, rolling := nextRestartBatch(desired.Tasks, state, current, limits, now); rolling {
		return ServiceChange{Restart: restart, Remove: surplusReplicas(state, limits, now)}
	}
	grow := desired.Tasks > state.Spec.Tasks
	if grow || desired.Tasks < state.Spec.Tasks && readyOrTimedOut(desired.Tasks, state, limits, now) {
		next := Revision{Version: version, Generation: current.Generation}
		if version == current.Version {
			next.Step = current.Step + 1
		}
		return admit(desired, next, desired.Tasks)
	}
	return ServiceChange{Remove: surplusReplicas(state, limits, now)}
}

func admit(desired record.JobSpec, r Revision, tasks int) ServiceChange {
	desired.Revision, desired.Tasks = r.Pack(), tasks
	return ServiceChange{Admit: &desired}
}

// sameDefinition reports whether running replicas need no restart. The number of replicas may differ.
func sameDefinition(a, b *record.JobSpec) bool {
	return a.ID == b.ID && a.Team == b.Team && a.Class == b.Class && a.Service == b.Service &&
		a.Size == b.Size && a.Payload == b.Payload
}

func surgeReplicas(tasks int, limits RolloutLimits) int {
	if tasks == 0 {
		return 0
	}
	return max(1, tasks*limits.SurgePercent/100)
}

// nextRestartBatch returns the replicas of older generations to restart now, and whether any remain.
func nextRestartBatch(
	tasks int, state ServiceState, current Revision, limits RolloutLimits, now time.Time,
) ([]int, bool) {
	var stale []int
	ready, rolling := 0, false
	for _, r := range state.Replicas {
		old := r.Running && UnpackRevision(r.Revision).Generation != current.Generation
		rolling = rolling || old
		if r.Index >= state.Spec.Tasks || r.Stopping {
			continue
		}
		if r.Ready {
			ready++
		}
		if old {
			stale = append(stale, r.Index)
		}
	}
	minReady := tasks
	if now.Sub(state.AdmittedAt) > limits.SurgeWait {
		minReady--
	}
	// The same replicas must be chosen again until their stop shows in the state, whatever the order of the input.
	slices.Sort(stale)
	return stale[:min(len(stale), max(ready-minReady, 0))], rolling
}

// readyOrTimedOut reports whether the replicas with indices below tasks are ready, or SurgeWait has passed. Only then
// may the replicas beyond them be removed.
func readyOrTimedOut(tasks int, state ServiceState, limits RolloutLimits, now time.Time) bool {
	if now.Sub(state.AdmittedAt) > limits.SurgeWait {
		return true
	}
	ready := 0
	for _, r := range state.Replicas {
		if r.Index < tasks && r.Ready && !r.Stopping {
			ready++
		}
	}
	return ready >= tasks
}

// surplusReplicas lists replicas beyond the admitted number that are not yet being stopped.
func surplusReplicas(state ServiceState, limits RolloutLimits, now time.Time) []int {
	if !readyOrTimedOut(state.Spec.Tasks, state, limits, now) {
		return nil
	}
	var out []int
	for _, r := range state.Replicas {
		if r.Index >= state.Spec.Tasks && !r.Stopping {
			out = append(out, r.Index)
		}
	}
	slices.Sort(out)
	return out
}
