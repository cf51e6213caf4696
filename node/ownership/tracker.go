// Package ownership decides when a daemon joins its zone, renews its membership, expires members without heartbeats
// and claims or hands over shards of workers.
package ownership

import (
	"slices"
	"strconv"
	"time"

	"waxwingslip.example/core/lease"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/rendezvous"
	"waxwingslip.example/core/zone"
)

// Timing of records and hand-over.
const (
	// repostInterval is how long to wait for the effect of a record before it is posted again.
	repostInterval = time.Second
	// settleTime is how long a member must have been seen before shards are handed over to it, so that a daemon
	// that restarts in a loop does not move shards each time.
	settleTime = 10 * time.Second
)

// Tracker decides which membership and shard records a daemon appends. It is not safe for concurrent use. All times are
// readings of one monotonic clock.
type Tracker struct {
	self        string
	peerAddress string

	observed map[string]memberObservation
	// postedAt holds when a record was last posted, by its key.
	postedAt map[string]time.Duration
	// currentSince is when the follower last became current. It is valid while current is set.
	current      bool
	currentSince time.Duration
	leaving      bool
}

// memberObservation is when a member was first seen and when its newest heartbeat offset was first read.
type memberObservation struct {
	firstSeen time.Duration
	heartbeat int64
	readAt    time.Duration
}

// NewTracker returns the tracker of a member that has not joined yet.
func NewTracker(self, peerAddress string) *Tracker {
	return &Tracker{
		self:        self,
		peerAddress: peerAddress,
		observed:    map[string]memberObservation{},
		postedAt:    map[string]time.Duration{},
	}
}

// Self returns the member id.
func (t *Tracker) Self() string { return t.self }

// Leave makes Step release all shards and then leave the zone.
func (t *Tracker) Leave() { t.leaving = true }

// Expired reports whether another member expired this one, which then needs a new member id. A follower that catches
// up may read the join and the expiry between two steps, so the departures in the zone state count as well.
func (t *Tracker) Expired(s *zone.State) bool {
	_, joinedBefore := t.observed[t.self]
	_, departed := s.Departures[t.self]
	return (joinedBefore || departed) && s.Members[t.self] == nil && !t.leaving
}

// HeartbeatReadAt returns when the last heartbeat of a current or former member was read from the log. For a former
// member that this daemon never saw, it is when the follower last became current.
func (t *Tracker) HeartbeatReadAt(member string) time.Duration {
	if o, ok := t.observed[member]; ok {
		return o.readAt
	}
	return t.currentSince
}

// Step returns the records to append now. current is true while the follower is up to date with the stream.
func (t *Tracker) Step(s *zone.State, now time.Duration, current bool) []record.Body {
	t.observe(s, now, current)
	if !current {
		return nil
	}
	if s.Members[t.self] == nil {
		if t.leaving || t.Expired(s) {
			return nil
		}
		return t.appendOnce(nil, "join", now, repostInterval, &record.Join{Member: t.self, PeerAddress: t.peerAddress})
	}
	if t.leaving {
		return t.releaseAndLeave(s, now)
	}
	out := t.appendOnce(nil, "heartbeat", now, lease.HeartbeatInterval, &record.Heartbeat{Member: t.self})
	out = t.expireMembers(out, s, now)
	out = t.claimShards(out, s, now)
	return t.handOverShards(out, s, now)
}

// observe records when heartbeats were read. While the follower is not current, missing heartbeats prove nothing, so
// all heartbeats count as read when it becomes current again.
func (t *Tracker) observe(s *zone.State, now time.Duration, current bool) {
	resumed := current && !t.current
	if resumed {
		t.currentSince = now
	}
	t.current = current
	for id, m := range s.Members {
		previous, known := t.observed[id]
		if known && previous.heartbeat == m.Heartbeat && !resumed {
			continue
		}
		if !known {
			previous.firstSeen = now
		}
		t.observed[id] = memberObservation{firstSeen: previous.firstSeen, heartbeat: m.Heartbeat, readAt: now}
	}
	t.removeDeparted(s)
}

// removeDeparted removes the observations of former members that the zone state no longer lists.
func (t *Tracker) removeDeparted(s *zone.State) {
	for id := range t.observed {
		_, departed := s.Departures[id]
		if s.Members[id] == nil && !departed && id != t.self {
			delete(t.observed, id)
		}
	}
}

// appendOnce appends body to out unless a record with the same key was returned less than interval ago.
func (t *Tracker) appendOnce(out []record.Body, key string, now, interval time.Duration,
	body record.Body) []record.Body {
	if last, ok := t.postedAt[key]; ok && now-last < interval {
		return out
	}
	t.postedAt[key] = now
	return append(out, body)
}

func (t *Tracker) releaseAndLeave(s *zone.State, now time.Duration) []record.Body {
	var out []record.Body
	owned := 0
	for i, o := range s.ShardOwners {
		if o.Owner != t.self {
			continue
		}
		owned++
		out = t.appendOnce(out, shardKey("release", i), now, repostInterval,
			&record.ReleaseShard{Shard: i, Epoch: o.Epoch, Member: t.self})
	}
	if owned > 0 {
		return out
	}
	return t.appendOnce(out, "leave", now, repostInterval, &record.Leave{Member: t.self})
}

func shardKey(action string, shard int) string { return action + "/" + strconv.Itoa(shard) }

func (t *Tracker) expireMembers(out []record.Body, s *zone.State, now time.Duration) []record.Body {
	for _, id := range s.MemberIDs() {
		observed := t.observed[id]
		if id == t.self || now-observed.readAt < lease.ExpireAfter {
			continue
		}
		out = t.appendOnce(out, "expire/"+id, now, repostInterval,
			&record.Expire{Member: id, LastHeartbeat: observed.heartbeat})
	}
	return out
}

// preferredOwner returns the member that should own a shard.
func preferredOwner(shard int, members []string) string {
	return rendezvous.Pick(shardKey("shard", shard), members)
}

func (t *Tracker) claimShards(out []record.Body, s *zone.State, now time.Duration) []record.Body {
	members := s.MemberIDs()
	for i, o := range s.ShardOwners {
		if o.Owner != "" || preferredOwner(i, members) != t.self {
			continue
		}
		out = t.appendOnce(out, shardKey("claim", i), now, repostInterval,
			&record.Claim{Shard: i, Epoch: o.Epoch + 1, Member: t.self})
	}
	return out
}

// handOverShards releases the shards for which another settled member is the preferred owner.
func (t *Tracker) handOverShards(out []record.Body, s *zone.State, now time.Duration) []record.Body {
	members := slices.DeleteFunc(s.MemberIDs(), func(id string) bool {
		return now-t.observed[id].firstSeen < settleTime && id != t.self
	})
	for i, o := range s.ShardOwners {
		if o.Owner != t.self || preferredOwner(i, members) == t.self {
			continue
		}
		out = t.appendOnce(out, shardKey("release", i), now, repostInterval,
			&record.ReleaseShard{Shard: i, Epoch: o.Epoch, Member: t.self})
	}
	return out
}
