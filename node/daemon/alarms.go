package daemon

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/node/operator/api"
)

// alarmTracker records when each alarm condition began.
type alarmTracker struct {
	mu sync.Mutex
	// since is guarded by mu.
	since map[string]time.Time
}

// update takes the conditions that hold now and returns them with their durations.
func (t *alarmTracker) update(now time.Time, active map[string]string) []api.Alarm {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since == nil {
		t.since = map[string]time.Time{}
	}
	for name := range t.since {
		if _, ok := active[name]; !ok {
			delete(t.since, name)
		}
	}
	out := []api.Alarm{}
	for name, detail := range active {
		if _, ok := t.since[name]; !ok {
			t.since[name] = now
		}
		out = append(out, api.Alarm{Name: name, SinceSeconds: int64(now.Sub(t.since[name]).Seconds()), Detail: detail})
	}
	slices.SortFunc(out, func(a, b api.Alarm) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// alarms lists the conditions that need an operator's attention.
func (d *Daemon) alarms() []api.Alarm {
	active := map[string]string{}
	if !d.authority.ControlFresh() {
		active["control-stale"] = "the control stream cannot be read, no task is started"
	}
	if !d.zoneCurrent() {
		active["zone-stale"] = "the zone stream cannot be read"
	}
	if d.authority.Member() == "" {
		active["not-a-member"] = "this daemon is not a member of its zone and owns no workers"
	}
	d.zone.View(func(s *zone.State) { addZoneAlarms(s, active) })
	return d.alarmTracker.update(time.Now(), active)
}

func addZoneAlarms(s *zone.State, active map[string]string) {
	unowned := 0
	for _, o := range s.ShardOwners {
		if o.Owner == "" {
			unowned++
		}
	}
	if unowned > 0 {
		active["shards-unowned"] = fmt.Sprintf("%d of %d shards have no owner, their workers get no commands",
			unowned, zone.ShardCount)
	}
	counts := map[record.WorkerState]int{}
	for _, w := range s.Workers {
		counts[w.State]++
	}
	if n := counts[record.WorkerQuarantined]; n > 0 {
		active["workers-quarantined"] = fmt.Sprintf("%d workers failed tasks of several jobs", n)
	}
	if n := counts[record.WorkerUnreachable]; n > 0 {
		active["workers-unreachable"] = fmt.Sprintf("%d workers do not answer", n)
	}
}
