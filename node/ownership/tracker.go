// Package ownership decides when a daemon joins its zone, renews its membership, expires silent members and
// claims or hands over shards of workers.
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

// Timing of claims and hand-over.
const (
	// retryAfter is how long an unanswered record is waited for before it is posted again.
	retryAfter = time.Second
	// settleTime is how long a member must have been known before shards are handed over to it, so that a
	// daemon that restarts in a loop does not move shards each time.
	settleTime = 10 * time.Second
)

// Tracker decides which records a daemon appends about membership and shards. It is not safe for concurrent
// use. Times are readings of one monotonic clock.
type Tracker struct {
	self    string
	address string

	seen map[string]sighting
	// posted holds when a record was last posted, by its purpose.
	posted map[string]time.Duration
	// currentSince is when the follower became current without interruption.
	current      bool
	currentSince time.Duration
	leaving      bool
}

// sighting is when a heartbeat offset of a member was first read.
type sighting struct {
	first     time.Duration
	heartbeat int64
	at        time.Duration
}

// NewTracker returns the tracker of a member that is not yet joined.
func NewTracker(self, peerAddress string) *Tracker {
	return &Tracker{
		self:    self,
		address: peerAddress,
		seen:    map[string]sighting{},
		posted:  map[string]time.Duration{},
	}
}

// Self returns the member id.
func (t *Tracker) Self() string { return t.self }

// Leave makes Step release all shards and leave.
func (t *Tracker) Leave() { t.leaving = true }

// Expelled reports whether the member was expired by another, so that a new member id is needed. A follower that
// catches up may read the join and the expiry between two steps, so the state's departures count as well.
func (t *Tracker) Expelled(s *zone.State) bool {
	_, joinedBefore := t.seen[t.self]
	_, departed := s.Left[t.self]
	return (joinedBefore || departed) && s.Members[t.self] == nil && !t.leaving
}

// HeartbeatReadAt returns when the last heartbeat of a current or former member was read from the log. For a
// former member that this daemon never saw, it is the time of the first Step.
func (t *Tracker) HeartbeatReadAt(member string) time.Duration {
	if s, ok := t.seen[member]; ok {
		return s.at
	}
	return t.currentSince
}

// Step returns the records to append now. current says whether the follower is current on the stream.
func (t *Tracker) Step(s *zone.State, now time.Duration, current bool) []record.Body {
	t.observe(s, now, current)
	if !current {
		return nil
	}
	if s.Members[t.self] == nil {
		if t.leaving || t.Expelled(s) {
			return nil
		}
		return t.once(nil, "join", now, retryAfter, &record.Join{Member: t.self, PeerAddress: t.address})
	}
	if t.leaving {
		return t.leave(s, now)
	}
	out := t.once(nil, "heartbeat", now, lease.HeartbeatInterval, &record.Heartbeat{Member: t.self})
	out = t.expire(out, s, now)
	out = t.claim(out, s, now)
	return t.handOver(out, s, now)
}

// observe records when heartbeats were read. While the follower is not current, silence proves nothing, so
// all sightings start anew when it becomes current.
func (t *Tracker) observe(s *zone.State, now time.Duration, current bool) {
	resumed := current && !t.current
	if resumed {
		t.currentSince = now
	}
	t.current = current
	for id, m := range s.Members {
		old, known := t.seen[id]
		if known && old.heartbeat == m.Heartbeat && !resumed {
			continue
		}
		if !known {
			old.first = now
		}
		t.seen[id] = sighting{first: old.first, heartbeat: m.Heartbeat, at: now}
	}
	t.forget(s)
}

// forget drops sightings of former members that decide nothing any more.
func (t *Tracker) forget(s *zone.State) {
	for id := range t.seen {
		_, left := s.Left[id]
		if s.Members[id] == nil && !left && id != t.self {
			delete(t.seen, id)
		}
	}
}

// once appends body to out unless the same purpose was served less than interval ago.
func (t *Tracker) once(out []record.Body, purpose string, now, interval time.Duration, body record.Body) []record.Body {
	if last, ok := t.posted[purpose]; ok && now-last < interval {
		return out
	}
	t.posted[purpose] = now
	return append(out, body)
}

func (t *Tracker) leave(s *zone.State, now time.Duration) []record.Body {
	var out []record.Body
	owned := 0
	for i, o := range s.Shard {
		if o.Owner != t.self {
			continue
		}
		owned++
		out = t.once(out, shardPurpose("release", i), now, retryAfter,
			&record.ReleaseShard{Shard: i, Epoch: o.Epoch, Member: t.self})
	}
	if owned > 0 {
		return out
	}
	return t.once(out, "leave", now, retryAfter, &record.Leave{Member: t.self})
}

func shardPurpose(what string, shard int) string { return what + "/" + strconv.Itoa(shard) }

func (t *Tracker) expire(out []record.Body, s *zone.State, now time.Duration) []record.Body {
	for _, id := range s.MemberIDs() {
		seen := t.seen[id]
		if id == t.self || now-seen.at < lease.ExpireAfter {
			continue
		}
		out = t.once(out, "expire/"+id, now, retryAfter,
			&record.Expire{Member: id, LastHeartbeat: seen.heartbeat})
	}
	return out
}

// preferred returns the member that should own a shard.
func preferred(shard int, members []string) string {
	return rendezvous.Pick(shardPurpose("shard", shard), members)
}

func (t *Tracker) claim(out []record.Body, s *zone.State, now time.Duration) []record.Body {
	members := s.MemberIDs()
	for i, o := range s.Shard {
		if o.Owner != "" || preferred(i, members) != t.self {
			continue
		}
		out = t.once(out, shardPurpose("claim", i), now, retryAfter,
			&record.Claim{Shard: i, Epoch: o.Epoch + 1, Member: t.self})
	}
	return out
}

// handOver releases shards that another settled member should own.
func (t *Tracker) handOver(out []record.Body, s *zone.State, now time.Duration) []record.Body {
	members := slices.DeleteFunc(s.MemberIDs(), func(id string) bool {
		return now-t.seen[id].first < settleTime && id != t.self
	})
	for i, o := range s.Shard {
		if o.Owner != t.self || preferred(i, members) == t.self {
			continue
		}
		out = t.once(out, shardPurpose("release", i), now, retryAfter,
			&record.ReleaseShard{Shard: i, Epoch: o.Epoch, Member: t.self})
	}
	return out
}
