package zone

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
)

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{MaxMapPairs: 1 << 20, MaxArrayElements: 1 << 20, MaxNestedLevels: 16}.DecMode())
)

func must[M any](m M, err error) M {
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the state as bytes. Equal states give equal bytes.
func (s *State) Encode() ([]byte, error) {
	b, err := encMode.Marshal(s)
	return b, errors.Wrapf(err, "encode state of zone %s", s.Zone)
}

// Decode returns the state of a zone from the bytes that Encode returned.
func Decode(zone string, b []byte) (*State, error) {
	s := New(zone)
	if err := decMode.Unmarshal(b, s); err != nil {
		return nil, errors.Wrapf(err, "decode state of zone %s", zone)
	}
	if err := s.rebuildDerived(); err != nil {
		return nil, errors.Wrapf(err, "decode state of zone %s", zone)
	}
	return s, nil
}

// rebuildDerived recomputes the fields that Encode omits.
func (s *State) rebuildDerived() error {
	for _, b := range s.Recent {
		id, err := uuid.FromBytes(b)
		if err != nil {
			return errors.Wrap(err, "record id")
		}
		s.seen[id] = struct{}{}
	}
	for id, w := range s.Workers {
		if w == nil || w.Info.ID != id {
			return errors.Errorf("worker %q has an invalid entry", id)
		}
		w.Tasks, w.classes = map[record.TaskID]*Task{}, map[string]int{}
	}
	for id, j := range s.Jobs {
		if j == nil || j.Spec.ID != id {
			return errors.Errorf("job %q has an invalid entry", id)
		}
		if err := s.rebuildJob(j); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) rebuildJob(j *Job) error {
	if j.Tasks == nil {
		j.Tasks = map[int]*Task{}
	}
	for i, t := range j.Tasks {
		if t == nil || t.Index != i {
			return errors.Errorf("task %s/%d has an invalid entry", j.Spec.ID, i)
		}
		t.Job = j
		switch t.State {
		case TaskPending:
			j.Unfinished++
		case TaskBound:
			w := s.Workers[t.Worker]
			if w == nil {
				return errors.Errorf("task %s/%d is bound to unknown worker %q", j.Spec.ID, i, t.Worker)
			}
			j.Unfinished++
			s.reserve(t, w)
		}
	}
	return nil
}
