// Package authority says what a daemon may do at the moment: start tasks, renew leases and declare tasks lost.
package authority

import (
	"sync"
	"time"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/lease"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/node/replica"
)

// Authority implements executor.Authority. It is safe for concurrent use.
type Authority struct {
	zoneName string
	zone     *replica.Zone
	control  *replica.Control
	now      func() time.Duration

	mu sync.Mutex
	// member, renewal and shards are guarded by mu.
	member  string
	renewal lease.Authority
	shards  [zone.Shards]shardSighting
	// heartbeats is guarded by mu.
	heartbeats map[string]heartbeatSighting
}

// heartbeatSighting is when this daemon read the newest heartbeat of a member.
type heartbeatSighting struct {
	offset int64
	at     time.Duration
}

// New returns the authority of a daemon that is not a member yet. now reads the monotonic clock of the process.
func New(zoneName string, z *replica.Zone, c *replica.Control, now func() time.Duration) *Authority {
	return &Authority{zoneName: zoneName, zone: z, control: c, now: now}
}

// shardSighting is when this daemon first read the current ownership of a shard.
type shardSighting struct {
	owner zone.ShardOwner
	at    time.Duration
}

// SetMember sets the member id, empty while the daemon is not a member.
func (a *Authority) SetMember(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id != a.member {
		a.member = id
		a.renewal = lease.Authority{}
	}
}

// Confirm extends the renewal authority by a heartbeat that was read back and had been sent at the given time.
func (a *Authority) Confirm(member string, sent time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if member == a.member {
		a.renewal.Confirm(sent)
	}
}

// Observe records since when shards have their owners. It is called with the zone state after each change.
func (a *Authority) Observe(s *zone.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for i, o := range s.Shard {
		if a.shards[i].owner != o {
			a.shards[i] = shardSighting{owner: o, at: now}
		}
	}
	seen := make(map[string]heartbeatSighting, len(s.Members))
	for id, m := range s.Members {
		seen[id] = heartbeatSighting{offset: m.Heartbeat, at: now}
		if old, ok := a.heartbeats[id]; ok && old.offset == m.Heartbeat {
			seen[id] = old
		}
	}
	a.heartbeats = seen
}

// HeartbeatAge returns how long ago the newest heartbeat of a member was read.
func (a *Authority) HeartbeatAge(member string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now() - a.heartbeats[member].at
}

// Member implements executor.Authority.
func (a *Authority) Member() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member
}

// ControlFresh reports whether the control state is new enough for a start.
func (a *Authority) ControlFresh() bool {
	return fresh(a.control.Follower.CurrentAsOf())
}

func fresh(asOf time.Time) bool {
	return !asOf.IsZero() && time.Since(asOf) < lease.ControlFreshness
}

// MayStart implements executor.Authority.
func (a *Authority) MayStart() bool {
	// Freshness is read before the state: the state read afterwards is at least as new, however long a pause
	// lies between them. Its age is judged last.
	asOf := a.control.Follower.CurrentAsOf()
	inService := false
	a.control.View(func(s *control.State) {
		if d := s.Document(); d != nil {
			_, z, ok := d.FindZone(a.zoneName)
			inService = ok && !z.OutOfService
		}
	})
	return inService && fresh(asOf)
}

// RenewUntil implements executor.Authority. While the log cannot be read, nothing can be started elsewhere, so
// leases then last until the renewal authority ends.
func (a *Authority) RenewUntil(now time.Duration) time.Duration {
	a.mu.Lock()
	left := a.renewal.Left(now)
	a.mu.Unlock()
	if left <= 0 {
		return 0
	}
	if a.ControlFresh() || a.zone.Follower.Reachable() {
		return lease.WorkerLease
	}
	return max(left, lease.WorkerLease)
}

// PreviousOwnerLapsed implements executor.Authority.
func (a *Authority) PreviousOwnerLapsed(shard int, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.shards[shard]
	if s.owner.Owner != a.member {
		return false
	}
	return s.owner.Previous == "" || lease.AuthorityLapsed(s.at, now)
}
