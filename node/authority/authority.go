// Package authority decides what a daemon may currently do: start tasks, renew leases and declare tasks lost.
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
	zoneName       string
	zoneReplica    *replica.Zone
	controlReplica *replica.Control
	now            func() time.Duration

	mu sync.Mutex
	// member, renewal and shards are guarded by mu.
	member  string
	renewal lease.Authority
	shards  [zone.ShardCount]shardObservation
	// heartbeats is guarded by mu.
	heartbeats map[string]heartbeatObservation
}

// heartbeatObservation is the offset of the newest heartbeat of a member and when this daemon first read it.
type heartbeatObservation struct {
	offset    int64
	firstRead time.Duration
}

// New returns the authority of a daemon that is not a member yet. now reads the monotonic clock of the process.
func New(zoneName string, z *replica.Zone, c *replica.Control, now func() time.Duration) *Authority {
	return &Authority{zoneName: zoneName, zoneReplica: z, controlReplica: c, now: now}
}

// shardObservation is the current owner of a shard and when this daemon first read it.
type shardObservation struct {
	owner     zone.ShardOwner
	firstRead time.Duration
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

// ConfirmHeartbeat extends the renewal authority by a heartbeat of the member that was sent at the given time
// and read back.
func (a *Authority) ConfirmHeartbeat(member string, sent time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if member == a.member {
		a.renewal.Confirm(sent)
	}
}

// Observe records when the owners of shards and the heartbeats of members were first read. It must be called with the
// zone state after each change.
func (a *Authority) Observe(s *zone.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for i, o := range s.ShardOwners {
		if a.shards[i].owner != o {
			a.shards[i] = shardObservation{owner: o, firstRead: now}
		}
	}
	heartbeats := make(map[string]heartbeatObservation, len(s.Members))
	for id, m := range s.Members {
		heartbeats[id] = heartbeatObservation{offset: m.Heartbeat, firstRead: now}
		if previous, ok := a.heartbeats[id]; ok && previous.offset == m.Heartbeat {
			heartbeats[id] = previous
		}
	}
	a.heartbeats = heartbeats
}

// HeartbeatAge returns the time since the newest heartbeat of a member was first read.
func (a *Authority) HeartbeatAge(member string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now() - a.heartbeats[member].firstRead
}

// Member implements executor.Authority.
func (a *Authority) Member() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member
}

// ControlFresh reports whether the control state is recent enough for starting tasks.
func (a *Authority) ControlFresh() bool {
	return isFresh(a.controlReplica.Follower.CurrentAsOf())
}

func isFresh(asOf time.Time) bool {
	return !asOf.IsZero() && time.Since(asOf) < lease.ControlFreshness
}

// MayStart implements executor.Authority.
func (a *Authority) MayStart() bool {
	// asOf is read before the state, so that the state is at least as new, however long the process pauses between
	// the two reads. The age is checked last.
	asOf := a.controlReplica.Follower.CurrentAsOf()
	inService := false
	a.controlReplica.View(func(s *control.State) {
		if d := s.Document(); d != nil {
			_, z, ok := d.FindZone(a.zoneName)
			inService = ok && !z.OutOfService
		}
	})
	return inService && isFresh(asOf)
}

// RenewUntil implements executor.Authority. While the log cannot be read, tasks cannot be started elsewhere, so
// leases then last until the renewal authority ends.
func (a *Authority) RenewUntil(now time.Duration) time.Duration {
	a.mu.Lock()
	remaining := a.renewal.Remaining(now)
	a.mu.Unlock()
	if remaining <= 0 {
		return 0
	}
	if a.ControlFresh() || a.zoneReplica.Follower.Reachable() {
		return lease.WorkerLease
	}
	return max(remaining, lease.WorkerLease)
}

// PreviousLeasesExpired implements executor.Authority.
func (a *Authority) PreviousLeasesExpired(shard int, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.shards[shard]
	if s.owner.Owner != a.member {
		return false
	}
	return s.owner.Previous == "" || lease.AuthorityExpired(s.firstRead, now)
}
