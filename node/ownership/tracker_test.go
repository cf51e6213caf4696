package ownership

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"waxwingslip.example/core/lease"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
)

// zoneJournal applies records to a zone state in order.
type zoneJournal struct {
	t     *testing.T
	state *zone.State
}

func newJournal(t *testing.T, members ...string) *zoneJournal {
	j := &zoneJournal{t: t, state: zone.New("a")}
	for _, m := range members {
		j.apply(&record.Join{Member: m})
	}
	return j
}

func (j *zoneJournal) apply(bodies ...record.Body) {
	j.t.Helper()
	for _, b := range bodies {
		if v := j.state.Apply(j.state.Offset+1, record.New(uuid.New(), b)); !v.Accepted {
			j.t.Fatalf("%T %+v: %s", b, b, v.Reason)
		}
	}
}

// recordsOf returns the records of type T.
func recordsOf[T record.Body](bodies []record.Body) (out []T) {
	for _, b := range bodies {
		if v, ok := b.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

func (j *zoneJournal) owned(member string) (shards []int) {
	for i, o := range j.state.ShardOwners {
		if o.Owner == member {
			shards = append(shards, i)
		}
	}
	return shards
}

// Guards against expiring a live member, and against a member without heartbeats that is never expired.
func TestExpireMemberWithoutHeartbeats(t *testing.T) {
	is := is.New(t)
	j := newJournal(t, "m", "n")
	tr := NewTracker("m", "")
	tr.Step(j.state, 0, true)
	is.Equal(len(recordsOf[*record.Expire](tr.Step(j.state, lease.ExpireAfter-1, true))), 0)
	j.apply(&record.Heartbeat{Member: "n"})
	heartbeatRead := lease.ExpireAfter
	is.Equal(len(recordsOf[*record.Expire](tr.Step(j.state, heartbeatRead, true))), 0)
	is.Equal(tr.HeartbeatReadAt("n"), heartbeatRead)
	is.Equal(len(recordsOf[*record.Expire](tr.Step(j.state, heartbeatRead+lease.ExpireAfter-1, true))), 0)
	got := recordsOf[*record.Expire](tr.Step(j.state, heartbeatRead+lease.ExpireAfter, true))
	is.Equal(got, []*record.Expire{{Member: "n", LastHeartbeat: j.state.Members["n"].Heartbeat}})
}

// Guards against members that expire each other after an outage of the log, during which no heartbeats were read.
func TestNoExpiryAfterLogOutage(t *testing.T) {
	is := is.New(t)
	j := newJournal(t, "m", "n")
	tr := NewTracker("m", "")
	tr.Step(j.state, 0, true)
	for now := time.Second; now < time.Minute; now += time.Second {
		is.Equal(len(tr.Step(j.state, now, false)), 0) // no records from an outdated state
	}
	resumed := time.Minute
	is.Equal(len(recordsOf[*record.Expire](tr.Step(j.state, resumed, true))), 0)
	is.Equal(len(recordsOf[*record.Expire](tr.Step(j.state, resumed+lease.ExpireAfter-1, true))), 0)
	is.Equal(len(recordsOf[*record.Expire](tr.Step(j.state, resumed+lease.ExpireAfter, true))), 1)

	resumed = 2 * time.Minute // one step that is not current resets the observations
	tr.Step(j.state, resumed-time.Second, false)
	is.Equal(len(recordsOf[*record.Expire](tr.Step(j.state, resumed, true))), 0)
}

// Guards against shards that no member or several members claim, and against a claim that is posted in every step.
func TestClaimsDivideShards(t *testing.T) {
	is := is.New(t)
	members := []string{"m", "n", "o"}
	j := newJournal(t, members...)
	claimedBy := map[int]string{}
	for _, id := range members {
		tr := NewTracker(id, "")
		for _, c := range recordsOf[*record.Claim](tr.Step(j.state, 0, true)) {
			is.Equal(c.Member, id)
			is.Equal(c.Epoch, int64(1))
			is.Equal(claimedBy[c.Shard], "") // claimed by one member only
			claimedBy[c.Shard] = id
		}
		is.Equal(len(recordsOf[*record.Claim](tr.Step(j.state, repostInterval-1, true))), 0)
		is.True(len(recordsOf[*record.Claim](tr.Step(j.state, repostInterval, true))) > 0) // the first may be lost
	}
	is.Equal(len(claimedBy), zone.ShardCount)
}

// Guards against shards of an expired member that remain without an owner.
func TestClaimsAfterExpiry(t *testing.T) {
	is := is.New(t)
	j := newJournal(t, "m", "n")
	for i := range zone.ShardCount {
		j.apply(&record.Claim{Shard: i, Epoch: 1, Member: "n"})
	}
	tr := NewTracker("m", "")
	is.Equal(len(recordsOf[*record.Claim](tr.Step(j.state, 0, true))), 0) // all are owned
	j.apply(&record.Expire{Member: "n", LastHeartbeat: j.state.Members["n"].Heartbeat})
	claims := recordsOf[*record.Claim](tr.Step(j.state, time.Second, true))
	is.Equal(len(claims), zone.ShardCount)
	for _, c := range claims {
		is.Equal(c.Epoch, int64(2))
		j.apply(c)
	}
	is.Equal(tr.HeartbeatReadAt("n"), time.Duration(0)) // kept for the renewal authority of the previous owner
}

// Guards against shards that move at each restart of a daemon that restarts in a loop.
func TestHandOverToSettledMember(t *testing.T) {
	is := is.New(t)
	j := newJournal(t, "m")
	tr := NewTracker("m", "")
	for _, c := range recordsOf[*record.Claim](tr.Step(j.state, 0, true)) {
		j.apply(c)
	}
	j.apply(&record.Join{Member: "n"})
	joined := time.Second
	for now := joined; now < joined+settleTime; now += time.Second {
		j.apply(&record.Heartbeat{Member: "n"})
		is.Equal(len(recordsOf[*record.ReleaseShard](tr.Step(j.state, now, true))), 0)
	}
	j.apply(&record.Heartbeat{Member: "n"})
	released := recordsOf[*record.ReleaseShard](tr.Step(j.state, joined+settleTime, true))
	is.True(len(released) > 0 && len(released) < zone.ShardCount)
	for _, r := range released {
		is.Equal(preferredOwner(r.Shard, []string{"m", "n"}), "n")
		j.apply(r)
	}
	is.Equal(len(recordsOf[*record.Claim](tr.Step(j.state, joined+settleTime+time.Second, true))), 0) // n claims them
	other := NewTracker("n", "")
	is.Equal(len(recordsOf[*record.Claim](other.Step(j.state, 0, true))), len(released))
}

// Guards against a member that leaves while it owns shards, whose workers would then wait until its renewal authority
// expires, and against one that continues to claim shards or rejoins while it leaves.
func TestLeaveReleasesFirst(t *testing.T) {
	is := is.New(t)
	j := newJournal(t, "m", "n")
	tr := NewTracker("m", "")
	for _, c := range recordsOf[*record.Claim](tr.Step(j.state, 0, true)) {
		j.apply(c)
	}
	owned := j.owned("m")
	is.True(len(owned) > 0)
	tr.Leave()
	out := tr.Step(j.state, time.Second, true)
	released := recordsOf[*record.ReleaseShard](out)
	is.Equal(len(out), len(released)) // releases only
	is.Equal(len(released), len(owned))
	j.apply(released[0])
	is.Equal(len(tr.Step(j.state, time.Second+1, true)), 0) // waits until all are released
	for _, r := range released[1:] {
		j.apply(r)
	}
	out = tr.Step(j.state, 2*time.Second, true)
	is.Equal(out, []record.Body{&record.Leave{Member: "m"}})
	j.apply(out...)
	is.Equal(len(tr.Step(j.state, 10*time.Second, true)), 0)
	is.True(!tr.Expired(j.state)) // it left on its own request
}

// Guards against an expired member that rejoins under the same id or posts records about shards.
func TestExpelledMemberDoesNothing(t *testing.T) {
	is := is.New(t)
	j := newJournal(t)
	tr := NewTracker("m", "127.0.0.1:1")
	join := tr.Step(j.state, 0, true)
	is.Equal(join, []record.Body{&record.Join{Member: "m", PeerAddress: "127.0.0.1:1"}})
	is.True(!tr.Expired(j.state)) // it has not joined yet
	j.apply(join...)
	tr.Step(j.state, time.Second, true)
	j.apply(&record.Expire{Member: "m", LastHeartbeat: j.state.Members["m"].Heartbeat})
	is.True(tr.Expired(j.state))
	for now := 2 * time.Second; now < time.Minute; now += time.Second {
		is.Equal(len(tr.Step(j.state, now, true)), 0)
	}
}

// Guards against a daemon that tries for ever to join under an id that the zone state rejects, because it read its join
// and its expiry between two steps.
func TestExpelledBeforeJoinWasSeen(t *testing.T) {
	is := is.New(t)
	j := newJournal(t, "n")
	tr := NewTracker("m", "")
	j.apply(tr.Step(j.state, 0, true)...)
	j.apply(&record.ClaimView{Number: 1, Members: []string{"m", "n"}}) // makes the state keep the departure of m
	j.apply(&record.Expire{Member: "m", LastHeartbeat: j.state.Members["m"].Heartbeat})
	is.Equal(len(tr.Step(j.state, time.Minute, true)), 0)
	is.True(tr.Expired(j.state))
}

// Guards against a heartbeat interval at which live members expire, and against one that floods the log.
func TestHeartbeatInterval(t *testing.T) {
	is := is.New(t)
	j := newJournal(t, "m")
	tr := NewTracker("m", "")
	var sent []string
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		if len(recordsOf[*record.Heartbeat](tr.Step(j.state, now, true))) > 0 {
			sent = append(sent, strconv.Itoa(int(now.Milliseconds())))
		}
	}
	is.True(slices.Equal(sent, []string{"0", "2000", "4000", "6000", "8000"}))
}
