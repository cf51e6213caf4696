package zone

import (
	"slices"

	"waxwingslip.example/core/record"
)

func (s *State) applyJoin(b *record.Join) Verdict {
	if b.Member == "" {
		return rejected("member id is empty")
	}
	if _, departed := s.Departures[b.Member]; departed || s.Members[b.Member] != nil {
		return rejected("member id %q was used before", b.Member)
	}
	s.Members[b.Member] = &Member{PeerAddress: b.PeerAddress, Joined: s.Offset, Heartbeat: s.Offset}
	s.notify(Change{Kind: ChangeMember})
	return accepted
}

func (s *State) applyHeartbeat(b *record.Heartbeat) Verdict {
	m := s.Members[b.Member]
	if m == nil {
		return rejected("%q is not a member", b.Member)
	}
	m.Heartbeat = s.Offset
	return accepted
}

func (s *State) applyLeave(b *record.Leave) Verdict {
	if s.Members[b.Member] == nil {
		return rejected("%q is not a member", b.Member)
	}
	s.removeMember(b.Member, true)
	return accepted
}

func (s *State) applyExpire(b *record.Expire) Verdict {
	m := s.Members[b.Member]
	switch {
	case m == nil:
		return rejected("%q is not a member", b.Member)
	case m.Heartbeat != b.LastHeartbeat:
		return rejected("%q has a newer heartbeat at %d", b.Member, m.Heartbeat)
	}
	s.removeMember(b.Member, false)
	return accepted
}

func (s *State) removeMember(member string, graceful bool) {
	s.Departures[member] = Departure{Graceful: graceful, Heartbeat: s.Members[member].Heartbeat}
	delete(s.Members, member)
	for i := range s.ShardOwners {
		if s.ShardOwners[i].Owner != member {
			continue
		}
		s.ShardOwners[i].Owner, s.ShardOwners[i].Previous = "", member
		s.notify(Change{Kind: ChangeShard, Shard: i})
	}
	s.pruneDepartures()
	s.notify(Change{Kind: ChangeMember})
}

// pruneDepartures removes departures of members that neither the claim view nor a shard refers to any more.
func (s *State) pruneDepartures() {
	for id := range s.Departures {
		if !slices.Contains(s.View.Members, id) && !s.isPreviousOwner(id) {
			delete(s.Departures, id)
		}
	}
}

func (s *State) isPreviousOwner(member string) bool {
	for _, o := range s.ShardOwners {
		if o.Previous == member {
			return true
		}
	}
	return false
}

func (s *State) applyClaim(b *record.Claim) Verdict {
	if b.Shard < 0 || b.Shard >= ShardCount {
		return rejected("shard %d does not exist", b.Shard)
	}
	o := &s.ShardOwners[b.Shard]
	switch {
	case s.Members[b.Member] == nil:
		return rejected("%q is not a member", b.Member)
	case o.Owner != "":
		return rejected("shard %d is owned by %q", b.Shard, o.Owner)
	case b.Epoch != o.Epoch+1:
		return rejected("shard %d has epoch %d, claim has epoch %d", b.Shard, o.Epoch, b.Epoch)
	}
	o.Owner, o.Epoch = b.Member, b.Epoch
	s.notify(Change{Kind: ChangeShard, Shard: b.Shard})
	return accepted
}

func (s *State) applyReleaseShard(b *record.ReleaseShard) Verdict {
	if b.Shard < 0 || b.Shard >= ShardCount {
		return rejected("shard %d does not exist", b.Shard)
	}
	o := &s.ShardOwners[b.Shard]
	if o.Owner != b.Member || o.Epoch != b.Epoch {
		return rejected("shard %d is owned by %q under epoch %d", b.Shard, o.Owner, o.Epoch)
	}
	// The previous owner may continue to renew leases until it has read this record.
	o.Owner, o.Previous = "", b.Member
	s.notify(Change{Kind: ChangeShard, Shard: b.Shard})
	return accepted
}

// checkOwner verifies that a record about a worker comes from the worker's current owner.
func (s *State) checkOwner(o record.Owner, worker string) (Verdict, bool) {
	owner, epoch := s.OwnerOf(worker)
	if owner == "" || o.Member != owner || o.Epoch != epoch {
		return rejected("worker %q is owned by %q under epoch %d, not by %q under epoch %d",
			worker, owner, epoch, o.Member, o.Epoch), false
	}
	return Verdict{}, true
}

func (s *State) applyClaimView(b *record.ClaimView) Verdict {
	if b.Number != s.View.Number+1 {
		return rejected("current claim view is %d, record has %d", s.View.Number, b.Number)
	}
	if len(b.Members) == 0 || !slices.IsSorted(b.Members) {
		return rejected("members of claim view %d are empty or not sorted", b.Number)
	}
	for _, m := range b.Members {
		if s.Members[m] == nil {
			return rejected("%q is not a member", m)
		}
	}
	floor := s.View.FloorUnixMs
	s.View = *b
	s.View.FloorUnixMs = max(floor, b.FloorUnixMs)
	s.pruneDepartures()
	s.notify(Change{Kind: ChangeView})
	return accepted
}
