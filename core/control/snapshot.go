package control

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// formatVersion is the version of the encoding; a state with another version is rejected.
const formatVersion = 1

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxMapPairs: 1 << 20, MaxArrayElements: 1 << 20, MaxNestedLevels: 16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode())
)

func must[M any](m M, err error) M {
	if err != nil {
		panic(err)
	}
	return m
}

// encodedState is the wire format of a State. Quota use and queues are derived from it.
type encodedState struct {
	Format   int             `cbor:"1,keyasint"`
	Offset   int64           `cbor:"2,keyasint"`
	Version  int64           `cbor:"3,keyasint"`
	Author   string          `cbor:"4,keyasint"`
	Document []byte          `cbor:"5,keyasint"`
	Jobs     []*Job          `cbor:"6,keyasint"`
	Finished []*Finished     `cbor:"7,keyasint"`
	Recent   []recentVerdict `cbor:"8,keyasint"`
	Attested []Attestation   `cbor:"9,keyasint"`
}

// recentVerdict is a stored record id with its verdict.
type recentVerdict struct {
	_       struct{} `cbor:",toarray"`
	ID      []byte
	Verdict StoredVerdict
}

// Encode returns the state as bytes. Equal states give equal bytes.
func (s *State) Encode() ([]byte, error) {
	e := encodedState{
		Format: formatVersion, Offset: s.offset, Version: s.version, Author: s.author, Document: s.documentBytes,
		Jobs: s.Jobs(), Finished: s.finishedOrder, Recent: make([]recentVerdict, len(s.recent)), Attested: s.attested,
	}
	for i, id := range s.recent {
		e.Recent[i] = recentVerdict{ID: id[:], Verdict: s.storedVerdicts[id]}
	}
	b, err := encMode.Marshal(e)
	return b, errors.Wrap(err, "encode control state")
}

// Decode returns the state from the bytes that Encode returned.
func Decode(parse ParseFunc, b []byte) (*State, error) {
	var e encodedState
	if err := decMode.Unmarshal(b, &e); err != nil {
		return nil, errors.Wrap(err, "decode control state")
	}
	if e.Format != formatVersion {
		return nil, errors.Errorf("decode control state: format %d is not supported, expected %d", e.Format, formatVersion)
	}
	s := New(parse)
	s.offset, s.version, s.author, s.attested = e.Offset, e.Version, e.Author, e.Attested
	for _, step := range []func(*encodedState) error{s.decodeDocument, s.decodeRecent, s.decodeFinished, s.decodeJobs} {
		if err := step(&e); err != nil {
			return nil, errors.Wrap(err, "decode control state")
		}
	}
	return s, nil
}

func (s *State) decodeDocument(e *encodedState) error {
	if e.Version == 0 {
		return nil
	}
	doc, err := s.parse(e.Document)
	if err != nil {
		return errors.Wrapf(err, "document version %d", e.Version)
	}
	s.documentBytes, s.document = e.Document, doc
	s.setQuotas()
	return nil
}

func (s *State) decodeRecent(e *encodedState) error {
	if len(e.Recent) > MaxRecentIDs {
		return errors.Errorf("%d record ids, limit %d", len(e.Recent), MaxRecentIDs)
	}
	for _, r := range e.Recent {
		id, err := uuid.FromBytes(r.ID)
		if err != nil {
			return errors.Wrap(err, "record id")
		}
		if _, dup := s.storedVerdicts[id]; dup {
			return errors.Errorf("record id %s is listed twice", id)
		}
		s.storeVerdict(id, r.Verdict)
	}
	return nil
}

func (s *State) decodeFinished(e *encodedState) error {
	for _, f := range e.Finished {
		if f == nil || s.finished[f.ID] != nil {
			return errors.New("finished job is missing or listed twice")
		}
		s.addFinished(f)
	}
	return nil
}

func (s *State) decodeJobs(e *encodedState) error {
	last := int64(0)
	for _, j := range e.Jobs {
		if j == nil || s.jobs[j.Spec.ID] != nil || j.Submitted <= last {
			return errors.New("job is missing, listed twice or out of order")
		}
		if reason := invalidSpec(&j.Spec); reason != "" {
			return errors.Errorf("job %q: %s", j.Spec.ID, reason)
		}
		last = j.Submitted
		s.jobs[j.Spec.ID] = j
		t := s.team(j.Spec.Team)
		switch j.State {
		case JobWaiting:
			t.enqueue(j)
		case JobActive:
			t.use = t.use.Add(j.Use())
		default:
			return errors.Errorf("job %q has state %d", j.Spec.ID, j.State)
		}
	}
	return nil
}
