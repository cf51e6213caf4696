// Package fake is an in-memory store with injected faults, for tests and trials.
package fake

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/external/keyedlog"
)

// Fault is a fault injected into a call.
type Fault struct {
	// Refuse fails the call with ErrRefused.
	Refuse bool
	// LoseResponse executes the call and returns an error that leaves open whether it took effect.
	LoseResponse bool
	// Late executes the call after this time, and at once returns an error that leaves open whether it takes effect.
	Late time.Duration
	// Delay passes before the call is executed.
	Delay time.Duration
	// Hang does not execute the call and does not respond until the caller's context ends.
	Hang bool
	// Link carries the response of a read, and the records of an append before it is executed.
	Link *Link
}

var errResponseLost = errors.New("response was lost")

// Store is an in-memory store. It is safe for concurrent use.
type Store struct {
	mu         sync.Mutex
	partitions map[keyedlog.Partition]*partition
	changed    chan struct{} // closed and replaced with each append
	fault      func(caller, method string, p keyedlog.Partition) Fault
	// sizesLimited is set if records that the platform's store never takes are rejected, but for those of unlimitedCaller.
	sizesLimited    bool
	unlimitedCaller string
	// rejects reports whether the store never takes a record; nil means none.
	rejects func(caller string, r keyedlog.Record) bool
}

type partition struct {
	records []keyedlog.Record
	first   int64 // offset of the first record kept
	newest  map[string]keyedlog.Record
	writers map[string]*writer
}

type writer struct {
	epoch    int64
	sequence int64
	offsets  map[int64]int64 // offset by sequence number, of the last few appends
}

// deduplicatedAppends is the number of a writer's latest appends whose repeats are recognised.
const deduplicatedAppends = 5

// Limits of the platform's store in bytes.
const (
	// MaxRecordBytes limits the content of a record: a byte, the key and the value.
	MaxRecordBytes = 262_144
	// maxCallBytes limits the records of one append.
	maxCallBytes = 2_097_152
	// maxKeyBytes limits a key, whose length is one byte.
	maxKeyBytes = 255
)

// checkSizes returns an error if the platform's store never takes the records.
func checkSizes(records []keyedlog.Record) error {
	total := 0
	for i := range records {
		n := 1 + len(records[i].Key) + len(records[i].Value)
		if total += n; n > MaxRecordBytes || total > maxCallBytes || len(records[i].Key) > maxKeyBytes {
			return errors.Wrapf(keyedlog.ErrRejected, "record %q has %d bytes, the call at least %d", records[i].Key, n, total)
		}
	}
	return nil
}

// New returns an empty store.
func New() *Store {
	return &Store{partitions: map[keyedlog.Partition]*partition{}, changed: make(chan struct{})}
}

// SetFault sets the function that returns the fault of each call; nil means none. Method is append, read or newest.
func (s *Store) SetFault(f func(caller, method string, p keyedlog.Partition) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// LimitSizes makes the store reject records of the sizes that the platform's store never takes, but for those of one caller.
func (s *Store) LimitSizes(except string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizesLimited, s.unlimitedCaller = true, except
}

// Reject sets the function that reports whether the store never takes a record of a caller; nil means none.
func (s *Store) Reject(f func(caller string, r keyedlog.Record) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects = f
}

// checkTaken returns an error if the store never takes the records.
func (v *view) checkTaken(records []keyedlog.Record) error {
	v.mu.Lock()
	limited, rejects := v.sizesLimited && v.caller != v.unlimitedCaller, v.rejects
	v.mu.Unlock()
	for i := range records {
		if rejects != nil && rejects(v.caller, records[i]) {
			return errors.Wrapf(keyedlog.ErrRejected, "record %q", records[i].Key)
		}
	}
	if limited {
		return checkSizes(records)
	}
	return nil
}

// As returns the store for one caller, so that faults can depend on the caller.
func (s *Store) As(caller string) keyedlog.Store { return &view{s, caller} }

type view struct {
	*Store
	caller string
}

func (v *view) faultOf(method string, p keyedlog.Partition) Fault {
	v.mu.Lock()
	f := v.fault
	v.mu.Unlock()
	if f == nil {
		return Fault{}
	}
	return f(v.caller, method, p)
}

// applyBeforeCall applies the part of a fault that precedes a call and returns an error if the call ends there.
func (f Fault) applyBeforeCall(ctx context.Context) error {
	if f.Hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if f.Delay > 0 {
		t := time.NewTimer(f.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Refuse {
		return errors.Wrap(keyedlog.ErrRefused, "fault")
	}
	return nil
}

// Append implements keyedlog.Store.
func (v *view) Append(ctx context.Context, a keyedlog.Append) (int64, error) {
	if err := v.checkTaken(a.Records); err != nil {
		return 0, err
	}
	f := v.faultOf("append", a.Partition)
	if err := f.applyBeforeCall(ctx); err != nil {
		return 0, err
	}
	if f.Link != nil {
		if _, err := f.Link.carry(ctx, recordSizes(a.Records)); err != nil {
			return 0, err
		}
	}
	if f.Late > 0 {
		if a.Writer != nil {
			w := *a.Writer
			a.Writer = &w
		}
		if a.At != nil {
			at := *a.At
			a.At = &at
		}
		time.AfterFunc(f.Late, func() { _, _ = v.append(a) }) // the caller does not get the result
		return 0, errResponseLost
	}
	offset, err := v.append(a)
	if f.LoseResponse {
		return 0, errResponseLost
	}
	return offset, err
}

func (s *Store) partition(p keyedlog.Partition) *partition {
	part := s.partitions[p]
	if part == nil {
		part = &partition{newest: map[string]keyedlog.Record{}, writers: map[string]*writer{}}
		s.partitions[p] = part
	}
	return part
}

func (s *Store) append(a keyedlog.Append) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.partition(a.Partition)
	end := part.first + int64(len(part.records))
	if a.Writer != nil {
		offset, repeat, err := part.check(a)
		if err != nil || repeat {
			return offset, err
		}
	}
	if a.At != nil && *a.At != end {
		return end, keyedlog.ErrOffsetMismatch
	}
	if a.Writer != nil {
		part.recordAppend(a, end)
	}
	for i, r := range a.Records {
		r.Offset = end + int64(i)
		part.records = append(part.records, r)
		if r.Value == nil {
			delete(part.newest, r.Key)
		} else {
			part.newest[r.Key] = r
		}
	}
	if len(a.Records) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return end, nil
}

// check recognises repeats and refuses older epochs and gaps.
func (p *partition) check(a keyedlog.Append) (offset int64, repeat bool, err error) {
	w := p.writers[a.Writer.Name]
	if w == nil || a.Writer.Epoch > w.epoch {
		return 0, false, nil
	}
	if a.Writer.Epoch < w.epoch {
		return 0, false, keyedlog.ErrFenced
	}
	if len(a.Records) == 0 {
		return 0, true, nil
	}
	if offset, ok := w.offsets[a.Writer.Sequence]; ok {
		return offset, true, nil
	}
	if w.sequence != 0 && a.Writer.Sequence != w.sequence+1 {
		return 0, false, keyedlog.ErrSequence
	}
	return 0, false, nil
}

func (p *partition) recordAppend(a keyedlog.Append, offset int64) {
	w := p.writers[a.Writer.Name]
	if w == nil || a.Writer.Epoch > w.epoch {
		w = &writer{epoch: a.Writer.Epoch, offsets: map[int64]int64{}}
		p.writers[a.Writer.Name] = w
	}
	if len(a.Records) == 0 {
		return
	}
	w.sequence = a.Writer.Sequence
	w.offsets[w.sequence] = offset
	delete(w.offsets, w.sequence-deduplicatedAppends)
}

// Read implements keyedlog.Store.
func (v *view) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.Batch, error) {
	f := v.faultOf("read", p)
	if err := f.applyBeforeCall(ctx); err != nil {
		return keyedlog.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := v.read(p, from)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			if f.LoseResponse {
				err = errResponseLost
			}
			if err == nil && f.Link != nil {
				return f.Link.carryBatch(ctx, batch)
			}
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return keyedlog.Batch{}, ctx.Err()
		}
	}
}

func (s *Store) read(p keyedlog.Partition, from int64) (keyedlog.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.partition(p)
	if from < part.first {
		return keyedlog.Batch{}, nil, keyedlog.ErrTrimmed
	}
	end := part.first + int64(len(part.records))
	b := keyedlog.Batch{End: end}
	if from < end {
		b.Records = append(b.Records, part.records[from-part.first:]...)
	}
	return b, s.changed, nil
}

// pageKeys is the number of keys in a page; small, so that tests read several pages.
const pageKeys = 50

// Newest implements keyedlog.Store.
func (v *view) Newest(ctx context.Context, p keyedlog.Partition, after string) (keyedlog.Page, error) {
	f := v.faultOf("newest", p)
	if err := f.applyBeforeCall(ctx); err != nil {
		return keyedlog.Page{}, err
	}
	if f.LoseResponse {
		return keyedlog.Page{}, errResponseLost
	}
	page := v.newest(p, after)
	if f.Link != nil {
		if err := f.Link.carryPage(ctx, page); err != nil {
			return keyedlog.Page{}, err
		}
	}
	return page, nil
}

func (s *Store) newest(p keyedlog.Partition, after string) keyedlog.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.partition(p)
	var keys []string
	for k := range part.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := keyedlog.Page{End: part.first + int64(len(part.records))}
	if len(keys) > pageKeys {
		keys = keys[:pageKeys]
		page.Next = keys[pageKeys-1]
	}
	for _, k := range keys {
		page.Records = append(page.Records, part.newest[k])
	}
	return page
}

// Trim deletes the history of all partitions; the newest record of each key stays.
func (s *Store) Trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range s.partitions {
		part.first += int64(len(part.records))
		part.records = nil
	}
}
