package control

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"waxwingslip.example/core/record"
)

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// EventConfigured reports a new document: Version.
	EventConfigured EventKind = 1
	// EventJobActivated reports that a job may be admitted: Job, and the Zone that admits it first.
	EventJobActivated EventKind = 2
	// EventJobCancelled reports that zones must end a job's tasks: Job.
	EventJobCancelled EventKind = 3
	// EventJobFinished reports that zones may remove a job: Job.
	EventJobFinished EventKind = 4
	// EventTransferred reports that Zone must adopt a task: Job, Index and Epoch.
	EventTransferred EventKind = 5
	// EventAttested reports that a VM is gone: Zone and Worker.
	EventAttested EventKind = 6
)

// Event is a state change that daemons react to. The kind determines which fields are set.
type Event struct {
	Kind    EventKind
	Version int64
	Job     string
	Index   int
	Epoch   int64
	Zone    string
	Worker  string
}

// Verdict reports whether a record took effect, and what changed.
type Verdict struct {
	Accepted bool
	// Duplicate is set if the offset or the record id was applied before. For a known record id, Accepted and
	// Reason are those of the first verdict.
	Duplicate bool
	// Reason explains a rejection.
	Reason string
	// Events lists the changes in order.
	Events []Event
}

var accepted = Verdict{Accepted: true}

func rejected(format string, args ...any) Verdict {
	return Verdict{Reason: fmt.Sprintf(format, args...)}
}

// Apply applies the record at the given offset. Offsets must increase; a record at or below the state's offset
// has already been applied and is ignored.
func (s *State) Apply(offset int64, r record.Record) Verdict {
	if offset <= s.offset {
		return Verdict{Duplicate: true, Reason: "offset was applied before"}
	}
	s.offset = offset
	if first, dup := s.storedVerdicts[r.ID]; dup {
		return Verdict{Duplicate: true, Accepted: first.Accepted, Reason: first.Reason}
	}
	s.events = nil
	v := s.apply(r.Body)
	v.Events, s.events = s.events, nil
	s.storeVerdict(r.ID, StoredVerdict{
		Offset: offset, Accepted: v.Accepted, Reason: truncate(v.Reason, maxVerdictReasonBytes)})
	return v
}

func (s *State) storeVerdict(id uuid.UUID, v StoredVerdict) {
	s.storedVerdicts[id] = v
	s.recent = append(s.recent, id)
	if len(s.recent) > MaxRecentIDs {
		delete(s.storedVerdicts, s.recent[0])
		s.recent = s.recent[1:]
	}
}

func (s *State) apply(body record.Body) Verdict {
	switch b := body.(type) {
	case *record.Configure:
		return s.applyConfigure(b)
	case *record.Submit:
		return s.applySubmit(b)
	case *record.CancelJob:
		return s.applyCancelJob(b)
	case *record.Finish:
		return s.applyFinish(b)
	case *record.Transfer:
		return s.applyTransfer(b)
	case *record.AttestLost:
		return s.applyAttestLost(b)
	}
	return rejected("record kind %d does not belong in the control stream", body.Kind())
}

func (s *State) emit(e Event) { s.events = append(s.events, e) }

func (s *State) applyTransfer(b *record.Transfer) Verdict {
	j := s.jobs[b.Task.Job]
	switch {
	case j == nil || j.State != JobActive:
		return rejected("job %q is not active", b.Task.Job)
	case b.Task.Index < 0 || b.Task.Index >= j.Spec.Tasks:
		return rejected("job %q has no task %d", b.Task.Job, b.Task.Index)
	case !s.hasZone(b.To):
		return rejected("zone %q is not in the configuration", b.To)
	case b.To == b.From:
		return rejected("task %s/%d is already in zone %q", b.Task.Job, b.Task.Index, b.To)
	case len(b.From) > MaxNameBytes || len(b.Checkpoint) > MaxCheckpointBytes:
		return rejected("transfer of %s/%d has a name or checkpoint that is too long", b.Task.Job, b.Task.Index)
	}
	if last, ok := j.Transfers[b.Task.Index]; ok && b.Epoch <= last.Epoch {
		return rejected("task %s/%d was transferred with epoch %d", b.Task.Job, b.Task.Index, last.Epoch)
	}
	if j.Transfers == nil {
		j.Transfers = map[int]Transfer{}
	}
	j.Transfers[b.Task.Index] = Transfer{Epoch: b.Epoch, From: b.From, To: b.To, Checkpoint: b.Checkpoint}
	s.emit(Event{Kind: EventTransferred, Job: b.Task.Job, Index: b.Task.Index, Epoch: b.Epoch, Zone: b.To})
	return accepted
}

func (s *State) applyAttestLost(b *record.AttestLost) Verdict {
	switch {
	case !s.hasZone(b.Zone):
		return rejected("zone %q is not in the configuration", b.Zone)
	case b.Worker == "" || len(b.Worker) > MaxNameBytes || len(b.Author) > MaxNameBytes:
		return rejected("worker and author must have at most %d bytes, and worker at least one", MaxNameBytes)
	}
	kept := s.attested[:0:0]
	for _, a := range s.attested {
		if a.Zone != b.Zone || a.Worker != b.Worker {
			kept = append(kept, a)
		}
	}
	kept = append(kept, Attestation{Zone: b.Zone, Worker: b.Worker, Author: b.Author, Offset: s.offset})
	s.attested = kept[max(0, len(kept)-MaxAttested):]
	s.emit(Event{Kind: EventAttested, Zone: b.Zone, Worker: b.Worker})
	return accepted
}

func (s *State) hasZone(name string) bool {
	if s.document == nil {
		return false
	}
	_, _, ok := s.document.FindZone(name)
	return ok
}

// submitDigest returns a hash of a submitted job and the zone that admits it first.
func submitDigest(job record.JobSpec, zone string) uint64 {
	b, err := encMode.Marshal([]any{job, zone})
	if err != nil {
		return 0 // unreachable: every type in JobSpec can be encoded
	}
	return xxhash.Sum64(b)
}

// truncate shortens a text without splitting a character, since invalid UTF-8 could not be decoded again.
func truncate(text string, limit int) string {
	return strings.ToValidUTF8(text[:min(len(text), limit)], "")
}
