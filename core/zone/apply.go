package zone

import (
	"fmt"

	"github.com/google/uuid"

	"waxwingslip.example/core/record"
)

// Verdict reports whether a record took effect.
type Verdict struct {
	Accepted bool
	// Duplicate is set if the offset or the record id was applied before; the first verdict remains valid.
	Duplicate bool
	// Reason explains a rejection.
	Reason string
}

var accepted = Verdict{Accepted: true}

func rejected(format string, args ...any) Verdict {
	return Verdict{Reason: fmt.Sprintf(format, args...)}
}

// Apply applies the record at the given offset. Offsets must increase; a record at or below the state's offset
// has already been applied and is ignored.
func (s *State) Apply(offset int64, r record.Record) Verdict {
	if offset <= s.Offset {
		return Verdict{Duplicate: true, Reason: "offset was applied before"}
	}
	s.Offset = offset
	if _, dup := s.seen[r.ID]; dup {
		return Verdict{Duplicate: true, Reason: "record id was applied before"}
	}
	s.addRecentID(r.ID)
	return s.apply(r.Body)
}

func (s *State) addRecentID(id uuid.UUID) {
	s.seen[id] = struct{}{}
	s.Recent = append(s.Recent, id[:])
	if len(s.Recent) <= maxRecentIDs {
		return
	}
	oldest, _ := uuid.FromBytes(s.Recent[0])
	delete(s.seen, oldest)
	s.Recent[0] = nil
	s.Recent = s.Recent[1:]
}

func (s *State) apply(body record.Body) Verdict {
	switch b := body.(type) {
	case *record.Join:
		return s.applyJoin(b)
	case *record.Heartbeat:
		return s.applyHeartbeat(b)
	case *record.Leave:
		return s.applyLeave(b)
	case *record.Expire:
		return s.applyExpire(b)
	case *record.Claim:
		return s.applyClaim(b)
	case *record.ReleaseShard:
		return s.applyReleaseShard(b)
	case *record.RegisterWorker:
		return s.applyRegisterWorker(b)
	case *record.SetWorker:
		return s.applySetWorker(b)
	case *record.RemoveWorker:
		return s.applyRemoveWorker(b)
	case *record.Policy:
		return s.applyPolicy(b)
	case *record.Admit:
		return s.applyAdmit(b)
	case *record.Adopt:
		return s.applyAdopt(b)
	case *record.Bind:
		return s.applyBind(b)
	case *record.Started:
		return s.applyStarted(b)
	case *record.Stop:
		return s.applyStop(b)
	case *record.End:
		return s.applyEnd(b)
	case *record.Evict:
		return s.applyEvict(b)
	case *record.Lost:
		return s.applyLost(b)
	case *record.Cancel:
		return s.applyCancel(b)
	case *record.Release:
		return s.applyRelease(b)
	case *record.RemoveJob:
		return s.applyRemoveJob(b)
	case *record.ClaimView:
		return s.applyClaimView(b)
	case *record.ZoneSnapshot:
		return accepted
	}
	return rejected("record of kind %d is not valid in a zone stream", body.Kind())
}
