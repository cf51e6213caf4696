package shard

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/keyedlog"
)

// The progress of a job is a record under its id. If that would become too large, the record is only the head, and the rest is
// in parts, of which a change stores those that it changes. Parts come before their head in the order of appends: a head
// whose parts are missing is never read, whenever the owner ends.

// partPrefix, a job's id, a slash and a part's name make the key in ProgressTopic of a part of its progress. Earlier builds
// take such a key for that of a worker's move, cannot decode the value and leave the record alone; keys without a known
// prefix they delete as those of unknown jobs.
const partPrefix = movedPrefix + "/"

func partKey(job, name string) string { return partPrefix + job + "/" + name }

// jobOfKey returns the id of the job of whose progress a key in ProgressTopic is a part or the head.
func jobOfKey(key string) string {
	if part, ok := strings.CutPrefix(key, partPrefix); ok {
		id, _, _ := cutLast(part)
		return id
	}
	return key
}

// isProgressKey reports whether a key in ProgressTopic is one of the progress of a job.
func isProgressKey(key string) bool {
	return strings.HasPrefix(key, partPrefix) ||
		key != learnedKey && !strings.HasPrefix(key, movedPrefix) && !strings.HasPrefix(key, settledPrefix)
}

// storedProgress is what was read of the progress of one job.
type storedProgress struct {
	// hasHead is set if there is a head, and head is nil if it cannot be decoded.
	hasHead bool
	head    *jobs.Progress
	parts   map[string][]byte // by name
}

// progressReader collects the stored progress of jobs by their ids.
type progressReader map[string]*storedProgress

func (p progressReader) of(id string) *storedProgress {
	if p[id] == nil {
		p[id] = &storedProgress{parts: map[string][]byte{}}
	}
	return p[id]
}

// addPart adds, replaces or deletes a part.
func (p progressReader) addPart(key string, value []byte) {
	id, name, _ := cutLast(strings.TrimPrefix(key, partPrefix))
	if value == nil {
		delete(p.of(id).parts, name)
		return
	}
	p.of(id).parts[name] = value
}

// complete returns the progress with its parts, for a job of the given spec.
func (p *storedProgress) complete(spec *jobs.Spec) (*jobs.Progress, error) {
	if p.head == nil {
		return nil, errors.New("stored progress cannot be decoded")
	}
	if p.head.SetAside != "" {
		return nil, errors.New(p.head.SetAside)
	}
	if err := p.head.AddParts(spec, p.parts); err != nil {
		return nil, errors.WithMessage(err, "stored progress")
	}
	return p.head, errors.WithMessage(p.head.Validate(spec), "stored progress")
}

// adoptParts notes which parts of a job are stored, so that they are replaced or deleted. The caller holds mu.
func (e *jobEntry) adoptParts(p *storedProgress) {
	for name, value := range p.parts {
		e.noteStoredPart(name, xxhash.Sum64(value))
	}
	if e.job.Outcome == jobs.Moved && !e.job.MoveAnnounced {
		for name, value := range p.parts {
			e.movingParts = append(e.movingParts, jobs.Part{Name: name, Value: value})
		}
	}
}

func (e *jobEntry) noteStoredPart(name string, hash uint64) {
	if e.storedParts == nil {
		e.storedParts = map[string]uint64{}
	}
	e.storedParts[name] = hash
}

// progressRecords returns the records of a job's progress that differ from what is stored. The caller holds mu.
func (s *Shard) progressRecords(e *jobEntry) ([]keyedlog.Record, error) {
	id := e.job.Spec.ID
	head, parts, err := e.encodeProgress()
	if err != nil {
		return nil, err
	}
	var records []keyedlog.Record
	current := make(map[string]struct{}, len(parts))
	for _, p := range parts {
		current[p.Name] = struct{}{}
		if hash := xxhash.Sum64(p.Value); e.storedParts[p.Name] != hash {
			e.noteStoredPart(p.Name, hash)
			records = append(records, keyedlog.Record{Key: partKey(id, p.Name), Value: p.Value})
		}
	}
	records = append(records, keyedlog.Record{Key: id, Value: head})
	for name := range e.storedParts {
		if _, ok := current[name]; !ok {
			delete(e.storedParts, name)
			records = append(records, keyedlog.Record{Key: partKey(id, name)})
		}
	}
	return records, nil
}

// encodeProgress encodes the progress of a job, or why the job is set aside if the store never takes its progress.
func (e *jobEntry) encodeProgress() (head []byte, parts []jobs.Part, err error) {
	switch {
	case e.job.SetAside != "":
		head, err = jobs.EncodeProgress(&jobs.Progress{Outcome: e.job.Outcome, EndedMs: e.job.EndedMs, Next: e.job.Next,
			Begun: e.job.Begun, SetAside: e.job.SetAside})
		return head, nil, err
	case e.movingParts != nil: // the next owner may have to announce the move
		head, err = jobs.EncodeProgress(&e.job.Progress)
		return head, e.movingParts, err
	}
	return e.job.EncodeStored()
}

// progressAppend appends the records of one commit.
type progressAppend struct {
	s *Shard
	// rejected holds the jobs of which a record was rejected. No others of theirs are appended.
	rejected map[string]struct{}
}

// append appends records. Those that the store never takes are found by halving and set aside, so that they hold up no
// others.
func (a *progressAppend) append(records []keyedlog.Record) error {
	if len(a.rejected) > 0 {
		records = slices.DeleteFunc(slices.Clone(records), func(r keyedlog.Record) bool {
			_, rejected := a.rejected[jobOfKey(r.Key)]
			return rejected
		})
	}
	if len(records) == 0 {
		return nil
	}
	err := a.s.writer.Append(a.s.ctx, records)
	if !errors.Is(err, keyedlog.ErrRejected) {
		return err
	}
	if n := len(records); n > 1 {
		if err := a.append(records[:n/2]); err != nil {
			return err
		}
		return a.append(records[n/2:])
	}
	instead, ok := a.s.handleRejected(records[0], err)
	if !ok {
		return err
	}
	if instead == nil {
		return nil
	}
	a.rejected[instead.Key] = struct{}{}
	return a.s.writer.Append(a.s.ctx, []keyedlog.Record{*instead})
}

// handleRejected leaves out a record that the store never takes, and sets the job aside if it is one of its progress. It
// returns the record to store instead, or nil for none, and reports false if the shard cannot go on without the record.
//
// The next owner must know that the job is set aside before anything that waits for the commit happens: its runs may have
// ended, and their ends are acknowledged then.
func (s *Shard) handleRejected(r keyedlog.Record, cause error) (instead *keyedlog.Record, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deps.Counters.RecordsRejected.Inc()
	s.log.Error().Err(cause).Str("key", r.Key).Int("bytes", len(r.Value)).Msg("the store never takes a record, it is left out")
	if r.Key == learnedKey {
		return nil, true
	}
	if !isProgressKey(r.Key) {
		return nil, false
	}
	e := s.jobs[jobOfKey(r.Key)]
	if e == nil || r.Value == nil { // of a job that is removed, or a deletion
		return nil, true
	}
	if e.setAside == "" {
		s.setAside(e, cause)
	}
	e.job.SetAside = "the store does not take the job's progress: " + cause.Error()
	head, _, err := e.encodeProgress()
	return &keyedlog.Record{Key: e.job.Spec.ID, Value: head}, err == nil
}
