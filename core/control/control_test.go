package control

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// parseJSON replaces the document parser in tests.
func parseJSON(b []byte) (*environment.Document, error) {
	var d environment.Document
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, errors.Wrap(err, "parse")
	}
	return &d, nil
}

// documentWithQuotas returns a document with zones a and b and teams t0, t1 and so on with the given slots.
func documentWithQuotas(slots ...int64) []byte {
	d := environment.Document{Environment: "trial", Regions: []environment.Region{{Name: "r", Zones: []environment.Zone{
		{Name: "a", Worker: resource.Vector{Slots: 8}}, {Name: "b", Worker: resource.Vector{Slots: 4}},
	}}}}
	for i, n := range slots {
		d.Teams = append(d.Teams, environment.Team{Name: fmt.Sprint("t", i), Quota: resource.Vector{Slots: n}})
	}
	b, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return b
}

func job(id string, tasks int) *record.Submit {
	return &record.Submit{Zone: "a", Job: record.JobSpec{
		ID: id, Team: "t0", Class: "c", Priority: record.PriorityBatch, Tasks: tasks, Size: resource.Vector{Slots: 1},
	}}
}

func urgent(s *record.Submit) *record.Submit {
	s.Job.Priority = record.PriorityUrgent
	return s
}

// script applies records in sequence and checks the verdicts.
type script struct {
	t *testing.T
	s *State
}

func newScript(t *testing.T, slots ...int64) *script {
	sc := &script{t: t, s: New(parseJSON)}
	sc.mustAccept(&record.Configure{Document: documentWithQuotas(slots...)})
	return sc
}

func (sc *script) apply(b record.Body) Verdict {
	sc.t.Helper()
	return sc.s.Apply(sc.s.Offset()+1, record.New(uuid.New(), b))
}

// mustAccept applies a record that must be accepted and returns the concatenated ids of the jobs it activated.
func (sc *script) mustAccept(b record.Body) (activated string) {
	sc.t.Helper()
	v := sc.apply(b)
	if !v.Accepted {
		sc.t.Fatalf("%T %+v: %s", b, b, v.Reason)
	}
	for _, e := range v.Events {
		if e.Kind == EventJobActivated {
			activated += e.Job
		}
	}
	return activated
}

func (sc *script) mustReject(b record.Body, reason string) {
	sc.t.Helper()
	v := sc.apply(b)
	if v.Accepted || !strings.Contains(v.Reason, reason) {
		sc.t.Fatalf("%T %+v: got %+v, expected reason %q", b, b, v, reason)
	}
}

// Guards against operators overwriting each other's documents, and against accepting a document that daemons
// cannot parse.
func TestConfigure(t *testing.T) {
	is := is.New(t)
	sc := &script{t: t, s: New(parseJSON)}
	sc.mustReject(job("j", 1), "no configuration")
	sc.mustAccept(&record.Configure{Document: documentWithQuotas(1), Author: "ann"})
	is.Equal(sc.s.Version(), int64(2))
	sc.mustReject(&record.Configure{Document: documentWithQuotas(2), Author: "bob"}, "conflict")
	sc.mustReject(&record.Configure{Base: 2, Document: []byte("{")}, "invalid")
	sc.mustReject(&record.Configure{Base: 2, Document: make([]byte, environment.MaxDocumentBytes+1)}, "bytes")
	sc.mustReject(&record.Configure{Base: 2, Document: []byte(`{"Environment":"production"}`)}, "for environment")
	is.Equal(sc.s.Author(), "ann")
	sc.mustAccept(&record.Configure{Base: 2, Document: documentWithQuotas(2), Author: "bob"})
	is.Equal(sc.s.Version(), int64(7))
}

// Each row is a job that can never run; the rejection must give the reason.
func TestSubmitRefusals(t *testing.T) {
	rows := []struct {
		change func(*record.Submit)
		reason string
	}{
		{func(s *record.Submit) { s.Job.Team = "x" }, "team"},
		{func(s *record.Submit) { s.Zone = "x" }, "zone"},
		{func(s *record.Submit) { s.Job.Zones = []string{"x"} }, "zone"},
		{func(s *record.Submit) { s.Job.Zones = []string{"b"} }, "not among"},
		{func(s *record.Submit) { s.Job.Size.Slots = 9 }, "more slots than the largest worker"},
		{func(s *record.Submit) { s.Job.Size.Accelerators = 1 }, "more accelerators"},
		{func(s *record.Submit) { s.Job.Tasks = 21 }, "quota"},
		{func(s *record.Submit) { s.Job.Tasks = 0 }, "tasks"},
		{func(s *record.Submit) { s.Job.Size.MemoryMB = -1 }, "negative"},
		{func(s *record.Submit) { s.Job.Size.MemoryMB = 1 << 62 }, "too large"},
		{func(s *record.Submit) { s.Job.Service = "s" }, "batch"},
		{func(s *record.Submit) { s.Job.Priority = record.PriorityService }, "batch"},
		{func(s *record.Submit) { s.Job.ID = "" }, "id"},
		{func(s *record.Submit) { s.Job.Payload = strings.Repeat("x", MaxPayloadBytes+1) }, "payload"},
	}
	for _, row := range rows {
		sc := newScript(t, 20)
		s := job("j", 1)
		row.change(s)
		sc.mustReject(s, row.reason)
	}
}

// Guards against a job that runs again because its Submit was repeated, before or after the job finished.
func TestSubmitOnce(t *testing.T) {
	is := is.New(t)
	sc := newScript(t, 10)
	is.Equal(sc.mustAccept(job("j", 2)), "j")
	is.Equal(sc.mustAccept(job("j", 2)), "")
	sc.mustReject(job("j", 3), "another definition")
	sc.mustAccept(&record.Finish{Job: "j", Zone: "a", Succeeded: 2})
	is.Equal(sc.mustAccept(job("j", 2)), "")
	is.Equal(sc.s.Job("j"), nil)
	use, _, _ := sc.s.TeamUse("t0")
	is.True(use.IsZero())
}

// Guards against jobs that overtake earlier ones, starvation of large jobs, and quota leaks.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	sc := newScript(t, 10)
	is.Equal(sc.mustAccept(job("A", 8)), "A")
	is.Equal(sc.mustAccept(job("B", 6)), "")
	is.Equal(sc.mustAccept(job("C", 1)), "") // would fit, but not before B
	is.Equal(sc.mustAccept(urgent(job("D", 3))), "")
	is.Equal(sc.mustAccept(urgent(job("E", 2))), "")
	is.True(strings.Contains(sc.s.WaitReason(sc.s.Job("D")), "slots"))
	is.Equal(sc.mustAccept(&record.CancelJob{Job: "D"}), "E")
	is.Equal(sc.mustAccept(&record.Finish{Job: "A", Zone: "a", Failed: 8}), "BC")
	is.Equal(sc.mustAccept(job("F", 9)), "")
	is.Equal(sc.mustAccept(job("G", 1)), "")
	is.Equal(sc.mustAccept(&record.Configure{Base: 1, Document: documentWithQuotas(8)}), "") // nine are in use
	is.Equal(sc.mustAccept(&record.Finish{Job: "B", Zone: "a", Failed: 6}), "G")             // F exceeds the whole quota
	is.Equal(sc.mustAccept(&record.Configure{Base: sc.s.Version(), Document: documentWithQuotas(13)}), "F")
	is.Equal(sc.mustAccept(&record.Configure{Base: sc.s.Version(), Document: documentWithQuotas()}), "")
	is.Equal(sc.mustAccept(&record.Finish{Job: "F", Zone: "a", Failed: 9}), "")
}

// Guards against batch jobs that use the quota for which an urgent job waits.
func TestUrgentGoesFirst(t *testing.T) {
	is := is.New(t)
	sc := newScript(t, 10)
	is.Equal(sc.mustAccept(job("A", 8)), "A")
	is.Equal(sc.mustAccept(urgent(job("B", 3))), "")
	is.Equal(sc.mustAccept(job("C", 1)), "")
	is.Equal(sc.mustAccept(&record.Finish{Job: "A", Zone: "a", Succeeded: 8}), "BC")
}

// Guards against daemons that emit the events of one record in different orders.
func TestConfigureActivatesInOrder(t *testing.T) {
	sc := newScript(t, 1, 1, 1, 1, 1, 1)
	for _, id := range []string{"a", "b"} {
		for i := range 6 {
			j := job(fmt.Sprint(id, i), 1)
			j.Job.Team = fmt.Sprint("t", i)
			sc.mustAccept(j)
		}
	}
	is.New(t).Equal(sc.mustAccept(&record.Configure{Base: 1, Document: documentWithQuotas(2, 2, 2, 2, 2, 2)}),
		"b0b1b2b3b4b5")
}

// Guards against unbounded memory use by the waiting jobs of a team.
func TestWaitingIsLimited(t *testing.T) {
	is := is.New(t)
	sc := newScript(t, 1)
	for i := range MaxWaiting + 1 {
		sc.mustAccept(job(fmt.Sprint(i), 1))
	}
	sc.mustReject(job("more", 1), "waiting jobs")
	sc.mustAccept(&record.CancelJob{Job: "1"})
	is.Equal(sc.mustAccept(job("more", 1)), "")
}

// Guards against quota that is freed twice, or while tasks still run in another zone.
func TestFinishInParts(t *testing.T) {
	is := is.New(t)
	sc := newScript(t, 10)
	sc.mustAccept(job("j", 5))
	is.Equal(sc.mustAccept(job("k", 6)), "")
	for _, i := range []int{3, 4} {
		sc.mustAccept(&record.Transfer{Task: record.TaskID{Job: "j", Index: i}, Epoch: 2, From: "a", To: "b"})
		sc.mustReject(&record.Transfer{Task: record.TaskID{Job: "j", Index: i}, Epoch: 2, From: "a", To: "b"}, "transferred")
	}
	is.Equal(sc.mustAccept(&record.Finish{Job: "j", Zone: "a", Succeeded: 3}), "")
	sc.mustReject(&record.Finish{Job: "j", Zone: "a", Succeeded: 3}, "before")
	sc.mustReject(&record.Finish{Job: "j", Zone: "b", Succeeded: 3}, "would have ended")
	is.Equal(sc.mustAccept(&record.Finish{Job: "j", Zone: "b", Succeeded: 1}), "")
	sc.mustAccept(&record.Transfer{Task: record.TaskID{Job: "j", Index: 4}, Epoch: 3, From: "b", To: "a"})
	is.Equal(sc.mustAccept(&record.Finish{Job: "j", Zone: "a", Succeeded: 3, Failed: 1}), "k")
	is.Equal(sc.s.Finished("j").Counts, Counts{Succeeded: 4, Failed: 1})
	sc.mustReject(&record.Finish{Job: "j", Zone: "a", Succeeded: 5}, "has finished")
}

// Guards against a cancelled job that still becomes active, and against freeing its quota before its tasks ended.
func TestCancel(t *testing.T) {
	is := is.New(t)
	sc := newScript(t, 4)
	sc.mustAccept(job("j", 4))
	sc.mustAccept(job("k", 4))
	sc.mustAccept(&record.CancelJob{Job: "k"})
	is.Equal(sc.s.Finished("k").Counts, Counts{Cancelled: 4})
	sc.mustAccept(&record.CancelJob{Job: "j"})
	sc.mustReject(&record.CancelJob{Job: "j"}, "already")
	sc.mustReject(&record.CancelJob{Job: "x"}, "not known")
	is.Equal(sc.mustAccept(job("l", 1)), "")
	is.Equal(sc.mustAccept(&record.Finish{Job: "j", Zone: "a", Cancelled: 4}), "l")
}

// Guards against a record that takes effect twice when its append is repeated, and against unbounded memory use.
func TestRepeatedRecordsAndBounds(t *testing.T) {
	is := is.New(t)
	sc := newScript(t, 1)
	first := record.New(uuid.New(), &record.AttestLost{Zone: "a", Worker: "w"})
	is.True(sc.s.Apply(10, first).Accepted)
	is.Equal(sc.s.Apply(11, first), Verdict{Duplicate: true, Accepted: true})
	verdict, ok := sc.s.StoredVerdict(first.ID)
	is.True(ok)
	is.Equal(verdict, StoredVerdict{Offset: 10, Accepted: true})
	is.True(sc.s.Apply(11, record.New(uuid.New(), first.Body)).Duplicate) // offset 11 was applied
	sc.mustAccept(first.Body)
	is.Equal(len(sc.s.Attested()), 1)
	for i := range MaxFinished + 10 {
		id := fmt.Sprint(i)
		sc.mustAccept(job(id, 1))
		sc.mustAccept(&record.Finish{Job: id, Zone: "a", Succeeded: 1, Reason: strings.Repeat("ä", maxReasonBytes)})
	}
	is.Equal(len(sc.s.FinishedJobs()), MaxFinished)
	is.Equal(len(sc.s.finished), MaxFinished)
	is.Equal(len(sc.s.storedVerdicts), MaxRecentIDs)
	b, err := sc.s.Encode()
	is.NoErr(err)
	_, err = Decode(parseJSON, b)
	is.NoErr(err)
}
