package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingslip.example/core/record"
)

// Guards against a rollout that leaves fewer ready replicas than desired, never ends, or leaves a surplus.
func TestRolloutKeepsDesiredReplicasReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := rapid.IntRange(1, 12).Draw(t, "first"), rapid.IntRange(1, 12).Draw(t, "second")
		desired := record.JobSpec{ID: "service/s", Service: "s", Tasks: first, Payload: "one"}
		state, now := ServiceState{}, start
		for range 50 {
			now = now.Add(time.Second)
			apply(&state, ReconcileService(desired, 1, state, DefaultRolloutLimits(), now), now)
		}
		desired.Payload, desired.Tasks = "two", second
		for range 100 {
			now = now.Add(time.Second)
			old := record.JobSpec{ID: "service/s", Service: "s", Tasks: first, Payload: "one"}
			if change := ReconcileService(old, 1, state, DefaultRolloutLimits(), now); UnpackRevision(
				state.Spec.Revision).Version == 2 && change.Admit != nil {
				t.Fatal("an older configuration replaced a newer one")
			}
			change := ReconcileService(desired, 2, state, DefaultRolloutLimits(), now)
			if left := countReady(&state) - len(change.Restart); left < min(first, second) {
				t.Fatalf("%d ready replicas left", left)
			}
			apply(&state, change, now)
		}
		if got := countReady(&state); got != second || len(state.Replicas) != second {
			t.Fatalf("%d of %d replicas ready, want %d", got, len(state.Replicas), second)
		}
		for _, r := range state.Replicas {
			if UnpackRevision(r.Revision).Generation != UnpackRevision(state.Spec.Revision).Generation {
				t.Fatalf("replica %d was not replaced", r.Index)
			}
		}
	})
}

// Guards against a second batch that is stopped before the first stop shows in the state, because the replicas
// came in another order.
func TestOrderOfReplicasDoesNotMatter(t *testing.T) {
	is := is.New(t)
	desired := record.JobSpec{ID: "service/s", Service: "s", Tasks: 4}
	spec := desired
	spec.Tasks, spec.Revision = 5, Revision{Version: 2, Generation: 1}.Pack()
	state := ServiceState{Spec: &spec, AdmittedAt: start}
	for _, i := range []int{3, 1, 4, 0, 2} {
		state.Replicas = append(state.Replicas, Replica{Index: i, Running: true, Ready: true, Revision: Revision{Version: 1}.Pack()})
	}
	first := ReconcileService(desired, 2, state, DefaultRolloutLimits(), start)
	is.Equal(first.Restart, []int{0})
	slices.Reverse(state.Replicas)
	is.Equal(ReconcileService(desired, 2, state, DefaultRolloutLimits(), start), first)
}

func countReady(s *ServiceState) int {
	n := 0
	for _, r := range s.Replicas {
		if r.Ready {
			n++
		}
	}
	return n
}

// apply carries a change out at once; restarted replicas are ready again one step later.
func apply(s *ServiceState, c ServiceChange, now time.Time) {
	for i := range s.Replicas {
		s.Replicas[i].Running, s.Replicas[i].Ready = true, true
	}
	if c.Admit != nil {
		s.Spec, s.AdmittedAt = c.Admit, now
		for i := len(s.Replicas); i < c.Admit.Tasks; i++ {
			s.Replicas = append(s.Replicas, Replica{Index: i, Revision: c.Admit.Revision})
		}
	}
	for _, i := range c.Restart {
		s.Replicas[i] = Replica{Index: i, Revision: s.Spec.Revision}
	}
	if len(c.Remove) > 0 {
		s.Replicas = s.Replicas[:s.Spec.Tasks]
	}
}
