package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingslip.example/core/record"
)

// Guards against a roll that leaves fewer ready replicas than desired, never ends, or leaves a surplus.
func TestRollKeepsDesiredReplicasReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := rapid.IntRange(1, 12).Draw(t, "first"), rapid.IntRange(1, 12).Draw(t, "second")
		desired := record.JobSpec{ID: "service/s", Service: "s", Tasks: first, Payload: "one"}
		state, now := ServiceState{}, start
		for range 50 {
			now = now.Add(time.Second)
			apply(&state, ReconcileService(desired, 1, state, DefaultRollLimits(), now), now)
		}
		desired.Payload, desired.Tasks = "two", second
		for range 100 {
			now = now.Add(time.Second)
			old := record.JobSpec{ID: "service/s", Service: "s", Tasks: first, Payload: "one"}
			if change := ReconcileService(old, 1, state, DefaultRollLimits(), now); UnpackRevision(state.Spec.Revision).Version == 2 && change.Admit != nil {
				t.Fatal("an older configuration replaced a newer one")
			}
			change := ReconcileService(desired, 2, state, DefaultRollLimits(), now)
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
